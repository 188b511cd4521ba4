"""Decides whether to send, hold or refuse a request while capacity is scarce.

The decisions read plain rows and don't change tables. All VMs know similar expected
waits, from the loads that they report to each other, and compare them with the same
limits by priority, account and time left. So they refuse similar requests without
messages of their own.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from burdockhitch.registry import Registry
from burdockhitch.systems.direct.overload import should_shed
from burdockhitch.systems.direct.selection import Candidate
from burdockhitch.tables.requests import RequestRow

# Longest time for which a request is held, as a fraction of its latency objective.
HOLD_FRACTION_MAX = 1 / 8
# Time after which a held request is decided again, as a fraction of its objective.
HOLD_STEP_FRACTION = 1 / 40
# Multiple of the mean run time within which nearly all runs of a healthy server end.
TAIL_FACTOR = 1.6
# Limits of the wait by steps of priority, as a fraction of the slack that the most
# urgent requests have; the waits settle at the limit of the class that fills the
# capacity, so the classes above it stay in time.
SLACK_FRACTIONS = (1.0, 0.5, 0.25)
# Lowest factor of that limit for accounts with more than their part of the demand, and
# demand relative to the mean account up to which the factor is 1.
ACCOUNT_FACTOR_MIN = 0.5
DEMAND_RATIO_FREE = 1.5
# A wait up to this fraction of the objective is no overload.
SHORT_WAIT_FRACTION = 0.05
# A request with less than this multiple of its time in service left can't return
# after a refusal: an answer that is late is worth more than none.
LAST_CHANCE_FACTOR = 3.0


class Verdict(StrEnum):
    """What happens to a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class Situation(NamedTuple):
    """What a decision knows of a request and of the capacity.

    Attributes:
        row: Request.
        now_s: Monotonic time.
        choice: Server selected for it; None if none can answer before its deadline.
        wait_s: Shortest expected wait for a slot of a sound server.
        run_s: Expected run time.
        urgency_rank: Steps of priority by which others of its service are more urgent.
        demand_ratio: Demand of its account, relative to the mean account's.
        can_hold: Whether this VM may hold one more request.
    """

    row: RequestRow
    now_s: float
    choice: Candidate | None
    wait_s: float
    run_s: float
    urgency_rank: int = 0
    demand_ratio: float = 1.0
    can_hold: bool = True


class Decision(NamedTuple):
    """What happens to a request, and why.

    Attributes:
        verdict: Send, hold or refuse.
        reason: Name of the reason.
        until_s: Monotonic time until which it is held.
        excess_s: Time by which the wait exceeds the limit of this request.
        limit_s: Limit of the wait.
    """

    verdict: Verdict
    reason: str
    until_s: float = 0.0
    excess_s: float = 0.0
    limit_s: float = 0.0


AdmissionPolicy = Callable[[Situation], Decision]
admission_policies: Registry[AdmissionPolicy] = Registry("admission policy")


@admission_policies("by_wait")
def decide_by_wait(situation: Situation) -> Decision:
    """Send or refuse by fixed limits of the expected time for each priority."""
    wait_s = situation.wait_s
    if situation.choice is None:
        return Decision(Verdict.REFUSE, "deadline", excess_s=wait_s)
    if should_shed(situation.row, situation.choice):
        wait_s = situation.choice.wait_s
        return Decision(Verdict.REFUSE, "late", excess_s=wait_s)
    return Decision(Verdict.SEND, "in_time")


def wait_limit_s(situation: Situation) -> float:
    """Return the longest wait at which a request is sent.

    The most urgent requests may wait as long as nine in ten answers still meet the
    objective, less urgent ones and accounts with more than their part less. A request
    with too little time left to return after a refusal may wait until its deadline, or
    for a part of that time if others are more urgent.
    """
    row = situation.row
    needed_s = TAIL_FACTOR * situation.run_s
    remaining_s = row.deadline_s - situation.now_s
    if row.latency_objective_s <= 0:
        return remaining_s - needed_s
    objective_s = row.accepted_at_s + row.latency_objective_s - situation.now_s
    slack_s = max(0.0, min(objective_s, remaining_s) - needed_s)
    step = min(situation.urgency_rank, len(SLACK_FRACTIONS) - 1)
    factor = SLACK_FRACTIONS[step]
    if situation.demand_ratio > DEMAND_RATIO_FREE:
        over = DEMAND_RATIO_FREE / situation.demand_ratio
        factor *= max(ACCOUNT_FACTOR_MIN, over)
    limit_s = factor * slack_s
    if remaining_s < LAST_CHANCE_FACTOR * situation.run_s:
        limit_s = max(limit_s, SLACK_FRACTIONS[step] * (remaining_s - needed_s))
    return max(limit_s, SHORT_WAIT_FRACTION * row.latency_objective_s)


@admission_policies("least_loss")
def decide_by_loss(situation: Situation) -> Decision:
    """Send what is in time, hold for a moment what soon is, and refuse the rest."""
    row, choice = situation.row, situation.choice
    limit_s = wait_limit_s(situation)
    if choice is not None and (row.n_tries or choice.has_free_slot):
        # A request that was tried already has cost a run or may have run.
        return Decision(Verdict.SEND, "in_time", limit_s=limit_s)
    excess_s = situation.wait_s - limit_s
    if choice is not None and min(situation.wait_s, choice.wait_s) <= limit_s:
        return Decision(Verdict.SEND, "in_time", limit_s=limit_s)
    held_until_s = row.accepted_at_s + HOLD_FRACTION_MAX * row.latency_objective_s
    left_s = held_until_s - situation.now_s
    if situation.can_hold and not row.n_tries and 0.0 < excess_s <= left_s:
        step_s = HOLD_STEP_FRACTION * row.latency_objective_s
        until_s = min(held_until_s, situation.now_s + step_s)
        return Decision(Verdict.HOLD, "slot_soon", until_s, excess_s, limit_s)
    reason = "deadline" if choice is None else "backlog"
    return Decision(Verdict.REFUSE, reason, 0.0, max(0.0, excess_s), limit_s)
