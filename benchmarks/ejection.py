"""Time to ejection and false ejections in fleets simulated at today's deployment size.

A false ejection removes a backend server without a fault from service.
"""

import statistics
from collections.abc import Iterator

from benchmarks.results import Result, benchmarks
from burdockhitch.tests import fleets
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fleets import Deployment

VASTKUST = Deployment("booking", ("a", "b", "c"), 4, 10, 4, 80, "detection_first")
SUDURLAND = Deployment(
    "bench", ("a", "b", "c", "d"), 3, 8, 2, 44, "few_false_ejections"
)
DEPLOYMENT_LOADS = {"vastkust": (VASTKUST, 60.0), "sudurland": (SUDURLAND, 30.0)}
NOISE_RATIO = 0.01
WARM_UP_S = 10.0
TIMEOUT_S = 240.0
SEEDS = range(5)
FAULTY_SERVER_ADDRESS = "10.1.0.1:80"
# Error ratio and factor of the service time of the faulty backend server.
FAULTS = {
    "20% failing": (0.2, 1.0),
    "50% failing": (0.5, 1.0),
    "100% failing": (1.0, 1.0),
    "2x slower": (NOISE_RATIO, 2.0),
    "5x slower": (NOISE_RATIO, 5.0),
}


def list_ejections(fleet: FakeFleet) -> list[str]:
    """Return the address of the ejected backend server for each ejection so far."""
    return [
        command.fields["server"].partition("/")[2]
        for _vm_id, command in fleet.logs
        if command.event == "server_changed" and command.fields["after"] == "ejected"
    ]


def _run_load(
    fleet: FakeFleet,
    rate_per_s: float,
    duration_s: float,
    watched: str = FAULTY_SERVER_ADDRESS,
) -> float:
    """Send requests until the watched server is ejected or ``duration_s`` has passed.

    Args:
        fleet: Simulated fleet.
        rate_per_s: Mean rate of the requests, which arrive at random times.
        duration_s: Simulated seconds to run at most.
        watched: Address of the watched server; empty to run for ``duration_s``.

    Returns:
        Simulated seconds that have passed.
    """
    vm_ids = sorted(fleet.worlds)
    started_s = fleet.clock.elapsed_s
    while fleet.clock.elapsed_s - started_s < duration_s:
        fleet.call(fleet.rng.choice(vm_ids), "GET", "/look")
        fleet.run(fleet.rng.expovariate(rate_per_s))
        if watched in list_ejections(fleet):
            break
    return fleet.clock.elapsed_s - started_s


@benchmarks("ejection")
def measure_ejection() -> Iterator[Result]:
    """Measure both deployments; backend servers without a fault return 1% errors."""
    for name, (deployment, rate_per_s) in DEPLOYMENT_LOADS.items():
        n_requests = n_false = 0
        for fault, (error_ratio, slowdown) in FAULTS.items():
            ejection_times_s = []
            for seed in SEEDS:
                fleet = fleets.start_fleet(deployment, seed)
                for server in fleet.servers.values():
                    server.error_ratio = NOISE_RATIO
                _run_load(fleet, rate_per_s, WARM_UP_S)
                faulty_server = fleet.servers[FAULTY_SERVER_ADDRESS]
                faulty_server.error_ratio = error_ratio
                faulty_server.service_time_s *= slowdown
                ejection_times_s.append(_run_load(fleet, rate_per_s, TIMEOUT_S))
                n_requests += len(fleet.sent_requests)
                n_false += sum(
                    address != FAULTY_SERVER_ADDRESS
                    for address in list_ejections(fleet)
                )
            case = f"{name} at {rate_per_s:.0f}/s, {fault}"
            yield Result("ejection", case, statistics.mean(ejection_times_s), "s")
        case = f"{name}, false ejections in {n_requests} requests"
        yield Result("ejection", case, n_false, "ejections", "0")


SHORT_OUTAGES_S = (0.1, 0.3, 1.0)
N_SHORT_OUTAGES = 30
SHORT_OUTAGE_PAUSE_S = 30.0


def count_short_outage_ejections(
    deployment: Deployment, rate_per_s: float, outage_s: float
) -> int:
    """Return the number of ejections when servers in turn fail for ``outage_s``."""
    fleet = fleets.start_fleet(deployment)
    _run_load(fleet, rate_per_s, WARM_UP_S)
    addresses = sorted(fleet.servers)
    for number in range(N_SHORT_OUTAGES):
        server = fleet.servers[addresses[(number + 1) % len(addresses)]]
        server.error_ratio = 1.0
        _run_load(fleet, rate_per_s, outage_s, "")
        server.error_ratio = 0.0
        _run_load(fleet, rate_per_s, SHORT_OUTAGE_PAUSE_S, "")
    return len(list_ejections(fleet))


@benchmarks("blips")
def measure_short_outages() -> Iterator[Result]:
    """Measure ejections of servers that fail for 0.1 to 1 s."""
    for name, (deployment, rate_per_s) in DEPLOYMENT_LOADS.items():
        for outage_s in SHORT_OUTAGES_S:
            n_ejections = count_short_outage_ejections(deployment, rate_per_s, outage_s)
            case = (
                f"{name} at {rate_per_s:.0f}/s, {outage_s} s, {N_SHORT_OUTAGES} times"
            )
            yield Result("blips", case, n_ejections, "ejections")
