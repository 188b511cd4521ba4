"""Permits to eject, held by transaction in the platform's table service.

A service's row grants slots to VM incarnations; their sum never exceeds the
slots above the floor. A granted permit is used locally, also while the
platform is down. A lost reply is settled by reading the row back.
"""

from typing import Any, TypedDict

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.errors import PlatformNotFoundError
from burdockhitch.systems.timing import reply_handlers
from burdockhitch.systems.windows import floor_slots
from burdockhitch.tables.ejection_permits import PermitRow, PermitUseRow
from burdockhitch.tables.health_signals import HealthRow
from burdockhitch.tables.revisions import OperationRow
from burdockhitch.world import (
    World,
    count,
    current_revision,
    send,
    start_operation,
)

PERMITS_TABLE = "permits"
ASK_PERIOD_S = 1.0
LIST_AGE_MAX_S = 15.0
LISTING_READ = ""


class GrantDocument(TypedDict):
    """What one incarnation holds.

    Attributes:
        n_slots: Slots that it may eject.
        operation_id: Transaction that granted them.
        was_listed: Whether the platform's list had its VM since the grant.
    """

    n_slots: int
    operation_id: str
    was_listed: bool


class PermitDocument(TypedDict):
    """The row of a service.

    Attributes:
        revision: Revision of the configuration that the budget is of.
        n_budget_slots: Slots above the floor.
        grants: Grant by home token of the incarnation.
    """

    revision: int
    n_budget_slots: int
    grants: dict[str, GrantDocument]


def _permit(world: World, service: str) -> PermitRow:
    row = world.permits.get(service)
    if row is None:
        row = PermitRow(service, 0, "", 0, -ASK_PERIOD_S)
        world.permits.insert(row)
    return row


def count_used(world: World, service: str) -> int:
    """Return the slots of a service that ejections here use."""
    return sum(use.n_slots for use in world.permit_uses.select("service", service))


def use_permit(world: World, health: HealthRow, now: Instant) -> bool:
    """Use a held permit for an ejection, or ask the platform for one.

    Returns:
        Whether a permit is in use for this server now.
    """
    service = health.service
    n_slots = world.backend_servers.fetch(health.server_id).n_slots
    permit = _permit(world, service)
    n_free_slots = permit.n_held_slots - count_used(world, service)
    if n_free_slots >= n_slots:
        world.permit_uses.put(PermitUseRow(health.server_id, service, n_slots))
        return True
    _ask(world, permit, n_slots - n_free_slots, now)
    return False


def _ask(world: World, permit: PermitRow, n_slots: int, now: Instant) -> None:
    is_recent = now.monotonic_s - permit.asked_at_s < ASK_PERIOD_S
    if permit.operation_id or is_recent:
        return
    operation_id = start_operation(world, "permit_read", permit.service, now)
    world.permits.replace(
        permit._replace(
            operation_id=operation_id,
            n_wanted_slots=n_slots,
            asked_at_s=now.monotonic_s,
        )
    )
    send(world, commands.ReadRow(operation_id, PERMITS_TABLE, permit.service))


def budget_slots(world: World, service: str, now: Instant) -> int:
    """Return the slots of a service above its floor."""
    servers = world.backend_servers.select("service", service)
    n_slots = sum(server.n_slots for server in servers if not server.is_draining)
    return max(0, n_slots - floor_slots(world, service, now))


def _is_gone(world: World, token: str, grant: GrantDocument, now: Instant) -> bool:
    """Return whether an incarnation can't use its grant any more.

    The platform's list lags, so a VM that it does not have yet is not gone; one
    that it had and has no more is. Names of VMs are not used twice.
    """
    vm_id, _, incarnation = token.rpartition(".")
    if vm_id == world.local.vm_id:
        return int(incarnation) < world.local.incarnation
    read = world.listings.get(LISTING_READ)
    if read is None or now.monotonic_s - read.listed_at_s > LIST_AGE_MAX_S:
        return False
    return grant["was_listed"] and vm_id not in world.listings


def _live_grants(
    world: World, document: PermitDocument, now: Instant
) -> dict[str, GrantDocument]:
    grants = {}
    for token, grant in document["grants"].items():
        if _is_gone(world, token, grant, now):
            count(world, "permits_reclaimed")
            continue
        if token.rpartition(".")[0] in world.listings:
            grant["was_listed"] = True
        grants[token] = grant
    return grants


def _stop_asking(world: World, service: str) -> None:
    permit = _permit(world, service)
    world.permits.replace(permit._replace(operation_id="", n_wanted_slots=0))


@reply_handlers("permit_read")
def take_permit_read(
    world: World, operation: OperationRow, event: events.PlatformReplied, now: Instant
) -> None:
    """Take what is granted already, or ask for more inside the budget."""
    service = operation.subject
    is_missing = event.error is PlatformNotFoundError
    if event.error is not None and not is_missing:
        _stop_asking(world, service)
        return
    version = 0 if is_missing else event.document["version"]
    if is_missing:
        document = PermitDocument(revision=0, n_budget_slots=0, grants={})
    else:
        document = event.document["value"]
    _grant(world, service, document, version, now)


def _grant(
    world: World, service: str, document: PermitDocument, version: int, now: Instant
) -> None:
    permit = _permit(world, service)
    token = world.local.home_token()
    revision = current_revision(world)
    if revision >= document["revision"]:
        n_budget_slots = budget_slots(world, service, now)
    else:
        revision = document["revision"]
        n_budget_slots = document["n_budget_slots"]
    grants = _live_grants(world, document, now)
    n_granted = grants[token]["n_slots"] if token in grants else 0
    if n_granted > permit.n_held_slots:
        world.permits.replace(permit._replace(n_held_slots=n_granted))
        _stop_asking(world, service)
        return
    n_total = sum(grant["n_slots"] for grant in grants.values())
    if n_total + permit.n_wanted_slots > n_budget_slots:
        count(world, "permits_denied", "service", service)
        _stop_asking(world, service)
        return
    operation_id = start_operation(world, "permit_write", service, now)
    n_slots = n_granted + permit.n_wanted_slots
    grants[token] = GrantDocument(
        n_slots=n_slots, operation_id=operation_id, was_listed=False
    )
    value: Any = PermitDocument(
        revision=revision, n_budget_slots=n_budget_slots, grants=grants
    )
    world.permits.replace(permit._replace(operation_id=operation_id))
    condition = commands.Condition(PERMITS_TABLE, service, version)
    write = commands.Write(PERMITS_TABLE, service, value)
    send(world, commands.RunTransaction(operation_id, (condition,), (write,)))


@reply_handlers("permit_write")
def take_permit_write(
    world: World, operation: OperationRow, event: events.PlatformReplied, now: Instant
) -> None:
    """Hold what was granted; after any failure the row is read again."""
    service = operation.subject
    permit = _permit(world, service)
    if event.error is None:
        n_held_slots = permit.n_held_slots + permit.n_wanted_slots
        world.permits.replace(permit._replace(n_held_slots=n_held_slots))
    else:
        count(world, "permit_writes_failed", "service", service)
    _stop_asking(world, service)
