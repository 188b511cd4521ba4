"""Exchanges observations and loads with other VMs.

A load is the number of requests in flight at one backend server.
"""

from collections import Counter

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import Observation, Report, ServerLoad
from burdockhitch.systems.direct.budget import (
    has_unreported_retries,
    pop_own_usages,
    record_peer_usages,
)
from burdockhitch.systems.direct.recent_successes import (
    pop_unreported_in_zone,
    record_own_success,
    record_peer_successes,
)
from burdockhitch.systems.direct.server_estimates import (
    MESSAGE_DELAY_MAX_S,
    OVERDUE,
    P_FAILING_SUSPECT,
    SUCCESS,
    apply_observation,
    forget_overdue_reporter,
    pop_due_success,
    record_peer_answered,
    record_peer_overdue,
)
from burdockhitch.systems.direct.server_limits import (
    has_unreported_statements,
    pop_statements_in_zone,
    record_peer_statements,
)
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.server_estimates import (
    PeerLoadTotalRow,
    ReportedLoadRow,
    UnreportedObservationRow,
    ZoneObservationRow,
)
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, next_sequence, send, start_timer

# Most entries of one report, so that it fits into a datagram without fragmentation.
LOADS_MAX = 48
OBSERVATIONS_MAX = 24
# Pause after a report of loads, during which freed slots cause no report; so the
# longest time for which peers count a freed slot as busy.
LOAD_REPORT_PERIOD_S = 0.25
# Subject of the timer.
LOADS_IN_FLIGHT = "loads"
# VMs report loads when the probability that all slots of a server are busy reaches
# this. It assumes evenly used servers; proven ones in a busy zone get several times
# the mean load.
P_SERVER_FULL_MIN = 0.002
# Weight of a new value in the moving average of requests in flight.
IN_FLIGHT_WEIGHT = 0.05


def report_observation(world: World, server_id: str, kind: str, now: Instant) -> None:
    """Update the estimate of a server, and queue the observation for other VMs.

    A success is queued only if the server was suspect or another VM misses an answer,
    and only for this zone: VMs of other zones try the server again by themselves.
    """
    p_failing_before = apply_observation(world, server_id, kind, now)
    is_due = kind != SUCCESS
    if kind == SUCCESS:
        record_own_success(world, server_id, now)
        is_due = pop_due_success(world, server_id, now)
    if p_failing_before is None or (
        p_failing_before < P_FAILING_SUSPECT and not is_due
    ):
        return
    sequence = next_sequence(world, "observation")
    world.unreported_observations.insert(
        UnreportedObservationRow(sequence, server_id, kind)
    )


def own_loads(world: World) -> tuple[ServerLoad, ...]:
    """Return this VM's requests in flight by server, up to the limit of a report."""
    server_ids = world.attempts.values("server_id")[:LOADS_MAX]
    return tuple(
        ServerLoad(server_id, world.attempts.count("server_id", server_id))
        for server_id in server_ids
    )


def last_reported_loads(world: World) -> tuple[ServerLoad, ...]:
    """Return this VM's requests in flight, as last reported to other VMs."""
    return _as_loads(world.reported_loads.select("vm_id", world.local.vm_id))


def same_zone_loads(world: World) -> tuple[ServerLoad, ...]:
    """Return the sum of requests in flight from this zone's VMs, by backend server."""
    totals: Counter[str] = Counter()
    for vm in world.vms.select("zone", world.local.zone):
        if vm.vm_id != world.local.vm_id:
            for row in world.reported_loads.select("vm_id", vm.vm_id):
                totals[row.server_id] += row.n_in_flight
    for server_id in world.attempts.values("server_id"):
        totals[server_id] += world.attempts.count("server_id", server_id)
    return tuple(ServerLoad(*item) for item in totals.items())


def live_peers(world: World) -> list[VmRow]:
    """Return all other VMs that are not dead, in no particular order."""
    return [
        vm
        for vm in world.vms
        if vm.vm_id != world.local.vm_id and vm.status is not VmStatus.DEAD
    ]


def _send_report(world: World, addresses: list[str], report: Report) -> None:
    if addresses:
        send(world, commands.BroadcastMessage(tuple(addresses), report))


def update_in_flight_mean(world: World, service: str) -> None:
    """Update the moving average of a service's requests in flight from this VM.

    It is called before each send and must not count that request: without it, the
    numbers found at arrivals average to the mean over time; one more per VM would
    look like overload.
    """
    row = world.service_times.get(service)
    if row is None:
        return
    n_in_flight = world.attempts.count("service", service)
    change = IN_FLIGHT_WEIGHT * (n_in_flight - row.n_in_flight_mean)
    mean = row.n_in_flight_mean + change
    world.service_times.replace(row._replace(n_in_flight_mean=mean))


def utilisation(world: World, service: str) -> float:
    """Estimate the share of a service's slots in use, if all VMs send like this one."""
    row = world.service_times.get(service)
    slots = world.service_slots.get(service)
    if row is None or slots is None or not slots.n_slots:
        return 0.0
    n_in_flight = row.n_in_flight_mean * world.vms.count("status", VmStatus.ALIVE)
    return n_in_flight / slots.n_slots


def _is_busy(world: World, service: str) -> bool:
    slots = world.service_slots.get(service)
    n_slots_min = slots.n_slots_min if slots else 1
    return float(utilisation(world, service) ** n_slots_min) >= P_SERVER_FULL_MIN


def is_any_service_busy(world: World) -> bool:
    """Return whether any service is busy.

    Then VMs find free slots only if they know each other's loads.
    """
    return any(_is_busy(world, row.service) for row in world.service_times)


