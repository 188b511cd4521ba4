"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
from typing import NamedTuple

REASONS = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request"}


class Message(NamedTuple):
    """A request or an answer; names of headers are in lower case."""

    method: str
    target: str
    status: int
    headers: dict
    body: bytes


async def _read_headers(reader):
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line:
            raise asyncio.IncompleteReadError(b"", None)
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    """Return the next request of a connection, None after its end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = await _read_headers(reader)
    return Message(method, target, 0, headers, await _read_body(reader, headers))


async def read_answer(reader):
    """Return a whole answer; raise IncompleteReadError if it is broken off."""
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b"", None)
    status = int(line.split()[1])
    headers = await _read_headers(reader)
    return Message("", "", status, headers, await _read_body(reader, headers))


async def write_answer(writer, status, headers, body):
    """Write an answer with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    await writer.drain()


def encode_request(method, target, headers, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
