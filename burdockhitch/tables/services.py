"""Services and their learned state."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class ServiceRow(NamedTuple):
    """One service.

    Attributes:
        service: Name.
        floor_slots: Healthy slots that ejections must leave.
        health_profile: Name of a registered health profile.
        queue_timeout_s: Longest wait for a slot.
        requester: Who asked for the rule.
        line: Line of the rule.
    """

    service: str
    floor_slots: int
    health_profile: str
    queue_timeout_s: float
    requester: str
    line: int


class RetryBudgetRow(NamedTuple):
    """Retries that a service may still use on this VM.

    Attributes:
        service: Name of the service.
        n_tokens: Retries left; successes or requests add a share of one.
        window_started_at_s: Monotonic time at which counting began.
        n_requests: Requests since then.
        n_requests_before: Requests in the window before.
    """

    service: str
    n_tokens: float
    window_started_at_s: float = 0.0
    n_requests: int = 0
    n_requests_before: int = 0


class LatencyRow(NamedTuple):
    """Latency and health of a service as one VM measured them.

    Attributes:
        key: ``(service, vm_id)``.
        service: Name of the service.
        median_s: Running median of the answers' latency; 0 before the first.
        n_owned: Backend servers of the service that the VM owns.
        n_suspect: How many of them are suspect or ejected.
        requests_per_s: Requests that callers sent to the VM.
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


def make_latencies() -> Table[LatencyRow]:
    """Return an empty table of latencies."""
    return Table(LatencyRow, key="key", indexes=("service",))
