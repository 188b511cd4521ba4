"""Maintains the table of backend servers that the registry lists."""

from burdockhitch.clock import Instant
from burdockhitch.direct_messages import MissingServer, SuspendedServer
from burdockhitch.systems.direct.configuration import record_version, registry_view
from burdockhitch.systems.direct.registry_changes import record_changes, record_gaps
from burdockhitch.systems.direct.restores import (
    begin_era,
    correct_restored,
    is_still_suspended,
    remember_removed,
)
from burdockhitch.systems.direct.sending_shares import forget_share
from burdockhitch.systems.direct.server_estimates import P_FAILING_STATIONARY
from burdockhitch.systems.direct.server_notices import forget_earlier_process
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.backend_servers import BackendServerRow, ServiceSlotsRow
from burdockhitch.tables.registry_views import (
    MissingServerRow,
    RegistryGap,
    RegistryPart,
    SuspendedServerRow,
)
from burdockhitch.tables.server_estimates import ServerEstimateRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, log_event, start_timer, stop_timer

# Entries that expired during an outage of the platform are listed again within two
# seconds of its end, and the rest allows for a call that the platform left unanswered
# and that ends a little later.
RELISTING_S = 2.2
# Source of a list that this VM read itself; others are IDs of VMs.
PLATFORM_SOURCE = "platform"


def _is_new_or_restarted(old: BackendServerRow | None, new: BackendServerRow) -> bool:
    return old is None or (old.process_started_ms, old.address) != (
        new.process_started_ms,
        new.address,
    )


def _is_changed(world: World, server: BackendServerRow) -> bool:
    """Return whether a listed server differs from the one held or was missing."""
    held = world.backend_servers.get(server.server_id)
    if held is None or server.server_id in world.missing_servers:
        return True
    return held._replace(sequence=server.sequence) != server


def _suspend(
    world: World, suspended: tuple[SuspendedServer, ...], now: Instant
) -> None:
    for server_id, ready_in_s in suspended:
        if server_id in world.backend_servers:
            world.suspended_servers.put(SuspendedServerRow(server_id))
            due_s = now.monotonic_s + ready_in_s
            start_timer(world, TimerKind.SUSPENDED_SERVER, server_id, due_s)


def _end_suspension(world: World, server_id: str) -> None:
    world.suspended_servers.discard(server_id)
    stop_timer(world, TimerKind.SUSPENDED_SERVER, server_id)


@timer_handlers(TimerKind.SUSPENDED_SERVER)
def use_suspended_server(world: World, server_id: str, now: Instant) -> None:
    """Use a server that the platform hasn't removed since the restore."""
    _end_suspension(world, server_id)
    server = world.backend_servers.get(server_id)
    if server is not None:
        _store_server(world, server._replace(is_draining=False), now)


def find_suspended_servers(world: World, now: Instant) -> tuple[SuspendedServer, ...]:
    """Return the servers that count as draining for a while, with the time left."""
    timers = [
        world.timers.fetch((TimerKind.SUSPENDED_SERVER, row.server_id))
        for row in world.suspended_servers
    ]
    return tuple(
        SuspendedServer(timer.timer_id[1], timer.due_s - now.monotonic_s)
        for timer in timers
    )


def _update_slots(world: World, service: str) -> None:
    """Count the slots of a service after its servers have changed."""
    slots = [row.n_slots for row in world.backend_servers.select("service", service)]
    if slots:
        world.service_slots.put(ServiceSlotsRow(service, sum(slots), min(slots)))
    else:
        world.service_slots.discard(service)


def _store_server(world: World, server: BackendServerRow, now: Instant) -> None:
    """Store a listed server; a new or restarted one gets a new estimate."""
    old = world.backend_servers.get(server.server_id)
    forget_earlier_process(world, server)
    if _is_new_or_restarted(old, server):
        warm_up_until_s = now.monotonic_s + server.warm_up_remaining_s
        estimate = ServerEstimateRow(
            server.server_id,
            server.service,
            P_FAILING_STATIONARY,
            now.monotonic_s,
            warm_up_until_s=warm_up_until_s,
        )
        world.server_estimates.put(estimate)
        forget_share(world, server.server_id)
    world.backend_servers.put(server)
    if server != old:
        _end_suspension(world, server.server_id)
    if server.server_id in world.missing_servers:
        world.missing_servers.remove(server.server_id)
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


