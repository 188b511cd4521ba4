"""The tables of one VM and the helpers that systems use to change them."""

import random
from typing import Any, NamedTuple

from burdockhitch import commands
from burdockhitch.clock import Clock, Instant
from burdockhitch.settings import Settings
from burdockhitch.tables import (
    backend_servers,
    beliefs,
    ejection_permits,
    health_signals,
    loads,
    mailboxes,
    operations,
    prefix_routes,
    probes,
    registry_views,
    requests,
    revisions,
    routes,
    services,
    timers,
    vms,
    witnesses,
)
from burdockhitch.tables.table import Table

MICROSECONDS_PER_S = 1_000_000


class LocalVm(NamedTuple):
    """Identity of this VM and of its running process.

    Attributes:
        vm_id: Name from the settings.
        incarnation: Start time of the process in microseconds since 1970; tells
            this process from earlier ones of the same VM.
        zone: Availability zone.
        region: Region.
    """

    vm_id: str
    incarnation: int
    zone: str
    region: str

    def home_token(self) -> str:
        """Return the identifier of this process: ``vm_id.incarnation``."""
        return f"{self.vm_id}.{self.incarnation}"


class World(NamedTuple):
    """All state of one VM: its tables, settings, clock and random numbers."""

    local: LocalVm
    settings: Settings
    clock: Clock
    rng: random.Random
    vms: Table[vms.VmRow]
    services: Table[services.ServiceRow]
    retry_budgets: Table[services.RetryBudgetRow]
    loads: Table[loads.LoadRow]
    profiles: Table[loads.ProfileRow]
    window_states: Table[loads.WindowStateRow]
    latencies: Table[services.LatencyRow]
    backend_servers: Table[backend_servers.BackendServerRow]
    ownerships: Table[backend_servers.OwnershipRow]
    disowns: Table[backend_servers.DisownRow]
    reaches: Table[health_signals.ReachRow]
    slots: Table[backend_servers.SlotRow]
    capacities: Table[backend_servers.CapacityRow]
    health_signals: Table[health_signals.HealthRow]
    doubts: Table[health_signals.DoubtRow]
    permits: Table[ejection_permits.PermitRow]
    permit_uses: Table[ejection_permits.PermitUseRow]
    server_estimates: Table[beliefs.ServerEstimateRow]
    reported_loads: Table[beliefs.ReportedLoadRow]
    peer_load_totals: Table[beliefs.PeerLoadTotalRow]
    service_times: Table[beliefs.ServiceTimeRow]
    unreported_observations: Table[beliefs.UnreportedObservationRow]
    recent_successes: Table[beliefs.RecentSuccessRow]
    registry_views: Table[registry_views.RegistryViewRow]
    missing_servers: Table[registry_views.MissingServerRow]
    configurations: Table[registry_views.ConfigurationDocument]
    prefix_routes: Table[prefix_routes.PrefixRouteRow]
    routes: Table[routes.RouteRow]
    limits: Table[routes.LimitRow]
    buckets: Table[routes.BucketRow]
    windows: Table[routes.WindowRow]
    requests: Table[requests.RequestRow]
    attempts: Table[requests.AttemptRow]
    unknowns: Table[requests.UnknownRow]
    specimens: Table[requests.SpecimenRow]
    ended: Table[requests.EndedRow]
    watermarks: Table[requests.WatermarkRow]
    home_records: Table[requests.HomeRow]
    witnessed: Table[witnesses.WitnessedRow]
    lost: Table[witnesses.LostRow]
    timers: Table[timers.TimerRow]
    revisions: Table[revisions.RevisionRow]
    confirmations: Table[revisions.ConfirmationRow]
    operations: Table[operations.OperationRow]
    probes: Table[probes.ProbeRow]
    relays: Table[probes.RelayRow]
    failures: Table[operations.FailureRow]
    witnesses: Table[witnesses.DutyRow]
    listings: Table[operations.ListingRow]
    closings: Table[witnesses.ClosingRow]
    inbox: Table[mailboxes.InboxRow]
    outbox: Table[mailboxes.OutboxRow]
    counters: Table[mailboxes.CounterRow]
    sequences: Table[mailboxes.CounterRow]


