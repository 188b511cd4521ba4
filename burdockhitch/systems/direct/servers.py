"""Keeps the backend servers that the registry lists."""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.belief import P_FAILING_STATIONARY
from burdockhitch.systems.direct.configuration import raise_version, view_of
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.beliefs import BeliefRow
from burdockhitch.tables.registry_views import DepartureRow, Subject
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, log_event, start_timer, stop_timer

# Entries that lapsed while the platform was away are back within two seconds of
# its return; a call that it did not answer may end a little later.
RETURN_S = 2.2


def _is_restarted(old: BackendServerRow | None, new: BackendServerRow) -> bool:
    return old is None or (old.born_ms, old.address) != (new.born_ms, new.address)


def _keep_server(world: World, server: BackendServerRow, now: Instant) -> None:
    old = world.backend_servers.get(server.server_id)
    if _is_restarted(old, server):
        warm_until_s = now.monotonic_s + server.warm_up_s
        belief = BeliefRow(
            server.server_id,
            server.service,
            P_FAILING_STATIONARY,
            now.monotonic_s,
            warm_until_s=warm_until_s,
        )
        world.beliefs.put(belief)
    world.backend_servers.put(server)
    if server.server_id in world.departures:
        world.departures.remove(server.server_id)
        stop_timer(world, TimerKind.DEPARTURE, server.server_id)
    if old is None or old.is_draining != server.is_draining:
        log_event(
            world,
            "INFO",
            "server_listed",
            server=server.server_id,
            service=server.service,
            address=server.address,
            is_draining=server.is_draining,
        )


def _drop_server(world: World, server_id: str, reason: str) -> None:
    if server_id not in world.backend_servers:
        return
    world.backend_servers.remove(server_id)
    world.beliefs.discard(server_id)
    world.departures.discard(server_id)
    log_event(world, "INFO", "server_removed", server=server_id, reason=reason)


def _returned_at_s(world: World) -> float:
    """Return when entries that lapsed in the last outage must be back."""
    failed_at_s = view_of(world, Subject.SERVERS).failed_at_s
    return failed_at_s + RETURN_S if failed_at_s > 0 else 0.0


def remove_server(world: World, server_id: str, now: Instant) -> None:
    """Remove a server, or wait for its return if the platform was away."""
    if server_id not in world.backend_servers:
        return
    due_s = _returned_at_s(world)
    if now.monotonic_s >= due_s:
        _drop_server(world, server_id, "removed from the registry")
    elif server_id not in world.departures:
        world.departures.insert(DepartureRow(server_id))
        start_timer(world, TimerKind.DEPARTURE, server_id, due_s)


@timer_handlers(TimerKind.DEPARTURE)
def drop_departed(world: World, server_id: str, now: Instant) -> None:
    """Remove a server that did not return in time."""
    _drop_server(world, server_id, "did not return after the platform did")


def adopt_servers(
    world: World,
    servers: tuple[BackendServerRow, ...],
    removed: tuple[str, ...],
    version: int,
    is_whole: bool,
    now: Instant,
) -> bool:
    """Take over changes of the list if they are newer than what is held.

    Returns:
        Whether they were.
    """
    if version <= view_of(world, Subject.SERVERS).version:
        return False
    for server in servers:
        _keep_server(world, server, now)
    if is_whole:
        listed = {server.server_id for server in servers}
        held = {row.server_id for row in world.backend_servers}
        removed = tuple(held - listed)
    for server_id in removed:
        remove_server(world, server_id, now)
    raise_version(world, Subject.SERVERS, version)
    return True
