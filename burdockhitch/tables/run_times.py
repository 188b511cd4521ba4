"""What is known of the run times of services, with direct sending."""

from typing import NamedTuple

from burdockhitch.tables.table import Table

# Run times are counted in buckets whose bounds grow by a factor, from 5 ms to 62 s.
BUCKET_FIRST_S = 0.005
BUCKET_FACTOR = 1.4
N_BUCKETS = 28


class RunTimePriorRow(NamedTuple):
    """What the configuration implies for the run times of a service.

    The row of a service stays when its last route is removed, since requests that
    arrived before may still be in progress.

    Attributes:
        service: Name of the service.
        latency_objective_s: Smallest latency objective of the routes to the service;
            0 if none has one.
        timeout_s: Smallest time limit of these routes.
        n_routes: Number of these routes.
    """

    service: str
    latency_objective_s: float
    timeout_s: float
    n_routes: int = 1


class RunTimeSums(NamedTuple):
    """Sums over run times, in which older runs have less weight.

    Attributes:
        n_runs: Sum of the weights of the runs.
        sum_s: Weighted sum of the run times.
        sum_squares: Weighted sum of the squares of the run times, in s².
        counts: Sum of the weights by bucket.
    """

    n_runs: float = 0.0
    sum_s: float = 0.0
    sum_squares: float = 0.0
    counts: tuple[float, ...] = (0.0,) * N_BUCKETS


class RunTimeRow(NamedTuple):
    """Run times of a service or a route, as one VM or another zone observed them.

    Attributes:
        key: ``(source, service, route_id)``.
        source: VM that observed them, or ``zone NAME`` for all VMs of another zone.
        service: Name of the service.
        route_id: Route; empty for all routes to the service.
        sums: Sums over the run times, decayed up to ``updated_at_s``.
        updated_at_s: Monotonic time up to which the sums are decayed.
    """

    key: tuple[str, str, str]
    source: str
    service: str
    route_id: str
    sums: RunTimeSums
    updated_at_s: float


class RunTimeTotalRow(NamedTuple):
    """Run times of a service or a route, as all VMs observed them.

    Attributes:
        key: ``(service, route_id)``; the route is empty for all routes together.
        sums: Sum of the ``RunTimeRow`` of all sources.
        updated_at_s: Monotonic time up to which the sums are decayed.
    """

    key: tuple[str, str]
    sums: RunTimeSums
    updated_at_s: float


def make_run_time_priors() -> Table[RunTimePriorRow]:
    """Return an empty table of what the configuration implies, by service."""
    return Table(RunTimePriorRow, key="service")


def make_run_times() -> Table[RunTimeRow]:
    """Return an empty table of run times by source, service and route."""
    return Table(RunTimeRow, key="key", indexes=("source",))


def make_run_time_totals() -> Table[RunTimeTotalRow]:
    """Return an empty table of the fleet's run times by service and route."""
    return Table(RunTimeTotalRow, key="key")
