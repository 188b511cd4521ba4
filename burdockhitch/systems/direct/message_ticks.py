"""Bounds how long messages from other VMs wait to be read.

Each tick, i.e. each pass of the loop over the systems, starts by reading them, so its
decisions use all that have arrived. This timer causes a tick on a VM that has no
other work.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, start_timer

# A change of the registry may wait one period at each VM that forwards it. Two such
# waits are a tenth of the strictest limit for changes to take effect, 2 s.
MESSAGE_TICK_PERIOD_S = 0.1
# Subject of the timer.
MESSAGES = "messages"


def schedule_message_tick(world: World, now: Instant) -> None:
    """Schedule the next tick that reads messages."""
    start_timer(
        world, TimerKind.MESSAGE_TICK, MESSAGES, now.monotonic_s + MESSAGE_TICK_PERIOD_S
    )


@timer_handlers(TimerKind.MESSAGE_TICK)
def schedule_next_message_tick(world: World, _subject: str, now: Instant) -> None:
    """Schedule the next tick; the current one has already read its messages."""
    schedule_message_tick(world, now)
