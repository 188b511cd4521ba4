"""This VM's share of the fleet's retry budget.

The budget limits sends beyond the first of each request over a sliding window, to
a ratio of the requests plus a fixed slack for the whole fleet. Each VM may use
the ratio of its own requests and an equal share of the slack, so the shares add up
to the budget as VMs join and leave.
"""

from burdockhitch.clock import Instant
from burdockhitch.tables.services import RetryBudgetRow
from burdockhitch.world import World, count

# EARNED_FRACTION of the retry ratio is credited per request; BURST_FRACTION of a
# window's ratio may be saved up for a burst. Their sum is below 1, so that no window
# exceeds the ratio.
EARNED_FRACTION = 0.7
BURST_FRACTION = 0.2
SLACK_FRACTION = 0.8


def _count_sharing_vms(world: World) -> int:
    """Return the number of VMs that share the slack."""
    return max(1, len(world.vms))


def _tokens_max(world: World, row: RetryBudgetRow) -> float:
    """Return how many tokens this VM may hold for a service."""
    settings = world.settings.direct
    slack = SLACK_FRACTION * settings.retry_slack / _count_sharing_vms(world)
    n_requests = max(row.n_requests, row.n_requests_previous_window)
    return slack + BURST_FRACTION * settings.retry_ratio * n_requests


def _current_budget(world: World, service: str, now: Instant) -> RetryBudgetRow:
    """Return a service's budget, in a new window if the last one has ended."""
    row = world.retry_budgets.get(service)
    if row is None:
        row = RetryBudgetRow(service, 0.0, now.monotonic_s)
        row = row._replace(n_tokens=_tokens_max(world, row))
    elapsed_s = now.monotonic_s - row.window_started_at_s
    window_s = world.settings.direct.retry_window_s
    if elapsed_s >= window_s:
        is_adjacent = elapsed_s < 2.0 * window_s
        row = row._replace(
            window_started_at_s=now.monotonic_s,
            n_requests=0,
            n_requests_previous_window=row.n_requests if is_adjacent else 0,
        )
    return row


def credit_retry_budget(world: World, service: str, now: Instant) -> None:
    """Credit this VM with the fraction of a retry that one caller's request earns."""
    row = _current_budget(world, service, now)
    row = row._replace(n_requests=row.n_requests + 1)
    n_tokens = row.n_tokens + EARNED_FRACTION * world.settings.direct.retry_ratio
    world.retry_budgets.put(
        row._replace(n_tokens=min(_tokens_max(world, row), n_tokens))
    )


def has_retry_budget(world: World, service: str, now: Instant) -> bool:
    """Return whether this VM's share allows one more retry."""
    return _current_budget(world, service, now).n_tokens >= 1.0


def spend_retry_budget(world: World, service: str, now: Instant) -> None:
    """Deduct one retry from this VM's share."""
    row = _current_budget(world, service, now)
    world.retry_budgets.put(row._replace(n_tokens=row.n_tokens - 1.0))
    count(world, "retries", "service", service)
