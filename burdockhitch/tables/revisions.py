"""Revisions of the configuration and operations on the platform."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RevisionRow(NamedTuple):
    """The revision in force on this VM; the table holds at most one.

    Attributes:
        slot: Always ``"in_force"``.
        number: Number of the revision, from 1.
        body_hash: Hash of the rules text.
        text: Rules text, compressed.
        applied_at_s: Monotonic time at which it came in force here.
    """

    slot: str
    number: int
    body_hash: str
    text: bytes
    applied_at_s: float


class ConfirmationRow(NamedTuple):
    """Somebody who knew of no newer revision than the one in force here.

    Attributes:
        source: Name of a VM, ``platform``, or ``confirmed`` once it is enough.
    """

    source: str


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


class ProbeRow(NamedTuple):
    """The membership probe in progress.

    Attributes:
        vm_id: Probed VM.
        sequence: Number of the probe.
    """

    vm_id: str
    sequence: int


class RelayRow(NamedTuple):
    """A probe made for another VM.

    Attributes:
        sequence: Number of the probe made here.
        origin_vm_id: VM that asked for it.
        origin_sequence: Number of the probe there.
    """

    sequence: int
    origin_vm_id: str
    origin_sequence: int


class FailureRow(NamedTuple):
    """Failures in a row of a duty on the platform.

    Attributes:
        duty: Kind of the timer that plans the duty.
        n_events: Failures since the last success.
    """

    duty: str
    n_events: int


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


class ClosingRow(NamedTuple):
    """An ended request that the witness has not been told of."""

    request_id: str


def make_relays() -> Table[RelayRow]:
    """Return an empty table of probes made for other VMs."""
    return Table(RelayRow, key="sequence")


def make_failures() -> Table[FailureRow]:
    """Return an empty table of failures of duties."""
    return Table(FailureRow, key="duty")


def make_witnesses() -> Table[DutyRow]:
    """Return an empty table of witnesses."""
    return Table(DutyRow, key="duty")


def make_listings() -> Table[ListingRow]:
    """Return an empty table of the platform's list."""
    return Table(ListingRow, key="vm_id")


def make_closings() -> Table[ClosingRow]:
    """Return an empty table of ended requests to announce."""
    return Table(ClosingRow, key="request_id")


def make_revisions() -> Table[RevisionRow]:
    """Return an empty table for the revision in force."""
    return Table(RevisionRow, key="slot")


def make_confirmations() -> Table[ConfirmationRow]:
    """Return an empty table of confirmations."""
    return Table(ConfirmationRow, key="source")


def make_operations() -> Table[OperationRow]:
    """Return an empty table of operations."""
    return Table(OperationRow, key="operation_id", indexes=("purpose",))


def make_probes() -> Table[ProbeRow]:
    """Return an empty table of probes."""
    return Table(ProbeRow, key="vm_id")
