"""Reports of one zone to all others: loads, successes, failures and its VMs.

Within a zone each VM reports to all others. Between zones that would be too much
traffic, so one VM of a zone sums up what it knows of its zone and sends it to two VMs
of each other zone, and the first of them in rank forwards it within its zone.
"""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import Observation, ZoneMembers, ZoneReport
from burdockhitch.systems.direct.evidence.summaries import (
    record_summaries,
    zone_source,
    zone_summaries,
)
from burdockhitch.systems.direct.membership import (
    apply_zone_members,
    is_silent,
    refresh_own_row,
)
from burdockhitch.systems.direct.recent_successes import (
    pop_unreported_for_other_zones,
    record_peer_successes,
)
from burdockhitch.systems.direct.registry_reads import is_first_in_zone, rank_in_zone
from burdockhitch.systems.direct.reports import (
    apply_peer_observation,
    is_any_service_busy,
    live_peers,
    replace_reported_loads,
    same_zone_loads,
)
from burdockhitch.systems.direct.server_limits import (
    pop_statements_for_other_zones,
    record_peer_statements,
)
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.server_estimates import ReceivedZoneReportRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, next_sequence, send, start_timer

# About the duration of a request; older loads say little.
ZONE_REPORT_PERIOD_S = 0.2
# Allows for three lost reports in a row, and for the time for which a report waits to
# be read at the two VMs on its way.
ZONE_LOADS_EXPIRY_S = 1.0
# Six lists fit into the silence after which a VM of another zone counts as dead.
MEMBERS_PERIOD_S = 2.0
# More than one, since the death of the first is known in its own zone long before it
# is known here.
RECEIVERS_PER_ZONE = 2
# Most observations of one report; older ones are left out.
ZONE_OBSERVATIONS_MAX = 200
# Subjects of the timer, besides the keys of zones whose loads expire.
SEND_REPORT = "report"
SEND_MEMBERS = "members"


def schedule_zone_reports(world: World, now: Instant) -> None:
    """Schedule the first report of this zone and the first list of its VMs."""
    for subject, period_s in (
        (SEND_REPORT, ZONE_REPORT_PERIOD_S),
        (SEND_MEMBERS, MEMBERS_PERIOD_S),
    ):
        start_timer(world, TimerKind.ZONE_REPORT, subject, now.monotonic_s + period_s)


def _rank_receivers(world: World, zone: str, reported_zone: str) -> list[VmRow]:
    """Return the alive VMs of a zone in the order in which they forward reports.

    The order differs by the zone that the reports are about, so that not one VM
    forwards them all.
    """
    alive = [vm for vm in world.vms.select("zone", zone) if vm.status is VmStatus.ALIVE]
    return sorted(
        alive, key=lambda vm: rank_in_zone(f"{zone}|{reported_zone}", vm.vm_id)
    )


def receiver_addresses(world: World, zone: str) -> list[str]:
    """Return the message addresses of the VMs of a zone that receive reports."""
    receivers = _rank_receivers(world, zone, world.local.zone)[:RECEIVERS_PER_ZONE]
    return [vm.message_address for vm in receivers]


def is_forwarder(world: World, reported_zone: str) -> bool:
    """Return whether this VM forwards the reports of another zone in its own."""
    receivers = _rank_receivers(world, world.local.zone, reported_zone)
    return bool(receivers) and receivers[0].vm_id == world.local.vm_id


def other_zones(world: World) -> list[str]:
    """Return the names of all zones but this VM's."""
    return [zone for zone in world.vms.values("zone") if zone != world.local.zone]


def _send_to_other_zones(world: World, report: ZoneReport) -> None:
    addresses = [
        address
        for zone in other_zones(world)
        for address in receiver_addresses(world, zone)
    ]
    if addresses:
        send(world, commands.BroadcastMessage(tuple(addresses), report))


def _pop_observations(world: World) -> tuple[Observation, ...]:
    """Remove and return the zone's observations since the last report."""
    rows = list(world.zone_observations)[-ZONE_OBSERVATIONS_MAX:]
    world.zone_observations.clear()
    return tuple(
        Observation(row.server_id, row.kind, row.reporter_vm_id) for row in rows
    )


@timer_handlers(TimerKind.ZONE_REPORT)
def handle_zone_report_timer(world: World, subject: str, now: Instant) -> None:
    """Send a report or a list if first in rank, or expire another zone's loads."""
    if subject == SEND_REPORT:
        due_s = now.monotonic_s + ZONE_REPORT_PERIOD_S
        start_timer(world, TimerKind.ZONE_REPORT, SEND_REPORT, due_s)
        _send_report(world, now)
    elif subject == SEND_MEMBERS:
        due_s = now.monotonic_s + MEMBERS_PERIOD_S
        start_timer(world, TimerKind.ZONE_REPORT, SEND_MEMBERS, due_s)
        _send_members(world, now)
    else:
        replace_reported_loads(world, subject, ())


