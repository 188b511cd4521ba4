"""Tests that the VMs that survive the loss of most others go on without them."""

import pytest

from burdockhitch import events
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.registry_reads import rank_in_zone
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.vms import VmStatus
from burdockhitch.tests.direct_fakes import make_route, start_fleet

ZONES = ("a", "b", "c")
# More VMs of each zone than may read the registry.
ZONE_VMS = 6
# Time after which a silent VM of another zone counts as dead.
SILENCE_MAX_S = 4 * 3.2
# Most lost VMs that a VM offers if it knows of too few that run.
LOST_OFFERS_MAX = 2
# Time within which a VM in touch must apply a change of the registry.
SPREAD_MAX_S = 2.0


def start_zones(seed):
    fleet = start_fleet(ZONE_VMS * len(ZONES), n_servers=6, zones=ZONES, seed=seed)
    fleet.run(3.0)
    return fleet


def last_in_rank(fleet, zone, n_vms):
    """Return the IDs of the last VMs of a zone, which other VMs read for."""
    vm_ids = [vm_id for vm_id in fleet.worlds if fleet.worlds[vm_id].local.zone == zone]
    return sorted(vm_ids, key=lambda vm_id: rank_in_zone(zone, vm_id))[-n_vms:]


def last_of_each_zone(fleet):
    return [vm_id for zone in ZONES for vm_id in last_in_rank(fleet, zone, 1)]


def last_two_of_each_zone(fleet):
    return [vm_id for zone in ZONES for vm_id in last_in_rank(fleet, zone, 2)]


def last_of_one_zone(fleet):
    return last_in_rank(fleet, "b", 1)


def lose_all_others(fleet, survivors):
    for vm_id in set(fleet.worlds) - set(survivors):
        fleet.kill_vm(vm_id)


def lose_all_and_restart(fleet, survivors):
    """Lose all VMs, of which some start again."""
    settings = {vm_id: fleet.worlds[vm_id].settings for vm_id in survivors}
    lose_all_others(fleet, ())
    fleet.run(1.0)
    for vm_id in survivors:
        fleet.restart_vm(vm_id, settings[vm_id])
    fleet.run(3.0)


def isolate(fleet, survivors):
    """Block the paths of some VMs to all others, but not to the platform."""
    for vm_id in survivors:
        for other_vm_id in set(fleet.worlds) - {vm_id}:
            fleet.blocked_links |= {(vm_id, other_vm_id), (other_vm_id, vm_id)}


LOSSES = [lose_all_others, lose_all_and_restart, isolate]
SURVIVORS = [last_of_each_zone, last_two_of_each_zone, last_of_one_zone]


# A VM that heard no other one waited for the readers among them forever.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("changed_after_s", [0.06, 0.7, 4.0])
@pytest.mark.parametrize("choose_survivors", SURVIVORS)
@pytest.mark.parametrize("lose", LOSSES)
def test_survivors_of_a_mass_loss_apply_changes_of_the_registry_in_time(
    lose, choose_survivors, changed_after_s, seed
):
    fleet = start_zones(seed)
    survivors = choose_survivors(fleet)
    lose(fleet, survivors)
    fleet.run(changed_after_s)
    fleet.add_server("1", zone="a", is_draining=True)
    fleet.configure(7, make_route())
    fleet.run(SPREAD_MAX_S)
    for vm_id in survivors:
        world = fleet.worlds[vm_id]
        assert world.backend_servers.fetch("1").is_draining
        assert registry_view(world, RegistryPart.CONFIGURATION).version == 7


def offered_vm_ids(fleet, vm_id):
    """Return the IDs of the VMs that a VM offers to a caller of its zone."""
    world = fleet.worlds[vm_id]
    connection = 10_000 + len(fleet.caller_replies)
    event = events.AddressesRequested(connection, "", "", world.local.zone)
    fleet.post(vm_id, event)
    offers = fleet.caller_replies[connection].command.offers
    addresses = {offer.address for offer in offers}
    return {vm.vm_id for vm in world.vms if vm.caller_address in addresses}


# A VM that heard no other one offered all that had been lost.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("choose_survivors", SURVIVORS)
@pytest.mark.parametrize("lose", LOSSES)
def test_survivors_of_a_mass_loss_offer_callers_few_lost_vms(
    lose, choose_survivors, seed
):
    fleet = start_zones(seed)
    survivors = choose_survivors(fleet)
    lose(fleet, survivors)
    fleet.run(SILENCE_MAX_S + 1.0)
    for vm_id in survivors:
        offered = offered_vm_ids(fleet, vm_id)
        assert vm_id in offered
        assert len(offered - set(survivors)) <= LOST_OFFERS_MAX


# The survivor of a zone left its duties to VMs that had been lost.
@pytest.mark.parametrize("seed", range(3))
def test_survivors_of_different_zones_meet_after_a_mass_loss(seed):
    fleet = start_zones(seed)
    survivors = last_of_each_zone(fleet)
    lose_all_others(fleet, survivors)
    fleet.run(30.0)
    for vm_id in survivors:
        world = fleet.worlds[vm_id]
        alive = {vm.vm_id for vm in world.vms.select("status", VmStatus.ALIVE)}
        assert alive == set(survivors)
