"""Graceful shutdown: directs callers to other VMs, then finishes all requests.

The platform kills the process at the end of the grace period. So a request that arrives
late is refused unless its deadline lies before, and what is still open at the end is
answered. The process ends when the last answer is written: callers on slow links take
long answers over seconds.
"""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import AnswerLostError, NotReadyError
from burdockhitch.systems.direct.membership import broadcast_heartbeat, is_leaving
from burdockhitch.systems.direct.return_times import RETURN_MIN_S
from burdockhitch.systems.endings import (
    end_with_unknown_outcome,
    make_refusal,
    refuse_request,
)
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import (
    World,
    discard_events,
    log_event,
    pop_events,
    send,
    start_timer,
    stop_timer,
)

IDLE_CHECK_PERIOD_S = 0.1
# Fraction of the grace period during which the listeners stay open, for callers to
# refresh their addresses. After it, callers can't connect and use another VM.
LISTEN_FRACTION = 0.5
# Time reserved at the end of the grace period for sending the last answers and for
# the process to end.
EXIT_MARGIN_S = 0.4
# The same for the last answers that are being written.
WRITE_MARGIN_S = 0.1
# Time after the request to stop in which requests are accepted that may outlast the
# grace period. Most end long before, and callers may not know of another VM yet.
ACCEPT_LONG_S = 3.0
# Subjects of the timer: the steps of draining.
STEP_CLOSE_LISTENERS = "close"
STEP_CHECK_IDLE = "idle"
STEP_FORCE_EXIT = "limit"
STEP_STOP = "stop"


@system(Phase.DRAINING, DIRECT)
def start_draining(world: World, now: Instant) -> None:
    """Announce at the first stop request that this VM is leaving, and set timers."""
    if not discard_events(world, events.StopRequested) or is_leaving(world):
        return
    own = world.vms.fetch(world.local.vm_id)
    world.vms.replace(own._replace(status=VmStatus.LEAVING, is_ready=False))
    log_event(world, "INFO", "vm_leaving", n_requests=len(world.requests))
    broadcast_heartbeat(world, now)
    grace_s = world.settings.direct.grace_s
    close_at_s = now.monotonic_s + LISTEN_FRACTION * grace_s
    start_timer(world, TimerKind.DRAINING_STEP, STEP_CLOSE_LISTENERS, close_at_s)
    limit_at_s = now.monotonic_s + grace_s - EXIT_MARGIN_S
    start_timer(world, TimerKind.DRAINING_STEP, STEP_FORCE_EXIT, limit_at_s)
    stop_at_s = now.monotonic_s + grace_s - WRITE_MARGIN_S
    start_timer(world, TimerKind.DRAINING_STEP, STEP_STOP, stop_at_s)


def may_outlast_grace(world: World, deadline_s: float, now: Instant) -> bool:
    """Return whether a request that arrives now is too long for this VM's shutdown.

    Args:
        world: Tables of this VM.
        deadline_s: Monotonic time of the request's deadline.
        now: Time of its arrival.
    """
    if not is_leaving(world):
        return False
    limit = world.timers.get((TimerKind.DRAINING_STEP, STEP_FORCE_EXIT))
    if limit is None:
        return True
    if deadline_s < limit.due_s:
        return False
    grace_s = world.settings.direct.grace_s
    stop_requested_at_s = limit.due_s + EXIT_MARGIN_S - grace_s
    accept_s = min(ACCEPT_LONG_S, LISTEN_FRACTION * grace_s)
    return now.monotonic_s - stop_requested_at_s > accept_s


def _end_open_requests(world: World, now: Instant) -> None:
    """Answer all open requests, since the process ends."""
    for row in world.requests:
        attempt = world.attempts.get(row.attempt_id)
        if attempt is not None and not attempt.is_connecting:
            detail = "this VM ends before the backend server answered"
            end_with_unknown_outcome(
                world, row, make_refusal(AnswerLostError, detail), now
            )
        else:
            detail = f"this VM ends while the request was {row.state.value}"
            refusal = make_refusal(NotReadyError, detail, RETURN_MIN_S)
            refuse_request(world, row, refusal, now)


def _check_idle_later(world: World, now: Instant) -> None:
    due_s = now.monotonic_s + IDLE_CHECK_PERIOD_S
    start_timer(world, TimerKind.DRAINING_STEP, STEP_CHECK_IDLE, due_s)


@timer_handlers(TimerKind.DRAINING_STEP)
def continue_draining(world: World, step: str, now: Instant) -> None:
    """Close the listeners; end the process once no request and no answer is left.

    At the limit, the open requests are answered. Until the end of the grace period the
    answers can be written.
    """
    if step == STEP_STOP:
        log_event(world, "WARNING", "vm_left", n_requests=len(world.requests))
        _stop(world)
        return
    if step == STEP_CLOSE_LISTENERS:
        send(world, commands.CloseListeners())
    if step == STEP_FORCE_EXIT:
        log_event(world, "WARNING", "vm_ends_requests", n_requests=len(world.requests))
        _end_open_requests(world, now)
    if step != STEP_CHECK_IDLE or len(world.requests):
        _check_idle_later(world, now)
    else:
        send(world, commands.CountUnwrittenAnswers())


@system(Phase.DRAINING, DIRECT)
def stop_when_answers_are_written(world: World, now: Instant) -> None:
    """End the process if no answer is left to write, or check again later."""
    for event in pop_events(world, events.UnwrittenAnswersCounted):
        if event.n_connections or len(world.requests):
            _check_idle_later(world, now)
            continue
        log_event(world, "INFO", "vm_left", n_requests=0)
        _stop(world)


def _stop(world: World) -> None:
    for step in (STEP_FORCE_EXIT, STEP_STOP, STEP_CHECK_IDLE):
        stop_timer(world, TimerKind.DRAINING_STEP, step)
    send(world, commands.StopProcess())
