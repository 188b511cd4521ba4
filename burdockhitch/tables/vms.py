"""The membership view: the entry VMs of the fleet as this VM knows them."""

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
    """One entry VM, possibly this one.

    The columns from ``admin_address`` on are filled only with direct sending.

    Attributes:
        vm_id: Name from the VM's settings.
        incarnation: Start time of its process in microseconds since 1970.
        n_refutations: Counter that only the VM itself increments; its status with a
            higher count overrides what other VMs gossip, such as a suspicion.
        zone: Availability zone of the VM.
        region: Region of the availability zone.
        caller_address: ``ip:port`` for callers.
        message_address: ``ip:port`` for messages between VMs.
        status: Life cycle state, as this VM knows it.
        status_updated_at_s: Monotonic time at which this VM last stored the status.
            With sending by owners, this is when gossip or a probe changed or renewed
            it. With direct sending, it is when a heartbeat or report of the VM last
            arrived, or when a list of VMs first named its incarnation; a VM that is
            silent for too long after that is marked dead.
        n_transmissions: Times that this VM has sent the last change in a ping or ack.
        is_reachable: Whether this VM can reach it without a relayed probe; always true
            with direct sending.
        admin_address: ``ip:port`` for operators and for snapshots; empty if unknown.
        is_ready: Whether it can serve callers, by its last heartbeat; false before
            the first.
        platform_answer_age_s: Time that had passed since the platform last answered
            it, when it sent its last heartbeat; infinite if the platform never did.
        configuration_version: Version of its configuration, by its last heartbeat; 0
            since this VM last failed to copy the registry from it.
        servers_version: Version of its list of backend servers, like
            ``configuration_version``.
    """

    vm_id: str
    incarnation: int
    n_refutations: int
    zone: str
    region: str
    caller_address: str
    message_address: str
    status: VmStatus
    status_updated_at_s: float = 0.0
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
