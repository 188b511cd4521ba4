"""Pending operations on the platform, failed reads, and the platform's list of VMs."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class PlatformOperationRow(NamedTuple):
    """An operation on the platform, or a read from another VM, without a reply yet.

    Attributes:
        operation_id: Identifier, unique among all processes of the fleet.
        purpose: What the reply is for; names a registered reply handler, except
            for operations whose replies have event types of their own.
        subject: What the operation is about, such as a row, a VM or a part of the
            registry; its form depends on ``purpose``.
        started_at_s: Monotonic time at which this VM started it.
    """

    operation_id: str
    purpose: str
    subject: str
    started_at_s: float


class ReadFailureRow(NamedTuple):
    """Consecutive failures of a periodic read from the platform, for the backoff.

    Attributes:
        timer_kind: Kind of the timer that starts the read.
        n_failures: Failures since the last success, capped at ``BACKOFF_FACTOR_MAX``.
    """

    timer_kind: str
    n_failures: int


class ListedVmRow(NamedTuple):
    """A VM on the platform's list of entry VMs.

    The row with an empty ``vm_id`` is no VM: it records when the list was last read,
    even if it was empty.

    Attributes:
        vm_id: Name of the VM.
        state: ``live`` or ``leaving``, as the platform lists it.
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
    """Return an empty table of failed reads by kind of timer."""
    return Table(ReadFailureRow, key="timer_kind")


def make_listed_vms() -> Table[ListedVmRow]:
    """Return an empty table of the VMs on the platform's list."""
    return Table(ListedVmRow, key="vm_id")
