"""HTTP client connections: a pool for backend servers, and one-off connections.

Connections are opened with ``reactor.connectTCP``: Twisted's endpoints import a
TLS library that is not used here, and the import would delay the start of a VM.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory

from burdockhitch.adapters.answer_limits import (
    INTERNAL_ANSWER_MAX_BYTES,
    AnswerLimits,
    OpenAnswers,
)
from burdockhitch.adapters.exchange import (
    IDLE_TIMEOUT_MAX_S,
    HttpAnswer,
    HttpConnection,
    HttpRequest,
)
from burdockhitch.errors import ExchangeFailedError
from burdockhitch.events import AttemptFailure

IDLE_CONNECTIONS_PER_SERVER_MAX = 4
INTERNAL_LIMITS = AnswerLimits(INTERNAL_ANSWER_MAX_BYTES, INTERNAL_ANSWER_MAX_BYTES)
OnConnected = Callable[[HttpConnection], None]
# Called with whether the peer refused the connection, so that nothing listens there.
OnFailure = Callable[[bool], None]


class _SingleConnectionFactory(ClientFactory):
    """Twisted factory for a single connection.

    Args:
        connection: Protocol instance of the connection.
        on_connected: Called with the connection once it is established.
        on_failure: Called if the connection can't be established.
    """

    noisy = False

    def __init__(
        self,
        connection: HttpConnection,
        on_connected: OnConnected,
        on_failure: OnFailure,
    ) -> None:
        self._connection = connection
        self._on_failure = on_failure
        connection.on_connected = on_connected

    def buildProtocol(self, addr: Any) -> HttpConnection:  # noqa: N802
        """Return the protocol instance given at construction."""
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report a refused connection or a connect timeout."""
        self._on_failure(bool(reason.check(ConnectionRefusedError)))


def open_connection(
    reactor: Any,
    address: str,
    timeout_s: float,
    connection: HttpConnection,
    on_connected: OnConnected,
    on_failure: OnFailure,
) -> None:
    """Open a connection to ``ip:port``; calls exactly one of the callbacks."""
    host, _, port = address.rpartition(":")
    factory = _SingleConnectionFactory(connection, on_connected, on_failure)
    reactor.connectTCP(host, int(port), factory, timeout=timeout_s)


def make_internal_request(
    address: str, method: str, path: str, body: bytes = b""
) -> HttpRequest:
    """Return a request to the store or a peer VM; a body must be JSON."""
    headers: tuple[tuple[str, str], ...] = (("host", address), ("connection", "close"))
    if body:
        length = ("content-length", str(len(body)))
        headers = (*headers, ("content-type", "application/json"), length)
    return HttpRequest(method, path, headers, body, request_id="")


def send_internal_request(
    reactor: Any, address: str, request: HttpRequest, timeout_s: float
) -> Deferred[HttpAnswer]:
    """Send a request over a new connection that is closed afterwards.

    A pooled connection may have failed unnoticed, and calls to the store and to
    other VMs are too rare to benefit from one.

    Args:
        reactor: Twisted reactor.
        address: ``ip:port``.
        request: Request to send.
        timeout_s: Limit for connecting, sending and receiving together.

    Returns:
        A deferred with the answer. It fails with ``ExchangeFailedError`` if no
        complete answer arrives in time.
    """

    def finish(result: HttpAnswer | AttemptFailure) -> None:
        if result_deferred.called:
            return
        if isinstance(result, HttpAnswer):
            result_deferred.callback(result)
        else:
            result_deferred.errback(ExchangeFailedError(f"{address}: {result.value}"))

    def send_request(connected: HttpConnection) -> None:
        if result_deferred.called:
            connected.abort()
        else:
            connected.send_request(request, finish)

    def raise_timeout(_result: Any, timeout_s: float) -> None:
        raise ExchangeFailedError(f"{address}: no answer in {timeout_s} s")

    connection = HttpConnection(
        OpenAnswers(INTERNAL_LIMITS),
        lambda idle, _idle_max_s: idle.abort(),
        lambda _connection: None,
    )
    result_deferred: Deferred[HttpAnswer] = Deferred(
        lambda _deferred: connection.abort()
    )
    open_connection(
        reactor,
        address,
        timeout_s,
        connection,
        send_request,
        lambda _is_refused: finish(AttemptFailure.NOT_SENT),
    )
    return result_deferred.addTimeout(timeout_s, reactor, raise_timeout)


class _IdleConnection(NamedTuple):
    connection: HttpConnection
    reusable_until_s: float


class ConnectionPool:
    """Pool of idle connections to backend servers, by address.

    Args:
        reactor: Twisted reactor.
        now_s: Returns the time on the monotonic clock.
        connect_timeout_s: Limit for establishing a connection.
        limits: Limits of each answer and of all answers in progress together.
    """

    def __init__(
        self,
        reactor: Any,
        now_s: Callable[[], float],
        connect_timeout_s: float,
        limits: AnswerLimits,
    ) -> None:
        self._reactor = reactor
        self._now_s = now_s
        self._connect_timeout_s = connect_timeout_s
        self._open_answers = OpenAnswers(limits)
        self._idle_connections: dict[str, list[_IdleConnection]] = {}

    def acquire(self, address: str) -> HttpConnection | None:
        """Remove and return the most recently used reusable connection, if any."""
        idle_connections = self._idle_connections.get(address, [])
        now_s = self._now_s()
        while idle_connections:
            entry = idle_connections.pop()
            if entry.reusable_until_s > now_s:
                return entry.connection
            entry.connection.abort()
        return None

    def connect(
        self,
        address: str,
        on_connected: OnConnected,
        on_failure: OnFailure,
        timeout_s: float = math.inf,
    ) -> None:
        """Open a new connection; calls exactly one of the callbacks.

        Args:
            address: ``ip:port``.
            on_connected: Called with the connection once it is established.
            on_failure: Called if the connection can't be established.
            timeout_s: Limit besides that of the pool.
        """
        connection = HttpConnection(
            self._open_answers,
            lambda connection, idle_max_s: self._store_idle(
                address, connection, idle_max_s
            ),
            lambda connection: self._remove_idle(address, connection),
        )
        open_connection(
            self._reactor,
            address,
            min(self._connect_timeout_s, timeout_s),
            connection,
            on_connected,
            on_failure,
        )

    def check(
        self, address: str, timeout_s: float, on_checked: Callable[[bool], None]
    ) -> None:
        """Find out whether anything listens at an address.

        Args:
            address: ``ip:port``.
            timeout_s: Limit besides that of the pool.
            on_checked: Called with whether the connection was refused. One that is
                established is kept for the next request.
        """

        def keep(connection: HttpConnection) -> None:
            self._store_idle(address, connection, IDLE_TIMEOUT_MAX_S)
            on_checked(False)

        self.connect(address, keep, on_checked, timeout_s)

    def _store_idle(
        self, address: str, connection: HttpConnection, idle_max_s: float
    ) -> None:
        idle_connections = self._idle_connections.setdefault(address, [])
        idle_connections.append(_IdleConnection(connection, self._now_s() + idle_max_s))
        if len(idle_connections) > IDLE_CONNECTIONS_PER_SERVER_MAX:
            idle_connections.pop(0).connection.abort()

    def _remove_idle(self, address: str, connection: HttpConnection) -> None:
        idle_connections = self._idle_connections.get(address, [])
        idle_connections[:] = [
            entry for entry in idle_connections if entry.connection is not connection
        ]
