"""Backend servers, the VMs that own them, and the slots in use.

A slot is the capacity of a backend server for one request at a time. With sending by
owners, only the owner VM of a server sends requests to it.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class BackendServerRow(NamedTuple):
    """One backend server, defined by the rules or by the platform's registry.

    Attributes:
        server_id: ``service/address`` if a rule defines it, else its registry name.
        service: Service that it belongs to.
        address: ``ip:port`` to which VMs send requests.
        zone: Availability zone of the server.
        n_slots: Requests that it can run at the same time.
        n_connections_max: Connections that it accepts; 0 if the limit is set for
            its service.
        is_draining: Whether it is to be shut down and must get no new requests.
        requester: Who requested the rule; empty if the registry defines the server.
        line: Line number of the rule; 0 if the registry defines the server.
        warm_up_remaining_s: Time for which it was still to run slowly after its
            start, when the registry was read.
        process_started_ms: Wall-clock time at which its process started, in
            milliseconds since 1970; 0 if unknown.
        sequence: Number of its registry entry, which rises while the process runs.
            Entries that differ in it only count as equal.
    """

    server_id: str
    service: str
    address: str
    zone: str
    n_slots: int
    n_connections_max: int
    is_draining: bool
    requester: str
    line: int
    warm_up_remaining_s: float = 0.0
    process_started_ms: int = 0
    sequence: int = 0


class OwnershipRow(NamedTuple):
    """The VM that owns a backend server, the only one that sends requests to it.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        n_slots: Requests that the server can run at the same time.
        owner_vm_id: Owner by this VM's membership view; empty if no VM may own it.
        score: Rendezvous hash of the owner and the server, plus a bonus if both
            are in the same availability zone; the VM with the highest score is the
            owner.
    """

    server_id: str
    service: str
    n_slots: int
    owner_vm_id: str
    score: int


class DisownedServerRow(NamedTuple):
    """A VM that must not own a backend server until a timer ends the exclusion.

    Attributes:
        key: ``(server_id, vm_id)`` of the server and of the excluded VM.
    """

    key: tuple[str, str]


class ServiceSlotsRow(NamedTuple):
    """The slots of the backend servers of one service, with direct sending.

    Attributes:
        service: Name of the service.
        n_slots: Slots of all its servers together.
        n_slots_min: Slots of the server with the fewest.
    """

    service: str
    n_slots: int
    n_slots_min: int


def make_disowned_servers() -> Table[DisownedServerRow]:
    """Return an empty table of exclusions of VMs from owning a server."""
    return Table(DisownedServerRow, key="key")


class SlotUsageRow(NamedTuple):
    """Slots in use on a backend server that this VM owns or still has requests on.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        n_in_flight: Requests that this VM sent to the server and that have not
            ended.
        n_usable: Slots that this VM may use now: all slots of the server, fewer
            while it recovers after an ejection.
    """

    server_id: str
    service: str
    n_in_flight: int
    n_usable: int


class OwnerCapacityRow(NamedTuple):
    """Slots of a service on the backend servers that one VM owns.

    Attributes:
        key: ``(service, vm_id)``.
        service: Name of the service.
        vm_id: Owner VM.
        n_slots: Slots of the service on the backend servers that it owns.
        n_free: Estimate of its free slots: by its last report, less the requests
            that this VM has forwarded to it since. Negative if more requests are
            queued there than slots are free.
    """

    key: tuple[str, str]
    service: str
    vm_id: str
    n_slots: int
    n_free: int


def make_backend_servers() -> Table[BackendServerRow]:
    """Return an empty table of backend servers."""
    return Table(BackendServerRow, key="server_id", indexes=("service", "zone"))


def make_ownerships() -> Table[OwnershipRow]:
    """Return an empty table of ownerships."""
    return Table(OwnershipRow, key="server_id", indexes=("owner_vm_id", "service"))


def make_slot_usages() -> Table[SlotUsageRow]:
    """Return an empty table of slot usage by backend server."""
    return Table(SlotUsageRow, key="server_id", indexes=("service",))


def make_owner_capacities() -> Table[OwnerCapacityRow]:
    """Return an empty table of slots by service and owner VM."""
    return Table(OwnerCapacityRow, key="key", indexes=("service", "vm_id"))


def make_service_slots() -> Table[ServiceSlotsRow]:
    """Return an empty table of slots by service."""
    return Table(ServiceSlotsRow, key="service")
