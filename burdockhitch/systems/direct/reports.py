"""Tells other VMs what was observed and what is in flight, and takes theirs."""

from collections import Counter

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import Observation, Report, ServerLoad
from burdockhitch.systems.direct.answered import (
    hear_answered,
    note_answered,
    take_untold_near,
)
from burdockhitch.systems.direct.belief import P_SUSPECT, SUCCESS, observe
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.beliefs import (
    ObservationRow,
    PeerLoadRow,
    ServerLoadRow,
)
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, next_sequence, send, start_timer

# One datagram holds as many without being split on its way.
LOADS_MAX = 48
OBSERVATIONS_MAX = 24
# How long peers may take a slot for busy that came free.
LOADS_PERIOD_S = 0.25
LOADS = "loads"
# Chance that all slots of a server are taken, from which VMs tell their loads. It is
# for even use; the proven servers of a busy zone are used several times as much.
FULL_SHARE = 0.002
IN_FLIGHT_WEIGHT = 0.05


def report_observation(world: World, server_id: str, kind: str, now: Instant) -> None:
    """Update the belief and tell other VMs what changes theirs.

    A success is news only about a server that was suspect, and only in the zone:
    the others try it again by themselves.
    """
    before = observe(world, server_id, kind, now)
    if kind == SUCCESS:
        note_answered(world, server_id, now)
    if before is None or (kind == SUCCESS and before < P_SUSPECT):
        return
    sequence = next_sequence(world, "observation")
    is_for_all = kind != SUCCESS
    world.observations.insert(ObservationRow(sequence, server_id, kind, is_for_all))


def own_loads(world: World) -> tuple[ServerLoad, ...]:
    """Return this VM's requests in flight, by backend server."""
    server_ids = world.attempts.values("server_id")[:LOADS_MAX]
    return tuple(
        ServerLoad(server_id, world.attempts.count("server_id", server_id))
        for server_id in server_ids
    )


def told_loads(world: World) -> tuple[ServerLoad, ...]:
    """Return this VM's requests in flight as it last reported them."""
    return _as_loads(world.peer_loads.select("vm_id", world.local.vm_id))


def near_loads(world: World) -> tuple[ServerLoad, ...]:
    """Return the requests in flight of all VMs in this zone, by backend server."""
    totals: Counter[str] = Counter()
    for vm in world.vms.select("zone", world.local.zone):
        if vm.vm_id != world.local.vm_id:
            for row in world.peer_loads.select("vm_id", vm.vm_id):
                totals[row.server_id] += row.n_in_flight
    for server_id in world.attempts.values("server_id"):
        totals[server_id] += world.attempts.count("server_id", server_id)
    return tuple(ServerLoad(*item) for item in totals.items())


def reachable_peers(world: World) -> list[VmRow]:
    """Return the other VMs that live, in no order."""
    return [
        vm
        for vm in world.vms
        if vm.vm_id != world.local.vm_id and vm.status is not VmStatus.DEAD
    ]


def _send_report(world: World, addresses: list[str], report: Report) -> None:
    if addresses:
        send(world, commands.BroadcastMessage(tuple(addresses), report))


def note_in_flight(world: World, service: str) -> None:
    """Follow how many requests of a service this VM has in flight.

    It is called before each send, and must not count that request: what arrivals
    see is the mean over time, and one more on each VM would look like overload.
    """
    row = world.service_times.get(service)
    if row is None:
        return
    n_in_flight = world.attempts.count("service", service)
    change = IN_FLIGHT_WEIGHT * (n_in_flight - row.n_in_flight_mean)
    mean = row.n_in_flight_mean + change
    world.service_times.replace(row._replace(n_in_flight_mean=mean))


def utilisation(world: World, service: str) -> float:
    """Return the share of a service's slots in use, if all VMs do as this one."""
    row = world.service_times.get(service)
    servers = world.backend_servers.select("service", service)
    n_slots = sum(server.n_slots for server in servers)
    if row is None or not n_slots:
        return 0.0
    n_in_flight = row.n_in_flight_mean * world.vms.count("status", VmStatus.ALIVE)
    return n_in_flight / n_slots


