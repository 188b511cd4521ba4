"""Three of nine machines are cut off from the store, and the others learn nothing."""

import asyncio
import time

from review.stand.backend import Backend
from review.stand.case import HAS_TROUBLE, Result, run_case
from review.stand.client import send
from review.stand.fleet import Fleet, make_configuration
from review.stand.store import Store

ZONE = "vastkust-a"
N_VMS = 9
# A third of the machines; the pages allow 0.35.
CUT_NUMBERS = (2, 3, 9)
CUT_S = 12.0
# Time from the cut to the change, and of calm before the cut.
CHANGE_AFTER_S = 1.0
CALM_S = 4.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
DRAIN_S = 2.0
REQUESTS_PER_S = 10.0
AFTER_S = 3.0


class Case:
    """The small deployment, its clients and what they saw."""

    def __init__(self):
        self.store = Store()
        self.fleet = None
        self.doors = {}
        self.sent = {}
        self.statuses = {}
        self.is_over = False
        self.old = [self._make("old", n) for n in range(3)]
        self.new = [self._make("new", n) for n in range(3)]
        self.desk = [self._make("desk", n) for n in range(4)]

    def _make(self, service, number):
        return Backend(f"i-{service}-{number}", service, run_s=0.05, zone=ZONE)

    async def start(self):
        """Start the servers and the machines."""
        await self.store.start()
        self.fleet = Fleet(self.store)
        for server in [*self.old, *self.new, *self.desk]:
            await server.start()
            server.register(self.store)
        self.put_configuration(1, "old")
        for number in range(1, N_VMS + 1):
            door = await self.store.open_door()
            self.doors[number] = door
            vm = self.fleet.add(number, zone=ZONE, store=door.address)
            vm.start()
        await self.fleet.wait_ready()

    def put_configuration(self, version, service):
        """Write a configuration that sends look-ups to a service."""
        routes = [
            {"name": "lookup", "prefix": "/look/", "service": service},
            {"name": "hold", "prefix": "/hold/", "service": "desk", "kind": "unsafe"},
        ]
        services = ["old", "new", "desk"]
        self.store.put("op", "config", make_configuration(version, routes, services))

    async def send_requests(self, number, vm):
        """Send requests to a machine at a steady rate, by turns on both routes."""
        sequence = 0
        tasks = []
        while not self.is_over:
            sequence += 1
            is_hold = sequence % 2
            request_id = f"m{number}-{sequence}"
            fields = {"path": "/hold/1", "method": "POST", "body": b"hold"}
            if not is_hold:
                fields = {"path": "/look/1"}
            self.sent[request_id] = time.monotonic()
            tasks.append(asyncio.create_task(self._send(vm, request_id, fields)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self, vm, request_id, fields):
        answer = await send(vm.front, request_id, **fields)
        self.statuses[request_id] = answer.status

    def find_late(self, servers, from_s):
        """Return requests of machines in touch that were sent late and reached them."""
        in_touch = {
            f"m{n}"
            for n in range(1, N_VMS + 1)
            if not HAS_TROUBLE or n not in CUT_NUMBERS
        }
        return sorted(
            (self.sent[request_id] - from_s, request_id, server.server_id)
            for server in servers
            for _at_s, request_id in server.arrivals
            if request_id.split("-")[0] in in_touch and self.sent[request_id] > from_s
        )


def count_watches(door, from_s):
    """Return how many watches of the store came through a door from a time on."""
    return sum("rows-feed" in target for at_s, _, target in door.calls if at_s > from_s)


def describe_last(rows, bound_s):
    """Return when the last of some late requests was sent, as a part of a line."""
    if not rows:
        return ""
    return f"; the last was sent {max(rows)[0] + bound_s:.2f} s after it"


async def play():
    """Play the case and return its result."""
    case = Case()
    try:
        await case.start()
        traffic = [
            asyncio.create_task(case.send_requests(n, vm))
            for n, vm in enumerate(case.fleet.vms, 1)
        ]
        await asyncio.sleep(CALM_S)
        cut_at = time.monotonic()
        if HAS_TROUBLE:
            for number in CUT_NUMBERS:
                case.doors[number].cut()
        await asyncio.sleep(CHANGE_AFTER_S)
        acked_at = time.monotonic()
        case.put_configuration(2, "new")
        leaving = case.desk[0]
        leaving.state = "draining"
        leaving.register(case.store)
        await asyncio.sleep(cut_at + CUT_S - time.monotonic())
        for door in case.doors.values():
            door.heal()
        await asyncio.sleep(AFTER_S)
        case.is_over = True
        await asyncio.gather(*traffic)
        late = case.find_late(case.old, acked_at + CONFIG_APPLY_S)
        very_late = case.find_late(case.old, acked_at + CONFIG_APPLY_S + MAX_STRETCH_S)
        drained = case.find_late([leaving], acked_at + DRAIN_S)
        is_broken = bool(late or drained)
        feeds = [
            f"machine {n}: {count_watches(door, cut_at)}"
            for n, door in case.doors.items()
        ]
        last_old = describe_last(late, CONFIG_APPLY_S)
        last_drained = describe_last(drained, DRAIN_S)
        lines = [
            f"machines: {N_VMS}, cut off from the store for {CUT_S} s:"
            f" {CUT_NUMBERS if HAS_TROUBLE else 'none'}",
            f"requests sent: {len(case.sent)}, answered 200:"
            f" {sum(s == 200 for s in case.statuses.values())}",
            f"watches of the store from the cut on: {', '.join(feeds)}",
            f"CONFIG: {len(late)} requests, sent to machines that were not cut off"
            f" later than {CONFIG_APPLY_S} s after the acknowledgement, were run by the"
            f" old service{last_old}",
            f"  of these, later than {CONFIG_APPLY_S + MAX_STRETCH_S} s after it:"
            f" {len(very_late)}",
            f"DRAIN: {len(drained)} requests, sent so later than {DRAIN_S} s after the"
            f" acknowledgement, reached the draining server{last_drained}",
            *(
                f"  {late_s:.2f} s after the bound: {request_id} at {server_id}"
                for late_s, request_id, server_id in [*late[:5], *drained[:5]]
            ),
        ]
        return Result(lines, is_broken)
    finally:
        if case.fleet is not None:
            case.fleet.stop()


if __name__ == "__main__":
    run_case(__file__, play)
