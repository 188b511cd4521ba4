"""Follows the rates that backend servers state as accepted from all VMs together."""

from burdockhitch import events
from burdockhitch.clock import Instant
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.server_limits import ServerLimitRow
from burdockhitch.world import World, count, log_event, pop_events


def _record_statement(world: World, event: events.ServerStated, now: Instant) -> None:
    """Record what an answer to this VM states.

    Only the result of a run shows that a limit has ended: a refusal may come from
    an overloaded part of the server that states nothing.
    """
    row = world.server_limits.get(event.server_id)
    held_per_s = row.limit_per_s if row else None
    if event.limit_per_s is None and (held_per_s is None or not event.has_run):
        return
    world.server_limits.put(
        ServerLimitRow(event.server_id, event.limit_per_s, now.monotonic_s)
    )
    if event.limit_per_s != held_per_s:
        count(world, "server_limit_changes")
        log_event(
            world,
            "INFO",
            "server_limit_stated",
            server=event.server_id,
            attempt_id=event.attempt_id,
            has_run=event.has_run,
            limit_per_s=event.limit_per_s,
            previous_per_s=held_per_s,
        )


@system(Phase.ANSWERS, DIRECT)
def record_statements(world: World, now: Instant) -> None:
    """Record what servers state before their answers are handled."""
    for event in pop_events(world, events.ServerStated):
        if event.server_id in world.backend_servers:
            _record_statement(world, event, now)
