"""Stand-in for a backend of a service."""

import asyncio
import random
import time

from . import http

HEARTBEAT_S = 1.5


class Backend:
    """Registers in the store, runs requests in slots and records what it ran.

    Args:
        store: Store in which it registers.
        server_id: Its id, which it is registered under.
        service: Service that it belongs to.
        zone: Zone of its entry.
        record: Called with a dict for each request that it runs or rejects.
        work_s: Time that a request takes.
        slots: Requests that it runs at once; it queues four times as many.
    """

    def __init__(self, store, server_id, service, zone, record, work_s=0.05, slots=4):
        self.store = store
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.address = ""
        self.extra_headers = {}
        self.answer_bytes = 0  # Least length of an answer's body,
        self.long_prefix = ""  # for targets that begin so.
        self.is_cut_from_store = False
        self.is_running = True
        self.last_beat_at = 0.0
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._tasks = []
        self._writers = set()

    async def start(self, ip="127.0.0.1"):
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        await self.write_entry()
        self._tasks.append(asyncio.create_task(self._beat()))

    def entry(self):
        """Return the entry that it writes into the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "warmupLeftS": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def write_entry(self):
        """Write the entry, as a change."""
        self.last_beat_at = time.time()
        await self.store.put("servers", self.server_id, self.entry())

    async def _beat(self):
        while self.is_running:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_running and not self.is_cut_from_store:
                self.last_beat_at = time.time()
                await self.store.put_quietly("servers", self.server_id, self.entry())

    async def drain(self):
        """Report draining; return when the store has acknowledged it."""
        self.state = "draining"
        await self.write_entry()

    def crash(self):
        """End without a word: the port is closed, and the entry is left behind."""
        self.is_running = False
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def expire(self):
        """Remove the entry after three heartbeat intervals of silence, as the store."""
        due_at = self.last_beat_at + 3 * HEARTBEAT_S
        await asyncio.sleep(max(0.0, due_at - time.time()))
        await self.store.remove("servers", self.server_id)

    async def stop(self):
        """Leave: remove the entry, and close all connections."""
        await self.store.remove("servers", self.server_id)
        self.crash()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await http.read_request(reader)) is not None:
                await self._handle(request, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Instance-Id": self.server_id}
        headers |= self.extra_headers
        target = request.headers.get("target-instance", self.server_id)
        if target != self.server_id:
            await http.write_answer(writer, 421, headers, b"")
            return
        event = {"at": time.time(), "id": request_id, "server": self.server_id}
        event |= {"service": self.service, "target": request.target}
        if self._free.locked() and self._waiting >= 4 * self.slots:
            self.record({**event, "what": "rejected"})
            await http.write_answer(writer, 503, {**headers, "Not-Executed": 1}, b"")
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            self.record({**event, "what": "ran"})
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
        finally:
            self._free.release()
        body = f"{self.server_id} {request_id} {len(request.body)} ".encode()
        if request.target.startswith(self.long_prefix):
            body += b"." * (self.answer_bytes - len(body))
        headers["Backend-Signature"] = f"sig.{self.server_id}.{request_id}"
        await http.write_answer(writer, 200, headers, body)
