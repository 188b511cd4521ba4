"""Answers callers that ask which entry VMs to send their requests to.

Each address comes with a home token, the first part of the idempotency keys whose
record that VM keeps.
"""

import hashlib

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.home import issue_home_token
from burdockhitch.systems.phases import Phase, system
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, current_revision, pop_events, send

# Most VMs in one answer.
N_OFFERED_VMS = 3


def _hash_for_account(account: str, vm: VmRow) -> bytes:
    """Return a hash that orders the VMs differently for each account."""
    text = f"{account}|{vm.vm_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def accepts_callers(vm: VmRow) -> bool:
    """Return whether a VM may be offered to callers, that is, whether it is alive."""
    return vm.status is VmStatus.ALIVE


def choose_offered_vms(
    world: World, service: str, account: str, zone: str
) -> list[VmRow]:
    """Return up to ``N_OFFERED_VMS`` VMs to offer to a caller, best first.

    VMs of the caller's zone come before others, then VMs that own backend
    servers of the service. Ties are ordered by a hash of account and VM, which
    spreads the accounts over the VMs. VMs that are leaving, suspect or dead are
    never offered.
    """
    owners = {
        capacity.vm_id
        for capacity in world.owner_capacities.select("service", service)
        if capacity.n_slots > 0
    }

    def sort_key(vm: VmRow) -> tuple[bool, bool, bytes]:
        return vm.zone != zone, vm.vm_id not in owners, _hash_for_account(account, vm)

    offered = [vm for vm in world.vms if accepts_callers(vm)]
    return sorted(offered, key=sort_key)[:N_OFFERED_VMS]


@system(Phase.INTAKE)
def offer_addresses(world: World, now: Instant) -> None:
    """Answer each address query with addresses of VMs and their home tokens.

    A query without a zone gets the VMs for callers of this VM's zone.
    """
    for event in pop_events(world, events.AddressesRequested):
        zone = event.zone or world.local.zone
        vms = choose_offered_vms(world, event.service, event.account, zone)
        offers = tuple(
            commands.AddressOffer(vm.caller_address, vm.zone, issue_home_token(vm, now))
            for vm in vms
        )
        keep_s = world.settings.callers.keep_s
        revision = current_revision(world)
        command = commands.OfferAddresses(
            event.connection_id, event.service, offers, keep_s, revision
        )
        send(world, command)
