"""Chooses the backend server of a request."""

import math
from collections.abc import Callable
from typing import NamedTuple

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.belief import P_SUSPECT, p_failing, slowness
from burdockhitch.systems.direct.budget import has_retry
from burdockhitch.systems.direct.reports import utilisation
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.beliefs import BeliefRow
from burdockhitch.tables.requests import RequestRow
from burdockhitch.world import World

# Costs are in units of the request's worth. A failure loses it, and the share of
# requests that are served at all counts on a log scale beside it.
FAILURE_COST = 4.0
RETRIED_FAILURE_COST = 0.4
# A late answer keeps three tenths of its worth.
LATE_COST = 0.7
# A wait delays others behind it too.
WAIT_COST = 0.3
# Bytes between zones are priced at about a twentieth of a request's worth.
OTHER_ZONE_COST = 0.05
TIE_COST = 0.01
# Shape of the Weibull distribution of answer times: thinner than exponential.
TIME_SHAPE = 1.5
UTILISATION_MAX = 0.95
# Many answers take less than the mean time.
RUN_SHARE_MIN = 0.6
WARM_UP_FACTOR = 2.0
SERVICE_TIME_DEFAULT_S = 0.2
EXPLORE_P = 0.5
# Of a request that must run once, times the share of servers without news: it risks
# a tenth of its worth more there, and the floor allows three in ten without work.
EXPLORE_ONCE_P = 0.4
# A server that takes longer than this multiple of the usual time is known to be slow.
SLOW_RATIO = 1.5
# A server that answered well in the last second is as good as any other such;
# preferring the best proven ones would leave the others without work.
P_PROVEN = 0.06
CONNECTIONS_SHARE = 0.8
# Where the configuration does not name the service.
CONNECTIONS_DEFAULT = 100


class Candidate(NamedTuple):
    """A backend server that may take a request.

    Attributes:
        server: Backend server.
        belief: What is believed of it.
        wait_s: Expected wait for a slot.
        run_s: Expected time from the slot to the answer.
    """

    server: BackendServerRow
    belief: BeliefRow
    wait_s: float
    run_s: float


SelectionPolicy = Callable[[World, RequestRow, list[Candidate], Instant], Candidate]
selection_policies: Registry[SelectionPolicy] = Registry("selection policy")


def mean_time_s(world: World, service: str) -> float:
    """Return how long an answer of a service usually takes."""
    row = world.service_times.get(service)
    return row.mean_s if row else SERVICE_TIME_DEFAULT_S


def count_in_flight(world: World, server_id: str) -> int:
    """Return the requests in flight at a server from all VMs that report."""
    load = world.server_loads.get(server_id)
    own = world.attempts.count("server_id", server_id)
    return own + (load.n_in_flight if load else 0)


def _connections_max(world: World, service: str) -> float:
    """Return this VM's share of the connections that each server takes."""
    n_max = CONNECTIONS_DEFAULT
    for document in world.configurations:
        n_max = document.connections_max.get(service, n_max)
    return max(1.0, CONNECTIONS_SHARE * n_max / max(1, len(world.vms)))


def _estimate(
    world: World,
    server: BackendServerRow,
    belief: BeliefRow,
    busy_share: float,
    now: Instant,
) -> Candidate:
    run_s = mean_time_s(world, server.service) * max(0.5, slowness(belief, now))
    if belief.warm_until_s > now.monotonic_s:
        run_s *= WARM_UP_FACTOR
    n_ahead = count_in_flight(world, server.server_id) + 1 - server.n_slots
    wait_s = max(0, n_ahead) * run_s / max(1, server.n_slots)
    if server.zone != world.local.zone:
        wait_s = max(wait_s, _unseen_wait_s(server.n_slots, busy_share, run_s))
    return Candidate(server, belief, wait_s, run_s)


