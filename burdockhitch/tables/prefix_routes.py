"""Routes by host and path prefix, from the configuration in the registry."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RouteTarget(NamedTuple):
    """One of the services that a route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the route's other targets.
    """

    service: str
    weight: float


class PrefixRouteRow(NamedTuple):
    """A route; of those that match a request, the one with the longest prefix applies.

    Attributes:
        route_id: Name of the route.
        host: ``Host`` header of the requests that it matches.
        prefix: Path prefix that it matches, with a slash at both ends.
        targets: Services to choose from by weight, at least one.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time from acceptance of a request to its answer.
        latency_objective_s: Time from acceptance within which a request should be
            answered.
        n_tries_max: Most tries of a request; a send that reached no backend server
            doesn't count.
        priority: Requests with a smaller value are dispatched first.
        is_public: Whether a request needs no key of a client account.
    """

    route_id: str
    host: str
    prefix: str
    targets: tuple[RouteTarget, ...]
    is_idempotent: bool
    timeout_s: float
    latency_objective_s: float
    n_tries_max: int
    priority: int
    is_public: bool = False


def make_prefix_routes() -> Table[PrefixRouteRow]:
    """Return an empty table of routes by host and path prefix."""
    return Table(PrefixRouteRow, key="route_id", indexes=("host",))
