"""Removes expired forward outcomes and expired records of idempotency keys.

A watermark holds the highest sequence number whose outcome was removed, for each VM
incarnation that accepted requests from callers.
"""

from typing import Any

from burdockhitch.clock import Instant
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import ExpiryWatermarkRow
from burdockhitch.tables.table import Table
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, start_timer

# Subjects of the expiry timers: the tables whose rows expire.
FORWARD_OUTCOMES = "ended"
HOME_RECORDS = "home"


def _expiring_table(world: World, subject: str) -> Table[Any]:
    return world.forward_outcomes if subject == FORWARD_OUTCOMES else world.home_records


def schedule_expiry(world: World, subject: str) -> None:
    """Start the expiry timer of a table for the row that expires first."""
    row = _expiring_table(world, subject).first("expires_at_s")
    if row is not None:
        start_timer(world, TimerKind.RECORD_EXPIRY, subject, row.expires_at_s)


def is_at_or_below_watermark(world: World, request_id: str) -> bool:
    """Return whether the outcome of a forwarded request may have been removed.

    A message that was delayed until then must not run the request again. All
    requests up to the watermark of their sender count as removed.
    """
    sender, _, sequence = request_id.rpartition(":")
    row = world.expiry_watermarks.get(sender)
    return row is not None and int(sequence) <= row.sequence


def _raise_watermark(world: World, request_id: str) -> None:
    """Raise the sender's watermark to a request whose outcome was removed."""
    if not is_at_or_below_watermark(world, request_id):
        sender, _, sequence = request_id.rpartition(":")
        world.expiry_watermarks.put(ExpiryWatermarkRow(sender, int(sequence)))


@timer_handlers(TimerKind.RECORD_EXPIRY)
def expire_records(world: World, subject: str, now: Instant) -> None:
    """Remove the expired rows of a table and schedule the next expiry."""
    table = _expiring_table(world, subject)
    row = table.first("expires_at_s")
    while row is not None and row.expires_at_s <= now.monotonic_s:
        table.remove(row[0])
        if subject == FORWARD_OUTCOMES:
            _raise_watermark(world, row[0])
        row = table.first("expires_at_s")
    schedule_expiry(world, subject)
