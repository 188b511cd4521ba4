"""Detects failed VMs by direct and indirect probes (SWIM).

A probe is a ping that the probed VM acknowledges with an ack. If none arrives, other
VMs probe it on behalf of this one and relay its ack. The membership view of a VM,
its table ``vms``, holds the VMs that it knows of.

See Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002.
"""

import math

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.messages import (
    Ack,
    Join,
    MembershipUpdate,
    Ping,
    PingRequest,
    ServiceReport,
    VmDigest,
)
from burdockhitch.systems.capacity import (
    make_free_slots_report,
    record_free_slots_report,
)
from burdockhitch.systems.gossip import (
    change_vm_status,
    list_peers,
    make_digest,
    make_full_membership_update,
    merge_digest,
    sample_peers,
    select_digests,
)
from burdockhitch.systems.local_vm import make_local_vm_row
from burdockhitch.systems.revision_exchange import sync_revision
from burdockhitch.systems.routing import SILENCE_TIMEOUT_S
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.probes import MembershipProbeRow, RelayedProbeRow
from burdockhitch.tables.services import ServiceReportRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    current_revision,
    next_sequence,
    send,
    send_message,
    start_timer,
    stop_timer,
)

# Shortest time between two rounds of joins; up to as much again is added at random.
JOIN_PERIOD_S = 1.0
# Probes on behalf of other VMs whose acks are awaited at once.
RELAYED_PROBES_MAX = 256
# Most service reports in a ping; successive pings cover the other services.
REPORTS_PER_PING = 16


def start_membership(world: World, now: Instant) -> None:
    """Insert the row of this VM, send the first joins and schedule the first probe."""
    world.vms.insert(make_local_vm_row(world, now))
    join_seeds(world, "", now)
    period_s = world.settings.membership.probe_period_s
    offset_s = world.rng.random() * period_s
    start_timer(world, TimerKind.PROBE_PERIOD, "", now.monotonic_s + offset_s)


@timer_handlers(TimerKind.JOIN)
def join_seeds(world: World, _subject: str, now: Instant) -> None:
    """Ask VMs that are missing from the view for their whole view.

    These are the seeds and the VMs on the platform's list. Repeats until none of them
    is missing and the view holds a VM other than this one.
    """
    own = world.vms.fetch(world.local.vm_id)
    addresses = set(world.settings.membership.seeds)
    addresses |= {row.message_address for row in world.listed_vms if row.vm_id}
    known = {row.message_address for row in world.vms}
    if list_peers(world) and addresses <= known:
        return
    for address in sorted(addresses - known):
        message = Join(make_digest(own))
        send(world, commands.SendMessage("", address, message))
    due_s = now.monotonic_s + JOIN_PERIOD_S * (1 + world.rng.random())
    start_timer(world, TimerKind.JOIN, "", due_s)


@message_handlers("join")
def handle_join(world: World, sender: str, message: Join, now: Instant) -> None:
    """Merge the sender of a join into the view and send it the whole view."""
    merge_digest(world, message.digest, now)
    address = message.digest.message_address
    send(
        world, commands.SendMessage(sender, address, make_full_membership_update(world))
    )


@message_handlers("view")
def handle_view(
    world: World, sender: str, message: MembershipUpdate, now: Instant
) -> None:
    """Merge the sender's view changes, or its whole view, and sync the revision."""
    _merge_digests(world, message.digests, now)
    sync_revision(world, sender, message.revision)


def _merge_digests(world: World, digests: tuple[VmDigest, ...], now: Instant) -> None:
    for digest in digests:
        merge_digest(world, digest, now)


def _choose_probe_target(world: World) -> VmRow | None:
    peers = list_peers(world)
    return world.rng.choice(peers) if peers else None


@timer_handlers(TimerKind.PROBE_PERIOD)
def probe_random_vm(world: World, _subject: str, now: Instant) -> None:
    """Probe a random VM and schedule the next probe period."""
    settings = world.settings.membership
    due_s = now.monotonic_s + settings.probe_period_s
    start_timer(world, TimerKind.PROBE_PERIOD, "", due_s)
    target = _choose_probe_target(world)
    if target is None or target.vm_id in world.membership_probes:
        return
    _start_probe(world, target.vm_id, now)


