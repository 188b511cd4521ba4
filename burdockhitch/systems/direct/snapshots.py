"""Copies the registry from VMs that hold newer versions of it."""

from typing import Any

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import ConfigurationCopy, ServersCopy, Snapshot
from burdockhitch.errors import SnapshotBusyError
from burdockhitch.settings import BYTES_PER_MBIT
from burdockhitch.systems.direct.configuration import (
    ACCOUNT_SUBJECT,
    ROUTE_SUBJECT,
    apply_configuration,
    merge_accounts,
    merge_routes,
    registry_view,
    select_subjects,
)
from burdockhitch.systems.direct.membership import (
    add_listed_vm,
    broadcast_heartbeat,
    has_newer_registry,
)
from burdockhitch.systems.direct.registry_changes import find_changes, find_gaps
from burdockhitch.systems.direct.servers import (
    apply_servers,
    find_missing_servers,
    find_suspended_servers,
)
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.registry_views import CopyQueueRow, RegistryPart
from burdockhitch.tables.table import Table
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    discard_events,
    log_event,
    pop_events,
    send,
    start_platform_operation,
    start_timer,
)

PURPOSE_SNAPSHOT = "read_snapshot"
# Delay of a copy from another zone, so that this VM can copy from its own zone instead,
# whose reader learns of a change at the same time as the other zone's.
OTHER_ZONE_DELAY_S = 0.25
COPY_RETRY_S = 0.2
# Longest delay until this VM asks a VM of its zone again, after all were busy.
BUSY_RETRY_S = 0.1
# Fraction of the link at which copies are expected to be sent.
COPY_LINK_FRACTION = 0.8
# Longest time that a copy may wait for others. More copies at once only delay each
# other beyond their time limit, while VMs that already got one could serve the rest.
COPY_QUEUE_MAX_S = 0.1
# Size of a copy from which on a VM announces to its zone that it got it, so that
# others can copy from it before its next heartbeat.
ANNOUNCED_COPY_MIN_BYTES = 4096
# Subjects of the timer.
COPY_FROM_ANY_ZONE = "copy"
COPY_AFTER_BUSY = "busy"


def make_snapshot(
    world: World,
    configuration_version: int,
    servers_version: int,
    n_vms: int,
    now: Instant,
) -> Snapshot:
    """Return what changed in the registry since the versions of the requester.

    Args:
        world: Tables of this VM.
        configuration_version: Version of the configuration that the requester holds.
        servers_version: Version of the backend servers that the requester holds.
        n_vms: Number of VMs that the requester knows. The list of VMs is left out if
            this VM knows no more.
        now: Time of the copy.
    """
    return Snapshot(
        _copy_configuration(world, configuration_version),
        _copy_servers(world, servers_version, now),
        tuple(world.vms) if len(world.vms) > n_vms else (),
    )


def _copy_configuration(world: World, version: int) -> ConfigurationCopy | None:
    document = next(iter(world.configurations), None)
    if document is None or document.version <= version:
        return None
    changed = find_changes(world, RegistryPart.CONFIGURATION, version)
    if changed is None:
        return ConfigurationCopy(document, (), True, 0, ())
    routes, removed_route_ids = _split_removed(
        world.prefix_routes, select_subjects(changed, ROUTE_SUBJECT)
    )
    accounts, removed_accounts = _split_removed(
        world.client_accounts, select_subjects(changed, ACCOUNT_SUBJECT)
    )
    gaps = find_gaps(world, RegistryPart.CONFIGURATION, version)
    document = document._replace(routes=routes, accounts=accounts)
    return ConfigurationCopy(
        document, removed_route_ids, False, version, gaps, removed_accounts
    )


