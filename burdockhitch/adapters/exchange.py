"""HTTP/1.1 client connection that carries one request after another.

The codec is ``h11``. Twisted's own agent can't tell a reset from a clean close at
the end of an answer without a length, and ignores bytes after an answer. Both
are needed here to decide whether an answer is complete and which request it
belongs to.
"""

import re
import socket
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from burdockhitch import log
from burdockhitch.adapters.answer_limits import (
    HEADER_LINE_BYTES,
    INTERIM_ANSWERS_MAX,
    RECEIVE_BUFFER_BYTES,
    SKIPPED_ANSWERS_MAX,
    OpenAnswers,
)
from burdockhitch.adapters.headers import HeaderPairs, decode_all_headers, find_header
from burdockhitch.adapters.status_lines import check_status
from burdockhitch.errors import AnswerLimitError, StatusLineError
from burdockhitch.events import AttemptFailure

REQUEST_ID = "request-id"
KEEP_ALIVE = "keep-alive"
# Fraction of the server's Keep-Alive timeout after which an idle connection is no
# longer reused.
IDLE_TIMEOUT_FRACTION = 0.6
IDLE_TIMEOUT_MAX_S = 5.0
STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")
# Answers with these statuses, and those to HEAD, have no body whatever they announce.
STATUSES_WITHOUT_BODY = frozenset({204, 304})
DETAIL_MAX_CHARACTERS = 200
# Bytes of a large request that are given to the kernel at a time.
PIECE_BYTES = 256 * 1024


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
        is_identified: Whether it certainly belongs to the request: it has the
            request's id, or it is the first answer on its connection, so that no
            earlier one can have been repeated.
    """

    status: int
    headers: HeaderPairs
    body: bytes
    is_identified: bool = True


OnResult = Callable[[HttpAnswer | AttemptFailure], None]


@implementer(IPullProducer)
class PieceSender:
    """Writes a large request in pieces, as fast as the kernel takes them.

    A transport that gets the whole body at once copies it, twice with the head, so that
    a body of 64 MiB took 150 MB.

    Args:
        transport: Connection to the server.
        parts: Parts of the request.

    Attributes:
        is_done: Whether all is written, or the connection ended.
    """

    def __init__(self, transport: Any, parts: list[bytes]) -> None:
        self._transport = transport
        self._pieces = _split_parts(parts)
        self.is_done = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece."""
        piece = next(self._pieces, None)
        if piece is None:
            self.is_done = True
            self._transport.unregisterProducer()
        else:
            self._transport.write(bytes(piece))

    def stopProducing(self) -> None:  # noqa: N802
        """Release the request, since the connection ended."""
        self.is_done = True
        self._pieces = iter(())


def _split_parts(parts: list[bytes]) -> Iterator[memoryview]:
    for part in parts:
        view = memoryview(part)
        for begin in range(0, len(view), PIECE_BYTES):
            yield view[begin : begin + PIECE_BYTES]


