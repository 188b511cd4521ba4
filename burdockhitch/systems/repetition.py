"""Repeats a safe request to a server with evidence against it, to judge it sooner.

One server among many gets few requests, so the evidence of a sequential test grows
slowly. While there is some evidence against a server, its owner sends it the last
safe request (GET or HEAD, RFC 9110, 9.2.1) of the service that was answered with
200: one at a time, and only in a free slot that no queued request needs. No caller
gets the answer; it counts as evidence like any other.
"""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.messages import Answer
from burdockhitch.systems.capacity import (
    count_free_server_slots,
    release_slot,
    reserve_slot,
)
from burdockhitch.systems.health import has_evidence, health_profile_of
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.requests import (
    AttemptRow,
    RepeatableRequestRow,
    RequestRow,
    RequestState,
)
from burdockhitch.tables.server_health import ServerHealthRow, ServerState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    next_sequence,
    post_event,
    send,
    start_timer,
    stop_timer,
)

SAFE_METHODS = frozenset({"GET", "HEAD"})
STATUS_OK = 200
REPETITION_TIMEOUT_S = 2.0
# Time between repetitions to a suspect server, instead of its health profile's.
SUSPECT_REPETITION_PERIOD_S = 1.0
# Tells the request ids of repetitions from those of callers' requests.
REQUEST_ID_PREFIX = "repetition:"
# States in which a server gets repetitions.
REPEATED_STATES = (ServerState.HEALTHY, ServerState.RECOVERING, ServerState.SUSPECT)


def record_repeatable_request(world: World, row: RequestRow, answer: Answer) -> None:
    """Store a request for repetitions if it is safe and was answered with 200."""
    if row.message.method in SAFE_METHODS and answer.status == STATUS_OK:
        world.repeatable_requests.put(RepeatableRequestRow(row.service, row.message))


def is_repetition(attempt: AttemptRow) -> bool:
    """Return whether an attempt is a repetition, for which no caller waits."""
    return attempt.request_id.startswith(REQUEST_ID_PREFIX)


@system(Phase.HEALTH)
def schedule_repetitions(world: World, now: Instant) -> None:
    """Schedule a repetition to each server that has evidence against it.

    ``servers_with_evidence`` lists those that may need one since the last tick. A
    server to which a repetition is scheduled already is left out.
    """
    for server_id in [row.server_id for row in world.servers_with_evidence]:
        world.servers_with_evidence.remove(server_id)
        row = world.server_health.get(server_id)
        if row is None or not _may_repeat(world, row):
            continue
        delay_s = health_profile_of(world, row.service).repetition_pause_s
        if row.state is ServerState.SUSPECT:
            delay_s = SUSPECT_REPETITION_PERIOD_S
        due_s = now.monotonic_s + delay_s
        start_timer(world, TimerKind.REPETITION, server_id, due_s)


def _may_repeat(world: World, row: ServerHealthRow) -> bool:
    is_scheduled = (TimerKind.REPETITION, row.server_id) in world.timers
    return row.state in REPEATED_STATES and has_evidence(row) and not is_scheduled


def _has_queued_request(world: World, service: str) -> bool:
    queued = world.requests.select("state", RequestState.QUEUED)
    return any(row.service == service for row in queued)


@timer_handlers(TimerKind.REPETITION)
def send_repetition(world: World, server_id: str, now: Instant) -> None:
    """Repeat the stored request to a server that still has evidence against it.

    Nothing is sent if the server has no free slot or a request waits for one.
    """
    row = world.server_health.get(server_id)
    slot = world.slot_usages.get(server_id)
    if row is None or slot is None or not _may_repeat(world, row):
        return
    stored = world.repeatable_requests.get(row.service)
    has_spare_slot = count_free_server_slots(
        world, slot
    ) > 0 and not _has_queued_request(world, row.service)
    if stored is not None and has_spare_slot:
        _send_repetition_attempt(world, row, stored, now)


def _send_repetition_attempt(
    world: World, row: ServerHealthRow, stored: RepeatableRequestRow, now: Instant
) -> None:
    attempt_id = next_sequence(world, "attempt")
    local = world.local
    request_id = f"{REQUEST_ID_PREFIX}{local.vm_id}:{local.incarnation}:{attempt_id}"
    reserve_slot(world, row.server_id)
    attempt = AttemptRow(
        attempt_id, request_id, row.server_id, row.service, now.monotonic_s
    )
    world.attempts.insert(attempt)
    count(world, "repetitions", "service", row.service)
    server = world.backend_servers.fetch(row.server_id)
    command = commands.SendAttempt(
        attempt_id, request_id, server.address, stored.message, REPETITION_TIMEOUT_S
    )
    send(world, command)
    due_s = now.monotonic_s + REPETITION_TIMEOUT_S
    start_timer(world, TimerKind.REPETITION_END, str(attempt_id), due_s)


@timer_handlers(TimerKind.REPETITION_END)
def time_out_repetition(world: World, subject: str, now: Instant) -> None:
    """Cancel a repetition that was not answered in time and count it as an error."""
    attempt = world.attempts.get(int(subject))
    if attempt is None:
        return
    world.attempts.remove(attempt.attempt_id)
    release_slot(world, attempt.server_id)
    send(world, commands.CancelAttempt(attempt.attempt_id))
    post_event(
        world, events.AttemptMeasured(attempt.server_id, True, REPETITION_TIMEOUT_S)
    )


def stop_repetition_timeout(world: World, attempt: AttemptRow) -> None:
    """Stop the timer that would time out a repetition, once it ended."""
    stop_timer(world, TimerKind.REPETITION_END, str(attempt.attempt_id))