def _split_removed(
    table: Table[Any], names: tuple[str, ...]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    """Return the rows of those changed entries that a table has, and the others."""
    rows = tuple(table.fetch(name) for name in names if name in table)
    return rows, tuple(name for name in names if name not in table)


def _copy_servers(world: World, version: int, now: Instant) -> ServersCopy | None:
    held_version = registry_view(world, RegistryPart.SERVERS).version
    if held_version <= version:
        return None
    changed = find_changes(world, RegistryPart.SERVERS, version)
    missing = find_missing_servers(world, now)
    suspended = find_suspended_servers(world, now)
    if changed is None:
        listed = tuple(world.backend_servers)
        return ServersCopy(held_version, listed, (), True, missing, 0, (), suspended)
    servers = tuple(
        world.backend_servers.fetch(server_id)
        for server_id in changed
        if server_id in world.backend_servers
    )
    removed = tuple(
        server_id for server_id in changed if server_id not in world.backend_servers
    )
    gaps = find_gaps(world, RegistryPart.SERVERS, version)
    return ServersCopy(
        held_version, servers, removed, False, missing, version, gaps, suspended
    )


def _sent_at_s(world: World, now: Instant) -> float:
    """Return when all copies so far will have been sent, or the current time."""
    queue = world.copy_queues.get(world.local.vm_id)
    return max(queue.ends_at_s, now.monotonic_s) if queue else now.monotonic_s


def is_sending_copies(world: World, now: Instant) -> bool:
    """Return whether this VM still sends so many copies that it refuses another."""
    return _sent_at_s(world, now) - now.monotonic_s > COPY_QUEUE_MAX_S


def record_sent_copy(world: World, n_bytes: int, now: Instant) -> None:
    """Record that this VM began to send a copy."""
    bytes_per_s = COPY_LINK_FRACTION * world.settings.direct.link_mbps * BYTES_PER_MBIT
    ends_at_s = _sent_at_s(world, now) + n_bytes / bytes_per_s
    world.copy_queues.put(CopyQueueRow(world.local.vm_id, ends_at_s))


def _find_sources(world: World) -> list[VmRow]:
    """Return the VMs that hold newer versions and can be copied from."""
    return [
        vm
        for vm in world.vms
        if vm.vm_id != world.local.vm_id
        and vm.status is not VmStatus.DEAD
        and vm.admin_address
        and has_newer_registry(world, vm)
    ]


def _is_copying(world: World) -> bool:
    return any(row.purpose == PURPOSE_SNAPSHOT for row in world.platform_operations)


def _start_copy(world: World, source: VmRow, now: Instant) -> None:
    operation_id = start_platform_operation(world, PURPOSE_SNAPSHOT, source.vm_id, now)
    count(world, "snapshots_read")
    send(
        world,
        commands.ReadSnapshot(
            operation_id,
            source.admin_address,
            registry_view(world, RegistryPart.CONFIGURATION).version,
            registry_view(world, RegistryPart.SERVERS).version,
            len(world.vms) if world.vms.fetch(world.local.vm_id).is_ready else 0,
        ),
    )


@system(Phase.OWNERSHIP, DIRECT)
def copy_newer_registry(world: World, now: Instant) -> None:
    """Start a copy if another VM reported newer versions."""
    if discard_events(world, events.NewerVersionReported):
        _plan_copy(world, now)


def _plan_copy(world: World, now: Instant) -> None:
    """Copy from a VM of this zone, or schedule a copy from any other zone."""
    if _is_copying(world) or (TimerKind.SNAPSHOT_COPY, COPY_AFTER_BUSY) in world.timers:
        return
    sources = _find_sources(world)
    if not sources:
        world.timers.discard((TimerKind.SNAPSHOT_COPY, COPY_FROM_ANY_ZONE))
        return
    same_zone = [vm for vm in sources if vm.zone == world.local.zone]
    if same_zone:
        _start_copy(world, world.rng.choice(same_zone), now)
        return
    timer = world.timers.get((TimerKind.SNAPSHOT_COPY, COPY_FROM_ANY_ZONE))
    if timer is None:
        due_s = now.monotonic_s + OTHER_ZONE_DELAY_S
        start_timer(world, TimerKind.SNAPSHOT_COPY, COPY_FROM_ANY_ZONE, due_s)


@timer_handlers(TimerKind.SNAPSHOT_COPY)
def handle_copy_timer(world: World, subject: str, now: Instant) -> None:
    """Copy from any VM that still holds newer versions, or plan a copy again."""
    if subject == COPY_AFTER_BUSY:
        _plan_copy(world, now)
        return
    sources = _find_sources(world)
    if sources and not _is_copying(world):
        _start_copy(world, world.rng.choice(sources), now)


@system(Phase.OWNERSHIP, DIRECT)
def handle_snapshots(world: World, now: Instant) -> None:
    """Apply the snapshots that were read, or record that a read failed."""
    for event in pop_events(world, events.SnapshotRead):
        operation = world.platform_operations.get(event.operation_id)
        if operation is None:
            continue
        world.platform_operations.remove(event.operation_id)
        elapsed_s = now.monotonic_s - operation.started_at_s
        if event.snapshot is None:
            _handle_failure(world, operation.subject, event, elapsed_s, now)
        else:
            _log_copy(world, event.snapshot, operation.subject, elapsed_s)
            is_large = event.n_bytes >= ANNOUNCED_COPY_MIN_BYTES
            _apply_snapshot(world, event.snapshot, operation.subject, is_large, now)
        _plan_copy(world, now)


def _log_copy(world: World, snapshot: Snapshot, source: str, elapsed_s: float) -> None:
    configuration, servers = snapshot.configuration, snapshot.servers
    log_event(
        world,
        "INFO",
        "registry_copied",
        source=source,
        elapsed_s=round(elapsed_s, 3),
        n_servers=len(servers.servers) if servers else 0,
        servers_version=servers.version if servers else 0,
        n_routes=len(configuration.document.routes) if configuration else 0,
        n_accounts=len(configuration.document.accounts) if configuration else 0,
        configuration_version=configuration.document.version if configuration else 0,
    )


def _handle_failure(
    world: World,
    source: str,
    event: events.SnapshotRead,
    elapsed_s: float,
    now: Instant,
) -> None:
    """Log a failed copy and schedule a retry; reset the versions of a silent source."""
    is_busy = event.error is not None and issubclass(event.error, SnapshotBusyError)
    log_event(
        world,
        "INFO" if is_busy else "WARNING",
        "snapshot_failed",
        source=source,
        elapsed_s=round(elapsed_s, 3),
        error=event.error.__name__ if event.error else "",
    )
    if is_busy:
        delay_s = BUSY_RETRY_S * (0.5 + 0.5 * world.rng.random())
        due_s = now.monotonic_s + delay_s
        start_timer(world, TimerKind.SNAPSHOT_COPY, COPY_AFTER_BUSY, due_s)
        return
    vm = world.vms.get(source)
    if vm is not None:
        # It becomes a source again when it next reports its versions.
        world.vms.replace(vm._replace(configuration_version=0, servers_version=0))
    start_timer(
        world,
        TimerKind.SNAPSHOT_COPY,
        COPY_FROM_ANY_ZONE,
        now.monotonic_s + COPY_RETRY_S,
    )


def _record_source_versions(world: World, snapshot: Snapshot, source: str) -> None:
    """Record what the source holds, so that a dropped copy is planned again."""
    vm = world.vms.get(source)
    if vm is None:
        return
    if snapshot.configuration is not None:
        version = max(vm.configuration_version, snapshot.configuration.document.version)
        vm = vm._replace(configuration_version=version)
    if snapshot.servers is not None:
        version = max(vm.servers_version, snapshot.servers.version)
        vm = vm._replace(servers_version=version)
    world.vms.replace(vm)


def _is_relative_to_held(
    world: World,
    part: RegistryPart,
    version: int,
    copy: ConfigurationCopy | ServersCopy,
    source: str,
) -> bool:
    """Return whether a copy can be applied to the version held; log it if not.

    Changes since an older version may lack an entry that changed and changed back.
    """
    held_version = registry_view(world, part).version
    if copy.is_complete or copy.from_version == held_version:
        return True
    log_event(
        world,
        "INFO",
        "stale_copy_dropped",
        source=source,
        subject=part,
        version=version,
        held=held_version,
    )
    return False


def _apply_configuration(
    world: World, copy: ConfigurationCopy, source: str, now: Instant
) -> bool:
    """Apply a copied configuration; return whether it was applied."""
    part = RegistryPart.CONFIGURATION
    if not _is_relative_to_held(world, part, copy.document.version, copy, source):
        return False
    if copy.is_complete:
        return apply_configuration(world, copy.document, source, now)
    held = next(iter(world.configurations))
    document = merge_routes(held, copy.document, copy.removed_route_ids)
    document = merge_accounts(held, document, copy.removed_accounts)
    route_ids = [route.route_id for route in copy.document.routes]
    accounts = [row.account for row in copy.document.accounts]
    changed = (
        *(ROUTE_SUBJECT + name for name in (*route_ids, *copy.removed_route_ids)),
        *(ACCOUNT_SUBJECT + name for name in (*accounts, *copy.removed_accounts)),
    )
    return apply_configuration(world, document, source, now, changed, copy.gaps)


def _apply_servers(world: World, copy: ServersCopy, source: str, now: Instant) -> bool:
    """Apply a copied list of servers; return whether it was applied."""
    if not _is_relative_to_held(
        world, RegistryPart.SERVERS, copy.version, copy, source
    ):
        return False
    return apply_servers(
        world,
        copy.servers,
        copy.removed_server_ids,
        copy.version,
        copy.is_complete,
        source,
        now,
        copy.missing,
        copy.gaps,
        copy.suspended,
    )


def _apply_snapshot(
    world: World, snapshot: Snapshot, source: str, is_large: bool, now: Instant
) -> None:
    """Apply a snapshot; announce this VM if it may be ready, or may serve others."""
    is_changed = False
    _record_source_versions(world, snapshot, source)
    if snapshot.configuration is not None:
        is_changed = _apply_configuration(world, snapshot.configuration, source, now)
    if snapshot.servers is not None:
        is_changed |= _apply_servers(world, snapshot.servers, source, now)
    for row in snapshot.vms:
        add_listed_vm(world, row, now)
    was_ready = world.vms.fetch(world.local.vm_id).is_ready
    if is_changed and (is_large or not was_ready):
        broadcast_heartbeat(world, now, include_other_zones=not was_ready)
