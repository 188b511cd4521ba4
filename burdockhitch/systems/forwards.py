"""Accepts, answers, repeats and cancels requests that one VM forwards to another.

A request is forwarded to an owner of backend servers of its service, or to the home
of its idempotency key: the VM that keeps the record of the key.
"""

from burdockhitch.clock import Instant
from burdockhitch.errors import (
    AnswerLostError,
    DeadlineTooShortError,
    HomeGoneError,
    NotReadyError,
    RequestRefusedError,
)
from burdockhitch.messages import CancelRequest, ForwardAnswer, ForwardRequest
from burdockhitch.problems import is_not_run
from burdockhitch.systems.capacity import record_free_slots_report, release_owner_slot
from burdockhitch.systems.endings import (
    abandon_request,
    advance_request,
    answer_request,
    end_with_unknown_outcome,
    make_refusal,
    record_forward_outcome,
    refuse_request,
    send_forward_answer,
)
from burdockhitch.systems.expiry import is_at_or_below_watermark
from burdockhitch.systems.retries import may_retry, spend_retry_budget
from burdockhitch.systems.routing import RESEND_PERIOD_S, send_forward
from burdockhitch.systems.timing import message_handlers, timer_handlers
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, count, send_message, start_timer

# Subtracted from the remaining time that the forwarding VM stated.
DEADLINE_MARGIN_S = 0.02
HOME_SUFFIX = "@home"
# States in which a request waits for the answer of the VM it was forwarded to.
AWAITING_PEER_STATES = (RequestState.FORWARDED, RequestState.AT_HOME)


def _local_request_id(message: ForwardRequest) -> str:
    """Return the ID of a forwarded request on this VM.

    The suffix marks a request that was forwarded to the home of its key, not to an
    owner.
    """
    suffix = HOME_SUFFIX if message.is_for_home else ""
    return message.request_id + suffix


def _refuse_forward(
    world: World,
    sender: str,
    message: ForwardRequest,
    error: type[RequestRefusedError],
    detail: str,
    now: Instant,
) -> None:
    refusal = make_refusal(error, detail)
    outcome = record_forward_outcome(world, message.request_id, None, refusal, now)
    send_forward_answer(world, sender, message.service, outcome)


@message_handlers("forward_request")
def handle_forward_request(
    world: World, sender: str, message: ForwardRequest, now: Instant
) -> None:
    """Accept a request from another VM; a repeated message never runs it again."""
    if message.target_incarnation != world.local.incarnation:
        count(world, "messages_dropped", "reason", "incarnation")
        return
    outcome = world.forward_outcomes.get(message.request_id)
    if outcome is not None:
        count(world, "forwards_repeated")
        send_forward_answer(world, sender, message.service, outcome)
        return
    if is_at_or_below_watermark(world, message.request_id):
        count(world, "messages_dropped", "reason", "forgotten")
        return
    if _local_request_id(message) in world.requests:
        count(world, "forwards_repeated")
        return
    _accept_forward(world, sender, message, now)


def _accept_forward(
    world: World, sender: str, message: ForwardRequest, now: Instant
) -> None:
    route = world.routes.get(message.route_id)
    if route is None:
        detail = f"{world.local.vm_id} has no route {message.route_id}"
        _refuse_forward(world, sender, message, NotReadyError, detail, now)
        return
    remaining_s = message.remaining_s - DEADLINE_MARGIN_S
    if remaining_s <= 0:
        detail = "no time is left"
        _refuse_forward(world, sender, message, DeadlineTooShortError, detail, now)
        return
    state = RequestState.ACCEPTED if message.is_for_home else RequestState.ADMITTED
    row = RequestRow(
        request_id=_local_request_id(message),
        connection_id=0,
        origin_vm_id=sender,
        message=message.request,
        service=message.service,
        route_id=message.route_id,
        is_idempotent=route.is_idempotent,
        once=route.once if message.is_for_home else "none",
        key=message.key,
        priority=route.priority,
        state=state,
        accepted_at_s=now.monotonic_s,
        deadline_s=now.monotonic_s + remaining_s,
        state_changed_at_s=now.monotonic_s,
        origin_request_id=message.request_id,
        is_forwardable=message.is_for_home,
    )
    world.requests.insert(row)
    start_timer(world, TimerKind.DEADLINE, row.request_id, row.deadline_s)


