"""Decides which requests to refuse early while all backend servers are busy.

A request that waits beyond its latency objective has little value and delays those
queued behind it, so beyond some lateness an early refusal serves callers better.
Requests of the most urgent priority have the highest value per slot time and are
never refused for this reason.
"""

import math

from burdockhitch.systems.direct.selection import Candidate
from burdockhitch.tables.requests import RequestRow

# Expected time, as a multiple of the latency objective, beyond which a request is
# refused, by priority. About half of the answers are late at 1, nearly all at 1.4.
TIME_SHARES = (math.inf, 2.0, 1.4)
# A wait below this fraction of the objective is no overload: the service is slow.
WAIT_SHARE = 0.25


def time_share(priority: int) -> float:
    """Return a priority's limit of expected time, as a multiple of the objective."""
    return TIME_SHARES[min(max(0, priority), len(TIME_SHARES) - 1)]


def is_not_worth_waiting(row: RequestRow, choice: Candidate) -> bool:
    """Return whether to refuse a request instead of letting it wait.

    Args:
        row: Request; only its first try can be refused for this reason.
        choice: Backend server selected for it.
    """
    if row.n_tries or row.latency_objective_s <= 0:
        return False
    if choice.wait_s < WAIT_SHARE * row.latency_objective_s:
        return False
    expected_s = choice.wait_s + choice.run_s
    return expected_s > time_share(row.priority) * row.latency_objective_s