def _delete_server(world: World, server_id: str, reason: str, now: Instant) -> None:
    """Remove a server and all that is stored about it."""
    if server_id not in world.backend_servers:
        return
    server = world.backend_servers.remove(server_id)
    remember_removed(world, server, now)
    _update_slots(world, server.service)
    world.server_estimates.discard(server_id)
    forget_share(world, server_id)
    _end_suspension(world, server_id)
    world.missing_servers.discard(server_id)
    stop_timer(world, TimerKind.MISSING_SERVER, server_id)
    log_event(world, "INFO", "server_removed", server=server_id, reason=reason)


def _relisted_at_s(world: World) -> float:
    """Return the time by which all servers that still run are listed again.

    They write their entries again that expired in an outage of the platform, or that
    its store lost when it was restored.
    """
    view = registry_view(world, RegistryPart.SERVERS)
    lost_at_s = max(view.read_failed_at_s, view.restored_at_s)
    return lost_at_s + RELISTING_S if lost_at_s > 0 else 0.0


def remove_server(world: World, server_id: str, now: Instant) -> None:
    """Remove a server, or schedule its removal.

    Soon after an outage of the platform, it may still be listed again.
    """
    if server_id not in world.backend_servers:
        return
    due_s = _relisted_at_s(world)
    if now.monotonic_s >= due_s:
        _delete_server(world, server_id, "removed from the registry", now)
    else:
        _schedule_removal(world, server_id, due_s)


def _schedule_removal(world: World, server_id: str, due_s: float) -> None:
    if server_id in world.backend_servers and server_id not in world.missing_servers:
        world.missing_servers.insert(MissingServerRow(server_id))
        start_timer(world, TimerKind.MISSING_SERVER, server_id, due_s)


def find_missing_servers(world: World, now: Instant) -> tuple[MissingServer, ...]:
    """Return the servers that are no longer listed, with the time to their removal."""
    timers = [
        world.timers.fetch((TimerKind.MISSING_SERVER, row.server_id))
        for row in world.missing_servers
    ]
    return tuple(
        MissingServer(timer.timer_id[1], timer.due_s - now.monotonic_s)
        for timer in timers
    )


@timer_handlers(TimerKind.MISSING_SERVER)
def remove_missing_server(world: World, server_id: str, now: Instant) -> None:
    """Remove a server that was not listed again in time."""
    _delete_server(world, server_id, "not listed again after a platform outage", now)


def apply_servers(
    world: World,
    servers: tuple[BackendServerRow, ...],
    removed: tuple[str, ...],
    version: int,
    is_complete: bool,
    source: str,
    now: Instant,
    missing: tuple[MissingServer, ...] = (),
    gaps: tuple[RegistryGap, ...] = (),
    suspended: tuple[SuspendedServer, ...] = (),
) -> bool:
    """Apply a new version of the server list if it is newer than the one held.

    Servers that are not in ``servers`` are removed if ``is_complete``, otherwise only
    those in ``removed``. Another VM as the source tells which removals have to wait:
    those of the servers in ``missing``. They are scheduled here, because the version
    of the list won't change when the source removes them. The same holds for
    ``suspended``, which are used later. ``gaps`` are those of the source after the
    version held, unless ``is_complete``.

    Returns:
        Whether it was newer.
    """
    held_version = registry_view(world, RegistryPart.SERVERS).version
    if version <= held_version:
        return False
    if begin_era(world, version, now):
        servers, own_suspended = correct_restored(world, servers, now)
        suspended = (*own_suspended, *suspended)
    servers = tuple(
        world.backend_servers.fetch(server.server_id)
        if is_still_suspended(world, server)
        else server
        for server in servers
    )
    changed = servers
    if is_complete:
        listed = {server.server_id for server in servers}
        held = {row.server_id for row in world.backend_servers}
        removed = tuple(held - listed)
        changed = tuple(row for row in servers if _is_changed(world, row))
    services = {server.service for server in servers}
    for server in servers:
        old = world.backend_servers.get(server.server_id)
        if old is not None:
            services.add(old.service)
        _store_server(world, server, now)
    for service in services:
        _update_slots(world, service)
    for server_id in removed:
        if source == PLATFORM_SOURCE:
            remove_server(world, server_id, now)
        else:
            _delete_server(world, server_id, "removed on the VM copied from", now)
    for server_id, removal_in_s in missing:
        _schedule_removal(world, server_id, now.monotonic_s + removal_in_s)
    _suspend(world, suspended, now)
    part = RegistryPart.SERVERS
    record_version(world, part, version)
    subjects = [server.server_id for server in changed]
    record_changes(world, part, held_version, [*subjects, *removed])
    record_gaps(
        world, part, (RegistryGap(held_version, version),) if is_complete else gaps
    )
    log_event(
        world,
        "INFO",
        "servers_applied",
        version=version,
        previous=held_version,
        n_changed=len(changed),
        n_removed=len(removed),
        source=source,
    )
    return True
