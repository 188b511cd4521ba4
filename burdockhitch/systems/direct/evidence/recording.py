"""Records run times of attempts, also of those that were given up.

It handles services with run times from 0.1 s to several seconds.
"""

import math

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.evidence.distributions import add_run, mean_beyond_s
from burdockhitch.systems.direct.evidence.run_times import (
    NO_RUNS,
    decay_sums,
    mean_run_time_s,
)
from burdockhitch.systems.direct.server_estimates import p_failing, record_reached
from burdockhitch.tables.requests import AttemptRow
from burdockhitch.tables.run_times import RunTimeRow, RunTimeTotalRow
from burdockhitch.tables.server_estimates import ServiceTimeRow
from burdockhitch.world import World


def _run_time_s(attempt: AttemptRow, mean_s: float, now: Instant) -> float:
    """Return how long a request ran, without its expected wait for a slot.

    The wait is an estimate and may not have occurred, so it is subtracted only down
    to the mean.
    """
    latency_s = now.monotonic_s - attempt.started_at_s
    return max(latency_s - attempt.wait_s, min(latency_s, mean_s))


def _subjects(world: World, attempt: AttemptRow) -> list[str]:
    """Return the routes under which to record a run; empty for the whole service."""
    prior = world.run_time_priors.get(attempt.service)
    request = world.requests.get(attempt.request_id)
    if request is None or prior is None or prior.n_routes < 2:
        return [""]
    return ["", request.route_id]


def _add_own_run(
    world: World, attempt: AttemptRow, run_s: float, weight: float, now: Instant
) -> None:
    """Add a run to this VM's sums and to those of the fleet."""
    now_s = now.monotonic_s
    for route_id in _subjects(world, attempt):
        key = (world.local.vm_id, attempt.service, route_id)
        row = world.run_times.get(key)
        sums = decay_sums(row.sums, row.updated_at_s, now_s) if row else NO_RUNS
        sums = add_run(sums, run_s, weight)
        world.run_times.put(RunTimeRow(key, *key, sums, now_s))
        total = world.run_time_totals.get(key[1:])
        sums = decay_sums(total.sums, total.updated_at_s, now_s) if total else NO_RUNS
        sums = add_run(sums, run_s, weight)
        world.run_time_totals.put(RunTimeTotalRow(key[1:], sums, now_s))


def record_run_time(world: World, attempt: AttemptRow, now: Instant) -> None:
    """Add a run time after a success, and update a server's latency ratio."""
    if attempt.service not in world.service_times:
        world.service_times.insert(ServiceTimeRow(attempt.service))
    total = world.run_time_totals.get((attempt.service, ""))
    mean_s = math.inf if total is None else total.sums.sum_s / total.sums.n_runs
    run_s = _run_time_s(attempt, mean_s, now)
    _add_own_run(world, attempt, run_s, 1.0, now)
    mean_s = mean_run_time_s(world, attempt.service)
    record_reached(world, attempt.server_id, run_s / max(0.001, mean_s), now)


def record_given_up_run(world: World, attempt: AttemptRow, now: Instant) -> None:
    """Add a run that was given up, which would have taken at least as long.

    It is weighted by the probability that its server is healthy, since a failing one
    may hang. Without it, only the shorter runs would be counted.
    """
    estimate = world.server_estimates.get(attempt.server_id)
    total = world.run_time_totals.get((attempt.service, ""))
    if estimate is None or total is None:
        return
    age_s = now.monotonic_s - attempt.started_at_s - attempt.wait_s
    if age_s <= 0:
        return
    run_s = mean_beyond_s(total.sums.counts, age_s)
    _add_own_run(world, attempt, run_s, 1.0 - p_failing(estimate, now), now)
