"""Graceful shutdown: directs callers to other VMs, then finishes all requests."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.membership import announce, is_leaving
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, log_event, send, start_timer, take_events

CHECK_PERIOD_S = 0.1
# Fraction of the grace period during which the listeners stay open. Callers refresh
# their addresses within it; later ones can't connect and use another VM.
SERVE_SHARE = 0.5
# End of the grace period that is left for sending the last answers and for the
# process to end.
EXIT_MARGIN_S = 0.4
# Steps of the timer.
CLOSE = "close"
IDLE = "idle"
LIMIT = "limit"


@system(Phase.DRAINING, DIRECT)
def start_leaving(world: World, now: Instant) -> None:
    """Announce at the first stop request that this VM is leaving, and set timers."""
    if not take_events(world, events.StopRequested) or is_leaving(world):
        return
    own = world.vms.fetch(world.local.vm_id)
    world.vms.replace(own._replace(status=VmStatus.LEAVING, is_ready=False))
    log_event(world, "INFO", "vm_leaving", n_requests=len(world.requests))
    announce(world, now)
    grace_s = world.settings.direct.grace_s
    close_at_s = now.monotonic_s + SERVE_SHARE * grace_s
    start_timer(world, TimerKind.DRAINING_STEP, CLOSE, close_at_s)
    limit_at_s = now.monotonic_s + grace_s - EXIT_MARGIN_S
    start_timer(world, TimerKind.DRAINING_STEP, LIMIT, limit_at_s)


@timer_handlers(TimerKind.DRAINING_STEP)
def go_on_leaving(world: World, step: str, now: Instant) -> None:
    """Close the listeners; end the process when no request is left or at the limit."""
    if step == CLOSE:
        send(world, commands.CloseListeners())
    if step != LIMIT and (len(world.requests) or step == CLOSE):
        due_s = now.monotonic_s + CHECK_PERIOD_S
        start_timer(world, TimerKind.DRAINING_STEP, IDLE, due_s)
        return
    log_event(world, "INFO", "vm_left", n_requests=len(world.requests))
    send(world, commands.StopProcess())
