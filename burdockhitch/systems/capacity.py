"""Counts the slots of backend servers.

A slot is room for one request in flight to a server. Only the VM that owns a
server sends to it. This VM counts the slots in use on its own servers, and
estimates the free slots of other owners from their load reports.
"""

from burdockhitch.messages import FreeSlotsReport
from burdockhitch.tables.backend_servers import OwnerCapacityRow, SlotUsageRow
from burdockhitch.tables.requests import RequestRow, RequestState
from burdockhitch.tables.server_health import ServerState
from burdockhitch.world import World

# States in which a backend server gets requests.
USABLE_STATES = frozenset(
    {ServerState.HEALTHY, ServerState.SUSPECT, ServerState.RECOVERING}
)


def reserve_slot(world: World, server_id: str) -> None:
    """Count one more request in flight from this VM to a backend server."""
    row = world.slot_usages.fetch(server_id)
    world.slot_usages.replace(row._replace(n_in_flight=row.n_in_flight + 1))


def release_slot(world: World, server_id: str) -> None:
    """Count one fewer request in flight, after an attempt ended or was cancelled.

    Once none is in flight, the row of a server that this VM no longer owns is
    removed.
    """
    row = world.slot_usages.get(server_id)
    if row is None:
        return
    row = row._replace(n_in_flight=row.n_in_flight - 1)
    ownership = world.ownerships.get(server_id)
    is_owned = ownership is not None and ownership.owner_vm_id == world.local.vm_id
    if row.n_in_flight <= 0 and not is_owned:
        world.slot_usages.remove(server_id)
    else:
        world.slot_usages.replace(row)


def count_free_server_slots(world: World, row: SlotUsageRow) -> int:
    """Return how many more requests this VM may send to a backend server now.

    It is 0 for a server that is ejected, draining or no longer owned by this VM.
    """
    health = world.server_health.get(row.server_id)
    if health is None or health.state not in USABLE_STATES:
        return 0
    return max(0, row.n_usable - row.n_in_flight)


def count_free_service_slots(world: World, service: str) -> int:
    """Return the free slots of a service on the servers that this VM owns."""
    rows = world.slot_usages.select("service", service)
    return sum(count_free_server_slots(world, row) for row in rows)


def has_free_slot(world: World, service: str) -> bool:
    """Return whether a service has a free slot on the servers that this VM owns."""
    rows = world.slot_usages.select("service", service)
    return any(count_free_server_slots(world, row) > 0 for row in rows)


def make_free_slots_report(world: World, service: str) -> FreeSlotsReport:
    """Return the load report about a service that this VM sends to other VMs.

    Requests queued here are subtracted from the free slots, so the number may be
    negative.
    """
    n_queued = sum(
        1
        for row in world.requests.select("state", RequestState.QUEUED)
        if row.service == service
    )
    return FreeSlotsReport(service, count_free_service_slots(world, service) - n_queued)


def record_free_slots_report(world: World, vm_id: str, report: FreeSlotsReport) -> None:
    """Store the free slots that another owner of a service reported."""
    row = world.owner_capacities.get((report.service, vm_id))
    if row is not None:
        world.owner_capacities.replace(row._replace(n_free=report.n_free))


def reserve_owner_slot(world: World, capacity: OwnerCapacityRow) -> None:
    """Subtract a request forwarded to an owner from its reported free slots."""
    world.owner_capacities.replace(capacity._replace(n_free=capacity.n_free - 1))


def release_owner_slot(world: World, row: RequestRow) -> None:
    """Add a free slot back to an owner when a forwarded request ends or is rerouted.

    The free slots never exceed the owner's slots.
    """
    capacity = world.owner_capacities.get((row.service, row.owner_vm_id))
    if capacity is None:
        return
    n_free = min(capacity.n_slots, capacity.n_free + 1)
    world.owner_capacities.replace(capacity._replace(n_free=n_free))
