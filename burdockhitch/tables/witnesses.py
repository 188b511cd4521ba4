"""Open non-idempotent requests that VMs report to a witness.

The witness of a VM is another VM, in another zone if there is one. When a VM dies,
its witness reports the requests that it had open as lost.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class WitnessRow(NamedTuple):
    """The witness of this VM, the only row of its table.

    Attributes:
        duty: Primary key, always ``witness``.
        vm_id: VM that is the witness, empty for none.
        n_view_changes: Number of changes of the membership view at the last choice.
    """

    duty: str
    vm_id: str
    n_view_changes: int


class UnreportedEndingRow(NamedTuple):
    """An ended request whose end is not yet reported to the witness."""

    request_id: str


class WitnessedRequestRow(NamedTuple):
    """A non-idempotent request in progress on a VM whose witness this VM is.

    Attributes:
        request_id: Request.
        vm_id: VM that accepted it.
        service: Service.
        route_id: Route.
        requester: Who requested the route's rule.
    """

    request_id: str
    vm_id: str
    service: str
    route_id: str
    requester: str


class LostRequestRow(NamedTuple):
    """A non-idempotent request that was in progress when its VM died.

    Attributes:
        request_id: Request.
        vm_id: VM that accepted it.
        service: Service.
        route_id: Route.
        requester: Who requested the route's rule.
        noticed_at_s: Monotonic time at which this VM detected the loss.
    """

    request_id: str
    vm_id: str
    service: str
    route_id: str
    requester: str
    noticed_at_s: float


def make_witnesses() -> Table[WitnessRow]:
    """Return an empty table for the witness of this VM."""
    return Table(WitnessRow, key="duty")


def make_unreported_endings() -> Table[UnreportedEndingRow]:
    """Return an empty table of ended requests to report."""
    return Table(UnreportedEndingRow, key="request_id")


def make_witnessed_requests() -> Table[WitnessedRequestRow]:
    """Return an empty table of other VMs' open requests."""
    return Table(WitnessedRequestRow, key="request_id", indexes=("vm_id",))


def make_lost_requests() -> Table[LostRequestRow]:
    """Return an empty table of lost requests."""
    return Table(LostRequestRow, key="request_id")
