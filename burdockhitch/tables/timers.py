"""Pending timers, sorted by the time at which they fire."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


# Timers that are due at the same time fire in the order of these values, so a value
# stays when its member is renamed.
class TimerKind(StrEnum):
    """What a timer is for; each kind has one registered handler.

    The kinds up to ``IDLE_CHECK`` are used with sending by owners, the others with
    direct sending.

    Attributes:
        DEADLINE: The deadline of a request has passed with sending by owners; its
            outcome is unknown if it was sent to a backend server or another VM.
        QUEUE_TIMEOUT: A request has waited too long for a slot.
        FORWARD_RESEND: An owner has not answered a forwarded request; time to send it
            again or to another owner.
        JOIN: Time to ask VMs that are not in the membership view for their view again.
        LOAD_MEASUREMENT: Time to measure the request rates.
        PROBE_PERIOD: Time to probe a random VM.
        ACK_TIMEOUT: A VM did not acknowledge a direct probe in time.
        PROBE_ROUND_END: A VM acknowledged neither direct nor indirect probes in time.
        OWNER_SILENCE: An owner has sent nothing since a request was forwarded to it.
        OWNER_UNREACHABLE: An owner has sent nothing since ``OWNER_SILENCE`` either.
        SUSPICION_END: A suspect VM did not refute the suspicion in time.
        REPETITION: Time to send a repetition to a backend server.
        REPETITION_END: A backend server did not answer a repetition in time.
        SERVER_PROBE: Time to probe an ejected backend server again.
        EJECTION_HOLD_END: The hold time of an ejected backend server is over; time to
            probe it.
        PERMIT_REVIEW: Time to review an ejection permit.
        HEAD_READ: Time to read the head (newest) revision from the platform.
        VM_LIST_READ: Time to read the list of VMs from the platform.
        DISOWN_END: A VM may own a backend server again.
        DEAD_VM_REMOVAL: Time to remove a dead VM from the membership view.
        RECORD_EXPIRY: The earliest record of an expiring table expires.
        IDLE_CHECK: Time to check whether this VM, which is leaving, is idle.
        REQUEST_CUTOFF: The deadline of a request has passed with direct sending; its
            outcome is unknown if an attempt is open.
        DRAINING_STEP: Time for the next step of draining this VM.
        OVERDUE: An attempt takes several times as long as expected.
        RUNNING: An attempt still runs that a failing server would have ended.
        HEARTBEAT: Time to send a heartbeat, or to retry the write of this VM's row to
            the registry.
        SNAPSHOT_COPY: Time to copy the registry from a VM of any zone.
        LOAD_REPORT: The pause after a report of this VM's requests in flight is over.
        REGISTRY_READ: Time to read a part of the registry.
        MISSING_SERVER: A missing backend server was not listed again in time.
        MESSAGE_TICK: Time for the next tick, to read messages from other VMs.
        POISON_REQUESTS: Time to tell the zone again which requests are refused.
        ZONE_LOADS: Time to send the sum of this zone's requests in flight, or the sum
            of another zone has expired.
        QUOTA: Time to refresh what is known of the fleet's quotas, or a home has not
            replied to a request for tokens.
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
    RUNNING = "running"
    HEARTBEAT = "heartbeat"
    SNAPSHOT_COPY = "copy"
    LOAD_REPORT = "report"
    REGISTRY_READ = "registry_read"
    MISSING_SERVER = "departure"
    MESSAGE_TICK = "collect"
    ZONE_REPORT = "zone_report"
    SENDING_SHARES = "sending_shares"
    SUSPENDED_SERVER = "suspended_server"
    POISON_REQUESTS = "poison_requests"
    QUOTA = "quota"
    ADMISSION_HOLD = "admission_hold"


class TimerRow(NamedTuple):
    """A pending timer.

    Attributes:
        timer_id: ``(kind, subject)``; the subject tells timers of one kind apart, such
            as by a request, a server or a VM, and is passed to the handler.
        due_s: Monotonic time at which it fires.
    """

    timer_id: tuple[TimerKind, str]
    due_s: float


def make_timers() -> Table[TimerRow]:
    """Return an empty table of timers."""
    return Table(TimerRow, key="timer_id", sorted_fields=("due_s",))
