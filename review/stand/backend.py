"""Stand-in of a backend server, by PROTOCOL.md."""

import asyncio
import time

from review.stand.http1 import make_answer, read_body, read_head

# Time after which an idle connection is closed, as the answers state.
IDLE_S = 10


class Backend:
    """A sound server; ``headers`` are added to each of its answers.

    Attributes:
        arrivals: Time and ``Request-Id`` of each request that named this server.
        runs: Time, id, method, path and body of each request that it ran.
    """

    def __init__(self, server_id, service, run_s=0.05, slots=4, queue=16, zone="a"):
        self.server_id = server_id
        self.service = service
        self.run_s = run_s
        self.slots = slots
        self.queue = queue
        self.zone = zone
        self.headers = []
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.runs = []
        self.answers = []
        self.address = ""
        self._n_open = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen on a port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def register(self, store):
        """Write the entry of this server into the store."""
        self.sequence += 1
        store.put(
            "servers",
            self.server_id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "concurrency": self.slots,
                "state": self.state,
                "warmupLeftS": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                await self.handle(head, body, reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, head, body, reader, writer):
        """Run a request, or refuse it, and write the answer."""
        method, path, _ = head.first.split(" ", 2)
        request_id = head.get("request-id")
        keep_alive = ("Keep-Alive", f"timeout={IDLE_S}")
        base = [("Request-Id", request_id), keep_alive, *self.headers]
        target = head.get("target-instance")
        if target and target != self.server_id:
            writer.write(make_answer(421, [*base, ("Not-Executed", "1")]))
            return
        self.arrivals.append((time.monotonic(), request_id))
        if self._n_open >= self.slots + self.queue:
            self.answers.append((time.monotonic(), request_id, 503))
            writer.write(make_answer(503, [*base, ("Not-Executed", "1")]))
            return
        self._n_open += 1
        try:
            async with self._free:
                self.runs.append((time.monotonic(), request_id, method, path, body))
                await asyncio.sleep(self.run_s)
        finally:
            self._n_open -= 1
        await self.answer(head, request_id, base, writer)

    async def answer(self, head, request_id, base, writer):
        """Write the answer of a request that ran."""
        data = f"{self.server_id} {request_id}".encode()
        signed = [*base, ("Backend-Signature", f"{self.server_id}.{request_id}")]
        self.answers.append((time.monotonic(), request_id, 200))
        writer.write(make_answer(200, signed, data))
        await writer.drain()
