"""Requests to detection and between false alarms of the health detectors.

Targets are multiples of Lorden's bound: the least mean number of requests to
detection that any test with the same rate of false alarms can reach; see
G. Lorden, "Procedures for reacting to a change in distribution", Ann. Math.
Statist. 42 (1971).
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
    health_profiles,
)
from burdockhitch.tables.server_health import ServerHealthRow, ServerState

N_TRIALS = 2000
N_REQUESTS = 100_000_000
ERROR_RATIOS = (0.2, 0.3, 0.5, 1.0)
SLOWDOWNS = (2.0, 5.0, 10.0)
LATENCY_SPREAD = 0.2
NOISE_RATIO = 0.01
BURST_RATIO = 0.05
BURST_REQUESTS = 50
SEED = 7


def _make_row() -> ServerHealthRow:
    return ServerHealthRow("s/1", "s", ServerState.HEALTHY, 0.0, 0.0, 0, 0, 0, "", 0.0)


def _count_requests_to_detection(
    detector: str,
    profile: HealthProfile,
    draw: Callable[[], Sample],
    n_max: int = 100_000,
) -> int:
    """Return the requests until a detector reaches its threshold, at most ``n_max``."""
    row = _make_row()
    for number in range(1, n_max + 1):
        row = detectors[detector](row, draw(), profile)
        if max(row.error_evidence, row.latency_evidence) >= profile.threshold:
            return number
    return n_max


def _late_ratio(profile: HealthProfile, slowdown: float) -> float:
    """Return the share of late answers of a server that is slower by a factor.

    Latencies have a log-normal distribution with ``LATENCY_SPREAD`` as the standard
    deviation of their logarithm.
    """
    z = math.log(profile.late_latency_ratio / slowdown) / LATENCY_SPREAD
    return 0.5 * math.erfc(z / math.sqrt(2))


def _kl_divergence(p: float, q: float) -> float:
    """Return the Kullback-Leibler divergence of Bernoulli(p) from Bernoulli(q).

    The unit is nats.
    """
    if p >= 1.0:
        return math.log(1.0 / q)
    return p * math.log(p / q) + (1 - p) * math.log((1 - p) / (1 - q))


def _requests_per_false_alarm(
    profile: HealthProfile, draw_gap: Callable[[], int], n_requests: int
) -> float:
    """Return the mean number of requests between false alarms.

    Every good answer between two bad ones lowers the evidence by the same step, so
    only bad answers are simulated and the effect of the good ones is computed.

    Args:
        profile: Health profile of the detector.
        draw_gap: Returns the number of requests from one bad answer to the next.
        n_requests: Least number of requests to simulate.
    """
    step_up = math.log(profile.bad_ratio / profile.base_ratio)
    step_down = -math.log((1 - profile.bad_ratio) / (1 - profile.base_ratio))
    evidence, n_simulated, n_alarms = 0.0, 0, 0
    while n_simulated < n_requests:
        gap = draw_gap()
        n_simulated += gap
        evidence = max(0.0, evidence - step_down * (gap - 1)) + step_up
        if evidence >= profile.threshold:
            n_alarms += 1
            evidence = 0.0
    return n_simulated / max(1, n_alarms)


def _geometric_gaps(rng: random.Random, ratio: float) -> Callable[[], int]:
    """Return a function that draws gaps between independent errors.

    A gap is the number of requests from one error to the next; ``ratio`` is the share
    of errors.
    """
    log_good_ratio = math.log(1 - ratio)
    return lambda: 1 + int(math.log(1.0 - rng.random()) / log_good_ratio)


def _bursty_gaps(rng: random.Random) -> Callable[[], int]:
    """Return a function that draws gaps between errors that come in bursts.

    The mean gap between bursts is such that the share of errors over all requests is
    about ``NOISE_RATIO``, as with independent errors.
    """
    draw_gap_in_burst = _geometric_gaps(rng, BURST_RATIO)
    bursts_per_error = 1 / (BURST_RATIO * BURST_REQUESTS)
    draw_gap_between_bursts = _geometric_gaps(rng, NOISE_RATIO / (1 / bursts_per_error))
    n_left_in_burst = [0]

    def draw() -> int:
        if n_left_in_burst[0] <= 0:
            n_left_in_burst[0] = BURST_REQUESTS
            return draw_gap_between_bursts()
        gap = draw_gap_in_burst()
        n_left_in_burst[0] -= gap
        return gap

    return draw


@benchmarks("detection")
def measure_detection() -> Iterator[Result]:
    """Measure requests to detection by ``cusum`` and by the baseline detector."""
    rng = random.Random(SEED)
    for profile_name in health_profiles:
        profile = health_profiles[profile_name]
        requests_per_alarm = _requests_per_false_alarm(
            profile, _geometric_gaps(rng, NOISE_RATIO), N_REQUESTS
        )
        for detector in ("cusum", "consecutive_failures"):
            for ratio in ERROR_RATIOS:
                mean_requests = statistics.mean(
                    _count_requests_to_detection(
                        detector,
                        profile,
                        lambda ratio=ratio: Sample(rng.random() < ratio, False),  # type: ignore[misc]
                    )
                    for _ in range(N_TRIALS)
                )
                bound = math.log(requests_per_alarm) / _kl_divergence(
                    ratio, NOISE_RATIO
                )
                case = f"{profile_name} {detector} {ratio:.0%} failing"
                yield Result(
                    "detection", case, mean_requests, "requests", f"{1.5 * bound:.1f}"
                )
        for slowdown in SLOWDOWNS:
            ratio = _late_ratio(profile, slowdown)
            mean_requests = statistics.mean(
                _count_requests_to_detection(
                    "cusum",
                    profile,
                    lambda ratio=ratio: Sample(False, rng.random() < ratio),  # type: ignore[misc]
                )
                for _ in range(N_TRIALS)
            )
            bound = math.log(requests_per_alarm) / _kl_divergence(ratio, NOISE_RATIO)
            case = f"{profile_name} cusum {slowdown:.0f}x slower"
            yield Result(
                "detection", case, mean_requests, "requests", f"{1.5 * bound:.1f}"
            )


@benchmarks("false_ejections")
def measure_false_ejections() -> Iterator[Result]:
    """Measure requests between false alarms with independent and with bursty errors."""
    rng = random.Random(SEED)
    targets = {"detection_first": 1e6, "few_false_ejections": 1e7}
    noises = {
        "independent": lambda: _geometric_gaps(rng, NOISE_RATIO),
        "bursty": lambda: _bursty_gaps(rng),
    }
    for profile_name, target in targets.items():
        for noise, make_draw_gap in noises.items():
            profile = health_profiles[profile_name]
            requests_per_alarm = _requests_per_false_alarm(
                profile, make_draw_gap(), 10 * N_REQUESTS
            )
            case = f"{profile_name} {noise}"
            yield Result(
                "false_ejections",
                case,
                requests_per_alarm,
                "requests apart",
                f"{target:.0e}",
            )
