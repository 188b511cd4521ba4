"""Detects by heartbeats which VMs are alive, and announces this VM.

Each VM writes its row to the registry once and only then reads the list of VMs, so
of any two VMs that start together at least one finds the other.
"""

import math

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import Heartbeat
from burdockhitch.systems.direct.budget import (
    forget_peer_usages,
    pop_own_usages,
    record_peer_usages,
)
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.evidence.run_times import update_totals
from burdockhitch.systems.direct.evidence.summaries import (
    own_summaries,
    record_summaries,
)
from burdockhitch.systems.direct.quotas.home import own_cession, record_cession
from burdockhitch.systems.direct.recent_successes import (
    pop_unreported_in_zone,
    record_peer_successes,
)
from burdockhitch.systems.direct.reports import (
    last_reported_loads,
    live_peers,
    replace_reported_loads,
)
from burdockhitch.systems.local_vm import make_local_vm_row
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    log_event,
    pop_events,
    post_event,
    send,
    start_platform_operation,
    start_timer,
)

HEARTBEAT_S = 1.0
# VMs of other zones, of which this VM hears by lists, may be silent for so many times
# HEARTBEAT_TIMEOUT_S.
OTHER_ZONE_FACTOR = 4
# Three missed heartbeats, and a margin for network delay.
HEARTBEAT_TIMEOUT_S = 3.2
# Time without messages of any VM after which this VM considers itself cut off.
CUT_OFF_S = 1.2 * HEARTBEAT_S
# Time without messages after which the row of a dead VM is removed.
DEAD_REMOVAL_S = 30.0
# Shortest delay before a failed write is retried, and the most that is added to it at
# random.
WRITE_RETRY_S = 0.5
WRITE_RETRY_JITTER_S = 4.0
PURPOSE_WRITE = "write_vm"
# Subjects of the timer.
SEND_HEARTBEAT = "beat"
WRITE_OWN_ROW = "write"


def start_membership(world: World, now: Instant) -> None:
    """Insert this VM's row, send it to the seeds and write it to the registry."""
    settings = world.settings.vm
    own = make_local_vm_row(world, now)._replace(
        admin_address=settings.admin_address, is_ready=False
    )
    world.vms.insert(own)
    seeds = tuple(
        address
        for address in world.settings.membership.seeds
        if address != settings.message_address
    )
    if seeds:
        message = Heartbeat(own, None, True)
        send(world, commands.BroadcastMessage(seeds, message))
    write_own_row(world, WRITE_OWN_ROW, now)
    offset_s = world.rng.random() * HEARTBEAT_S
    start_timer(world, TimerKind.HEARTBEAT, SEND_HEARTBEAT, now.monotonic_s + offset_s)


def is_leaving(world: World) -> bool:
    """Return whether this VM is shutting down."""
    return world.vms.fetch(world.local.vm_id).status is VmStatus.LEAVING


def write_own_row(world: World, _subject: str, now: Instant) -> None:
    """Write this VM's row to the registry."""
    own = world.vms.fetch(world.local.vm_id)
    operation_id = start_platform_operation(world, PURPOSE_WRITE, own.vm_id, now)
    send(world, commands.WriteVm(operation_id, own))


@system(Phase.OWNERSHIP, DIRECT)
def handle_row_writes(world: World, now: Instant) -> None:
    """Schedule a retry of each failed write; read the list of VMs after every write."""
    for event in pop_events(world, events.RowWritten):
        operation = world.platform_operations.get(event.operation_id)
        if operation is None:
            continue
        world.platform_operations.remove(event.operation_id)
        if operation.purpose != PURPOSE_WRITE:
            continue
        # Reading the list may work even if the write failed.
        start_timer(world, TimerKind.REGISTRY_READ, RegistryPart.VMS, now.monotonic_s)
        if event.error is not None:
            schedule_row_write(world, now)


def schedule_row_write(world: World, now: Instant) -> None:
    """Write this VM's row again after a random delay, as many VMs may do so."""
    delay_s = WRITE_RETRY_S + world.rng.random() * WRITE_RETRY_JITTER_S
    due_s = now.monotonic_s + delay_s
    start_timer(world, TimerKind.HEARTBEAT, WRITE_OWN_ROW, due_s)


