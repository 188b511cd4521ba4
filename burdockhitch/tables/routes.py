"""Routes: which requests belong to which service."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RouteRow(NamedTuple):
    """One route.

    Attributes:
        route_id: ``METHOD path``.
        service: Service that answers.
        method: HTTP method.
        path: Exact path, or a prefix ending in ``*``.
        is_idempotent: Whether a request may run more than once.
        once: Name of a registered way to run a keyed request at most once.
        timeout_s: Longest time from acceptance to the answer.
        priority: Smaller goes first when slots are short.
        requester: Who asked for the rule.
        line: Line of the rule.
    """

    route_id: str
    service: str
    method: str
    path: str
    is_idempotent: bool
    once: str
    timeout_s: float
    priority: int
    requester: str
    line: int


class LimitRow(NamedTuple):
    """Rate limit of a caller account.

    Attributes:
        account: Caller account, ``*`` for all others.
        rate_per_s: Requests a second over the whole fleet.
        burst: Requests at once.
        requester: Who asked for the rule.
        line: Line of the rule.
    """

    account: str
    rate_per_s: float
    burst: int
    requester: str
    line: int


class BucketRow(NamedTuple):
    """Token bucket of a caller account on this VM.

    Attributes:
        account: Caller account.
        n_tokens: Requests it may send now.
        filled_at_s: Monotonic time of the last refill.
    """

    account: str
    n_tokens: float
    filled_at_s: float


class WindowRow(NamedTuple):
    """Hours in which a service's floor differs.

    Attributes:
        window_id: ``service start-end``.
        service: Name of the service.
        start_minute: Minute of the day at which it begins.
        end_minute: Minute of the day at which it ends.
        time_zone: Name in the time zone database.
        floor_slots: Floor while it is in force.
        load_requests_per_s: Load that puts it in force outside its hours.
        requester: Who asked for the rule.
        line: Line of the rule.
    """

    window_id: str
    service: str
    start_minute: int
    end_minute: int
    time_zone: str
    floor_slots: int
    load_requests_per_s: float
    requester: str
    line: int


def make_routes() -> Table[RouteRow]:
    """Return an empty table of routes."""
    return Table(RouteRow, key="route_id", indexes=("service",))


def make_limits() -> Table[LimitRow]:
    """Return an empty table of rate limits."""
    return Table(LimitRow, key="account")


def make_buckets() -> Table[BucketRow]:
    """Return an empty table of token buckets."""
    return Table(BucketRow, key="account")


def make_windows() -> Table[WindowRow]:
    """Return an empty table of windows."""
    return Table(WindowRow, key="window_id", indexes=("service",))
