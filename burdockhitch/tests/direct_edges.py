"""Fakes at the edges of a direct fleet: network, backend servers, callers, store.

A handler takes the fleet, the VM that sent a command, and the command.
"""

from typing import Any, NamedTuple

from burdockhitch import events
from burdockhitch.errors import PlatformHistoryGoneError, PlatformUnavailableError
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.registry import Registry
from burdockhitch.systems.direct.snapshots import make_snapshot
from burdockhitch.tables.registry_views import Subject

MESSAGE_DELAY_S = 0.001
STORE_DELAY_S = 0.004
SERVICE_TIME_S = 0.1

behaviours: Registry[Any] = Registry("behaviour of a fake server")
handlers: Registry[Any] = Registry("fake of an adapter of the direct way")


@behaviours("ok")
def answer_well(fleet, attempt):
    """Run the request and answer well."""
    time_s = SERVICE_TIME_S + fleet.server_waits.get(attempt.server_id, 0.0)
    return time_s, True, Answer(200, (("server", attempt.address),), b"done")


@behaviours("error")
def answer_badly(fleet, attempt):
    """Run the request and fail at once."""
    return 0.001, True, Answer(500, (), b"")


@behaviours("shed")
def shed(fleet, attempt):
    """Refuse the request."""
    return 0.001, False, AttemptFailure.SHED


@behaviours("misdirected")
def misdirect(fleet, attempt):
    """Refuse the request as meant for another server."""
    return 0.001, False, AttemptFailure.MISDIRECTED


@behaviours("broken")
def break_off(fleet, attempt):
    """Run the request and break the answer off."""
    return 0.05, True, AttemptFailure.BROKEN


@behaviours("unreachable")
def refuse_connection(fleet, attempt):
    """Take no connection."""
    return 0.25, False, AttemptFailure.NOT_SENT


@behaviours("mute")
def stay_silent(fleet, attempt):
    """Run the request and never answer."""
    return None, True, None


class Run(NamedTuple):
    """A request that a fake server ran."""

    request_id: str
    server_id: str
    at_s: float


class Reply(NamedTuple):
    """What a caller got."""

    at_s: float
    command: Any


@handlers("BroadcastMessage")
def deliver_message(fleet, vm_id, command):
    """Carry a message over the network."""
    for address in command.message_addresses:
        for receiver, world in fleet.worlds.items():
            is_cut = (vm_id, receiver) in fleet.cuts
            is_lost = is_cut or fleet.rng.random() < fleet.loss_ratio
            if world.settings.vm.message_address == address and not is_lost:
                event = events.VmMessageArrived(vm_id, command.message)
                fleet.later(
                    MESSAGE_DELAY_S,
                    lambda receiver=receiver, event=event: fleet.post(receiver, event),
                )


@handlers("SendAttempt")
def run_attempt(fleet, vm_id, command):
    """Let a fake server run a request."""
    run = Run(command.request_id, command.server_id, fleet.clock.elapsed_s)
    fleet.arrivals.append(run)
    mode = fleet.modes[command.server_id]
    if (vm_id, command.server_id) in fleet.cuts:
        mode = "unreachable"
    delay_s, is_run, end = behaviours[mode](fleet, command)
    if is_run:
        fleet.runs.append(run)
    if delay_s is None:
        return
    if isinstance(end, Answer):
        event = events.BackendAnswered(command.attempt_id, end)
    else:
        event = events.BackendFailed(command.attempt_id, end)
    fleet.later(delay_s, lambda: fleet.post(vm_id, event))


@handlers("CancelAttempt")
def cancel_attempt(fleet, vm_id, command):
    """Note a cancellation."""
    fleet.cancelled.append(command.attempt_id)


@handlers("AnswerCaller")
@handlers("RefuseCaller")
@handlers("OfferAddresses")
def reply_to_caller(fleet, vm_id, command):
    """Note what a caller got."""
    if command.connection_id:
        assert command.connection_id not in fleet.replies
        reply = Reply(fleet.clock.elapsed_s, command)
        fleet.replies[command.connection_id] = reply


@handlers("WriteVm")
def write_vm(fleet, vm_id, command):
    """Write a VM's row."""
    fleet.registry.n_calls += 1
    error = PlatformUnavailableError if vm_id in fleet.registry.refused else None
    if error is None:
        fleet.registry.vms[vm_id] = command.row
    event = events.RowWritten(command.operation_id, error)
    fleet.later(STORE_DELAY_S, lambda: fleet.post(vm_id, event))


@handlers("ReadRegistry")
def read_registry(fleet, vm_id, command):
    """Read or watch a part of the registry."""
    registry = fleet.registry
    registry.n_calls += 1
    _look(fleet, vm_id, command, fleet.clock.elapsed_s + command.wait_s)


def _look(fleet, vm_id, command, until_s):
    registry = fleet.registry
    if vm_id in registry.refused:
        event = events.RegistryRead(command.operation_id, PlatformUnavailableError)
    elif command.after_version == 0:
        version, rows = registry.stale or (
            registry.version,
            registry.rows(command.subject),
        )
        event = events.RegistryRead(command.operation_id, None, version, True, rows)
    elif registry.is_history_gone:
        registry.is_history_gone = False
        event = events.RegistryRead(command.operation_id, PlatformHistoryGoneError)
    else:
        event = _changes(registry, command)
        is_empty = not event.rows and not event.removed
        if is_empty and fleet.clock.elapsed_s < until_s:
            fleet.later(0.02, lambda: _look(fleet, vm_id, command, until_s))
            return
    fleet.later(STORE_DELAY_S, lambda: fleet.post(vm_id, event))


def _changes(registry, command):
    keys = {
        key
        for version, subject, key in registry.changes
        if subject is command.subject and version > command.after_version
    }
    if command.subject is Subject.CONFIGURATION:
        rows = (registry.configuration,) if keys else ()
        removed = ()
    else:
        rows = tuple(registry.servers[key] for key in keys if key in registry.servers)
        removed = tuple(key for key in keys if key not in registry.servers)
    return events.RegistryRead(
        command.operation_id, None, registry.version, False, rows, removed
    )


@handlers("ReadSnapshot")
def read_snapshot(fleet, vm_id, command):
    """Copy from another VM."""
    snapshot = None
    for other_id, world in fleet.worlds.items():
        is_asked = world.settings.vm.admin_address == command.admin_address
        if is_asked and (vm_id, other_id) not in fleet.cuts:
            snapshot = make_snapshot(
                world, command.configuration_version, command.servers_version
            )
    error = None if snapshot else PlatformUnavailableError
    event = events.SnapshotRead(command.operation_id, error, snapshot)
    fleet.later(2 * MESSAGE_DELAY_S, lambda: fleet.post(vm_id, event))


@handlers("LogEvent")
def keep_log(fleet, vm_id, command):
    """Keep a line of the log."""
    fleet.logs.append((vm_id, command))


@handlers("StopProcess")
def stop_process(fleet, vm_id, command):
    """Note that a VM ended by itself."""
    fleet.stopped.add(vm_id)
