"""The state of one VM and the functions that most systems use to change it."""

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from burdockhitch import commands
from burdockhitch.clock import Clock, Instant
from burdockhitch.settings import Settings
from burdockhitch.tables import (
    account_demands,
    backend_servers,
    caller_connections,
    client_accounts,
    ejection_permits,
    loads,
    mailboxes,
    operations,
    poison_requests,
    prefix_routes,
    probes,
    quotas,
    registry_views,
    requests,
    retry_usages,
    revisions,
    routes,
    run_times,
    server_limits,
    server_notices,
    services,
    timers,
    vms,
    witnesses,
)
from burdockhitch.tables import (
    server_estimates as estimate_tables,
)
from burdockhitch.tables import (
    server_health as health_tables,
)
from burdockhitch.tables.table import Table

MICROSECONDS_PER_S = 1_000_000


class LocalVm(NamedTuple):
    """Identity of this VM and of its running process.

    Attributes:
        vm_id: Name from the settings.
        incarnation: Start time of the process in microseconds since 1970; tells
            this process from earlier ones of the same VM.
        zone: Availability zone of the VM.
        region: Region of the availability zone.
    """

    vm_id: str
    incarnation: int
    zone: str
    region: str

    def incarnation_id(self) -> str:
        """Return ``vm_id.incarnation``, which identifies this process in the fleet."""
        return f"{self.vm_id}.{self.incarnation}"


