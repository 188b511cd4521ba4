"""Decides which VMs read the platform's registry, and applies what was read.

One VM per zone watches the registry, and the others copy from that VM. While it gets
no answers, more and more VMs try in the order of their rank, until one gets an answer.
Those of lower rank retry in turn, so a platform that is down gets few calls.
"""

import functools
import hashlib
import math

from burdockhitch import commands, events
from burdockhitch.backoff import doubled_delay_s
from burdockhitch.clock import Instant
from burdockhitch.errors import PlatformHistoryGoneError
from burdockhitch.systems.direct.configuration import apply_configuration, registry_view
from burdockhitch.systems.direct.membership import (
    add_listed_vm,
    broadcast_heartbeat,
    is_silent,
)
from burdockhitch.systems.direct.quotas.home import record_listed_vms
from burdockhitch.systems.direct.servers import PLATFORM_SOURCE, apply_servers
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.registry_views import RegistryPart, RegistryViewRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    log_event,
    pop_events,
    send,
    start_platform_operation,
    start_timer,
)

WATCHED_PARTS = (RegistryPart.CONFIGURATION, RegistryPart.SERVERS)
# Longest time for which the platform holds a watch open while nothing changes.
WATCH_TIMEOUT_S = 2.0
# The watches of the two parts end in turn, each at a fixed phase of this period, so the
# platform answers a reader every half period. The period includes WATCH_PAUSE_S.
WATCH_PERIOD_S = WATCH_TIMEOUT_S + 0.1
WATCH_PHASES_S = {
    RegistryPart.CONFIGURATION: 0.0,
    RegistryPart.SERVERS: WATCH_PERIOD_S / 2,
}
# A watch that would be shorter lasts until the next period.
WATCH_MIN_S = 0.15
# A reader announces each answer of the platform, so this allows for a late answer or
# announcement. It bounds how late a zone learns of a change whose readers are cut off
# or lost: no VM waits longer for VMs that send no messages.
READER_STALE_S = WATCH_PERIOD_S / 2 + 0.35
# Time in which the number of VMs that try doubles, unless one of them gets answers.
TAKEOVER_DOUBLING_S = 0.15
# The first VMs in rank that send messages retry after the usual delay. The further ones
# of the zone share one retry in each period, however many they are.
FREQUENT_READERS_MAX = 2
FURTHER_RETRY_PERIOD_S = 0.75
# Pause between an answer of the platform and the next watch, without and with changes.
# Each change that a reader applies is copied by all VMs of its zone, so those of the
# longer pause are copied together.
WATCH_PAUSE_S = 0.08
CHANGES_PAUSE_S = 0.3
# The delay after a failed read starts at up to twice READ_BACKOFF_S and doubles at
# each consecutive failure, up to READ_BACKOFF_MAX_S.
READ_BACKOFF_S = 0.25
READ_BACKOFF_MAX_S = 1.0
READER_CHECK_PERIOD_S = 0.5
READER_CHECK_MARGIN_S = 0.001
PURPOSE_READ = "read_registry"
# Subject of the timer, besides the registry parts.
READER_CHECK = "duty"


def schedule_reader_check(world: World, now: Instant) -> None:
    """Start the periodic check whether this VM has to read the registry."""
    start_timer(world, TimerKind.REGISTRY_READ, READER_CHECK, now.monotonic_s)


@functools.cache
def rank_in_zone(zone: str, vm_id: str) -> bytes:
    """Return a VM's sort key in its zone; the lowest live VM does zone-wide tasks."""
    return hashlib.blake2b(f"{zone}|{vm_id}".encode(), digest_size=8).digest()


def alive_vms_of_zone(world: World) -> list[VmRow]:
    """Return the alive VMs of this zone."""
    same_zone = world.vms.select("zone", world.local.zone)
    return [vm for vm in same_zone if vm.status is VmStatus.ALIVE]


def better_ranked_vms(world: World) -> list[VmRow]:
    """Return the alive VMs of this zone that rank before this one."""
    zone = world.local.zone
    own = rank_in_zone(zone, world.local.vm_id)
    return [vm for vm in alive_vms_of_zone(world) if rank_in_zone(zone, vm.vm_id) < own]


def rank_among_live(world: World, now: Instant) -> int:
    """Return how many better-ranked VMs of this zone sent messages lately."""
    return sum(not is_silent(world, vm, now) for vm in better_ranked_vms(world))


def is_first_in_zone(world: World, now: Instant) -> bool:
    """Return whether this VM does zone-wide tasks: no better-ranked one is live."""
    return rank_among_live(world, now) == 0


