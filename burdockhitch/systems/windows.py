"""Windows whose floor is in force by their hours or by the measured load.

The load decides when the peak has moved: a window comes in force as soon as the
load reaches what its rule names, stays while the load lasts, and its hours stop
to count once the learned profile shows that the peak is no longer there.
"""

from collections.abc import Callable
from typing import NamedTuple
from zoneinfo import ZoneInfo

from burdockhitch.clock import Instant
from burdockhitch.registry import Registry
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.loads import LoadRow, ProfileRow, WindowStateRow
from burdockhitch.tables.routes import WindowRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, log_event, start_timer

MINUTES_PER_HOUR = 60
MINUTES_PER_QUARTER = 15
MEASURE_PERIOD_S = 5.0
SMOOTHING_S = 30.0
LOW_LOAD_RATIO = 0.85
LOW_LOAD_S = 300.0
ABSENT_LOAD_RATIO = 0.7
LEARNING_DAYS = 3
PROFILE_DAYS = 7


class Measure(NamedTuple):
    """What a policy decides by.

    Attributes:
        load: Requests a second of the whole fleet.
        is_within_hours: Whether the wall clock is within the window's hours.
        is_known_absent: Whether the learned profile shows no peak at this time.
        now_s: Monotonic time.
    """

    load: float
    is_within_hours: bool
    is_known_absent: bool
    now_s: float


WindowPolicy = Callable[[WindowRow, WindowStateRow, Measure], WindowStateRow]
window_policies: Registry[WindowPolicy] = Registry("window policy")


@window_policies("hours")
def decide_by_hours(
    window: WindowRow, state: WindowStateRow, measure: Measure
) -> WindowStateRow:
    """Follow the clock alone; the baseline."""
    is_within = measure.is_within_hours
    cause = "hours" if is_within else ""
    return state._replace(is_in_force=is_within, cause=cause)


@window_policies("hours_or_load")
def decide_by_load(
    window: WindowRow, state: WindowStateRow, measure: Measure
) -> WindowStateRow:
    """Follow the load, and the clock unless the peak is known to be elsewhere."""
    if measure.load >= window.load_requests_per_s:
        return state._replace(is_in_force=True, cause="load", low_since_s=0.0)
    if measure.is_within_hours and not measure.is_known_absent:
        return state._replace(is_in_force=True, cause="hours", low_since_s=0.0)
    if not state.is_in_force:
        return state
    return _fade(window, state, measure)


def _fade(window: WindowRow, state: WindowStateRow, measure: Measure) -> WindowStateRow:
    """End a window once the load was low for long enough."""
    if measure.load >= window.load_requests_per_s * LOW_LOAD_RATIO:
        return state._replace(low_since_s=0.0)
    low_since_s = state.low_since_s or measure.now_s
    if measure.now_s - low_since_s < LOW_LOAD_S and state.cause == "load":
        return state._replace(low_since_s=low_since_s)
    return state._replace(is_in_force=False, cause="", low_since_s=0.0)


def minute_of_day(window: WindowRow, now: Instant) -> int:
    """Return the minute of the day in the window's time zone."""
    local = now.utc.astimezone(ZoneInfo(window.time_zone))
    return local.hour * MINUTES_PER_HOUR + local.minute


def is_within_hours(window: WindowRow, now: Instant) -> bool:
    """Return whether the wall clock is within the window's hours."""
    minute = minute_of_day(window, now)
    if window.start_minute <= window.end_minute:
        return window.start_minute <= minute < window.end_minute
    return minute >= window.start_minute or minute < window.end_minute


def count_arrival(world: World, service: str) -> None:
    """Count a request that a caller sent."""
    row = world.loads.get(service) or LoadRow(service, 0, 0.0)
    world.loads.put(row._replace(n_arrived=row.n_arrived + 1))


def fleet_load(world: World, service: str) -> float:
    """Return the requests a second of a service over the whole fleet."""
    own = world.loads.get(service)
    own_rate = own.requests_per_s if own else 0.0
    others = world.latencies.select("service", service)
    return own_rate + sum(
        row.requests_per_s for row in others if row.key[1] != world.local.vm_id
    )


