"""Assigns each backend server to one owner VM by rendezvous hashing.

Only the owner sends requests to the server and judges its health. It is the VM with
the highest hash among those of the server's availability zone, or of the region if
that zone has none. A VM that can't reach a server disowns it for a while.

See Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM ToN 6 (1998).
"""

import hashlib

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.lifecycles.backend_server import SERVER_LIFE_CYCLE
from burdockhitch.messages import ServerHandover
from burdockhitch.systems.ejection import inherit_suspicion
from burdockhitch.systems.health import change_server_state, record_suspect_count
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.backend_servers import (
    BackendServerRow,
    DisownedServerRow,
    OwnerCapacityRow,
    OwnershipRow,
    SlotUsageRow,
)
from burdockhitch.tables.server_health import ServerHealthRow, ServerState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    discard_events,
    pop_events,
    send_message,
    start_timer,
)

HASH_BYTES = 8
# Exceeds every hash, so that VMs of the server's zone go before those of other zones.
SAME_ZONE_BONUS = 1 << (8 * HASH_BYTES)
OWNER_STATUSES = frozenset({VmStatus.ALIVE, VmStatus.SUSPECT})


def rendezvous_hash(vm_id: str, name: str) -> int:
    """Return the rendezvous hash of a VM and the name of a backend server or duty."""
    text = f"{vm_id}|{name}".encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)


def _owner_score(vm: VmRow, server: BackendServerRow) -> int:
    bonus = SAME_ZONE_BONUS if vm.zone == server.zone else 0
    return bonus + rendezvous_hash(vm.vm_id, server.server_id)


def _is_eligible(world: World, vm: VmRow) -> bool:
    return vm.status in OWNER_STATUSES and vm.region == world.local.region


def _is_disowned(world: World, vm: VmRow, server: BackendServerRow) -> bool:
    return (server.server_id, vm.vm_id) in world.disowned_servers


def _choose_owner(world: World, server: BackendServerRow) -> OwnershipRow:
    """Return the ownership of a server by the current membership view.

    If every eligible VM has disowned the server, one of them becomes the owner anyway.
    """
    eligible = [vm for vm in world.vms if _is_eligible(world, vm)]
    candidates = [
        vm for vm in eligible if not _is_disowned(world, vm, server)
    ] or eligible
    preferred = [vm for vm in candidates if vm.zone == server.zone] or candidates
    score, owner = max(
        ((_owner_score(vm, server), vm.vm_id) for vm in preferred), default=(0, "")
    )
    return OwnershipRow(server.server_id, server.service, server.n_slots, owner, score)


def _adjust_capacity(world: World, row: OwnershipRow, sign: int) -> None:
    """Add (``sign`` 1) or subtract (-1) a server's slots at its owner's capacity."""
    if not row.owner_vm_id:
        return
    key = (row.service, row.owner_vm_id)
    capacity = world.owner_capacities.get(key)
    if capacity is None:
        capacity = OwnerCapacityRow(key, row.service, row.owner_vm_id, 0, 0)
    n_slots = capacity.n_slots + sign * row.n_slots
    n_free = capacity.n_free + sign * row.n_slots
    if n_slots <= 0:
        world.owner_capacities.discard(key)
    else:
        world.owner_capacities.put(capacity._replace(n_slots=n_slots, n_free=n_free))


def _start_owning(world: World, row: OwnershipRow, now: Instant) -> None:
    """Store a server that this VM owns now, as healthy and without evidence."""
    slot = world.slot_usages.get(row.server_id)
    n_in_flight = slot.n_in_flight if slot else 0
    world.slot_usages.put(
        SlotUsageRow(row.server_id, row.service, n_in_flight, row.n_slots)
    )
    health = ServerHealthRow(
        row.server_id,
        row.service,
        ServerState.HEALTHY,
        error_evidence=0.0,
        latency_evidence=0.0,
        n_samples=0,
        n_consecutive_failures=0,
        n_ejections=0,
        cause="",
        state_changed_at_s=now.monotonic_s,
    )
    world.server_health.put(health)
    record_suspect_count(world, row.service)


def _sync_draining(world: World, server: BackendServerRow, now: Instant) -> None:
    """Start or stop draining a server owned here, as the rules say."""
    row = world.server_health.get(server.server_id)
    event = "drain" if server.is_draining else "undrain"
    if row is not None and SERVER_LIFE_CYCLE.has_transition(row.state, event):
        change_server_state(world, row, event, now)


def _stop_owning(world: World, row: OwnershipRow, new_owner_vm_id: str) -> None:
    """Remove the slots, health and ejection permit of a server no longer owned here.

    The slots stay while requests are in flight. A suspect or ejected server is
    reported to its new owner, except one that this VM disowned because it can't
    reach it.
    """
    slot = world.slot_usages.get(row.server_id)
    if slot is not None and slot.n_in_flight == 0:
        world.slot_usages.remove(row.server_id)
    health = world.server_health.get(row.server_id)
    world.permitted_ejections.discard(row.server_id)
    if health is None:
        return
    world.server_health.remove(row.server_id)
    record_suspect_count(world, row.service)
    is_suspect = health.state in (ServerState.SUSPECT, ServerState.EJECTED)
    message = ServerHandover(row.server_id, is_suspect, health.n_ejections)
    is_reachable = (row.server_id, world.local.vm_id) not in world.disowned_servers
    if new_owner_vm_id and is_suspect and is_reachable:
        send_message(world, new_owner_vm_id, message)


