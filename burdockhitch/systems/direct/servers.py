"""Maintains the table of backend servers that the registry lists."""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.belief import P_FAILING_STATIONARY
from burdockhitch.systems.direct.configuration import raise_version, view_of
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.beliefs import BeliefRow
from burdockhitch.tables.registry_views import DepartureRow, Subject
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, log_event, start_timer, stop_timer

# Entries that expired during an outage of the platform are listed again within two
# seconds of its end; a call that it left unanswered may end a little later.
RETURN_S = 2.2


def _is_new_or_restarted(old: BackendServerRow | None, new: BackendServerRow) -> bool:
    return old is None or (old.born_ms, old.address) != (new.born_ms, new.address)


def _store_server(world: World, server: BackendServerRow, now: Instant) -> None:
    """Store a listed server; a new or restarted one gets a new belief."""
    old = world.backend_servers.get(server.server_id)
    if _is_new_or_restarted(old, server):
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
        stop_timer(world, TimerKind.MISSING_SERVER, server.server_id)
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


def _delete_server(world: World, server_id: str, reason: str) -> None:
    """Remove a server and all that is stored about it."""
    if server_id not in world.backend_servers:
        return
    world.backend_servers.remove(server_id)
    world.beliefs.discard(server_id)
    world.departures.discard(server_id)
    log_event(world, "INFO", "server_removed", server=server_id, reason=reason)


def _relisted_at_s(world: World) -> float:
    """Return the time by which entries that expired in an outage are listed again."""
    failed_at_s = view_of(world, Subject.SERVERS).failed_at_s
    return failed_at_s + RETURN_S if failed_at_s > 0 else 0.0


def remove_server(world: World, server_id: str, now: Instant) -> None:
    """Remove a server, or schedule that if it may be listed again after an outage."""
    if server_id not in world.backend_servers:
        return
    due_s = _relisted_at_s(world)
    if now.monotonic_s >= due_s:
        _delete_server(world, server_id, "removed from the registry")
    elif server_id not in world.departures:
        world.departures.insert(DepartureRow(server_id))
        start_timer(world, TimerKind.MISSING_SERVER, server_id, due_s)


@timer_handlers(TimerKind.MISSING_SERVER)
def drop_departed(world: World, server_id: str, now: Instant) -> None:
    """Remove a server that was not listed again in time."""
    _delete_server(world, server_id, "not listed again after a platform outage")


def adopt_servers(
    world: World,
    servers: tuple[BackendServerRow, ...],
    removed: tuple[str, ...],
    version: int,
    is_whole: bool,
    now: Instant,
) -> bool:
    """Apply a new version of the server list if it is newer than the one held.

    Servers that are not in ``servers`` are removed if ``is_whole``, otherwise only
    those in ``removed``.

    Returns:
        Whether it was newer.
    """
    if version <= view_of(world, Subject.SERVERS).version:
        return False
    for server in servers:
        _store_server(world, server, now)
    if is_whole:
        listed = {server.server_id for server in servers}
        held = {row.server_id for row in world.backend_servers}
        removed = tuple(held - listed)
    for server_id in removed:
        remove_server(world, server_id, now)
    raise_version(world, Subject.SERVERS, version)
    return True
