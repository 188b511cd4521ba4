"""Routes, rate limits and windows that the rules define."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RouteRow(NamedTuple):
    """A route, which names the service that answers requests by method and path.

    Attributes:
        route_id: ``METHOD path``.
        service: Service that answers.
        method: HTTP method.
        path: Exact path, or a path prefix followed by ``*``.
        is_idempotent: Whether a request may run more than once.
        once: Name of the at-most-once policy that admits its requests.
        timeout_s: Longest time from acceptance of a request to its answer.
        priority: Requests with a smaller value are dispatched first.
        requester: Who requested the rule.
        line: Line number of the rule.
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


class RateLimitRow(NamedTuple):
    """Rate limit of a caller account.

    Attributes:
        account: Caller account, or ``*`` for each account without a limit of its
            own.
        rate_per_s: Requests per second over the whole fleet.
        burst: Most requests that it may send at once over the whole fleet.
        requester: Who requested the rule.
        line: Line number of the rule.
    """

    account: str
    rate_per_s: float
    burst: int
    requester: str
    line: int


class TokenBucketRow(NamedTuple):
    """Token bucket of a caller account on this VM.

    Attributes:
        account: Caller account.
        n_tokens: Requests that it might send to this VM at once, at ``refilled_at_s``.
        refilled_at_s: Monotonic time of the last refill.
    """

    account: str
    n_tokens: float
    refilled_at_s: float


class WindowRow(NamedTuple):
    """A daily period in which a service has a floor of its own.

    The floor is the number of healthy slots that ejections must leave.

    Attributes:
        window_id: ``service start-end``.
        service: Name of the service.
        start_minute: Minute of the day, from 0, at which it begins.
        end_minute: Minute of the day at which it ends; if smaller than
            ``start_minute``, the window ends on the next day.
        time_zone: Time zone of its hours, by name in the IANA database.
        floor_slots: Floor of the service while the window is in force.
        load_requests_per_s: Load of the whole fleet that puts it in force outside
            its hours too.
        requester: Who requested the rule.
        line: Line number of the rule.
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


def make_rate_limits() -> Table[RateLimitRow]:
    """Return an empty table of rate limits by account."""
    return Table(RateLimitRow, key="account")


def make_token_buckets() -> Table[TokenBucketRow]:
    """Return an empty table of token buckets by account."""
    return Table(TokenBucketRow, key="account")


def make_windows() -> Table[WindowRow]:
    """Return an empty table of windows."""
    return Table(WindowRow, key="window_id", indexes=("service",))
