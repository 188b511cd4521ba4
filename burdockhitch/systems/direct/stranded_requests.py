"""Ends the requests that an error left without a way to their answer.

It runs in ticks in which a system raised an error. Whatever the error interrupted, each
request keeps the timer of its deadline, and one whose attempt is gone is answered.
"""

from burdockhitch import commands
from burdockhitch.clock import Instant
from burdockhitch.errors import AnswerLostError
from burdockhitch.systems.endings import end_with_unknown_outcome, make_refusal
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.requests import RequestRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import World, count, log_event, send, start_timer


@system(Phase.RECOVERY, DIRECT)
def end_stranded_requests(world: World, now: Instant) -> None:
    """Answer requests whose attempt is gone, and cancel attempts without a request."""
    for row in world.requests:
        if row.attempt_id and row.attempt_id not in world.attempts:
            _end_stranded(world, row, now)
        elif (TimerKind.REQUEST_CUTOFF, row.request_id) not in world.timers:
            start_timer(world, TimerKind.REQUEST_CUTOFF, row.request_id, row.deadline_s)
    for attempt in world.attempts:
        if attempt.request_id not in world.requests:
            world.attempts.remove(attempt.attempt_id)
            send(world, commands.CancelAttempt(attempt.attempt_id))


def _end_stranded(world: World, row: RequestRow, now: Instant) -> None:
    count(world, "requests_stranded")
    log_event(
        world,
        "ERROR",
        "request_stranded",
        request_id=row.caller_request_id,
        state=row.state.value,
        tried=row.tried,
    )
    row = row._replace(attempt_id=0)
    world.requests.replace(row)
    refusal = make_refusal(AnswerLostError, "an error interrupted the request")
    end_with_unknown_outcome(world, row, refusal, now)
