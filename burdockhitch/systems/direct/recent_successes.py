"""Reports to other VMs which backend servers recently answered successfully.

A success, i.e. an answer that is no server error, is worth reporting only for a short
time, and never in a message of its own. It is added to heartbeats, to reports of
observations and loads, and to the reports of a zone to other zones.
"""

from burdockhitch.clock import Instant
from burdockhitch.systems.direct.server_estimates import (
    MESSAGE_DELAY_MAX_S,
    record_peer_answered,
)
from burdockhitch.tables.server_estimates import RecentSuccessRow
from burdockhitch.world import World

# Age up to which a success is reported: one heartbeat period, and short compared
# with the time for which a server fails.
RECENT_SUCCESS_S = 1.0
# Greatest age of a reported success at its receipt.
IN_ZONE_AGE_MAX_S = RECENT_SUCCESS_S + MESSAGE_DELAY_MAX_S
# Its age counts anew from its receipt by the VM that reports it to other zones, where
# one VM forwards it to the others.
OTHER_ZONE_AGE_MAX_S = IN_ZONE_AGE_MAX_S + RECENT_SUCCESS_S + 2.0 * MESSAGE_DELAY_MAX_S


def record_own_success(world: World, server_id: str, now: Instant) -> None:
    """Record a success of an attempt of this VM, to report it to other VMs."""
    world.recent_successes.put(RecentSuccessRow(server_id, now.monotonic_s))


def record_peer_successes(
    world: World, server_ids: tuple[str, ...], now: Instant, is_from_other_zone: bool
) -> None:
    """Apply successes that another VM reported.

    Those from this zone are stored too, for its report to other zones.

    Args:
        world: Tables of this VM.
        server_ids: Backend servers that answered successfully.
        now: Time of receipt.
        is_from_other_zone: Whether they come from another zone.
    """
    age_max_s = OTHER_ZONE_AGE_MAX_S if is_from_other_zone else IN_ZONE_AGE_MAX_S
    for server_id in server_ids:
        record_peer_answered(world, server_id, age_max_s, now)
        if not is_from_other_zone:
            row = RecentSuccessRow(server_id, now.monotonic_s, is_reported_in_zone=True)
            world.recent_successes.put(row)


def _remove_old_successes(world: World, now: Instant) -> list[RecentSuccessRow]:
    """Remove the successes too old to report, and return the others."""
    recent = []
    for row in world.recent_successes:
        if now.monotonic_s - row.answered_at_s <= RECENT_SUCCESS_S:
            recent.append(row)
        else:
            world.recent_successes.remove(row.server_id)
    return recent


def pop_unreported_in_zone(world: World, now: Instant) -> tuple[str, ...]:
    """Return the successes not yet sent to this zone's VMs, and mark them as sent."""
    rows = [
        row for row in _remove_old_successes(world, now) if not row.is_reported_in_zone
    ]
    for row in rows:
        world.recent_successes.replace(row._replace(is_reported_in_zone=True))
    return tuple(row.server_id for row in rows)


def pop_unreported_for_other_zones(world: World, now: Instant) -> tuple[str, ...]:
    """Return the successes not yet reported to other zones, and mark them as sent."""
    rows = [
        row
        for row in _remove_old_successes(world, now)
        if not row.is_reported_to_other_zones
    ]
    for row in rows:
        world.recent_successes.replace(row._replace(is_reported_to_other_zones=True))
    return tuple(row.server_id for row in rows)
