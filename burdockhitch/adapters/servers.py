"""HTTP towards backend servers.

Requests go through Twisted's agent itself, not through ``treq``: ``treq``
keeps cookies between requests and decodes bodies, and either would hand one
caller something that belongs to another answer.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, UserError
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

from burdockhitch import commands, events
from burdockhitch.adapters import headers
from burdockhitch.adapters.process import Process, senders
from burdockhitch.errors import BurdockhitchError
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.problems import OUTCOME_NOT_RUN

IDLE_CONNECTION_S = 5.0
IDLE_CONNECTIONS_PER_SERVER = 4
HEALTH_PATH = "/health"
STATUS_SHED = 503
STATUS_OK = 200


class AnswerTruncatedError(BurdockhitchError):
    """The answer ended before it was whole."""


class AnswerTooLargeError(BurdockhitchError):
    """The answer is larger than the bound."""


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a request body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written at once."""


class BodyCollector(Protocol):
    """Collects a body and fails unless its end is proven.

    Args:
        max_bytes: Bound of the body.
        finished: Fires with the body.
    """

    def __init__(self, max_bytes: int, finished: Deferred[bytes]) -> None:
        self._max_bytes = max_bytes
        self._finished = finished
        self._parts: list[bytes] = []
        self._n_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body."""
        self._n_bytes += len(data)
        if self._n_bytes > self._max_bytes:
            self._fail(AnswerTooLargeError())
            return
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Hand over the body if the server marked its end."""
        if self._finished.called:
            return
        if reason.check(ResponseDone):
            self._finished.callback(b"".join(self._parts))
        else:
            self._finished.errback(Failure(AnswerTruncatedError()))

    def _fail(self, error: BurdockhitchError) -> None:
        if not self._finished.called:
            self._finished.errback(Failure(error))
        self.abort()

    def abort(self) -> None:
        """Close the connection, so that it is not used again."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Dials IP numbers and resolves no names.

    Args:
        reactor: Twisted reactor.
        connect_timeout_s: Time to open a connection.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of an address."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=self._connect_timeout_s
        )


def make_agent(reactor: Any, connect_timeout_s: float) -> Agent:
    """Return an agent that dials addresses and never repeats a request."""
    pool = HTTPConnectionPool(reactor)
    pool.retryAutomatically = False
    pool.cachedConnectionTimeout = IDLE_CONNECTION_S
    pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_SERVER
    endpoints = AddressEndpoints(reactor, connect_timeout_s)
    return Agent.usingEndpointFactory(reactor, endpoints, pool=pool)


def classify_failure(failure: Failure) -> AttemptFailure:
    """Return what a failure of the agent proves."""
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


def _read_body(response: Any, max_bytes: int) -> Deferred[bytes]:
    collector: BodyCollector
    finished: Deferred[bytes] = Deferred(lambda _: collector.abort())
    collector = BodyCollector(max_bytes, finished)
    response.deliverBody(collector)
    return finished


def _is_shed(answer: Answer) -> bool:
    outcome = headers.find_header(answer.headers, headers.OUTCOME)
    return answer.status == STATUS_SHED and outcome == OUTCOME_NOT_RUN


@senders("SendAttempt")
def send_attempt(process: Process, command: commands.SendAttempt) -> None:
    """Send a request and post how it ended."""
    attempt_id = command.attempt_id
    max_bytes = process.world.settings.backend_servers.answer_max_bytes
    request = command.request
    body = BytesProducer(request.body) if request.body else None
    sent = process.backend_agent.request(
        request.method.encode("ascii"),
        f"http://{command.address}{request.path}".encode("latin-1"),
        _request_headers(command),
        body,
    )
    process.attempts[attempt_id] = sent

    def read(response: Any) -> Any:
        received = _read_body(response, max_bytes)
        process.attempts[attempt_id] = received
        pairs = headers.decode_headers(response.headers.getAllRawHeaders())
        return received.addCallback(lambda body: Answer(response.code, pairs, body))

    def succeed_attempt(answer: Answer) -> None:
        if process.attempts.pop(attempt_id, None) is None:
            return
        if _is_shed(answer):
            event: Any = events.BackendFailed(attempt_id, AttemptFailure.SHED)
        else:
            event = events.BackendAnswered(attempt_id, answer)
        process.ticker.post(event)

    def fail_attempt(failure: Failure) -> None:
        if process.attempts.pop(attempt_id, None) is None:
            return
        event = events.BackendFailed(attempt_id, classify_failure(failure))
        process.ticker.post(event)

    sent.addCallback(read).addCallbacks(succeed_attempt, fail_attempt)


@senders("CancelAttempt")
def cancel_attempt(process: Process, command: commands.CancelAttempt) -> None:
    """Close the connection of an attempt nobody waits for."""
    deferred = process.attempts.pop(command.attempt_id, None)
    if deferred is not None:
        deferred.cancel()


def _probe(
    process: Process, address: str, timeout_s: float, report: Callable[[bool], None]
) -> None:
    url = f"http://{address}{HEALTH_PATH}"
    probed = process.platform_client.get(url, timeout=timeout_s, persistent=False)
    probed.addCallbacks(
        lambda response: report(response.code == STATUS_OK),
        lambda _failure: report(False),
    )


@senders("ProbeServer")
def probe_server(process: Process, command: commands.ProbeServer) -> None:
    """Ask the health endpoint of a backend server."""

    def report(is_ok: bool) -> None:
        process.ticker.post(events.ServerProbed(command.server_id, is_ok))

    _probe(process, command.address, command.timeout_s, report)


@senders("ProbeForPeer")
def probe_for_peer(process: Process, command: commands.ProbeForPeer) -> None:
    """Ask the health endpoint of a backend server for another VM."""

    def report(is_ok: bool) -> None:
        event = events.PeerProbed(command.asker_vm_id, command.server_id, is_ok)
        process.ticker.post(event)

    _probe(process, command.address, command.timeout_s, report)
