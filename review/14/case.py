"""Clients send requests ahead on their connections, and leave."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib3"))

from harness import (  # noqa: E402
    HOST,
    TROUBLE,
    Backend,
    Fleet,
    NotRunError,
    make_configuration,
    make_message,
    open_connection,
    read_answer,
    run_case,
)

N_BACKENDS = 6
# Longest work of a ``slot-lookup``, and the time-out of its route.
WORK_S = 2.1
TIMEOUT_S = 3.0
N_CLIENTS = 15
PERIOD_S = 0.6
# Requests that a client sends at once, and the bytes of a header of each.
N_AHEAD = 8
COOKIE_BYTES = 3000
LEAVES_AFTER_S = 0.35
ALLOWED_S = 0.5


class CloseAwareBackend(Backend):
    """Drops a request when its connection closes, and notes how long it worked."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Times of begin and end by request.
        self.work = {}

    async def _respond(self, head, body, reader, writer):
        request_id = head[1].get("request-id", "")
        if head[0].split(" ")[1] == "/health":
            return await super()._respond(head, body, reader, writer)
        self.arrivals.append((self.record.now_s(), request_id))
        began_s = self.record.now_s()
        async with self.slots:
            closed = asyncio.create_task(reader.read(1))
            await asyncio.wait({closed}, timeout=WORK_S)
            self.work[request_id] = (began_s, self.record.now_s())
            if closed.done():
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
        data = f"{self.server_id} ran {request_id}".encode()
        names = [
            ("Request-Id", request_id),
            ("Backend-Signature", f"{self.server_id}.{request_id}"),
            ("Content-Length", len(data)),
        ]
        writer.write(make_message("HTTP/1.1 200 OK", names, data))
        await writer.drain()
        return True


async def send_ahead(record, vm, number, left_at_s):
    """Send requests at once; leave before the first answer, or read all of them."""
    reader, writer = await open_connection(vm.front)
    ids = [f"c{number}-{n}" for n in range(N_AHEAD)]
    for request_id in ids:
        names = [
            ("Host", HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", "4000"),
            ("Cookie", "s=" + "x" * COOKIE_BYTES),
        ]
        writer.write(make_message(f"GET /tours/{request_id} HTTP/1.1", names))
    record.write(f"{ids[0]} to {ids[-1]} sent")
    if TROUBLE:
        await asyncio.sleep(LEAVES_AFTER_S)
        for request_id in ids:
            left_at_s[request_id] = record.now_s()
        record.write(f"c{number} leaves")
    else:
        for request_id in ids:
            answer = await read_answer(reader)
            record.write(f"{request_id} {answer.status if answer else None}")
            if answer is None:
                break
    writer.close()


async def main(record):
    """Run the case; return whether the rule held."""
    fleet = Fleet(record, 1)
    try:
        backends = [
            CloseAwareBackend(record, f"i-{n}", fleet.free_address(100 + n), WORK_S)
            for n in range(N_BACKENDS)
        ]
        await fleet.start(make_configuration(1, None, 1 << 20, TIMEOUT_S), backends)
        left_at_s = {}
        clients = []
        for number in range(N_CLIENTS):
            clients.append(
                asyncio.create_task(send_ahead(record, fleet.vms[0], number, left_at_s))
            )
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*clients)
        await asyncio.sleep(WORK_S + 1.0)
        n_late_arrivals = n_long = n_at_work = 0
        for backend in backends:
            for at_s, request_id in backend.arrivals:
                record.write(f"{backend.server_id} got {request_id} at {at_s:.3f}")
                if at_s > left_at_s.get(request_id, at_s) + ALLOWED_S:
                    n_late_arrivals += 1
            for request_id, (began_s, ended_s) in backend.work.items():
                record.write(f"{request_id} worked {began_s:.3f} to {ended_s:.3f}")
                if request_id not in left_at_s or began_s > left_at_s[request_id]:
                    continue
                bound_s = left_at_s[request_id] + ALLOWED_S
                n_long += began_s + WORK_S > bound_s
                n_at_work += ended_s > bound_s
        if not any(backend.arrivals for backend in backends):
            raise NotRunError("no request arrived")
        record.say(
            f"{n_late_arrivals} requests arrived over {ALLOWED_S} s after the close; "
            f"{n_at_work} of {n_long} were still at work then"
        )
        return n_late_arrivals <= 3 and n_at_work <= n_long / 4
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, main)
