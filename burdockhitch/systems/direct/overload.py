"""Decides which requests are worth their wait when all servers are busy.

A request that waits beyond its latency objective earns little and delays those
behind it, so beyond some lateness an early refusal serves callers better. The most
urgent class is worth most for the time of a slot, and is never refused so.
"""

import math

from burdockhitch.systems.direct.selection import Candidate
from burdockhitch.tables.requests import RequestRow

# Expected time, as a share of the objective, beyond which a request is refused, by
# priority. About half of the answers are late at 1, and nearly all at 1.4.
TIME_SHARES = (math.inf, 2.0, 1.4)
# Below this share of the objective a wait is no overload: the service is slow.
WAIT_SHARE = 0.25


def time_share(priority: int) -> float:
    """Return the share of the objective that a class may be expected to take."""
    return TIME_SHARES[min(max(0, priority), len(TIME_SHARES) - 1)]


def is_not_worth_waiting(row: RequestRow, choice: Candidate) -> bool:
    """Return whether to refuse a request rather than to let it wait.

    Args:
        row: Request; only its first try is refused so.
        choice: The best server for it.
    """
    if row.n_tries or row.objective_s <= 0:
        return False
    if choice.wait_s < WAIT_SHARE * row.objective_s:
        return False
    expected_s = choice.wait_s + choice.run_s
    return expected_s > time_share(row.priority) * row.objective_s
