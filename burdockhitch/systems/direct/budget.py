"""This VM's share of the fleet's retry budget.

The budget counts sends beyond the first of each request over a sliding window:
a ratio of the requests plus a fixed slack for the whole fleet. Each VM may use
the ratio of its own requests and its share of the slack, so the shares add up
however the VMs come and go.
"""

from burdockhitch.clock import Instant
from burdockhitch.tables.services import RetryBudgetRow
from burdockhitch.world import World, count

# Of the ratio, this part is earned by each request and the rest bounds bursts,
# so that any window holds no more than the ratio in sum.
EARNED_PART = 0.7
BURST_PART = 0.2
SLACK_PART = 0.8


def _n_sharing(world: World) -> int:
    return max(1, len(world.vms))


def _cap(world: World, row: RetryBudgetRow) -> float:
    settings = world.settings.direct
    slack = SLACK_PART * settings.retry_slack / _n_sharing(world)
    n_requests = max(row.n_requests, row.n_requests_before)
    return slack + BURST_PART * settings.retry_ratio * n_requests


def _budget(world: World, service: str, now: Instant) -> RetryBudgetRow:
    row = world.retry_budgets.get(service)
    if row is None:
        row = RetryBudgetRow(service, 0.0, now.monotonic_s)
        row = row._replace(n_tokens=_cap(world, row))
    elapsed_s = now.monotonic_s - row.window_started_at_s
    window_s = world.settings.direct.retry_window_s
    if elapsed_s >= window_s:
        is_adjacent = elapsed_s < 2.0 * window_s
        row = row._replace(
            window_started_at_s=now.monotonic_s,
            n_requests=0,
            n_requests_before=row.n_requests if is_adjacent else 0,
        )
    return row


def earn_retry(world: World, service: str, now: Instant) -> None:
    """Add what one request of a caller earns."""
    row = _budget(world, service, now)
    row = row._replace(n_requests=row.n_requests + 1)
    n_tokens = row.n_tokens + EARNED_PART * world.settings.direct.retry_ratio
    world.retry_budgets.put(row._replace(n_tokens=min(_cap(world, row), n_tokens)))


def has_retry(world: World, service: str, now: Instant) -> bool:
    """Return whether one more send is within this VM's share."""
    return _budget(world, service, now).n_tokens >= 1.0


def spend_retry(world: World, service: str, now: Instant) -> None:
    """Take one send out of this VM's share."""
    row = _budget(world, service, now)
    world.retry_budgets.put(row._replace(n_tokens=row.n_tokens - 1.0))
    count(world, "retries", "service", service)
