"""Added latency on distinct processes, direct and with one forward."""

import statistics
from collections.abc import Iterator

from benchmarks.results import Result, benchmarks
from tools import fleet as tool

RATES_PER_S = (50.0, 100.0, 154.0)
DURATION_S = 10.0
WARM_UP_S = 3.0
SERVICE_TIME_S = 0.005
RULES = """service booking floor=1slots # Bench
route booking GET /look timeout=5s # Bench
"""
VMS = [tool.VmPlan("a1", "a"), tool.VmPlan("b1", "b")]
SERVERS = [tool.ServerPlan("booking", "a", 4, 4)]


def _measure(fleet: tool.Fleet, address: str, rate: float) -> list[float]:
    for duration_s in (WARM_UP_S, DURATION_S):
        callers = tool.start_callers(fleet, [address], ["GET:/look"], rate, duration_s)
        records = tool.read_callers(callers)
    return sorted(
        1000 * record["latency_s"]
        for record in records
        if record["outcome"] == "answered"
    )


@benchmarks("latency")
def measure_latency() -> Iterator[Result]:
    """Measure through the owner, through another VM and without the fleet."""
    with tool.run_fleet(VMS, SERVERS, RULES) as fleet:
        entries = {
            "no proxy": fleet.servers[0].address,
            "direct": fleet.vms[0].caller_address,
            "one forward": fleet.vms[1].caller_address,
        }
        for rate in RATES_PER_S:
            base: list[float] = []
            for entry, address in entries.items():
                values = _measure(fleet, address, rate)
                base = base or values
                added_p50 = statistics.median(values) - statistics.median(base)
                added_p99 = _p99(values) - statistics.median(base)
                case = f"{entry}, {rate:.0f}/s"
                yield Result("latency", f"{case}, added p50", added_p50, "ms")
                yield Result("latency", f"{case}, added p99", added_p99, "ms", "6.9")


def _p99(values: list[float]) -> float:
    return values[int(len(values) * 0.99)]
