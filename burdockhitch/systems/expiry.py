"""Forgets records whose time is over."""

from typing import Any

from burdockhitch.clock import Instant
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import WatermarkRow
from burdockhitch.tables.table import Table
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, start_timer

ENDED = "ended"
HOME = "home"


def _table(world: World, subject: str) -> Table[Any]:
    return world.ended if subject == ENDED else world.home_records


def plan_expiry(world: World, subject: str) -> None:
    """Start the timer of the record that expires first."""
    row = _table(world, subject).first("expires_at_s")
    if row is not None:
        start_timer(world, TimerKind.EXPIRY, subject, row.expires_at_s)


def is_forgotten(world: World, request_id: str) -> bool:
    """Return whether a request may have ended so long ago that it is forgotten.

    A message that was held up for longer than the memory must not run again.
    """
    sender, _, sequence = request_id.rpartition(":")
    row = world.watermarks.get(sender)
    return row is not None and int(sequence) <= row.sequence


def _raise_watermark(world: World, request_id: str) -> None:
    if not is_forgotten(world, request_id):
        sender, _, sequence = request_id.rpartition(":")
        world.watermarks.put(WatermarkRow(sender, int(sequence)))


@timer_handlers(TimerKind.EXPIRY)
def expire_records(world: World, subject: str, now: Instant) -> None:
    """Remove expired records and plan the next expiry."""
    table = _table(world, subject)
    row = table.first("expires_at_s")
    while row is not None and row.expires_at_s <= now.monotonic_s:
        table.remove(row[0])
        if subject == ENDED:
            _raise_watermark(world, row[0])
        row = table.first("expires_at_s")
    plan_expiry(world, subject)
