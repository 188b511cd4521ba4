"""Graceful shutdown: callers are steered away, then all work is finished."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.membership import announce, is_leaving
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, log_event, send, start_timer, take_events

CHECK_PERIOD_S = 0.1
# Callers keep an address up to three times as long as they are told; after
# this part of the grace nearly all of them have asked again.
SERVE_SHARE = 0.6
# The rest is for the last answers to leave and the process to end.
EXIT_MARGIN_S = 0.4
LEAVE = "leave"


@system(Phase.DRAINING, DIRECT)
def start_leaving(world: World, now: Instant) -> None:
    """Say that this VM is leaving, once."""
    if not take_events(world, events.StopRequested) or is_leaving(world):
        return
    own = world.vms.fetch(world.local.vm_id)
    world.vms.replace(own._replace(status=VmStatus.LEAVING, is_ready=False))
    log_event(world, "INFO", "vm_leaving", n_requests=len(world.requests))
    announce(world, now)
    serve_s = SERVE_SHARE * world.settings.direct.grace_s
    start_timer(world, TimerKind.LEAVE, LEAVE, now.monotonic_s + serve_s)
    limit_s = world.settings.direct.grace_s - EXIT_MARGIN_S
    start_timer(world, TimerKind.LEAVE, "exit", now.monotonic_s + limit_s)


@timer_handlers(TimerKind.LEAVE)
def leave_when_idle(world: World, step: str, now: Instant) -> None:
    """End the process once no request is in progress, or at the limit."""
    if len(world.requests) and step == LEAVE:
        due_s = now.monotonic_s + CHECK_PERIOD_S
        start_timer(world, TimerKind.LEAVE, LEAVE, due_s)
        return
    log_event(world, "INFO", "vm_left", n_requests=len(world.requests))
    send(world, commands.CloseListeners())
    send(world, commands.StopProcess())
