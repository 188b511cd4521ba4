"""Sends queued requests to backend servers of this VM that have a free slot."""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.errors import OverloadedError
from burdockhitch.systems.capacity import count_free_server_slots, reserve_slot
from burdockhitch.systems.deadlines import refuse_if_deadline_too_short
from burdockhitch.systems.endings import advance_request, make_refusal, refuse_request
from burdockhitch.systems.health import server_weight
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.backend_servers import SlotUsageRow
from burdockhitch.tables.requests import (
    AttemptRow,
    RequestRow,
    RequestState,
    queue_order,
)
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, count, next_sequence, send, stop_timer

# Retry delay that refusals suggest.
RETRY_AFTER_S = 1.0


def _choose_server(world: World, row: RequestRow) -> SlotUsageRow | None:
    """Draw an untried server at random, weighted by its free slots and its health."""
    usages = []
    weights = []
    for usage in world.slot_usages.select("service", row.service):
        n_free = count_free_server_slots(world, usage)
        if n_free > 0 and usage.server_id not in row.tried:
            usages.append(usage)
            weights.append(n_free * server_weight(world, usage.server_id))
    if not usages:
        return None
    return world.rng.choices(usages, weights)[0]


def _send_attempt(
    world: World, row: RequestRow, usage: SlotUsageRow, now: Instant
) -> None:
    """Reserve a slot of a server and send it the request as a new attempt."""
    server = world.backend_servers.fetch(usage.server_id)
    attempt_id = next_sequence(world, "attempt")
    reserve_slot(world, server.server_id)
    row = row._replace(
        attempt_id=attempt_id,
        tried=(*row.tried, server.server_id),
        n_tries=row.n_tries + 1,
    )
    row = advance_request(world, row, "dispatch", now)
    stop_timer(world, TimerKind.QUEUE_TIMEOUT, row.request_id)
    world.attempts.insert(
        AttemptRow(
            attempt_id,
            row.request_id,
            server.server_id,
            row.service,
            now.monotonic_s,
        )
    )
    count(world, "attempts", "service", row.service)
    command = commands.SendAttempt(
        attempt_id,
        row.request_id,
        server.address,
        row.message,
        row.deadline_s - now.monotonic_s,
    )
    send(world, command)


@system(Phase.DISPATCH)
def dispatch_requests(world: World, now: Instant) -> None:
    """Send queued requests to servers with free slots, by priority, then by age."""
    queued = world.requests.select("state", RequestState.QUEUED)
    for row in sorted(queued, key=queue_order):
        usage = _choose_server(world, row)
        if usage is not None and not refuse_if_deadline_too_short(world, row, now):
            _send_attempt(world, row, usage, now)


@timer_handlers(TimerKind.QUEUE_TIMEOUT)
def refuse_on_queue_timeout(world: World, request_id: str, now: Instant) -> None:
    """Refuse a request that is still queued at its queue timeout."""
    row = world.requests.get(request_id)
    if row is None or row.state is not RequestState.QUEUED:
        return
    detail = f"no slot of {row.service} came free in time"
    refusal = make_refusal(OverloadedError, detail, RETRY_AFTER_S)
    refuse_request(world, row, refusal, now)
