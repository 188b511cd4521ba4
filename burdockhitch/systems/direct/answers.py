"""Handles the outcome of attempts: ends each request or retries it."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    AnswerLostError,
    DeadlineTooShortError,
)
from burdockhitch.events import NOT_RUN_FAILURES, AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.systems.direct import server_estimates
from burdockhitch.systems.direct.accounts.rechecks import has_valid_key, recheck_request
from burdockhitch.systems.direct.budget import has_retry_budget, spend_retry_budget
from burdockhitch.systems.direct.evidence.recording import (
    record_given_up_run,
    record_run_time,
)
from burdockhitch.systems.direct.evidence.run_times import mean_run_time_s
from burdockhitch.systems.direct.membership import is_leaving
from burdockhitch.systems.direct.poison_requests import (
    is_refused,
    record_answered_request,
    record_end,
    start_server_check,
)
from burdockhitch.systems.direct.reports import report_observation
from burdockhitch.systems.direct.return_times import RETURN_MIN_S, retry_after_s
from burdockhitch.systems.direct.selection import (
    find_candidates,
    would_miss_deadline,
)
from burdockhitch.systems.endings import (
    abandon_request,
    advance_request,
    answer_request,
    end_with_unknown_outcome,
    fail_request,
    make_refusal,
    refuse_request,
)
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import AttemptRow, RequestRow, RequestState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    log_event,
    pop_events,
    send,
    stop_timer,
)

SERVER_ERROR_STATUSES = frozenset({500, 502, 503, 504})
# Time for which this VM avoids a server that rejected a request of another service.
MISDIRECTED_AVOID_S = 5.0
# An answer that takes this multiple of the mean run time is unusual.
UNANSWERED_FACTOR = 2.0
# Limits all sends of a request, since sends that reached no server don't count
# against the route's limit of tries.
N_SENDS_MAX = 6


def _end_attempt(world: World, attempt_id: int) -> AttemptRow | None:
    """Remove and return an attempt, or return None if it has already ended."""
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        count(world, "answers_dropped", "reason", "late")
        return None
    world.attempts.remove(attempt_id)
    stop_timer(world, TimerKind.OVERDUE, str(attempt_id))
    return attempt


def _detach_attempt(world: World, attempt: AttemptRow) -> RequestRow | None:
    """Clear an ended attempt from its request; return the request, None if it ended."""
    row = world.requests.get(attempt.request_id)
    if row is None:
        return None
    row = row._replace(attempt_id=0)
    world.requests.replace(row)
    return row


def _can_retry(world: World, row: RequestRow, now: Instant) -> bool:
    n_tries_max = max(1, row.n_tries_max)
    if row.n_tries >= n_tries_max or is_refused(world, row.message):
        return False
    if not has_valid_key(world, row, now):
        return False
    if not has_retry_budget(world, row.service, row.priority, now):
        return False
    candidates = find_candidates(world, row, now)
    return any(not would_miss_deadline(row, candidate, now) for candidate in candidates)


def _has_time_for_run(world: World, row: RequestRow, now: Instant) -> bool:
    """Return whether another server would answer in time if it runs as long as usual.

    Only then a run is given up: one that may end in a moment is worth more than one
    that likely ends after the deadline.
    """
    remaining_s = row.deadline_s - now.monotonic_s
    return any(
        candidate.wait_s + candidate.run_s <= remaining_s
        for candidate in find_candidates(world, row, now)
    )


def _requeue(world: World, row: RequestRow, reason: str, now: Instant) -> None:
    log_event(
        world,
        "INFO",
        "request_retried",
        request_id=row.caller_request_id,
        service=row.service,
        tried=row.tried,
        reason=reason,
        elapsed_s=round(now.monotonic_s - row.accepted_at_s, 4),
    )
    advance_request(world, row, "requeue", now)


@system(Phase.ANSWERS, DIRECT)
def handle_answers(world: World, now: Instant) -> None:
    """End or retry each request that a backend server answered completely."""
    for event in pop_events(world, events.BackendAnswered):
        attempt = _end_attempt(world, event.attempt_id)
        if attempt is None:
            continue
        server_estimates.record_answered(world, attempt.server_id)
        is_error = event.answer.status in SERVER_ERROR_STATUSES
        kind = server_estimates.FAILURE if is_error else server_estimates.SUCCESS
        report_observation(world, attempt.server_id, kind, now)
        if not is_error:
            record_run_time(world, attempt, now)
        row = _detach_attempt(world, attempt)
        if row is not None:
            if not is_error:
                record_answered_request(world, row, now)
            _handle_answer(world, row, event.answer, is_error, now)


def _handle_answer(
    world: World, row: RequestRow, answer: Answer, is_error: bool, now: Instant
) -> None:
    if is_error:
        log_event(
            world,
            "INFO",
            "server_error",
            request_id=row.caller_request_id,
            server=row.tried[-1],
            status=answer.status,
            is_idempotent=row.is_idempotent,
        )
    if is_error and row.is_idempotent and _can_retry(world, row, now):
        spend_retry_budget(world, row.service, now)
        row = row._replace(may_have_run=True)
        _requeue(world, row, f"status {answer.status}", now)
        return
    log_event(
        world,
        "INFO",
        "request_answered",
        request_id=row.caller_request_id,
        server=row.tried[-1],
        status=answer.status,
        elapsed_s=round(now.monotonic_s - row.accepted_at_s, 4),
    )
    answer_request(world, row, answer, now)


def _record_failure(
    world: World, attempt: AttemptRow, failure: AttemptFailure, now: Instant
) -> None:
    """Avoid the server for a while, or count the failure as evidence against it."""
    if failure in (AttemptFailure.SHED, AttemptFailure.MISDIRECTED):
        server_estimates.record_answered(world, attempt.server_id)
    if failure is AttemptFailure.SHED:
        server_estimates.avoid_server(
            world, attempt.server_id, server_estimates.SHED_AVOID_S, now
        )
    elif failure is AttemptFailure.MISDIRECTED:
        server_estimates.avoid_server(
            world, attempt.server_id, MISDIRECTED_AVOID_S, now
        )
    elif failure is AttemptFailure.NOT_SENT:
        server_estimates.record_unreachable(world, attempt.server_id, now)
    else:
        report_observation(world, attempt.server_id, server_estimates.FAILURE, now)


@system(Phase.ANSWERS, DIRECT)
def handle_attempt_failures(world: World, now: Instant) -> None:
    """End or retry each request whose attempt got no complete answer."""
    for event in pop_events(world, events.BackendFailed):
        attempt = _end_attempt(world, event.attempt_id)
        if attempt is not None:
            _fail_attempt(world, attempt, event.failure, now)


def _fail_attempt(
    world: World, attempt: AttemptRow, failure: AttemptFailure, now: Instant
) -> None:
    """Record the failure of an ended attempt, and end or retry its request."""
    count(world, "attempts_failed", "failure", failure)
    _record_failure(world, attempt, failure, now)
    row = _detach_attempt(world, attempt)
    if row is None:
        return
    is_checked = failure is AttemptFailure.BROKEN and start_server_check(
        world, attempt, row
    )
    if is_checked and row.is_idempotent and row.connection_id:
        # Its retry waits for the check, so that it doesn't end another server.
        world.requests.replace(row._replace(may_have_run=True))
    else:
        _handle_failure(world, row, failure, now)


@system(Phase.ANSWERS, DIRECT)
def handle_server_checks(world: World, now: Instant) -> None:
    """Record which servers ended under a request, and end or retry the request."""
    for event in pop_events(world, events.ServerChecked):
        check = event.check
        if event.has_ended:
            server_estimates.record_unreachable(world, check.server_id, now)
            record_end(world, check, now)
        row = world.requests.get(check.request_id)
        is_waiting = row is not None and row.state is RequestState.DISPATCHED
        if row is not None and is_waiting and not row.attempt_id:
            _handle_failure(world, row, AttemptFailure.BROKEN, now)


def _resend_unsent(world: World, row: RequestRow, now: Instant) -> bool:
    """Requeue a request that reached no server, without using the retry budget.

    Returns:
        Whether it was requeued: False at the limit of sends or after the deadline.
    """
    remaining_s = row.deadline_s - now.monotonic_s
    if len(row.tried) >= N_SENDS_MAX or remaining_s <= 0:
        return False
    row = row._replace(n_tries=row.n_tries - 1)
    _requeue(world, row, AttemptFailure.NOT_SENT.value, now)
    return True


def _handle_failure(
    world: World, row: RequestRow, failure: AttemptFailure, now: Instant
) -> None:
    is_not_run = failure in NOT_RUN_FAILURES
    if is_not_run and not row.connection_id:
        # Its caller left while the outcome was open, and nobody waits for a retry.
        abandon_request(world, row, now)
        return
    if is_not_run:
        checked = recheck_request(world, row, now)
        if checked is None:
            return
        row = checked
    if failure is AttemptFailure.NOT_SENT and _resend_unsent(world, row, now):
        return
    if (is_not_run or row.is_idempotent) and _can_retry(world, row, now):
        spend_retry_budget(world, row.service, now)
        row = row._replace(may_have_run=row.may_have_run or not is_not_run)
        _requeue(world, row, failure.value, now)
    else:
        wait_s = mean_run_time_s(world, row.service)
        fail_request(world, row, failure, retry_after_s(world, row, wait_s, now), now)


def _is_unexplained(world: World, attempt: AttemptRow, now: Instant) -> bool:
    """Return whether neither a queue nor a short deadline explains a missing answer."""
    run_s = mean_run_time_s(world, attempt.service)
    elapsed_s = now.monotonic_s - attempt.started_at_s
    return attempt.wait_s < run_s and elapsed_s >= UNANSWERED_FACTOR * run_s


def _record_overdue(
    world: World, attempt: AttemptRow, is_first: bool, now: Instant
) -> None:
    """Count a missing answer as evidence, on all VMs unless only this one misses it.

    Args:
        world: Tables of this VM.
        attempt: Attempt without an answer.
        is_first: Whether it has not been recorded before.
        now: Current time.
    """
    if _is_unexplained(world, attempt, now) and server_estimates.record_unanswered(
        world, attempt.server_id, is_first, now
    ):
        log_event(world, "WARNING", "answers_lost_here", server=attempt.server_id)
        return
    report_observation(world, attempt.server_id, server_estimates.OVERDUE, now)


@timer_handlers(TimerKind.OVERDUE)
def handle_overdue_attempt(world: World, attempt_id: str, now: Instant) -> None:
    """Report an overdue answer, and retry an idempotent request elsewhere.

    An attempt that is still connecting ends as not sent: no answer can be overdue. A
    VM that is leaving doesn't retry a sent attempt but keeps waiting: the caller could
    not tell an abandoned wait from a request that the shutdown interrupted.
    """
    attempt = world.attempts.get(int(attempt_id))
    if attempt is None:
        return
    if attempt.is_connecting:
        world.attempts.remove(attempt.attempt_id)
        send(world, commands.CancelAttempt(attempt.attempt_id))
        _fail_attempt(world, attempt, AttemptFailure.NOT_SENT, now)
        return
    _record_overdue(world, attempt, True, now)
    row = world.requests.get(attempt.request_id)
    if row is None or not row.is_idempotent or is_leaving(world):
        return
    if not _can_retry(world, row, now) or not _has_time_for_run(world, row, now):
        return
    record_given_up_run(world, attempt, now)
    world.attempts.remove(attempt.attempt_id)
    send(world, commands.CancelAttempt(attempt.attempt_id))
    spend_retry_budget(world, row.service, now)
    row = row._replace(attempt_id=0, may_have_run=True)
    _requeue(world, row, "overdue", now)


@timer_handlers(TimerKind.REQUEST_CUTOFF)
def end_request_at_deadline(world: World, request_id: str, now: Instant) -> None:
    """End a request at its deadline; its outcome is unknown if an attempt was sent."""
    row = world.requests.get(request_id)
    if row is None:
        return
    if not row.attempt_id:
        detail = f"the deadline passed while the request was {row.state.value}"
        refusal = make_refusal(DeadlineTooShortError, detail, RETURN_MIN_S)
        refuse_request(world, row, refusal, now)
        return
    attempt = world.attempts.get(row.attempt_id)
    if attempt is None:
        row = row._replace(attempt_id=0)
        detail = "the deadline passed after an error interrupted the request"
        end_with_unknown_outcome(world, row, make_refusal(AnswerLostError, detail), now)
        return
    is_first = (TimerKind.OVERDUE, str(attempt.attempt_id)) in world.timers
    stop_timer(world, TimerKind.OVERDUE, str(attempt.attempt_id))
    if attempt.is_connecting:
        server_estimates.record_unreachable(world, attempt.server_id, now)
        detail = "the deadline passed before the backend server was connected"
        refusal = make_refusal(DeadlineTooShortError, detail, RETURN_MIN_S)
        refuse_request(world, row, refusal, now)
        return
    _record_overdue(world, attempt, is_first, now)
    detail = "the deadline passed before the backend server answered"
    end_with_unknown_outcome(world, row, make_refusal(AnswerLostError, detail), now)
