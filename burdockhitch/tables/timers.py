"""Pending timers, sorted by the time at which they fire."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


# The values order timers that are due at one moment; they don't follow renames.
class TimerKind(StrEnum):
    """What a timer is for; each kind has one registered handler.

    Attributes:
        DEADLINE: The deadline of a request passed.
        QUEUE_TIMEOUT: A request has waited too long for a slot.
        FORWARD_RESEND: An owner has not answered a forwarded request.
        JOIN: Time to send join messages to the seeds again.
        LOAD_MEASUREMENT: Time to measure the request rates.
        PROBE_PERIOD: Time to probe the next VM.
        ACK_TIMEOUT: A membership probe was not acknowledged in time.
        PROBE_ROUND_END: Neither direct nor indirect probes reached a VM.
        OWNER_SILENCE: An owner has sent nothing since a request was forwarded to it.
        OWNER_UNREACHABLE: That owner did not answer a probe either.
        SUSPICION_END: A suspect VM did not refute the suspicion in time.
        REPETITION: Time to send a repetition to a backend server.
        REPETITION_END: A repetition was not answered in time.
        SERVER_PROBE: Time to probe an ejected backend server again.
        EJECTION_HOLD_END: An ejected backend server may be probed for readmission.
        PERMIT_REVIEW: Time to review an ejection permit.
        HEAD_READ: Time to read the head revision from the platform.
        VM_LIST_READ: Time to read the list of VMs from the platform.
        DISOWN_END: A VM may own a backend server again.
        DEAD_VM_REMOVAL: A dead VM may be removed from the membership view.
        RECORD_EXPIRY: The first record of a table expires.
        IDLE_CHECK: Time to check whether a leaving VM is idle.
        REQUEST_CUTOFF: The deadline of a request passed, with direct sending.
        DRAINING_STEP: Next step of draining, with direct sending.
        OVERDUE: An attempt takes several times as long as usual.
        HEARTBEAT: Time to send a heartbeat, or to write this VM's row again.
        SNAPSHOT_COPY: Time to copy the registry from a VM of any zone.
        LOAD_REPORT: Requests in flight may be reported again.
        REGISTRY_READ: Time to read a part of the registry.
        MISSING_SERVER: A backend server did not return after an outage.
        MESSAGE_TICK: The next tick is due, to read messages from other VMs.
        ZONE_LOADS: Time to send this zone's sum, or another zone's sum expired.
    """

    DEADLINE = "deadline"
    QUEUE_TIMEOUT = "queue"
    FORWARD_RESEND = "resend"
    JOIN = "join"
    LOAD_MEASUREMENT = "measure"
    PROBE_PERIOD = "probe_period"
    ACK_TIMEOUT = "ack"
    PROBE_ROUND_END = "round_end"
    OWNER_SILENCE = "silence"
    OWNER_UNREACHABLE = "unreachable"
    SUSPICION_END = "suspicion"
    REPETITION = "repetition"
    REPETITION_END = "repetition_end"
    SERVER_PROBE = "server_probe"
    EJECTION_HOLD_END = "hold"
    PERMIT_REVIEW = "permit"
    HEAD_READ = "head_read"
    VM_LIST_READ = "vm_list_read"
    DISOWN_END = "disown_end"
    DEAD_VM_REMOVAL = "reap"
    RECORD_EXPIRY = "expiry"
    IDLE_CHECK = "stop"
    REQUEST_CUTOFF = "cutoff"
    DRAINING_STEP = "leave"
    OVERDUE = "overdue"
    HEARTBEAT = "heartbeat"
    SNAPSHOT_COPY = "copy"
    LOAD_REPORT = "report"
    REGISTRY_READ = "registry_read"
    MISSING_SERVER = "departure"
    MESSAGE_TICK = "collect"
    ZONE_LOADS = "zone_loads"


class TimerRow(NamedTuple):
    """A pending timer.

    Attributes:
        timer_id: ``(kind, subject)``; the subject is the key of what the timer is
            about, and the argument of its handler.
        due_s: Monotonic time at which it fires.
    """

    timer_id: tuple[TimerKind, str]
    due_s: float


def make_timers() -> Table[TimerRow]:
    """Return an empty table of timers."""
    return Table(TimerRow, key="timer_id", sorted_fields=("due_s",))
