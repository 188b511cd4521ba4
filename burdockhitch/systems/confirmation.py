"""Keeps a starting VM from serving an outdated revision.

A revision is a numbered version of the rules text. A VM serves once the platform,
or several other VMs, have reported no newer revision than the one it holds. VMs
that are dead in its membership view still count towards the reports it needs:
they may be on the other side of a partition and hold a newer revision.
"""

from burdockhitch.tables.revisions import RevisionConfirmationRow
from burdockhitch.tables.vms import VmStatus
from burdockhitch.world import World, current_revision, log_event

N_CONFIRMING_PEERS = 3
# Keys of rows that don't name a VM: the platform's report, and the row that marks
# the revision as confirmed.
PLATFORM_SOURCE = "platform"
CONFIRMED_KEY = "confirmed"


def is_revision_confirmed(world: World) -> bool:
    """Return whether this VM has confirmed a revision since its start and may serve."""
    return CONFIRMED_KEY in world.revision_confirmations


def record_confirmation(world: World, source: str, number: int) -> None:
    """Record that the platform or another VM knows no newer revision.

    The revision in force is confirmed once enough sources have reported. Reports
    of a newer revision, and those of a VM without any, do not count.

    Args:
        world: Tables of this VM.
        source: Name of the VM, or ``PLATFORM_SOURCE``.
        number: Newest revision that it reports, 0 for none.
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
    """Return whether ``N_CONFIRMING_PEERS`` VMs reported, or all if there are fewer."""
    peer_ids = [
        vm.vm_id
        for vm in world.vms
        if vm.vm_id != world.local.vm_id and vm.status is not VmStatus.LEAVING
    ]
    n_needed = min(N_CONFIRMING_PEERS, len(peer_ids))
    return n_needed > 0 and len(world.revision_confirmations) >= n_needed
