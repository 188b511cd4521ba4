"""Timers, ordered by the time at which they fire."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


class TimerKind(StrEnum):
    """What a timer is for."""

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
    """One timer.

    Attributes:
        timer_id: ``(kind, subject)``.
        due_s: Monotonic time at which it fires.
    """

    timer_id: tuple[TimerKind, str]
    due_s: float


def make_timers() -> Table[TimerRow]:
    """Return an empty table of timers."""
    return Table(TimerRow, key="timer_id", orders=("due_s",))