def _set_owner(world: World, new: OwnershipRow, now: Instant) -> None:
    """Store an ownership, and start or stop owning the server on this VM."""
    old = world.ownerships.get(new.server_id)
    if old is not None:
        _adjust_capacity(world, old, -1)
    _adjust_capacity(world, new, +1)
    world.ownerships.put(new)
    was_owned = old is not None and old.owner_vm_id == world.local.vm_id
    is_owned = new.owner_vm_id == world.local.vm_id
    if is_owned and (not was_owned or (old and old.n_slots != new.n_slots)):
        _start_owning(world, new, now)
        _sync_draining(world, world.backend_servers.fetch(new.server_id), now)
    elif was_owned and not is_owned:
        _stop_owning(world, new, new.owner_vm_id)


def _remove_server(world: World, server_id: str) -> None:
    row = world.ownerships.remove(server_id)
    _adjust_capacity(world, row, -1)
    if row.owner_vm_id == world.local.vm_id:
        _stop_owning(world, row, "")


def _apply_revision(world: World, now: Instant) -> None:
    """Assign servers that are new or have other slots, and remove unlisted ones."""
    for row in world.ownerships:
        if row.server_id not in world.backend_servers:
            _remove_server(world, row.server_id)
    for server in world.backend_servers:
        old = world.ownerships.get(server.server_id)
        if old is None or old.n_slots != server.n_slots:
            _set_owner(world, _choose_owner(world, server), now)
        _sync_draining(world, server, now)


def _is_zone_empty(world: World, zone: str) -> bool:
    return not any(_is_eligible(world, vm) for vm in world.vms.select("zone", zone))


def _assign_to_vm(world: World, vm: VmRow, now: Instant) -> None:
    """Make a VM the owner of the servers for which it has the highest score.

    Only servers of its own zone, and of zones without an eligible VM, are considered.
    """
    zones = [
        zone
        for zone in world.backend_servers.values("zone")
        if zone == vm.zone or _is_zone_empty(world, zone)
    ]
    for zone in zones:
        for server in world.backend_servers.select("zone", zone):
            row = world.ownerships.fetch(server.server_id)
            score = _owner_score(vm, server)
            if score > row.score and not _is_disowned(world, vm, server):
                new = row._replace(owner_vm_id=vm.vm_id, score=score)
                _set_owner(world, new, now)


def _reassign_from_vm(world: World, vm_id: str, now: Instant) -> None:
    """Choose new owners for the servers of a VM that may not own any now."""
    for row in world.ownerships.select("owner_vm_id", vm_id):
        server = world.backend_servers.fetch(row.server_id)
        _set_owner(world, _choose_owner(world, server), now)


@system(Phase.OWNERSHIP)
def update_ownerships(world: World, now: Instant) -> None:
    """Update the owners after a new revision or changes of the membership view."""
    if discard_events(world, events.RevisionApplied):
        _apply_revision(world, now)
    vm_ids = {event.vm_id for event in pop_events(world, events.MembershipChanged)}
    for vm_id in sorted(vm_ids):
        vm = world.vms.get(vm_id)
        if vm is not None and _is_eligible(world, vm):
            _assign_to_vm(world, vm, now)
        else:
            _reassign_from_vm(world, vm_id, now)


@system(Phase.OWNERSHIP)
def apply_disowned_servers(world: World, now: Instant) -> None:
    """Choose another owner for each server that a VM disowned for a while."""
    for event in pop_events(world, events.ServerDisowned):
        world.disowned_servers.put(DisownedServerRow((event.server_id, event.vm_id)))
        due_s = now.monotonic_s + event.duration_s
        subject = f"{event.server_id} {event.vm_id}"
        start_timer(world, TimerKind.DISOWN_END, subject, due_s)
        _reassign_server(world, event.server_id, now)


def _reassign_server(world: World, server_id: str, now: Instant) -> None:
    server = world.backend_servers.get(server_id)
    if server is not None and server_id in world.ownerships:
        _set_owner(world, _choose_owner(world, server), now)


@timer_handlers(TimerKind.DISOWN_END)
def expire_disowned_server(world: World, subject: str, now: Instant) -> None:
    """Let a VM own a server again that it disowned."""
    server_id, _, vm_id = subject.rpartition(" ")
    world.disowned_servers.discard((server_id, vm_id))
    _reassign_server(world, server_id, now)


@message_handlers("server_handover")
def handle_server_handover(
    world: World, sender: str, message: ServerHandover, now: Instant
) -> None:
    """Take over the previous owner's suspicion and ejection count of a server.

    Nothing is taken over unless this VM owns the server and holds it healthy.
    """
    row = world.server_health.get(message.server_id)
    if row is None or row.state is not ServerState.HEALTHY:
        return
    row = row._replace(n_ejections=message.n_ejections)
    world.server_health.replace(row)
    if message.is_suspect:
        inherit_suspicion(world, row, now)
