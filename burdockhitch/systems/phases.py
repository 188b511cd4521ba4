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
