"""Explores suspect servers at a bounded rate while services fail and are overloaded.

Only requests show whether a failing server has recovered. Every try at one that still
fails costs a retry, so the VMs of a zone together try each suspect server about twice
a second, whatever their number and however busy the sound servers are.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.budget import (
    has_exploration_budget,
    has_idempotent_requests,
    zone_requests_per_s,
)
from burdockhitch.systems.direct.evidence.run_times import mean_run_time_s
from burdockhitch.systems.direct.selection import (
    OTHER_ZONE_EXPLORE_AGE_S,
    P_EXPLORE,
    SLOW_RATIO,
    Candidate,
    CandidateGroups,
    can_retry_elsewhere,
)
from burdockhitch.systems.direct.server_estimates import latency_ratio
from burdockhitch.tables.requests import RequestRow
from burdockhitch.world import World

# Age of the last observation, by any VM, from which a suspect server is explored.
# Failures are reported within milliseconds, so it bounds the rate for servers that
# fail fast.
EXPLORE_AGE_S = 0.4
# Tries a second at each suspect server by the VMs of a zone together. It bounds the
# rate for servers that hang or have recovered, until their first observation.
EXPLORATIONS_PER_S = 2.0
# The same for services whose requests can't be retried: a try at a server that still
# fails loses a request, but a server that has recovered must not stay without work
# until its probability of failing has decayed, which takes about 3 s.
ONCE_EXPLORE_AGE_S = 1.2
ONCE_EXPLORATIONS_PER_S = 0.7


def _time_elsewhere_s(world: World, row: RequestRow, groups: CandidateGroups) -> float:
    """Return the expected time of another try at a sound server."""
    candidates = groups.sound or groups.rejecting
    run_s = mean_run_time_s(world, row.service)
    return min((c.wait_s + c.run_s for c in candidates), default=run_s)


def _is_due(
    world: World, candidate: Candidate, same_zone_age_s: float, now: Instant
) -> bool:
    """Return whether a suspect server may be explored, as far as this VM knows."""
    is_same_zone = candidate.server.zone == world.local.zone
    age_min_s = same_zone_age_s
    if not is_same_zone:
        age_min_s = max(age_min_s, OTHER_ZONE_EXPLORE_AGE_S)
    return (
        candidate.has_free_slot
        and now.monotonic_s - candidate.estimate.updated_at_s >= age_min_s
        and latency_ratio(candidate.estimate, now) <= SLOW_RATIO
    )


def _can_spare(
    world: World, row: RequestRow, groups: CandidateGroups, now: Instant
) -> bool:
    """Return whether a request may be retried, with time for a full run elsewhere."""
    if not can_retry_elsewhere(world, row, now):
        return False
    if not has_exploration_budget(world, row.service, now):
        return False
    needed_s = mean_run_time_s(world, row.service)
    needed_s += _time_elsewhere_s(world, row, groups)
    return needed_s <= row.deadline_s - now.monotonic_s


def choose_to_explore(
    world: World, row: RequestRow, groups: CandidateGroups, now: Instant
) -> Candidate | None:
    """Return a suspect server for the first try of a request, None for no exploration.

    The request must be one that may be retried, with time left for a run at the
    suspect server and another full run at a sound one. Only where a service has no such
    requests, others explore, less often.
    """
    if row.tried or not groups.has_sound():
        return None
    age_s, per_s = EXPLORE_AGE_S, EXPLORATIONS_PER_S
    if not row.is_idempotent and not has_idempotent_requests(world, row.service, now):
        age_s, per_s = ONCE_EXPLORE_AGE_S, ONCE_EXPLORATIONS_PER_S
    elif not _can_spare(world, row, groups, now):
        return None
    due = [c for c in groups.suspect if _is_due(world, c, age_s, now)]
    if not due:
        return None
    rate_per_s = max(0.001, zone_requests_per_s(world, row.service, now))
    p_explore = min(P_EXPLORE, per_s * len(due) / rate_per_s)
    if world.rng.random() >= p_explore:
        return None
    same_zone = [c for c in due if c.server.zone == world.local.zone]
    return world.rng.choice(same_zone or due)
