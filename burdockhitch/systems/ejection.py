"""Takes suspect backend servers out of service, as far as the floor allows.

The floor of a service is the number of healthy slots that ejections must leave.
"""

from collections.abc import Callable

from burdockhitch.backoff import doubled_delay_s
from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.health import (
    change_server_state,
    health_profile_of,
    request_probe,
    schedule_probe,
)
from burdockhitch.systems.permits import acquire_permit
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.reachability import query_server_reachability
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.server_health import ServerHealthRow, ServerState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, count, start_timer

CORRELATED_SUSPECTS_RATIO = 0.5
# Ejections of a server count as repeated if less than this lies between them.
REPEATED_EJECTION_INTERVAL_MAX_S = 600.0

FloorGuard = Callable[[World, ServerHealthRow, Instant], bool]
floor_guards: Registry[FloorGuard] = Registry("floor guard")


@floor_guards("escrow")
def allow_with_permit(world: World, row: ServerHealthRow, now: Instant) -> bool:
    """Allow an ejection if this VM incarnation holds a permit for its slots.

    The platform grants permits; all of them together keep the floor.
    """
    return acquire_permit(world, row, now)


@floor_guards("none")
def allow_always(world: World, row: ServerHealthRow, now: Instant) -> bool:
    """Allow every ejection; a baseline for comparison that breaks the floor."""
    return True


@floor_guards("local_view")
def allow_by_local_view(world: World, row: ServerHealthRow, now: Instant) -> bool:
    """Allow an ejection that keeps the floor, counting only this VM's ejections.

    The floor may be broken if several VMs eject servers of a service.
    """
    service = world.services.fetch(row.service)
    servers = world.backend_servers.select("service", row.service)
    n_slots = sum(server.n_slots for server in servers)
    ejected = world.server_health.select("state", ServerState.EJECTED)
    n_ejected_slots = sum(
        world.backend_servers.fetch(other.server_id).n_slots
        for other in ejected
        if other.service == row.service
    )
    n_server_slots = world.backend_servers.fetch(row.server_id).n_slots
    return n_slots - n_ejected_slots - n_server_slots >= service.floor_slots


def are_failures_correlated(world: World, service: str) -> bool:
    """Return whether most servers of a service are suspect at once.

    It counts the servers that all VMs reported as suspect or ejected. The likely
    cause is overload or a network fault on the side of the entry VMs, so none of
    the servers should be ejected.
    """
    reports = world.service_reports.select("service", service)
    n_owned = sum(report.n_owned for report in reports)
    n_suspect = sum(report.n_suspect for report in reports)
    return n_owned > 1 and n_suspect > n_owned * CORRELATED_SUSPECTS_RATIO


def _hold_duration_s(world: World, n_ejections: int) -> float:
    """Return the time from the ejection of a server to its first probe.

    It doubles with each repeated ejection, up to the configured maximum.
    """
    settings = world.settings.backend_servers
    return doubled_delay_s(settings.hold_s, n_ejections - 1, settings.hold_max_s)


def _eject(world: World, row: ServerHealthRow, now: Instant) -> None:
    is_repeated = now.monotonic_s - row.ejected_at_s < REPEATED_EJECTION_INTERVAL_MAX_S
    n_ejections = row.n_ejections + 1 if is_repeated else 1
    row = row._replace(n_ejections=n_ejections, ejected_at_s=now.monotonic_s)
    change_server_state(world, row, "eject", now, row.cause)
    count(world, "ejections", "cause", row.cause)
    due_s = now.monotonic_s + _hold_duration_s(world, n_ejections)
    start_timer(world, TimerKind.EJECTION_HOLD_END, row.server_id, due_s)


@system(Phase.EJECTION)
def eject_suspects(world: World, now: Instant) -> None:
    """Eject the suspect servers that the floor guard allows.

    None is ejected while most servers of its service are suspect, while other VMs
    are queried whether they can reach it, or when it is handed over to another VM.
    """
    guard = floor_guards[world.settings.policies.floor_guard]
    for row in world.server_health.select("state", ServerState.SUSPECT):
        if are_failures_correlated(world, row.service):
            count(world, "ejections_withheld", "reason", "common_trouble")
        elif query_server_reachability(world, row, now):
            count(world, "ejections_withheld", "reason", "unreachable")
        elif guard(world, row, now):
            _eject(world, row, now)


@timer_handlers(TimerKind.EJECTION_HOLD_END)
def probe_after_hold(world: World, server_id: str, now: Instant) -> None:
    """Probe an ejected server at the end of its hold time."""
    row = world.server_health.get(server_id)
    if row is not None and row.state is ServerState.EJECTED:
        request_probe(world, server_id)
        schedule_probe(world, row, now)


@timer_handlers(TimerKind.SERVER_PROBE)
def repeat_probe(world: World, server_id: str, now: Instant) -> None:
    """Probe an ejected server again after a failed or unanswered probe."""
    probe_after_hold(world, server_id, now)


def inherit_suspicion(world: World, row: ServerHealthRow, now: Instant) -> None:
    """Mark a server that was handed over as suspect, as its previous owner did."""
    threshold = health_profile_of(world, row.service).threshold
    row = row._replace(error_evidence=threshold)
    change_server_state(world, row, "suspect", now, "handed over")
