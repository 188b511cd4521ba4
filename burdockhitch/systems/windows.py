"""Puts windows in force by their hours or by the measured load.

A window is a daily period with a floor of its own: the number of healthy slots of a
service that ejections must leave. The load is the rate of requests for the service
over the whole fleet; it covers a peak that has moved outside the hours. A window
comes into force as soon as the load reaches the value in its rule, and stays in force
while the load lasts. Its hours don't count at times of day when the learned profile
shows no peak.
"""

from collections.abc import Callable
from typing import NamedTuple
from zoneinfo import ZoneInfo

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.loads import ArrivalRateRow, LoadProfileRow, WindowStateRow
from burdockhitch.tables.routes import WindowRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, log_event, start_timer

MINUTES_PER_HOUR = 60
MINUTES_PER_QUARTER = 15
MEASURE_PERIOD_S = 5.0
# Time constant of the exponential smoothing of the load.
SMOOTHING_S = 30.0
# Share of the load in the rule below which the load is low, and the time for which it
# has to be low before a window that is in force by load ends.
END_LOAD_RATIO = 0.85
END_DELAY_S = 300.0
# Share of the load in the rule below which the learned profile shows no peak.
ABSENT_PEAK_RATIO = 0.7
# Days with a measurement before the profile counts, and days that its running mean
# spans.
PROFILE_DAYS_MIN = 3
PROFILE_DAYS_MAX = 7


class WindowInput(NamedTuple):
    """The input of a window policy.

    Attributes:
        load: Requests a second for the service, over the whole fleet.
        is_within_hours: Whether the wall clock is within the window's hours.
        is_peak_absent: Whether the learned profile shows no peak at this time of day.
        now_s: Monotonic time of the measurement.
    """

    load: float
    is_within_hours: bool
    is_peak_absent: bool
    now_s: float


WindowPolicy = Callable[[WindowRow, WindowStateRow, WindowInput], WindowStateRow]
window_policies: Registry[WindowPolicy] = Registry("window policy")


@window_policies("hours")
def decide_by_hours(
    window: WindowRow, state: WindowStateRow, window_input: WindowInput
) -> WindowStateRow:
    """Put a window in force by its hours alone; a baseline for comparison."""
    is_within = window_input.is_within_hours
    cause = "hours" if is_within else ""
    return state._replace(is_in_force=is_within, cause=cause)


@window_policies("hours_or_load")
def decide_by_hours_or_load(
    window: WindowRow, state: WindowStateRow, window_input: WindowInput
) -> WindowStateRow:
    """Put a window in force by load, or by its hours unless the profile has no peak."""
    if window_input.load >= window.load_requests_per_s:
        return state._replace(is_in_force=True, cause="load", load_low_since_s=0.0)
    if window_input.is_within_hours and not window_input.is_peak_absent:
        return state._replace(is_in_force=True, cause="hours", load_low_since_s=0.0)
    if not state.is_in_force:
        return state
    return _end_at_low_load(window, state, window_input)


def _end_at_low_load(
    window: WindowRow, state: WindowStateRow, window_input: WindowInput
) -> WindowStateRow:
    """End a window in force if the load is low and the hours don't keep it in force.

    One that is in force by its hours ends at once, one by load after ``END_DELAY_S``.
    """
    if window_input.load >= window.load_requests_per_s * END_LOAD_RATIO:
        return state._replace(load_low_since_s=0.0)
    load_low_since_s = state.load_low_since_s or window_input.now_s
    if window_input.now_s - load_low_since_s < END_DELAY_S and state.cause == "load":
        return state._replace(load_low_since_s=load_low_since_s)
    return state._replace(is_in_force=False, cause="", load_low_since_s=0.0)


def minute_of_day(window: WindowRow, now: Instant) -> int:
    """Return the minute of the day, from 0, in the window's time zone."""
    local = now.utc.astimezone(ZoneInfo(window.time_zone))
    return local.hour * MINUTES_PER_HOUR + local.minute


def is_within_hours(window: WindowRow, now: Instant) -> bool:
    """Return whether the wall clock is within the hours, which may span midnight."""
    minute = minute_of_day(window, now)
    if window.start_minute <= window.end_minute:
        return window.start_minute <= minute < window.end_minute
    return minute >= window.start_minute or minute < window.end_minute


def count_arrival(world: World, service: str) -> None:
    """Count a request that a caller sent to this VM, for the next load measurement."""
    row = world.arrival_rates.get(service) or ArrivalRateRow(service, 0, 0.0)
    world.arrival_rates.put(row._replace(n_arrived=row.n_arrived + 1))


def fleet_load(world: World, service: str) -> float:
    """Return the load of a service: this VM's rate and the rates its peers report."""
    own = world.arrival_rates.get(service)
    own_rate = own.requests_per_s if own else 0.0
    others = world.service_reports.select("service", service)
    return own_rate + sum(
        row.requests_per_s for row in others if row.key[1] != world.local.vm_id
    )


def schedule_load_measurement(world: World, now: Instant) -> None:
    """Schedule the next measurement of the services' loads."""
    due_s = now.monotonic_s + MEASURE_PERIOD_S
    start_timer(world, TimerKind.LOAD_MEASUREMENT, "", due_s)


