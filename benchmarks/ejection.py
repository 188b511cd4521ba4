"""Time to ejection and false ejections in simulated fleets of today's sizes."""

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
LOADS_PER_S = {"vastkust": (VASTKUST, 60.0), "sudurland": (SUDURLAND, 30.0)}
NOISE_RATIO = 0.01
WARM_UP_S = 10.0
TIMEOUT_S = 240.0
SEEDS = range(5)
VICTIM = "10.1.0.1:80"
FAULTS = {
    "20% failing": (0.2, 1.0),
    "50% failing": (0.5, 1.0),
    "100% failing": (1.0, 1.0),
    "2x slower": (NOISE_RATIO, 2.0),
    "5x slower": (NOISE_RATIO, 5.0),
}


def ejected_servers(fleet: FakeFleet) -> list[str]:
    """Return the server address of each ejection so far, once per ejection."""
    return [
        command.fields["server"].partition("/")[2]
        for _vm_id, command in fleet.logs
        if command.event == "server_changed" and command.fields["after"] == "ejected"
    ]


def _run_load(
    fleet: FakeFleet, rate_per_s: float, duration_s: float, watched: str = VICTIM
) -> float:
    """Send requests until the watched server is ejected or ``duration_s`` has passed.

    Returns:
        Elapsed seconds.
    """
    names = sorted(fleet.worlds)
    started_s = fleet.clock.elapsed_s
    while fleet.clock.elapsed_s - started_s < duration_s:
        fleet.call(fleet.rng.choice(names), "GET", "/look")
        fleet.run(fleet.rng.expovariate(rate_per_s))
        if watched in ejected_servers(fleet):
            break
    return fleet.clock.elapsed_s - started_s


@benchmarks("ejection")
def measure_ejection() -> Iterator[Result]:
    """Measure both deployments; servers without a fault return 1% errors."""
    for name, (deployment, rate_per_s) in LOADS_PER_S.items():
        n_requests = n_false = 0
        for fault, (error_ratio, slowdown) in FAULTS.items():
            ejection_times_s = []
            for seed in SEEDS:
                fleet = fleets.start_fleet(deployment, seed)
                for server in fleet.servers.values():
                    server.error_ratio = NOISE_RATIO
                _run_load(fleet, rate_per_s, WARM_UP_S)
                victim = fleet.servers[VICTIM]
                victim.error_ratio = error_ratio
                victim.service_time_s *= slowdown
                ejection_times_s.append(_run_load(fleet, rate_per_s, TIMEOUT_S))
                n_requests += len(fleet.sent)
                n_false += sum(address != VICTIM for address in ejected_servers(fleet))
            case = f"{name} at {rate_per_s:.0f}/s, {fault}"
            yield Result("ejection", case, statistics.mean(ejection_times_s), "s")
        case = f"{name}, false ejections in {n_requests} requests"
        yield Result("ejection", case, n_false, "ejections", "0")


BLIPS_S = (0.1, 0.3, 1.0)
N_BLIPS = 30
BLIP_PAUSE_S = 30.0


def count_blip_ejections(
    deployment: Deployment, rate_per_s: float, blip_s: float
) -> int:
    """Return the number of ejections when servers in turn fail for ``blip_s``."""
    fleet = fleets.start_fleet(deployment)
    _run_load(fleet, rate_per_s, WARM_UP_S)
    addresses = sorted(fleet.servers)
    for number in range(N_BLIPS):
        server = fleet.servers[addresses[(number + 1) % len(addresses)]]
        server.error_ratio = 1.0
        _run_load(fleet, rate_per_s, blip_s, "")
        server.error_ratio = 0.0
        _run_load(fleet, rate_per_s, BLIP_PAUSE_S, "")
    return len(ejected_servers(fleet))


@benchmarks("blips")
def measure_blips() -> Iterator[Result]:
    """Measure ejections of servers that fail for 0.1 to 1 s."""
    for name, (deployment, rate_per_s) in LOADS_PER_S.items():
        for blip_s in BLIPS_S:
            n_ejections = count_blip_ejections(deployment, rate_per_s, blip_s)
            case = f"{name} at {rate_per_s:.0f}/s, {blip_s} s, {N_BLIPS} times"
            yield Result("blips", case, n_ejections, "ejections")
