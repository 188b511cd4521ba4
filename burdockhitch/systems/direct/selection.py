"""Selects a backend server for a request."""

import math
from collections.abc import Callable
from typing import NamedTuple

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.admission.policies import excludes_suspects
from burdockhitch.systems.direct.budget import (
    has_exploration_budget,
    has_idempotent_requests,
    has_retry_budget,
)
from burdockhitch.systems.direct.evidence.run_times import mean_run_time_s
from burdockhitch.systems.direct.reports import utilisation
from burdockhitch.systems.direct.sending_permission import make_checks
from burdockhitch.systems.direct.server_estimates import (
    P_FAILING_SUSPECT,
    SHED_AVOID_S,
    latency_ratio,
    p_failing,
)
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.requests import RequestRow
from burdockhitch.tables.server_estimates import ServerEstimateRow
from burdockhitch.world import World

# Costs are in units of a request's value. A failure loses that value and lowers the
# share of requests that are served, which counts separately on a logarithmic scale.
FAILURE_COST = 4.0
RETRIED_FAILURE_COST = 0.4
# A late answer keeps three tenths of the value.
LATE_COST = 0.7
# A wait also delays the requests queued behind it.
WAIT_COST = 0.3
# Traffic between zones costs about a twentieth of a request's value.
OTHER_ZONE_COST = 0.05
# Largest random cost, which decides between servers of equal cost.
TIE_COST = 0.01
# Shape of the Weibull distribution of answer times; the tail is thinner than that of
# an exponential distribution.
TIME_SHAPE = 1.5
# Keeps the expected wait finite.
UTILISATION_MAX = 0.95
# Fraction of the mean run time that must remain until the deadline after the wait; not
# all of it, since many answers take less than the mean.
RUN_TIME_FRACTION_MIN = 0.6
# Factor of the expected run time while a server warms up.
WARM_UP_FACTOR = 2.0
# Probability that the first try of a request that can be retried explores servers of
# this zone; servers of other zones by the share of them to explore.
P_EXPLORE = 0.5
# The same for requests that can't be retried, multiplied by the share of servers to
# explore: it risks a tenth more of their value, and three in ten servers may go without
# work.
P_EXPLORE_ONCE = 0.4
# Age of the last observation from which a server is explored more often, and factor of
# that: a server without work for a few seconds is a loss, also where few requests find
# it by chance.
UNOBSERVED_AGE_S = 1.5
UNOBSERVED_FACTOR = 2.0
# Highest probability of failing of a server that such a request explores while the
# service has requests that can be retried, which explore the others.
P_FAILING_ONCE_MAX = 0.2
# Age of the last observation from which a server of another zone is explored. Before,
# the VMs of its own zone explore it at less cost and report their successes.
OTHER_ZONE_EXPLORE_AGE_S = 1.0
# A server whose latency ratio is above this is slow and isn't explored.
SLOW_RATIO = 1.5
# Failure probability up to which a server is proven, e.g. by a success in the last
# second. Proven servers count as equally good; preferring the best would leave the
# others without work.
P_FAILING_PROVEN = 0.06
# Fraction of a service's servers that must be sound for the suspect ones to get no
# requests but explorations. Below it, the sound ones could run only a small part of
# the requests, and many suspect ones answer about half of theirs.
SOUND_FRACTION_MIN = 0.25
# Fraction of the connections to each server that the VMs share equally.
CONNECTIONS_FRACTION = 0.8
# Connections to each server of a service whose limit the configuration doesn't list.
CONNECTIONS_DEFAULT = 100


class Candidate(NamedTuple):
    """A backend server that a request may be sent to, with estimates for the request.

    Attributes:
        server: Backend server.
        estimate: Estimate of whether it is failing and how slow it is.
        wait_s: Expected wait for a slot.
        run_s: Expected time from getting a slot to the answer.
        has_free_slot: Whether a slot is free as far as loads are reported to this VM.
    """

    server: BackendServerRow
    estimate: ServerEstimateRow
    wait_s: float
    run_s: float
    has_free_slot: bool


class CandidateGroups(NamedTuple):
    """The servers that accept requests of this VM and were not tried for a request.

    Attributes:
        sound: Servers that are probably healthy.
        rejecting: Such servers that rejected a request of this VM a moment ago.
        suspect: Servers that are probably failing, where these are set apart; else they
            are among the sound ones.
        avoided: Servers that this VM can't reach, whose answers don't reach it, or that
            belong to other services.
        n_full: Number of servers that are probably healthy, but to which this VM uses
            all its connections.
    """

    sound: list[Candidate]
    rejecting: list[Candidate]
    suspect: list[Candidate]
    avoided: list[Candidate]
    n_full: int

    def has_sound(self) -> bool:
        """Return whether enough servers are sound to leave the suspect ones alone."""
        n_sound = len(self.sound) + len(self.rejecting) + self.n_full
        n_servers = n_sound + len(self.suspect)
        return n_sound > 0 and n_sound >= SOUND_FRACTION_MIN * n_servers


