"""Graceful shutdown: directs callers to other VMs, then finishes all requests."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.membership import broadcast_heartbeat, is_leaving
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, discard_events, log_event, send, start_timer

IDLE_CHECK_PERIOD_S = 0.1
# Fraction of the grace period during which the listeners stay open, for callers to
# refresh their addresses. After it, callers can't connect and use another VM.
LISTEN_FRACTION = 0.5
# Time reserved at the end of the grace period for sending the last answers and for
# the process to end.
EXIT_MARGIN_S = 0.4
# Subjects of the timer: the steps of draining.
STEP_CLOSE_LISTENERS = "close"
STEP_CHECK_IDLE = "idle"
STEP_FORCE_EXIT = "limit"


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


@timer_handlers(TimerKind.DRAINING_STEP)
def continue_draining(world: World, step: str, now: Instant) -> None:
    """Close the listeners; end the process when no request is left or at the limit."""
    if step == STEP_CLOSE_LISTENERS:
        send(world, commands.CloseListeners())
    if step != STEP_FORCE_EXIT and (
        len(world.requests) or step == STEP_CLOSE_LISTENERS
    ):
        due_s = now.monotonic_s + IDLE_CHECK_PERIOD_S
        start_timer(world, TimerKind.DRAINING_STEP, STEP_CHECK_IDLE, due_s)
        return
    log_event(world, "INFO", "vm_left", n_requests=len(world.requests))
    send(world, commands.StopProcess())
