"""Membership probes in progress, made for this VM and for others."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


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


def make_probes() -> Table[ProbeRow]:
    """Return an empty table of probes."""
    return Table(ProbeRow, key="vm_id")


def make_relays() -> Table[RelayRow]:
    """Return an empty table of probes made for other VMs."""
    return Table(RelayRow, key="sequence")
