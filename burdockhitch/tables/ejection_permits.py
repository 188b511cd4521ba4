"""Permits to eject, held by this incarnation in the platform's table."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class PermitRow(NamedTuple):
    """Permits of one service on this VM.

    Attributes:
        service: Name of the service.
        n_held_slots: Slots that the platform's row grants to this incarnation.
        operation_id: Transaction in progress, empty when there is none.
        n_wanted_slots: Slots that the transaction asks for.
        asked_at_s: Monotonic time of the last transaction.
    """

    service: str
    n_held_slots: int
    operation_id: str
    n_wanted_slots: int
    asked_at_s: float


class PermitUseRow(NamedTuple):
    """Slots of a permit that one ejection uses.

    Attributes:
        server_id: Ejected backend server.
        service: Service of the backend server.
        n_slots: Slots used.
    """

    server_id: str
    service: str
    n_slots: int


def make_permits() -> Table[PermitRow]:
    """Return an empty table of permits."""
    return Table(PermitRow, key="service")


def make_permit_uses() -> Table[PermitUseRow]:
    """Return an empty table of permit uses."""
    return Table(PermitUseRow, key="server_id", indexes=("service",))
