"""Sends queued requests to backend servers, or refuses them at once."""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    NoBackendServerError,
    PoisonRequestError,
)
from burdockhitch.systems.direct.accounts.rechecks import recheck_request
from burdockhitch.systems.direct.admission.admitting import (
    decide,
    dispatch_order,
    hold,
    refuse_overloaded,
)
from burdockhitch.systems.direct.admission.decisions import Verdict
from burdockhitch.systems.direct.admission.exploration import choose_to_explore
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.evidence.run_times import (
    mean_run_time_s,
    overdue_after_s,
)
from burdockhitch.systems.direct.evidence.running_attempts import (
    schedule_running_evidence,
)
from burdockhitch.systems.direct.poison_requests import digest_request, refusal_s
from burdockhitch.systems.direct.reports import update_in_flight_mean
from burdockhitch.systems.direct.return_times import retry_after_s
from burdockhitch.systems.direct.selection import (
    Candidate,
    group_candidates,
    selection_policies,
    usable_candidates,
    would_miss_deadline,
)
from burdockhitch.systems.direct.sending_permission import (
    describe_obstacles,
    shortest_pause_s,
)
from burdockhitch.systems.direct.sending_shares import spend_share
from burdockhitch.systems.direct.server_estimates import p_failing
from burdockhitch.systems.endings import advance_request, make_refusal, refuse_request
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.requests import (
    AttemptRow,
    RequestRow,
    RequestState,
)
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    log_event,
    next_sequence,
    send,
    start_timer,
)

# Longest fraction of the remaining time for connecting, so that time is left to send
# the request to another server or to refuse it.
CONNECT_FRACTION_MAX = 0.5


def _send(world: World, row: RequestRow, choice: Candidate, now: Instant) -> None:
    server = choice.server
    attempt_id = next_sequence(world, "attempt")
    row = row._replace(
        attempt_id=attempt_id,
        tried=(*row.tried, server.server_id),
        n_tries=row.n_tries + 1,
    )
    advance_request(world, row, "dispatch", now)
    update_in_flight_mean(world, row.service)
    spend_share(world, server.server_id, now)
    attempt = AttemptRow(
        attempt_id,
        row.request_id,
        server.server_id,
        row.service,
        now.monotonic_s,
        choice.wait_s,
        process_started_ms=server.process_started_ms,
    )
    world.attempts.insert(attempt)
    schedule_running_evidence(world, attempt)
    count(world, "attempts", "service", row.service)
    _log_sent(world, row, choice, now)
    due_s = now.monotonic_s + overdue_after_s(
        world, row.service, choice.wait_s, row.route_id
    )
    start_timer(world, TimerKind.OVERDUE, str(attempt_id), due_s)
    remaining_s = row.deadline_s - now.monotonic_s
    command = commands.SendAttempt(
        attempt_id,
        row.caller_request_id,
        server.address,
        row.message,
        remaining_s,
        server.server_id,
        row.is_idempotent,
        CONNECT_FRACTION_MAX * remaining_s,
    )
    send(world, command)


def _log_sent(world: World, row: RequestRow, choice: Candidate, now: Instant) -> None:
    estimate = choice.estimate
    log_event(
        world,
        "INFO",
        "request_sent",
        request_id=row.caller_request_id,
        server=estimate.server_id,
        n_tries=row.n_tries,
        p_failing=round(p_failing(estimate, now), 3),
        belief_age_s=round(now.monotonic_s - estimate.updated_at_s, 3),
        wait_s=round(choice.wait_s, 3),
        remaining_s=round(row.deadline_s - now.monotonic_s, 3),
        servers_version=registry_view(world, RegistryPart.SERVERS).version,
        configuration_version=registry_view(world, RegistryPart.CONFIGURATION).version,
    )


def _refuse_poison(
    world: World, row: RequestRow, refused_s: float, now: Instant
) -> None:
    count(world, "poison_requests_refused")
    digest = digest_request(row.message)
    detail = f"backend servers ended while they ran the same request (digest {digest})"
    refusal = make_refusal(PoisonRequestError, detail, refused_s)
    refuse_request(world, row, refusal, now)


def _dispatch(world: World, queued: RequestRow, now: Instant) -> None:
    row = recheck_request(world, queued, now)
    if row is None:
        return
    refused_s = refusal_s(world, row.message, now)
    if refused_s > 0:
        _refuse_poison(world, row, refused_s, now)
        return
    groups = group_candidates(world, row, now)
    explored = choose_to_explore(world, row, groups, now)
    if explored is not None:
        count(world, "explorations", "service", row.service)
        _send(world, row, explored, now)
        return
    candidates = usable_candidates(groups)
    if not candidates:
        obstacles = describe_obstacles(world, row.service, now)
        detail = f"no backend server of {row.service} can take the request"
        if obstacles:
            detail = f"{detail} (not met: {obstacles})"
        wait_s = mean_run_time_s(world, row.service)
        rest_s = shortest_pause_s(world, row.service, now)
        after_s = retry_after_s(world, row, wait_s, now, rest_s)
        refusal = make_refusal(NoBackendServerError, detail, after_s)
        refuse_request(world, row, refusal, now)
        return
    in_time = [
        candidate
        for candidate in candidates
        if not would_miss_deadline(row, candidate, now)
    ]
    policy = selection_policies[world.settings.policies.selection]
    choice = policy(world, row, in_time, now) if in_time else None
    wait_s = min(candidate.wait_s for candidate in candidates)
    decision = decide(world, row, choice, wait_s, now)
    if decision.verdict is Verdict.HOLD:
        hold(world, row, decision.until_s)
    elif decision.verdict is Verdict.REFUSE or choice is None:
        if choice is not None:
            wait_s = choice.wait_s
        refuse_overloaded(world, row, decision, wait_s, now)
    else:
        _send(world, row, choice, now)


def _refuse_failed(
    world: World, request_id: str, error: Exception, now: Instant
) -> None:
    """Refuse a request that was not sent because of an unexpected error."""
    row = world.requests.get(request_id)
    if row is not None:
        detail = f"it was not sent because of an error: {error!r}"
        after_s = retry_after_s(world, row, mean_run_time_s(world, row.service), now)
        refusal = make_refusal(NoBackendServerError, detail, after_s)
        refuse_request(world, row, refusal, now)


@system(Phase.DISPATCH, DIRECT)
def dispatch_requests(world: World, now: Instant) -> None:
    """Send or refuse all queued requests, by priority and then by age.

    A request whose dispatch raises an error is refused, so that it doesn't block those
    behind it in each tick.

    Raises:
        Exception: The last of these errors, after all requests.
    """
    failure = None
    queued = world.requests.select("state", RequestState.QUEUED)
    for row in sorted(queued, key=lambda row: dispatch_order(world, row, now)):
        try:
            _dispatch(world, row, now)
        except Exception as error:
            failure = error
            _refuse_failed(world, row.request_id, error, now)
    if failure is not None:
        raise failure