def refresh_own_row(world: World, now: Instant) -> VmRow:
    """Update this VM's row from its views of the registry parts, and return it."""
    own = world.vms.fetch(world.local.vm_id)
    configuration = registry_view(world, RegistryPart.CONFIGURATION)
    servers = registry_view(world, RegistryPart.SERVERS)
    platform_answered_at_s = max(
        configuration.platform_answered_at_s, servers.platform_answered_at_s
    )
    age_s = (
        now.monotonic_s - platform_answered_at_s if platform_answered_at_s else math.inf
    )
    is_ready = configuration.version > 0 and servers.version > 0
    own = own._replace(
        status_updated_at_s=now.monotonic_s,
        is_ready=is_ready and own.status is VmStatus.ALIVE,
        platform_answer_age_s=age_s,
        configuration_version=configuration.version,
        servers_version=servers.version,
    )
    world.vms.replace(own)
    return own


def broadcast_heartbeat(
    world: World, now: Instant, include_other_zones: bool = True
) -> None:
    """Send a heartbeat to this zone and, if ``include_other_zones``, to all others.

    Loads, recent successes, requests and retries go to this zone only.
    """
    own = refresh_own_row(world, now)
    peers = live_peers(world)
    same_zone = [vm.message_address for vm in peers if vm.zone == own.zone]
    succeeded_server_ids = pop_unreported_in_zone(world, now)
    _send_heartbeat(
        world,
        same_zone,
        Heartbeat(
            own,
            last_reported_loads(world),
            False,
            succeeded_server_ids,
            pop_own_usages(world),
            own_summaries(world, now),
            own_cession(world, now),
        ),
    )
    if include_other_zones:
        other_zones = [vm.message_address for vm in peers if vm.zone != own.zone]
        _send_heartbeat(world, other_zones, Heartbeat(own, None))


def _send_heartbeat(world: World, addresses: list[str], message: Heartbeat) -> None:
    if addresses:
        send(world, commands.BroadcastMessage(tuple(addresses), message))


def is_silent(world: World, vm: VmRow, now: Instant) -> bool:
    """Return whether a VM sent nothing for so long that it has failed or is cut off.

    A silent VM isn't marked dead while no VM sends messages, as then this VM may be
    the one that is cut off.
    """
    factor = 1 if vm.zone == world.local.zone else OTHER_ZONE_FACTOR
    return now.monotonic_s - vm.status_updated_at_s > HEARTBEAT_TIMEOUT_S * factor


def _mark_silent_vms(world: World, now: Instant) -> None:
    """Mark silent VMs as dead, and remove those silent for ``DEAD_REMOVAL_S``."""
    peers = [vm for vm in world.vms if vm.vm_id != world.local.vm_id]
    heard_at_s = max((vm.status_updated_at_s for vm in peers), default=0.0)
    if now.monotonic_s - heard_at_s > CUT_OFF_S:
        # All are silent: this VM is more likely cut off than all others dead.
        return
    live_zones = {vm.zone for vm in peers if vm.status is not VmStatus.DEAD}
    for vm in [vm for vm in peers if is_silent(world, vm, now)]:
        silent_s = now.monotonic_s - vm.status_updated_at_s
        # The VMs of a lost zone are kept, to find it again.
        if silent_s > DEAD_REMOVAL_S and vm.zone in live_zones:
            world.vms.remove(vm.vm_id)
            replace_reported_loads(world, vm.vm_id, ())
            forget_peer_usages(world, vm.vm_id)
        elif vm.status is not VmStatus.DEAD:
            _mark_dead(world, vm)


def _mark_dead(world: World, vm: VmRow) -> None:
    world.vms.replace(vm._replace(status=VmStatus.DEAD))
    replace_reported_loads(world, vm.vm_id, ())
    log_event(world, "WARNING", "vm_silent", vm=vm.vm_id, zone=vm.zone)


@timer_handlers(TimerKind.HEARTBEAT)
def handle_heartbeat_timer(world: World, subject: str, now: Instant) -> None:
    """Detect silent VMs and send a heartbeat, or retry the write of this VM's row."""
    if subject == WRITE_OWN_ROW:
        write_own_row(world, subject, now)
        return
    _mark_silent_vms(world, now)
    update_totals(world, now)
    broadcast_heartbeat(world, now, include_other_zones=False)
    due_s = now.monotonic_s + HEARTBEAT_S
    start_timer(world, TimerKind.HEARTBEAT, SEND_HEARTBEAT, due_s)


