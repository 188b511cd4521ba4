"""Permits to eject backend servers, granted to this process by the platform.

A permit is a number of slots that this process may eject. The permits of all VMs
together leave the floor of the service, the minimum of healthy slots.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class EjectionPermitRow(NamedTuple):
    """Ejection permit of this process for one service.

    Attributes:
        service: Name of the service.
        n_held_slots: Slots that this process may have ejected at the same time, as
            the service's row in the platform's ``permits`` table grants them.
        operation_id: Read or write of that row in progress, empty for none.
        n_requested_slots: Slots that the operation in progress requests in addition
            to the held ones; 0 if it requests none.
        requested_at_s: Monotonic time of the last request for more slots; negative
            before the first.
    """

    service: str
    n_held_slots: int
    operation_id: str
    n_requested_slots: int
    requested_at_s: float


class PermittedEjectionRow(NamedTuple):
    """Slots of a permit that one ejected backend server uses.

    Attributes:
        server_id: Ejected backend server.
        service: Service of the backend server.
        n_slots: Slots of the server, counted against the permit of its service.
    """

    server_id: str
    service: str
    n_slots: int


def make_ejection_permits() -> Table[EjectionPermitRow]:
    """Return an empty table of ejection permits by service."""
    return Table(EjectionPermitRow, key="service")


def make_permitted_ejections() -> Table[PermittedEjectionRow]:
    """Return an empty table of permitted ejections by backend server."""
    return Table(PermittedEjectionRow, key="server_id", indexes=("service",))
