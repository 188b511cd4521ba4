"""Pending operations on the platform, failed reads, and its list of VMs."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class PlatformOperationRow(NamedTuple):
    """An operation on the platform, or a read from a peer, without a reply yet.

    Attributes:
        operation_id: Identifier, unique over all processes of the fleet.
        purpose: What the reply is for; names a registered reply handler, except
            for operations whose replies have event types of their own.
        subject: Row, key or part of the registry that the operation is about.
        started_at_s: Monotonic time at which it was requested.
    """

    operation_id: str
    purpose: str
    subject: str
    started_at_s: float


class ReadFailureRow(NamedTuple):
    """Consecutive failures of a periodic read from the platform, for the backoff.

    Attributes:
        duty: Kind of the timer that schedules the read.
        n_events: Failures since the last success, capped at ``BACKOFF_FACTOR_MAX``.
    """

    duty: str
    n_events: int


class ListedVmRow(NamedTuple):
    """A VM on the platform's list.

    The row with an empty ``vm_id`` is no VM; it shows when the list was read.

    Attributes:
        vm_id: Name of the VM.
        state: ``live`` or ``leaving``.
        message_address: ``ip:port`` for messages between VMs.
        listed_at_s: Monotonic time at which the list was last read.
    """

    vm_id: str
    state: str
    message_address: str
    listed_at_s: float


def make_platform_operations() -> Table[PlatformOperationRow]:
    """Return an empty table of pending operations."""
    return Table(PlatformOperationRow, key="operation_id", indexes=("purpose",))


def make_read_failures() -> Table[ReadFailureRow]:
    """Return an empty table of failed reads from the platform."""
    return Table(ReadFailureRow, key="duty")


def make_listed_vms() -> Table[ListedVmRow]:
    """Return an empty table of the VMs on the platform's list."""
    return Table(ListedVmRow, key="vm_id")