def _start_probe(world: World, vm_id: str, now: Instant) -> None:
    settings = world.settings.membership
    sequence = next_sequence(world, "probe")
    world.membership_probes.insert(MembershipProbeRow(vm_id, sequence))
    send_ping(world, vm_id, sequence)
    ack_due_s = now.monotonic_s + settings.ack_timeout_s
    start_timer(world, TimerKind.ACK_TIMEOUT, vm_id, ack_due_s)
    round_end_due_s = now.monotonic_s + settings.probe_period_s
    start_timer(world, TimerKind.PROBE_ROUND_END, vm_id, round_end_due_s)


@timer_handlers(TimerKind.OWNER_SILENCE)
def probe_silent_vm(world: World, vm_id: str, now: Instant) -> None:
    """Probe an owner that sent nothing for ``SILENCE_TIMEOUT_S`` after a forward."""
    if vm_id in world.vms and vm_id not in world.membership_probes:
        _start_probe(world, vm_id, now)
    due_s = now.monotonic_s + SILENCE_TIMEOUT_S
    start_timer(world, TimerKind.OWNER_UNREACHABLE, vm_id, due_s)


@timer_handlers(TimerKind.OWNER_UNREACHABLE)
def mark_unreachable(world: World, vm_id: str, now: Instant) -> None:
    """Mark an owner that is still silent after the probe, so that routing avoids it."""
    vm = world.vms.get(vm_id)
    if vm is not None and vm.is_reachable:
        count(world, "owners_avoided")
        world.vms.replace(vm._replace(is_reachable=False))


def _make_service_report(world: World, service: str) -> ServiceReport:
    key = (service, world.local.vm_id)
    row = world.service_reports.get(key) or ServiceReportRow(key, service, 0.0)
    arrivals = world.arrival_rates.get(service)
    requests_per_s = arrivals.requests_per_s if arrivals else 0.0
    return ServiceReport(
        service, row.median_s, row.n_owned, row.n_suspect, requests_per_s
    )


def _select_batch(services: list[str], sequence: int) -> list[str]:
    """Return one batch of services; successive sequence numbers cover all in turn."""
    n_batches = max(1, math.ceil(len(services) / REPORTS_PER_PING))
    start = sequence % n_batches * REPORTS_PER_PING
    return services[start : start + REPORTS_PER_PING]


def send_ping(world: World, vm_id: str, sequence: int) -> None:
    """Send a ping with the revision, view changes and service reports of this VM."""
    own_id = world.local.vm_id
    services = {row.service for row in world.arrival_rates}
    services |= {row.service for row in world.owner_capacities.select("vm_id", own_id)}
    batch = _select_batch(sorted(services), sequence)
    reports = tuple(_make_service_report(world, service) for service in batch)
    revision = current_revision(world)
    message = Ping(sequence, revision, select_digests(world), reports)
    send_message(world, vm_id, message)


@message_handlers("ping")
def handle_ping(world: World, sender: str, message: Ping, now: Instant) -> None:
    """Merge the sender's view changes, store its service reports and send an ack.

    A sender that is suspect or dead in this VM's view gets that digest of
    itself first, so that it can refute it.
    """
    _merge_digests(world, message.digests, now)
    for report in message.service_reports:
        key = (report.service, sender)
        world.service_reports.put(ServiceReportRow(key, report.service, *report[1:]))
    digests = select_digests(world)
    row = world.vms.get(sender)
    if row is None:
        digests = ()
    elif row.status in (VmStatus.SUSPECT, VmStatus.DEAD):
        digests = (make_digest(row), *digests)
    capacities = world.owner_capacities.select("vm_id", world.local.vm_id)
    free_slots = tuple(
        make_free_slots_report(world, capacity.service) for capacity in capacities
    )
    revision = current_revision(world)
    ack = Ack(message.sequence, world.local.vm_id, revision, digests, free_slots)
    send_message(world, sender, ack)
    sync_revision(world, sender, message.revision)


