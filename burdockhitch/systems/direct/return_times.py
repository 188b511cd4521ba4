"""Decides when callers whose requests were refused may return.

A fixed time brings all callers of an overload back together, into the same overload.
"""

from collections.abc import Callable

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.budget import urgency_rank
from burdockhitch.tables.requests import RequestRow
from burdockhitch.world import World

# Shortest time after which a caller may return.
RETURN_MIN_S = 0.25
# Callers ignore a time beyond this fraction of what is left until their deadline.
REMAINING_FRACTION_MAX = 1 / 3

ReturnPolicy = Callable[[World, RequestRow, float, Instant], float]
return_policies: Registry[ReturnPolicy] = Registry("return policy")


def retry_after_s(
    world: World,
    row: RequestRow,
    wait_s: float,
    now: Instant,
    earliest_s: float = 0.0,
) -> float:
    """Return the time after which the caller of a refused request may return.

    Args:
        world: Tables of this VM.
        row: Request that was refused.
        wait_s: Expected wait for a slot, if it had been sent.
        now: Current time.
        earliest_s: Time after which the first server accepts requests again.
    """
    policy = return_policies[world.settings.policies.returns]
    limit_s = REMAINING_FRACTION_MAX * max(0.0, row.deadline_s - now.monotonic_s)
    return min(limit_s, earliest_s + policy(world, row, wait_s, now))


@return_policies("fixed")
def return_at_once(world: World, row: RequestRow, wait_s: float, now: Instant) -> float:
    """Return the same time for all callers, as a baseline for comparisons."""
    return RETURN_MIN_S


@return_policies("by_backlog")
def return_by_backlog(
    world: World, row: RequestRow, wait_s: float, now: Instant
) -> float:
    """Spread callers over the time in which the backlog ends, the urgent ones first.

    It answers bursts: callers of the most urgent requests return in the first part of
    that time, those of each less urgent priority in the next.
    """
    rank = urgency_rank(world, row.service, row.priority, now)
    part_s = max(RETURN_MIN_S, wait_s)
    return RETURN_MIN_S + part_s * (rank + world.rng.random())
