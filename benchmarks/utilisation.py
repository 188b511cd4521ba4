"""Requests accepted by 48 VMs on few slots, relative to one queue for all slots."""

import heapq
import random
from collections.abc import Iterator

from benchmarks.results import Result, benchmarks
from burdockhitch.messages import Answer
from burdockhitch.settings import PolicySettings
from burdockhitch.tests import fleets
from burdockhitch.tests.fleets import Deployment

SERVICE_TIME_S = 0.1
QUEUE_TIMEOUT_S = 0.3
LOAD_DURATION_S = 8.0
LOAD_FACTORS = (0.7, 0.9, 1.1)
POLICIES = ("two_choices", "random", "round_robin", "least_loaded")
SEED = 5
DEPLOYMENTS = {
    2: Deployment("bench", ("a", "b", "c", "d"), 12, 8, 2, 10, "few_false_ejections"),
    4: Deployment("booking", ("a", "b", "c"), 16, 10, 4, 12, "detection_first"),
}


def count_accepted_by_single_queue(arrivals_s: list[float], n_slots: int) -> int:
    """Return the number of requests that one queue for all slots would accept."""
    free_at_s = [0.0] * n_slots
    n_accepted = 0
    for arrival_s in arrivals_s:
        start_s = max(arrival_s, free_at_s[0])
        if start_s - arrival_s <= QUEUE_TIMEOUT_S:
            heapq.heapreplace(free_at_s, start_s + SERVICE_TIME_S)
            n_accepted += 1
    return n_accepted


def count_accepted_by_fleet(
    deployment: Deployment, policy: str, arrivals_s: list[float], rng: random.Random
) -> int:
    """Return the number of requests that a simulated fleet answers."""
    fleet = fleets.start_fleet(deployment, policies=PolicySettings(routing=policy))
    for server in fleet.servers.values():
        server.service_time_s = SERVICE_TIME_S
    vm_ids = sorted(fleet.worlds)
    started_s = fleet.clock.elapsed_s
    for arrival_s in arrivals_s:
        fleet.run(max(0.0, started_s + arrival_s - fleet.clock.elapsed_s))
        fleet.call(rng.choice(vm_ids), "GET", "/look")
    fleet.run(5.0)
    return sum(
        isinstance(getattr(reply.command, "answer", None), Answer)
        for reply in fleet.caller_replies.values()
    )


@benchmarks("utilisation")
def measure_utilisation() -> Iterator[Result]:
    """Compare the routing policies at three ratios of load to capacity."""
    for n_slots, deployment in DEPLOYMENTS.items():
        n_slots_total = n_slots * deployment.n_servers * len(deployment.zones)
        for load_factor in LOAD_FACTORS:
            rng = random.Random(SEED)
            rate_per_s = load_factor * n_slots_total / SERVICE_TIME_S
            arrivals_s, arrival_s = [], 0.0
            while arrival_s < LOAD_DURATION_S:
                arrival_s += rng.expovariate(rate_per_s)
                arrivals_s.append(arrival_s)
            n_reference = count_accepted_by_single_queue(arrivals_s, n_slots_total)
            for policy in POLICIES:
                accepted_ratio = (
                    count_accepted_by_fleet(deployment, policy, arrivals_s, rng)
                    / n_reference
                )
                case = f"{n_slots} slots, load {load_factor:.0%}, {policy}"
                yield Result(
                    "utilisation", case, 100 * accepted_ratio, "% of perfect", "97"
                )