def _send_report(world: World, now: Instant) -> None:
    """Report observations and successes, and loads while a service is busy."""
    observations = _pop_observations(world)
    if not is_first_in_zone(world, now):
        return
    is_busy = is_any_service_busy(world)
    succeeded_server_ids = pop_unreported_for_other_zones(world, now)
    limits = pop_statements_for_other_zones(world, now)
    if not (is_busy or observations or succeeded_server_ids or limits):
        return
    sequence = next_sequence(world, "zone_report")
    report = ZoneReport(
        f"{world.local.incarnation_id()}.{sequence}",
        world.local.zone,
        same_zone_loads(world) if is_busy else None,
        succeeded_server_ids,
        observations,
        limits,
    )
    _send_to_other_zones(world, report)


def _send_members(world: World, now: Instant) -> None:
    """Tell the other zones which VMs of this zone are alive.

    The receivers are drawn anew each time, so that a broken path between two VMs does
    not separate zones, and include dead VMs, so that zones find each other again.
    """
    if not is_first_in_zone(world, now):
        return
    refresh_own_row(world, now)
    same_zone = world.vms.select("zone", world.local.zone)
    members = tuple(
        vm
        for vm in same_zone
        if vm.status is not VmStatus.DEAD and not is_silent(world, vm, now)
    )
    receivers = [
        vm.message_address
        for zone in other_zones(world)
        for vm in _draw_vms(world, world.vms.select("zone", zone))
    ]
    if receivers:
        message = ZoneMembers(world.local.zone, members, zone_summaries(world, now))
        send(world, commands.BroadcastMessage(tuple(receivers), message))


def _draw_vms(world: World, vms: list[VmRow]) -> list[VmRow]:
    return world.rng.sample(vms, min(len(vms), RECEIVERS_PER_ZONE))


def _zone_key(zone: str) -> str:
    """Return the key of a zone where loads are stored by VM."""
    return f"zone {zone}"


def is_from_this_zone(world: World, sender_vm_id: str) -> bool:
    """Return whether the sender of a message is of this zone, or unknown."""
    sender = world.vms.get(sender_vm_id)
    return sender is None or sender.zone == world.local.zone


def _forward(world: World, message: ZoneReport | ZoneMembers) -> None:
    same_zone = tuple(
        vm.message_address for vm in live_peers(world) if vm.zone == world.local.zone
    )
    if same_zone:
        send(world, commands.BroadcastMessage(same_zone, message))


@message_handlers("zone_report")
def handle_zone_report(
    world: World, sender_vm_id: str, report: ZoneReport, now: Instant
) -> None:
    """Apply another zone's report once; one VM of this zone forwards it to the others.

    The second in rank does so if no report of the zone has come for a while, as when
    the path to the first is broken.
    """
    last = world.received_zone_reports.get(report.zone)
    if last is not None and last.report_id == report.report_id:
        return
    is_forwarded = is_from_this_zone(world, sender_vm_id)
    is_silent = (
        last is None or now.monotonic_s - last.received_at_s > ZONE_LOADS_EXPIRY_S
    )
    if not (is_forwarded or is_silent or is_forwarder(world, report.zone)):
        return
    row = ReceivedZoneReportRow(report.zone, report.report_id, now.monotonic_s)
    world.received_zone_reports.put(row)
    _apply_report(world, report, now)
    if not is_forwarded:
        _forward(world, report)


def _apply_report(world: World, report: ZoneReport, now: Instant) -> None:
    for observation in report.observations:
        apply_peer_observation(world, observation.reporter_vm_id, observation, now)
    record_peer_successes(
        world, report.succeeded_server_ids, now, is_from_other_zone=True
    )
    record_peer_statements(
        world, report.limits, _zone_key(report.zone), now, is_from_other_zone=True
    )
    if report.loads is not None:
        replace_reported_loads(world, _zone_key(report.zone), report.loads)
        due_s = now.monotonic_s + ZONE_LOADS_EXPIRY_S
        start_timer(world, TimerKind.ZONE_REPORT, _zone_key(report.zone), due_s)


@message_handlers("zone_members")
def handle_zone_members(
    world: World, sender_vm_id: str, message: ZoneMembers, now: Instant
) -> None:
    """Apply the list of another zone's VMs, and forward it within this zone."""
    apply_zone_members(world, message.zone, message.members, now)
    record_summaries(world, zone_source(message.zone), message.run_times, now)
    if not is_from_this_zone(world, sender_vm_id):
        _forward(world, message)
