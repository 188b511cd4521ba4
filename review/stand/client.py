"""Stand-in of a client."""

import asyncio
import time

from review.stand.http1 import read_body, read_head

HOST = "tours.example"


class Answer:
    """What a client got: status 0 if the connection ended without a whole answer."""

    def __init__(self, request_id, status, head, body, sent_at, ended_at, error=""):
        self.request_id = request_id
        self.status = status
        self.head = head
        self.body = body
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.error = error


def make_request(
    request_id, path="/look/1", method="GET", body=b"", deadline_ms=4000, headers=()
):
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, request_id, sent_at):
    """Read one answer."""
    try:
        head = await read_head(reader)
        if head is None:
            return Answer(request_id, 0, None, b"", sent_at, time.monotonic(), "closed")
        body = await read_body(reader, head)
    except (OSError, asyncio.IncompleteReadError) as error:
        name = type(error).__name__
        return Answer(request_id, 0, None, b"", sent_at, time.monotonic(), name)
    status = int(head.first.split(" ")[1])
    return Answer(request_id, status, head, body, sent_at, time.monotonic())


async def send(address, request_id, timeout_s=10.0, **fields):
    """Send a request over a connection of its own and return the answer."""
    host, _, port = address.rpartition(":")
    sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(make_request(request_id, **fields))
            return await read_answer(reader, request_id, sent_at)
    except (OSError, TimeoutError) as error:
        name = type(error).__name__
        return Answer(request_id, 0, None, b"", sent_at, time.monotonic(), name)
    finally:
        if writer is not None:
            writer.close()
