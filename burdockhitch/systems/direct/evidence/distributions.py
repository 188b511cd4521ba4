"""Computes means and quantiles of run times, of few runs as well as of many.

It handles services whose run times spread by 0.3 to 0.5 of their mean, where one
request in a hundred takes 3 to 5 times as long.
"""

import math
from functools import cache
from statistics import NormalDist
from typing import NamedTuple

from burdockhitch.tables.run_times import (
    BUCKET_FACTOR,
    BUCKET_FIRST_S,
    N_BUCKETS,
    RunTimeSums,
)

# Spread relative to the mean that is assumed before the first run, and the number of
# runs that this counts as.
PRIOR_SPREAD = 0.5
N_PRIOR_RUNS = 10
# Runs beyond a quantile from which the buckets show it better than a lognormal
# distribution with the same mean and spread.
N_BEYOND_MIN = 2


@cache
def _normal_quantile(p: float) -> float:
    return NormalDist().inv_cdf(p)


class RunTime(NamedTuple):
    """Distribution of the run times of a service.

    Attributes:
        mean_s: Mean run time.
        spread_s: Standard deviation of the run times.
        n_runs: Number of runs that it is learned from; older runs count less.
        counts: Runs by bucket.
    """

    mean_s: float
    spread_s: float
    n_runs: float
    counts: tuple[float, ...]

    def quantile(self, p: float) -> float:
        """Return the run time in seconds that a share ``p`` of the runs don't exceed.

        With enough runs it is at least what the buckets show; a lognormal distribution
        bounds it from below, since the buckets of few runs have no tail.
        """
        relative = self.spread_s / max(1e-6, self.mean_s)
        sigma = math.sqrt(math.log(1.0 + relative**2))
        lognormal_s = self.mean_s * math.exp(
            sigma * _normal_quantile(p) - 0.5 * sigma**2
        )
        if self.n_runs * (1.0 - p) < N_BEYOND_MIN:
            return lognormal_s
        return max(lognormal_s, _bucket_quantile(self.counts, p))


def _bucket_quantile(counts: tuple[float, ...], p: float) -> float:
    """Return a quantile of buckets, interpolated on a logarithmic scale."""
    remaining = p * sum(counts)
    for number, n_runs in enumerate(counts):
        if n_runs > 0 and remaining <= n_runs:
            position = number + remaining / n_runs
            return float(BUCKET_FIRST_S * BUCKET_FACTOR**position)
        remaining -= n_runs
    return float(BUCKET_FIRST_S * BUCKET_FACTOR**N_BUCKETS)


def bucket_of(run_s: float) -> int:
    """Return the number of the bucket of a run time."""
    if run_s <= BUCKET_FIRST_S:
        return 0
    number = int(math.log(run_s / BUCKET_FIRST_S) / math.log(BUCKET_FACTOR))
    return min(N_BUCKETS - 1, number)


def add_run(sums: RunTimeSums, run_s: float, weight: float = 1.0) -> RunTimeSums:
    """Return sums that include one more run."""
    counts = list(sums.counts)
    counts[bucket_of(run_s)] += weight
    return RunTimeSums(
        sums.n_runs + weight,
        sums.sum_s + weight * run_s,
        sums.sum_squares + weight * run_s**2,
        tuple(counts),
    )


def scale_sums(sums: RunTimeSums, factor: float) -> RunTimeSums:
    """Return sums in which each run has another weight."""
    counts = tuple(factor * n_runs for n_runs in sums.counts)
    return RunTimeSums(
        factor * sums.n_runs, factor * sums.sum_s, factor * sums.sum_squares, counts
    )


def add_sums(first: RunTimeSums, second: RunTimeSums, factor: float) -> RunTimeSums:
    """Return sums over the runs of both, the second ones weighted by a factor."""
    return RunTimeSums(
        first.n_runs + factor * second.n_runs,
        first.sum_s + factor * second.sum_s,
        first.sum_squares + factor * second.sum_squares,
        tuple(
            [a + factor * b for a, b in zip(first.counts, second.counts, strict=True)]
        ),
    )


def make_run_time(sums: RunTimeSums, prior_mean_s: float) -> RunTime:
    """Return the distribution of run times that sums show.

    Args:
        sums: Sums over the run times, which may be empty.
        prior_mean_s: Mean that is assumed before the first run.
    """
    if sums.n_runs <= 0:
        spread_s = PRIOR_SPREAD * prior_mean_s
        return RunTime(prior_mean_s, spread_s, 0.0, sums.counts)
    mean_s = sums.sum_s / sums.n_runs
    variance = max(0.0, sums.sum_squares / sums.n_runs - mean_s**2)
    n_all = sums.n_runs + N_PRIOR_RUNS
    assumed = N_PRIOR_RUNS * (PRIOR_SPREAD * mean_s) ** 2
    spread_s = math.sqrt((sums.n_runs * variance + assumed) / n_all)
    return RunTime(mean_s, spread_s, sums.n_runs, sums.counts)


def mean_beyond_s(counts: tuple[float, ...], age_s: float) -> float:
    """Return the mean of the runs that took longer than an age; at least the age.

    It is the time that a run is expected to have taken that was given up at that age.
    """
    first = bucket_of(age_s) + 1
    n_beyond = sum(counts[first:])
    if n_beyond <= 0:
        return age_s
    total_s = sum(
        n_runs * BUCKET_FIRST_S * BUCKET_FACTOR ** (first + number + 0.5)
        for number, n_runs in enumerate(counts[first:])
    )
    return max(age_s, total_s / n_beyond)
