"""Recent demand, refusals and waits, by which scarce capacity is shared."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class AccountDemandRow(NamedTuple):
    """Recent requests of one client account for one service, at this VM.

    Attributes:
        key: ``(service, account)``.
        service: Name of the service.
        n_requests: Decayed number of requests at ``updated_at_s``.
        updated_at_s: Monotonic time of the last request.
    """

    key: tuple[str, str]
    service: str
    n_requests: float
    updated_at_s: float


class AccountRefusalRow(NamedTuple):
    """Requests of a client account that were refused for lack of capacity.

    Attributes:
        account: Name of the account.
        n_refusals: Refusals; an upper bound if the account replaced another one.
    """

    account: str
    n_refusals: int


class ServiceBacklogRow(NamedTuple):
    """Expected wait at the servers of a service, and its trend.

    Attributes:
        service: Name of the service.
        wait_s: Moving average of the shortest expected wait at ``updated_at_s``.
        growth: Moving average of its change, in seconds a second.
        updated_at_s: Monotonic time of the last update.
    """

    service: str
    wait_s: float
    growth: float
    updated_at_s: float


def make_service_demands() -> Table[AccountDemandRow]:
    """Return an empty table of recent requests by service and account."""
    return Table(AccountDemandRow, key="key", indexes=("service",))


def make_account_refusals() -> Table[AccountRefusalRow]:
    """Return an empty table of refusals by account."""
    return Table(AccountRefusalRow, key="account", sorted_fields=("n_refusals",))


def make_service_backlogs() -> Table[ServiceBacklogRow]:
    """Return an empty table of expected waits by service."""
    return Table(ServiceBacklogRow, key="service")
