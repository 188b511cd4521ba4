"""Runs a small fleet with the platform front end under faults.

One backend server fails all requests, the row store stops answering, one entry VM
is killed and one is stopped with SIGTERM. The exit code is 0 only if no unsafe
request ran twice, no answer belonged to another request, no request refused as
not run had run, and no server ran a request that no caller sent.
"""

import json
import signal
import sys
from collections import Counter
from typing import Any, NamedTuple

import typer

from tools import fleet as tool
from tools import platform_fleet as platform

N_VMS = 4
N_SERVERS = 5
N_REQUESTS = 150


class PlatformDemoResult(NamedTuple):
    """Counts of the demo run.

    Attributes:
        outcomes: Answers by HTTP status; 0 stands for no answer.
        n_duplicated_requests: Unsafe requests that ran more than once.
        n_mismatched: Successful answers that belong to another request.
        n_false_not_run: Unsafe requests refused with 503, as not run, that had run.
        n_unknown_ids: Request ids that a backend server ran and no caller sent.
    """

    outcomes: Counter[int]
    n_duplicated_requests: int
    n_mismatched: int
    n_false_not_run: int
    n_unknown_ids: int


def _inject_fault(fleet: platform.PlatformFleet, number: int) -> None:
    """Cause the fault that is due before this request, if any."""
    server_address = fleet.servers[0].address
    if number == 30:
        tool.put_json(server_address, "/standin/behaviour", {"error_ratio": 1.0})
    elif number == 60:
        tool.put_json(fleet.store_address, "/standin/faults", {"silent": ["*"]})
    elif number == 90:
        fleet.vms[-1].process.kill()
    elif number == 110:
        fleet.vms[-2].process.send_signal(signal.SIGTERM)


def _send(addresses: list[str], number: int) -> tuple[int, bool]:
    """Send a request; return its status and whether the answer belongs to it.

    The status is 0 without an answer. Only successful answers are checked.
    """
    is_unsafe = number % 3 > 0
    method, path = ("POST", "/holds/") if is_unsafe else ("GET", "/tours/")
    address = addresses[number % len(addresses)]
    try:
        answer = platform.send_caller_request(
            address, f"call-{number}", f"{path}{number}", method
        )
    except OSError:
        return 0, True
    if answer.status != 200:
        return answer.status, True
    return answer.status, json.loads(answer.body)["path"] == f"{path}{number}"


def _count_runs(fleet: platform.PlatformFleet) -> Counter[str]:
    """Return how often the backend servers ran each request, by request id."""
    runs: Counter[str] = Counter()
    for server in fleet.servers:
        records = tool.get_json(server.address, "/standin/records")["records"]
        runs.update(record["request_id"] for record in records)
    return runs


def run_demo() -> PlatformDemoResult:
    """Send 150 requests to a fleet, inject the faults and return the counts."""
    results_by_id: dict[str, Any] = {}
    with platform.run_platform_fleet(N_VMS, N_SERVERS) as fleet:
        addresses = platform.resolve_addresses(fleet.vms[0])
        for number in range(N_REQUESTS):
            _inject_fault(fleet, number)
            if number % 10 == 0:
                addresses = platform.resolve_addresses(fleet.vms[0]) or addresses
            results_by_id[f"call-{number}"] = _send(addresses, number)
        runs = _count_runs(fleet)
    unsafe_ids = [f"call-{number}" for number in range(N_REQUESTS) if number % 3 > 0]
    return PlatformDemoResult(
        outcomes=Counter(status for status, _is_own in results_by_id.values()),
        n_duplicated_requests=sum(runs[request_id] > 1 for request_id in unsafe_ids),
        n_mismatched=sum(not is_own for _status, is_own in results_by_id.values()),
        n_false_not_run=sum(
            runs[request_id] > 0 and results_by_id[request_id][0] == 503
            for request_id in unsafe_ids
        ),
        n_unknown_ids=sum(request_id not in results_by_id for request_id in runs),
    )


def main() -> None:
    """Run the demo and exit with 0 only if every guarantee held."""
    result = run_demo()
    for status, n_answers in sorted(result.outcomes.items()):
        typer.echo(f"{status or 'no response'}: {n_answers}")
    typer.echo(
        f"doubled {result.n_duplicated_requests}, mixed {result.n_mismatched}, "
        f"falsely refused {result.n_false_not_run}, unlisted {result.n_unknown_ids}"
    )
    sys.exit(1 if any(result[1:]) else 0)


if __name__ == "__main__":
    main()