def _unseen_wait_s(n_slots: int, busy_share: float, run_s: float) -> float:
    """Return the usual wait at a server whose load this VM doesn't hear of.

    It is the heavy-traffic approximation of a queue with as many servers as slots.
    """
    busy = min(UTILISATION_MAX, busy_share)
    return run_s * float(busy**n_slots) / (n_slots * (1.0 - busy))


def _p_late(row: RequestRow, candidate: Candidate, now: Instant) -> float:
    left_s = row.accepted_at_s + row.objective_s - now.monotonic_s
    if left_s <= 0:
        return 1.0
    mean_s = max(0.001, candidate.wait_s + candidate.run_s)
    return math.exp(-((left_s / mean_s) ** TIME_SHAPE))


def find_candidates(world: World, row: RequestRow, now: Instant) -> list[Candidate]:
    """Return the servers of a request's service that may take it.

    Servers that this VM avoids are left out unless no other is there.
    """
    usable = []
    avoided = []
    busy_share = utilisation(world, row.service)
    connections_max = _connections_max(world, row.service)
    for server in world.backend_servers.select("service", row.service):
        if server.is_draining or server.server_id in row.tried:
            continue
        own = world.attempts.count("server_id", server.server_id)
        if own >= connections_max:
            continue
        belief = world.beliefs.fetch(server.server_id)
        candidate = _estimate(world, server, belief, busy_share, now)
        if belief.avoided_until_s > now.monotonic_s:
            avoided.append(candidate)
        else:
            usable.append(candidate)
    return usable or avoided


def is_hopeless(row: RequestRow, candidate: Candidate, now: Instant) -> bool:
    """Return whether a server would hardly answer before the deadline."""
    needed_s = candidate.wait_s + RUN_SHARE_MIN * candidate.run_s
    return needed_s > row.deadline_s - now.monotonic_s


@selection_policies("random")
def choose_random(
    world: World, row: RequestRow, candidates: list[Candidate], now: Instant
) -> Candidate:
    """Take any server; the baseline."""
    return world.rng.choice(candidates)


def _can_retry(world: World, row: RequestRow, now: Instant) -> bool:
    return (
        row.is_idempotent
        and row.n_tries_max > len(row.tried) + 1
        and has_retry(world, row.service, now)
    )


def _find_unsure(
    world: World, row: RequestRow, candidates: list[Candidate], now: Instant
) -> list[Candidate]:
    """Return the idle servers of which this request may find out more, if any.

    A first try that can be repeated may go to a suspect: only work shows whether
    it has recovered. Other requests find out now and then about servers of which
    nothing was heard, so that no server stays without work.
    """
    if row.tried:
        return []
    can_retry = _can_retry(world, row, now)
    p_max = 1.0 if can_retry else P_SUSPECT
    unsure = [
        candidate
        for candidate in candidates
        if candidate.wait_s <= 0
        and P_PROVEN < p_failing(candidate.belief, now) <= p_max
        and slowness(candidate.belief, now) <= SLOW_RATIO
    ]
    share = len(unsure) / len(candidates)
    explore_p = EXPLORE_P if can_retry else EXPLORE_ONCE_P * share
    return unsure if world.rng.random() < explore_p else []


@selection_policies("expected_cost")
def choose_cheapest(
    world: World, row: RequestRow, candidates: list[Candidate], now: Instant
) -> Candidate:
    """Take the server with the least expected cost, or one to learn about."""
    unsure = _find_unsure(world, row, candidates, now)
    if unsure:
        return world.rng.choice(unsure)
    can_retry = _can_retry(world, row, now)
    failure_cost = RETRIED_FAILURE_COST if can_retry else FAILURE_COST
    objective_s = row.objective_s or 1.0

    def cost(candidate: Candidate) -> float:
        is_far = candidate.server.zone != world.local.zone
        return (
            max(P_PROVEN, p_failing(candidate.belief, now)) * failure_cost
            + LATE_COST * _p_late(row, candidate, now)
            + WAIT_COST * candidate.wait_s / objective_s
            + OTHER_ZONE_COST * is_far
            + TIE_COST * world.rng.random()
        )

    return min(candidates, key=cost)
