"""Estimates the probability that each backend server is failing now.

A server is modelled as a hidden Markov chain with two states, healthy and failing.
Between observations the probability decays to its stationary value; each
observation updates it by Bayes' rule.
"""

import math
from typing import NamedTuple

from burdockhitch.backoff import doubled_delay_s
from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.evidence.time_constants import (
    favourable_relaxation_s,
)
from burdockhitch.tables.server_estimates import RELAXATION_S, ServerEstimateRow
from burdockhitch.world import World

# Probability without observations: half the share of failing servers in the least
# reliable fleet, because peers would have reported failures.
P_FAILING_STATIONARY = 0.12
# A server is suspect from this probability.
P_FAILING_SUSPECT = 0.4
# Bounds of the probability: a server may change state between two observations,
# so it is never certain.
P_MIN = 0.01
P_MAX = 0.99
# Shortest and longest time for which an unreachable server is avoided; the time
# doubles at each consecutive failure to connect.
AVOID_INITIAL_S = 0.5
AVOID_MAX_S = 4.0
# Time for which this VM avoids a server that rejected a request.
SHED_AVOID_S = 0.15
# Weight of a new ratio in the moving average, and the largest ratio that enters it.
LATENCY_RATIO_WEIGHT = 0.3
LATENCY_RATIO_MAX = 10.0
# Time constant of the decay of the latency ratio: servers stay slow a little longer
# than they fail.
LATENCY_RATIO_RELAXATION_S = 4.0
# Pause after which another overdue answer that the same VM reports counts: by then
# most of the effect of the first has decayed.
SAME_REPORTER_S = RELAXATION_S
# Longest time for which a message waits to be sent, is on its way, and waits to be
# read.
MESSAGE_DELAY_MAX_S = 0.4
# Latency ratio that an overdue answer shows: answers are overdue after 3 to 6 times the
# mean, with the usual spread of run times after about four times.
OVERDUE_FACTOR = 4.0


class ObservationLikelihood(NamedTuple):
    """Likelihood of one kind of observation in either state of a server.

    Attributes:
        p_if_failing: Probability of the observation if the server is failing.
        p_if_healthy: Probability of the observation if it is healthy.
    """

    p_if_failing: float
    p_if_healthy: float


observation_likelihoods: Registry[ObservationLikelihood] = Registry(
    "kind of observation"
)
SUCCESS = "success"
FAILURE = "failure"
OVERDUE = "overdue"
RUNNING = "running"
# These likelihoods reflect that a healthy server fails 1.2% of its requests and a
# failing one 45 to 90%.
observation_likelihoods(SUCCESS)(ObservationLikelihood(0.25, 0.985))
observation_likelihoods(FAILURE)(ObservationLikelihood(0.75, 0.015))
# No answer within several times the expected time, or by the deadline; often the
# network is at fault.
observation_likelihoods(OVERDUE)(ObservationLikelihood(0.3, 0.03))
# A request that still runs when a failing server would have failed. It shows less than
# its success, since a failing server may also hang, and the success follows.
observation_likelihoods(RUNNING)(ObservationLikelihood(0.5, 0.985))


def p_failing(row: ServerEstimateRow, now: Instant) -> float:
    """Return the probability that a server is failing now."""
    elapsed_s = now.monotonic_s - row.updated_at_s
    decay_factor = math.exp(-max(0.0, elapsed_s) / row.relaxation_s)
    return P_FAILING_STATIONARY + (row.p_failing - P_FAILING_STATIONARY) * decay_factor


def latency_ratio(row: ServerEstimateRow, now: Instant) -> float:
    """Return a server's current run time, relative to the mean of its service."""
    elapsed_s = now.monotonic_s - row.latency_ratio_updated_at_s
    decay_factor = math.exp(-max(0.0, elapsed_s) / LATENCY_RATIO_RELAXATION_S)
    return 1.0 + (row.latency_ratio - 1.0) * decay_factor


def _update_latency_ratio(
    row: ServerEstimateRow, ratio: float, now: Instant
) -> ServerEstimateRow:
    """Return an estimate whose moving average of latency ratios includes a new one."""
    current = latency_ratio(row, now)
    capped = min(LATENCY_RATIO_MAX, ratio)
    updated = current + LATENCY_RATIO_WEIGHT * (capped - current)
    return row._replace(
        latency_ratio=updated, latency_ratio_updated_at_s=now.monotonic_s
    )


def _relaxation_s(world: World, service: str, p_after: float) -> float:
    """Return the time constant of the decay after an observation.

    Failures last as long whatever the run time of the service, so only evidence of a
    healthy server lasts longer where answers are rare.
    """
    if p_after >= P_FAILING_STATIONARY:
        return RELAXATION_S
    return favourable_relaxation_s(world, service)


def apply_observation(
    world: World, server_id: str, kind: str, now: Instant
) -> float | None:
    """Update the probability that a server is failing by one observation.

    Returns:
        The probability before the observation, None for an unknown server.
    """
    row = world.server_estimates.get(server_id)
    if row is None:
        return None
    p_before = p_failing(row, now)
    likelihood = observation_likelihoods[kind]
    joint_failing = p_before * likelihood.p_if_failing
    joint_healthy = (1.0 - p_before) * likelihood.p_if_healthy
    p_after = min(P_MAX, max(P_MIN, joint_failing / (joint_failing + joint_healthy)))
    if kind == OVERDUE:
        # The actual ratio is recorded if an answer arrives.
        row = _update_latency_ratio(
            row, max(OVERDUE_FACTOR, latency_ratio(row, now)), now
        )
    world.server_estimates.replace(
        row._replace(
            p_failing=p_after,
            updated_at_s=now.monotonic_s,
            relaxation_s=_relaxation_s(world, row.service, p_after),
        )
    )
    return p_before


