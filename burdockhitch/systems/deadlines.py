"""Refuses requests that are unlikely to be answered before their deadline."""

import math

from burdockhitch.clock import Instant
from burdockhitch.errors import DeadlineTooShortError
from burdockhitch.systems.endings import make_refusal, refuse_request
from burdockhitch.systems.health import reference_latency_s
from burdockhitch.tables.requests import RequestRow
from burdockhitch.world import World

REMAINING_TIME_MIN_S = 0.001
MEDIAN_LATENCY_RATIO = 0.5


def min_remaining_s(world: World, service: str) -> float:
    """Return the remaining time below which a request is refused without being sent.

    It is a share of the median latency of the service, if any was measured.
    """
    median_s = reference_latency_s(world, service)
    if math.isinf(median_s):
        return REMAINING_TIME_MIN_S
    return max(REMAINING_TIME_MIN_S, MEDIAN_LATENCY_RATIO * median_s)


def refuse_if_deadline_too_short(world: World, row: RequestRow, now: Instant) -> bool:
    """Refuse a request that was not sent yet if too little time remains.

    Returns:
        Whether it was refused.
    """
    remaining_s = row.deadline_s - now.monotonic_s
    if remaining_s >= min_remaining_s(world, row.service):
        return False
    detail = f"{remaining_s * 1000:.1f} ms are left, and {row.service} takes longer"
    refuse_request(world, row, make_refusal(DeadlineTooShortError, detail), now)
    return True
