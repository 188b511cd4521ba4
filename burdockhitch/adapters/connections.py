"""Connections for exchanges: kept ones to backend servers, and new ones.

They are opened by the reactor itself: Twisted's endpoints import a TLS library
that nothing here uses, and a start is time without service.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory

from burdockhitch.adapters.exchange import Exchange, HttpAnswer, HttpRequest
from burdockhitch.errors import ExchangeFailedError
from burdockhitch.events import AttemptFailure

KEPT_PER_SERVER = 4
# More than the store or another VM ever answers at once.
ANSWER_MAX_BYTES = 64 * 1024 * 1024
OnOpen = Callable[[Exchange], None]


class _Opening(ClientFactory):
    """Makes one connection.

    Args:
        exchange: What is to be connected.
        on_open: Called with the exchange once it is connected.
        on_failure: Called if it can't be connected.
    """

    noisy = False

    def __init__(
        self, exchange: Exchange, on_open: OnOpen, on_failure: Callable[[], None]
    ) -> None:
        self._exchange = exchange
        self._on_failure = on_failure
        exchange.on_open = on_open

    def buildProtocol(self, addr: Any) -> Exchange:  # noqa: N802
        """Return the exchange."""
        return self._exchange

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that nobody listens or answers."""
        self._on_failure()


def open_exchange(
    reactor: Any,
    address: str,
    timeout_s: float,
    exchange: Exchange,
    on_open: OnOpen,
    on_failure: Callable[[], None],
) -> None:
    """Connect an exchange to ``ip:port``; exactly one of the callbacks follows."""
    host, _, port = address.rpartition(":")
    opening = _Opening(exchange, on_open, on_failure)
    reactor.connectTCP(host, int(port), opening, timeout=timeout_s)


def make_call(address: str, method: str, path: str, body: bytes = b"") -> HttpRequest:
    """Return a request of this program's own, with a body of JSON if any."""
    headers: tuple[tuple[str, str], ...] = (("host", address), ("connection", "close"))
    if body:
        length = ("content-length", str(len(body)))
        headers = (*headers, ("content-type", "application/json"), length)
    return HttpRequest(method, path, headers, body, request_id="")


def call_http(
    reactor: Any, address: str, request: HttpRequest, timeout_s: float
) -> Deferred[HttpAnswer]:
    """Send a request over a new connection.

    A kept connection may have gone silent, and calls to the store and to other
    VMs are too few to be worth one.

    Args:
        reactor: Twisted reactor.
        address: ``ip:port``.
        request: What to send.
        timeout_s: Bound of the whole call.

    Returns:
        A deferred with the answer. It fails with ``ExchangeFailedError`` if no
        whole answer came in time.
    """

    def end(result: HttpAnswer | AttemptFailure) -> None:
        if answered.called:
            return
        if isinstance(result, HttpAnswer):
            answered.callback(result)
        else:
            answered.errback(ExchangeFailedError(f"{address}: {result.value}"))

    def start(opened: Exchange) -> None:
        if answered.called:
            opened.abort()
        else:
            opened.start(request, end)

    def raise_late(_result: Any, timeout_s: float) -> None:
        raise ExchangeFailedError(f"{address}: no answer in {timeout_s} s")

    exchange = Exchange(
        ANSWER_MAX_BYTES, lambda kept, _keep_s: kept.abort(), lambda _exchange: None
    )
    answered: Deferred[HttpAnswer] = Deferred(lambda _deferred: exchange.abort())
    open_exchange(
        reactor,
        address,
        timeout_s,
        exchange,
        start,
        lambda: end(AttemptFailure.NOT_SENT),
    )
    return answered.addTimeout(timeout_s, reactor, raise_late)


class _Kept(NamedTuple):
    exchange: Exchange
    until_s: float


class ExchangePool:
    """Kept connections by address.

    Args:
        reactor: Twisted reactor.
        now_s: Returns the time on the monotonic clock.
        connect_timeout_s: Time to open a connection.
        max_bytes: Bound of an answer's body.
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
        self._kept: dict[str, list[_Kept]] = {}

    def take(self, address: str) -> Exchange | None:
        """Return the connection that was used last, if one may be used."""
        kept = self._kept.get(address, [])
        now_s = self._now_s()
        while kept:
            entry = kept.pop()
            if entry.until_s > now_s:
                return entry.exchange
            entry.exchange.abort()
        return None

    def connect(
        self, address: str, on_open: OnOpen, on_failure: Callable[[], None]
    ) -> None:
        """Open a connection; exactly one of the callbacks follows."""
        exchange = Exchange(
            self._max_bytes,
            lambda exchange, keep_s: self._keep(address, exchange, keep_s),
            lambda exchange: self._forget(address, exchange),
        )
        open_exchange(
            self._reactor,
            address,
            self._connect_timeout_s,
            exchange,
            on_open,
            on_failure,
        )

    def _keep(self, address: str, exchange: Exchange, keep_s: float) -> None:
        kept = self._kept.setdefault(address, [])
        kept.append(_Kept(exchange, self._now_s() + keep_s))
        if len(kept) > KEPT_PER_SERVER:
            kept.pop(0).exchange.abort()

    def _forget(self, address: str, exchange: Exchange) -> None:
        kept = self._kept.get(address, [])
        kept[:] = [entry for entry in kept if entry.exchange is not exchange]
