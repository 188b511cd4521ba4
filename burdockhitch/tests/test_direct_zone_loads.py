"""Tests the sums of a zone's loads that its VMs send to other zones."""

import pytest

from burdockhitch.systems.direct.registry_reads import better_ranked_vms
from burdockhitch.systems.direct.reports import last_reported_loads
from burdockhitch.tests.direct_fakes import make_route, start_fleet

ZONES = ("a", "b")


def start_busy_fleet():
    """Return a fleet in which requests of zone ``a`` fill all slots of the servers."""
    fleet = start_fleet(n_vms=6, n_servers=2, zones=ZONES)
    fleet.configure(2, make_route(is_idempotent=False))
    fleet.run(1.0)
    for number in range(6):
        fleet.send(f"vm-{number}")
    fleet.run(1.0)
    fleet.behaviour_by_server = dict.fromkeys(fleet.behaviour_by_server, "mute")
    for _ in range(12):
        for number in (0, 2, 4):
            fleet.send(f"vm-{number}", remaining_s=4.0)
    return fleet


def loads_known_of_zone_a(fleet, vm_id):
    world = fleet.worlds[vm_id]
    return {
        server.server_id: sum(
            row.n_in_flight
            for row in world.reported_loads.select("vm_id", "zone a")
            if row.server_id == server.server_id
        )
        for server in world.backend_servers
    }


def attempts_in_flight(fleet):
    return {
        server_id: sum(
            world.attempts.count("server_id", server_id)
            for world in fleet.worlds.values()
        )
        for server_id in ("1", "2")
    }


@pytest.mark.parametrize("is_first_killed", [False, True])
def test_every_vm_of_another_zone_learns_the_sum_of_loads(is_first_killed):
    fleet = start_busy_fleet()
    if is_first_killed:
        first_vm_id = next(
            vm_id
            for vm_id, world in fleet.worlds.items()
            if world.local.zone == "b" and not better_ranked_vms(world)
        )
        fleet.kill_vm(first_vm_id)
        fleet.run(5.0)
        for _ in range(12):
            for number in (0, 2, 4):
                fleet.send(f"vm-{number}", remaining_s=4.0)
    fleet.run(0.6)
    vm_ids_of_zone_b = [
        name for name, world in fleet.worlds.items() if world.local.zone == "b"
    ]
    assert sum(attempts_in_flight(fleet).values()) > 8
    for vm_id in vm_ids_of_zone_b:
        assert loads_known_of_zone_a(fleet, vm_id) == attempts_in_flight(fleet)
        total = sum(row.n_in_flight for row in fleet.worlds[vm_id].peer_load_totals)
        assert total >= sum(attempts_in_flight(fleet).values())


@pytest.mark.parametrize(
    "is_zone_a_killed", [False, True], ids=["requests ended", "reporting VMs killed"]
)
def test_an_outdated_sum_of_loads_is_dropped(is_zone_a_killed):
    fleet = start_busy_fleet()
    fleet.run(0.6)
    if is_zone_a_killed:
        for number in (0, 2, 4):
            fleet.kill_vm(f"vm-{number}")
        fleet.run(1.2)
    else:
        fleet.run(6.0)
    assert set(loads_known_of_zone_a(fleet, "vm-1").values()) == {0}


@pytest.mark.parametrize("waited_s", [0.1, 1.0, 1.7])
def test_heartbeats_do_not_change_reported_loads(waited_s):
    fleet = start_busy_fleet()
    fleet.run(waited_s)
    loads_reported_by_vm_0 = {
        load.server_id: load.n_in_flight
        for load in last_reported_loads(fleet.worlds["vm-0"])
    }
    loads_known_of_vm_0 = {
        row.server_id: row.n_in_flight
        for row in fleet.worlds["vm-2"].reported_loads.select("vm_id", "vm-0")
    }
    assert loads_reported_by_vm_0 and loads_known_of_vm_0 == loads_reported_by_vm_0
