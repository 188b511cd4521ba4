"""HTTP client for backend servers.

Callers' requests use Twisted's agent directly instead of ``treq``: ``treq`` keeps
cookies between requests and decodes bodies, so a caller could get data that belongs
to another answer.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, UserError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from burdockhitch import commands, events, log
from burdockhitch.adapters import headers
from burdockhitch.adapters.answer_limits import OpenAnswers
from burdockhitch.adapters.checked_connections import CheckedFactory
from burdockhitch.adapters.process import Process, command_handlers
from burdockhitch.errors import BurdockhitchError
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.problems import OUTCOME_NOT_RUN

HEALTH_PATH = "/health"
# Together with the outcome header ``not-run``, it proves that the backend server
# rejected the request without executing it.
STATUS_SHED = 503
STATUS_OK = 200


class AnswerTruncatedError(BurdockhitchError):
    """The connection closed before the answer was complete."""


class AnswerTooLargeError(BurdockhitchError):
    """The answer body, or all bodies in progress together, exceed a size limit."""


@implementer(IBodyProducer)
class BytesProducer:
    """Body producer for a request body held in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the complete body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is written in one call."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is written in one call."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is written in one call."""


class BodyCollector(Protocol):
    """Collects an answer body; fails if the server did not mark its end.

    Args:
        open_answers: Limits, and the bodies in progress.
        address: ``ip:port`` of the server, for the log.
        finished: Fires with the complete body, or fails.
    """

    def __init__(
        self, open_answers: OpenAnswers, address: str, finished: Deferred[bytes]
    ) -> None:
        self._open_answers = open_answers
        self._address = address
        self._finished = finished
        self._body = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the body; fail and abort if the body exceeds a limit."""
        if self._finished.called:
            return
        self._body += data
        if len(self._body) > self._open_answers.limits.body_max_bytes:
            self.reject("body too large")
        else:
            self._open_answers.resize(self, len(self._body))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Pass on the body if the server marked its end, else fail."""
        if self._finished.called:
            return
        body = bytes(self._body)
        self._release_memory()
        if reason.check(ResponseDone):
            self._finished.callback(body)
        else:
            self._finished.errback(Failure(AnswerTruncatedError()))

    def reject(self, detail: str) -> None:
        """Give the body up because of a limit."""
        fields = {"address": self._address, "detail": detail}
        log.write_event("WARNING", "answer_rejected", fields)
        if not self._finished.called:
            self._finished.errback(Failure(AnswerTooLargeError()))
        self.abort()

    def abort(self) -> None:
        """Close the connection, so that it is not reused."""
        self._release_memory()
        transport: Any = self.transport
        if transport is not None:
            # What Twisted gives to readers of a body has no ``abortConnection``.
            transport.stopProducing()

    def _release_memory(self) -> None:
        self._body = bytearray()
        self._open_answers.release(self)


@implementer(IStreamClientEndpoint)
class CheckedEndpoint:
    """Endpoint whose connections check the head of an answer.

    Args:
        endpoint: Endpoint that connects.
    """

    def __init__(self, endpoint: TCP4ClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(self, protocolFactory: Any) -> Deferred[Any]:  # noqa: N803
        """Connect, and return the protocol that the factory builds."""
        connected: Deferred[Any] = self._endpoint.connect(
            CheckedFactory(protocolFactory)
        )
        return connected.addCallback(lambda checked: checked.wrappedProtocol)


@implementer(IAgentEndpointFactory)
class IpEndpointFactory:
    """Endpoint factory for numeric IP addresses, without name resolution.

    Args:
        reactor: Twisted reactor.
        connect_timeout_s: Limit for establishing a connection.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> CheckedEndpoint:  # noqa: N802
        """Return the TCP endpoint of a URI with a numeric host."""
        host = uri.host.decode("ascii")
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=self._connect_timeout_s
        )
        return CheckedEndpoint(endpoint)


def make_agent(reactor: Any, connect_timeout_s: float) -> Agent:
    """Return an agent that connects to IP addresses and never resends a request.

    Each request has a connection of its own: answers bear no identity here, so a late
    copy of an earlier one on a kept connection would pass for the answer.
    """
    pool = HTTPConnectionPool(reactor, persistent=False)
    pool.retryAutomatically = False
    endpoints = IpEndpointFactory(reactor, connect_timeout_s)
    return Agent.usingEndpointFactory(reactor, endpoints, pool=pool)


