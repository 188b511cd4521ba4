"""Shuts this VM down gracefully.

It announces to the other VMs that it is leaving, and keeps serving as long as
callers may use the addresses they were given. Then it closes its listeners once no
request is in progress, and exits after a check that still finds none.
"""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.messages import MembershipUpdate
from burdockhitch.systems.gossip import list_peers, make_digest
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import (
    World,
    current_revision,
    discard_events,
    log_event,
    pop_events,
    post_event,
    send,
    start_timer,
)

IDLE_CHECK_PERIOD_S = 0.1
# Time from closing the listeners to the first check whether to exit.
CLOSE_GRACE_S = 0.3
# Steps of the shutdown.
CLOSE_STEP = "close"
EXIT_STEP = "exit"


def is_leaving(world: World) -> bool:
    """Return whether this VM has announced that it is leaving."""
    return world.vms.fetch(world.local.vm_id).status is VmStatus.LEAVING


@system(Phase.DRAINING)
def start_draining(world: World, now: Instant) -> None:
    """Announce on the first stop request that this VM is leaving; ignore later ones."""
    if not discard_events(world, events.StopRequested):
        return
    if is_leaving(world):
        return
    own = world.vms.fetch(world.local.vm_id)
    own = own._replace(
        status=VmStatus.LEAVING,
        n_refutations=own.n_refutations + 1,
        status_updated_at_s=now.monotonic_s,
        n_transmissions=0,
    )
    world.vms.replace(own)
    log_event(world, "INFO", "vm_leaving", vm=own.vm_id)
    post_event(world, events.MembershipChanged(own.vm_id))
    message = MembershipUpdate(current_revision(world), (make_digest(own),))
    for peer in list_peers(world):
        send(world, commands.SendMessage(peer.vm_id, peer.message_address, message))
    due_s = now.monotonic_s + world.settings.callers.keep_s
    start_timer(world, TimerKind.IDLE_CHECK, CLOSE_STEP, due_s)


def is_idle(world: World) -> bool:
    """Return whether no request is in progress on this VM."""
    return len(world.requests) == 0


@timer_handlers(TimerKind.IDLE_CHECK)
def request_idle_check(world: World, step: str, now: Instant) -> None:
    """Request an idle check later in this tick, after new arrivals are accepted."""
    post_event(world, events.IdleCheckDue(step))


@system(Phase.DRAINING)
def shut_down_when_idle(world: World, now: Instant) -> None:
    """Close the listeners, then end the process; each step waits until idle."""
    for event in pop_events(world, events.IdleCheckDue):
        if not is_idle(world):
            due_s = now.monotonic_s + IDLE_CHECK_PERIOD_S
            start_timer(world, TimerKind.IDLE_CHECK, event.step, due_s)
        elif event.step == CLOSE_STEP:
            send(world, commands.CloseListeners())
            due_s = now.monotonic_s + CLOSE_GRACE_S
            start_timer(world, TimerKind.IDLE_CHECK, EXIT_STEP, due_s)
        else:
            log_event(world, "INFO", "vm_left", vm=world.local.vm_id)
            send(world, commands.StopProcess())
