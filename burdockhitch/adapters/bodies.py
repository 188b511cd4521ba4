"""A caller's request whose body stays in memory."""

import io

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Request


class BoundedRequest(Request):
    """A request whose body stays in memory and below a bound."""

    body_max_bytes = 0
    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for the body without a file."""
        HttpRequest.gotLength(self, 0)
        self.content = io.BytesIO()
        self.is_too_large = (length or 0) > self.body_max_bytes

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body unless it is too large."""
        if self.content.tell() + len(data) > self.body_max_bytes:
            self.is_too_large = True
        if not self.is_too_large:
            self.content.write(data)
