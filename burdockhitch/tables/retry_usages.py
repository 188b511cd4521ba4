"""Requests and retries of the services in a zone, on which retry budgets depend."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from burdockhitch.tables.table import Table


class UsageBucket(NamedTuple):
    """Requests and retries of a service that became known in a part of the window.

    Attributes:
        started_at_s: Monotonic time at which the part begins.
        n_requests: Requests of callers, from this VM and as VMs of its zone report.
        n_retries: Retries, likewise.
        most_urgent: Lowest priority value of this VM's requests; infinite for none.
    """

    started_at_s: float
    n_requests: int
    n_retries: int
    most_urgent: float = math.inf


class RetryUsageRow(NamedTuple):
    """Requests and retries of one service in the sliding window of the retry budget.

    Attributes:
        service: Name of the service.
        buckets: Parts of the window, the oldest first.
        slack: Retries a window beyond the ratio that the VMs of this zone may send.
        n_own_requests: Requests from callers of this VM since it started.
        n_own_retries: Retries that this VM sent since it started.
        last_idempotent_at_s: Monotonic time of the last request from callers of this
            VM that may run more than once.
        is_unreported: Whether this VM sent retries since its last report to the zone.
    """

    service: str
    buckets: tuple[UsageBucket, ...] = ()
    slack: float = 0.0
    n_own_requests: int = 0
    n_own_retries: int = 0
    last_idempotent_at_s: float = -math.inf
    is_unreported: bool = False


class PeerUsageRow(NamedTuple):
    """What another VM of the zone last reported of its services.

    Attributes:
        vm_id: The other VM.
        incarnation: Its incarnation at that report.
        counts: Requests from its callers and retries that it sent since it started,
            by service; services without any are left out.
        counted_since_s: Monotonic time since which this VM has counted all its
            retries.
        updated_at_s: Monotonic time at which its last message arrived.
    """

    vm_id: str
    incarnation: int
    counts: Mapping[str, tuple[int, int]]
    counted_since_s: float
    updated_at_s: float


def make_retry_usages() -> Table[RetryUsageRow]:
    """Return an empty table of requests and retries by service."""
    return Table(RetryUsageRow, key="service", indexes=("is_unreported",))


def make_peer_usages() -> Table[PeerUsageRow]:
    """Return an empty table of reported requests and retries by VM."""
    return Table(PeerUsageRow, key="vm_id")