def start_windows(world: World, now: Instant) -> None:
    """Start to measure the load."""
    due_s = now.monotonic_s + MEASURE_PERIOD_S
    start_timer(world, TimerKind.MEASURE, "", due_s)


@timer_handlers(TimerKind.MEASURE)
def measure_load(world: World, _subject: str, now: Instant) -> None:
    """Measure the load, learn the profile and decide on every window."""
    start_windows(world, now)
    share = MEASURE_PERIOD_S / SMOOTHING_S
    for row in world.loads:
        rate = row.n_arrived / MEASURE_PERIOD_S
        smoothed = row.requests_per_s + share * (rate - row.requests_per_s)
        world.loads.replace(LoadRow(row.service, 0, smoothed))
    for window in world.windows:
        update_window(world, window, fleet_load(world, window.service), now)


def update_window(
    world: World, window: WindowRow, load: float, now: Instant
) -> WindowStateRow:
    """Learn from one measurement and decide whether a window is in force."""
    quarter = minute_of_day(window, now) // MINUTES_PER_QUARTER
    measure = Measure(
        load=load,
        is_within_hours=is_within_hours(window, now),
        is_known_absent=_is_known_absent(world, window, quarter),
        now_s=now.monotonic_s,
    )
    learn_load(world, window, quarter, load, now.utc.toordinal())
    policy = window_policies[world.settings.policies.windows]
    old = world.window_states.get(window.window_id)
    old = old or WindowStateRow(window.window_id, False, "", 0.0)
    new = policy(window, old, measure)
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


def learn_load(
    world: World, window: WindowRow, quarter: int, load: float, day: int
) -> None:
    """Add a measurement to the daily profile; each day counts once a quarter."""
    key = (window.window_id, quarter)
    row = world.profiles.get(key)
    if row is None:
        world.profiles.insert(ProfileRow(key, window.window_id, load, 1, day))
        return
    if row.last_day == day:
        return
    share = 1.0 / min(PROFILE_DAYS, row.n_days + 1)
    mean = row.requests_per_s + share * (load - row.requests_per_s)
    world.profiles.replace(
        row._replace(requests_per_s=mean, n_days=row.n_days + 1, last_day=day)
    )


def _is_known_absent(world: World, window: WindowRow, quarter: int) -> bool:
    row = world.profiles.get((window.window_id, quarter))
    if row is None or row.n_days < LEARNING_DAYS:
        return False
    return row.requests_per_s < window.load_requests_per_s * ABSENT_LOAD_RATIO


def floor_slots(world: World, service: str, now: Instant) -> int:
    """Return the floor of a service that is in force now."""
    row = world.services.get(service)
    floor = row.floor_slots if row else 0
    for window in world.windows.select("service", service):
        state = world.window_states.get(window.window_id)
        is_in_force = state.is_in_force if state else is_within_hours(window, now)
        if is_in_force:
            floor = max(floor, window.floor_slots)
    return floor


class Suggestion(NamedTuple):
    """Hours that the learned profile suggests for a window.

    Attributes:
        window_id: Window.
        hours: Hours as a rule would name them, empty when nothing is learned.
        drift_minutes: How much later the peak begins than the rule says.
        requester: Who asked for the rule.
        line: Line of the rule.
    """

    window_id: str
    hours: str
    drift_minutes: int
    requester: str
    line: int


def suggest_hours(world: World, window: WindowRow) -> Suggestion:
    """Return the hours in which the learned load reaches the rule's."""
    rows = world.profiles.select("window_id", window.window_id)
    busy = sorted(
        row.key[1]
        for row in rows
        if row.n_days >= LEARNING_DAYS
        and row.requests_per_s >= window.load_requests_per_s
    )
    if not busy:
        return Suggestion(window.window_id, "", 0, window.requester, window.line)
    start = busy[0] * MINUTES_PER_QUARTER
    end = (busy[-1] + 1) * MINUTES_PER_QUARTER
    hours = f"{_clock_text(start)}-{_clock_text(end)}"
    drift = start - window.start_minute
    return Suggestion(window.window_id, hours, drift, window.requester, window.line)


def _clock_text(minute: int) -> str:
    hour, rest = divmod(minute % (24 * MINUTES_PER_HOUR), MINUTES_PER_HOUR)
    return f"{hour:02}:{rest:02}"
