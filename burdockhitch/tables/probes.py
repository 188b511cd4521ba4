"""Membership probes of other VMs that have not been acknowledged."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class MembershipProbeRow(NamedTuple):
    """A membership probe that this VM made for itself.

    Attributes:
        vm_id: Probed VM.
        sequence: Number that the ack must repeat.
    """

    vm_id: str
    sequence: int


class RelayedProbeRow(NamedTuple):
    """An indirect membership probe that this VM made for another one.

    Attributes:
        sequence: Number of this VM's probe.
        origin_vm_id: VM that requested it and gets the ack.
        origin_sequence: Number of that VM's own probe, repeated in its ack.
    """

    sequence: int
    origin_vm_id: str
    origin_sequence: int


def make_membership_probes() -> Table[MembershipProbeRow]:
    """Return an empty table of membership probes."""
    return Table(MembershipProbeRow, key="vm_id")


def make_relayed_probes() -> Table[RelayedProbeRow]:
    """Return an empty table of indirect probes for other VMs."""
    return Table(RelayedProbeRow, key="sequence")
