"""A configuration raises the limit of heads while clients keep their connections."""

import asyncio
import sys
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

N_VMS = 2
N_BACKENDS = 6
WORK_S = 0.05
# Clients of each VM; each keeps one connection, and uses it once a second.
N_CLIENTS = 10
PERIOD_S = 1.0
# ``maxHeaderBytes`` of the two versions, and the cookies of small and large heads.
HEADER_MAX_BYTES = 16_384
RAISED_MAX_BYTES = 65_536
SMALL_BYTES = 200
LARGE_BYTES = 20_000
# Time from the acknowledgement of the change to the first large head; the bound
# ``configApplyS`` is 2 s, and a machine is in touch after 3 s without disruption.
LARGE_AFTER_S = 6.0


def make_version(version, header_max_bytes):
    """Return a configuration with a limit of heads."""
    document = make_configuration(version)
    document["limits"]["maxHeaderBytes"] = header_max_bytes
    return document


async def send_all(record, clients, name, cookie_bytes):
    """Send one request of each client; return the statuses."""
    statuses = []
    for number, client in enumerate(clients):
        request_id = f"{name}-{number}"
        headers = [
            ("Request-Id", request_id),
            ("Deadline-Ms", "4000"),
            ("Cookie", "session=" + "x" * cookie_bytes),
        ]
        answer = await client.request("POST", "/holds/x", headers, b"seat")
        statuses.append(answer.status if answer else None)
        record.write(f"{request_id}, {cookie_bytes} bytes of cookie: {statuses[-1]}")
    return statuses


async def main(record):
    """Run the case; return whether the rule held."""
    fleet = Fleet(record, N_VMS)
    try:
        backends = [
            Backend(record, f"i-{n}", fleet.free_address(100 + n), WORK_S)
            for n in range(N_BACKENDS)
        ]
        first_max_bytes = HEADER_MAX_BYTES if TROUBLE else RAISED_MAX_BYTES
        await fleet.start(make_version(1, first_max_bytes), backends)
        clients = [Client(vm.front) for vm in fleet.vms for _ in range(N_CLIENTS)]
        statuses = await send_all(record, clients, "first", SMALL_BYTES)
        if statuses != [200] * len(clients):
            raise NotRunError(f"first requests: {statuses}")
        n_sent = len(statuses)
        if TROUBLE:
            document = make_version(2, RAISED_MAX_BYTES)
            fleet.store.put_json("op", "config", document)
            record.say("the store acknowledges version 2")
        for number in range(int(LARGE_AFTER_S / PERIOD_S)):
            await asyncio.sleep(PERIOD_S)
            n_sent += len(await send_all(record, clients, f"kept{number}", SMALL_BYTES))
        statuses = await send_all(record, clients, "large", LARGE_BYTES)
        # The clients whose connection was closed open a new one.
        again = await send_all(record, clients, "again", LARGE_BYTES)
        n_sent += len(statuses) + len(again)
        denied = [s for s in statuses + again if s is not None and 300 <= s < 500]
        denied = [status for status in denied if status not in (408, 421, 429)]
        record.say(f"{len(denied)} of {n_sent} denied: {denied}; then {again}")
        return len(denied) <= 5 + n_sent / 500
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, main)