def _get_waiting_request(
    world: World, sender: str, request_id: str
) -> RequestRow | None:
    """Return the request that waits for this sender's answer, None if none does."""
    row = world.requests.get(request_id)
    if (
        row is None
        or row.state not in AWAITING_PEER_STATES
        or row.owner_vm_id != sender
    ):
        count(world, "answers_dropped", "reason", "late")
        return None
    return row


@message_handlers("forward_answer")
def handle_forward_answer(
    world: World, sender: str, message: ForwardAnswer, now: Instant
) -> None:
    """End a forwarded request with the outcome in the answer, or reroute it."""
    row = _get_waiting_request(world, sender, message.request_id)
    if row is not None:
        _apply_outcome(world, row, message, now)
    record_free_slots_report(world, sender, message.load)


def _apply_outcome(
    world: World, row: RequestRow, message: ForwardAnswer, now: Instant
) -> None:
    refusal = message.refusal
    if message.answer is not None:
        answer_request(world, row, message.answer, now)
        return
    if refusal is None:
        count(world, "messages_dropped", "reason", "empty")
        return
    not_run = is_not_run(refusal.error)
    is_forwarded = row.state is RequestState.FORWARDED
    can_reroute = is_forwarded and (not_run or row.is_idempotent)
    if can_reroute and may_retry(world, row, now):
        reroute_forward(world, row, not_run, now)
    elif not_run:
        refuse_request(world, row, refusal, now)
    else:
        end_with_unknown_outcome(world, row, refusal, now)


def reroute_forward(world: World, row: RequestRow, not_run: bool, now: Instant) -> None:
    """Route a forwarded request again, to another owner.

    Args:
        world: Tables of this VM.
        row: The request.
        not_run: Whether the owner reported that it did not run the request.
        now: Time of the tick.
    """
    spend_retry_budget(world, row)
    release_owner_slot(world, row)
    may_have_run = row.may_have_run or not not_run
    row = row._replace(owner_vm_id="", may_have_run=may_have_run)
    advance_request(world, row, "retry", now)


@message_handlers("cancel_request")
def handle_cancel_request(
    world: World, sender: str, message: CancelRequest, now: Instant
) -> None:
    """End a request that the VM which forwarded it has cancelled."""
    for request_id in (message.request_id, message.request_id + HOME_SUFFIX):
        row = world.requests.get(request_id)
        if row is not None and row.origin_vm_id == sender:
            abandon_request(world, row, now)


@timer_handlers(TimerKind.FORWARD_RESEND)
def resend_or_reroute_forward(world: World, request_id: str, now: Instant) -> None:
    """Reroute an unanswered request to another owner, or repeat its message.

    Only an idempotent request that may be retried is rerouted.
    """
    row = world.requests.get(request_id)
    if row is None or row.state is not RequestState.FORWARDED:
        return
    if row.is_idempotent and may_retry(world, row, now):
        send_message(world, row.owner_vm_id, CancelRequest(row.request_id))
        reroute_forward(world, row, False, now)
        return
    count(world, "forwards_resent")
    send_forward(world, row, now)
    start_timer(
        world, TimerKind.FORWARD_RESEND, request_id, now.monotonic_s + RESEND_PERIOD_S
    )


def end_forwards_to_incarnation(
    world: World, vm_id: str, incarnation: int, now: Instant
) -> None:
    """End or reroute requests forwarded to a VM incarnation that died or restarted."""
    for row in world.requests.select("owner_vm_id", vm_id):
        if (
            row.owner_incarnation != incarnation
            or row.state not in AWAITING_PEER_STATES
        ):
            continue
        is_forwarded = row.state is RequestState.FORWARDED
        if is_forwarded and row.is_idempotent and may_retry(world, row, now):
            reroute_forward(world, row, False, now)
            continue
        error = AnswerLostError if is_forwarded else HomeGoneError
        detail = f"VM {vm_id} died while it had the request"
        end_with_unknown_outcome(world, row, make_refusal(error, detail), now)
