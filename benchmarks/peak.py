"""Replays 60 days of synthetic load with the window policies.

A window is a daily period in which a service has another floor, the number of healthy
slots that ejections must leave. A policy decides when a window is in force.
"""

import math
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from benchmarks.results import Result, benchmarks
from burdockhitch.settings import PolicySettings
from burdockhitch.systems.windows import update_window
from burdockhitch.tables.routes import WindowRow
from burdockhitch.tests.fakes import FakeFleet

N_DAYS = 60
MINUTES_PER_DAY = 1440
BASE_PER_S = 15.0
PEAK_PER_S = 90.0
THRESHOLD_PER_S = 60.0
PEAK_START_MINUTE = 1050
PEAK_MINUTES = 210
DRIFT_MAX_MINUTES = 180
HOLIDAY = 20
NO_PEAK_DAY = 33
EXTRA_PEAK_DAY = 41
EXTRA_PEAK_START_MINUTE = 600
SEED = 11


class ReplayMinutes(NamedTuple):
    """Numbers of minutes in a replay, by load and state of the window.

    Attributes:
        n_unprotected: Minutes of peak load while the window is not in force.
        n_idle: Minutes without peak load while the window is in force.
        n_peak: Minutes of peak load.
        n_all: All minutes.
    """

    n_unprotected: int
    n_idle: int
    n_peak: int
    n_all: int


def _peak_shape(minute: float, start_minute: float) -> float:
    """Return the height of a peak at a minute of the day, from 0 to 1."""
    elapsed_ratio = (minute - start_minute) / PEAK_MINUTES
    return math.sin(math.pi * elapsed_ratio) if 0 <= elapsed_ratio <= 1 else 0.0


def draw_load_per_s(day: int, minute: int, rng: random.Random) -> float:
    """Return the load of a minute in requests per second.

    The daily peak starts a little later each day. Two days have none, and one has a
    second peak in the morning.
    """
    start_minute = PEAK_START_MINUTE + DRIFT_MAX_MINUTES * day / N_DAYS
    peak_scale = 0.0 if day in (HOLIDAY, NO_PEAK_DAY) else 1.0
    peak_ratio = peak_scale * _peak_shape(minute, start_minute)
    if day == EXTRA_PEAK_DAY:
        peak_ratio = max(peak_ratio, _peak_shape(minute, EXTRA_PEAK_START_MINUTE))
    return (BASE_PER_S + (PEAK_PER_S - BASE_PER_S) * peak_ratio) * rng.uniform(
        0.95, 1.05
    )


def replay_load(
    policy: str, time_zone: str, load: Callable[..., float]
) -> ReplayMinutes:
    """Run a window policy minute by minute over all days and count the minutes."""
    fleet = FakeFleet()
    world = fleet.add_vm("a1", "a", policies=PolicySettings(windows=policy))
    window = WindowRow("w", "s", 1050, 1260, time_zone, 96, THRESHOLD_PER_S, "Karin", 1)
    rng = random.Random(SEED)
    counts = [0, 0, 0, 0]
    started_s = fleet.clock.elapsed_s
    for day in range(N_DAYS):
        for minute in range(MINUTES_PER_DAY):
            # The clock of the fleet starts at 12:00 UTC.
            local_minute = (
                minute + 12 * 60 + OFFSET_MINUTES[time_zone]
            ) % MINUTES_PER_DAY
            fleet.clock.elapsed_s = started_s + (day * MINUTES_PER_DAY + minute) * 60
            load_per_s = load(day, local_minute, rng)
            state = update_window(world, window, load_per_s, fleet.clock.now())
            is_peak = load_per_s >= THRESHOLD_PER_S
            counts[0] += is_peak and not state.is_in_force
            counts[1] += state.is_in_force and not is_peak
            counts[2] += is_peak
            counts[3] += 1
    return ReplayMinutes(*counts)


# UTC offsets; neither zone changes its clocks during the replay.
OFFSET_MINUTES = {"Europe/Stockholm": 120, "Atlantic/Reykjavik": 0}


@benchmarks("peak")
def measure_peak() -> Iterator[Result]:
    """Compare ``hours_or_load`` with the baseline ``hours`` for both deployments."""
    for time_zone in OFFSET_MINUTES:
        for policy in ("hours", "hours_or_load"):
            result = replay_load(policy, time_zone, draw_load_per_s)
            case = f"{time_zone} {policy}"
            unprotected_percent = 100 * result.n_unprotected / result.n_peak
            yield Result(
                "peak", f"{case} unprotected", unprotected_percent, "% of peak", "0"
            )
            idle_percent = 100 * result.n_idle / result.n_all
            yield Result("peak", f"{case} without load", idle_percent, "% of time", "5")
