"""Permits to eject backend servers, granted in the platform's table service.

The floor of a service is the number of healthy slots that ejections must leave. The
row of a service grants slots to VM incarnations, by transactions; the sum of the
grants never exceeds the slots above the floor. An incarnation, one process of a VM,
ejects servers within the slots that it holds without asking again, also while the
platform is down. After a lost reply, the row is read to learn whether the write took
effect.
"""

from typing import Any, TypedDict

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import PlatformNotFoundError
from burdockhitch.systems.health import readmit_server, request_probe
from burdockhitch.systems.timing import reply_handlers, timer_handlers
from burdockhitch.systems.windows import current_floor_slots
from burdockhitch.tables.ejection_permits import EjectionPermitRow, PermittedEjectionRow
from burdockhitch.tables.operations import PlatformOperationRow
from burdockhitch.tables.server_health import ServerHealthRow, ServerState
from burdockhitch.tables.timers import TimerKind
from burdockhitch.world import (
    World,
    count,
    current_revision,
    send,
    start_platform_operation,
    start_timer,
)

PERMITS_TABLE = "permits"
# Shortest time between two requests for slots of a service.
REQUEST_INTERVAL_MIN_S = 1.0
# Time between two reviews of the slots that this incarnation holds.
REVIEW_PERIOD_S = 5.0
# Time after the last request for slots from which unused ones are given back.
IDLE_RELEASE_DELAY_S = 30.0
# Age beyond which the last read of the platform's VM list doesn't show that a VM is
# gone.
VM_LIST_AGE_MAX_S = 15.0
# Key of the row of ``listed_vms`` that holds the time of the last read.
LAST_LIST_READ_KEY = ""


class GrantDocument(TypedDict):
    """The slots granted to one VM incarnation.

    Attributes:
        n_slots: Slots of backend servers that it may have ejected at once.
        operation_id: Transaction that wrote the grant.
        was_listed: Whether an incarnation that wrote the row since the grant has seen
            the VM on the platform's VM list.
    """

    n_slots: int
    operation_id: str
    was_listed: bool


class PermitDocument(TypedDict):
    """The row of a service in the permits table.

    Attributes:
        revision: Revision of the configuration that the budget was computed from.
        n_budget_slots: Slots above the floor, the most that may be granted.
        grants: Grants by ``vm_id.incarnation``.
    """

    revision: int
    n_budget_slots: int
    grants: dict[str, GrantDocument]


def _get_permit(world: World, service: str) -> EjectionPermitRow:
    """Return the permit row of a service; insert an empty one if there is none."""
    row = world.ejection_permits.get(service)
    if row is None:
        row = EjectionPermitRow(service, 0, "", 0, -REQUEST_INTERVAL_MIN_S)
        world.ejection_permits.insert(row)
    return row


def count_used_slots(world: World, service: str) -> int:
    """Return the slots of a service that servers ejected by this VM use."""
    return sum(
        ejection.n_slots
        for ejection in world.permitted_ejections.select("service", service)
    )


def acquire_permit(world: World, health: ServerHealthRow, now: Instant) -> bool:
    """Use held slots for an ejection, or request more from the platform.

    Returns:
        Whether the server may be ejected now.
    """
    service = health.service
    n_slots = world.backend_servers.fetch(health.server_id).n_slots
    permit = _get_permit(world, service)
    n_unused_slots = permit.n_held_slots - count_used_slots(world, service)
    if n_unused_slots >= n_slots:
        world.permitted_ejections.put(
            PermittedEjectionRow(health.server_id, service, n_slots)
        )
        return True
    _request_slots(world, permit, n_slots - n_unused_slots, now)
    return False


def _request_slots(
    world: World, permit: EjectionPermitRow, n_slots: int, now: Instant
) -> None:
    """Read the row of a service, unless a request is in progress or was just made."""
    is_recent = now.monotonic_s - permit.requested_at_s < REQUEST_INTERVAL_MIN_S
    if permit.operation_id or is_recent:
        return
    operation_id = start_platform_operation(world, "permit_read", permit.service, now)
    world.ejection_permits.replace(
        permit._replace(
            operation_id=operation_id,
            n_requested_slots=n_slots,
            requested_at_s=now.monotonic_s,
        )
    )
    send(world, commands.ReadRow(operation_id, PERMITS_TABLE, permit.service))


