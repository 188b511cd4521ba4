"""Backend servers, their owners and the slots in use."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class BackendServerRow(NamedTuple):
    """One backend server as the rules or a registry name it.

    Attributes:
        server_id: ``service/address``, or the name in the registry.
        service: Service it belongs to.
        address: ``ip:port``.
        zone: Availability zone.
        n_slots: Requests it runs at once.
        n_connections_max: Connections it takes; 0 where its service says so.
        is_draining: Whether it is leaving.
        requester: Who asked for the rule.
        line: Line of the rule; 0 when a registry lists the server.
        warm_up_s: How much longer it is slow after its start, as listed.
        born_ms: Start of its process in milliseconds since 1970; 0 if unknown.
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
    warm_up_s: float = 0.0
    born_ms: int = 0


class OwnershipRow(NamedTuple):
    """The VM that sends to a backend server.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        n_slots: Requests it runs at once.
        owner_vm_id: Owner in this VM's membership view.
        score: Rendezvous hash of the owner and the server.
    """

    server_id: str
    service: str
    n_slots: int
    owner_vm_id: str
    score: int


class DisownRow(NamedTuple):
    """A VM that must not own a backend server for a while.

    Attributes:
        key: ``(server_id, vm_id)``.
    """

    key: tuple[str, str]


def make_disowns() -> Table[DisownRow]:
    """Return an empty table of VMs that must not own a server."""
    return Table(DisownRow, key="key")


class SlotRow(NamedTuple):
    """Use of a backend server that this VM owns or has work on.

    Attributes:
        server_id: Backend server.
        service: Service of the backend server.
        n_in_flight: Requests sent and not ended.
        n_usable: Slots that may be used now; below the server's own number
            while it ramps up.
    """

    server_id: str
    service: str
    n_in_flight: int
    n_usable: int


class CapacityRow(NamedTuple):
    """What one VM owns of a service.

    Attributes:
        key: ``(service, vm_id)``.
        service: Name of the service.
        vm_id: Owner VM.
        n_slots: Slots of its backend servers.
        n_free: Free slots by its last report, less what was sent since.
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


def make_slots() -> Table[SlotRow]:
    """Return an empty table of slots in use."""
    return Table(SlotRow, key="server_id", indexes=("service",))


def make_capacities() -> Table[CapacityRow]:
    """Return an empty table of capacities."""
    return Table(CapacityRow, key="key", indexes=("service", "vm_id"))