def record_unreachable(world: World, server_id: str, now: Instant) -> None:
    """Avoid a server that this VM can't reach; other VMs may still reach it."""
    row = world.server_estimates.get(server_id)
    if row is None:
        return
    n_connect_failures = row.n_connect_failures + 1
    avoid_s = doubled_delay_s(AVOID_INITIAL_S, n_connect_failures - 1, AVOID_MAX_S)
    world.server_estimates.replace(
        row._replace(
            n_connect_failures=n_connect_failures,
            avoided_until_s=now.monotonic_s + avoid_s,
        )
    )


def record_unanswered(
    world: World, server_id: str, is_first: bool, now: Instant
) -> bool:
    """Record an overdue attempt of this VM, and avoid the server if it answers others.

    Args:
        world: Tables of this VM.
        server_id: Backend server.
        is_first: Whether the attempt has not been recorded before.
        now: Current time.

    Returns:
        Whether the answers are lost on the way to this VM: since this VM last recorded
        one as overdue, without an answer in between, another VM certainly got one. The
        conclusion stands for ``AVOID_MAX_S``, unless this VM gets an answer.
    """
    row = world.server_estimates.get(server_id)
    if row is None:
        return False
    if row.n_unanswered > 0 and row.peer_answered_at_s > row.unanswered_at_s:
        row = row._replace(lost_here_until_s=now.monotonic_s + AVOID_MAX_S)
    if is_first:
        row = row._replace(
            n_unanswered=row.n_unanswered + 1, unanswered_at_s=now.monotonic_s
        )
    world.server_estimates.replace(row)
    is_lost_here = now.monotonic_s < row.lost_here_until_s
    if is_lost_here:
        # Each new try costs the outcome of a request.
        avoid_server(world, server_id, AVOID_MAX_S, now)
    return is_lost_here


def record_answered(world: World, server_id: str) -> None:
    """Record that an answer of a server reached this VM, whatever its status."""
    row = world.server_estimates.get(server_id)
    if row is not None and row.n_unanswered:
        world.server_estimates.replace(
            row._replace(n_unanswered=0, lost_here_until_s=0.0)
        )


def record_peer_answered(
    world: World, server_id: str, age_max_s: float, now: Instant
) -> None:
    """Apply a success of a server that another VM reported.

    Args:
        world: Tables of this VM.
        server_id: Backend server.
        age_max_s: Longest time since the answer arrived at the other VM.
        now: Time of receipt.
    """
    apply_observation(world, server_id, SUCCESS, now)
    row = world.server_estimates.get(server_id)
    if row is not None:
        answered_at_s = max(row.peer_answered_at_s, now.monotonic_s - age_max_s)
        world.server_estimates.replace(row._replace(peer_answered_at_s=answered_at_s))


def pop_due_success(world: World, server_id: str, now: Instant) -> bool:
    """Return whether to report a success of this VM for one that misses an answer."""
    row = world.server_estimates.get(server_id)
    if row is None or now.monotonic_s < row.success_due_s:
        return False
    world.server_estimates.replace(row._replace(success_due_s=math.inf))
    return True


def forget_overdue_reporter(world: World, server_id: str, vm_id: str) -> None:
    """Let the next overdue answer that a VM reports count, since it got an answer.

    An answer that another VM got would show nothing about the path to this one.
    """
    row = world.server_estimates.get(server_id)
    if row is not None and row.overdue_reporter_vm_id == vm_id:
        world.server_estimates.replace(row._replace(overdue_reporter_vm_id=""))


def record_peer_overdue(
    world: World, server_id: str, reporter_vm_id: str, now: Instant
) -> None:
    """Apply an overdue answer of a server that another VM reported.

    If it was the same VM that reported one shortly before, without an answer in
    between, the report is ignored: only that VM may miss the answers.
    """
    row = world.server_estimates.get(server_id)
    if row is None:
        return
    # The delay lets the receiver know that the success is younger than the report.
    # Further reports don't prolong it.
    due_s = min(row.success_due_s, now.monotonic_s + MESSAGE_DELAY_MAX_S)
    row = row._replace(success_due_s=due_s)
    world.server_estimates.replace(row)
    elapsed_s = now.monotonic_s - row.overdue_reported_at_s
    is_same_reporter = row.overdue_reporter_vm_id == reporter_vm_id
    if is_same_reporter and elapsed_s < SAME_REPORTER_S:
        return
    world.server_estimates.replace(
        row._replace(
            overdue_reporter_vm_id=reporter_vm_id,
            overdue_reported_at_s=now.monotonic_s,
        )
    )
    apply_observation(world, server_id, OVERDUE, now)


def avoid_server(world: World, server_id: str, duration_s: float, now: Instant) -> None:
    """Avoid a server for the given time, unless it is already avoided for longer."""
    row = world.server_estimates.get(server_id)
    if row is not None:
        until_s = max(row.avoided_until_s, now.monotonic_s + duration_s)
        world.server_estimates.replace(row._replace(avoided_until_s=until_s))


def record_reached(world: World, server_id: str, ratio: float, now: Instant) -> None:
    """Record a success: update the latency ratio and stop avoiding the server.

    Args:
        world: Tables of this VM.
        server_id: Backend server.
        ratio: Run time of the request, relative to the mean of its service.
        now: Time of the answer.
    """
    row = world.server_estimates.get(server_id)
    if row is None:
        return
    row = _update_latency_ratio(row, ratio, now)
    world.server_estimates.replace(
        row._replace(n_connect_failures=0, avoided_until_s=0.0)
    )