def classify_failure(failure: Failure) -> AttemptFailure:
    """Return whether the request was not sent, timed out, or failed on the way."""
    if failure.check(ConnectError, UserError, RequestNotSent):
        return AttemptFailure.NOT_SENT
    if failure.check(CancelledError):
        return AttemptFailure.TIMED_OUT
    return AttemptFailure.BROKEN


def _request_headers(command: commands.SendAttempt) -> Headers:
    result = Headers()
    for name, value in command.request.headers:
        result.addRawHeader(name, value.encode("latin-1"))
    result.setRawHeaders(headers.REQUEST_ID, [command.request_id])
    result.setRawHeaders(headers.REQUEST_TIMEOUT, [f"{command.timeout_s:.3f}"])
    return result


def _receive_body(process: Process, response: Any, address: str) -> Deferred[bytes]:
    collector: BodyCollector
    finished: Deferred[bytes] = Deferred(lambda _: collector.abort())
    collector = BodyCollector(process.open_answers, address, finished)
    response.deliverBody(collector)
    return finished


def _is_shed(answer: Answer) -> bool:
    outcome = headers.find_header(answer.headers, headers.OUTCOME)
    return answer.status == STATUS_SHED and outcome == OUTCOME_NOT_RUN


@command_handlers("SendAttempt")
def send_attempt(process: Process, command: commands.SendAttempt) -> None:
    """Send a request to a backend server and post the answer or failure."""
    attempt_id = command.attempt_id
    request = command.request
    body = BytesProducer(request.body) if request.body else None
    response_deferred = process.backend_agent.request(
        request.method.encode("ascii"),
        f"http://{command.address}{request.path}".encode("latin-1"),
        _request_headers(command),
        body,
    )
    process.attempts[attempt_id] = response_deferred

    def read_response(response: Any) -> Any:
        body_deferred = _receive_body(process, response, command.address)
        process.attempts[attempt_id] = body_deferred
        pairs = headers.decode_end_to_end_headers(response.headers.getAllRawHeaders())
        return body_deferred.addCallback(
            lambda body: Answer(response.code, pairs, body)
        )

    def post_answer(answer: Answer) -> None:
        if process.attempts.pop(attempt_id, None) is None:
            return
        if _is_shed(answer):
            event: Any = events.BackendFailed(attempt_id, AttemptFailure.SHED)
        else:
            event = events.BackendAnswered(attempt_id, answer)
        process.ticker.post(event)

    def post_failure(failure: Failure) -> None:
        if process.attempts.pop(attempt_id, None) is None:
            return
        event = events.BackendFailed(attempt_id, classify_failure(failure))
        process.ticker.post(event)

    response_deferred.addCallback(read_response).addCallbacks(post_answer, post_failure)


@command_handlers("CancelAttempt")
def cancel_attempt(process: Process, command: commands.CancelAttempt) -> None:
    """Cancel an attempt by closing its connection, and post no event."""
    deferred = process.attempts.pop(command.attempt_id, None)
    if deferred is not None:
        deferred.cancel()


def _check_health(
    process: Process,
    address: str,
    timeout_s: float,
    post_result: Callable[[bool], None],
) -> None:
    url = f"http://{address}{HEALTH_PATH}"
    response_deferred = process.backend_agent.request(b"GET", url.encode("ascii"))
    response_deferred.addTimeout(timeout_s, process.reactor)

    def handle_response(response: Any) -> None:
        post_result(response.code == STATUS_OK)
        # Twisted keeps the connection open until its body is read.
        body_deferred = _receive_body(process, response, address)
        body_deferred.addTimeout(timeout_s, process.reactor)
        body_deferred.addErrback(lambda _failure: None)

    response_deferred.addCallbacks(handle_response, lambda _failure: post_result(False))


@command_handlers("ProbeServer")
def probe_server(process: Process, command: commands.ProbeServer) -> None:
    """Probe the health endpoint of a backend server and post the result."""

    def post_result(is_ok: bool) -> None:
        process.ticker.post(events.ServerProbed(command.server_id, is_ok))

    _check_health(process, command.address, command.timeout_s, post_result)


@command_handlers("ProbeForPeer")
def probe_for_peer(process: Process, command: commands.ProbeForPeer) -> None:
    """Probe a backend server's health endpoint on behalf of another VM."""

    def post_result(is_ok: bool) -> None:
        event = events.ServerProbedForPeer(
            command.requesting_vm_id, command.server_id, is_ok
        )
        process.ticker.post(event)

    _check_health(process, command.address, command.timeout_s, post_result)
