"""A server in need names its limit as a decimal number with many digits."""

import asyncio
import time

from review.stand.backend import Backend
from review.stand.case import HAS_TROUBLE, Result, run_case
from review.stand.client import send
from review.stand.fleet import Fleet, make_configuration
from review.stand.store import Store

# Eight requests in three seconds, as a server writes the quotient.
LIMIT_PER_S = 8 / 3
LIMIT_TEXT = str(LIMIT_PER_S) if HAS_TROUBLE else f"{LIMIT_PER_S:.3f}"
N_VMS = 4
SLOTS = 4
RUN_S = 0.15
REQUESTS_PER_S = 20.0
CALM_S = 4.0
NEED_S = 15.0
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
KNOWN_S = 0.5


class Case:
    """The small deployment, its clients and what they saw."""

    def __init__(self):
        self.store = Store()
        self.fleet = None
        self.servers = [
            Backend(f"i-{n}", "bokning", run_s=RUN_S, slots=SLOTS, queue=16)
            for n in range(3)
        ]
        self.known_at = {}
        self.statuses = []
        self.is_over = False

    async def start(self):
        """Start the servers and the machines."""
        await self.store.start()
        self.fleet = Fleet(self.store)
        route = {"name": "slot-lookup", "prefix": "/look/", "service": "bokning"}
        document = make_configuration(1, [route], ["bokning"])
        self.store.put("op", "config", document)
        for server in self.servers:
            await server.start()
            server.register(self.store)
        for number in range(1, N_VMS + 1):
            self.fleet.add(number).start()
        await self.fleet.wait_ready()

    async def send_requests(self):
        """Send safe requests at a steady rate, to the machines by turns."""
        tasks = []
        sequence = 0
        started = time.monotonic()
        while not self.is_over:
            sequence += 1
            vm = self.fleet.vms[sequence % N_VMS]
            tasks.append(asyncio.create_task(self._send(vm, f"{vm.name}/{sequence}")))
            due = started + sequence / REQUESTS_PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))
        await asyncio.gather(*tasks)

    async def _send(self, vm, request_id):
        answer = await send(vm.front, request_id)
        self.statuses.append(answer.status)
        if answer.status and answer.head.get("server-limit"):
            self.known_at.setdefault(vm.name, answer.ended_at)


async def play():
    """Play the case and return its result."""
    case = Case()
    limited = case.servers[0]
    try:
        await case.start()
        traffic = asyncio.create_task(case.send_requests())
        await asyncio.sleep(CALM_S)
        limited.headers = [("Server-Limit", LIMIT_TEXT)]
        named_at = time.monotonic()
        await asyncio.sleep(NEED_S)
        case.is_over = True
        await traffic
        # Of machines that had passed on such an answer half a second before.
        times = sorted(
            at_s
            for at_s, request_id in limited.arrivals
            if at_s > named_at + STABLE_WINDOW_S
            and case.known_at.get(request_id.split("/")[0], at_s) < at_s - KNOWN_S
        )
        worst, begin_s = max(
            ((sum(t <= u < t + WINDOW_S for u in times), t) for t in times),
            default=(0, named_at),
        )
        allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
        is_broken = worst > allowed
        lines = [
            f"header: Server-Limit: {LIMIT_TEXT}",
            f"requests for the service, of three servers: {REQUESTS_PER_S} a second;"
            f" answered 200: {case.statuses.count(200)} of {len(case.statuses)}",
            f"machines that had passed on an answer with it: {len(case.known_at)}"
            f" of {N_VMS}",
            f"arrivals at the limited server, from {STABLE_WINDOW_S} s after it first"
            f" named it: {len(times)} in {NEED_S - STABLE_WINDOW_S} s",
            f"most in {WINDOW_S} s: {worst}, from {begin_s - named_at:.2f} s after it"
            f" first named it; allowed {allowed:.1f}",
        ]
        return Result(lines, is_broken)
    finally:
        if case.fleet is not None:
            case.fleet.stop()


if __name__ == "__main__":
    run_case(__file__, play)
