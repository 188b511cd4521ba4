"""A backend starts again behind a cut from the store, and then leaves."""

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
N_CLIENTS = 3
PAUSE_S = 0.1
WORK_S = 0.15
DRAIN_S = 2.0
# Times from the start of the cut between the backend and the store.
CRASH_AT_S = 0.1
RESTART_AT_S = 0.4
LEAVE_AT_S = 0.9
# Within three heartbeats of 1.5 s, so the earlier entry doesn't expire.
CUT_S = 4.4
# The next heartbeat after the cut comes within one period of them.
DRAINING_AT_S = CUT_S + 1.3


class LeavingBackend(Backend):
    """Says in its answers that it leaves, from some moment on."""

    is_leaving = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Requests that were answered with the statement.
        self.said = []

    async def handle(self, method, target, headers, body):
        """Run a request."""
        status, extra, data = await super().handle(method, target, headers, body)
        if self.is_leaving:
            extra = [*extra, ("Server-Leaving", "1")]
            request_id = headers.get("request-id", "")
            self.said.append(request_id)
            self.record.write(f"i-0 answers {request_id} with Server-Leaving")
        return status, extra, data


async def send_all(record, vm, number, sent, answered, stop):
    """Send one request after another."""
    client = Client(vm.front)
    sequence = 0
    while not stop.is_set():
        sequence += 1
        request_id = f"c{number}-{sequence}"
        headers = [("Request-Id", request_id), ("Deadline-Ms", "4000")]
        sent[request_id] = record.now_s()
        if number % 2:
            answer = await client.request("GET", f"/tours/{request_id}", headers)
        else:
            target = f"/holds/{request_id}"
            answer = await client.request("POST", target, headers, b"seat")
        answered[request_id] = record.now_s()
        record.write(f"{request_id} {answer.status if answer else None}")
        await asyncio.sleep(PAUSE_S)


async def main(record):
    """Run the case; return whether the rule held."""
    fleet = Fleet(record, 1)
    store = fleet.store
    try:
        first = [
            Backend(record, f"i-{n}", fleet.free_address(100 + n), WORK_S)
            for n in range(N_BACKENDS)
        ]
        await fleet.start(make_configuration(1), first)
        stop = asyncio.Event()
        sent, answered = {}, {}
        clients = [
            asyncio.create_task(send_all(record, fleet.vms[0], n, sent, answered, stop))
            for n in range(N_CLIENTS)
        ]
        await asyncio.sleep(4.0)
        began_s = time.monotonic()

        async def wait_until(after_s):
            await asyncio.sleep(max(0.0, began_s + after_s - time.monotonic()))

        if TROUBLE:
            record.say("i-0 is cut off from the store")
        await wait_until(CRASH_AT_S)
        first[0].crash()
        record.say("i-0 crashed")
        await wait_until(RESTART_AT_S)
        second = LeavingBackend(record, "i-0", first[0].address, WORK_S)
        second.born_ms = int(time.time() * 1000)
        await second.start()
        record.say("i-0 has started again")
        # Behind the cut, this call gets no response, and is performed at its end.
        first_entry = second.entry()
        if not TROUBLE:
            store.put_json("servers", "i-0", first_entry)
        await wait_until(LEAVE_AT_S)
        second.is_leaving = True
        record.say("i-0 leaves")
        if TROUBLE:
            await wait_until(CUT_S)
            store.put_json("servers", "i-0", first_entry)
            record.say("the cut ends, and the store performs the first call of i-0")
            await wait_until(DRAINING_AT_S)
        store.put_json("servers", "i-0", second.entry(state="draining"))
        record.say("i-0 is listed as draining")
        await wait_until(DRAINING_AT_S + 1.0)
        stop.set()
        await asyncio.gather(*clients)
        for at_s, request_id in second.arrivals:
            record.write(f"i-0 got {request_id} at {at_s:.3f}")
        if not second.said:
            # Without the disruption, the VM may know that it leaves before it says so.
            if TROUBLE:
                raise NotRunError("no answer said that i-0 leaves")
            return True
        # A VM has passed an answer on when its client has got it.
        bound_s = min(answered[i] for i in second.said) + DRAIN_S
        late = [i for _, i in second.arrivals if sent[i] > bound_s]
        record.say(f"sent later than {bound_s:.3f}, and reached i-0: {late}")
        return not late
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, main)