def _takeover_delay_s(n_live: int) -> float:
    """Return how much later than the next in rank a VM takes over.

    Args:
        n_live: Number of better-ranked VMs that are live.
    """
    n_doublings = max(0, n_live - 1).bit_length()
    return TAKEOVER_DOUBLING_S * n_doublings


def _last_failed_at_s(world: World) -> float:
    """Return when this VM's last read failed, of those parts that still fail."""
    return max(
        (view.read_failed_at_s for view in world.registry_views if view.n_failures),
        default=-math.inf,
    )


def _retry_from_s(failed_at_s: float, n_live: int, n_vms: int) -> float:
    """Return the earliest monotonic time for the next read after a failed one.

    The VMs that retry rarely do so in turn, each in its own period of a cycle.

    Args:
        failed_at_s: Monotonic time of the failed read; negative infinity for none.
        n_live: Number of better-ranked VMs that are live.
        n_vms: Number of alive VMs of the zone, for the length of the cycle.
    """
    if n_live < FREQUENT_READERS_MAX or failed_at_s == -math.inf:
        return -math.inf
    turn_s = FURTHER_RETRY_PERIOD_S * n_live
    return failed_at_s + (turn_s - failed_at_s) % (FURTHER_RETRY_PERIOD_S * n_vms)


def _reader_from_s(world: World) -> float:
    """Return the monotonic time from which this VM has to read the registry.

    It is in the past for the best-ranked VM. For others it is the time at which, for
    too long, no better-ranked VM will have sent a message or reported an answer of the
    platform, unless more messages arrive.
    """
    better = better_ranked_vms(world)
    answered_at_s = max(
        (vm.status_updated_at_s - vm.platform_answer_age_s for vm in better),
        default=-math.inf,
    )
    received_at_s = sorted((vm.status_updated_at_s for vm in better), reverse=True)
    failed_at_s = _last_failed_at_s(world)
    n_vms = len(alive_vms_of_zone(world))
    from_s = math.inf
    # From the time at which at most n_live of them count as live.
    for n_live, silent_at_s in enumerate([*received_at_s, -math.inf]):
        unanswered_at_s = answered_at_s + _takeover_delay_s(n_live)
        due_s = max(silent_at_s, unanswered_at_s) + READER_STALE_S
        retry_from_s = _retry_from_s(failed_at_s, n_live, n_vms)
        from_s = min(from_s, max(due_s, retry_from_s))
    return from_s


def is_reader(world: World, now: Instant) -> bool:
    """Return whether this VM has to read the platform's registry.

    It does if, by their own reports, the platform has not answered any better-ranked VM
    for READER_STALE_S, and for longer the more of them sent messages in that time:
    those may have lost the platform while it answers this VM. Whether silent VMs read
    is unknown: they may have failed, or this VM may be cut off from them.
    """
    return now.monotonic_s > _reader_from_s(world)


def _watch_duration_s(part: RegistryPart, now: Instant) -> float:
    """Return how long a watch that starts now lasts if nothing changes."""
    until_phase_s = (WATCH_PHASES_S[part] - now.monotonic_s) % WATCH_PERIOD_S
    if until_phase_s < WATCH_MIN_S:
        until_phase_s += WATCH_PERIOD_S
    return min(WATCH_TIMEOUT_S, until_phase_s)


def read_registry_part(world: World, part: RegistryPart, now: Instant) -> None:
    """Start to read or watch a registry part, unless a read of it is in progress."""
    view = registry_view(world, part)
    if view.operation_id:
        return
    operation_id = start_platform_operation(world, PURPOSE_READ, part, now)
    world.registry_views.put(view._replace(operation_id=operation_id))
    is_watch = part in WATCHED_PARTS and view.watch_from_version > 0
    after_version = view.watch_from_version if is_watch else 0
    wait_s = _watch_duration_s(part, now) if is_watch else 0.0
    count(world, "registry_reads", "subject", part)
    send(world, commands.ReadRegistry(operation_id, part, after_version, wait_s))


@timer_handlers(TimerKind.REGISTRY_READ)
def handle_read_timer(world: World, subject: str, now: Instant) -> None:
    """Start due reads: the list of VMs always, other parts if this VM is a reader."""
    if subject == RegistryPart.VMS:
        read_registry_part(world, RegistryPart.VMS, now)
        return
    if is_reader(world, now):
        for part in (
            WATCHED_PARTS if subject == READER_CHECK else (RegistryPart(subject),)
        ):
            read_registry_part(world, part, now)
    if subject == READER_CHECK:
        _schedule_next_check(world, now)


