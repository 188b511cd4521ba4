"""Retry budget: a token bucket that limits retries to a share of the successes."""

from burdockhitch.clock import Instant
from burdockhitch.tables.requests import RequestRow
from burdockhitch.tables.services import RetryBudgetRow
from burdockhitch.world import World, count

# Each retry spends one token.
TOKENS_PER_SUCCESS = 0.1
TOKENS_MAX = 10.0
# Tries of a request, the first one included.
N_TRIES_MAX = 3
# Least time left until the deadline of a request at which it may be retried.
REMAINING_TIME_MIN_S = 0.01


def _get_budget(world: World, service: str) -> RetryBudgetRow:
    """Return the budget of a service, full before its first use."""
    row = world.retry_budgets.get(service)
    return row or RetryBudgetRow(service, TOKENS_MAX)


def may_retry(world: World, row: RequestRow, now: Instant) -> bool:
    """Return whether tries, time left and the service's budget allow a retry."""
    if row.n_tries >= N_TRIES_MAX:
        return False
    if row.deadline_s - now.monotonic_s < REMAINING_TIME_MIN_S:
        return False
    return _get_budget(world, row.service).n_tokens >= 1.0


def spend_retry_budget(world: World, row: RequestRow) -> None:
    """Take one token out of the service's budget for a retry."""
    budget = _get_budget(world, row.service)
    world.retry_budgets.put(budget._replace(n_tokens=budget.n_tokens - 1.0))
    count(world, "retries", "service", row.service)


def credit_retry_budget(world: World, service: str) -> None:
    """Add ``TOKENS_PER_SUCCESS`` to the service's budget, up to ``TOKENS_MAX``."""
    budget = _get_budget(world, service)
    n_tokens = min(TOKENS_MAX, budget.n_tokens + TOKENS_PER_SUCCESS)
    world.retry_budgets.put(budget._replace(n_tokens=n_tokens))