def apply_vm_row(world: World, row: VmRow, now: Instant) -> None:
    """Store the row that another VM sent about itself.

    A late message of an older incarnation is ignored while the newer one is alive.
    Once the newer one is dead, an older one is accepted: the VM may have restarted
    after its clock was set back.
    """
    old = world.vms.get(row.vm_id)
    is_alive = old is not None and old.status is VmStatus.ALIVE
    if is_alive and old is not None and row.incarnation < old.incarnation:
        return
    if old is None or old.status is VmStatus.DEAD:
        log_event(world, "INFO", "vm_heard", vm=row.vm_id, zone=row.zone)
    world.vms.put(row._replace(status_updated_at_s=now.monotonic_s))
    if has_newer_registry(world, row):
        post_event(world, events.NewerVersionReported(row.vm_id))


def has_newer_registry(world: World, vm: VmRow) -> bool:
    """Return whether a VM reports a newer configuration or server list than this VM."""
    return (
        vm.configuration_version
        > registry_view(world, RegistryPart.CONFIGURATION).version
        or vm.servers_version > registry_view(world, RegistryPart.SERVERS).version
    )


def add_listed_vm(world: World, row: VmRow, now: Instant) -> None:
    """Store a VM from a list if it is new or has restarted.

    It counts as alive until it is silent for too long, and as not ready until its
    own heartbeat arrives.
    """
    old = world.vms.get(row.vm_id)
    if row.vm_id == world.local.vm_id:
        return
    if old is None or old.incarnation < row.incarnation:
        world.vms.put(row._replace(status_updated_at_s=now.monotonic_s, is_ready=False))


def _without_older_news(world: World, row: VmRow) -> VmRow:
    """Return a listed row without what is older than the VM's own heartbeats."""
    old = world.vms.get(row.vm_id)
    if old is None or old.incarnation != row.incarnation:
        return row
    if old.status is VmStatus.LEAVING:
        return old
    return row._replace(
        configuration_version=max(old.configuration_version, row.configuration_version),
        servers_version=max(old.servers_version, row.servers_version),
    )


def apply_zone_members(
    world: World, zone: str, members: tuple[VmRow, ...], now: Instant
) -> None:
    """Apply the list of another zone's VMs; those that left it are dead.

    A VM that isn't listed yet but was heard lately has just started.
    """
    for row in members:
        apply_vm_row(world, _without_older_news(world, row), now)
    listed = {row.vm_id for row in members}
    for vm in world.vms.select("zone", zone):
        silent_s = now.monotonic_s - vm.status_updated_at_s
        is_lost = vm.vm_id not in listed and silent_s > HEARTBEAT_TIMEOUT_S
        if is_lost and vm.status is not VmStatus.DEAD:
            _mark_dead(world, vm)


@message_handlers("heartbeat")
def handle_heartbeat(
    world: World, sender_vm_id: str, message: Heartbeat, now: Instant
) -> None:
    """Apply a heartbeat, and reply with one if asked to or if the sender is new."""
    if sender_vm_id == world.local.vm_id:
        return
    is_new = sender_vm_id not in world.vms
    apply_vm_row(world, message.row, now)
    if message.loads is not None:
        replace_reported_loads(world, sender_vm_id, message.loads)
    record_peer_successes(
        world, message.succeeded_server_ids, now, is_from_other_zone=False
    )
    record_peer_usages(world, sender_vm_id, message.usages, now)
    record_summaries(world, sender_vm_id, message.run_times, now)
    if message.row.zone == world.local.zone and message.loads is not None:
        record_cession(world, sender_vm_id, message.cession, now)
    if message.is_reply_requested or is_new:
        own = refresh_own_row(world, now)
        addresses = (message.row.message_address,)
        is_same_zone = message.row.zone == own.zone
        reply = Heartbeat(
            own,
            last_reported_loads(world),
            run_times=own_summaries(world, now) if is_same_zone else (),
            cession=own_cession(world, now),
        )
        send(world, commands.BroadcastMessage(addresses, reply))
