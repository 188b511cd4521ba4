"""Builds the row of this VM in the membership view."""

from burdockhitch.clock import Instant
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World


def make_local_vm_row(world: World, now: Instant) -> VmRow:
    """Return the row of this VM at its start: alive, and in no gossip yet."""
    settings = world.settings.vm
    return VmRow(
        vm_id=settings.vm_id,
        incarnation=world.local.incarnation,
        n_refutations=0,
        zone=settings.zone,
        region=settings.region,
        caller_address=settings.caller_address,
        message_address=settings.message_address,
        status=VmStatus.ALIVE,
        status_updated_at_s=now.monotonic_s,
    )
