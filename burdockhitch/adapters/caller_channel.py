"""A caller's connection: bounds what it holds, and reports it to its site."""

import io
import socket
from typing import Any

from twisted.internet.error import (
    ConnectionAborted,
)
from twisted.python.failure import Failure
from twisted.web import http_headers
from twisted.web.http import HTTPChannel
from twisted.web.http_headers import Headers

from burdockhitch.adapters.caller_limits import (
    SMALL_BODY_BYTES,
)
from burdockhitch.tables.caller_connections import (
    FIELD_BYTES,
    HeldBytes,
    Phase,
)

# Bytes of a read, and unread bytes of answers above which nothing more is read. Small
# because each connection may hold as much that was sent ahead.
READ_BYTES = 8 * 1024
BODY_READ_BYTES = 64 * 1024
# Limits what the kernel holds of a connection in each direction. Linux doubles it, and
# would otherwise let it grow to megabytes for callers that don't read.
KERNEL_BUFFER_BYTES = 128 * 1024
# What is discarded after a head that is too large.
DISCARDED_HEAD_MAX_BYTES = 1024 * 1024
# Memory of a trailer field's object.
TRAILER_BYTES = 100
# Names of ordinary headers are shorter.
KEPT_NAME_MAX_BYTES = 64


class CallerChannel(HTTPChannel):
    """A caller's connection, which reports what it holds for its caller.

    It parses one request of its connection at a time, and in each turn of the loop at
    most one that was sent ahead. It doesn't parse while answers are unread, since each
    request would add one.

    Attributes:
        is_kept_alive: Whether a request on it has ended.
        connection_id: Number in ``CallerConnections``, 0 if it was refused.
    """

    # ``lineReceived`` limits the head by the configuration. The number of fields has no
    # limit of its own: it is limited by the bytes, and by the memory of their objects.
    totalHeadersSize = 1 << 30  # noqa: N815
    maxHeaders = 1 << 30  # noqa: N815
    is_kept_alive = False
    connection_id = 0
    _n_unreported_bytes = 0
    _n_first_line_bytes = 0
    _n_head_bytes = 0
    _n_discarded_bytes = 0
    _discard_max_bytes = 0
    _is_discarding = False
    _is_head_rejected = False
    _waiting_data = b""
    _parse_call: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the site's open connections."""
        self.MAX_LENGTH = self.factory.read_header_max_bytes()
        super().connectionMade()
        self.transport.bufferSize = READ_BYTES
        if hasattr(self.transport, "getHandle"):
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                handle = self.transport.getHandle()
                handle.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
        self.factory.open_channels.add(self)
        self.connection_id = self.factory.connections.open(self.factory.door, self)
        self.factory.start_sweeps()
        if not self.connection_id:
            self._close_now()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Remove the connection from the site's open connections."""
        self.factory.open_channels.discard(self)
        self.factory.connections.close(self.connection_id)
        if self._parse_call is not None:
            self._parse_call.cancel()
            self._parse_call = None
        super().connectionLost(reason)
        self._release()

    def _release(self) -> None:
        """Drop all that was received.

        It is part of reference cycles, so it would stay until the garbage collector
        runs, and a crowd that reconnects would take the memory many times.
        """
        self._buffer = self._waiting_data = b""
        self._dataBuffer.clear()
        self._transferDecoder = None
        for request in self.requests:
            request.requestHeaders = Headers()
            request.content = io.BytesIO()
        self.requests.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes, or keep them while an earlier request is not answered."""
        if self.connection_id not in self.factory.connections:
            return
        self._n_unreported_bytes += len(data)
        if self._is_head_rejected:
            self._discard(len(data))
        elif self._waiting_data:
            self._waiting_data += data
        else:
            super().dataReceived(data)
        self.report()

    def lineReceived(self, line: bytes) -> Any:  # noqa: N802
        """Parse a line of a head; answer 431 if the head is too large."""
        if self._receivedHeaderSize == 0:
            self._n_first_line_bytes = len(line)
        n_section_bytes = (
            self._receivedHeaderSize + len(line) - self._n_first_line_bytes
        )
        if n_section_bytes > self.factory.read_header_max_bytes():
            return self.lineLengthExceeded(line)
        return super().lineReceived(line)

    def lineLengthExceeded(self, _line: bytes) -> bool:  # noqa: N802
        """Answer 431 and discard what follows; return whether parsing ends."""
        self.factory.record("head", self.connection_id)
        self._buffer = b""
        self._is_head_rejected = True
        self.start_discarding(DISCARDED_HEAD_MAX_BYTES)
        self.transport.write(make_bare_answer(b"431 Request Header Fields Too Large"))
        if hasattr(self.transport, "loseWriteConnection"):
            # The caller sees the end of the answer, and closes without a reset.
            self.transport.loseWriteConnection()
        else:
            self.loseConnection()
        return True

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Note the memory of the head before its body or its answer starts."""
        self._n_head_bytes = self._count_head_bytes()
        self.transport.bufferSize = BODY_READ_BYTES
        self.report()
        if self.length is None:
            limit_bytes = self.factory.read_header_max_bytes()
            decoder: Any = self._transferDecoder
            decoder._maxTrailerHeadersSize = limit_bytes
        super().allHeadersReceived()

    def _send100Continue(self) -> None:  # noqa: N802
        if not self._is_discarding:
            super()._send100Continue()

    def allContentReceived(self) -> None:  # noqa: N802
        """Process the request; reads are small until the next body."""
        self.transport.bufferSize = READ_BYTES
        super().allContentReceived()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep what is sent ahead in one piece, since Twisted adds up all pieces."""
        if self._handlingRequest and self._dataBuffer:
            data = b"".join(self._dataBuffer) + data
            self._dataBuffer.clear()
        super().rawDataReceived(data)

    def setLineMode(self, extra: bytes = b"") -> None:  # noqa: N802
        """Parse requests that were sent ahead in the next turn of the loop."""
        self.line_mode = 1
        if extra:
            self._waiting_data = extra
            self._networkProducer.pauseProducing()
            self._schedule_parse()

    def _schedule_parse(self) -> None:
        if self._parse_call is None and not self._waitingForTransport:
            self._parse_call = self.callLater(0, self._parse_waiting)

    def _parse_waiting(self) -> None:
        self._parse_call = None
        if self._waitingForTransport:
            return
        data, self._waiting_data = self._waiting_data, b""
        self._networkProducer.resumeProducing()
        super().dataReceived(data)
        self.report()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue with what was sent ahead, now that all answers are taken."""
        super().resumeProducing()
        if self._waiting_data:
            self._networkProducer.pauseProducing()
            self._schedule_parse()
        self.report()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Note that a request has ended."""
        self.is_kept_alive = True
        self._n_head_bytes = 0
        self.factory.connections.release_body(self.connection_id)
        super().requestDone(request)
        if self._buffer:
            # Twisted would parse and answer all of it in this turn of the loop.
            data, self._buffer = self._buffer, b""
            self.setLineMode(self._waiting_data + data)
        self.report()

    def is_idle(self) -> bool:
        """Return whether it was kept alive and has no request."""
        has_request = bool(self.requests) or bool(self._waiting_data)
        return self.is_kept_alive and not has_request

    def start_discarding(self, limit_bytes: int) -> None:
        """Discard what the caller sends, up to a limit.

        Callers would not see the answer if the connection closed before.
        """
        self._is_discarding = True
        self._discard_max_bytes = limit_bytes
        self.report()

    def _discard(self, n_bytes: int) -> None:
        self._n_discarded_bytes += n_bytes
        if self._n_discarded_bytes > self._discard_max_bytes:
            self.factory.connections.close(self.connection_id)
            self._close_now()

    def discard_body(self, n_bytes: int) -> None:
        """Count discarded bytes of a body, and close the connection at the limit."""
        self._discard(n_bytes)

    def report(self) -> None:
        """Report what this connection holds."""
        n_moved_bytes, self._n_unreported_bytes = self._n_unreported_bytes, 0
        held = self._count_held()
        self.factory.connections.update(
            self.connection_id, self._find_phase(held), n_moved_bytes, held
        )

    def _find_phase(self, held: HeldBytes) -> Phase:
        if self._is_discarding:
            return Phase.CLOSING
        if held.unread and not self.requests:
            return Phase.UNREAD
        if self._handlingRequest or self._waiting_data:
            return Phase.ANSWER
        if not self.line_mode:
            return Phase.BODY
        return Phase.HEAD if self._buffer or self._receivedHeaderSize else Phase.IDLE

    def _count_held(self) -> HeldBytes:
        transport = self.transport
        unsent = len(getattr(transport, "dataBuffer", b""))
        unsent += getattr(transport, "_tempDataLen", 0)
        return HeldBytes(
            head=self._n_head_bytes or self._count_head_bytes(),
            body=self._count_body_bytes(),
            waiting=len(self._waiting_data) + sum(map(len, self._dataBuffer)),
            unread=unsent - getattr(transport, "offset", 0),
        )

    def _count_head_bytes(self) -> int:
        n_bytes = len(self._buffer) + 2 * self._receivedHeaderSize
        return n_bytes + FIELD_BYTES * self._receivedHeaderCount

    def _count_body_bytes(self) -> int:
        decoder = self._transferDecoder
        n_bytes = len(getattr(decoder, "_buffer", b""))
        n_bytes += TRAILER_BYTES * len(getattr(decoder, "_trailerHeaders", ()))
        request = self.requests[-1] if self.requests else None
        n_body_bytes = getattr(request, "n_body_bytes", 0)
        n_bytes += n_body_bytes if n_body_bytes <= SMALL_BODY_BYTES else 0
        return n_bytes

    def evict(self, reason: str) -> None:
        """Close the connection; answer 408 if a request has begun."""
        has_begun = self._receivedHeaderSize > 0 or not self.line_mode
        is_unread = self._count_held().unread > 0
        self._buffer = self._waiting_data = b""
        request = self.requests[-1] if self.requests else None
        has_answer = request is not None and bool(request.startedWriting)
        if request is not None and request.content is not None:
            request.content.truncate(0)
        if is_unread or reason == "connections":
            self._close_now()
            return
        if has_begun and not has_answer and not self._handlingRequest:
            self.transport.write(make_bare_answer(b"408 Request Timeout"))
        self.loseConnection()

    def _close_now(self) -> None:
        """Close the socket in this turn of the loop, so that its descriptor is free."""
        if hasattr(self.transport, "getHandle"):
            self.transport.connectionLost(Failure(ConnectionAborted()))
        else:
            self.transport.abortConnection()


def make_bare_answer(status: bytes) -> bytes:
    """Return an answer without a body, after which the connection closes."""
    return b"HTTP/1.1 %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % status


class _ShortNames(dict[Any, bytes]):
    """Header names that Twisted keeps for reuse, without long ones.

    It keeps 10,000 names of any length for the life of the process.
    """

    def __setitem__(self, name: Any, encoded: bytes) -> None:
        if len(name) <= KEPT_NAME_MAX_BYTES:
            super().__setitem__(name, encoded)


http_headers._nameEncoder._canonicalHeaderCache = _ShortNames()