class HttpConnection(Protocol):
    """A client connection to an HTTP server.

    Args:
        open_answers: Limits, and the answers in progress on this and other
            connections.
        on_idle: Called when the connection can be reused, with the time in seconds
            for which it may stay idle.
        on_disconnected: Called when the connection is closed by either side.

    Attributes:
        on_connected: Called when the connection is established.
    """

    def __init__(
        self,
        open_answers: OpenAnswers,
        on_idle: Callable[["HttpConnection", float], None],
        on_disconnected: Callable[["HttpConnection"], None],
    ) -> None:
        self._open_answers = open_answers
        self._limits = open_answers.limits
        self._on_idle = on_idle
        self._on_disconnected = on_disconnected
        self.on_connected: Callable[[HttpConnection], None] | None = None
        self._request: HttpRequest | None = None
        self._on_result: OnResult | None = None
        self._is_disconnected = False
        self._n_answers = 0
        self._sender: PieceSender | None = None
        self._start_exchange()

    def _start_exchange(self) -> None:
        self._start_answer()
        self._n_skipped = 0

    def _start_answer(self) -> None:
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.head_max_bytes
        )
        self._answer_head: Any = None
        self._n_received_bytes = 0
        self._n_head_bytes = 0
        self._n_head_held_bytes = 0
        self._n_interim = 0
        self._body = bytearray()

    def connectionMade(self) -> None:  # noqa: N802
        """Set socket options and call ``on_connected``."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        if self.on_connected is not None:
            self.on_connected(self)

    def send_request(self, request: HttpRequest, on_result: OnResult) -> None:
        """Send a request; ``on_result`` is called once, with answer or failure."""
        self._request = request
        self._on_result = on_result
        try:
            parts = self._encode(request)
        except h11.LocalProtocolError:
            self._fail(AttemptFailure.NOT_SENT)
            return
        transport: Any = self.transport
        if len(request.body) <= PIECE_BYTES:
            transport.write(b"".join(parts))
            return
        self._sender = PieceSender(transport, parts)
        transport.registerProducer(self._sender, False)

    def abort(self) -> None:
        """Close the connection at once, without a result for a request in progress."""
        self._release_memory()
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def reject(self, detail: str) -> None:
        """Log why the answer is given up, close the connection and report a failure."""
        self._log_rejection(detail)
        self._fail(AttemptFailure.BROKEN)

    def _log_rejection(self, detail: str) -> None:
        transport: Any = self.transport
        peer = transport.getPeer()
        fields = {
            "address": f"{peer.host}:{peer.port}",
            "request_id": self._request.request_id if self._request else "",
            "detail": detail[:DETAIL_MAX_CHARACTERS],
        }
        log.write_event("WARNING", "answer_rejected", fields)

    def _release_memory(self) -> None:
        """Drop all that was received, since the closed connection may live on.

        It is part of a reference cycle with the objects of Twisted.
        """
        self._on_result = None
        self._request = None
        self._open_answers.release(self)
        self._start_exchange()

    def _encode(self, request: HttpRequest) -> list[bytes]:
        head = h11.Request(
            method=request.method,
            target=request.target.encode("latin-1"),
            headers=[
                (name.encode("ascii"), value.encode("latin-1"))
                for name, value in request.headers
            ],
        )
        parts: list[bytes] = [self._codec.send(head) or b""]
        if request.body:
            # Without a copy of the body.
            body = h11.Data(data=request.body)
            parts += self._codec.send_with_data_passthrough(body) or []
        return [*parts, self._codec.send(h11.EndOfMessage()) or b""]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the answer; abort if no request is in progress."""
        if self._request is None:
            self._log_rejection("bytes without a request")
            # The connection is reported lost only later, and must not be reused before.
            self._on_disconnected(self)
            self.abort()
            return
        self._n_received_bytes += len(data)
        try:
            self._codec.receive_data(data)
            self._process_codec_events()
            if self._on_result is not None:
                self._check_open_answer()
        except (h11.RemoteProtocolError, AnswerLimitError, StatusLineError) as error:
            # A frame of the traceback holds the error, and others the codec's buffer.
            self.reject(str(error.with_traceback(None)))

    def _check_open_answer(self) -> None:
        """Check the limits of an answer in progress.

        Raises:
            AnswerLimitError: If its head or its chunk framing is too large.
        """
        n_body_bytes = len(self._body)
        n_unparsed_bytes = len(self._codec.trailing_data[0])
        if self._answer_head is None:
            self._check_head_size(self._n_received_bytes)
        n_framing_bytes = (
            self._n_received_bytes
            - self._n_head_bytes
            - n_body_bytes
            - n_unparsed_bytes
        )
        if n_framing_bytes > self._limits.framing_max_bytes(n_body_bytes):
            raise AnswerLimitError("chunk framing without end")
        n_held_bytes = self._n_head_held_bytes + n_body_bytes + n_unparsed_bytes
        self._open_answers.resize(self, n_held_bytes)

    def _check_head_size(self, n_bytes: int) -> None:
        if n_bytes > self._limits.head_max_bytes:
            raise AnswerLimitError(f"head of {n_bytes} bytes or more")

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
            if event is h11.NEED_DATA:
                return
            if event is h11.PAUSED:
                raise AnswerLimitError("bytes of another protocol")
            if isinstance(event, h11.ConnectionClosed):
                self._fail(AttemptFailure.BROKEN)
            elif isinstance(event, h11.InformationalResponse):
                self._n_interim += 1
                if self._n_interim > INTERIM_ANSWERS_MAX:
                    raise AnswerLimitError("interim answers without end")
            elif isinstance(event, h11.Response):
                check_status(event.http_version, event.status_code)
                self._check_head(event)
                self._answer_head = event
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete_answer()

    def _check_head(self, head: Any) -> None:
        """Check a head, its size and the size of the body that it announces.

        Raises:
            AnswerLimitError: If one of them is too large, or the head is not of one
                answer.
        """
        texts = [head.reason, *(value for _name, value in head.headers)]
        if any(STATUS_LINE.search(text) for text in texts):
            # The first part of an answer, and then another one.
            raise AnswerLimitError("a status line within the head")
        n_unparsed_bytes = len(self._codec.trailing_data[0])
        self._n_head_bytes = self._n_received_bytes - n_unparsed_bytes
        self._check_head_size(self._n_head_bytes)
        n_lines = len(head.headers)
        self._n_head_held_bytes = self._n_head_bytes + HEADER_LINE_BYTES * n_lines
        if self._request is None or self._request.method == "HEAD":
            return
        if head.status_code in STATUSES_WITHOUT_BODY:
            return
        values = dict(head.headers)
        n_announced_bytes = int(values.get(b"content-length", b"0"))
        is_chunked = b"transfer-encoding" in values
        if not is_chunked and n_announced_bytes > self._limits.body_max_bytes:
            raise AnswerLimitError(f"body of {n_announced_bytes} bytes announced")

    def _append_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limits.body_max_bytes:
            raise AnswerLimitError("body too large")

    def _complete_answer(self) -> None:
        assert self._request is not None and self._answer_head is not None
        pairs = decode_all_headers(self._answer_head.headers)
        answered_id = find_header(pairs, REQUEST_ID)
        expected_id = self._request.request_id
        if answered_id and expected_id and answered_id != expected_id:
            self._skip_stale_answer()
            return
        is_identified = bool(answered_id and expected_id) or not self._n_answers
        self._n_answers += 1
        answer = HttpAnswer(
            self._answer_head.status_code, pairs, bytes(self._body), is_identified
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
        self._n_answers += 1
        self._n_skipped += 1
        if self._n_skipped > SKIPPED_ANSWERS_MAX:
            raise AnswerLimitError("late answers without end")
        self._start_answer()
        # Brings the new codec to the state after the request; nothing is sent again.
        self._encode(request)
        if trailing_data:
            self._n_received_bytes = len(trailing_data)
            self._codec.receive_data(trailing_data)

    def _release_connection(self, pairs: HeaderPairs) -> None:
        """Offer the connection for reuse if both sides are done, else close it.

        An error answer to a request with a body may come before the server has
        read the body, so the connection is closed then, too.
        """
        request = self._request
        has_trailing_data = bool(self._codec.trailing_data[0])
        if has_trailing_data:
            self._log_rejection("bytes after the answer")
        is_fully_exchanged = (
            self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
            and not has_trailing_data
        )
        may_have_unread_body = (
            self._answer_head.status_code >= 400 and request and request.body
        )
        idle_max_s = parse_keep_alive(find_header(pairs, KEEP_ALIVE))
        self._release_memory()
        if self._is_disconnected:
            return
        is_sending = self._sender is not None and not self._sender.is_done
        if (
            is_sending
            or not is_fully_exchanged
            or may_have_unread_body
            or idle_max_s <= 0
        ):
            self.abort()
            return
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
            # An integer may have more digits than ``int`` decodes.
            return min(IDLE_TIMEOUT_MAX_S, IDLE_TIMEOUT_FRACTION * float(value))
    return IDLE_TIMEOUT_MAX_S