def make_world(settings: Settings, clock: Clock, rng: random.Random) -> World:
    """Return the state of a VM at its start, with empty tables.

    Args:
        settings: Validated settings.
        clock: Source of time; its first reading becomes the incarnation.
        rng: Random number generator for every random choice of the systems.
    """
    started = clock.now().utc
    incarnation = int(started.timestamp() * MICROSECONDS_PER_S)
    local = LocalVm(
        settings.vm.vm_id, incarnation, settings.vm.zone, settings.vm.region
    )
    return World(
        local=local,
        settings=settings,
        clock=clock,
        rng=rng,
        vms=vms.make_vms(),
        services=services.make_services(),
        retry_budgets=services.make_retry_budgets(),
        loads=loads.make_loads(),
        profiles=loads.make_profiles(),
        window_states=loads.make_window_states(),
        latencies=services.make_latencies(),
        backend_servers=backend_servers.make_backend_servers(),
        ownerships=backend_servers.make_ownerships(),
        disowns=backend_servers.make_disowns(),
        reaches=health_signals.make_reaches(),
        slots=backend_servers.make_slots(),
        capacities=backend_servers.make_capacities(),
        health_signals=health_signals.make_health_signals(),
        doubts=health_signals.make_doubts(),
        permits=ejection_permits.make_permits(),
        permit_uses=ejection_permits.make_permit_uses(),
        server_estimates=beliefs.make_server_estimates(),
        reported_loads=beliefs.make_reported_loads(),
        peer_load_totals=beliefs.make_peer_load_totals(),
        service_times=beliefs.make_service_times(),
        unreported_observations=beliefs.make_unreported_observations(),
        recent_successes=beliefs.make_recent_successes(),
        registry_views=registry_views.make_registry_views(),
        missing_servers=registry_views.make_missing_servers(),
        configurations=registry_views.make_configurations(),
        prefix_routes=prefix_routes.make_prefix_routes(),
        routes=routes.make_routes(),
        limits=routes.make_limits(),
        buckets=routes.make_buckets(),
        windows=routes.make_windows(),
        requests=requests.make_requests(),
        attempts=requests.make_attempts(),
        unknowns=requests.make_unknowns(),
        specimens=requests.make_specimens(),
        ended=requests.make_ended(),
        watermarks=requests.make_watermarks(),
        home_records=requests.make_home_records(),
        witnessed=witnesses.make_witnessed(),
        lost=witnesses.make_lost(),
        timers=timers.make_timers(),
        revisions=revisions.make_revisions(),
        confirmations=revisions.make_confirmations(),
        operations=operations.make_operations(),
        probes=probes.make_probes(),
        relays=probes.make_relays(),
        failures=operations.make_failures(),
        witnesses=witnesses.make_witnesses(),
        listings=operations.make_listings(),
        closings=witnesses.make_closings(),
        inbox=mailboxes.make_inbox(),
        outbox=mailboxes.make_outbox(),
        counters=mailboxes.make_counters(),
        sequences=mailboxes.make_counters(),
    )


def next_sequence(world: World, name: str) -> int:
    """Return the next number of a named sequence, starting at 1."""
    key = (name, "", "")
    row = world.sequences.get(key)
    if row is None:
        world.sequences.insert(mailboxes.CounterRow(key, 1))
        return 1
    world.sequences.replace(mailboxes.CounterRow(key, row.n_events + 1))
    return row.n_events + 1


def post_event(world: World, event: Any) -> None:
    """Append an event to the inbox and count it by type."""
    sequence = next_sequence(world, "inbox")
    kind = type(event).__name__
    next_sequence(world, kind)
    world.inbox.insert(mailboxes.InboxRow(sequence, kind, event))


def count_posted(world: World, event_type: type[Any]) -> int:
    """Return how many events of a type were posted since the process started."""
    row = world.sequences.get((event_type.__name__, "", ""))
    return row.n_events if row else 0


def take_events(world: World, event_type: type[Any]) -> list[Any]:
    """Remove all events of a type from the inbox and return them, oldest first."""
    if not len(world.inbox):
        return []
    rows = world.inbox.select("kind", event_type.__name__)
    for row in rows:
        world.inbox.remove(row.sequence)
    return [row.event for row in rows]


def send(world: World, command: Any) -> None:
    """Append a command to the outbox, for an adapter to run after the tick."""
    sequence = next_sequence(world, "outbox")
    world.outbox.insert(mailboxes.OutboxRow(sequence, type(command).__name__, command))


def count(
    world: World, name: str, label: str = "", value: str = "", n_events: int = 1
) -> None:
    """Increment a metrics counter by ``n_events``."""
    key = (name, label, value)
    row = world.counters.get(key)
    if row is not None:
        n_events += row.n_events
    world.counters.put(mailboxes.CounterRow(key, n_events))


def log_event(world: World, level: str, event: str, **fields: Any) -> None:
    """Queue a structured log line; an adapter writes it after the tick."""
    send(world, commands.LogEvent(level, event, fields))


def start_timer(
    world: World, kind: timers.TimerKind, subject: str, due_s: float
) -> None:
    """Start a timer, or reschedule the one with the same kind and subject.

    Args:
        world: Tables of this VM.
        kind: Which handler runs.
        subject: Row or key that the timer is about, passed to the handler.
        due_s: Monotonic time at which it fires.
    """
    world.timers.put(timers.TimerRow((kind, subject), due_s))


def stop_timer(world: World, kind: timers.TimerKind, subject: str) -> None:
    """Cancel a timer if it is pending."""
    world.timers.discard((kind, subject))


def send_message(world: World, vm_id: str, message: Any) -> bool:
    """Queue a message to a VM of the membership view.

    Returns:
        Whether the view has the VM; if not, nothing is sent.
    """
    vm = world.vms.get(vm_id)
    if vm is None:
        return False
    send(world, commands.SendMessage(vm_id, vm.message_address, message))
    return True


def current_revision(world: World) -> int:
    """Return the number of the rules revision in force, 0 if there is none."""
    row = world.revisions.get("in_force")
    return row.number if row else 0


def start_operation(world: World, purpose: str, subject: str, now: Instant) -> str:
    """Record a pending operation on the platform and return its identifier.

    Args:
        world: Tables of this VM.
        purpose: What the reply is for; see ``OperationRow``.
        subject: Row, key or part of the registry that the operation is about.
        now: Time of the tick.
    """
    sequence = next_sequence(world, "operation")
    operation_id = f"{world.local.home_token()}.{sequence}"
    row = operations.OperationRow(operation_id, purpose, subject, now.monotonic_s)
    world.operations.insert(row)
    return operation_id