def count_budget_slots(world: World, service: str, now: Instant) -> int:
    """Return the slots of a service above its floor; draining servers don't count."""
    servers = world.backend_servers.select("service", service)
    n_slots = sum(server.n_slots for server in servers if not server.is_draining)
    return max(0, n_slots - current_floor_slots(world, service, now))


def _is_incarnation_gone(
    world: World, incarnation_id: str, grant: GrantDocument, now: Instant
) -> bool:
    """Return whether an incarnation has ended and can't use its grant any more.

    The platform's VM list lags, so a VM that isn't on it yet is not gone; one that
    was on it and no longer is, is gone. VM names are not reused.
    """
    vm_id, _, incarnation = incarnation_id.rpartition(".")
    if vm_id == world.local.vm_id:
        return int(incarnation) < world.local.incarnation
    last_read = world.listed_vms.get(LAST_LIST_READ_KEY)
    if last_read is None or now.monotonic_s - last_read.listed_at_s > VM_LIST_AGE_MAX_S:
        return False
    return grant["was_listed"] and vm_id not in world.listed_vms


def _select_live_grants(
    world: World, document: PermitDocument, now: Instant
) -> dict[str, GrantDocument]:
    """Return the grants of incarnations not gone, and mark those of listed VMs."""
    grants = {}
    for incarnation_id, grant in document["grants"].items():
        if _is_incarnation_gone(world, incarnation_id, grant, now):
            count(world, "permits_reclaimed")
            continue
        if incarnation_id.rpartition(".")[0] in world.listed_vms:
            grant["was_listed"] = True
        grants[incarnation_id] = grant
    return grants


def _clear_request(world: World, service: str) -> None:
    """Forget the platform operation of a service and the slots that it requests."""
    permit = _get_permit(world, service)
    world.ejection_permits.replace(
        permit._replace(operation_id="", n_requested_slots=0)
    )


