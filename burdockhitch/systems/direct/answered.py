"""Shares with other VMs which backend servers answered well just now.

A success is worth reporting only for a short time, and never in a message of its
own. It is added to heartbeats, and to reports of loads while services are busy.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.belief import SUCCESS, observe
from burdockhitch.tables.beliefs import AnsweredRow
from burdockhitch.world import World

# Age up to which a success is reported: one heartbeat period, and short compared
# with the time for which a server fails.
FRESH_S = 1.0


def note_answered(world: World, server_id: str, now: Instant) -> None:
    """Record a good answer to this VM, to be reported to other VMs."""
    world.answered.put(AnsweredRow(server_id, now.monotonic_s))


def hear_answered(
    world: World, server_ids: tuple[str, ...], now: Instant, is_far: bool
) -> None:
    """Apply good answers that other VMs reported.

    Those from this zone are stored too, so that sums for other zones hold them.

    Args:
        world: Tables of this VM.
        server_ids: Backend servers that answered.
        now: Time of receipt.
        is_far: Whether a VM of another zone reported them.
    """
    for server_id in server_ids:
        observe(world, server_id, SUCCESS, now)
        if not is_far:
            row = AnsweredRow(server_id, now.monotonic_s, is_told_near=True)
            world.answered.put(row)


def _find_recent(world: World, now: Instant) -> list[AnsweredRow]:
    """Return the successes young enough to report, and remove older ones."""
    recent = []
    for row in world.answered:
        if now.monotonic_s - row.answered_at_s <= FRESH_S:
            recent.append(row)
        else:
            world.answered.remove(row.server_id)
    return recent


def take_untold_near(world: World, now: Instant) -> tuple[str, ...]:
    """Return the successes not yet sent to this zone's VMs, and mark them as sent."""
    rows = [row for row in _find_recent(world, now) if not row.is_told_near]
    for row in rows:
        world.answered.replace(row._replace(is_told_near=True))
    return tuple(row.server_id for row in rows)


def take_untold_far(world: World, now: Instant) -> tuple[str, ...]:
    """Return the successes not yet in a sum for other zones, and mark them as sent."""
    rows = [row for row in _find_recent(world, now) if not row.is_told_far]
    for row in rows:
        world.answered.replace(row._replace(is_told_far=True))
    return tuple(row.server_id for row in rows)
