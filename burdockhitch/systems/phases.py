"""The phases of a tick and the registry of systems.

A system is a function that reads and updates the tables. A tick runs each system
of this VM's sending mode once.
"""

import functools
from collections.abc import Callable
from enum import IntEnum

from burdockhitch.clock import Instant
from burdockhitch.errors import TickFailedError
from burdockhitch.world import World, log_event

System = Callable[[World, Instant], None]


class Phase(IntEnum):
    """Phases of a tick, in the order in which they run."""

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
    # Only in ticks in which a system raised an error, after all others.
    RECOVERY = 13


# Sending modes, the values of the ``sending`` policy: only the owner of a backend
# server sends requests to it, or every VM does.
OWNED = "owned"
DIRECT = "direct"
SENDING_MODES = (OWNED, DIRECT)

_systems: dict[tuple[str, Phase], list[System]] = {}


def system(phase: Phase, *modes: str) -> Callable[[System], System]:
    """Return a decorator that registers a system for a phase.

    Args:
        phase: When it runs within a tick.
        modes: Sending modes in which a VM runs it; ``OWNED`` if none is given.
    """

    def register(function: System) -> System:
        for mode in modes or (OWNED,):
            _systems.setdefault((mode, phase), []).append(function)
        _ordered_systems.cache_clear()
        return function

    return register


@functools.cache
def _ordered_systems(mode: str) -> tuple[System, ...]:
    """Return the systems of a usual tick by phase, then by registration."""
    return tuple(
        function
        for phase in Phase
        if phase is not Phase.RECOVERY
        for function in _systems.get((mode, phase), ())
    )


def _run_systems(
    world: World, systems: tuple[System, ...], now: Instant
) -> dict[str, Exception]:
    """Run systems, log the errors that they raise, and return them by system."""
    failures: dict[str, Exception] = {}
    for function in systems:
        try:
            function(world, now)
        except Exception as error:
            failures[function.__name__] = error
            log_event(
                world,
                "ERROR",
                "system_failed",
                system=function.__name__,
                error=repr(error),
            )
    return failures


def run_tick(world: World) -> None:
    """Run the systems of this VM's sending mode once, in the order of their phases.

    An error in one system doesn't keep the others from running. After one, the systems
    of the phase ``RECOVERY`` mend what it left half done.

    Raises:
        TickFailedError: After the tick, if systems raised errors.
    """
    now = world.clock.now()
    mode = world.settings.policies.sending
    failures = _run_systems(world, _ordered_systems(mode), now)
    if failures:
        recovery = tuple(_systems.get((mode, Phase.RECOVERY), ()))
        failures |= _run_systems(world, recovery, now)
        raise TickFailedError(tuple(failures)) from next(iter(failures.values()))
