"""Makes the timers of a reactor follow the monotonic clock.

Twisted's reactors read the time of day. When it is set back, their timers would fire
late by the same amount; when it is set forward, time limits would end at once.
"""

from typing import Any

from burdockhitch.clock import Clock


def follow_monotonic_clock(reactor: Any, clock: Clock) -> None:
    """Let a reactor measure time by a clock's monotonic reading.

    Args:
        reactor: Twisted reactor on which nothing is scheduled yet.
        clock: Source of time.
    """
    reactor.seconds = lambda: clock.now().monotonic_s
