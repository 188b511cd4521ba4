"""Tracks how long services and their backend servers take to answer."""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.server_estimates import record_reached
from burdockhitch.tables.requests import AttemptRow
from burdockhitch.tables.server_estimates import ServiceTimeRow
from burdockhitch.world import World

# The moving average covers about the last twenty answers.
MEAN_WEIGHT = 0.05


def _run_time_s(attempt: AttemptRow, mean_s: float, now: Instant) -> float:
    """Return how long a request ran, without its expected wait for a slot.

    The wait is an estimate and may not have occurred, so it is subtracted only down
    to the mean.
    """
    latency_s = now.monotonic_s - attempt.started_at_s
    return max(latency_s - attempt.wait_s, min(latency_s, mean_s))


def record_run_time(world: World, attempt: AttemptRow, now: Instant) -> None:
    """Update a service's mean run time and a server's latency ratio after a success."""
    row = world.service_times.get(attempt.service)
    if row is None:
        latency_s = now.monotonic_s - attempt.started_at_s
        row = ServiceTimeRow(attempt.service, latency_s, 0)
    run_s = _run_time_s(attempt, row.mean_s, now)
    weight = max(MEAN_WEIGHT, 1.0 / (row.n_answers + 1))
    mean_s = row.mean_s + weight * (run_s - row.mean_s)
    world.service_times.put(row._replace(mean_s=mean_s, n_answers=row.n_answers + 1))
    record_reached(world, attempt.server_id, run_s / max(0.001, mean_s), now)