@message_handlers("ack")
def handle_ack(world: World, sender: str, message: Ack, now: Instant) -> None:
    """Complete a probe of this VM, or relay the ack to the VM that requested it.

    Free slots and changes of the view in the ack are stored in both cases.
    """
    _merge_digests(world, message.digests, now)
    sync_revision(world, sender, message.revision)
    for report in message.loads:
        record_free_slots_report(world, sender, report)
    relay = world.relayed_probes.get(message.sequence)
    if relay is not None and sender == message.target_vm_id:
        world.relayed_probes.remove(message.sequence)
        relayed_ack = Ack(
            relay.origin_sequence, sender, message.revision, (), message.loads
        )
        send_message(world, relay.origin_vm_id, relayed_ack)
        return
    _complete_probe(world, message, is_direct=sender == message.target_vm_id)


def _complete_probe(world: World, message: Ack, is_direct: bool) -> None:
    """End the probe that an ack belongs to, and store whether the VM is reachable.

    It is if the VM sent the ack itself, and not if another VM relayed it.
    """
    vm_id = message.target_vm_id
    probe = world.membership_probes.get(vm_id)
    vm = world.vms.get(vm_id)
    if probe is None or probe.sequence != message.sequence or vm is None:
        count(world, "acks_dropped")
        return
    world.membership_probes.remove(vm_id)
    stop_timer(world, TimerKind.ACK_TIMEOUT, vm_id)
    stop_timer(world, TimerKind.PROBE_ROUND_END, vm_id)
    if vm.is_reachable is not is_direct:
        world.vms.replace(vm._replace(is_reachable=is_direct))


@timer_handlers(TimerKind.ACK_TIMEOUT)
def probe_indirectly(world: World, vm_id: str, now: Instant) -> None:
    """Ask random peers to probe a VM whose ack did not arrive in time."""
    probe = world.membership_probes.get(vm_id)
    if probe is None:
        return
    for peer in sample_peers(world, world.settings.membership.n_indirect):
        if peer.vm_id != vm_id:
            send_message(world, peer.vm_id, PingRequest(probe.sequence, vm_id))


@message_handlers("ping_request")
def handle_ping_request(
    world: World, sender: str, message: PingRequest, now: Instant
) -> None:
    """Probe a VM on behalf of the sender.

    Beyond ``RELAYED_PROBES_MAX`` probes for other VMs, the oldest is dropped, so
    its ack isn't relayed.
    """
    sequence = next_sequence(world, "probe")
    world.relayed_probes.put(RelayedProbeRow(sequence, sender, message.sequence))
    if len(world.relayed_probes) > RELAYED_PROBES_MAX:
        world.relayed_probes.remove(next(iter(world.relayed_probes)).sequence)
    send_ping(world, message.target_vm_id, sequence)


@timer_handlers(TimerKind.PROBE_ROUND_END)
def end_probe_round(world: World, vm_id: str, now: Instant) -> None:
    """Suspect a VM from which no ack arrived, directly or through a peer.

    A VM that is leaving the fleet is declared dead at once.
    """
    world.membership_probes.discard(vm_id)
    row = world.vms.get(vm_id)
    if row is None:
        return
    if row.status is VmStatus.ALIVE:
        change_vm_status(world, row, VmStatus.SUSPECT, now, row.n_refutations)
    elif row.status is VmStatus.LEAVING:
        change_vm_status(world, row, VmStatus.DEAD, now, row.n_refutations)


@timer_handlers(TimerKind.DEAD_VM_REMOVAL)
def remove_dead_vm(world: World, vm_id: str, now: Instant) -> None:
    """Remove a VM that was dead for ``DEAD_RETENTION_S`` and close the link to it."""
    row = world.vms.get(vm_id)
    if row is not None and row.status is VmStatus.DEAD:
        world.vms.remove(vm_id)
        send(world, commands.CloseLink(row.message_address))


@timer_handlers(TimerKind.SUSPICION_END)
def declare_dead(world: World, vm_id: str, now: Instant) -> None:
    """Declare a VM dead that did not refute its suspicion in time."""
    row = world.vms.get(vm_id)
    if row is not None and row.status is VmStatus.SUSPECT:
        change_vm_status(world, row, VmStatus.DEAD, now, row.n_refutations)
