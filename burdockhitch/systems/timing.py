"""Calls the registered handlers of timers, messages from VMs and platform replies."""

from collections.abc import Callable
from typing import Any

from burdockhitch import direct_messages, events
from burdockhitch.clock import Instant
from burdockhitch.errors import MessageError, MessageUnhandledError, error_name
from burdockhitch.messages import vm_messages
from burdockhitch.registry import Registry
from burdockhitch.systems.phases import SENDING_MODES, Phase, system
from burdockhitch.tables.operations import PlatformOperationRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    log_event,
    pop_events,
    start_timer,
    stop_timer,
)

TimerHandler = Callable[[World, str, Instant], None]
MessageHandler = Callable[[World, str, Any, Instant], None]
ReplyHandler = Callable[
    [World, PlatformOperationRow, events.PlatformReplied, Instant], None
]

timer_handlers: Registry[TimerHandler] = Registry("timer handler")
message_handlers: Registry[MessageHandler] = Registry("message handler")
reply_handlers: Registry[ReplyHandler] = Registry("platform reply handler")

# A timer that fires later than this shows that the process lacks processor time.
TIMER_LATE_S = 0.25
# Time after which a timer fires again whose handler raised an error.
TIMER_RETRY_S = 0.25

# Importing this module registers its message types in ``vm_messages``.
REGISTERED_MODULES = (direct_messages,)
KIND_BY_MESSAGE_TYPE = {vm_messages[kind]: kind for kind in vm_messages}


@system(Phase.TIMING, *SENDING_MODES)
def fire_timers(world: World, now: Instant) -> None:
    """Call the handlers of all due timers, earliest first.

    A timer whose handler raises an error is started again, since periodic tasks
    and the deadlines of requests depend on it, and keeps no other from firing.

    Raises:
        Exception: The last of these errors, after all timers.
    """
    _log_lateness(world, now)
    failure = None
    while True:
        timer = world.timers.first("due_s")
        if timer is None or timer.due_s > now.monotonic_s:
            break
        kind, subject = timer.timer_id
        try:
            world.timers.remove(timer.timer_id)
            timer_handlers[kind](world, subject, now)
        except Exception as error:
            failure = error
            log_event(world, "ERROR", "timer_failed", timer=kind, error=repr(error))
            if timer.timer_id not in world.timers:
                start_timer(world, kind, subject, now.monotonic_s + TIMER_RETRY_S)
    if failure is not None:
        raise failure


def _log_lateness(world: World, now: Instant) -> None:
    timer = world.timers.first("due_s")
    if timer is None or now.monotonic_s - timer.due_s <= TIMER_LATE_S:
        return
    kind, _subject = timer.timer_id
    late_s = round(now.monotonic_s - timer.due_s, 3)
    log_event(world, "WARNING", "timer_late", timer=kind, late_s=late_s)


@system(Phase.MESSAGES, *SENDING_MODES)
def deliver_messages(world: World, now: Instant) -> None:
    """Call the handler of every message from another VM.

    A message also stops the timers that would probe its silent sender and then mark it
    as unreachable. A message that its handler rejects is counted and dropped.
    """
    for event in pop_events(world, events.VmMessageArrived):
        stop_timer(world, TimerKind.OWNER_SILENCE, event.sender_vm_id)
        stop_timer(world, TimerKind.OWNER_UNREACHABLE, event.sender_vm_id)
        kind = KIND_BY_MESSAGE_TYPE[type(event.message)]
        try:
            if kind not in message_handlers:
                raise MessageUnhandledError(kind)
            message_handlers[kind](world, event.sender_vm_id, event.message, now)
        except MessageError as error:
            count(world, "messages_dropped", "reason", error_name(error))


@system(Phase.MESSAGES, *SENDING_MODES)
def deliver_replies(world: World, now: Instant) -> None:
    """Call the handler of every platform reply whose operation is still pending."""
    for event in pop_events(world, events.PlatformReplied):
        operation = world.platform_operations.get(event.operation_id)
        if operation is None:
            count(world, "platform_replies_dropped")
            continue
        world.platform_operations.remove(event.operation_id)
        reply_handlers[operation.purpose](world, operation, event, now)