class World(NamedTuple):
    """All state of one VM: its tables, settings, clock and random number generator."""

    local: LocalVm
    settings: Settings
    clock: Clock
    rng: random.Random
    vms: Table[vms.VmRow]
    services: Table[services.ServiceRow]
    retry_budgets: Table[services.RetryBudgetRow]
    retry_usages: Table[retry_usages.RetryUsageRow]
    peer_usages: Table[retry_usages.PeerUsageRow]
    arrival_rates: Table[loads.ArrivalRateRow]
    load_profiles: Table[loads.LoadProfileRow]
    window_states: Table[loads.WindowStateRow]
    service_reports: Table[services.ServiceReportRow]
    backend_servers: Table[backend_servers.BackendServerRow]
    service_slots: Table[backend_servers.ServiceSlotsRow]
    ownerships: Table[backend_servers.OwnershipRow]
    disowned_servers: Table[backend_servers.DisownedServerRow]
    reach_queries: Table[health_tables.ReachQueryRow]
    slot_usages: Table[backend_servers.SlotUsageRow]
    owner_capacities: Table[backend_servers.OwnerCapacityRow]
    server_health: Table[health_tables.ServerHealthRow]
    servers_with_evidence: Table[health_tables.ServerWithEvidenceRow]
    ejection_permits: Table[ejection_permits.EjectionPermitRow]
    permitted_ejections: Table[ejection_permits.PermittedEjectionRow]
    server_estimates: Table[estimate_tables.ServerEstimateRow]
    reported_loads: Table[estimate_tables.ReportedLoadRow]
    peer_load_totals: Table[estimate_tables.PeerLoadTotalRow]
    service_times: Table[estimate_tables.ServiceTimeRow]
    run_time_priors: Table[run_times.RunTimePriorRow]
    run_times: Table[run_times.RunTimeRow]
    run_time_totals: Table[run_times.RunTimeTotalRow]
    unreported_observations: Table[estimate_tables.UnreportedObservationRow]
    zone_observations: Table[estimate_tables.ZoneObservationRow]
    received_zone_reports: Table[estimate_tables.ReceivedZoneReportRow]
    recent_successes: Table[estimate_tables.RecentSuccessRow]
    server_limits: Table[server_limits.ServerLimitRow]
    sending_shares: Table[server_limits.SendingShareRow]
    leaving_servers: Table[server_notices.LeavingServerRow]
    resting_servers: Table[server_notices.RestingServerRow]
    suspect_requests: Table[poison_requests.SuspectRequestRow]
    answered_requests: Table[poison_requests.AnsweredRequestRow]
    unreported_requests: Table[poison_requests.UnreportedRequestRow]
    registry_views: Table[registry_views.RegistryViewRow]
    registry_changes: Table[registry_views.RegistryChangeRow]
    registry_gaps: Table[registry_views.RegistryGapRow]
    copy_queues: Table[registry_views.CopyQueueRow]
    missing_servers: Table[registry_views.MissingServerRow]
    removed_servers: Table[registry_views.RemovedServerRow]
    suspended_servers: Table[registry_views.SuspendedServerRow]
    configurations: Table[registry_views.ConfigurationDocument]
    client_accounts: Table[client_accounts.ClientAccountRow]
    account_keys: Table[client_accounts.AccountKeysRow]
    quota_states: Table[quotas.QuotaStateRow]
    fleet_views: Table[quotas.FleetViewRow]
    ceded_shares: Table[quotas.CededShareRow]
    quota_buckets: Table[quotas.QuotaBucketRow]
    answered_asks: Table[quotas.AnsweredAskRow]
    account_demands: Table[quotas.AccountDemandRow]
    held_requests: Table[quotas.HeldRequestRow]
    open_asks: Table[quotas.OpenAskRow]
    silent_homes: Table[quotas.SilentHomeRow]
    own_shares: Table[quotas.OwnShareRow]
    service_demands: Table[account_demands.AccountDemandRow]
    account_refusals: Table[account_demands.AccountRefusalRow]
    service_backlogs: Table[account_demands.ServiceBacklogRow]
    caller_connections: Table[caller_connections.CallerConnectionRow]
    prefix_routes: Table[prefix_routes.PrefixRouteRow]
    routes: Table[routes.RouteRow]
    rate_limits: Table[routes.RateLimitRow]
    token_buckets: Table[routes.TokenBucketRow]
    windows: Table[routes.WindowRow]
    requests: Table[requests.RequestRow]
    attempts: Table[requests.AttemptRow]
    unknown_outcomes: Table[requests.UnknownOutcomeRow]
    repeatable_requests: Table[requests.RepeatableRequestRow]
    forward_outcomes: Table[requests.ForwardOutcomeRow]
    expiry_watermarks: Table[requests.ExpiryWatermarkRow]
    home_records: Table[requests.HomeRecordRow]
    witnessed_requests: Table[witnesses.WitnessedRequestRow]
    lost_requests: Table[witnesses.LostRequestRow]
    timers: Table[timers.TimerRow]
    revisions: Table[revisions.RevisionRow]
    revision_confirmations: Table[revisions.RevisionConfirmationRow]
    platform_operations: Table[operations.PlatformOperationRow]
    membership_probes: Table[probes.MembershipProbeRow]
    relayed_probes: Table[probes.RelayedProbeRow]
    read_failures: Table[operations.ReadFailureRow]
    witnesses: Table[witnesses.WitnessRow]
    listed_vms: Table[operations.ListedVmRow]
    unreported_endings: Table[witnesses.UnreportedEndingRow]
    inbox: Table[mailboxes.InboxRow]
    outbox: Table[mailboxes.OutboxRow]
    counters: Table[mailboxes.CounterRow]
    sequences: Table[mailboxes.CounterRow]


