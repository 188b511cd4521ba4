"""Ends each request with exactly one outcome and replies to its sender."""

from collections.abc import Callable
from typing import NamedTuple

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.errors import (
    AnswerLostError,
    NoBackendServerError,
    RequestRefusedError,
    error_name,
)
from burdockhitch.events import NOT_RUN_FAILURES, AttemptFailure
from burdockhitch.lifecycles.request import REQUEST_LIFE_CYCLE
from burdockhitch.messages import Answer, CancelRequest, ForwardAnswer, Refusal
from burdockhitch.registry import Registry
from burdockhitch.systems.capacity import (
    make_free_slots_report,
    release_owner_slot,
    release_slot,
)
from burdockhitch.systems.expiry import FORWARD_OUTCOMES, schedule_expiry
from burdockhitch.tables.requests import (
    ForwardOutcomeRow,
    RequestRow,
    RequestState,
    UnknownOutcomeRow,
)
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    log_event,
    next_sequence,
    send,
    send_message,
    stop_timer,
)

# Time for which a repeated message is answered with the outcome of its request.
FORWARD_OUTCOME_RETENTION_S = 60.0
UNKNOWN_OUTCOMES_MAX = 1000
REQUEST_TIMERS = (
    TimerKind.DEADLINE,
    TimerKind.REQUEST_CUTOFF,
    TimerKind.QUEUE_TIMEOUT,
    TimerKind.FORWARD_RESEND,
    TimerKind.ADMISSION_HOLD,
)


class Ending(NamedTuple):
    """The outcome of a request.

    Attributes:
        state: Final state.
        answer: Complete answer, if it was answered.
        refusal: Refusal, if it was refused or its outcome is unknown. Both are
            None if it was abandoned.
    """

    state: RequestState
    answer: Answer | None = None
    refusal: Refusal | None = None


EndingHook = Callable[[World, RequestRow, Ending, Instant], None]
ending_hooks: Registry[EndingHook] = Registry("hook at the end of a request")


def advance_request(
    world: World, row: RequestRow, event: str, now: Instant
) -> RequestRow:
    """Apply an event to the life cycle of a request and store the new state.

    Raises:
        TransitionError: If the life cycle has no such transition.
    """
    state = REQUEST_LIFE_CYCLE.next_state(row.state, event)
    row = row._replace(state=state, state_changed_at_s=now.monotonic_s)
    world.requests.replace(row)
    return row


def make_refusal(
    error: type[RequestRefusedError], detail: str, retry_after_s: float = 0.0
) -> Refusal:
    """Return a refusal that names the error by the registered name of its type."""
    return Refusal(error_name(error), detail, retry_after_s)


def answer_request(world: World, row: RequestRow, answer: Answer, now: Instant) -> None:
    """End a request with a complete answer."""
    _end_request(world, row, "answer", now, answer=answer)


def refuse_request(
    world: World, row: RequestRow, refusal: Refusal, now: Instant
) -> None:
    """End a request that was not run.

    If an earlier attempt of it may have run, its outcome is unknown instead, even
    if the last attempt is proven not to have run.
    """
    if row.may_have_run:
        detail = f"an earlier try may have run; the last one: {refusal.detail}"
        end_with_unknown_outcome(world, row, make_refusal(AnswerLostError, detail), now)
        return
    _end_request(world, row, "refuse", now, refusal=refusal)


def end_with_unknown_outcome(
    world: World, row: RequestRow, refusal: Refusal, now: Instant
) -> None:
    """End a request that may or may not have run."""
    _end_request(world, row, "lose", now, refusal=refusal)


def fail_request(
    world: World,
    row: RequestRow,
    failure: AttemptFailure,
    retry_after_s: float,
    now: Instant,
) -> None:
    """End a request whose last attempt failed.

    It is refused if the failure proves that it was not run; otherwise its
    outcome is unknown.
    """
    if failure in NOT_RUN_FAILURES:
        detail = f"the backend server did not take the request: {failure.value}"
        refusal = make_refusal(NoBackendServerError, detail, retry_after_s)
        refuse_request(world, row, refusal, now)
    else:
        detail = f"the backend server did not answer whole: {failure.value}"
        end_with_unknown_outcome(world, row, make_refusal(AnswerLostError, detail), now)


def abandon_request(world: World, row: RequestRow, now: Instant) -> None:
    """End a request that its caller, or the VM that sent it, no longer waits for."""
    _end_request(world, row, "abandon", now)


