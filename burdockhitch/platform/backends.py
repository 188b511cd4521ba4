"""Requests to backend servers, and classification of their answers."""

from typing import Any

from burdockhitch import commands, events
from burdockhitch.adapters.exchange import HttpAnswer, HttpConnection, HttpRequest
from burdockhitch.adapters.headers import drop_hop_by_hop, find_header
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.platform import names
from burdockhitch.platform.process import PlatformProcess, command_handlers
from burdockhitch.platform.statements import decode_statement
from burdockhitch.systems.direct.connecting import record_connected, record_connecting
from burdockhitch.systems.direct.sending_permission import may_still_send

STATUS_MISDIRECTED = 421
# Headers of the caller's request that are not forwarded, because this program sets
# or handles them itself.
OVERWRITTEN_HEADERS = frozenset(
    {names.REQUEST_ID, names.DEADLINE_MS, names.TARGET_INSTANCE, "host", "expect"}
)


def make_request(command: commands.SendAttempt, remaining_s: float) -> HttpRequest:
    """Return the HTTP request for a backend server.

    Args:
        command: Attempt with the caller's request.
        remaining_s: Time left until the attempt's deadline.
    """
    request = command.request
    forwarded = [pair for pair in request.headers if pair[0] not in OVERWRITTEN_HEADERS]
    added = [
        ("host", request.host),
        (names.REQUEST_ID, command.request_id),
        (names.DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
        (names.TARGET_INSTANCE, command.server_id),
    ]
    if request.account:
        # Names are text of the operators; header values are bytes.
        added.append((names.ACCOUNT, request.account.encode().decode("latin-1")))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        added.append(("content-length", str(len(request.body))))
    headers = (*added, *forwarded)
    return HttpRequest(
        request.method, request.path, headers, request.body, command.request_id
    )


def classify_answer(answer: HttpAnswer, method: str) -> Answer | AttemptFailure:
    """Return the answer if a backend server produced it unencoded, else the failure.

    A refusal proves that the request hasn't run only if it certainly belongs to it: a
    faulty server may repeat an earlier refusal on a kept connection.
    """
    is_misdirected = answer.status == STATUS_MISDIRECTED
    if is_misdirected or find_header(answer.headers, names.NOT_EXECUTED):
        if not answer.is_identified:
            return AttemptFailure.BROKEN
        return AttemptFailure.MISDIRECTED if is_misdirected else AttemptFailure.SHED
    is_backend_answer = (
        find_header(answer.headers, names.BACKEND_SIGNATURE)
        and find_header(answer.headers, names.REQUEST_ID)
        and not find_header(answer.headers, "content-encoding")
    )
    if not is_backend_answer:
        return AttemptFailure.BROKEN
    return Answer(answer.status, drop_hop_by_hop(answer.headers), answer.body)


def _post_statement(
    process: PlatformProcess, command: commands.SendAttempt, answer: HttpAnswer
) -> None:
    """Post what the server states about itself, if the answer is certainly its own."""
    if not answer.is_identified or answer.status == STATUS_MISDIRECTED:
        return
    statement = decode_statement(answer, command.server_id)
    has_run = isinstance(classify_answer(answer, command.request.method), Answer)
    is_limit_malformed = statement.has_limit_header and statement.limit_per_s is None
    process.ticker.post(
        events.ServerStated(
            command.attempt_id,
            command.server_id,
            statement.limit_per_s,
            # A malformed limit doesn't show that there is none.
            has_run and not is_limit_malformed,
            statement.is_leaving,
            statement.rest_s,
        )
    )


def _post_result(
    process: PlatformProcess,
    command: commands.SendAttempt,
    result: HttpAnswer | AttemptFailure,
) -> None:
    if command.attempt_id not in process.attempts:
        return
    del process.attempts[command.attempt_id]
    if isinstance(result, HttpAnswer):
        _post_statement(process, command, result)
        outcome = classify_answer(result, command.request.method)
    else:
        outcome = result
    if isinstance(outcome, Answer):
        event: Any = events.BackendAnswered(command.attempt_id, outcome)
    else:
        event = events.BackendFailed(command.attempt_id, outcome)
    process.ticker.post(event)


@command_handlers("SendAttempt")
def send_attempt(process: PlatformProcess, command: commands.SendAttempt) -> None:
    """Send a request over an idle or a new connection and post the result."""
    clock = process.world.clock
    deadline_s = clock.now().monotonic_s + command.timeout_s

    def send_request(connection: HttpConnection) -> None:
        if command.attempt_id not in process.attempts:
            connection.abort()
            return
        now = clock.now()
        remaining_s = deadline_s - now.monotonic_s
        if remaining_s <= 0 or not may_still_send(
            process.world, command.attempt_id, now
        ):
            connection.abort()
            post_not_sent()
            return
        process.attempts[command.attempt_id] = connection
        record_connected(process.world, command.attempt_id)
        request = make_request(command, remaining_s)
        connection.send_request(
            request, lambda result: _post_result(process, command, result)
        )

    def post_not_sent(_is_refused: bool = False) -> None:
        _post_result(process, command, AttemptFailure.NOT_SENT)

    idle_connection = process.pool.acquire(command.address)
    process.attempts[command.attempt_id] = None
    if idle_connection is not None:
        send_request(idle_connection)
        return
    record_connecting(process.world, command.attempt_id)
    process.pool.connect(
        command.address, send_request, post_not_sent, command.connect_timeout_s
    )


@command_handlers("CheckServer")
def check_server(process: PlatformProcess, command: commands.CheckServer) -> None:
    """Open a connection to a server, and post whether nothing listens there."""

    def post_result(has_ended: bool) -> None:
        process.ticker.post(events.ServerChecked(command, has_ended))

    process.pool.check(command.address, command.timeout_s, post_result)


@command_handlers("CancelAttempt")
def cancel_attempt(process: PlatformProcess, command: commands.CancelAttempt) -> None:
    """Cancel an attempt by closing its connection, and post no event."""
    connection = process.attempts.pop(command.attempt_id, None)
    if connection is not None:
        connection.abort()
