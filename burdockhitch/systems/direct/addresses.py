"""Answers callers' queries for addresses of VMs that accept requests."""

from burdockhitch import commands, events
from burdockhitch.clock import Instant
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.membership import is_silent
from burdockhitch.systems.phases import DIRECT, Phase, system
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.world import World, pop_events, send

# Most VMs in one answer.
OFFERS_MAX = 64
# With fewer VMs than this, each would get too large a share of its zone's callers.
SAME_ZONE_VMS_MIN = 3
# With fewer VMs than this, silent ones are offered, too. If this VM is cut off from
# them, callers may need them; if they have failed, few callers try them.
OFFERS_MIN = 3


def accepts_callers(vm: VmRow) -> bool:
    """Return whether a VM is alive and ready, so that callers may be sent to it."""
    return vm.status is VmStatus.ALIVE and vm.is_ready


def choose_offered_vms(world: World, zone: str, now: Instant) -> list[VmRow]:
    """Return the VMs to offer to callers of a zone, in random order.

    VMs of other zones are included if the zone has fewer than ``SAME_ZONE_VMS_MIN``,
    and silent ones if there are fewer than ``OFFERS_MIN`` others.
    """
    accepting = [vm for vm in world.vms if accepts_callers(vm)]
    live = [vm for vm in accepting if not is_silent(world, vm, now)]
    same_zone = [vm for vm in live if vm.zone == zone]
    chosen = same_zone if len(same_zone) >= SAME_ZONE_VMS_MIN else live
    n_missing = OFFERS_MIN - len(chosen)
    if n_missing > 0:
        silent = [vm for vm in accepting if is_silent(world, vm, now)]
        chosen += world.rng.sample(silent, min(len(silent), n_missing))
    world.rng.shuffle(chosen)
    return chosen[:OFFERS_MAX]


@system(Phase.INTAKE, DIRECT)
def offer_addresses(world: World, now: Instant) -> None:
    """Answer pending address queries; one without a zone gets VMs of this zone."""
    for event in pop_events(world, events.AddressesRequested):
        zone = event.zone or world.local.zone
        offers = tuple(
            commands.AddressOffer(vm.caller_address, vm.zone, "")
            for vm in choose_offered_vms(world, zone, now)
        )
        command = commands.OfferAddresses(
            event.connection_id,
            event.service,
            offers,
            world.settings.direct.address_ttl_s,
            registry_view(world, RegistryPart.CONFIGURATION).version,
        )
        send(world, command)
