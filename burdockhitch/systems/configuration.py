"""Reads the head revision and the list of VMs from the platform.

A revision is a numbered version of the rules text; the head is the newest one.
Rendezvous hashing chooses a few VMs of each availability zone as readers. A
wrong membership view may cost an extra read or a delay, but never results in a
wrong revision.
"""

from typing import TypedDict

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import PlatformNotFoundError
from burdockhitch.rules.document import hash_rules
from burdockhitch.systems.confirmation import PLATFORM_SOURCE, record_confirmation
from burdockhitch.systems.membership import join_seeds
from burdockhitch.systems.ownership import rendezvous_hash
from burdockhitch.systems.permits import LAST_LIST_READ_KEY
from burdockhitch.systems.revision_exchange import apply_revision
from burdockhitch.systems.timing import reply_handlers, timer_handlers
from burdockhitch.tables.operations import (
    ListedVmRow,
    PlatformOperationRow,
    ReadFailureRow,
)
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import (
    World,
    count,
    current_revision,
    post_event,
    send,
    start_platform_operation,
    start_timer,
)

REVISIONS_TABLE = "revisions"
HEAD_KEY = "head"
BACKOFF_FACTOR_MAX = 16
# Width of the range of the jitter, as a share of the period.
JITTER_RATIO = 0.5


class HeadDocument(TypedDict):
    """The newest revision of the configuration, as stored in the table service.

    Attributes:
        number: Number of the revision, from 1.
        body_hash: Hash of the rules text, which is its name in the object store.
        parent_hash: Hash of the rules text of the previous revision.
        operation_id: Transaction that committed it.
        pushed_by: Operator who pushed it.
        pushed_at: Wall-clock time in ISO 8601.
    """

    number: int
    body_hash: str
    parent_hash: str
    operation_id: str
    pushed_by: str
    pushed_at: str


class ListedVm(TypedDict):
    """One entry VM on the platform's list; its state is ``live`` or ``leaving``."""

    vm_id: str
    zone: str
    state: str
    message_address: str


def start_platform_reads(world: World, now: Instant) -> None:
    """Start the timers that read the head revision and the list of VMs."""
    start_timer(world, TimerKind.HEAD_READ, "", now.monotonic_s)
    start_timer(world, TimerKind.VM_LIST_READ, "", now.monotonic_s)


def is_platform_reader(world: World, duty: str) -> bool:
    """Return whether this VM is one of its zone's readers for a duty.

    A duty is a periodic read: ``head`` or ``vm_list``. Each has its own readers.
    """
    vms = [
        vm.vm_id
        for vm in world.vms.select("zone", world.local.zone)
        if vm.status in (VmStatus.ALIVE, VmStatus.SUSPECT)
    ]
    ranked = sorted(vms, key=lambda vm_id: rendezvous_hash(vm_id, duty), reverse=True)
    return world.local.vm_id in ranked[: world.settings.platform.n_readers]


def _schedule_read(
    world: World, kind: TimerKind, period_s: float, now: Instant
) -> None:
    """Schedule the next read, with jitter, and with backoff after failures."""
    failure_row = world.read_failures.get(kind)
    backoff = min(BACKOFF_FACTOR_MAX, 2**failure_row.n_failures) if failure_row else 1
    jitter = 1 + JITTER_RATIO * (world.rng.random() - 0.5)
    due_s = now.monotonic_s + period_s * backoff * jitter
    start_timer(world, kind, "", due_s)


def _record_result(
    world: World, kind: TimerKind, error: type[Exception] | None, now: Instant
) -> None:
    """Count the consecutive failures of a periodic read; a success resets them."""
    row = world.read_failures.get(kind)
    if error is None:
        world.read_failures.discard(kind)
        return
    count(world, "platform_failures", "duty", kind)
    n_failures = row.n_failures + 1 if row else 1
    world.read_failures.put(ReadFailureRow(kind, min(n_failures, BACKOFF_FACTOR_MAX)))


@timer_handlers(TimerKind.HEAD_READ)
def read_head(world: World, _subject: str, now: Instant) -> None:
    """Read the head document if this VM is a reader or has no revision yet."""
    period_s = world.settings.platform.head_read_period_s
    _schedule_read(world, TimerKind.HEAD_READ, period_s, now)
    if is_platform_reader(world, "head") or not current_revision(world):
        operation_id = start_platform_operation(world, "head_read", "", now)
        send(world, commands.ReadRow(operation_id, REVISIONS_TABLE, HEAD_KEY))


@reply_handlers("head_read")
def handle_head_reply(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Fetch the rules text of the head revision if it is newer than the current.

    A platform that has no revision yet does not count as a failure.
    """
    is_missing = event.error is PlatformNotFoundError
    error = None if is_missing else event.error
    _record_result(world, TimerKind.HEAD_READ, error, now)
    if event.error is not None:
        return
    head: HeadDocument = event.document["value"]
    record_confirmation(world, PLATFORM_SOURCE, head["number"])
    if head["number"] <= current_revision(world):
        return
    subject = f"{head['number']} {head['body_hash']}"
    operation_id = start_platform_operation(world, "body_read", subject, now)
    send(world, commands.ReadObject(operation_id, head["body_hash"]))


@reply_handlers("body_read")
def handle_rules_reply(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Apply a fetched revision if its rules text has the expected hash."""
    if event.error is not None:
        count(world, "platform_failures", "duty", "body_read")
        return
    number, _, body_hash = operation.subject.partition(" ")
    if hash_rules(event.document) != body_hash:
        count(world, "revisions_dropped", "reason", "hash")
        return
    apply_revision(world, int(number), event.document, now)
    record_confirmation(world, PLATFORM_SOURCE, int(number))


@timer_handlers(TimerKind.VM_LIST_READ)
def read_vm_list(world: World, _subject: str, now: Instant) -> None:
    """Read the list of VMs if this VM is a reader or knows no other VM."""
    period_s = world.settings.platform.vm_list_period_s
    _schedule_read(world, TimerKind.VM_LIST_READ, period_s, now)
    if is_platform_reader(world, "vm_list") or len(world.vms) == 1:
        operation_id = start_platform_operation(world, "vm_list_read", "", now)
        send(world, commands.ListVms(operation_id))


@reply_handlers("vm_list_read")
def handle_vm_list_reply(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Store the list of VMs.

    The list only gives the membership view addresses to join, never a status.
    Ejection permits use it to find VMs that are gone. If it marks this VM as
    leaving, this VM stops.
    """
    _record_result(world, TimerKind.VM_LIST_READ, event.error, now)
    if event.error is not None:
        return
    listed: list[ListedVm] = event.document["vms"]
    world.listed_vms.clear()
    world.listed_vms.insert(ListedVmRow(LAST_LIST_READ_KEY, "", "", now.monotonic_s))
    for vm in listed:
        row = ListedVmRow(
            vm["vm_id"], vm["state"], vm["message_address"], now.monotonic_s
        )
        world.listed_vms.put(row)
    _stop_if_listed_leaving(world, now)
    join_seeds(world, "", now)


def _stop_if_listed_leaving(world: World, now: Instant) -> None:
    """Stop this VM gracefully if the platform lists it as leaving."""
    row = world.listed_vms.get(world.local.vm_id)
    if row is not None and row.state == "leaving":
        post_event(world, events.StopRequested())
