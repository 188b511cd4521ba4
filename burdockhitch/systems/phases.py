"""The phases of a tick and the registry of systems."""

import functools
from collections.abc import Callable
from enum import IntEnum

from burdockhitch.clock import Instant
from burdockhitch.world import World

System = Callable[[World, Instant], None]


class Phase(IntEnum):
    """Order in which the systems of a tick run."""

    TIMING = 1
    MESSAGES = 2
    OWNERSHIP = 3
    INTAKE = 4
    ANSWERS = 5
    HEALTH = 6
    EJECTION = 7
    ADMISSION = 8
    ROUTING = 9
    DISPATCH = 10
    DRAINING = 11
    ACCOUNTING = 12


OWNED = "owned"
DIRECT = "direct"
SENDING_WAYS = (OWNED, DIRECT)

_systems: dict[tuple[str, Phase], list[System]] = {}


def system(phase: Phase, *ways: str) -> Callable[[System], System]:
    """Return a decorator that registers a system for a phase.

    Args:
        phase: When it runs within a tick.
        ways: Ways of sending whose VMs run it; that by owners if none is given.
    """

    def register(function: System) -> System:
        for way in ways or (OWNED,):
            _systems.setdefault((way, phase), []).append(function)
        _ordered_systems.cache_clear()
        return function

    return register


@functools.cache
def _ordered_systems(way: str) -> tuple[System, ...]:
    return tuple(
        function for phase in Phase for function in _systems.get((way, phase), ())
    )


def run_tick(world: World) -> None:
    """Run the systems of the VM's way of sending, in the order of their phases."""
    now = world.clock.now()
    for function in _ordered_systems(world.settings.policies.sending):
        function(world, now)
