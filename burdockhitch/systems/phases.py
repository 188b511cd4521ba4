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
    CONFIGURATION = 3
    MEMBERSHIP = 4
    OWNERSHIP = 5
    INTAKE = 6
    ANSWERS = 7
    HEALTH = 8
    EJECTION = 9
    ADMISSION = 10
    ROUTING = 11
    DISPATCH = 12
    DRAINING = 13
    ACCOUNTING = 14


_systems: dict[Phase, list[System]] = {phase: [] for phase in Phase}


def system(phase: Phase) -> Callable[[System], System]:
    """Return a decorator that registers a system for a phase."""

    def register(function: System) -> System:
        _systems[phase].append(function)
        _ordered_systems.cache_clear()
        return function

    return register


@functools.cache
def _ordered_systems() -> tuple[System, ...]:
    return tuple(function for phase in Phase for function in _systems[phase])


def run_tick(world: World) -> None:
    """Run all systems once, in the order of their phases."""
    now = world.clock.now()
    for function in _ordered_systems():
        function(world, now)
