"""Bounds how long messages of other VMs wait to be read.

Each tick begins by reading them, so every decision knows what has arrived. A VM
without work of its own ticks by this timer.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, start_timer

# News of a change of the registry waits as long at each VM that passes it on; two
# of them are a tenth of the strictest bound on changes, two seconds.
PERIOD_S = 0.1
MESSAGES = "messages"


def start_collecting(world: World, now: Instant) -> None:
    """Plan the next tick that reads messages."""
    start_timer(world, TimerKind.COLLECT, MESSAGES, now.monotonic_s + PERIOD_S)


@timer_handlers(TimerKind.COLLECT)
def plan_next(world: World, _subject: str, now: Instant) -> None:
    """Plan the tick after this one, which has read what was there."""
    start_collecting(world, now)
