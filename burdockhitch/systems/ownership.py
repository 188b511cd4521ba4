"""Gives each backend server one owner VM by rendezvous hashing.

The owner is the VM with the highest hash among those of the server's
availability zone, else of the region. See Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", IEEE/ACM ToN 6 (1998).
"""

import hashlib

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.lifecycles.backend_server import SERVER_LIFE_CYCLE
from burdockhitch.messages import ServerHandover
from burdockhitch.systems.ejection import suspect_at_once
from burdockhitch.systems.health import change_state, count_suspects
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.backend_servers import (
    BackendServerRow,
    CapacityRow,
    DisownRow,
    OwnershipRow,
    SlotRow,
)
from burdockhitch.tables.health_signals import HealthRow, ServerState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, send_message, start_timer, take_events

SCORE_BYTES = 8
IN_ZONE_BONUS = 1 << (8 * SCORE_BYTES)
OWNER_STATUSES = frozenset({VmStatus.ALIVE, VmStatus.SUSPECT})


def hash_score(vm_id: str, server_id: str) -> int:
    """Return the rendezvous hash of a VM and a backend server."""
    text = f"{vm_id}|{server_id}".encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest)


def _score(vm: VmRow, server: BackendServerRow) -> int:
    bonus = IN_ZONE_BONUS if vm.zone == server.zone else 0
    return bonus + hash_score(vm.vm_id, server.server_id)


def _may_own(world: World, vm: VmRow) -> bool:
    return vm.status in OWNER_STATUSES and vm.region == world.local.region


def _is_disowned(world: World, vm: VmRow, server: BackendServerRow) -> bool:
    return (server.server_id, vm.vm_id) in world.disowns


def _find_owner(world: World, server: BackendServerRow) -> OwnershipRow:
    able = [vm for vm in world.vms if _may_own(world, vm)]
    willing = [vm for vm in able if not _is_disowned(world, vm, server)] or able
    vms = [vm for vm in willing if vm.zone == server.zone] or willing
    score, owner = max(((_score(vm, server), vm.vm_id) for vm in vms), default=(0, ""))
    return OwnershipRow(server.server_id, server.service, server.n_slots, owner, score)


def _add_capacity(world: World, row: OwnershipRow, sign: int) -> None:
    if not row.owner_vm_id:
        return
    key = (row.service, row.owner_vm_id)
    capacity = world.capacities.get(key)
    if capacity is None:
        capacity = CapacityRow(key, row.service, row.owner_vm_id, 0, 0)
    n_slots = capacity.n_slots + sign * row.n_slots
    n_free = capacity.n_free + sign * row.n_slots
    if n_slots <= 0:
        world.capacities.discard(key)
    else:
        world.capacities.put(capacity._replace(n_slots=n_slots, n_free=n_free))


def _start_owning(world: World, row: OwnershipRow, now: Instant) -> None:
    slot = world.slots.get(row.server_id)
    n_in_flight = slot.n_in_flight if slot else 0
    world.slots.put(SlotRow(row.server_id, row.service, n_in_flight, row.n_slots))
    health = HealthRow(
        row.server_id,
        row.service,
        ServerState.HEALTHY,
        error_evidence=0.0,
        lateness_evidence=0.0,
        n_samples=0,
        n_consecutive_failures=0,
        n_ejections=0,
        cause="",
        changed_at_s=now.monotonic_s,
    )
    world.health_signals.put(health)
    count_suspects(world, row.service)


def _follow_rules(world: World, server: BackendServerRow, now: Instant) -> None:
    """Drain a server that the rules say is leaving, or take it back."""
    row = world.health_signals.get(server.server_id)
    event = "drain" if server.is_draining else "undrain"
    if row is not None and SERVER_LIFE_CYCLE.can_advance(row.state, event):
        change_state(world, row, event, now)


def _stop_owning(world: World, row: OwnershipRow, new_owner_vm_id: str) -> None:
    slot = world.slots.get(row.server_id)
    if slot is not None and slot.n_in_flight == 0:
        world.slots.remove(row.server_id)
    health = world.health_signals.get(row.server_id)
    world.permit_uses.discard(row.server_id)
    if health is None:
        return
    world.health_signals.remove(row.server_id)
    count_suspects(world, row.service)
    is_suspect = health.state in (ServerState.SUSPECT, ServerState.EJECTED)
    message = ServerHandover(row.server_id, is_suspect, health.n_ejections)
    is_reachable = (row.server_id, world.local.vm_id) not in world.disowns
    if new_owner_vm_id and is_suspect and is_reachable:
        send_message(world, new_owner_vm_id, message)


