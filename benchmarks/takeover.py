"""Requests with unknown outcome until VMs stop forwarding to a failed owner.

An owner is the VM that sends a backend server its requests; others forward to it.
"""

from collections.abc import Iterator

from benchmarks.results import Result, benchmarks
from burdockhitch.problems import is_not_run
from burdockhitch.tests import fleets
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fleets import Deployment

RATE_PER_S = 100
LOAD_DURATION_S = 6.0
SERVICE_TIME_S = 0.2
SEEDS = range(10)
DEPLOYMENT = Deployment("booking", ("a", "b", "c"), 2, 4, 4, 8, "detection_first")


def _count_unknown_outcomes(fleet: FakeFleet) -> int:
    refusals = [
        getattr(reply.command, "refusal", None)
        for reply in fleet.caller_replies.values()
    ]
    return sum(
        refusal is not None and not is_not_run(refusal.error) for refusal in refusals
    )


def _run_failure(seed: int, is_paused: bool) -> int:
    """Kill or pause one owner and load another VM so that it has to forward.

    The load exceeds the slots that the other VM owns.

    Returns:
        Number of requests with unknown outcome.
    """
    fleet = fleets.start_fleet(DEPLOYMENT, seed)
    owner_id = sorted({row.owner_vm_id for row in fleet.worlds["a-0"].ownerships})[-1]
    if is_paused:
        fleet.paused.add(owner_id)
    else:
        fleet.kill(owner_id)
    entry_vm_id = sorted(vm_id for vm_id in fleet.worlds if vm_id != owner_id)[0]
    for server in fleet.servers.values():
        server.service_time_s = SERVICE_TIME_S
    for number in range(int(RATE_PER_S * LOAD_DURATION_S)):
        fleet.call(entry_vm_id, "POST", "/plain", f"p{number}".encode())
        fleet.run(1 / RATE_PER_S)
    fleet.run(5.0)
    return _count_unknown_outcomes(fleet)


@benchmarks("takeover")
def measure_takeover() -> Iterator[Result]:
    """Measure unknown outcomes at 100 requests per second through one entry VM."""
    for failure, is_paused in (("killed", False), ("paused", True)):
        counts = [_run_failure(seed, is_paused) for seed in SEEDS]
        mean_unknown = sum(counts) / len(counts)
        yield Result("takeover", f"owner {failure}", mean_unknown, "outcomes unknown")
