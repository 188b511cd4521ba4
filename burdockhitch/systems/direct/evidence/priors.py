"""Estimates run times before the first answers, for services of any run time.

The only evidence then is the configuration: operators choose objectives and time
limits as multiples of the work that a service does.
"""

from burdockhitch.tables.run_times import RunTimePriorRow
from burdockhitch.world import World

# Mean run time as a fraction of the latency objective. On 13 services it was 0.19 to
# 0.40, with a geometric mean of 0.30.
OBJECTIVE_FRACTION = 0.3
# The same of the time limit, for routes without an objective: 0.12 to 0.21 on those of
# these services with run times of 0.5 s or more, and less on the others.
TIMEOUT_FRACTION = 0.15
# Fraction of the time limit after which a service with few answers has its answer
# overdue at the latest, so that time is left for another run.
TIMEOUT_OVERDUE_FRACTION = 0.5
# Run time of a service to which no route has led since this VM started; no request
# can be sent to it.
NO_ROUTE_S = 0.2


def update_priors(world: World) -> None:
    """Update what the configuration implies, from the routes in force."""
    priors: dict[str, RunTimePriorRow] = {}
    for route in world.prefix_routes:
        for target in route.targets:
            row = RunTimePriorRow(
                target.service, route.latency_objective_s, route.timeout_s
            )
            held = priors.get(target.service, row._replace(n_routes=0))
            objectives_s = [
                objective_s
                for objective_s in (held.latency_objective_s, row.latency_objective_s)
                if objective_s > 0
            ]
            priors[target.service] = RunTimePriorRow(
                target.service,
                min(objectives_s, default=0.0),
                min(held.timeout_s, row.timeout_s),
                held.n_routes + 1,
            )
    for row in priors.values():
        world.run_time_priors.put(row)


def prior_mean_s(world: World, service: str) -> float:
    """Return the mean run time of a service that its routes imply."""
    prior = world.run_time_priors.get(service)
    if prior is None:
        return NO_ROUTE_S
    if prior.latency_objective_s > 0:
        return OBJECTIVE_FRACTION * prior.latency_objective_s
    return TIMEOUT_FRACTION * prior.timeout_s


def overdue_bounds_s(world: World, service: str) -> tuple[float, float]:
    """Return bounds of the time after which the answer of an idle server is overdue.

    They apply while a service has few answers. An answer within the objective is never
    overdue, unless no time would be left for another run.
    """
    prior = world.run_time_priors.get(service)
    if prior is None:
        return 0.0, float("inf")
    latest_s = TIMEOUT_OVERDUE_FRACTION * prior.timeout_s
    return min(prior.latency_objective_s, latest_s), latest_s
