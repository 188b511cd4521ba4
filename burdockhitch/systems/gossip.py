"""Gossips changes of the membership view and merges those from other VMs.

A digest holds the gossiped fields of one VM. A VM refutes a wrong digest about
itself by incrementing its refutation counter, which overrides that digest.
"""

import math

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.lifecycles.vm import VM_LIFE_CYCLE
from burdockhitch.messages import MembershipUpdate, VmDigest
from burdockhitch.systems.forwards import end_forwards_to_incarnation
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    current_revision,
    log_event,
    post_event,
    send,
    start_timer,
    stop_timer,
)

DIGESTS_PER_MESSAGE = 8
DEAD_RETENTION_S = 600.0
TRANSMISSIONS_PER_LOG2_VMS = 3
# Decides between digests of equal incarnation and refutation counter.
STATUS_PRECEDENCE = {
    VmStatus.ALIVE: 0,
    VmStatus.SUSPECT: 1,
    VmStatus.LEAVING: 2,
    VmStatus.DEAD: 3,
}
# Event of the life cycle that leads to each status.
EVENT_BY_STATUS = {
    VmStatus.ALIVE: "refute",
    VmStatus.SUSPECT: "suspect",
    VmStatus.LEAVING: "leave",
    VmStatus.DEAD: "die",
}


def make_digest(row: VmRow) -> VmDigest:
    """Return the digest of a VM."""
    return VmDigest(*row[:7], row.status.value)


def make_full_membership_update(world: World) -> MembershipUpdate:
    """Return a message with the whole membership view and the current revision."""
    digests = tuple(make_digest(row) for row in world.vms)
    return MembershipUpdate(current_revision(world), digests)


def select_digests(world: World) -> tuple[VmDigest, ...]:
    """Return the digests to gossip next, and count their transmission.

    They are the ones transmitted least often; the most times that each is
    transmitted grows with the logarithm of the number of VMs. This VM itself always
    comes first, for receivers that no longer have it in their view.
    """
    own = world.vms.fetch(world.local.vm_id)
    n_max = TRANSMISSIONS_PER_LOG2_VMS * math.ceil(math.log2(len(world.vms) + 1))
    pending = [
        row
        for row in world.vms
        if row.n_transmissions < n_max and row.vm_id != own.vm_id
    ]
    pending.sort(key=lambda row: row.n_transmissions)
    chosen = pending[:DIGESTS_PER_MESSAGE]
    for row in chosen:
        world.vms.replace(row._replace(n_transmissions=row.n_transmissions + 1))
    return tuple(make_digest(row) for row in (own, *chosen))


def list_peers(world: World) -> list[VmRow]:
    """Return the VMs other than this one that are not dead."""
    return [
        row
        for row in world.vms
        if row.vm_id != world.local.vm_id and row.status is not VmStatus.DEAD
    ]


def sample_peers(world: World, n_peers: int) -> list[VmRow]:
    """Return up to ``n_peers`` random other VMs that are not dead."""
    others = list_peers(world)
    return world.rng.sample(others, min(n_peers, len(others)))


def push_digest(world: World, row: VmRow) -> None:
    """Send a change of a VM to random peers at once, besides the next probes."""
    message = MembershipUpdate(current_revision(world), (make_digest(row),))
    for peer in sample_peers(world, world.settings.membership.fanout):
        send(world, commands.SendMessage(peer.vm_id, peer.message_address, message))


def _is_newer(old: VmRow, new: VmDigest) -> bool:
    """Compare incarnation, then refutation counter, then precedence of the status."""
    status = VmStatus(new.status)
    old_rank = (old.incarnation, old.n_refutations, STATUS_PRECEDENCE[old.status])
    return (new.incarnation, new.n_refutations, STATUS_PRECEDENCE[status]) > old_rank


def _make_vm_row(digest: VmDigest, now: Instant) -> VmRow:
    status = VmStatus(digest.status)
    return VmRow(*digest[:7], status=status, status_updated_at_s=now.monotonic_s)