def _set_owner(world: World, new: OwnershipRow, now: Instant) -> None:
    old = world.ownerships.get(new.server_id)
    if old is not None:
        _add_capacity(world, old, -1)
    _add_capacity(world, new, +1)
    world.ownerships.put(new)
    was_owned = old is not None and old.owner_vm_id == world.local.vm_id
    is_owned = new.owner_vm_id == world.local.vm_id
    if is_owned and (not was_owned or (old and old.n_slots != new.n_slots)):
        _start_owning(world, new, now)
        _follow_rules(world, world.backend_servers.fetch(new.server_id), now)
    elif was_owned and not is_owned:
        _stop_owning(world, new, new.owner_vm_id)


def _remove_server(world: World, server_id: str) -> None:
    row = world.ownerships.remove(server_id)
    _add_capacity(world, row, -1)
    if row.owner_vm_id == world.local.vm_id:
        _stop_owning(world, row, "")


def _apply_revision(world: World, now: Instant) -> None:
    for row in world.ownerships:
        if row.server_id not in world.backend_servers:
            _remove_server(world, row.server_id)
    for server in world.backend_servers:
        old = world.ownerships.get(server.server_id)
        if old is None or old.n_slots != server.n_slots:
            _set_owner(world, _find_owner(world, server), now)
        _follow_rules(world, server, now)


def _is_zone_empty(world: World, zone: str) -> bool:
    return not any(_may_own(world, vm) for vm in world.vms.select("zone", zone))


def _add_vm(world: World, vm: VmRow, now: Instant) -> None:
    zones = [
        zone
        for zone in world.backend_servers.values("zone")
        if zone == vm.zone or _is_zone_empty(world, zone)
    ]
    for zone in zones:
        for server in world.backend_servers.select("zone", zone):
            row = world.ownerships.fetch(server.server_id)
            score = _score(vm, server)
            if score > row.score and not _is_disowned(world, vm, server):
                new = row._replace(owner_vm_id=vm.vm_id, score=score)
                _set_owner(world, new, now)


def _remove_vm(world: World, vm_id: str, now: Instant) -> None:
    for row in world.ownerships.select("owner_vm_id", vm_id):
        server = world.backend_servers.fetch(row.server_id)
        _set_owner(world, _find_owner(world, server), now)


@system(Phase.OWNERSHIP)
def update_ownerships(world: World, now: Instant) -> None:
    """Follow changes of the configuration and of the membership view."""
    if take_events(world, events.RevisionApplied):
        _apply_revision(world, now)
    vm_ids = {event.vm_id for event in take_events(world, events.ViewChanged)}
    for vm_id in sorted(vm_ids):
        vm = world.vms.get(vm_id)
        if vm is not None and _may_own(world, vm):
            _add_vm(world, vm, now)
        else:
            _remove_vm(world, vm_id, now)


@system(Phase.OWNERSHIP)
def follow_disowns(world: World, now: Instant) -> None:
    """Give servers that their owner can't reach to another VM."""
    for event in take_events(world, events.ServerDisowned):
        world.disowns.put(DisownRow((event.server_id, event.vm_id)))
        due_s = now.monotonic_s + event.duration_s
        subject = f"{event.server_id} {event.vm_id}"
        start_timer(world, TimerKind.DISOWN_END, subject, due_s)
        _choose_again(world, event.server_id, now)


def _choose_again(world: World, server_id: str, now: Instant) -> None:
    server = world.backend_servers.get(server_id)
    if server is not None and server_id in world.ownerships:
        _set_owner(world, _find_owner(world, server), now)


@timer_handlers(TimerKind.DISOWN_END)
def end_disown(world: World, subject: str, now: Instant) -> None:
    """Let a VM own a server again."""
    server_id, _, vm_id = subject.rpartition(" ")
    world.disowns.discard((server_id, vm_id))
    _choose_again(world, server_id, now)


@message_handlers("server_handover")
def take_handover(
    world: World, sender: str, message: ServerHandover, now: Instant
) -> None:
    """Keep the previous owner's suspicion of a server now owned here."""
    row = world.health_signals.get(message.server_id)
    if row is None or row.state is not ServerState.HEALTHY:
        return
    row = row._replace(n_ejections=message.n_ejections)
    world.health_signals.replace(row)
    if message.is_suspect:
        suspect_at_once(world, row, now)
