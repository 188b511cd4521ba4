"""Pending timers, sorted by the time at which they fire."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


class TimerKind(StrEnum):
    """What a timer is for; each kind has one registered handler.

    Attributes:
        DEADLINE: The deadline of a request passed.
        QUEUE: A request has waited too long for a slot.
        RESEND: An owner has not answered a forwarded request.
        JOIN: Time to send join messages to the seeds again.
        MEASURE: Time to measure the request rates.
        PROBE_PERIOD: Time to probe the next VM.
        ACK: A membership probe was not acknowledged in time.
        ROUND_END: Neither direct nor indirect probes reached a VM.
        SILENCE: An owner has sent nothing since a request was forwarded to it.
        UNREACHABLE: That owner did not answer a probe either.
        SUSPICION: A suspect VM did not refute the suspicion in time.
        REPETITION: Time to send a repetition to a backend server.
        REPETITION_END: A repetition was not answered in time.
        SERVER_PROBE: Time to probe an ejected backend server again.
        HOLD: An ejected backend server may be probed for readmission.
        PERMIT: Time to review an ejection permit.
        HEAD_READ: Time to read the head revision from the platform.
        VM_LIST_READ: Time to read the list of VMs from the platform.
        DISOWN_END: A VM may own a backend server again.
        REAP: A dead VM may be removed from the membership view.
        EXPIRY: The first record of a table expires.
        STOP: Time to check whether a leaving VM is idle.
        CUTOFF: The deadline of a request passed, with direct sending.
        LEAVE: Next step of leaving, with direct sending.
        OVERDUE: An attempt takes several times as long as usual.
        HEARTBEAT: Time to send a heartbeat, or to write this VM's row again.
        COPY: Time to copy the registry from a VM of any zone.
        REPORT: Requests in flight may be reported again.
        REGISTRY_READ: Time to read a part of the registry.
        DEPARTURE: A backend server did not return after an outage.
        COLLECT: The next tick is due, to read messages from other VMs.
        ZONE_LOADS: Time to send this zone's sum, or another zone's sum expired.
    """

    DEADLINE = "deadline"
    QUEUE = "queue"
    RESEND = "resend"
    JOIN = "join"
    MEASURE = "measure"
    PROBE_PERIOD = "probe_period"
    ACK = "ack"
    ROUND_END = "round_end"
    SILENCE = "silence"
    UNREACHABLE = "unreachable"
    SUSPICION = "suspicion"
    REPETITION = "repetition"
    REPETITION_END = "repetition_end"
    SERVER_PROBE = "server_probe"
    HOLD = "hold"
    PERMIT = "permit"
    HEAD_READ = "head_read"
    VM_LIST_READ = "vm_list_read"
    DISOWN_END = "disown_end"
    REAP = "reap"
    EXPIRY = "expiry"
    STOP = "stop"
    CUTOFF = "cutoff"
    LEAVE = "leave"
    OVERDUE = "overdue"
    HEARTBEAT = "heartbeat"
    COPY = "copy"
    REPORT = "report"
    REGISTRY_READ = "registry_read"
    DEPARTURE = "departure"
    COLLECT = "collect"
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
