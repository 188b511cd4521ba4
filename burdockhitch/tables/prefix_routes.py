"""Routes by host and path prefix, as a platform's configuration states them."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RouteTarget(NamedTuple):
    """One service of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other targets.
    """

    service: str
    weight: float


class PrefixRouteRow(NamedTuple):
    """One route.

    Attributes:
        route_id: Name of the route.
        host: Value of ``Host`` that it serves.
        prefix: Beginning of the path, with a slash at both ends.
        targets: Services that answer, at least one.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time from acceptance to the answer.
        objective_s: Latency objective.
        n_tries_max: Backend servers that one request may be sent to.
        priority: Smaller goes first when slots are short.
    """

    route_id: str
    host: str
    prefix: str
    targets: tuple[RouteTarget, ...]
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    n_tries_max: int
    priority: int


def make_prefix_routes() -> Table[PrefixRouteRow]:
    """Return an empty table of routes."""
    return Table(PrefixRouteRow, key="route_id", indexes=("host",))