@reply_handlers("permit_read")
def handle_permit_read(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Continue a request for slots with the row read from the platform."""
    service = operation.subject
    is_missing = event.error is PlatformNotFoundError
    if event.error is not None and not is_missing:
        _clear_request(world, service)
        return
    version = 0 if is_missing else event.document["version"]
    if is_missing:
        document = PermitDocument(revision=0, n_budget_slots=0, grants={})
    else:
        document = event.document["value"]
    _hold_or_write_grant(world, service, document, version, now)


def _refresh_document(
    world: World, service: str, document: PermitDocument, now: Instant
) -> PermitDocument:
    """Return the row without grants of gone incarnations and with the newest budget.

    The budget in the row stays if it was computed from a newer revision than the one
    in force here.
    """
    revision = current_revision(world)
    n_budget_slots = count_budget_slots(world, service, now)
    if revision < document["revision"]:
        revision = document["revision"]
        n_budget_slots = document["n_budget_slots"]
    return PermitDocument(
        revision=revision,
        n_budget_slots=n_budget_slots,
        grants=_select_live_grants(world, document, now),
    )


def count_granted_slots(document: PermitDocument) -> int:
    """Return the sum of the slots granted to all incarnations."""
    return sum(grant["n_slots"] for grant in document["grants"].values())


def _count_own_granted_slots(world: World, document: PermitDocument) -> int:
    grant = document["grants"].get(world.local.incarnation_id())
    return grant["n_slots"] if grant else 0


def _hold_or_write_grant(
    world: World, service: str, document: PermitDocument, version: int, now: Instant
) -> None:
    """Hold what the row grants already, else write a larger grant or deny the request.

    A grant above the held slots comes from a write whose reply was lost. The request
    is denied if the grants would exceed the budget.
    """
    permit = _get_permit(world, service)
    document = _refresh_document(world, service, document, now)
    n_granted = _count_own_granted_slots(world, document)
    if n_granted > permit.n_held_slots:
        _hold_slots(world, permit, n_granted, now)
        _clear_request(world, service)
        return
    n_total_slots = count_granted_slots(document) + permit.n_requested_slots
    if n_total_slots > document["n_budget_slots"]:
        count(world, "permits_denied", "service", service)
        _clear_request(world, service)
        _probe_ejected_servers(world, service)
        return
    n_slots = n_granted + permit.n_requested_slots
    _write_grant(world, service, document, version, n_slots, now)


def _write_grant(
    world: World,
    service: str,
    document: PermitDocument,
    version: int,
    n_slots: int,
    now: Instant,
) -> None:
    operation_id = start_platform_operation(world, "permit_write", service, now)
    document["grants"][world.local.incarnation_id()] = GrantDocument(
        n_slots=n_slots, operation_id=operation_id, was_listed=False
    )
    permit = _get_permit(world, service)
    world.ejection_permits.replace(permit._replace(operation_id=operation_id))
    value: Any = document
    condition = commands.RowCondition(PERMITS_TABLE, service, version)
    write = commands.RowWrite(PERMITS_TABLE, service, value)
    send(world, commands.RunTransaction(operation_id, (condition,), (write,)))


def _hold_slots(
    world: World, permit: EjectionPermitRow, n_slots: int, now: Instant
) -> None:
    """Store the slots that this incarnation holds, and schedule their review."""
    world.ejection_permits.replace(permit._replace(n_held_slots=n_slots))
    due_s = now.monotonic_s + REVIEW_PERIOD_S
    start_timer(world, TimerKind.PERMIT_REVIEW, permit.service, due_s)


def _probe_ejected_servers(world: World, service: str) -> None:
    """Probe the ejected servers of a service before their hold times end.

    A server that answers is readmitted, which frees its slots for the denied
    ejection, whose evidence is more certain.
    """
    for row in world.server_health.select("state", ServerState.EJECTED):
        if row.service == service:
            request_probe(world, row.server_id)


@timer_handlers(TimerKind.PERMIT_REVIEW)
def review_permit(world: World, service: str, now: Instant) -> None:
    """Read the row, to give back slots that are unused or above a reduced budget."""
    permit = _get_permit(world, service)
    if not permit.n_held_slots:
        return
    due_s = now.monotonic_s + REVIEW_PERIOD_S
    start_timer(world, TimerKind.PERMIT_REVIEW, service, due_s)
    if permit.operation_id:
        return
    operation_id = start_platform_operation(world, "permit_review", service, now)
    world.ejection_permits.replace(
        permit._replace(operation_id=operation_id, n_requested_slots=0)
    )
    send(world, commands.ReadRow(operation_id, PERMITS_TABLE, service))


@reply_handlers("permit_review")
def handle_permit_review(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Give back unused slots, and used ones if the grants exceed the budget.

    This VM stops using the slots before it writes to the platform, so a lost write
    leaves too many slots granted, never too few.
    """
    service = operation.subject
    permit = _get_permit(world, service)
    if event.error is not None:
        _clear_request(world, service)
        return
    document = _refresh_document(world, service, event.document["value"], now)
    n_surplus = count_granted_slots(document) - document["n_budget_slots"]
    n_unused = permit.n_held_slots - count_used_slots(world, service)
    if now.monotonic_s - permit.requested_at_s < IDLE_RELEASE_DELAY_S:
        n_unused = 0
    n_returned = min(permit.n_held_slots, max(n_unused, n_surplus, 0))
    n_kept = permit.n_held_slots - n_returned
    _readmit_to_fit(world, service, n_kept, now)
    n_kept = max(n_kept, count_used_slots(world, service))
    if n_kept == _count_own_granted_slots(world, document):
        _clear_request(world, service)
        return
    world.ejection_permits.replace(permit._replace(n_held_slots=n_kept))
    version = event.document["version"]
    _write_grant(world, service, document, version, n_kept, now)


def _readmit_to_fit(world: World, service: str, n_slots: int, now: Instant) -> None:
    """Readmit ejected servers until those left use at most ``n_slots``.

    Servers with the fewest ejections and then the least error evidence go first.
    """
    permitted = world.permitted_ejections.select("service", service)
    rows = [world.server_health.get(ejection.server_id) for ejection in permitted]
    ejected = [row for row in rows if row and row.state is ServerState.EJECTED]
    ejected.sort(key=lambda row: (row.n_ejections, row.error_evidence))
    for row in ejected:
        if count_used_slots(world, service) <= n_slots:
            return
        readmit_server(world, row, now)


@reply_handlers("permit_write")
def handle_permit_write(
    world: World,
    operation: PlatformOperationRow,
    event: events.PlatformReplied,
    now: Instant,
) -> None:
    """Hold the granted slots; after a failure, the next request reads the row again."""
    service = operation.subject
    permit = _get_permit(world, service)
    if event.error is None:
        _hold_slots(world, permit, permit.n_held_slots + permit.n_requested_slots, now)
    else:
        count(world, "permit_writes_failed", "service", service)
    _clear_request(world, service)