@timer_handlers(TimerKind.LOAD_MEASUREMENT)
def measure_load(world: World, _subject: str, now: Instant) -> None:
    """Update this VM's smoothed request rate of each service, then every window."""
    schedule_load_measurement(world, now)
    weight = MEASURE_PERIOD_S / SMOOTHING_S
    for row in world.arrival_rates:
        rate = row.n_arrived / MEASURE_PERIOD_S
        smoothed = row.requests_per_s + weight * (rate - row.requests_per_s)
        world.arrival_rates.replace(ArrivalRateRow(row.service, 0, smoothed))
    for window in world.windows:
        update_window(world, window, fleet_load(world, window.service), now)


def update_window(
    world: World, window: WindowRow, load: float, now: Instant
) -> WindowStateRow:
    """Update the daily profile and decide whether a window is in force."""
    quarter = minute_of_day(window, now) // MINUTES_PER_QUARTER
    window_input = WindowInput(
        load=load,
        is_within_hours=is_within_hours(window, now),
        is_peak_absent=_is_peak_absent(world, window, quarter),
        now_s=now.monotonic_s,
    )
    update_profile(world, window, quarter, load, now.utc.toordinal())
    policy = window_policies[world.settings.policies.windows]
    old = world.window_states.get(window.window_id)
    old = old or WindowStateRow(window.window_id, False, "", 0.0)
    new = policy(window, old, window_input)
    world.window_states.put(new)
    if new.is_in_force is not old.is_in_force:
        log_event(
            world,
            "INFO",
            "window_changed",
            window=window.window_id,
            is_in_force=new.is_in_force,
            cause=new.cause,
            load_requests_per_s=round(load, 1),
            rule_line=window.line,
            requester=window.requester,
        )
    return new


def update_profile(
    world: World, window: WindowRow, quarter: int, load: float, day: int
) -> None:
    """Add the first load measured in a quarter hour of a day to the daily profile.

    Later measurements in the same quarter hour of that day are left out.

    Args:
        world: Tables of this VM.
        window: Window that the profile belongs to.
        quarter: Number of the quarter hour from midnight.
        load: Requests a second, over the whole fleet.
        day: Proleptic Gregorian ordinal of the day.
    """
    key = (window.window_id, quarter)
    row = world.load_profiles.get(key)
    if row is None:
        world.load_profiles.insert(LoadProfileRow(key, window.window_id, load, 1, day))
        return
    if row.last_measured_day == day:
        return
    weight = 1.0 / min(PROFILE_DAYS_MAX, row.n_days + 1)
    mean = row.requests_per_s + weight * (load - row.requests_per_s)
    world.load_profiles.replace(
        row._replace(requests_per_s=mean, n_days=row.n_days + 1, last_measured_day=day)
    )


def _is_peak_absent(world: World, window: WindowRow, quarter: int) -> bool:
    """Return whether the learned profile shows no peak in a quarter hour."""
    row = world.load_profiles.get((window.window_id, quarter))
    if row is None or row.n_days < PROFILE_DAYS_MIN:
        return False
    return row.requests_per_s < window.load_requests_per_s * ABSENT_PEAK_RATIO


def current_floor_slots(world: World, service: str, now: Instant) -> int:
    """Return the highest floor now, of the service and of its windows in force."""
    row = world.services.get(service)
    floor = row.floor_slots if row else 0
    for window in world.windows.select("service", service):
        state = world.window_states.get(window.window_id)
        # Before the first measurement, the hours alone decide.
        is_in_force = state.is_in_force if state else is_within_hours(window, now)
        if is_in_force:
            floor = max(floor, window.floor_slots)
    return floor


class Suggestion(NamedTuple):
    """The hours that the learned profile suggests for a window.

    Attributes:
        window_id: Window.
        hours: ``HH:MM-HH:MM`` as in a rule, empty when the profile shows no peak.
        drift_minutes: How much later the peak begins than the hours in the rule;
            negative if earlier, 0 without a peak.
        requester: Who asked for the rule.
        line: Line of the rule.
    """

    window_id: str
    hours: str
    drift_minutes: int
    requester: str
    line: int


def suggest_hours(world: World, window: WindowRow) -> Suggestion:
    """Return the hours from the first to the last peak of the learned profile.

    A peak is a quarter hour in which the profile reaches the load in the rule.
    """
    rows = world.load_profiles.select("window_id", window.window_id)
    peak_quarters = sorted(
        row.key[1]
        for row in rows
        if row.n_days >= PROFILE_DAYS_MIN
        and row.requests_per_s >= window.load_requests_per_s
    )
    if not peak_quarters:
        return Suggestion(window.window_id, "", 0, window.requester, window.line)
    start = peak_quarters[0] * MINUTES_PER_QUARTER
    end = (peak_quarters[-1] + 1) * MINUTES_PER_QUARTER
    hours = f"{_format_time(start)}-{_format_time(end)}"
    drift_minutes = start - window.start_minute
    return Suggestion(
        window.window_id, hours, drift_minutes, window.requester, window.line
    )


def _format_time(minute: int) -> str:
    """Return a minute of the day as ``HH:MM``."""
    hour, minutes = divmod(minute % (24 * MINUTES_PER_HOUR), MINUTES_PER_HOUR)
    return f"{hour:02}:{minutes:02}"
