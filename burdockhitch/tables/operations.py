"""Operations on the platform, duties that failed, and the list of VMs."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class OperationRow(NamedTuple):
    """An operation on the platform that has not been answered.

    Attributes:
        operation_id: Identity of the operation.
        purpose: Name of the handler that takes the reply.
        subject: What the operation is about.
        started_at_s: Monotonic time of the sending.
    """

    operation_id: str
    purpose: str
    subject: str
    started_at_s: float


class FailureRow(NamedTuple):
    """Failures in a row of a duty on the platform.

    Attributes:
        duty: Kind of the timer that plans the duty.
        n_events: Failures since the last success.
    """

    duty: str
    n_events: int


class ListingRow(NamedTuple):
    """A VM on the platform's list; the row ``""`` stands for the last reading.

    Attributes:
        vm_id: Name of the VM.
        state: ``live`` or ``leaving``.
        message_address: ``ip:port`` for messages between VMs.
        listed_at_s: Monotonic time of the reading.
    """

    vm_id: str
    state: str
    message_address: str
    listed_at_s: float


def make_operations() -> Table[OperationRow]:
    """Return an empty table of operations."""
    return Table(OperationRow, key="operation_id", indexes=("purpose",))


def make_failures() -> Table[FailureRow]:
    """Return an empty table of failures of duties."""
    return Table(FailureRow, key="duty")


def make_listings() -> Table[ListingRow]:
    """Return an empty table of the platform's list."""
    return Table(ListingRow, key="vm_id")
