"""Passes on which backend servers have just answered well.

It is news only for a short time and never worth a message of its own, so it goes
along with heartbeats, and with reports of loads when work is dense.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.belief import SUCCESS, observe
from burdockhitch.tables.beliefs import AnsweredRow
from burdockhitch.world import World

# The pause between two heartbeats, and short against a failing spell.
FRESH_S = 1.0


def note_answered(world: World, server_id: str, now: Instant) -> None:
    """Note a good answer to this VM, to be told."""
    world.answered.put(AnsweredRow(server_id, now.monotonic_s))


def hear_answered(
    world: World, server_ids: tuple[str, ...], now: Instant, is_far: bool
) -> None:
    """Apply good answers to other VMs.

    Args:
        world: Tables of this VM.
        server_ids: Backend servers that answered.
        now: Time of hearing.
        is_far: Whether another zone told.
    """
    for server_id in server_ids:
        observe(world, server_id, SUCCESS, now)
        if not is_far:
            row = AnsweredRow(server_id, now.monotonic_s, is_told_near=True)
            world.answered.put(row)


def _fresh(world: World, now: Instant) -> list[AnsweredRow]:
    fresh = []
    for row in world.answered:
        if now.monotonic_s - row.answered_at_s <= FRESH_S:
            fresh.append(row)
        else:
            world.answered.remove(row.server_id)
    return fresh


def take_untold_near(world: World, now: Instant) -> tuple[str, ...]:
    """Return what this zone's VMs don't know yet, and count it as told."""
    rows = [row for row in _fresh(world, now) if not row.is_told_near]
    for row in rows:
        world.answered.replace(row._replace(is_told_near=True))
    return tuple(row.server_id for row in rows)


def take_untold_far(world: World, now: Instant) -> tuple[str, ...]:
    """Return what the last sums for other zones didn't hold, and count it as told."""
    rows = [row for row in _fresh(world, now) if not row.is_told_far]
    for row in rows:
        world.answered.replace(row._replace(is_told_far=True))
    return tuple(row.server_id for row in rows)
