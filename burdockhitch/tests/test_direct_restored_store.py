"""Tests that VMs follow a registry that was restored from an older copy."""

import pytest

from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tests.direct_fakes import make_route, start_fleet

# The users' bounds on how long a draining server or an older configuration is used.
DRAIN_S = 2.0
CONFIGURATION_S = 2.0
AWAY_S = 1.5
# Time from the return of the registry until the backend servers have written again.
REWRITTEN_S = 1.5
ZONES = ("a", "b")


def vms_that_use(fleet, server_id):
    """Return the VMs that list a server as one that takes requests."""
    return {
        vm_id
        for vm_id, world in fleet.worlds.items()
        if server_id in world.backend_servers
        and not world.backend_servers.fetch(server_id).is_draining
    }


def take_away(fleet):
    """Let the registry refuse all VMs for ``AWAY_S``."""
    fleet.registry.refused_vms = set(fleet.worlds)
    fleet.run(AWAY_S)
    fleet.registry.refused_vms = set()


def restore(fleet, backup):
    """Let the registry be away, and return from a copy."""
    take_away(fleet)
    fleet.registry.restore(backup)


def add_servers(fleet, count):
    """Add servers, which raises the registry's version by their number."""
    for number in range(count):
        fleet.add_server(f"new-{number}", zone=ZONES[number % len(ZONES)])


def drain(fleet, server_id):
    """Let a server report that it drains."""
    zone = fleet.registry.servers[server_id].zone
    fleet.add_server(server_id, zone=zone, is_draining=True)


@pytest.mark.parametrize("n_lost", [1, 5, 20])
@pytest.mark.parametrize("n_written_again", [0, 1, 5, 20, 30])
def test_a_server_that_drains_after_the_restore_gets_no_more_requests(
    n_lost, n_written_again
):
    fleet = start_fleet(n_vms=6, zones=ZONES)
    backup = fleet.registry.copy()
    add_servers(fleet, n_lost)
    fleet.run(3.0)
    restore(fleet, backup)
    add_servers(fleet, n_written_again)
    drain(fleet, "1")
    fleet.run(DRAIN_S)
    assert vms_that_use(fleet, "1") == set()


@pytest.mark.parametrize("n_lost", [1, 5])
@pytest.mark.parametrize("n_written_later", [1, 5, 30])
def test_a_drain_is_seen_under_a_version_that_was_given_out_before(
    n_lost, n_written_later
):
    fleet = start_fleet(n_vms=6, zones=ZONES)
    backup = fleet.registry.copy()
    add_servers(fleet, n_lost)
    fleet.run(3.0)
    restore(fleet, backup)
    drain(fleet, "1")
    add_servers(fleet, n_written_later)
    fleet.run(DRAIN_S)
    assert vms_that_use(fleet, "1") == set()


@pytest.mark.parametrize("n_lost", [1, 20])
@pytest.mark.parametrize("n_written_again", [0, 30])
def test_a_server_that_comes_after_the_restore_is_used(n_lost, n_written_again):
    fleet = start_fleet(n_vms=6, zones=ZONES)
    backup = fleet.registry.copy()
    add_servers(fleet, n_lost)
    fleet.run(3.0)
    restore(fleet, backup)
    add_servers(fleet, n_written_again)
    fleet.run(3.0)
    fleet.add_server("later", zone="b")
    fleet.run(DRAIN_S)
    assert vms_that_use(fleet, "later") == set(fleet.worlds)


@pytest.mark.parametrize("n_written_again", [0, 1, 30])
def test_a_configuration_of_the_lost_seconds_stays_in_force(n_written_again):
    fleet = start_fleet(n_vms=6, zones=ZONES)
    backup = fleet.registry.copy()
    fleet.configure(7, make_route(), make_route("added", prefix="/b/"))
    fleet.run(CONFIGURATION_S)
    take_away(fleet)
    fleet.registry.restore(backup)
    add_servers(fleet, n_written_again)
    for _step in range(40):
        fleet.run(0.1)
        versions = {
            registry_view(world, RegistryPart.CONFIGURATION).version
            for world in fleet.worlds.values()
        }
        assert versions == {7}
    fleet.configure(9, make_route())
    fleet.run(CONFIGURATION_S)
    assert {
        registry_view(world, RegistryPart.CONFIGURATION).version
        for world in fleet.worlds.values()
    } == {9}
