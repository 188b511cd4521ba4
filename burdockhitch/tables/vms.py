"""Entry VMs of the fleet: this VM's membership view."""

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
    """One entry VM, this one included.

    Attributes:
        vm_id: Name from the VM's settings.
        incarnation: Start time of the process in microseconds since 1970.
        n_refutations: Counter that only the VM itself increments, to override what
            others say of it, such as a suspicion.
        zone: Availability zone.
        region: Region of the availability zone.
        caller_address: ``ip:port`` for callers.
        message_address: ``ip:port`` for messages between VMs.
        status: Life cycle state.
        status_changed_at_s: Monotonic time of the last change of status; with direct
            sending, of the last message from the VM or list entry that named it.
        n_transmissions: Times that this VM has gossiped the last change.
        is_reachable: Whether this VM reaches it directly, without a relayed probe.
        admin_address: ``ip:port`` for operators and for snapshots; empty when
            unknown.
        is_ready: Whether it can serve callers, by its last heartbeat.
        platform_answer_age_s: Time since the platform last answered it, when it sent
            its last heartbeat; infinite if the platform never did.
        configuration_version: Version of its configuration, by its last heartbeat.
        servers_version: Version of its list of backend servers, by its last
            heartbeat.
    """

    vm_id: str
    incarnation: int
    n_refutations: int
    zone: str
    region: str
    caller_address: str
    message_address: str
    status: VmStatus
    status_changed_at_s: float = 0.0
    n_transmissions: int = 0
    is_reachable: bool = True
    admin_address: str = ""
    is_ready: bool = True
    platform_answer_age_s: float = math.inf
    configuration_version: int = 0
    servers_version: int = 0


def make_vms() -> Table[VmRow]:
    """Return an empty table of entry VMs."""
    return Table(VmRow, key="vm_id", indexes=("zone", "status"))