def _is_load_due(world: World, loads: tuple[ServerLoad, ...], now: Instant) -> bool:
    """Return whether to report this VM's loads now; if so, start a pause.

    A newly used slot is reported at once, before other VMs use it too; a freed one
    may wait until the pause ends.
    """
    reported = last_reported_loads(world)
    if reported == loads:
        return False
    reported_by_server = dict(reported)
    is_increased = any(
        n > reported_by_server.get(server_id, 0) for server_id, n in loads
    )
    timer_id = (TimerKind.LOAD_REPORT, LOADS_IN_FLIGHT)
    if not is_increased and timer_id in world.timers:
        return False
    start_timer(world, *timer_id, now.monotonic_s + LOAD_REPORT_PERIOD_S)
    return True


@timer_handlers(TimerKind.LOAD_REPORT)
def end_load_report_pause(world: World, _subject: str, now: Instant) -> None:
    """End the pause: without its timer, this tick may report changed loads."""


@system(Phase.ACCOUNTING, DIRECT)
def send_reports(world: World, now: Instant) -> None:
    """Report observations, retries and loads within the zone.

    Observations, retries and limits of servers are reported at once. While no
    service is busy no loads are reported, apart from an empty list that withdraws the
    last ones.
    """
    loads = own_loads(world) if is_any_service_busy(world) else ()
    is_due = (
        len(world.unreported_observations) > 0
        or has_unreported_retries(world)
        or has_unreported_statements(world)
    )
    if not is_due and not _is_load_due(world, loads, now):
        return
    rows = list(world.unreported_observations)[:OBSERVATIONS_MAX]
    for row in rows:
        world.unreported_observations.remove(row.sequence)
    observations = tuple(Observation(row.server_id, row.kind) for row in rows)
    _replace_loads(world, world.local.vm_id, loads)
    peers = live_peers(world)
    zone = world.local.zone
    same_zone = [vm.message_address for vm in peers if vm.zone == zone]
    succeeded_server_ids = pop_unreported_in_zone(world, now)
    report = Report(
        observations,
        loads,
        succeeded_server_ids,
        pop_own_usages(world),
        pop_statements_in_zone(world, now),
    )
    _send_report(world, same_zone, report)
    _record_zone_observations(world, world.local.vm_id, observations)


def _record_zone_observations(
    world: World, reporter_vm_id: str, observations: tuple[Observation, ...]
) -> None:
    """Store observations of this zone's VMs for its next report to other zones.

    Successes are left out: VMs of other zones try the server again by themselves.
    """
    for observation in observations:
        if observation.kind != SUCCESS:
            sequence = next_sequence(world, "zone_observation")
            world.zone_observations.insert(
                ZoneObservationRow(
                    sequence, observation.server_id, observation.kind, reporter_vm_id
                )
            )


def _as_loads(rows: list[ReportedLoadRow]) -> tuple[ServerLoad, ...]:
    return tuple(ServerLoad(row.server_id, row.n_in_flight) for row in rows)


def _add_load(world: World, server_id: str, n_in_flight: int) -> None:
    """Add to the sum of other VMs' requests in flight at a server."""
    row = world.peer_load_totals.get(server_id)
    total = n_in_flight + (row.n_in_flight if row else 0)
    if total > 0:
        world.peer_load_totals.put(PeerLoadTotalRow(server_id, total))
    else:
        world.peer_load_totals.discard(server_id)


def _replace_loads(world: World, vm_id: str, loads: tuple[ServerLoad, ...]) -> None:
    is_own = vm_id == world.local.vm_id
    for row in world.reported_loads.select("vm_id", vm_id):
        world.reported_loads.remove(row.key)
        if not is_own:
            _add_load(world, row.server_id, -row.n_in_flight)
    for load in loads:
        key = (vm_id, load.server_id)
        world.reported_loads.put(ReportedLoadRow(key, vm_id, *load))
        if not is_own:
            _add_load(world, load.server_id, load.n_in_flight)


def replace_reported_loads(
    world: World, vm_id: str, loads: tuple[ServerLoad, ...]
) -> None:
    """Replace the stored loads of another VM, or of another zone by its key."""
    if vm_id != world.local.vm_id:
        _replace_loads(world, vm_id, loads)


def apply_peer_observation(
    world: World, reporter_vm_id: str, observation: Observation, now: Instant
) -> None:
    """Apply an observation that another VM made."""
    if observation.kind == SUCCESS:
        record_peer_answered(world, observation.server_id, MESSAGE_DELAY_MAX_S, now)
        forget_overdue_reporter(world, observation.server_id, reporter_vm_id)
    elif observation.kind == OVERDUE:
        record_peer_overdue(world, observation.server_id, reporter_vm_id, now)
    else:
        apply_observation(world, observation.server_id, observation.kind, now)


@message_handlers("report")
def handle_report(
    world: World, sender_vm_id: str, report: Report, now: Instant
) -> None:
    """Apply another VM's observations, recent successes and loads."""
    sender = world.vms.get(sender_vm_id)
    if sender is None:
        return
    elapsed_s = now.monotonic_s - sender.status_updated_at_s
    world.vms.replace(
        sender._replace(
            status_updated_at_s=now.monotonic_s,
            # Reports don't say when the platform answered, so its age grows.
            platform_answer_age_s=sender.platform_answer_age_s + elapsed_s,
        )
    )
    for observation in report.observations:
        apply_peer_observation(world, sender_vm_id, observation, now)
    _record_zone_observations(world, sender_vm_id, report.observations)
    record_peer_successes(
        world, report.succeeded_server_ids, now, is_from_other_zone=False
    )
    record_peer_usages(world, sender_vm_id, report.usages, now)
    record_peer_statements(
        world, report.limits, sender_vm_id, now, is_from_other_zone=False
    )
    if report.loads is not None:
        replace_reported_loads(world, sender_vm_id, report.loads)
