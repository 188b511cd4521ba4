"""Detection and false ejections of the health detectors.

Lorden's bound is the least mean number of requests to detection that any test
with the same rate of false alarms can reach; see G. Lorden, "Procedures for
reacting to a change in distribution", Ann. Math. Statist. 42 (1971).
"""

import math
import random
import statistics
from collections.abc import Callable, Iterator

from benchmarks.results import Result, benchmarks
from burdockhitch.systems.health import (
    HealthProfile,
    Sample,
    detectors,
    profiles,
)
from burdockhitch.tables.health_signals import HealthRow, ServerState

N_TRIALS = 2000
N_REQUESTS = 100_000_000
ERROR_RATIOS = (0.2, 0.3, 0.5, 1.0)
SLOWDOWNS = (2.0, 5.0, 10.0)
LATENCY_SPREAD = 0.2
NOISE_RATIO = 0.01
BURST_RATIO = 0.05
BURST_REQUESTS = 50
SEED = 7


def _fresh_row() -> HealthRow:
    return HealthRow("s/1", "s", ServerState.HEALTHY, 0.0, 0.0, 0, 0, 0, "", 0.0)


def _trial(
    name: str, profile: HealthProfile, draw: Callable[[], Sample], n_max: int = 100_000
) -> int:
    row = _fresh_row()
    for number in range(1, n_max + 1):
        row = detectors[name](row, draw(), profile)
        if max(row.error_evidence, row.lateness_evidence) >= profile.threshold:
            return number
    return n_max


def _late_ratio(profile: HealthProfile, slowdown: float) -> float:
    """Return the share of late answers with log-normal latency."""
    z = math.log(profile.late_multiple / slowdown) / LATENCY_SPREAD
    return 0.5 * math.erfc(z / math.sqrt(2))


def _divergence(bad: float, base: float) -> float:
    if bad >= 1.0:
        return math.log(1.0 / base)
    return bad * math.log(bad / base) + (1 - bad) * math.log((1 - bad) / (1 - base))


def _false_alarm_requests(
    profile: HealthProfile, draw_gap: Callable[[], int], n_requests: int
) -> float:
    """Return the mean number of requests between false alarms.

    Between two bad answers the evidence falls by the same step each time, so
    only bad answers are simulated.
    """
    rise = math.log(profile.bad_ratio / profile.base_ratio)
    fall = -math.log((1 - profile.bad_ratio) / (1 - profile.base_ratio))
    evidence, n_seen, n_alarms = 0.0, 0, 0
    while n_seen < n_requests:
        gap = draw_gap()
        n_seen += gap
        evidence = max(0.0, evidence - fall * (gap - 1)) + rise
        if evidence >= profile.threshold:
            n_alarms += 1
            evidence = 0.0
    return n_seen / max(1, n_alarms)


def _geometric(rng: random.Random, ratio: float) -> Callable[[], int]:
    scale = math.log(1 - ratio)
    return lambda: 1 + int(math.log(1.0 - rng.random()) / scale)


def _bursty(rng: random.Random) -> Callable[[], int]:
    """Draw gaps of noise that comes in bursts, with the same share on the whole."""
    in_burst = _geometric(rng, BURST_RATIO)
    share = 1 / (BURST_RATIO * BURST_REQUESTS)
    quiet = _geometric(rng, NOISE_RATIO / (1 / share))
    left = [0]

    def draw() -> int:
        if left[0] <= 0:
            left[0] = BURST_REQUESTS
            return quiet()
        gap = in_burst()
        left[0] -= gap
        return gap

    return draw


@benchmarks("detection")
def measure_detection() -> Iterator[Result]:
    """Measure requests to detection beside the bound and the baseline."""
    rng = random.Random(SEED)
    for profile_name in profiles:
        profile = profiles[profile_name]
        alarm = _false_alarm_requests(profile, _geometric(rng, NOISE_RATIO), N_REQUESTS)
        for detector in ("cusum", "consecutive_failures"):
            for ratio in ERROR_RATIOS:
                mean = statistics.mean(
                    _trial(
                        detector,
                        profile,
                        lambda ratio=ratio: Sample(rng.random() < ratio, False),  # type: ignore[misc]
                    )
                    for _ in range(N_TRIALS)
                )
                bound = math.log(alarm) / _divergence(ratio, NOISE_RATIO)
                case = f"{profile_name} {detector} {ratio:.0%} failing"
                yield Result("detection", case, mean, "requests", f"{1.5 * bound:.1f}")
        for slowdown in SLOWDOWNS:
            ratio = _late_ratio(profile, slowdown)
            mean = statistics.mean(
                _trial(
                    "cusum",
                    profile,
                    lambda ratio=ratio: Sample(False, rng.random() < ratio),  # type: ignore[misc]
                )
                for _ in range(N_TRIALS)
            )
            bound = math.log(alarm) / _divergence(ratio, NOISE_RATIO)
            case = f"{profile_name} cusum {slowdown:.0f}x slower"
            yield Result("detection", case, mean, "requests", f"{1.5 * bound:.1f}")


@benchmarks("false_ejections")
def measure_false_ejections() -> Iterator[Result]:
    """Measure requests between false alarms under two kinds of noise."""
    rng = random.Random(SEED)
    targets = {"detection_first": 1e6, "few_false_ejections": 1e7}
    noises = {
        "independent": lambda: _geometric(rng, NOISE_RATIO),
        "bursty": lambda: _bursty(rng),
    }
    for profile_name, target in targets.items():
        for noise, make in noises.items():
            profile = profiles[profile_name]
            alarm = _false_alarm_requests(profile, make(), 10 * N_REQUESTS)
            case = f"{profile_name} {noise}"
            yield Result(
                "false_ejections", case, alarm, "requests apart", f"{target:.0e}"
            )
