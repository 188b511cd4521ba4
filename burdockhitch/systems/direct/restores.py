"""Corrects the first list of servers after the platform's store was restored.

The store comes back from an older copy, so its list is a state of the past. What this
VM has seen of the servers since is not undone by it.
"""

from burdockhitch.clock import Instant
from burdockhitch.direct_messages import SuspendedServer
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.membership import schedule_row_write
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.registry_views import RegistryPart, RemovedServerRow, era_of
from burdockhitch.world import World, count, log_event

# Time for which this VM remembers servers that left, for a restored list that holds
# them: the copies from which the platform's store is restored are some seconds old.
REMOVED_MEMORY_S = 60.0
# Time for which a server in a restored list counts as draining that this VM had seen
# leave: the platform removes entries after three heartbeats of silence, and readers and
# copies need a second.
SUSPENDED_S = 6.0


def begin_era(world: World, version: int, now: Instant) -> bool:
    """Record if a list is the first one since the store was restored from a copy.

    Returns:
        Whether it is.
    """
    view = registry_view(world, RegistryPart.SERVERS)
    if not view.version or era_of(version) == era_of(view.version):
        return False
    world.registry_views.put(view._replace(restored_at_s=now.monotonic_s))
    count(world, "registry_restores")
    log_event(
        world, "WARNING", "registry_restored", version=version, previous=view.version
    )
    # The rows that VMs wrote in the lost seconds are lost, too.
    schedule_row_write(world, now)
    return True


def _is_outdated(world: World, server: BackendServerRow, now: Instant) -> bool:
    """Return whether this VM knows better than a restored list what a server does.

    That is, whether it holds a later entry, or knows that the process has left. The
    entry of one that left tells nothing: its number rises without a new version.
    """
    held = world.backend_servers.get(server.server_id)
    if held is not None:
        known = (held.process_started_ms, held.sequence)
        return known > (server.process_started_ms, server.sequence)
    removed = world.removed_servers.get(server.server_id)
    return (
        removed is not None
        and now.monotonic_s - removed.removed_at_s <= REMOVED_MEMORY_S
        and server.process_started_ms <= removed.process_started_ms
    )


def remember_removed(world: World, server: BackendServerRow, now: Instant) -> None:
    """Remember a server that left, and forget those that left long ago."""
    now_s = now.monotonic_s
    earlier = world.removed_servers.get(server.server_id)
    started_ms = server.process_started_ms
    if earlier is not None:
        started_ms = max(started_ms, earlier.process_started_ms)
    world.removed_servers.put(RemovedServerRow(server.server_id, started_ms, now_s))
    oldest = world.removed_servers.first("removed_at_s")
    while oldest and now_s - oldest.removed_at_s > REMOVED_MEMORY_S:
        world.removed_servers.remove(oldest.server_id)
        oldest = world.removed_servers.first("removed_at_s")


def correct_restored(
    world: World, servers: tuple[BackendServerRow, ...], now: Instant
) -> tuple[tuple[BackendServerRow, ...], tuple[SuspendedServer, ...]]:
    """Return a restored list as this VM knows it better, and the servers to suspend.

    The copy shows servers as they were. Those that have left since count as draining,
    and those that this VM knows by a later entry stay as they are.
    """
    corrected = []
    suspended = []
    for server in servers:
        held = world.backend_servers.get(server.server_id)
        is_suspended = is_still_suspended(world, server)
        if held is not None and (is_suspended or _is_outdated(world, server, now)):
            corrected.append(held)
        elif _is_outdated(world, server, now):
            corrected.append(server._replace(is_draining=True))
            is_suspended = not server.is_draining
        else:
            corrected.append(server)
        if is_suspended:
            suspended.append(SuspendedServer(server.server_id, SUSPENDED_S))
    return tuple(corrected), tuple(suspended)


def is_still_suspended(world: World, server: BackendServerRow) -> bool:
    """Return whether a listed server is suspended, and hasn't written since."""
    held = world.backend_servers.get(server.server_id)
    if held is None or server.server_id not in world.suspended_servers:
        return False
    return (server.process_started_ms, server.sequence) <= (
        held.process_started_ms,
        held.sequence,
    )