def _is_busy(world: World, service: str) -> bool:
    servers = world.backend_servers.select("service", service)
    n_slots = min((server.n_slots for server in servers), default=1)
    return float(utilisation(world, service) ** n_slots) >= FULL_SHARE


def is_any_busy(world: World) -> bool:
    """Return whether loads matter: below that, free slots are found blindly."""
    return any(_is_busy(world, row.service) for row in world.service_times)


def _is_load_due(world: World, loads: tuple[ServerLoad, ...], now: Instant) -> bool:
    """Return whether peers should hear of this VM's loads now.

    A slot that was taken is told at once, before others take it too; one that
    came free may wait for the next report.
    """
    told = told_loads(world)
    if told == loads:
        return False
    told_by_server = dict(told)
    is_taken = any(n > told_by_server.get(name, 0) for name, n in loads)
    timer_id = (TimerKind.REPORT, LOADS)
    if not is_taken and timer_id in world.timers:
        return False
    start_timer(world, *timer_id, now.monotonic_s + LOADS_PERIOD_S)
    return True


@timer_handlers(TimerKind.REPORT)
def end_load_pause(world: World, _subject: str, now: Instant) -> None:
    """Let the end of this tick report loads again."""


@system(Phase.ACCOUNTING, DIRECT)
def send_reports(world: World, now: Instant) -> None:
    """Report observations to all VMs, and loads within the zone.

    In calm times no load is told, and the last one told is taken back.
    """
    loads = own_loads(world) if is_any_busy(world) else ()
    if not len(world.observations) and not _is_load_due(world, loads, now):
        return
    rows = list(world.observations)[:OBSERVATIONS_MAX]
    for row in rows:
        world.observations.remove(row.sequence)
    observations = tuple(Observation(row.server_id, row.kind) for row in rows)
    _keep_loads(world, world.local.vm_id, loads)
    peers = reachable_peers(world)
    zone = world.local.zone
    near = [vm.message_address for vm in peers if vm.zone == zone]
    answered = take_untold_near(world, now)
    _send_report(world, near, Report(observations, loads, answered))
    for_all = tuple(
        Observation(row.server_id, row.kind) for row in rows if row.is_for_all
    )
    if for_all:
        far = [vm.message_address for vm in peers if vm.zone != zone]
        _send_report(world, far, Report(for_all, None))


def _as_loads(rows: list[PeerLoadRow]) -> tuple[ServerLoad, ...]:
    return tuple(ServerLoad(row.server_id, row.n_in_flight) for row in rows)


def _add_load(world: World, server_id: str, n_in_flight: int) -> None:
    row = world.server_loads.get(server_id)
    total = n_in_flight + (row.n_in_flight if row else 0)
    if total > 0:
        world.server_loads.put(ServerLoadRow(server_id, total))
    else:
        world.server_loads.discard(server_id)


def _keep_loads(world: World, vm_id: str, loads: tuple[ServerLoad, ...]) -> None:
    is_own = vm_id == world.local.vm_id
    for row in world.peer_loads.select("vm_id", vm_id):
        world.peer_loads.remove(row.key)
        if not is_own:
            _add_load(world, row.server_id, -row.n_in_flight)
    for load in loads:
        key = (vm_id, load.server_id)
        world.peer_loads.put(PeerLoadRow(key, vm_id, *load))
        if not is_own:
            _add_load(world, load.server_id, load.n_in_flight)


def take_loads(world: World, vm_id: str, loads: tuple[ServerLoad, ...]) -> None:
    """Replace what is known of another VM's requests in flight."""
    if vm_id != world.local.vm_id:
        _keep_loads(world, vm_id, loads)


@message_handlers("report")
def take_report(world: World, sender_vm_id: str, report: Report, now: Instant) -> None:
    """Apply what another VM observed and has in flight."""
    sender = world.vms.get(sender_vm_id)
    if sender is None:
        return
    world.vms.replace(sender._replace(changed_at_s=now.monotonic_s))
    for observation in report.observations:
        observe(world, observation.server_id, observation.kind, now)
    hear_answered(world, report.answered, now, is_far=False)
    if report.loads is not None:
        take_loads(world, sender_vm_id, report.loads)
