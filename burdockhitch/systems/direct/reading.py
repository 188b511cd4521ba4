"""Decides which VMs read the platform's registry, and applies what was read.

One VM per zone watches the registry, and the others copy from that VM. If it gets
no answers, the next in rank takes over, so few VMs query a platform that is down.
"""

import hashlib

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import PlatformHistoryGoneError
from burdockhitch.systems.direct.configuration import adopt_configuration, view_of
from burdockhitch.systems.direct.membership import announce, learn_vm
from burdockhitch.systems.direct.servers import adopt_servers
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.systems.timing import timer_handlers
from burdockhitch.tables.registry_views import Subject, ViewRow
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import (
    World,
    count,
    log_event,
    send,
    start_platform_operation,
    start_timer,
    take_events,
)

WATCHED = (Subject.CONFIGURATION, Subject.SERVERS)
# Longest time for which the platform holds a watch open while nothing changes.
WAIT_S = 2.0
# A watch is answered at least once per WAIT_S; the rest allows for a heartbeat.
STALE_S = WAIT_S + 1.2
READERS_MAX = 3
# Pause between an answer and the next watch.
GAP_S = 0.08
BACK_OFF_S = 0.25
BACK_OFF_MAX_S = 1.0
DUTY_PERIOD_S = 0.5
PURPOSE_READ = "read_registry"
DUTY = "duty"


def start_reading(world: World, now: Instant) -> None:
    """Start the periodic check whether this VM has to read the registry."""
    start_timer(world, TimerKind.REGISTRY_READ, DUTY, now.monotonic_s)


def rank_in_zone(zone: str, vm_id: str) -> bytes:
    """Return a VM's sort key in its zone; the lowest alive VM does zone-wide tasks."""
    return hashlib.blake2b(f"{zone}|{vm_id}".encode(), digest_size=8).digest()


def better_ranked(world: World) -> list[VmRow]:
    """Return the alive VMs of this zone that rank before this one."""
    zone = world.local.zone
    own = rank_in_zone(zone, world.local.vm_id)
    return [
        vm
        for vm in world.vms.select("zone", zone)
        if vm.status is VmStatus.ALIVE and rank_in_zone(zone, vm.vm_id) < own
    ]


def is_reader(world: World, now: Instant) -> bool:
    """Return whether this VM has to read the platform's registry.

    It does if it is among the first READERS_MAX in rank, and by their own reports
    the platform has not answered any better-ranked VM for STALE_S.
    """
    better = better_ranked(world)
    if len(better) >= READERS_MAX:
        return False
    return all(
        vm.platform_age_s + now.monotonic_s - vm.changed_at_s > STALE_S for vm in better
    )


def read_subject(world: World, subject: Subject, now: Instant) -> None:
    """Start to read or watch a registry part, unless a read of it is in progress."""
    view = view_of(world, subject)
    if view.operation_id:
        return
    operation_id = start_platform_operation(world, PURPOSE_READ, subject, now)
    world.registry_views.put(view._replace(operation_id=operation_id))
    is_watch = subject in WATCHED and view.watched_version > 0
    after_version = view.watched_version if is_watch else 0
    wait_s = WAIT_S if is_watch else 0.0
    count(world, "registry_reads", "subject", subject)
    send(world, commands.ReadRegistry(operation_id, subject, after_version, wait_s))


@timer_handlers(TimerKind.REGISTRY_READ)
def plan_reads(world: World, subject: str, now: Instant) -> None:
    """Start due reads: of the list of VMs always, of other parts if a reader."""
    if subject == Subject.VMS:
        read_subject(world, Subject.VMS, now)
        return
    if is_reader(world, now):
        for watched in WATCHED if subject == DUTY else (Subject(subject),):
            read_subject(world, watched, now)
    if subject == DUTY:
        due_s = now.monotonic_s + DUTY_PERIOD_S
        start_timer(world, TimerKind.REGISTRY_READ, DUTY, due_s)


@system(Phase.OWNERSHIP, DIRECT)
def take_reads(world: World, now: Instant) -> None:
    """Apply what was read and schedule the next reads."""
    for event in take_events(world, events.RegistryRead):
        operation = world.platform_operations.get(event.operation_id)
        if operation is None:
            count(world, "registry_reads_dropped")
            continue
        world.platform_operations.remove(event.operation_id)
        subject = Subject(operation.subject)
        view = view_of(world, subject)._replace(operation_id="")
        if event.error is None:
            _handle_success(world, view, event, now)
        else:
            _handle_failure(world, view, event, now)


def _handle_success(
    world: World, view: ViewRow, event: events.RegistryRead, now: Instant
) -> None:
    if view.n_failures:
        log_event(world, "INFO", "platform_regained", subject=view.subject)
    view = view._replace(confirmed_at_s=now.monotonic_s, n_failures=0)
    is_stale = event.version < view.watched_version
    if not is_stale:
        view = view._replace(watched_version=event.version)
    world.registry_views.put(view)
    if is_stale:
        log_event(
            world,
            "INFO",
            "stale_read_dropped",
            subject=view.subject,
            version=event.version,
            held=view.watched_version,
        )
    elif _apply_rows(world, view.subject, event, now):
        announce(world, now)
    if view.subject in WATCHED:
        due_s = now.monotonic_s + GAP_S
        start_timer(world, TimerKind.REGISTRY_READ, view.subject, due_s)


def _apply_rows(
    world: World, subject: Subject, event: events.RegistryRead, now: Instant
) -> bool:
    """Apply the rows that were read; return whether to send a heartbeat."""
    if subject is Subject.CONFIGURATION:
        return any(
            [adopt_configuration(world, row, "platform", now) for row in event.rows]
        )
    if subject is Subject.SERVERS:
        if not event.is_whole and not event.rows and not event.removed:
            return False
        return adopt_servers(
            world, event.rows, event.removed, event.version, event.is_whole, now
        )
    for row in event.rows:
        learn_vm(world, row, now)
    return True


def _handle_failure(
    world: World, view: ViewRow, event: events.RegistryRead, now: Instant
) -> None:
    n_failures = view.n_failures + 1
    error = event.error.__name__ if event.error else ""
    if n_failures == 1:
        log_event(world, "WARNING", "platform_lost", subject=view.subject, error=error)
    is_history_gone = event.error is not None and issubclass(
        event.error, PlatformHistoryGoneError
    )
    view = view._replace(failed_at_s=now.monotonic_s, n_failures=n_failures)
    if is_history_gone:
        view = view._replace(watched_version=0, failed_at_s=0.0, n_failures=0)
    world.registry_views.put(view)
    bound_s = min(BACK_OFF_MAX_S, BACK_OFF_S * 2.0**n_failures)
    delay_s = 0.0 if is_history_gone else bound_s * (0.5 + 0.5 * world.rng.random())
    due_s = now.monotonic_s + delay_s
    start_timer(world, TimerKind.REGISTRY_READ, view.subject, due_s)
