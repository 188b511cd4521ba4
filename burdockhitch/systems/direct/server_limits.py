"""Follows the rates that backend servers state as accepted from all VMs together.

A VM learns a limit from the answers that it gets and from reports of other VMs, and of
two statements the later one counts. Reports are sent when a limit changes, and again
while answers state it, for VMs that have started or lost a report since.
"""

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.direct_messages import LimitStatement
from burdockhitch.systems.direct.sending_shares import assign_shares
from burdockhitch.systems.direct.server_notices import record_notices
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.server_limits import ServerLimitRow
from burdockhitch.world import World, count, log_event, pop_events

# Time after which a VM that gets an answer reports a limit again, if no other VM did.
RESTATE_S = 2.0
# The same in the first seconds after a change, as reports of it may be lost.
RESTATE_CHANGED_S = 0.5
CHANGED_S = 3.0
# Most limits of one report, so that it fits into a datagram without fragmentation.
STATEMENTS_MAX = 24


def _log_change(
    world: World, row: ServerLimitRow, previous_per_s: float | None, source: str
) -> None:
    count(world, "server_limit_changes")
    log_event(
        world,
        "INFO",
        "server_limit_stated",
        server=row.server_id,
        limit_per_s=row.limit_per_s,
        previous_per_s=previous_per_s,
        source=source,
    )


def _apply_statement(
    world: World, row: ServerLimitRow, source: str, now: Instant
) -> bool:
    """Store a statement if it is the latest; return whether the limit has changed.

    Args:
        world: Tables of this VM.
        row: The statement.
        source: Where it comes from, for the log.
        now: Time of its receipt.
    """
    held = world.server_limits.get(row.server_id)
    if held is None and row.limit_per_s is None:
        return False
    if held is not None and row.stated_at_s <= held.stated_at_s:
        return False
    if held is not None and row.limit_per_s == held.limit_per_s:
        world.server_limits.put(row._replace(changed_at_s=held.changed_at_s))
        return False
    world.server_limits.put(row._replace(changed_at_s=now.monotonic_s))
    _log_change(world, row, held.limit_per_s if held else None, source)
    return True


def _record_own_statement(
    world: World, event: events.ServerStated, service: str, now: Instant
) -> None:
    """Record what an answer to this VM states.

    Only the result of a run shows that a limit has ended: a refusal may come from
    an overloaded part of the server that states nothing.
    """
    held = world.server_limits.get(event.server_id)
    if event.limit_per_s is None and not event.has_run:
        return
    now_s = now.monotonic_s
    row = ServerLimitRow(event.server_id, service, event.limit_per_s, now_s)
    is_known = held is not None and held.limit_per_s == event.limit_per_s
    if held is not None and is_known:
        is_changed = now_s - held.changed_at_s < CHANGED_S
        restate_s = RESTATE_CHANGED_S if is_changed else RESTATE_S
        if now_s - held.reported_at_s < restate_s:
            row = held._replace(stated_at_s=now_s)
    if _apply_statement(world, row, world.local.vm_id, now):
        assign_shares(world, service, now)


@system(Phase.ANSWERS, DIRECT)
def record_statements(world: World, now: Instant) -> None:
    """Record what servers state before their answers are handled."""
    for event in pop_events(world, events.ServerStated):
        attempt = world.attempts.get(event.attempt_id)
        server = world.backend_servers.get(event.server_id)
        if attempt is None:
            continue
        started_ms = attempt.process_started_ms
        if server is None:
            # It was removed meanwhile, but may be listed again.
            record_notices(world, event, started_ms, now)
        elif server.process_started_ms <= started_ms:
            record_notices(world, event, started_ms, now)
            _record_own_statement(world, event, server.service, now)


def record_peer_statements(
    world: World,
    statements: tuple[LimitStatement, ...],
    source: str,
    now: Instant,
    is_from_other_zone: bool,
) -> None:
    """Apply the limits that another VM reported.

    Args:
        world: Tables of this VM.
        statements: Limits and the ages of the answers that show them.
        source: Where they come from, for the log.
        now: Time of receipt.
        is_from_other_zone: Whether they come from another zone.
    """
    changed_services = set()
    for statement in statements:
        server = world.backend_servers.get(statement.server_id)
        if server is None:
            continue
        row = ServerLimitRow(
            statement.server_id,
            server.service,
            statement.limit_per_s,
            stated_at_s=now.monotonic_s - statement.age_s,
            reported_at_s=now.monotonic_s,
            is_reported_in_zone=True,
            is_reported_to_other_zones=is_from_other_zone,
        )
        if _apply_statement(world, row, source, now):
            changed_services.add(server.service)
    for service in changed_services:
        assign_shares(world, service, now)


def _as_statements(
    rows: list[ServerLimitRow], now: Instant
) -> tuple[LimitStatement, ...]:
    return tuple(
        LimitStatement(
            row.server_id, row.limit_per_s, round(now.monotonic_s - row.stated_at_s, 3)
        )
        for row in rows
    )


def has_unreported_statements(world: World) -> bool:
    """Return whether this VM's zone doesn't know of a limit yet."""
    return world.server_limits.count("is_reported_in_zone", False) > 0


def pop_statements_in_zone(world: World, now: Instant) -> tuple[LimitStatement, ...]:
    """Return limits not yet sent to this zone's VMs, and mark them as sent."""
    rows = world.server_limits.select("is_reported_in_zone", False)[:STATEMENTS_MAX]
    for row in rows:
        world.server_limits.replace(
            row._replace(is_reported_in_zone=True, reported_at_s=now.monotonic_s)
        )
    return _as_statements(rows, now)


def pop_statements_for_other_zones(
    world: World, now: Instant
) -> tuple[LimitStatement, ...]:
    """Return limits not yet reported to other zones, and mark them as sent."""
    unreported = world.server_limits.select("is_reported_to_other_zones", False)
    rows = unreported[:STATEMENTS_MAX]
    for row in rows:
        world.server_limits.replace(row._replace(is_reported_to_other_zones=True))
    return _as_statements(rows, now)
