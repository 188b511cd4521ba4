"""The clock interface and its implementation on the operating system's clocks."""

import time
from datetime import UTC, datetime
from typing import NamedTuple, Protocol


class Instant(NamedTuple):
    """One reading of the monotonic clock and the wall clock.

    Attributes:
        monotonic_s: Seconds on a clock that never jumps and includes the time
            during which the machine is suspended; for deadlines and timers.
        utc: Wall-clock time in UTC, for logs and for the hours of windows, in which
            a service has another floor (minimum of healthy slots).
    """

    monotonic_s: float
    utc: datetime


class Clock(Protocol):
    """Source of time; code that reads the time gets one as an argument."""

    def now(self) -> Instant:
        """Return the current reading."""


class SystemClock:
    """Clock that reads ``CLOCK_BOOTTIME`` and the system's wall clock."""

    def now(self) -> Instant:
        """Return the current reading."""
        return Instant(time.clock_gettime(time.CLOCK_BOOTTIME), datetime.now(UTC))
