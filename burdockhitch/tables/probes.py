"""Membership probes of other VMs that have not been acknowledged.

A probe is a ping that the probed VM acknowledges with an ack. An indirect probe is
sent at the request of a VM that got no ack itself.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class MembershipProbeRow(NamedTuple):
    """A probe by which this VM checks whether another VM is alive.

    Attributes:
        vm_id: Probed VM.
        sequence: Number of this VM's ping, which the ack repeats.
    """

    vm_id: str
    sequence: int


class RelayedProbeRow(NamedTuple):
    """An indirect probe that this VM sent at the request of another VM.

    Attributes:
        sequence: Number of this VM's ping, which the probed VM's ack repeats.
        origin_vm_id: VM that requested the probe and to which the ack is relayed.
        origin_sequence: Number of the requesting VM's own ping, which the relayed ack
            repeats.
    """

    sequence: int
    origin_vm_id: str
    origin_sequence: int


def make_membership_probes() -> Table[MembershipProbeRow]:
    """Return an empty table of membership probes by probed VM."""
    return Table(MembershipProbeRow, key="vm_id")


def make_relayed_probes() -> Table[RelayedProbeRow]:
    """Return an empty table of indirect probes for other VMs."""
    return Table(RelayedProbeRow, key="sequence")
