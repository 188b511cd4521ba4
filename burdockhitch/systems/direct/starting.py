"""Starts the periodic tasks of a VM that sends to all backend servers."""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.collecting import start_collecting
from burdockhitch.systems.direct.membership import start_membership
from burdockhitch.systems.direct.reading import start_reading
from burdockhitch.systems.direct.zone_loads import start_summing
from burdockhitch.world import World


def start_vm(world: World, now: Instant) -> None:
    """Announce this VM and start the timers of its periodic tasks."""
    start_membership(world, now)
    start_reading(world, now)
    start_collecting(world, now)
    start_summing(world, now)
