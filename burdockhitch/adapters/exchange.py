"""One HTTP request and its answer at a time over a kept connection.

Twisted's own agent doesn't tell a reset from a clean close at the end of an
answer without length, and ignores bytes behind an answer. Both decide here
whether an answer is whole and whose it is, so the codec is ``h11``.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from burdockhitch.adapters.headers import HeaderPairs, decode_pairs, find_header
from burdockhitch.events import AttemptFailure

REQUEST_ID = "request-id"
KEEP_ALIVE = "keep-alive"
# A connection is not used again in the last part of the server's own time.
KEEP_SHARE = 0.6
KEEP_DEFAULT_S = 5.0


class HttpRequest(NamedTuple):
    """A request as it goes on the wire.

    Attributes:
        method: HTTP method.
        target: Path with its query.
        headers: Names and values.
        body: Whole body.
        request_id: Identity that an answer with one must repeat; may be empty.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes
    request_id: str


class HttpAnswer(NamedTuple):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Names in lower case and values.
        body: Whole body.
    """

    status: int
    headers: HeaderPairs
    body: bytes


Done = Callable[[HttpAnswer | AttemptFailure], None]


class Exchange(Protocol):
    """A connection to a backend server.

    Args:
        max_bytes: Bound of an answer's body.
        on_idle: Called when the connection may be used again, with the time
            for which it may be kept in seconds.
        on_lost: Called when the connection is gone.

    Attributes:
        on_open: Called when the connection is open.
    """

    def __init__(
        self,
        max_bytes: int,
        on_idle: Callable[["Exchange", float], None],
        on_lost: Callable[["Exchange"], None],
    ) -> None:
        self._max_bytes = max_bytes
        self._on_idle = on_idle
        self._on_lost = on_lost
        self.on_open: Callable[[Exchange], None] | None = None
        self._codec = h11.Connection(h11.CLIENT)
        self._request: HttpRequest | None = None
        self._done: Done | None = None
        self._response: Any = None
        self._parts: list[bytes] = []
        self._n_bytes = 0
        self._is_lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send small segments at once, and tell that the connection is open."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        if self.on_open is not None:
            self.on_open(self)

    def start(self, request: HttpRequest, done: Done) -> None:
        """Send a request; ``done`` is called once with its end."""
        self._request = request
        self._done = done
        try:
            data = self._encode(request)
        except h11.LocalProtocolError:
            self._fail(AttemptFailure.NOT_SENT)
            return
        transport: Any = self.transport
        transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        self._done = None
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _encode(self, request: HttpRequest) -> bytes:
        head = h11.Request(
            method=request.method,
            target=request.target.encode("latin-1"),
            headers=[
                (name.encode("ascii"), value.encode("latin-1"))
                for name, value in request.headers
            ],
        )
        data = self._codec.send(head) or b""
        if request.body:
            data += self._codec.send(h11.Data(data=request.body)) or b""
        return data + (self._codec.send(h11.EndOfMessage()) or b"")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the answer; bytes that nobody asked for end it all."""
        if self._request is None:
            self.abort()
            return
        try:
            self._codec.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError:
            self._fail(AttemptFailure.BROKEN)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the answer if a clean close proves that it is whole."""
        self._is_lost = True
        self._on_lost(self)
        if self._done is None:
            return
        if reason.check(ConnectionDone) and self._response is not None:
            try:
                self._codec.receive_data(b"")
                self._take_events()
            except h11.RemoteProtocolError:
                self._fail(AttemptFailure.BROKEN)
        if self._done is not None:
            self._fail(AttemptFailure.BROKEN)

    def _take_events(self) -> None:
        while self._done is not None:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._fail(AttemptFailure.BROKEN)
            elif isinstance(event, h11.Response):
                self._response = event
            elif isinstance(event, h11.Data):
                self._keep(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()

    def _keep(self, data: bytes) -> None:
        self._n_bytes += len(data)
        self._parts.append(data)
        if self._n_bytes > self._max_bytes:
            self._fail(AttemptFailure.BROKEN)

    def _finish(self) -> None:
        assert self._request is not None and self._response is not None
        pairs = decode_pairs(self._response.headers)
        answered_id = find_header(pairs, REQUEST_ID)
        own_id = self._request.request_id
        if answered_id and own_id and answered_id != own_id:
            self._skip_foreign()
            return
        answer = HttpAnswer(self._response.status_code, pairs, b"".join(self._parts))
        done = self._done
        self._done = None
        self._release(pairs)
        if done is not None:
            done(answer)

    def _skip_foreign(self) -> None:
        """Drop a late answer to an earlier request; ours may follow."""
        rest, is_closed = self._codec.trailing_data
        request = self._request
        if is_closed or self._codec.their_state is not h11.DONE or request is None:
            self._fail(AttemptFailure.BROKEN)
            return
        self._reset()
        self._encode(request)
        if rest:
            self._codec.receive_data(rest)

    def _reset(self) -> None:
        self._codec = h11.Connection(h11.CLIENT)
        self._response = None
        self._parts = []
        self._n_bytes = 0

    def _release(self, pairs: HeaderPairs) -> None:
        """Keep the connection if nothing is left on it and both sides agree."""
        request = self._request
        self._request = None
        is_clean = (
            self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
            and not self._codec.trailing_data[0]
        )
        is_early = self._response.status_code >= 400 and request and request.body
        keep_s = keep_time_s(find_header(pairs, KEEP_ALIVE))
        if self._is_lost:
            return
        if not is_clean or is_early or keep_s <= 0:
            transport: Any = self.transport
            if transport is not None:
                transport.abortConnection()
            return
        self._reset()
        self._on_idle(self, keep_s)

    def _fail(self, failure: AttemptFailure) -> None:
        done = self._done
        self.abort()
        if done is not None:
            done(failure)


def keep_time_s(header: str) -> float:
    """Return how long a connection may be idle by a ``Keep-Alive`` header."""
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(KEEP_DEFAULT_S, KEEP_SHARE * int(value))
    return KEEP_DEFAULT_S