SelectionPolicy = Callable[[World, RequestRow, list[Candidate], Instant], Candidate]
selection_policies: Registry[SelectionPolicy] = Registry("selection policy")


def count_in_flight(world: World, server_id: str) -> int:
    """Return the requests in flight at a server, from this VM and as peers report."""
    load = world.peer_load_totals.get(server_id)
    own = world.attempts.count("server_id", server_id)
    return own + (load.n_in_flight if load else 0)


def _connections_max(world: World, service: str) -> float:
    """Return how many connections to each server of a service this VM may use."""
    n_max = CONNECTIONS_DEFAULT
    for document in world.configurations:
        n_max = document.connections_max.get(service, n_max)
    return max(1.0, CONNECTIONS_FRACTION * n_max / max(1, len(world.vms)))


def _make_candidate(
    world: World,
    server: BackendServerRow,
    estimate: ServerEstimateRow,
    busy_share: float,
    now: Instant,
) -> Candidate:
    """Return a server with the expected wait and run time of a request there."""
    run_s = mean_run_time_s(world, server.service) * max(
        0.5, latency_ratio(estimate, now)
    )
    if estimate.warm_up_until_s > now.monotonic_s:
        run_s *= WARM_UP_FACTOR
    n_ahead = count_in_flight(world, server.server_id) + 1 - server.n_slots
    wait_s = max(0, n_ahead) * run_s / max(1, server.n_slots)
    if server.zone != world.local.zone:
        wait_s = max(wait_s, _unreported_wait_s(server.n_slots, busy_share, run_s))
    return Candidate(server, estimate, wait_s, run_s, n_ahead <= 0)


def _unreported_wait_s(n_slots: int, busy_share: float, run_s: float) -> float:
    """Return the expected wait at a server whose load is not reported to this VM.

    It is the heavy-traffic approximation of the wait in a queue with ``n_slots``
    parallel slots.
    """
    capped = min(UTILISATION_MAX, busy_share)
    return run_s * float(capped**n_slots) / (n_slots * (1.0 - capped))


def _p_late(row: RequestRow, candidate: Candidate, now: Instant) -> float:
    """Return the probability that an answer misses the latency objective."""
    remaining_s = row.accepted_at_s + row.latency_objective_s - now.monotonic_s
    if remaining_s <= 0:
        return 1.0
    mean_s = max(0.001, candidate.wait_s + candidate.run_s)
    return math.exp(-((remaining_s / mean_s) ** TIME_SHAPE))


def _is_rejecting(estimate: ServerEstimateRow, now: Instant) -> bool:
    """Return whether a server is avoided only since it rejected a request just now."""
    return (
        estimate.avoided_until_s - now.monotonic_s <= SHED_AVOID_S
        and estimate.n_connect_failures == 0
        and estimate.lost_here_until_s <= now.monotonic_s
    )


def group_candidates(world: World, row: RequestRow, now: Instant) -> CandidateGroups:
    """Return the servers of a request's service by whether they are sound."""
    groups = CandidateGroups([], [], [], [], 0)
    n_full = 0
    excludes = excludes_suspects(world)
    busy_share = utilisation(world, row.service)
    connections_max = _connections_max(world, row.service)
    servers = world.backend_servers.select("service", row.service)
    for check in make_checks(world, now).values():
        servers = list(filter(check, servers))
    for server in servers:
        if server.server_id in row.tried:
            continue
        estimate = world.server_estimates.fetch(server.server_id)
        is_suspect = excludes and p_failing(estimate, now) >= P_FAILING_SUSPECT
        is_avoided = estimate.avoided_until_s > now.monotonic_s
        n_own = world.attempts.count("server_id", server.server_id)
        if n_own >= connections_max:
            n_full += not is_suspect and not is_avoided
            continue
        candidate = _make_candidate(world, server, estimate, busy_share, now)
        if is_avoided and (is_suspect or not _is_rejecting(estimate, now)):
            groups.avoided.append(candidate)
        elif is_avoided:
            groups.rejecting.append(candidate)
        elif is_suspect:
            groups.suspect.append(candidate)
        else:
            groups.sound.append(candidate)
    return groups._replace(n_full=n_full)


def usable_candidates(groups: CandidateGroups) -> list[Candidate]:
    """Return the servers to choose from, none if the sound ones have no connection.

    Suspect servers answer within a millisecond and so seem idle: they don't replace
    sound ones that are busy. Servers that this VM avoids are returned only if there is
    no other.
    """
    if groups.has_sound():
        return groups.sound or groups.rejecting
    return groups.sound + groups.suspect or groups.rejecting + groups.avoided


