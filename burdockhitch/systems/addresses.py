"""Answers callers that ask which addresses to use."""

import hashlib

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.home import issue_token
from burdockhitch.systems.phases import Phase, system
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, current_revision, send, take_events

N_OFFERS = 3


def _rank(account: str, vm: VmRow) -> bytes:
    text = f"{account}|{vm.vm_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def is_offered(vm: VmRow) -> bool:
    """Return whether callers may be sent to a VM."""
    return vm.status is VmStatus.ALIVE


def choose_vms(world: World, service: str, account: str, zone: str) -> list[VmRow]:
    """Return the VMs to offer, best first.

    Callers of a zone are steered to its owners of the service, each caller to
    its own order of them, and never to a VM that is leaving.
    """
    owners = {
        capacity.vm_id
        for capacity in world.capacities.select("service", service)
        if capacity.n_slots > 0
    }

    def order(vm: VmRow) -> tuple[bool, bool, bytes]:
        return vm.zone != zone, vm.vm_id not in owners, _rank(account, vm)

    offered = [vm for vm in world.vms if is_offered(vm)]
    return sorted(offered, key=order)[:N_OFFERS]


@system(Phase.INTAKE)
def offer_addresses(world: World, now: Instant) -> None:
    """Answer every caller that asked."""
    for event in take_events(world, events.AddressesAsked):
        zone = event.zone or world.local.zone
        vms = choose_vms(world, event.service, event.account, zone)
        offers = tuple(
            commands.AddressOffer(vm.caller_address, vm.zone, issue_token(vm, now))
            for vm in vms
        )
        keep_s = world.settings.callers.keep_s
        revision = current_revision(world)
        command = commands.OfferAddresses(
            event.connection_id, event.service, offers, keep_s, revision
        )
        send(world, command)
