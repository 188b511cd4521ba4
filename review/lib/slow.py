"""Stand-in for clients on slow links."""

import asyncio
import socket
import time

from . import http

PIECE_BYTES = 16384


class SlowClient:
    """A client on a slow link that keeps its connection."""

    def __init__(self, address, link_bytes_per_s):
        self.address = address
        self.link_bytes_per_s = link_bytes_per_s
        self.socket = None

    async def open(self):
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self.socket = socket.socket()
        # As on a link of packets, where the kernel can't take over a whole answer.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        self.socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))

    async def send(self, method, target, headers, body):
        """Return status, announced length and received length of the answer's body."""
        loop = asyncio.get_running_loop()
        request = http.encode_request(method, target, headers, body)
        await loop.sock_sendall(self.socket, request)
        started_s = None
        head = b""
        n_received = 0
        length = status = None
        while length is None or n_received < length:
            part = await loop.sock_recv(self.socket, PIECE_BYTES)
            if not part:
                break
            started_s = started_s or time.monotonic()
            if length is None:
                head += part
                fields, separator, body = head.partition(b"\r\n\r\n")
                if not separator:
                    continue
                lines = fields.lower().split(b"\r\n")
                headers = dict(line.split(b": ", 1) for line in lines[1:])
                status = int(lines[0].split()[1])
                length = int(headers[b"content-length"])
                part = body
            n_received += len(part)
            due_s = started_s + n_received / self.link_bytes_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        if length is None:
            raise EOFError("closed before an answer")
        return status, length, n_received