def make_world(settings: Settings, clock: Clock, rng: random.Random) -> World:
    """Return the state of a VM at its start, with empty tables.

    Args:
        settings: Validated settings.
        clock: Source of time; its wall-clock time at this call is the incarnation.
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
        retry_usages=retry_usages.make_retry_usages(),
        peer_usages=retry_usages.make_peer_usages(),
        arrival_rates=loads.make_arrival_rates(),
        load_profiles=loads.make_load_profiles(),
        window_states=loads.make_window_states(),
        service_reports=services.make_service_reports(),
        backend_servers=backend_servers.make_backend_servers(),
        service_slots=backend_servers.make_service_slots(),
        ownerships=backend_servers.make_ownerships(),
        disowned_servers=backend_servers.make_disowned_servers(),
        reach_queries=health_tables.make_reach_queries(),
        slot_usages=backend_servers.make_slot_usages(),
        owner_capacities=backend_servers.make_owner_capacities(),
        server_health=health_tables.make_server_health(),
        servers_with_evidence=health_tables.make_servers_with_evidence(),
        ejection_permits=ejection_permits.make_ejection_permits(),
        permitted_ejections=ejection_permits.make_permitted_ejections(),
        server_estimates=estimate_tables.make_server_estimates(),
        reported_loads=estimate_tables.make_reported_loads(),
        peer_load_totals=estimate_tables.make_peer_load_totals(),
        service_times=estimate_tables.make_service_times(),
        run_time_priors=run_times.make_run_time_priors(),
        run_times=run_times.make_run_times(),
        run_time_totals=run_times.make_run_time_totals(),
        unreported_observations=estimate_tables.make_unreported_observations(),
        zone_observations=estimate_tables.make_zone_observations(),
        received_zone_reports=estimate_tables.make_received_zone_reports(),
        recent_successes=estimate_tables.make_recent_successes(),
        server_limits=server_limits.make_server_limits(),
        sending_shares=server_limits.make_sending_shares(),
        leaving_servers=server_notices.make_leaving_servers(),
        resting_servers=server_notices.make_resting_servers(),
        suspect_requests=poison_requests.make_suspect_requests(),
        answered_requests=poison_requests.make_answered_requests(),
        unreported_requests=poison_requests.make_unreported_requests(),
        registry_views=registry_views.make_registry_views(),
        registry_changes=registry_views.make_registry_changes(),
        registry_gaps=registry_views.make_registry_gaps(),
        copy_queues=registry_views.make_copy_queues(),
        missing_servers=registry_views.make_missing_servers(),
        removed_servers=registry_views.make_removed_servers(),
        suspended_servers=registry_views.make_suspended_servers(),
        configurations=registry_views.make_configurations(),
        client_accounts=client_accounts.make_client_accounts(),
        account_keys=client_accounts.make_account_keys(),
        quota_states=quotas.make_quota_states(),
        fleet_views=quotas.make_fleet_views(),
        ceded_shares=quotas.make_ceded_shares(),
        quota_buckets=quotas.make_quota_buckets(),
        answered_asks=quotas.make_answered_asks(),
        account_demands=quotas.make_account_demands(),
        held_requests=quotas.make_held_requests(),
        open_asks=quotas.make_open_asks(),
        silent_homes=quotas.make_silent_homes(),
        own_shares=quotas.make_own_shares(),
        service_demands=account_demands.make_service_demands(),
        account_refusals=account_demands.make_account_refusals(),
        service_backlogs=account_demands.make_service_backlogs(),
        caller_connections=caller_connections.make_caller_connections(),
        prefix_routes=prefix_routes.make_prefix_routes(),
        routes=routes.make_routes(),
        rate_limits=routes.make_rate_limits(),
        token_buckets=routes.make_token_buckets(),
        windows=routes.make_windows(),
        requests=requests.make_requests(),
        attempts=requests.make_attempts(),
        unknown_outcomes=requests.make_unknown_outcomes(),
        repeatable_requests=requests.make_repeatable_requests(),
        forward_outcomes=requests.make_forward_outcomes(),
        expiry_watermarks=requests.make_expiry_watermarks(),
        home_records=requests.make_home_records(),
        witnessed_requests=witnesses.make_witnessed_requests(),
        lost_requests=witnesses.make_lost_requests(),
        timers=timers.make_timers(),
        revisions=revisions.make_revisions(),
        revision_confirmations=revisions.make_revision_confirmations(),
        platform_operations=operations.make_platform_operations(),
        membership_probes=probes.make_membership_probes(),
        relayed_probes=probes.make_relayed_probes(),
        read_failures=operations.make_read_failures(),
        witnesses=witnesses.make_witnesses(),
        listed_vms=operations.make_listed_vms(),
        unreported_endings=witnesses.make_unreported_endings(),
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
    world.sequences.replace(mailboxes.CounterRow(key, row.value + 1))
    return row.value + 1


def post_event(world: World, event: Any) -> None:
    """Append an event to the inbox for the systems, and count it by type."""
    sequence = next_sequence(world, "inbox")
    kind = type(event).__name__
    next_sequence(world, kind)
    world.inbox.insert(mailboxes.InboxRow(sequence, kind, event))


def count_posted_events(world: World, event_type: type[Any]) -> int:
    """Return how many events of a type were posted since the process started."""
    row = world.sequences.get((event_type.__name__, "", ""))
    return row.value if row else 0


def pop_events(world: World, event_type: type[Any]) -> Iterator[Any]:
    """Remove the events of a type from the inbox one by one, oldest first.

    If the handling of one raises an error, the others stay for the next tick.
    """
    if not len(world.inbox):
        return
    for row in world.inbox.select("kind", event_type.__name__):
        world.inbox.remove(row.sequence)
        yield row.event


def discard_events(world: World, event_type: type[Any]) -> bool:
    """Remove all events of a type from the inbox; return whether there were any."""
    return len(list(pop_events(world, event_type))) > 0


def send(world: World, command: Any) -> None:
    """Append a command to the outbox, for an adapter to run after the tick."""
    sequence = next_sequence(world, "outbox")
    world.outbox.insert(mailboxes.OutboxRow(sequence, type(command).__name__, command))


def count(
    world: World, name: str, label: str = "", value: str = "", n_events: int = 1
) -> None:
    """Increment a metrics counter.

    Args:
        world: Tables of this VM.
        name: Name of the counter.
        label: Name of its label, empty for none.
        value: Value of the label.
        n_events: Amount to add.
    """
    key = (name, label, value)
    row = world.counters.get(key)
    if row is not None:
        n_events += row.value
    world.counters.put(mailboxes.CounterRow(key, n_events))


def log_event(world: World, level: str, event: str, **fields: Any) -> None:
    """Queue a structured log line, for an adapter to write after the tick.

    Args:
        world: Tables of this VM.
        level: Level of the line, such as ``INFO``.
        event: Name of what happened.
        **fields: Further fields of the line.
    """
    send(world, commands.LogEvent(level, event, fields))


def start_timer(
    world: World, kind: timers.TimerKind, subject: str, due_s: float
) -> None:
    """Start a timer, or reschedule the one with the same kind and subject.

    Args:
        world: Tables of this VM.
        kind: What the timer is for; determines the handler.
        subject: Tells timers of one kind apart and is passed to the handler.
        due_s: Monotonic time at which it fires.
    """
    world.timers.put(timers.TimerRow((kind, subject), due_s))


def stop_timer(world: World, kind: timers.TimerKind, subject: str) -> None:
    """Cancel a timer if it is pending."""
    world.timers.discard((kind, subject))


def send_message(world: World, vm_id: str, message: Any) -> bool:
    """Queue a message to a VM of the membership view.

    Returns:
        Whether the VM is in the view; if not, nothing is sent.
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


def start_platform_operation(
    world: World, purpose: str, subject: str, now: Instant
) -> str:
    """Record a pending operation on the platform and return its identifier.

    Args:
        world: Tables of this VM.
        purpose: What the reply is for; see ``PlatformOperationRow``.
        subject: What the operation is about; see ``PlatformOperationRow``.
        now: Time of the tick.
    """
    sequence = next_sequence(world, "operation")
    operation_id = f"{world.local.incarnation_id()}.{sequence}"
    row = operations.PlatformOperationRow(
        operation_id, purpose, subject, now.monotonic_s
    )
    world.platform_operations.insert(row)
    return operation_id
