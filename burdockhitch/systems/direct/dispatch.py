"""Sends queued requests to backend servers, or refuses them without waiting."""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.errors import NoBackendServerError, OverloadedError
from burdockhitch.systems.direct.belief import OVERDUE_MEANS, p_failing
from burdockhitch.systems.direct.configuration import view_of
from burdockhitch.systems.direct.overload import is_not_worth_waiting
from burdockhitch.systems.direct.reports import note_in_flight
from burdockhitch.systems.direct.selection import (
    Candidate,
    find_candidates,
    is_hopeless,
    mean_time_s,
    selection_policies,
)
from burdockhitch.systems.endings import advance_request, make_refusal, refuse_request
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.registry_views import Subject
from burdockhitch.tables.requests import (
    AttemptRow,
    RequestRow,
    RequestState,
    queue_order,
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

RETRY_AFTER_S = 0.25
# Least time before an answer is overdue.
OVERDUE_MIN_S = 0.25


def _send(world: World, row: RequestRow, choice: Candidate, now: Instant) -> None:
    server = choice.server
    attempt_id = next_sequence(world, "attempt")
    row = row._replace(
        attempt_id=attempt_id,
        tried=(*row.tried, server.server_id),
        n_tries=row.n_tries + 1,
    )
    advance_request(world, row, "dispatch", now)
    note_in_flight(world, row.service)
    world.attempts.insert(
        AttemptRow(
            attempt_id,
            row.request_id,
            server.server_id,
            row.service,
            now.monotonic_s,
            choice.wait_s,
        )
    )
    count(world, "attempts", "service", row.service)
    _log_sent(world, row, choice, now)
    expected_s = choice.wait_s + mean_time_s(world, row.service)
    due_s = now.monotonic_s + max(OVERDUE_MIN_S, OVERDUE_MEANS * expected_s)
    start_timer(world, TimerKind.OVERDUE, str(attempt_id), due_s)
    command = commands.SendAttempt(
        attempt_id,
        row.caller_request_id,
        server.address,
        row.message,
        row.deadline_s - now.monotonic_s,
        server.server_id,
        row.is_idempotent,
    )
    send(world, command)


def _log_sent(world: World, row: RequestRow, choice: Candidate, now: Instant) -> None:
    belief = choice.belief
    log_event(
        world,
        "INFO",
        "request_sent",
        request_id=row.caller_request_id,
        server=belief.server_id,
        n_tries=row.n_tries,
        p_failing=round(p_failing(belief, now), 3),
        belief_age_s=round(now.monotonic_s - belief.updated_at_s, 3),
        wait_s=round(choice.wait_s, 3),
        remaining_s=round(row.deadline_s - now.monotonic_s, 3),
        servers_version=view_of(world, Subject.SERVERS).version,
        configuration_version=view_of(world, Subject.CONFIGURATION).version,
    )


def _dispatch(world: World, row: RequestRow, now: Instant) -> None:
    candidates = find_candidates(world, row, now)
    if not candidates:
        detail = f"no backend server of {row.service} can take the request"
        refusal = make_refusal(NoBackendServerError, detail, RETRY_AFTER_S)
        refuse_request(world, row, refusal, now)
        return
    in_time = [
        candidate for candidate in candidates if not is_hopeless(row, candidate, now)
    ]
    if not in_time:
        shortest_s = min(candidate.wait_s for candidate in candidates)
        _refuse_overloaded(world, row, shortest_s, now)
        return
    policy = selection_policies[world.settings.policies.selection]
    choice = policy(world, row, in_time, now)
    if is_not_worth_waiting(row, choice):
        _refuse_overloaded(world, row, choice.wait_s, now)
        return
    _send(world, row, choice, now)


def _refuse_overloaded(
    world: World, row: RequestRow, wait_s: float, now: Instant
) -> None:
    detail = f"{row.service} would answer after {wait_s:.3f} s of waiting"
    refusal = make_refusal(OverloadedError, detail, RETRY_AFTER_S)
    refuse_request(world, row, refusal, now)


@system(Phase.DISPATCH, DIRECT)
def dispatch_requests(world: World, now: Instant) -> None:
    """Send or refuse all queued requests, by priority and then by age."""
    queued = world.requests.select("state", RequestState.QUEUED)
    for row in sorted(queued, key=queue_order):
        _dispatch(world, row, now)
