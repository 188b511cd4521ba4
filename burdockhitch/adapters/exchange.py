"""HTTP/1.1 client connection that carries one request after another.

The codec is ``h11``. Twisted's own agent can't tell a reset from a clean close at
the end of an answer without a length, and ignores bytes after an answer. Both
are needed here to decide whether an answer is complete and which request it
belongs to.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from burdockhitch.adapters.headers import HeaderPairs, decode_all_headers, find_header
from burdockhitch.events import AttemptFailure

REQUEST_ID = "request-id"
KEEP_ALIVE = "keep-alive"
# Fraction of the server's Keep-Alive timeout after which an idle connection is no
# longer reused.
IDLE_TIMEOUT_FRACTION = 0.6
IDLE_TIMEOUT_MAX_S = 5.0


class HttpRequest(NamedTuple):
    """An outgoing request.

    Attributes:
        method: HTTP method.
        target: Path with the query string.
        headers: Names and values.
        body: Complete body.
        request_id: Value that a ``Request-Id`` header of the answer must have,
            if the answer has one; empty to accept any.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes
    request_id: str


class HttpAnswer(NamedTuple):
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Names in lower case and values.
        body: Complete body.
    """

    status: int
    headers: HeaderPairs
    body: bytes


OnResult = Callable[[HttpAnswer | AttemptFailure], None]


class HttpConnection(Protocol):
    """A client connection to an HTTP server.

    Args:
        answer_max_bytes: Size limit of an answer body.
        on_idle: Called when the connection can be reused, with the time in seconds
            for which it may stay idle.
        on_disconnected: Called when the connection is closed by either side.

    Attributes:
        on_connected: Called when the connection is established.
    """

    def __init__(
        self,
        answer_max_bytes: int,
        on_idle: Callable[["HttpConnection", float], None],
        on_disconnected: Callable[["HttpConnection"], None],
    ) -> None:
        self._answer_max_bytes = answer_max_bytes
        self._on_idle = on_idle
        self._on_disconnected = on_disconnected
        self.on_connected: Callable[[HttpConnection], None] | None = None
        self._codec = h11.Connection(h11.CLIENT)
        self._request: HttpRequest | None = None
        self._on_result: OnResult | None = None
        self._answer_head: Any = None
        self._body_parts: list[bytes] = []
        self._n_body_bytes = 0
        self._is_disconnected = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and call ``on_connected``."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        if self.on_connected is not None:
            self.on_connected(self)

    def send_request(self, request: HttpRequest, on_result: OnResult) -> None:
        """Send a request; ``on_result`` is called once, with answer or failure."""
        self._request = request
        self._on_result = on_result
        try:
            data = self._encode(request)
        except h11.LocalProtocolError:
            self._fail(AttemptFailure.NOT_SENT)
            return
        transport: Any = self.transport
        transport.write(data)

    def abort(self) -> None:
        """Close the connection at once, without a result for a request in progress."""
        self._on_result = None
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
        """Parse a part of the answer; abort if no request is in progress."""
        if self._request is None:
            self.abort()
            return
        try:
            self._codec.receive_data(data)
            self._process_codec_events()
        except h11.RemoteProtocolError:
            self._fail(AttemptFailure.BROKEN)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Complete the answer if a clean close marks its end, else report a failure."""
        self._is_disconnected = True
        self._on_disconnected(self)
        if self._on_result is None:
            return
        if reason.check(ConnectionDone) and self._answer_head is not None:
            try:
                self._codec.receive_data(b"")
                self._process_codec_events()
            except h11.RemoteProtocolError:
                self._fail(AttemptFailure.BROKEN)
        if self._on_result is not None:
            self._fail(AttemptFailure.BROKEN)

    def _process_codec_events(self) -> None:
        while self._on_result is not None:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._fail(AttemptFailure.BROKEN)
            elif isinstance(event, h11.Response):
                self._answer_head = event
            elif isinstance(event, h11.Data):
                self._append_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete_answer()

    def _append_body(self, data: bytes) -> None:
        self._n_body_bytes += len(data)
        self._body_parts.append(data)
        if self._n_body_bytes > self._answer_max_bytes:
            self._fail(AttemptFailure.BROKEN)

    def _complete_answer(self) -> None:
        assert self._request is not None and self._answer_head is not None
        pairs = decode_all_headers(self._answer_head.headers)
        answered_id = find_header(pairs, REQUEST_ID)
        expected_id = self._request.request_id
        if answered_id and expected_id and answered_id != expected_id:
            self._skip_stale_answer()
            return
        answer = HttpAnswer(
            self._answer_head.status_code, pairs, b"".join(self._body_parts)
        )
        on_result = self._on_result
        self._on_result = None
        self._release_connection(pairs)
        if on_result is not None:
            on_result(answer)

    def _skip_stale_answer(self) -> None:
        """Discard a late answer to an earlier request; the right one may follow."""
        trailing_data, is_peer_closed = self._codec.trailing_data
        request = self._request
        if is_peer_closed or self._codec.their_state is not h11.DONE or request is None:
            self._fail(AttemptFailure.BROKEN)
            return
        self._reset_codec()
        # Brings the new codec to the state after the request; nothing is sent again.
        self._encode(request)
        if trailing_data:
            self._codec.receive_data(trailing_data)

    def _reset_codec(self) -> None:
        self._codec = h11.Connection(h11.CLIENT)
        self._answer_head = None
        self._body_parts = []
        self._n_body_bytes = 0

    def _release_connection(self, pairs: HeaderPairs) -> None:
        """Offer the connection for reuse if both sides are done, else close it.

        An error answer to a request with a body may come before the server has
        read the body, so the connection is closed then, too.
        """
        request = self._request
        self._request = None
        is_fully_exchanged = (
            self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
            and not self._codec.trailing_data[0]
        )
        may_have_unread_body = (
            self._answer_head.status_code >= 400 and request and request.body
        )
        idle_max_s = parse_keep_alive(find_header(pairs, KEEP_ALIVE))
        if self._is_disconnected:
            return
        if not is_fully_exchanged or may_have_unread_body or idle_max_s <= 0:
            transport: Any = self.transport
            if transport is not None:
                transport.abortConnection()
            return
        self._reset_codec()
        self._on_idle(self, idle_max_s)

    def _fail(self, failure: AttemptFailure) -> None:
        on_result = self._on_result
        self.abort()
        if on_result is not None:
            on_result(failure)


def parse_keep_alive(header: str) -> float:
    """Return the seconds for which a connection may stay idle.

    Args:
        header: Value of the answer's ``Keep-Alive`` header, empty if it has none.
    """
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(IDLE_TIMEOUT_MAX_S, IDLE_TIMEOUT_FRACTION * int(value))
    return IDLE_TIMEOUT_MAX_S
