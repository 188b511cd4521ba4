"""A small deployment that takes uploads, and the platform's guard of its memory."""

import asyncio
import collections
import itertools
import os
from pathlib import Path

from review.stand.backend import Backend
from review.stand.case import Result
from review.stand.client import make_request, read_answer
from review.stand.fleet import Fleet, make_configuration
from review.stand.store import Store

MEMORY_MB = 300
BYTES_PER_MB = 1 << 20
# Limits of the configuration that the pages show as an example.
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67_108_864,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
}
RESTART_S = 0.5
N_ORDINARY = 6
ORDINARY_BYTES = 300
ORDINARY_PAUSE_S = 0.1
# LOST: more than three such requests break it.
LOST_MAX = 3
# Fault: three ends on two machines or more.
ENDS_MIN = 3
MACHINES_MIN = 2


class UploadCase:
    """Two machines before servers of one service, and what their clients saw.

    Args:
        n_servers: Number of servers.
        n_slots: Requests that each runs at once.
        n_queued: Requests that wait at each.
        run_s: Time that a request takes.
    """

    def __init__(self, n_servers, n_slots=4, n_queued=16, run_s=0.29):
        self.store = Store()
        self.fleet = None
        self.servers = [
            Backend(f"i-{n}", "bokning", run_s=run_s, slots=n_slots, queue=n_queued)
            for n in range(n_servers)
        ]
        self.vms = []
        self.outcomes = collections.Counter()
        self.peak_bytes = collections.Counter()
        self.ends = collections.Counter()
        self.unanswered = []
        self.is_over = False

    async def start(self):
        """Start the servers and the machines."""
        await self.store.start()
        self.fleet = Fleet(self.store)
        route = {
            "name": "seat-hold",
            "prefix": "/hold/",
            "kind": "unsafe",
            "service": "bokning",
            "timeoutS": 2.5,
        }
        document = make_configuration(1, [route], ["bokning"], limits=LIMITS)
        self.store.put("op", "config", document)
        for server in self.servers:
            await server.start()
            server.register(self.store)
        self.vms = [self.fleet.add(n, memory_mb=str(MEMORY_MB)) for n in (1, 2)]
        for vm in self.vms:
            vm.start()
        await self.fleet.wait_ready()

    async def play(self, seconds, make_uploaders):
        """Let ordinary clients and uploading ones send for a while.

        Args:
            seconds: How long.
            make_uploaders: Returns the uploading clients of a machine.
        """
        tasks = []
        for vm in self.vms:
            clients = [
                self.run_client(
                    f"ordinary-{vm.name}-{n}", vm, ORDINARY_BYTES, ORDINARY_PAUSE_S
                )
                for n in range(N_ORDINARY)
            ]
            for client in (self._guard_memory(vm), *clients, *make_uploaders(vm)):
                tasks.append(asyncio.create_task(client))
        await asyncio.sleep(seconds)
        self.is_over = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _guard_memory(self, vm):
        """Kill a process that exceeds its memory and start it again: the platform."""
        while not self.is_over:
            n_bytes = read_resident_bytes(vm)
            self.peak_bytes[vm.name] = max(self.peak_bytes[vm.name], n_bytes)
            if n_bytes > MEMORY_MB * BYTES_PER_MB:
                self.ends[vm.name] += 1
                vm.process.kill()
                vm.process.wait()
                await asyncio.sleep(RESTART_S)
                vm.start()
            await asyncio.sleep(0.005)

    async def run_client(self, name, vm, n_bytes, pause_s):
        """Send requests over a kept connection, each after the last one's answer."""
        writers = []
        try:
            await self._send_requests(name, vm, n_bytes, pause_s, writers)
        finally:
            for writer in writers:
                writer.transport.abort()

    async def _send_requests(self, name, vm, n_bytes, pause_s, writers):
        host, _, port = vm.front.rpartition(":")
        kind = name.partition("-")[0]
        writer = None
        n_sent_here = 0
        for sequence in itertools.count():
            request_id = f"{name}-{sequence}"
            answer = None
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    n_sent_here = 0
                    writers[:] = [writer]
                writer.write(make_upload(request_id, n_bytes))
                await writer.drain()
                answer = await read_answer(reader, request_id, 0.0)
                self.outcomes[f"{kind} {answer.status or 'cut'}"] += 1
            except OSError as error:
                self.outcomes[f"{kind} {type(error).__name__}"] += 1
            is_cut = answer is None or not answer.status
            if is_cut and n_sent_here:
                self.unanswered.append((request_id, vm.name))
            n_sent_here += 1
            if is_cut or answer.head.get("connection") == "close":
                if writer is not None:
                    writer.close()
                writer = None
            await asyncio.sleep(0.2 if is_cut else pause_s)

    def make_result(self, lines):
        """Return the result by both rules, after lines on the uploads."""
        run_ids = {run[1] for server in self.servers for run in server.runs}
        lost = [row for row in self.unanswered if row[0] in run_ids]
        n_machines = sum(n >= ENDS_MIN for n in self.ends.values())
        machines = [
            f"{vm.name}: peak {self.peak_bytes[vm.name] / BYTES_PER_MB:.0f} MiB of"
            f" {MEMORY_MB} MiB, ended {self.ends[vm.name]} times over its memory"
            for vm in self.vms
        ]
        all_lines = [
            *lines,
            f"outcomes: {dict(sorted(self.outcomes.items()))}",
            f"requests that servers ran: {sum(len(s.runs) for s in self.servers)}",
            *machines,
            f"LOST: {len(lost)} requests of kept connections were run, and their"
            f" connection ended without an answer (at most {LOST_MAX} allowed)",
            *(f"  {request_id} at {name}" for request_id, name in lost[:20]),
            f"Fault: {n_machines} machines on which a process ended {ENDS_MIN} times"
            f" or more ({MACHINES_MIN} break it)",
        ]
        is_broken = len(lost) > LOST_MAX or n_machines >= MACHINES_MIN
        return Result(all_lines, is_broken)

    def stop(self):
        """End all processes."""
        if self.fleet is not None:
            self.fleet.stop()


def make_upload(request_id, n_bytes):
    """Return an unsafe request with a body of so many bytes."""
    return make_request(
        request_id, path="/hold/1", method="POST", body=bytes(n_bytes), deadline_ms=5000
    )


def read_resident_bytes(vm):
    """Return the resident memory of a machine's process, 0 if it has ended."""
    try:
        text = Path(f"/proc/{vm.process.pid}/statm").read_text()
    except OSError:
        return 0
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
