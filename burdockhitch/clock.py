"""The clock interface and the system's own implementation of it."""

import time
from datetime import UTC, datetime
from typing import NamedTuple, Protocol


class Instant(NamedTuple):
    """One reading of both clocks.

    Attributes:
        monotonic_s: Seconds on a clock that never steps and counts the time in
            which the machine is suspended, for deadlines and timers.
        utc: Wall-clock time with its time zone, for rule windows and logs.
    """

    monotonic_s: float
    utc: datetime


class Clock(Protocol):
    """Source of time; passed in wherever time is read."""

    def now(self) -> Instant:
        """Return the current reading."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> Instant:
        """Return the current reading."""
        return Instant(time.clock_gettime(time.CLOCK_BOOTTIME), datetime.now(UTC))
