"""Open non-idempotent requests, which each VM announces to its witness.

The witness of a VM is another VM, in another zone if there is one. When a VM dies,
its witness reports the requests that it had open as lost.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class WitnessRow(NamedTuple):
    """The witness of this VM, the only row of its table.

    Attributes:
        singleton_key: Primary key, always ``"witness"``.
        vm_id: VM that is the witness, empty for none.
        n_view_changes: Changes of the membership view from the start of this process
            to the last choice of the witness.
    """

    singleton_key: str
    vm_id: str
    n_view_changes: int


class UnreportedEndingRow(NamedTuple):
    """An ended request whose end is not yet announced to the witness."""

    request_id: str


class WitnessedRequestRow(NamedTuple):
    """An open non-idempotent request of another VM, whose witness this VM is.

    Attributes:
        request_id: ``request_id`` on the VM that accepted it.
        vm_id: VM that accepted it from a caller.
        service: Service of the request.
        route_id: Route that matched.
        requester: Who requested the rule of the route.
    """

    request_id: str
    vm_id: str
    service: str
    route_id: str
    requester: str


class LostRequestRow(NamedTuple):
    """A non-idempotent request that was open when the VM that accepted it died.

    Attributes:
        request_id: ``request_id`` on the VM that accepted it.
        vm_id: VM that accepted it from a caller.
        service: Service of the request.
        route_id: Route that matched.
        requester: Who requested the rule of the route.
        noticed_at_s: Monotonic time at which this VM, the witness, reported the loss.
    """

    request_id: str
    vm_id: str
    service: str
    route_id: str
    requester: str
    noticed_at_s: float


def make_witnesses() -> Table[WitnessRow]:
    """Return an empty table for the witness of this VM."""
    return Table(WitnessRow, key="singleton_key")


def make_unreported_endings() -> Table[UnreportedEndingRow]:
    """Return an empty table of ended requests to announce."""
    return Table(UnreportedEndingRow, key="request_id")


def make_witnessed_requests() -> Table[WitnessedRequestRow]:
    """Return an empty table of other VMs' open non-idempotent requests."""
    return Table(WitnessedRequestRow, key="request_id", indexes=("vm_id",))


def make_lost_requests() -> Table[LostRequestRow]:
    """Return an empty table of lost requests."""
    return Table(LostRequestRow, key="request_id")
