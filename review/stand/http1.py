"""Reading and writing HTTP/1.1 messages on asyncio streams."""

import asyncio


class Head:
    """First line and headers of a message; header names are in lower case."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=""):
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), default)


async def read_head(reader):
    """Return the head of the next message, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Return the body that the head announces, by length or in chunks."""
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    length = int(head.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def make_answer(status, headers=(), body=b"", reason="X"):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
