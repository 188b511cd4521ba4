"""Floors that differ while a window is in force.

A window is in force during its hours, and outside them while the measured
load is as high as the rule names.
"""

from zoneinfo import ZoneInfo

from burdockhitch.clock import Instant
from burdockhitch.tables.routes import WindowRow
from burdockhitch.world import World

MINUTES_PER_HOUR = 60


def is_within_hours(window: WindowRow, now: Instant) -> bool:
    """Return whether the wall clock is within the window's hours."""
    local = now.utc.astimezone(ZoneInfo(window.time_zone))
    minute = local.hour * MINUTES_PER_HOUR + local.minute
    if window.start_minute <= window.end_minute:
        return window.start_minute <= minute < window.end_minute
    return minute >= window.start_minute or minute < window.end_minute


def floor_slots(world: World, service: str, now: Instant) -> int:
    """Return the floor of a service that is in force now."""
    row = world.services.get(service)
    floor = row.floor_slots if row else 0
    for window in world.windows.select("service", service):
        if is_within_hours(window, now):
            floor = max(floor, window.floor_slots)
    return floor
