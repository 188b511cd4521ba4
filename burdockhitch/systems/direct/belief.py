"""Estimates which backend servers fail at this moment.

A server is a hidden Markov chain of two states, sound and failing. Between
observations the probability drifts back to its stationary value; each
observation updates it by Bayes' rule.
"""

import math
from typing import NamedTuple

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.tables.beliefs import BeliefRow
from burdockhitch.world import World

# Share of failing servers where nothing is known; half of what the noisiest
# deployment shows, since silence of all peers is good news.
P_FAILING_STATIONARY = 0.12
# A failing spell lasts some seconds; its mean on the users' deployments.
RELAXATION_S = 2.5
P_SUSPECT = 0.4
# A server may change its state between two observations, so none is certain.
P_MIN = 0.01
P_MAX = 0.99
AVOID_S = 0.5
AVOID_MAX_S = 4.0
SLOWNESS_WEIGHT = 0.3
SLOWNESS_MAX = 10.0
# A slow spell lasts a little longer than one of failures on the same deployments.
SLOWNESS_RELAXATION_S = 4.0
# An answer counts as overdue after this multiple of the usual time.
OVERDUE_MEANS = 4.0


class ObservationKind(NamedTuple):
    """How likely an observation is in either state.

    Attributes:
        p_if_failing: Probability if the server is failing.
        p_if_sound: Probability if it is sound.
    """

    p_if_failing: float
    p_if_sound: float


observation_kinds: Registry[ObservationKind] = Registry("kind of observation")
SUCCESS = "success"
FAILURE = "failure"
OVERDUE = "overdue"
# 1.2% of a sound server's answers are failures; a failing one fails 45 to 90%.
observation_kinds(SUCCESS)(ObservationKind(0.25, 0.985))
observation_kinds(FAILURE)(ObservationKind(0.75, 0.015))
# An answer that takes several times the mean: often the network's fault.
observation_kinds(OVERDUE)(ObservationKind(0.3, 0.03))


def p_failing(row: BeliefRow, now: Instant) -> float:
    """Return the probability that a server is failing now."""
    elapsed_s = now.monotonic_s - row.updated_at_s
    remembered = math.exp(-max(0.0, elapsed_s) / RELAXATION_S)
    return P_FAILING_STATIONARY + (row.p_failing - P_FAILING_STATIONARY) * remembered


def slowness(row: BeliefRow, now: Instant) -> float:
    """Return how many times longer than usual a server takes now."""
    elapsed_s = now.monotonic_s - row.slowness_at_s
    remembered = math.exp(-max(0.0, elapsed_s) / SLOWNESS_RELAXATION_S)
    return 1.0 + (row.slowness - 1.0) * remembered


def _note_ratio(row: BeliefRow, ratio: float, now: Instant) -> BeliefRow:
    known = slowness(row, now)
    capped = min(SLOWNESS_MAX, ratio)
    changed = known + SLOWNESS_WEIGHT * (capped - known)
    return row._replace(slowness=changed, slowness_at_s=now.monotonic_s)


def observe(world: World, server_id: str, kind: str, now: Instant) -> float | None:
    """Update the belief about a server.

    Returns:
        The probability before the observation, None for an unknown server.
    """
    row = world.beliefs.get(server_id)
    if row is None:
        return None
    before = p_failing(row, now)
    likelihood = observation_kinds[kind]
    failing = before * likelihood.p_if_failing
    sound = (1.0 - before) * likelihood.p_if_sound
    after = min(P_MAX, max(P_MIN, failing / (failing + sound)))
    if kind == OVERDUE:
        # It takes at least as long; how much longer shows when it answers.
        row = _note_ratio(row, max(OVERDUE_MEANS, slowness(row, now)), now)
    world.beliefs.replace(row._replace(p_failing=after, updated_at_s=now.monotonic_s))
    return before


def note_unreachable(world: World, server_id: str, now: Instant) -> None:
    """Keep away from a server that this VM can't reach; peers may reach it."""
    row = world.beliefs.get(server_id)
    if row is None:
        return
    n_unreachable = row.n_unreachable + 1
    avoid_s = min(AVOID_MAX_S, AVOID_S * 2.0 ** (n_unreachable - 1))
    world.beliefs.replace(
        row._replace(
            n_unreachable=n_unreachable, avoided_until_s=now.monotonic_s + avoid_s
        )
    )


def avoid(world: World, server_id: str, duration_s: float, now: Instant) -> None:
    """Keep away from a server for some time."""
    row = world.beliefs.get(server_id)
    if row is not None:
        until_s = max(row.avoided_until_s, now.monotonic_s + duration_s)
        world.beliefs.replace(row._replace(avoided_until_s=until_s))


def note_reached(world: World, server_id: str, ratio: float, now: Instant) -> None:
    """Note that a server answered.

    Args:
        world: Tables of this VM.
        server_id: Backend server.
        ratio: Time of the answer, relative to the mean of its service.
        now: Time of the answer.
    """
    row = world.beliefs.get(server_id)
    if row is None:
        return
    row = _note_ratio(row, ratio, now)
    world.beliefs.replace(row._replace(n_unreachable=0, avoided_until_s=0.0))
