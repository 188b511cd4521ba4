"""Requests to backend servers, and classification of their responses."""

from typing import Any

from burdockhitch import commands, events
from burdockhitch.adapters.exchange import Exchange, HttpAnswer, HttpRequest
from burdockhitch.adapters.headers import drop_hop_by_hop, find_header
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.platform import names
from burdockhitch.platform.process import PlatformProcess, senders

STATUS_MISDIRECTED = 421
# Headers of the caller's request that are not forwarded, because this program sets
# or handles them itself.
SET_HERE = frozenset({names.REQUEST_ID, names.DEADLINE, names.TARGET, "host", "expect"})


def make_request(command: commands.SendAttempt, remaining_s: float) -> HttpRequest:
    """Return the HTTP request for a backend server.

    Args:
        command: Attempt with the caller's request.
        remaining_s: Time left until the attempt's deadline.
    """
    request = command.request
    forwarded = [pair for pair in request.headers if pair[0] not in SET_HERE]
    added = [
        ("host", request.host),
        (names.REQUEST_ID, command.request_id),
        (names.DEADLINE, str(max(1, int(remaining_s * 1000)))),
        (names.TARGET, command.server_id),
    ]
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        added.append(("content-length", str(len(request.body))))
    headers = (*added, *forwarded)
    return HttpRequest(
        request.method, request.path, headers, request.body, command.request_id
    )


def judge_answer(answer: HttpAnswer, method: str) -> Answer | AttemptFailure:
    """Return the response if a backend server produced it, else the failure."""
    if answer.status == STATUS_MISDIRECTED:
        return AttemptFailure.MISDIRECTED
    if find_header(answer.headers, names.NOT_RUN):
        return AttemptFailure.SHED
    is_backend_response = (
        find_header(answer.headers, names.SIGNATURE)
        and find_header(answer.headers, names.REQUEST_ID)
        and not find_header(answer.headers, "content-encoding")
    )
    if not is_backend_response:
        return AttemptFailure.BROKEN
    return Answer(answer.status, drop_hop_by_hop(answer.headers), answer.body)


def _post_result(
    process: PlatformProcess,
    command: commands.SendAttempt,
    result: HttpAnswer | AttemptFailure,
) -> None:
    if process.attempts.pop(command.attempt_id, None) is None:
        return
    if isinstance(result, HttpAnswer):
        outcome = judge_answer(result, command.request.method)
    else:
        outcome = result
    if isinstance(outcome, Answer):
        event: Any = events.BackendAnswered(command.attempt_id, outcome)
    else:
        event = events.BackendFailed(command.attempt_id, outcome)
    process.ticker.post(event)


@senders("SendAttempt")
def send_attempt(process: PlatformProcess, command: commands.SendAttempt) -> None:
    """Send a request over an idle or a new connection and post the result."""
    clock = process.world.clock
    deadline_s = clock.now().monotonic_s + command.timeout_s

    def send_request(exchange: Exchange) -> None:
        if command.attempt_id not in process.attempts:
            exchange.abort()
            return
        process.attempts[command.attempt_id] = exchange
        remaining_s = deadline_s - clock.now().monotonic_s
        request = make_request(command, remaining_s)
        exchange.start(request, lambda result: _post_result(process, command, result))

    def post_connect_failure() -> None:
        _post_result(process, command, AttemptFailure.NOT_SENT)

    idle = process.pool.take(command.address)
    process.attempts[command.attempt_id] = None
    if idle is not None:
        send_request(idle)
        return
    process.pool.connect(command.address, send_request, post_connect_failure)


@senders("CancelAttempt")
def cancel_attempt(process: PlatformProcess, command: commands.CancelAttempt) -> None:
    """Cancel an attempt by closing its connection; posts no event."""
    exchange = process.attempts.pop(command.attempt_id, None)
    if exchange is not None:
        exchange.abort()
