"""Handles answers of backend servers, failed attempts and passed deadlines.

An answer or a failed attempt ends the request or retries it; a deadline ends it.
"""

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    AnswerLostError,
    DeadlineTooShortError,
)
from burdockhitch.events import NOT_RUN_FAILURES, AttemptFailure
from burdockhitch.messages import Answer, Refusal
from burdockhitch.systems.capacity import release_slot
from burdockhitch.systems.endings import (
    advance_request,
    answer_request,
    end_with_unknown_outcome,
    fail_request,
    make_refusal,
    refuse_request,
)
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.repetition import (
    is_repetition,
    record_repeatable_request,
    stop_repetition_timeout,
)
from burdockhitch.systems.retries import (
    credit_retry_budget,
    may_retry,
    spend_retry_budget,
)
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import AttemptRow, RequestRow, RequestState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, count, pop_events, post_event

SERVER_ERROR_STATUSES = frozenset({500, 502, 504})
# Retry delay that refusals suggest.
RETRY_AFTER_S = 1.0


def _report_attempt(
    world: World,
    attempt: AttemptRow,
    is_error: bool,
    now: Instant,
    is_unreachable: bool = False,
) -> None:
    """Post the result and latency of an attempt for the health systems."""
    latency_s = now.monotonic_s - attempt.started_at_s
    event = events.AttemptMeasured(
        attempt.server_id, is_error, latency_s, is_unreachable
    )
    post_event(world, event)


def _remove_attempt(world: World, attempt_id: int) -> AttemptRow | None:
    """Remove an ended attempt and release its slot; None if it is no longer there."""
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        count(world, "answers_dropped", "reason", "late")
        return None
    world.attempts.remove(attempt_id)
    release_slot(world, attempt.server_id)
    return attempt


def _detach_request(world: World, attempt: AttemptRow) -> RequestRow | None:
    """Clear an ended attempt from its request, and return the request.

    Returns None for a repetition, which judges a server and belongs to no request.
    """
    if is_repetition(attempt):
        stop_repetition_timeout(world, attempt)
        return None
    row = world.requests.fetch(attempt.request_id)._replace(attempt_id=0)
    world.requests.replace(row)
    return row


def _retry_request(world: World, row: RequestRow, not_run: bool, now: Instant) -> None:
    """Queue a request for another server of this VM, or route it again.

    Args:
        world: Tables of this VM.
        row: The request, without an attempt.
        not_run: Whether the failure proves that the server did not run it.
        now: Time of the tick.
    """
    spend_retry_budget(world, row)
    row = row._replace(may_have_run=row.may_have_run or not not_run)
    has_untried_server = any(
        usage.server_id not in row.tried
        for usage in world.slot_usages.select("service", row.service)
    )
    event = "requeue" if has_untried_server or not row.is_forwardable else "retry"
    advance_request(world, row, event, now)


def _can_retry(world: World, row: RequestRow, now: Instant) -> bool:
    """Return whether a retry is allowed and another server or VM may run it."""
    if not may_retry(world, row, now):
        return False
    usages = world.slot_usages.select("service", row.service)
    has_untried_server = any(usage.server_id not in row.tried for usage in usages)
    return has_untried_server or row.is_forwardable


@system(Phase.ANSWERS)
def handle_answers(world: World, now: Instant) -> None:
    """End each attempt that got a complete answer, and end or retry its request."""
    for event in pop_events(world, events.BackendAnswered):
        attempt = _remove_attempt(world, event.attempt_id)
        if attempt is None:
            continue
        is_error = event.answer.status in SERVER_ERROR_STATUSES
        _report_attempt(world, attempt, is_error, now)
        row = _detach_request(world, attempt)
        if row is not None:
            _handle_answer(world, row, event.answer, is_error, now)


def _handle_answer(
    world: World, row: RequestRow, answer: Answer, is_error: bool, now: Instant
) -> None:
    if is_error and row.is_idempotent and _can_retry(world, row, now):
        _retry_request(world, row, False, now)
        return
    if not is_error:
        credit_retry_budget(world, row.service)
        record_repeatable_request(world, row, answer)
    answer_request(world, row, answer, now)


@system(Phase.ANSWERS)
def handle_attempt_failures(world: World, now: Instant) -> None:
    """End each attempt that failed, and end or retry its request."""
    for event in pop_events(world, events.BackendFailed):
        attempt = _remove_attempt(world, event.attempt_id)
        if attempt is None:
            continue
        count(world, "attempts_failed", "failure", event.failure)
        if event.failure is not AttemptFailure.SHED:
            is_unreachable = event.failure is AttemptFailure.NOT_SENT
            _report_attempt(world, attempt, True, now, is_unreachable)
        row = _detach_request(world, attempt)
        if row is not None:
            _handle_failure(world, row, event.failure, now)


def _handle_failure(
    world: World, row: RequestRow, failure: AttemptFailure, now: Instant
) -> None:
    not_run = failure in NOT_RUN_FAILURES
    if (not_run or row.is_idempotent) and _can_retry(world, row, now):
        _retry_request(world, row, not_run, now)
    else:
        fail_request(world, row, failure, RETRY_AFTER_S, now)


def _make_deadline_refusal(row: RequestRow) -> Refusal:
    detail = f"the deadline passed while the request was {row.state.value}"
    return make_refusal(DeadlineTooShortError, detail, RETRY_AFTER_S)


@timer_handlers(TimerKind.DEADLINE)
def end_request_at_deadline(world: World, request_id: str, now: Instant) -> None:
    """End a request at its deadline.

    Its outcome is unknown if it was sent to a backend server or to another VM;
    otherwise it is refused.
    """
    row = world.requests.get(request_id)
    if row is None:
        return
    if row.attempt_id:
        attempt = world.attempts.fetch(row.attempt_id)
        _report_attempt(world, attempt, True, now)
    is_sent = row.state in (
        RequestState.DISPATCHED,
        RequestState.FORWARDED,
        RequestState.AT_HOME,
    )
    if is_sent:
        detail = f"the deadline passed while the request was {row.state.value}"
        end_with_unknown_outcome(world, row, make_refusal(AnswerLostError, detail), now)
    else:
        refuse_request(world, row, _make_deadline_refusal(row), now)