def change_vm_status(
    world: World, row: VmRow, status: VmStatus, now: Instant, n_refutations: int
) -> None:
    """Change the status of a VM by its life cycle, and log and gossip the change."""
    status = VM_LIFE_CYCLE.next_state(row.status, EVENT_BY_STATUS[status])
    new = row._replace(
        status=status,
        n_refutations=n_refutations,
        status_updated_at_s=now.monotonic_s,
        n_transmissions=0,
        is_reachable=row.is_reachable or status is VmStatus.ALIVE,
    )
    world.vms.replace(new)
    _handle_change(world, row, new, now)


def _handle_change(world: World, old: VmRow | None, new: VmRow, now: Instant) -> None:
    """Log and gossip a change of a VM, and update its timers and forwarded requests."""
    before = old.status.value if old else "unknown"
    if old is None or old.status is not new.status:
        count(world, "vm_changes", "status", new.status)
        log_event(
            world,
            "INFO",
            "vm_changed",
            vm=new.vm_id,
            incarnation=new.incarnation,
            before=before,
            after=new.status.value,
        )
    post_event(world, events.MembershipChanged(new.vm_id))
    push_digest(world, new)
    if new.status is VmStatus.SUSPECT:
        due_s = now.monotonic_s + world.settings.membership.suspicion_s
        start_timer(world, TimerKind.SUSPICION_END, new.vm_id, due_s)
    else:
        stop_timer(world, TimerKind.SUSPICION_END, new.vm_id)
    if new.status is VmStatus.DEAD:
        due_s = now.monotonic_s + DEAD_RETENTION_S
        start_timer(world, TimerKind.DEAD_VM_REMOVAL, new.vm_id, due_s)
        _remove_service_reports(world, new.vm_id)
        end_forwards_to_incarnation(world, new.vm_id, new.incarnation, now)


def _remove_service_reports(world: World, vm_id: str) -> None:
    for row in world.service_reports:
        if row.key[1] == vm_id:
            world.service_reports.remove(row.key)


def merge_digest(world: World, digest: VmDigest, now: Instant) -> None:
    """Merge a digest from another VM into the membership view if it is newer."""
    if digest.vm_id == world.local.vm_id:
        _refute_if_suspected(world, digest, now)
        return
    old = world.vms.get(digest.vm_id)
    if old is not None and not _is_newer(old, digest):
        return
    status = VmStatus(digest.status)
    if old is not None and old.incarnation == digest.incarnation:
        event = EVENT_BY_STATUS[status]
        if VM_LIFE_CYCLE.has_transition(old.status, event):
            change_vm_status(world, old, status, now, digest.n_refutations)
        elif old.status is status:
            world.vms.replace(old._replace(n_refutations=digest.n_refutations))
        return
    new = _make_vm_row(digest, now)
    if old is not None:
        end_forwards_to_incarnation(world, old.vm_id, old.incarnation, now)
    world.vms.put(new)
    _handle_change(world, old, new, now)


def _refute_if_suspected(world: World, digest: VmDigest, now: Instant) -> None:
    """Refute a digest that lists this VM incarnation as suspect or dead."""
    own = world.vms.fetch(world.local.vm_id)
    if digest.incarnation > own.incarnation:
        log_event(world, "ERROR", "vm_id_used_twice", vm=own.vm_id)
        return
    is_suspected = VmStatus(digest.status) in (VmStatus.SUSPECT, VmStatus.DEAD)
    is_this_incarnation = digest.incarnation == own.incarnation
    if (
        not is_this_incarnation
        or not is_suspected
        or digest.n_refutations < own.n_refutations
    ):
        return
    own = own._replace(n_refutations=digest.n_refutations + 1, n_transmissions=0)
    world.vms.replace(own)
    count(world, "suspicions_refuted")
    push_digest(world, own)
