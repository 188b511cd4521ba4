"""Reports requests that are lost when their VM dies.

Each VM announces its open non-idempotent requests to its witness, another VM, in
another availability zone if there is one. The witness takes no decision on them; when
the VM dies, it logs those that were still open and writes them to the object store.
"""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.messages import OpenRequest, OpenRequestsReport
from burdockhitch.systems.endings import Ending, ending_hooks
from burdockhitch.systems.ownership import rendezvous_hash
from burdockhitch.systems.phases import Phase, system
from burdockhitch.systems.timing import message_handlers, reply_handlers
from burdockhitch.tables.operations import PlatformOperationRow
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.tables.witnesses import (
    LostRequestRow,
    UnreportedEndingRow,
    WitnessedRequestRow,
    WitnessRow,
)
from burdockhitch.world import (
    World,
    count,
    count_posted_events,
    log_event,
    send,
    send_message,
    start_platform_operation,
)

# Key of the only row of ``witnesses``, and part of the text that is hashed to choose.
WITNESS_DUTY = "witness"


def choose_witness(world: World) -> str:
    """Return the live VM to announce open requests to, empty if there is none.

    VMs of other zones go before those of the same zone, then the highest rendezvous
    hash decides.
    """
    vms = [
        vm
        for vm in world.vms.select("status", VmStatus.ALIVE)
        if vm.vm_id != world.local.vm_id
    ]
    duty = f"{WITNESS_DUTY} {world.local.vm_id}"

    def preference(vm: VmRow) -> tuple[bool, int]:
        return vm.zone != world.local.zone, rendezvous_hash(vm.vm_id, duty)

    return max(vms, key=preference).vm_id if vms else ""


def _is_witnessed(row: RequestRow) -> bool:
    """Return whether a request is non-idempotent and came to this VM from a caller."""
    return not row.is_idempotent and not row.origin_vm_id


def _make_open_request(world: World, row: RequestRow) -> OpenRequest:
    route = world.routes.get(row.route_id)
    requester = route.requester if route else ""
    return OpenRequest(row.request_id, row.service, row.route_id, requester)


@system(Phase.OWNERSHIP)
def update_witness(world: World, now: Instant) -> None:
    """Choose the witness of this VM again after a change of the membership view.

    All open requests are announced to a new witness; the former one drops them.
    """
    n_view_changes = count_posted_events(world, events.MembershipChanged)
    row = world.witnesses.get(WITNESS_DUTY)
    if row is not None and row.n_view_changes == n_view_changes:
        return
    witness = choose_witness(world)
    world.witnesses.put(WitnessRow(WITNESS_DUTY, witness, n_view_changes))
    if row is not None and row.vm_id == witness:
        return
    if row is not None and row.vm_id:
        release_witness(world, row.vm_id)
    opened = tuple(
        _make_open_request(world, request)
        for request in world.requests
        if _is_witnessed(request)
    )
    if witness:
        send_message(world, witness, OpenRequestsReport(opened, (), True))


def release_witness(world: World, vm_id: str) -> None:
    """Make the former witness drop all requests that this VM announced."""
    send_message(world, vm_id, OpenRequestsReport((), (), True))


def _announce(
    world: World, opened: tuple[OpenRequest, ...], closed: tuple[str, ...]
) -> None:
    """Send the witness, if there is one, requests that have started or ended."""
    row = world.witnesses.get(WITNESS_DUTY)
    if row is not None and row.vm_id:
        send_message(world, row.vm_id, OpenRequestsReport(opened, closed, False))


@system(Phase.INTAKE)
def announce_opened(world: World, now: Instant) -> None:
    """Announce new requests to the witness before they are dispatched."""
    opened = tuple(
        _make_open_request(world, row)
        for row in world.requests.select("state", RequestState.ACCEPTED)
        if _is_witnessed(row)
    )
    if opened:
        _announce(world, opened, ())


@ending_hooks("witness")
def record_ending(world: World, row: RequestRow, ending: Ending, now: Instant) -> None:
    """Record the ended request, to announce it to the witness later in the tick."""
    if _is_witnessed(row):
        world.unreported_endings.put(UnreportedEndingRow(row.request_id))


@system(Phase.ACCOUNTING)
def announce_closed(world: World, now: Instant) -> None:
    """Announce the requests that ended in this tick to the witness."""
    closed = tuple(row.request_id for row in world.unreported_endings)
    if closed:
        world.unreported_endings.clear()
        _announce(world, (), closed)


@message_handlers("announce")
def handle_announce(
    world: World, sender: str, message: OpenRequestsReport, now: Instant
) -> None:
    """Update the open requests of the sender that this VM stores as its witness.

    A request that was reported as lost and has ended after all is no longer lost.
    """
    if message.is_complete:
        for row in world.witnessed_requests.select("vm_id", sender):
            world.witnessed_requests.remove(row.request_id)
    for opened in message.opened:
        row = WitnessedRequestRow(opened.request_id, sender, *opened[1:])
        world.witnessed_requests.put(row)
    for request_id in message.closed:
        world.witnessed_requests.discard(request_id)
        if request_id in world.lost_requests:
            world.lost_requests.remove(request_id)
            log_event(world, "INFO", "lost_request_ended", request_id=request_id)


@system(Phase.OWNERSHIP)
def report_lost_requests(world: World, now: Instant) -> None:
    """Report the requests that dead VMs had open, as their witness."""
    for vm_id in world.witnessed_requests.values("vm_id"):
        vm = world.vms.get(vm_id)
        if vm is not None and vm.status is VmStatus.DEAD:
            _report_lost_requests_of(world, vm_id, now)


def _report_lost_requests_of(world: World, vm_id: str, now: Instant) -> None:
    """Log the open requests of a dead VM and write them to the object store."""
    rows = world.witnessed_requests.select("vm_id", vm_id)
    for row in rows:
        world.witnessed_requests.remove(row.request_id)
        world.lost_requests.put(LostRequestRow(*row, noticed_at_s=now.monotonic_s))
        count(world, "requests_lost", "service", row.service)
        log_event(world, "ERROR", "request_lost", **row._asdict())
    operation_id = start_platform_operation(world, "lost_write", vm_id, now)
    report = "".join(
        f"{row.request_id} {row.service} {row.route_id} # {row.requester}\n"
        for row in rows
    )
    name = f"lost-{vm_id}-{operation_id}"
    send(world, commands.WriteObject(operation_id, name, report.encode()))


@reply_handlers("lost_write")
def handle_lost_write(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Count reports of lost requests that the object store didn't accept."""
    if event.error is not None:
        count(world, "lost_reports_unstored")
