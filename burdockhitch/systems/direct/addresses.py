"""Answers callers that ask which addresses to use."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.configuration import view_of
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.registry_views import Subject
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, send, take_events

OFFERS_MAX = 64
# Below this number a zone's VMs would each get too large a part of its callers.
NEAR_MIN = 3


def is_offered(vm: VmRow) -> bool:
    """Return whether callers may be sent to a VM."""
    return vm.status is VmStatus.ALIVE and vm.is_ready


def choose_vms(world: World, zone: str) -> list[VmRow]:
    """Return the VMs to offer to callers of a zone, in random order.

    VMs of the caller's zone are enough unless few of them are left.
    """
    offered = [vm for vm in world.vms if is_offered(vm)]
    near = [vm for vm in offered if vm.zone == zone]
    chosen = near if len(near) >= NEAR_MIN else offered
    world.rng.shuffle(chosen)
    return chosen[:OFFERS_MAX]


@system(Phase.INTAKE, DIRECT)
def offer_addresses(world: World, now: Instant) -> None:
    """Answer every caller that asked."""
    for event in take_events(world, events.AddressesAsked):
        zone = event.zone or world.local.zone
        offers = tuple(
            commands.AddressOffer(vm.caller_address, vm.zone, "")
            for vm in choose_vms(world, zone)
        )
        command = commands.OfferAddresses(
            event.connection_id,
            event.service,
            offers,
            world.settings.direct.address_ttl_s,
            view_of(world, Subject.CONFIGURATION).version,
        )
        send(world, command)
