"""HTTP server request that buffers a size-limited body in memory."""

import io
from typing import Any

from twisted.web.http import Request as HttpRequest
from twisted.web.server import NOT_DONE_YET, Request

STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
# Discarded beyond the size of the largest body, so that a caller whose body is a little
# too large can send all of it and then see the refusal.
DISCARDED_MARGIN_BYTES = 1024 * 1024
LOGGED_MAX_CHARACTERS = 200


class BoundedRequest(Request):
    """A request whose body is buffered in memory within limits.

    A body over the limit, or without room in this process, is refused before it is
    read. The rest of it is discarded up to a bound, since callers would not see the
    refusal if the connection closed before.

    Attributes:
        body_max_bytes: Size limit of the body, set by subclasses.
        is_too_large: Whether the body exceeded the limit.
        is_refused: Whether the request is refused, for one or the other reason.
        n_body_bytes: Bytes of the body that are held. The buffer doesn't tell without
            a copy of it.
    """

    body_max_bytes = 0
    is_too_large = False
    is_refused = False
    n_body_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare an in-memory buffer; Twisted would use a temporary file."""
        HttpRequest.gotLength(self, 0)
        self.content = io.BytesIO()
        n_bytes = length or 0
        if n_bytes > self.body_max_bytes:
            self.is_too_large = True
            self.refuse()
        elif not (self.has_room() and self.has_room_for(n_bytes)):
            self.refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk of the body, or discard it."""
        if self.is_refused:
            self.channel.discard_body(len(data))
            return
        n_bytes = self.content.tell() + len(data)
        self.is_too_large = n_bytes > self.body_max_bytes
        if self.is_too_large or not self.has_room_for(n_bytes):
            self.refuse()
        else:
            self.content.write(data)
            self.n_body_bytes = n_bytes

    def has_room(self) -> bool:
        """Return whether this process can hold another request."""
        channel: Any = self.channel
        connections = channel.site.connections
        return channel.connection_id in connections and connections.has_room()

    def has_room_for(self, n_bytes: int) -> bool:
        """Reserve memory for so many bytes; return whether there is room."""
        channel: Any = self.channel
        connections = channel.site.connections
        return bool(connections.reserve(channel.connection_id, n_bytes))

    def refuse(self) -> None:
        """Release the body, and refuse the request before the rest of it arrives."""
        self.is_refused = True
        self.content = io.BytesIO()
        self.n_body_bytes = 0
        channel: Any = self.channel
        self.record_refusal(channel.site, channel.connection_id)
        channel.site.connections.release_body(channel.connection_id)
        channel.start_discarding(self.body_max_bytes + DISCARDED_MARGIN_BYTES)
        self.write_refusal()

    def record_refusal(self, site: Any, connection_id: int) -> None:
        """Count and log the refusal."""
        if self.is_too_large:
            site.record("body_too_large", connection_id)
            return
        request_id = self.getHeader("request-id") or ""
        n_bytes = self.getHeader("content-length") or ""
        site.record(
            "no_memory",
            connection_id,
            "body_refused",
            request_id=request_id[:LOGGED_MAX_CHARACTERS],
            n_bytes=n_bytes[:LOGGED_MAX_CHARACTERS],
        )

    def write_refusal(self) -> None:
        """Write the refusal, unless it is written; the connection closes after it."""
        if self.startedWriting:
            return
        # It isn't known to the request before all of it has arrived.
        self.clientproto = b"HTTP/1.1"
        self.channel.persistent = False
        self.setHeader("connection", "close")
        self.write_refusal_body()

    def write_refusal_body(self) -> None:
        """Write status and body of the refusal."""
        is_large = self.is_too_large
        self.setResponseCode(STATUS_TOO_LARGE if is_large else STATUS_UNAVAILABLE)
        self.setHeader("content-length", "0")
        self.write(b"")

    def process(self) -> Any:
        """End a refused request, or pass it to the site's resource."""
        if self.is_refused:
            self.finish()
            return NOT_DONE_YET
        return super().process()


class SmallRequest(BoundedRequest):
    """A request of the operators' port or the directory, which needs no body."""

    body_max_bytes = 4096
