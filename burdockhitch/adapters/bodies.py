"""HTTP server request that buffers a size-limited body in memory."""

import io

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Request


class BoundedRequest(Request):
    """A request whose body is buffered in memory up to a size limit.

    Attributes:
        body_max_bytes: Size limit of the body, set by subclasses.
        is_too_large: Whether the body exceeded the limit; the excess is discarded.
    """

    body_max_bytes = 0
    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare an in-memory buffer; Twisted would use a temporary file."""
        HttpRequest.gotLength(self, 0)
        self.content = io.BytesIO()
        self.is_too_large = (length or 0) > self.body_max_bytes

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk of the body unless the limit is exceeded."""
        n_bytes = self.content.tell() + len(data)
        if n_bytes > self.body_max_bytes:
            self.is_too_large = True
        if not self.is_too_large and self.has_room_for(n_bytes):
            self.content.write(data)

    def has_room_for(self, _n_bytes: int) -> bool:
        """Return whether this process can hold so many bytes of the body."""
        return True
