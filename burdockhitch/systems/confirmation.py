"""Keeps a starting VM from serving an outdated revision.

A VM serves once the platform, or several other VMs, have reported no newer
revision than the one it holds. VMs that are dead in its view still count among
those it has to hear from: they may be on the other side of a partition and hold
a newer revision.
"""

from burdockhitch.tables.revisions import RevisionConfirmationRow
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, current_revision, log_event

N_CONFIRMING_PEERS = 3
PLATFORM_SOURCE = "platform"
CONFIRMED_KEY = "confirmed"


def is_revision_confirmed(world: World) -> bool:
    """Return whether this VM has confirmed its revision and may serve it."""
    return CONFIRMED_KEY in world.revision_confirmations


def record_confirmation(world: World, source: str, number: int) -> None:
    """Record the newest revision that the platform or another VM knows of.

    The revision in force is confirmed once enough sources know no newer one.

    Args:
        world: Tables of this VM.
        source: Name of the VM, or ``PLATFORM_SOURCE``.
        number: Revision that it knows, 0 for none.
    """
    current = current_revision(world)
    if is_revision_confirmed(world) or not current or number > current:
        return
    if number or source == PLATFORM_SOURCE:
        world.revision_confirmations.put(RevisionConfirmationRow(source))
    if PLATFORM_SOURCE in world.revision_confirmations or _has_enough_peers(world):
        world.revision_confirmations.put(RevisionConfirmationRow(CONFIRMED_KEY))
        log_event(world, "INFO", "revision_confirmed", revision=current)


def _has_enough_peers(world: World) -> bool:
    """Return whether ``N_CONFIRMING_PEERS`` VMs reported, or all known if fewer."""
    peer_ids = [
        vm.vm_id
        for vm in world.vms
        if vm.vm_id != world.local.vm_id and vm.status is not VmStatus.LEAVING
    ]
    n_needed = min(N_CONFIRMING_PEERS, len(peer_ids))
    return n_needed > 0 and len(world.revision_confirmations) >= n_needed
