"""Who hears of open requests, and what was heard of other VMs."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class DutyRow(NamedTuple):
    """A VM that this one relies on for a duty.

    Attributes:
        duty: Name of the duty.
        vm_id: VM that has it, empty when there is none.
        view_version: Changes of the membership view when it was chosen.
    """

    duty: str
    vm_id: str
    view_version: int


class ClosingRow(NamedTuple):
    """An ended request that the witness has not been told of."""

    request_id: str


class WitnessedRow(NamedTuple):
    """A non-idempotent request that another VM has open.

    Attributes:
        request_id: Request.
        vm_id: VM that accepted it.
        service: Service.
        route_id: Route.
        requester: Who asked for the route's rule.
    """

    request_id: str
    vm_id: str
    service: str
    route_id: str
    requester: str


class LostRow(NamedTuple):
    """A request whose VM died while it was open.

    Attributes:
        request_id: Request.
        vm_id: VM that accepted it.
        service: Service.
        route_id: Route.
        requester: Who asked for the route's rule.
        noticed_at_s: Monotonic time of the finding.
    """

    request_id: str
    vm_id: str
    service: str
    route_id: str
    requester: str
    noticed_at_s: float


def make_witnesses() -> Table[DutyRow]:
    """Return an empty table of witnesses."""
    return Table(DutyRow, key="duty")


def make_closings() -> Table[ClosingRow]:
    """Return an empty table of ended requests to announce."""
    return Table(ClosingRow, key="request_id")


def make_witnessed() -> Table[WitnessedRow]:
    """Return an empty table of witnessed requests."""
    return Table(WitnessedRow, key="request_id", indexes=("vm_id",))


def make_lost() -> Table[LostRow]:
    """Return an empty table of lost requests."""
    return Table(LostRow, key="request_id")
