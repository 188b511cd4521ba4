"""Estimates how long services and their backend servers take to answer.

It handles services with run times from 0.1 s to several seconds, of which each VM may
see only one request in several seconds.
"""

import math

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.evidence.distributions import (
    RunTime,
    add_sums,
    make_run_time,
    scale_sums,
)
from burdockhitch.systems.direct.evidence.priors import (
    overdue_bounds_s,
    prior_mean_s,
)
from burdockhitch.tables.run_times import (
    RunTimeSums,
    RunTimeTotalRow,
)
from burdockhitch.world import World

# Time constant with which runs lose weight. It is about the time in which a VM sees
# twenty requests of a service; the mean covered so many answers before VMs shared them.
DECAY_S = 30.0
# Weight below which the runs of a source are forgotten.
N_RUNS_MIN = 0.01
NO_RUNS = RunTimeSums()
# Number of runs below which the configuration bounds the time after which an answer
# is overdue: the mean of so many run times is off by less than a sixth.
N_FEW_RUNS = 10
# Number of runs from which a route has a distribution of its own.
N_ROUTE_RUNS = 30
# Shortest time after which an answer is overdue.
OVERDUE_MIN_S = 0.25
# Share of the answers that arrive before they would be overdue. One request in a
# hundred takes 3 to 5 times as long, and half of these are worth waiting for.
P_NOT_OVERDUE = 0.995
# Bounds of that quantile as multiples of the mean. Below the first, runs that take
# several times as long would be given up; above the second, hung servers that
# answered at last would keep the next requests as long.
OVERDUE_MIN_FACTOR = 3.0
OVERDUE_MAX_FACTOR = 6.0
# A wait is estimated from loads that other VMs reported some time ago.
WAIT_MARGIN_FACTOR = 2.0


def decay_factor(from_s: float, to_s: float) -> float:
    """Return the factor by which the weight of a run has decayed meanwhile."""
    return math.exp(-max(0.0, to_s - from_s) / DECAY_S)


def decay_sums(sums: RunTimeSums, from_s: float, to_s: float) -> RunTimeSums:
    """Return sums in which the weight of each run has decayed meanwhile."""
    return scale_sums(sums, decay_factor(from_s, to_s))


def expected_run_time(world: World, service: str, route_id: str = "") -> RunTime:
    """Return the distribution of a service's run times, of one route if it is known.

    Before the first answer it follows from the routes to the service.
    """
    total = world.run_time_totals.get((service, route_id))
    if route_id and (total is None or total.sums.n_runs < N_ROUTE_RUNS):
        total = world.run_time_totals.get((service, ""))
    sums = total.sums if total else NO_RUNS
    return make_run_time(sums, prior_mean_s(world, service))


def mean_run_time_s(world: World, service: str) -> float:
    """Return a service's mean run time; before the first answer, what routes imply."""
    total = world.run_time_totals.get((service, ""))
    if total is None:
        return prior_mean_s(world, service)
    return total.sums.sum_s / total.sums.n_runs


def overdue_after_s(
    world: World, service: str, wait_s: float, route_id: str = ""
) -> float:
    """Return the time after which an answer of a service is overdue.

    Args:
        world: Tables of this VM.
        service: Name of the service.
        wait_s: Expected wait for a slot of the server.
        route_id: Route of the request, empty if it isn't known.
    """
    run_time = expected_run_time(world, service, route_id)
    mean_s = max(1e-6, run_time.mean_s)
    run_s = min(
        OVERDUE_MAX_FACTOR * mean_s,
        max(OVERDUE_MIN_FACTOR * mean_s, run_time.quantile(P_NOT_OVERDUE)),
    )
    if run_time.n_runs < N_FEW_RUNS:
        earliest_s, latest_s = overdue_bounds_s(world, service)
        run_s = max(run_s, earliest_s)
        run_s = min(run_s, latest_s)
    # The runs ahead in the queue add their variances.
    margin_s = math.sqrt(1.0 + wait_s / mean_s) * max(0.0, run_s - mean_s)
    return max(OVERDUE_MIN_S, WAIT_MARGIN_FACTOR * wait_s + mean_s + margin_s)


def update_totals(world: World, now: Instant) -> None:
    """Sum up the run times of all sources, and forget what has decayed."""
    now_s = now.monotonic_s
    totals: dict[tuple[str, str], RunTimeSums] = {}
    for row in list(world.run_times):
        factor = decay_factor(row.updated_at_s, now_s)
        if factor * row.sums.n_runs < N_RUNS_MIN:
            world.run_times.remove(row.key)
            continue
        key = (row.service, row.route_id)
        totals[key] = add_sums(totals.get(key, NO_RUNS), row.sums, factor)
    world.run_time_totals.clear()
    for key, sums in totals.items():
        world.run_time_totals.put(RunTimeTotalRow(key, sums, now_s))
