"""HTTP client connections: a pool for backend servers, and one-off connections.

Connections are opened with ``reactor.connectTCP``: Twisted's endpoints import a
TLS library that is not used here, and the import would delay the start of a VM.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory

from burdockhitch.adapters.exchange import Exchange, HttpAnswer, HttpRequest
from burdockhitch.errors import ExchangeFailedError
from burdockhitch.events import AttemptFailure

KEPT_PER_SERVER = 4
# Larger than any response of the store or of another VM.
ANSWER_MAX_BYTES = 64 * 1024 * 1024
OnOpen = Callable[[Exchange], None]


class _SingleConnectionFactory(ClientFactory):
    """Twisted factory for a single connection.

    Args:
        exchange: Protocol instance of the connection.
        on_open: Called with the exchange once the connection is established.
        on_failure: Called if the connection can't be established.
    """

    noisy = False

    def __init__(
        self, exchange: Exchange, on_open: OnOpen, on_failure: Callable[[], None]
    ) -> None:
        self._exchange = exchange
        self._on_failure = on_failure
        exchange.on_open = on_open

    def buildProtocol(self, addr: Any) -> Exchange:  # noqa: N802
        """Return the protocol instance given at construction."""
        return self._exchange

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report a refused connection or a connect timeout."""
        self._on_failure()


def open_exchange(
    reactor: Any,
    address: str,
    timeout_s: float,
    exchange: Exchange,
    on_open: OnOpen,
    on_failure: Callable[[], None],
) -> None:
    """Connect an exchange to ``ip:port``; calls exactly one of the callbacks."""
    host, _, port = address.rpartition(":")
    factory = _SingleConnectionFactory(exchange, on_open, on_failure)
    reactor.connectTCP(host, int(port), factory, timeout=timeout_s)


def make_call(address: str, method: str, path: str, body: bytes = b"") -> HttpRequest:
    """Return a request to the store or a peer VM; a body must be JSON."""
    headers: tuple[tuple[str, str], ...] = (("host", address), ("connection", "close"))
    if body:
        length = ("content-length", str(len(body)))
        headers = (*headers, ("content-type", "application/json"), length)
    return HttpRequest(method, path, headers, body, request_id="")


def call_http(
    reactor: Any, address: str, request: HttpRequest, timeout_s: float
) -> Deferred[HttpAnswer]:
    """Send a request over a new connection that is closed afterwards.

    A pooled connection may be dead without notice, and calls to the store and to
    other VMs are too rare to benefit from one.

    Args:
        reactor: Twisted reactor.
        address: ``ip:port``.
        request: Request to send.
        timeout_s: Limit for connecting, sending and receiving together.

    Returns:
        A deferred with the response. It fails with ``ExchangeFailedError`` if no
        complete response arrives in time.
    """

    def finish(result: HttpAnswer | AttemptFailure) -> None:
        if result_deferred.called:
            return
        if isinstance(result, HttpAnswer):
            result_deferred.callback(result)
        else:
            result_deferred.errback(ExchangeFailedError(f"{address}: {result.value}"))

    def send_request(connected: Exchange) -> None:
        if result_deferred.called:
            connected.abort()
        else:
            connected.start(request, finish)

    def raise_timeout(_result: Any, timeout_s: float) -> None:
        raise ExchangeFailedError(
            f"{address}: no complete response within {timeout_s} s"
        )

    exchange = Exchange(
        ANSWER_MAX_BYTES, lambda idle, _keep_s: idle.abort(), lambda _exchange: None
    )
    result_deferred: Deferred[HttpAnswer] = Deferred(lambda _deferred: exchange.abort())
    open_exchange(
        reactor,
        address,
        timeout_s,
        exchange,
        send_request,
        lambda: finish(AttemptFailure.NOT_SENT),
    )
    return result_deferred.addTimeout(timeout_s, reactor, raise_timeout)


class _IdleConnection(NamedTuple):
    exchange: Exchange
    reusable_until_s: float


class ExchangePool:
    """Pool of idle connections to backend servers, by address.

    Args:
        reactor: Twisted reactor.
        now_s: Returns the time on the monotonic clock.
        connect_timeout_s: Limit for establishing a connection.
        max_bytes: Size limit of a response body.
    """

    def __init__(
        self,
        reactor: Any,
        now_s: Callable[[], float],
        connect_timeout_s: float,
        max_bytes: int,
    ) -> None:
        self._reactor = reactor
        self._now_s = now_s
        self._connect_timeout_s = connect_timeout_s
        self._max_bytes = max_bytes
        self._idle_connections: dict[str, list[_IdleConnection]] = {}

    def take(self, address: str) -> Exchange | None:
        """Remove and return the most recently used reusable connection."""
        idle_connections = self._idle_connections.get(address, [])
        now_s = self._now_s()
        while idle_connections:
            entry = idle_connections.pop()
            if entry.reusable_until_s > now_s:
                return entry.exchange
            entry.exchange.abort()
        return None

    def connect(
        self, address: str, on_open: OnOpen, on_failure: Callable[[], None]
    ) -> None:
        """Open a new connection; calls exactly one of the callbacks."""
        exchange = Exchange(
            self._max_bytes,
            lambda exchange, keep_s: self._store_idle(address, exchange, keep_s),
            lambda exchange: self._remove(address, exchange),
        )
        open_exchange(
            self._reactor,
            address,
            self._connect_timeout_s,
            exchange,
            on_open,
            on_failure,
        )

    def _store_idle(self, address: str, exchange: Exchange, keep_s: float) -> None:
        idle_connections = self._idle_connections.setdefault(address, [])
        idle_connections.append(_IdleConnection(exchange, self._now_s() + keep_s))
        if len(idle_connections) > KEPT_PER_SERVER:
            idle_connections.pop(0).exchange.abort()

    def _remove(self, address: str, exchange: Exchange) -> None:
        idle_connections = self._idle_connections.get(address, [])
        idle_connections[:] = [
            entry for entry in idle_connections if entry.exchange is not exchange
        ]
