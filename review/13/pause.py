"""A backend starts again behind a cut from the store, and asks for a pause."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib3"))

from harness import (  # noqa: E402
    TROUBLE,
    Backend,
    Client,
    Fleet,
    NotRunError,
    make_configuration,
    run_case,
)

N_BACKENDS = 3
N_CLIENTS = 5
WORK_S = 0.22
# Length of the cut between the backend and the store, within three heartbeats (4.5 s).
CUT_S = 4.0
# Time from the cut to the crash, and from then until the new process listens.
CRASHES_AFTER_S = 0.5
STARTS_AFTER_S = 0.5
# Time for which the new process turns requests away, from the first one.
FULL_S = 0.5
PAUSE_S = 5
# Most requests of a machine in the pause, from half a second after its statement.
ARRIVALS_MAX = 2
ARRIVALS_FROM_S = 0.5


class StartingBackend(Backend):
    """Turns requests away until it has started wholly, with a pause."""

    is_starting = True
    stated_at_s = None

    async def handle(self, method, target, headers, body):
        """Turn a request away while starting, or run it."""
        if not self.is_starting:
            return await super().handle(method, target, headers, body)
        if self.stated_at_s is None:
            self.stated_at_s = self.record.now_s()
        request_id = headers.get("request-id", "")
        self.record.say(f"{self.server_id} answers {request_id} 503, pause {PAUSE_S} s")
        return 503, [("Not-Executed", "1"), ("Retry-After", PAUSE_S)], b""


async def send_all(record, vm, number, stop):
    """Send one request after another."""
    client = Client(vm.front)
    sequence = 0
    while not stop.is_set():
        sequence += 1
        request_id = f"c{number}-{sequence}"
        headers = [("Request-Id", request_id), ("Deadline-Ms", "4000")]
        answer = await client.request("GET", f"/tours/{request_id}", headers)
        record.write(f"{request_id} {answer.status if answer else None}")
        await asyncio.sleep(0.02)


async def list_process(record, fleet, backend, after_s):
    """Write the entry of a process as soon as it reaches the store."""
    await asyncio.sleep(after_s)
    fleet.store.put_json("servers", backend.server_id, backend.entry())
    record.say("the new process of i-0 is listed")


async def end_start(backend):
    """Let a process take requests, some time after the first one that it refused."""
    until_s = time.monotonic() + 10.0
    while backend.stated_at_s is None and time.monotonic() < until_s:
        await asyncio.sleep(0.02)
    await asyncio.sleep(FULL_S)
    backend.is_starting = False


async def main(record):
    """Run the case; return whether the rule held."""
    fleet = Fleet(record, 1)
    try:
        first = [
            Backend(record, f"i-{n}", fleet.free_address(100 + n), WORK_S)
            for n in range(N_BACKENDS)
        ]
        await fleet.start(make_configuration(1), first)
        stop = asyncio.Event()
        clients = [
            asyncio.create_task(send_all(record, fleet.vms[0], n, stop))
            for n in range(N_CLIENTS)
        ]
        await asyncio.sleep(4.0)
        cut_at_s = time.monotonic()
        if TROUBLE:
            record.say("i-0 is cut from the store")
        await asyncio.sleep(CRASHES_AFTER_S)
        first[0].crash()
        record.say("i-0 crashed")
        await asyncio.sleep(STARTS_AFTER_S)
        second = StartingBackend(record, "i-0", first[0].address, WORK_S)
        second.born_ms = int(time.time() * 1000)
        await second.start()
        record.say("i-0 takes connections again")
        if TROUBLE:
            listed_after_s = cut_at_s + CUT_S - time.monotonic()
        else:
            listed_after_s = 0.0
        await asyncio.gather(
            list_process(record, fleet, second, listed_after_s),
            end_start(second),
        )
        await asyncio.sleep(PAUSE_S + 0.5)
        stop.set()
        await asyncio.gather(*clients)
        if second.stated_at_s is None:
            raise NotRunError("the new process got no request")
        since_s = second.stated_at_s + ARRIVALS_FROM_S
        until_s = second.stated_at_s + PAUSE_S
        late = [(at, i) for at, i in second.arrivals if since_s < at < until_s]
        for at_s, request_id in second.arrivals:
            record.write(f"i-0 got {request_id} at {at_s:.3f}")
        record.say(f"{len(late)} requests reached i-0 in the pause")
        return len(late) <= ARRIVALS_MAX
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, main)
