"""Stand-in for clients."""

import asyncio

from . import http


async def send(address, method, target, headers, body=b""):
    """Send a request on a connection of its own and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(http.encode_request(method, target, headers, body))
        await writer.drain()
        return await http.read_answer(reader)
    finally:
        writer.close()


class Connection:
    """A connection that is kept for one request after another."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def open(self):
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))

    async def send(self, method, target, headers, body=b""):
        """Send a request and return the answer; connect first if necessary."""
        if self._streams is None:
            await self.open()
        reader, writer = self._streams
        writer.write(http.encode_request(method, target, headers, body))
        await writer.drain()
        answer = await http.read_answer(reader)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        """Close the connection, if it is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
