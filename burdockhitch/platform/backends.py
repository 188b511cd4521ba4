"""Requests to backend servers, and what their answers prove."""

from typing import Any

from burdockhitch import commands, events
from burdockhitch.adapters.exchange import Exchange, HttpAnswer, HttpRequest
from burdockhitch.adapters.headers import drop_hop_by_hop, find_header
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.platform import names
from burdockhitch.platform.process import PlatformProcess, senders

STATUS_MISDIRECTED = 421
# Headers of the caller that this program answers or sets itself.
SET_HERE = frozenset({names.REQUEST_ID, names.DEADLINE, names.TARGET, "host", "expect"})


def make_request(command: commands.SendAttempt, remaining_s: float) -> HttpRequest:
    """Return a request as it goes to a backend server.

    Args:
        command: What to send.
        remaining_s: Time that is left at this moment.
    """
    request = command.request
    passed = [pair for pair in request.headers if pair[0] not in SET_HERE]
    own = [
        ("host", request.host),
        (names.REQUEST_ID, command.request_id),
        (names.DEADLINE, str(max(1, int(remaining_s * 1000)))),
        (names.TARGET, command.server_id),
    ]
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        own.append(("content-length", str(len(request.body))))
    headers = (*own, *passed)
    return HttpRequest(
        request.method, request.path, headers, request.body, command.request_id
    )


def judge_answer(answer: HttpAnswer, method: str) -> Answer | AttemptFailure:
    """Return the answer if it is the server's own, else what it proves."""
    if answer.status == STATUS_MISDIRECTED:
        return AttemptFailure.MISDIRECTED
    if find_header(answer.headers, names.NOT_RUN):
        return AttemptFailure.SHED
    is_ours = (
        find_header(answer.headers, names.SIGNATURE)
        and find_header(answer.headers, names.REQUEST_ID)
        and not find_header(answer.headers, "content-encoding")
    )
    if not is_ours:
        return AttemptFailure.BROKEN
    return Answer(answer.status, drop_hop_by_hop(answer.headers), answer.body)


def _post_end(
    process: PlatformProcess,
    command: commands.SendAttempt,
    end: HttpAnswer | AttemptFailure,
) -> None:
    if process.attempts.pop(command.attempt_id, None) is None:
        return
    if isinstance(end, HttpAnswer):
        judged = judge_answer(end, command.request.method)
    else:
        judged = end
    if isinstance(judged, Answer):
        event: Any = events.BackendAnswered(command.attempt_id, judged)
    else:
        event = events.BackendFailed(command.attempt_id, judged)
    process.ticker.post(event)


@senders("SendAttempt")
def send_attempt(process: PlatformProcess, command: commands.SendAttempt) -> None:
    """Send a request over a kept or a new connection."""
    clock = process.world.clock
    deadline_s = clock.now().monotonic_s + command.timeout_s

    def start(exchange: Exchange) -> None:
        if command.attempt_id not in process.attempts:
            exchange.abort()
            return
        process.attempts[command.attempt_id] = exchange
        remaining_s = deadline_s - clock.now().monotonic_s
        request = make_request(command, remaining_s)
        exchange.start(request, lambda end: _post_end(process, command, end))

    def fail() -> None:
        _post_end(process, command, AttemptFailure.NOT_SENT)

    kept = process.pool.take(command.address)
    process.attempts[command.attempt_id] = None
    if kept is not None:
        start(kept)
        return
    process.pool.connect(command.address, start, fail)


@senders("CancelAttempt")
def cancel_attempt(process: PlatformProcess, command: commands.CancelAttempt) -> None:
    """Close the connection of an attempt nobody waits for."""
    exchange = process.attempts.pop(command.attempt_id, None)
    if exchange is not None:
        exchange.abort()
