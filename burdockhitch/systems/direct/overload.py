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
# refused, by priority: at 1 only about half of the answers are late, at 1.4 nearly all.
EXPECTED_TIME_LIMITS = (math.inf, 2.0, 1.4)
# A wait below this fraction of the objective is no overload: if the expected time is
# too long then, the service itself is slow.
OVERLOAD_WAIT_MIN = 0.25


def expected_time_limit(priority: int) -> float:
    """Return a priority's limit of expected time, as a multiple of the objective."""
    return EXPECTED_TIME_LIMITS[min(max(0, priority), len(EXPECTED_TIME_LIMITS) - 1)]


def should_shed(row: RequestRow, choice: Candidate) -> bool:
    """Return whether to refuse a request instead of letting it wait.

    Args:
        row: Request; only its first try can be refused for this reason.
        choice: Backend server selected for it, with the expected times.
    """
    if row.n_tries or row.latency_objective_s <= 0:
        return False
    if choice.wait_s < OVERLOAD_WAIT_MIN * row.latency_objective_s:
        return False
    expected_s = choice.wait_s + choice.run_s
    return expected_s > expected_time_limit(row.priority) * row.latency_objective_s