def _schedule_next_check(world: World, now: Instant) -> None:
    """Check again when this VM may have to take over, or after the usual period."""
    from_s = _reader_from_s(world)
    due_s = now.monotonic_s + READER_CHECK_PERIOD_S
    if now.monotonic_s < from_s:
        due_s = min(due_s, from_s + READER_CHECK_MARGIN_S)
    start_timer(world, TimerKind.REGISTRY_READ, READER_CHECK, due_s)


@system(Phase.OWNERSHIP, DIRECT)
def handle_registry_reads(world: World, now: Instant) -> None:
    """Apply what was read and schedule the next reads."""
    for event in pop_events(world, events.RegistryRead):
        operation = world.platform_operations.get(event.operation_id)
        if operation is None:
            count(world, "registry_reads_dropped")
            continue
        world.platform_operations.remove(event.operation_id)
        part = RegistryPart(operation.subject)
        view = registry_view(world, part)._replace(operation_id="")
        if event.error is None:
            _handle_success(world, view, event, operation.started_at_s, now)
        else:
            _handle_failure(world, view, event, now)


def _lost_until_s(view: RegistryViewRow, started_at_s: float) -> float:
    """Return until when the platform was probably lost, by the first answer after it.

    Args:
        view: View whose last read failed.
        started_at_s: Monotonic time at which the answered read started.
    """
    if started_at_s - view.read_failed_at_s <= READER_CHECK_PERIOD_S:
        return view.read_failed_at_s
    # The failure is older than those of VMs that retry often, which have not reported
    # an answer.
    return started_at_s


def _handle_success(
    world: World,
    view: RegistryViewRow,
    event: events.RegistryRead,
    started_at_s: float,
    now: Instant,
) -> None:
    if view.n_failures:
        log_event(world, "INFO", "platform_regained", subject=view.part)
        view = view._replace(read_failed_at_s=_lost_until_s(view, started_at_s))
    view = view._replace(platform_answered_at_s=now.monotonic_s, n_failures=0)
    is_stale = event.version < view.watch_from_version
    if not is_stale:
        view = view._replace(watch_from_version=event.version)
    world.registry_views.put(view)
    if is_stale:
        log_event(
            world,
            "INFO",
            "stale_read_dropped",
            subject=view.part,
            version=event.version,
            held=view.watch_from_version,
        )
    is_changed = not is_stale and _apply_rows(world, view.part, event, now)
    if is_changed or view.part in WATCHED_PARTS:
        broadcast_heartbeat(world, now, include_other_zones=is_changed)
    if view.part in WATCHED_PARTS:
        due_s = now.monotonic_s + (CHANGES_PAUSE_S if is_changed else WATCH_PAUSE_S)
        start_timer(world, TimerKind.REGISTRY_READ, view.part, due_s)


def _apply_rows(
    world: World, part: RegistryPart, event: events.RegistryRead, now: Instant
) -> bool:
    """Apply the rows that were read; return whether to send a heartbeat."""
    if part is RegistryPart.CONFIGURATION:
        return any(
            [
                apply_configuration(world, row, PLATFORM_SOURCE, now)
                for row in event.rows
            ]
        )
    if part is RegistryPart.SERVERS:
        if not event.is_complete and not event.rows and not event.removed:
            return False
        return apply_servers(
            world,
            event.rows,
            event.removed,
            event.version,
            event.is_complete,
            PLATFORM_SOURCE,
            now,
        )
    record_listed_vms(world, event.rows)
    for row in event.rows:
        add_listed_vm(world, row, now)
    return True


def _handle_failure(
    world: World, view: RegistryViewRow, event: events.RegistryRead, now: Instant
) -> None:
    n_failures = view.n_failures + 1
    error = event.error.__name__ if event.error else ""
    if n_failures == 1:
        log_event(world, "WARNING", "platform_lost", subject=view.part, error=error)
    is_history_gone = event.error is not None and issubclass(
        event.error, PlatformHistoryGoneError
    )
    view = view._replace(read_failed_at_s=now.monotonic_s, n_failures=n_failures)
    if is_history_gone:
        view = view._replace(watch_from_version=0, read_failed_at_s=0.0, n_failures=0)
    world.registry_views.put(view)
    delay_max_s = doubled_delay_s(READ_BACKOFF_S, n_failures, READ_BACKOFF_MAX_S)
    delay_s = 0.0 if is_history_gone else delay_max_s * (0.5 + 0.5 * world.rng.random())
    due_s = now.monotonic_s + delay_s
    start_timer(world, TimerKind.REGISTRY_READ, view.part, due_s)