def find_candidates(world: World, row: RequestRow, now: Instant) -> list[Candidate]:
    """Return the servers of a request's service that it may be sent to."""
    return usable_candidates(group_candidates(world, row, now))


def would_miss_deadline(row: RequestRow, candidate: Candidate, now: Instant) -> bool:
    """Return whether a server is unlikely to answer before the request's deadline."""
    needed_s = candidate.wait_s + RUN_TIME_FRACTION_MIN * candidate.run_s
    return needed_s > row.deadline_s - now.monotonic_s


@selection_policies("random")
def choose_random(
    world: World, row: RequestRow, candidates: list[Candidate], now: Instant
) -> Candidate:
    """Choose a server at random, as a baseline for comparisons."""
    return world.rng.choice(candidates)


def can_retry_elsewhere(world: World, row: RequestRow, now: Instant) -> bool:
    """Return whether a request may be retried if this try fails."""
    return (
        row.is_idempotent
        and row.n_tries_max > len(row.tried) + 1
        and has_retry_budget(world, row.service, row.priority, now)
    )


def _is_unproven(candidate: Candidate, p_max: float, now: Instant) -> bool:
    """Return whether a server with a free slot lacks recent successes, yet isn't slow.

    Args:
        candidate: Server.
        p_max: Highest probability that it is failing.
        now: Time of the choice.
    """
    return (
        candidate.has_free_slot
        and P_FAILING_PROVEN < p_failing(candidate.estimate, now) <= p_max
        and latency_ratio(candidate.estimate, now) <= SLOW_RATIO
    )


def _age_s(candidate: Candidate, now: Instant) -> float:
    """Return the age of the last observation of a server, by any VM."""
    return now.monotonic_s - candidate.estimate.updated_at_s


def _explored_p_failing_max(
    world: World, row: RequestRow, can_retry: bool, now: Instant
) -> float:
    """Return the highest probability of failing of a server that a request explores."""
    if can_retry:
        return P_FAILING_SUSPECT if excludes_suspects(world) else 1.0
    if has_idempotent_requests(world, row.service, now):
        return P_FAILING_ONCE_MAX
    return P_FAILING_SUSPECT


def _find_unproven(
    world: World, row: RequestRow, candidates: list[Candidate], now: Instant
) -> list[Candidate]:
    """Return the unproven servers that this request may explore, if any.

    First tries sometimes explore servers without recent observations, so that no
    server stays without work. Servers of this zone come first; those of other zones
    only if nobody has observed them for a while. ``admission.exploration`` explores
    the suspect ones.
    """
    if row.tried:
        return []
    can_retry = can_retry_elsewhere(world, row, now) and has_exploration_budget(
        world, row.service, now
    )
    p_max = _explored_p_failing_max(world, row, can_retry, now)
    p_explore = P_EXPLORE if can_retry else P_EXPLORE_ONCE
    same_zone = [c for c in candidates if c.server.zone == world.local.zone]
    unproven = [c for c in same_zone if _is_unproven(c, p_max, now)]
    share = 1.0 if can_retry else len(unproven) / max(1, len(same_zone))
    is_sparse = excludes_suspects(world)
    if is_sparse and any(_age_s(c, now) > UNOBSERVED_AGE_S for c in unproven):
        share = min(1.0, UNOBSERVED_FACTOR * share)
    if unproven and world.rng.random() < p_explore * share:
        return unproven
    n_other_zones = len(candidates) - len(same_zone)
    unproven = [
        c
        for c in candidates
        if c.server.zone != world.local.zone
        and _age_s(c, now) > OTHER_ZONE_EXPLORE_AGE_S
        and _is_unproven(c, p_max, now)
    ]
    share = len(unproven) / max(1, n_other_zones)
    return unproven if world.rng.random() < p_explore * share else []


@selection_policies("expected_cost")
def choose_least_cost(
    world: World, row: RequestRow, candidates: list[Candidate], now: Instant
) -> Candidate:
    """Choose the server with the least expected cost, or an unproven one to explore."""
    unproven = _find_unproven(world, row, candidates, now)
    if unproven:
        return world.rng.choice(unproven)
    can_retry = can_retry_elsewhere(world, row, now)
    failure_cost = RETRIED_FAILURE_COST if can_retry else FAILURE_COST
    objective_s = row.latency_objective_s or 1.0

    def cost(candidate: Candidate) -> float:
        is_other_zone = candidate.server.zone != world.local.zone
        return (
            max(P_FAILING_PROVEN, p_failing(candidate.estimate, now)) * failure_cost
            + LATE_COST * _p_late(row, candidate, now)
            + WAIT_COST * candidate.wait_s / objective_s
            + OTHER_ZONE_COST * is_other_zone
            + TIE_COST * world.rng.random()
        )

    return min(candidates, key=cost)
