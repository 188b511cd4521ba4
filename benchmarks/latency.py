"""Latency that an entry VM adds, without and with one forward, on real processes.

The VM that owns a backend server sends it requests; other VMs forward theirs to it.
"""

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


def _measure_latencies_ms(
    fleet: tool.Fleet, address: str, rate_per_s: float
) -> list[float]:
    """Return the sorted latencies of answered requests after a warm-up."""
    for duration_s in (WARM_UP_S, DURATION_S):
        callers = tool.start_callers(
            fleet, [address], ["GET:/look"], rate_per_s, duration_s
        )
        records = tool.collect_caller_records(callers)
    return sorted(
        1000 * record["latency_s"]
        for record in records
        if record["outcome"] == "answered"
    )


@benchmarks("latency")
def measure_latency() -> Iterator[Result]:
    """Compare requests to the server with requests via its owner and via another VM.

    All values are relative to the median latency of requests to the server.
    """
    with tool.run_fleet(VMS, SERVERS, RULES) as fleet:
        addresses = {
            "no proxy": fleet.servers[0].address,
            "direct": fleet.vms[0].caller_address,
            "one forward": fleet.vms[1].caller_address,
        }
        for rate_per_s in RATES_PER_S:
            base_latencies_ms: list[float] = []
            for path, address in addresses.items():
                latencies_ms = _measure_latencies_ms(fleet, address, rate_per_s)
                base_latencies_ms = base_latencies_ms or latencies_ms
                added_p50 = statistics.median(latencies_ms) - statistics.median(
                    base_latencies_ms
                )
                added_p99 = _p99(latencies_ms) - statistics.median(base_latencies_ms)
                case = f"{path}, {rate_per_s:.0f}/s"
                yield Result("latency", f"{case}, added p50", added_p50, "ms")
                yield Result("latency", f"{case}, added p99", added_p99, "ms", "6.9")


def _p99(latencies_ms: list[float]) -> float:
    return latencies_ms[int(len(latencies_ms) * 0.99)]
