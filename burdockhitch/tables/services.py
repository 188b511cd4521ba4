"""Services, their retry budgets, and what the VMs measured of them."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServiceRow(NamedTuple):
    """One service that the rules define.

    Attributes:
        service: Name of the service.
        floor_slots: Healthy slots that ejections must leave, outside windows.
        health_profile: Name of a registered health profile.
        queue_timeout_s: Longest time that a request waits for a slot.
        requester: Who requested the rule.
        line: Line number of the rule.
    """

    service: str
    floor_slots: int
    health_profile: str
    queue_timeout_s: float
    requester: str
    line: int


class RetryBudgetRow(NamedTuple):
    """Retry budget of a service on this VM.

    The window is counted only with direct sending, to bound the tokens.

    Attributes:
        service: Name of the service.
        n_tokens: Retries left; each request (direct sending) or each success
            (sending by owners) adds a fraction of one.
        window_started_at_s: Monotonic time at which the current window began.
        n_requests: Requests in the current window.
        n_requests_previous_window: Requests in the previous window.
    """

    service: str
    n_tokens: float
    window_started_at_s: float = 0.0
    n_requests: int = 0
    n_requests_previous_window: int = 0


class ServiceReportRow(NamedTuple):
    """Latency, health and request rate of a service as one VM reported them.

    Attributes:
        key: ``(service, vm_id)``.
        service: Name of the service.
        median_s: Running estimate of the median latency of the answers; 0 before
            the first.
        n_owned: Backend servers of the service that the VM owns.
        n_suspect: How many of them are suspect or ejected.
        requests_per_s: Rate at which callers send requests to the VM, by its last
            report; the row of this VM itself holds 0.
    """

    key: tuple[str, str]
    service: str
    median_s: float
    n_owned: int = 0
    n_suspect: int = 0
    requests_per_s: float = 0.0


def make_services() -> Table[ServiceRow]:
    """Return an empty table of services."""
    return Table(ServiceRow, key="service")


def make_retry_budgets() -> Table[RetryBudgetRow]:
    """Return an empty table of retry budgets."""
    return Table(RetryBudgetRow, key="service")


def make_service_reports() -> Table[ServiceReportRow]:
    """Return an empty table of reports by service and VM."""
    return Table(ServiceReportRow, key="key", indexes=("service",))