def _end_request(
    world: World,
    row: RequestRow,
    event: str,
    now: Instant,
    answer: Answer | None = None,
    refusal: Refusal | None = None,
) -> None:
    """Remove a request, cancel its timers and attempt, and report its outcome."""
    state = REQUEST_LIFE_CYCLE.next_state(row.state, event)
    ending = Ending(state, answer, refusal)
    for kind in REQUEST_TIMERS:
        stop_timer(world, kind, row.request_id)
    _cancel_attempt_or_forward(world, row, ending)
    world.requests.remove(row.request_id)
    for name in ending_hooks:
        ending_hooks[name](world, row, ending, now)
    _send_reply(world, row, ending, now)
    _report_outcome(world, row, ending)


def _cancel_attempt_or_forward(world: World, row: RequestRow, ending: Ending) -> None:
    """Cancel the attempt or the forwarded request, and release its slot."""
    if row.attempt_id:
        # An error may have interrupted the start or the end of the attempt.
        world.attempts.discard(row.attempt_id)
        release_slot(world, row.tried[-1])
        send(world, commands.CancelAttempt(row.attempt_id))
    if row.state in (RequestState.FORWARDED, RequestState.AT_HOME):
        release_owner_slot(world, row)
        if ending.answer is None:
            send_message(world, row.owner_vm_id, CancelRequest(row.request_id))


def _send_reply(world: World, row: RequestRow, ending: Ending, now: Instant) -> None:
    if row.origin_vm_id:
        _reply_to_vm(world, row, ending, now)
    elif ending.answer is not None:
        command = commands.AnswerCaller(
            row.connection_id, row.request_id, ending.answer
        )
        send(world, command)
    elif ending.refusal is not None:
        send(
            world,
            commands.RefuseCaller(row.connection_id, row.request_id, ending.refusal),
        )


def record_forward_outcome(
    world: World,
    request_id: str,
    answer: Answer | None,
    refusal: Refusal | None,
    now: Instant,
) -> ForwardOutcomeRow:
    """Record how a request from another VM ended, to answer repeated messages."""
    outcome = ForwardOutcomeRow(
        request_id, answer, refusal, now.monotonic_s + FORWARD_OUTCOME_RETENTION_S
    )
    world.forward_outcomes.put(outcome)
    schedule_expiry(world, FORWARD_OUTCOMES)
    return outcome


def _reply_to_vm(world: World, row: RequestRow, ending: Ending, now: Instant) -> None:
    outcome = record_forward_outcome(
        world, row.origin_request_id, ending.answer, ending.refusal, now
    )
    if ending.state is not RequestState.CALLER_GONE:
        send_forward_answer(world, row.origin_vm_id, row.service, outcome)


def send_forward_answer(
    world: World, vm_id: str, service: str, outcome: ForwardOutcomeRow
) -> None:
    """Send the outcome of a forwarded request to the VM that forwarded it."""
    report = make_free_slots_report(world, service)
    message = ForwardAnswer(outcome.request_id, outcome.answer, outcome.refusal, report)
    send_message(world, vm_id, message)


def _record_unknown_outcome(
    world: World, row: RequestRow, requester: str, detail: str
) -> None:
    """Record an unknown outcome for operators; drop the oldest beyond the limit."""
    sequence = next_sequence(world, "unknown")
    unknown = UnknownOutcomeRow(
        sequence, row.request_id, row.service, row.route_id, requester, detail
    )
    world.unknown_outcomes.insert(unknown)
    if len(world.unknown_outcomes) > UNKNOWN_OUTCOMES_MAX:
        world.unknown_outcomes.remove(sequence - UNKNOWN_OUTCOMES_MAX)


def _report_outcome(world: World, row: RequestRow, ending: Ending) -> None:
    """Count the outcome; log refusals and unknown outcomes of callers' requests."""
    count(world, "requests_ended", "outcome", ending.state)
    refusal = ending.refusal
    if refusal is None or row.origin_vm_id:
        return
    count(world, "refusals", "error", refusal.error)
    route = world.routes.get(row.route_id)
    if ending.state is RequestState.UNKNOWN and not row.is_idempotent:
        requester = route.requester if route else ""
        _record_unknown_outcome(world, row, requester, refusal.detail)
    log_event(
        world,
        "INFO" if ending.state is RequestState.REFUSED else "WARNING",
        "request_refused",
        request_id=row.caller_request_id or row.request_id,
        service=row.service,
        route=row.route_id,
        state=row.state.value,
        tried=row.tried,
        outcome=ending.state.value,
        error=refusal.error,
        detail=refusal.detail,
        rule_line=route.line if route else 0,
        requester=route.requester if route else "",
    )
