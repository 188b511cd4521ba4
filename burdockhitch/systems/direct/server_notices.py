"""Follows which backend servers state that they are leaving, or want a pause.

Both are stated to this VM and bind this VM only, so no messages are sent about them.
They end with the process that stated them: whatever the registry or another VM says of
that process later, it gets no more requests, or none until the end of the pause.
"""

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.server_notices import LeavingServerRow, RestingServerRow
from burdockhitch.world import World, count, log_event

# Longest pause that a server gets; one that it needs for longer, it states again.
REST_MAX_S = 3600.0
# Time for which this VM remembers a server that leaves. Its process ends long before.
LEAVING_MEMORY_S = 3600.0


def _forget_old(world: World, now: Instant) -> None:
    oldest = world.leaving_servers.first("stated_at_s")
    while oldest and now.monotonic_s - oldest.stated_at_s > LEAVING_MEMORY_S:
        world.leaving_servers.remove(oldest.server_id)
        oldest = world.leaving_servers.first("stated_at_s")


def record_notices(
    world: World, event: events.ServerStated, started_ms: int, now: Instant
) -> None:
    """Record that a server stated that it is leaving, or for how long to pause.

    Args:
        world: Tables of this VM.
        event: The statement.
        started_ms: Start of the process that made it.
        now: Time of the answer.
    """
    if event.is_leaving and event.server_id not in world.leaving_servers:
        _forget_old(world, now)
        world.leaving_servers.insert(
            LeavingServerRow(event.server_id, started_ms, now.monotonic_s)
        )
        count(world, "servers_leaving")
        log_event(world, "INFO", "server_leaving_stated", server=event.server_id)
    if event.rest_s <= 0:
        return
    rest_s = min(REST_MAX_S, event.rest_s)
    held = world.resting_servers.get(event.server_id)
    until_s = now.monotonic_s + rest_s
    for row in world.resting_servers:
        if row.until_s <= now.monotonic_s:
            world.resting_servers.remove(row.server_id)
    if held is None or until_s > held.until_s:
        world.resting_servers.put(
            RestingServerRow(event.server_id, started_ms, until_s)
        )
    if held is None or held.until_s <= now.monotonic_s:
        count(world, "servers_resting")
        log_event(
            world,
            "INFO",
            "server_rest_stated",
            server=event.server_id,
            rest_s=round(rest_s, 3),
            stated_s=round(event.rest_s, 3),
        )


def forget_earlier_process(world: World, server: BackendServerRow) -> None:
    """Forget what an earlier process of a listed server stated."""
    for table in (world.leaving_servers, world.resting_servers):
        row = table.get(server.server_id)
        if row is not None and row.process_started_ms < server.process_started_ms:
            table.remove(server.server_id)
