"""Services, their retry budgets, and what VMs report about them."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServiceRow(NamedTuple):
    """A service that the rules define.

    Attributes:
        service: Name of the service.
        floor_slots: Healthy slots that ejections must leave while no window is in
            force (a daily period with another floor).
        health_profile: Name of the registered health profile for its servers.
        queue_timeout_s: Longest time for which a request waits for a slot.
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
    """Retry budget of a service on this VM, with sending by owners.

    Attributes:
        service: Name of the service.
        n_tokens: Retries left; each success adds a fraction of one.
    """

    service: str
    n_tokens: float


class ServiceReportRow(NamedTuple):
    """Latency, health and request rate of a service on one VM.

    The row of another VM holds its last report, the row of this VM what it measured.

    Attributes:
        key: ``(service, vm_id)``.
        service: Name of the service.
        median_s: Running estimate of the median latency of the backend servers'
            answers to the VM, without server errors; 0 before the first.
        n_owned: Backend servers of the service that the VM owns.
        n_suspect: Those of them that are suspect or ejected.
        requests_per_s: Rate at which callers send requests to the VM; 0 in the row
            of this VM, whose rate is in its ``ArrivalRateRow``.
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
    """Return an empty table of retry budgets by service."""
    return Table(RetryBudgetRow, key="service")


def make_service_reports() -> Table[ServiceReportRow]:
    """Return an empty table of reports by service and VM."""
    return Table(ServiceReportRow, key="key", indexes=("service",))
