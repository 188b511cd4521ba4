"""Entry VMs as this VM sees them."""

import math
from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table


class VmStatus(StrEnum):
    """Life cycle states of an entry VM in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class VmRow(NamedTuple):
    """One entry VM.

    Attributes:
        vm_id: Name from the VM's settings.
        incarnation: Start time of the process in microseconds since 1970.
        refutation: Counter that the VM raises to refute a suspicion.
        zone: Availability zone.
        region: Region of the availability zone.
        caller_address: ``ip:port`` for callers.
        message_address: ``ip:port`` for messages between VMs.
        status: Life cycle state.
        changed_at_s: Monotonic time of the last change of status.
        n_transmissions: How often the last change was gossiped from here.
        is_reachable: Whether this VM's own messages reach it.
        admin_address: ``ip:port`` for operators and for snapshots; empty when
            it is not known.
        is_ready: Whether it can serve callers, by its last report.
        platform_age_s: How long ago the platform answered it, by its last report.
        configuration_version: Version of its configuration, by its last report.
        servers_version: Version of its backend servers, by its last report.
    """

    vm_id: str
    incarnation: int
    refutation: int
    zone: str
    region: str
    caller_address: str
    message_address: str
    status: VmStatus
    changed_at_s: float = 0.0
    n_transmissions: int = 0
    is_reachable: bool = True
    admin_address: str = ""
    is_ready: bool = True
    platform_age_s: float = math.inf
    configuration_version: int = 0
    servers_version: int = 0


def make_vms() -> Table[VmRow]:
    """Return an empty table of entry VMs."""
    return Table(VmRow, key="vm_id", indexes=("zone", "status"))
