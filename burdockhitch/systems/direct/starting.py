"""Starts what a VM does by itself in the direct way."""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.collecting import start_collecting
from burdockhitch.systems.direct.membership import start_membership
from burdockhitch.systems.direct.reading import start_reading
from burdockhitch.systems.direct.zone_loads import start_summing
from burdockhitch.world import World


def start_vm(world: World, now: Instant) -> None:
    """Announce this VM and start its timers."""
    start_membership(world, now)
    start_reading(world, now)
    start_collecting(world, now)
    start_summing(world, now)
