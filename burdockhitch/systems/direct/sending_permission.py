"""Decides whether this VM may send a request to a backend server now.

Every condition must hold. Each is asked when a server is selected, and those that an
answer may change also before the first byte of an attempt that waited for a connection.
"""

import itertools
from collections import Counter
from collections.abc import Callable

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.sending_shares import has_share
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.world import World

SendingCondition = Callable[[World, BackendServerRow, Instant], bool]
sending_conditions: Registry[SendingCondition] = Registry("condition for sending")
# Conditions on which a connection that is being opened doesn't count, as it was
# counted when its attempt began.
UNCOUNTED = ("listed as ready", "staying", "rested")


@sending_conditions("listed as ready")
def is_listed_as_ready(world: World, server: BackendServerRow, now: Instant) -> bool:
    """Return whether the registry doesn't list a server as draining."""
    return not server.is_draining


@sending_conditions("staying")
def has_not_stated_leaving(
    world: World, server: BackendServerRow, now: Instant
) -> bool:
    """Return whether a server hasn't stated to this VM that it is leaving."""
    return server.server_id not in world.leaving_servers


@sending_conditions("rested")
def is_rested(world: World, server: BackendServerRow, now: Instant) -> bool:
    """Return whether a server wants no pause of this VM, or none any more."""
    row = world.resting_servers.get(server.server_id)
    return row is None or row.until_s <= now.monotonic_s


@sending_conditions("below its limit")
def is_within_limit(world: World, server: BackendServerRow, now: Instant) -> bool:
    """Return whether this VM has a share left of the limit that a server states."""
    return has_share(world, server.server_id, now)


def may_send(world: World, server: BackendServerRow, now: Instant) -> bool:
    """Return whether a request may be sent to a server, as far as the server says."""
    return all(
        sending_conditions[name](world, server, now) for name in sending_conditions
    )


def describe_obstacles(world: World, service: str, now: Instant) -> str:
    """Return how many of a service's servers which condition excludes, for a log line.

    A server that several conditions exclude counts for the first of them.
    """
    obstacles = Counter(
        name
        for server in world.backend_servers.select("service", service)
        for name in _first_unmet(world, server, now)
    )
    return ", ".join(f"{n} {name}" for name, n in sorted(obstacles.items()))


def _first_unmet(world: World, server: BackendServerRow, now: Instant) -> list[str]:
    """Return the name of the first condition that a server doesn't meet, if any."""
    unmet = (
        name
        for name in sending_conditions
        if not sending_conditions[name](world, server, now)
    )
    return list(itertools.islice(unmet, 1))


def may_still_send(world: World, attempt_id: int, now: Instant) -> bool:
    """Return whether an attempt may be sent that waited for a connection.

    Meanwhile the server may have left, stated that it does, or asked for a pause.
    """
    attempt = world.attempts.get(attempt_id)
    server = world.backend_servers.get(attempt.server_id) if attempt else None
    return server is not None and all(
        sending_conditions[name](world, server, now) for name in UNCOUNTED
    )


def shortest_pause_s(world: World, service: str, now: Instant) -> float:
    """Return the time until the first pause of a service's servers ends, 0 for none."""
    ends_s = [
        world.resting_servers.fetch(server.server_id).until_s - now.monotonic_s
        for server in world.backend_servers.select("service", service)
        if server.server_id in world.resting_servers
        and has_not_stated_leaving(world, server, now)
        and is_listed_as_ready(world, server, now)
    ]
    return max(0.0, min(ends_s, default=0.0))
