"""Tests the reports of a zone that one of its VMs sends to other zones.

They go to two VMs of each other zone, and the first of them in rank forwards them
within its zone.
"""

from collections import Counter

import pytest

from burdockhitch import events
from burdockhitch.systems.direct.membership import (
    HEARTBEAT_TIMEOUT_S,
    apply_vm_row,
    apply_zone_members,
)
from burdockhitch.systems.direct.registry_reads import better_ranked_vms, rank_in_zone
from burdockhitch.systems.direct.reports import last_reported_loads, report_observation
from burdockhitch.systems.direct.server_estimates import FAILURE, p_failing
from burdockhitch.systems.direct.zone_reports import (
    MEMBERS_PERIOD_S,
    ZONE_REPORT_PERIOD_S,
    is_forwarder,
)
from burdockhitch.tables.vms import VmStatus
from burdockhitch.tests.direct_fakes import make_route, start_fleet
from burdockhitch.world import count_posted_events

ZONES = ("a", "b")


def start_busy_fleet():
    """Return a fleet in which requests to VMs of zone ``a`` fill all servers' slots."""
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
    """Return the attempts of zone ``a`` in flight by server, as a VM knows them."""
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
        forwarder_id = next(
            vm_id
            for vm_id, world in fleet.worlds.items()
            if world.local.zone == "b" and is_forwarder(world, "a")
        )
        fleet.kill_vm(forwarder_id)
        fleet.run(5.0)
        for _ in range(12):
            for number in (0, 2, 4):
                fleet.send(f"vm-{number}", remaining_s=4.0)
    fleet.run(0.6)
    vm_ids_of_zone_b = [
        vm_id for vm_id, world in fleet.worlds.items() if world.local.zone == "b"
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


def test_a_failure_counts_once_on_every_vm_of_all_zones():
    fleet = start_fleet(n_vms=12, n_servers=3, zones=("a", "b", "c"))
    world = fleet.worlds["vm-0"]
    report_observation(world, "1", FAILURE, world.clock.now())
    fleet.run(2 * ZONE_REPORT_PERIOD_S)
    now = fleet.clock.now()
    estimates = [
        p_failing(other.server_estimates.fetch("1"), now)
        for other in fleet.worlds.values()
    ]
    assert min(estimates) > 0.5
    assert max(estimates) - min(estimates) < 0.1


@pytest.mark.parametrize("n_zones", [3, 6])
def test_messages_that_a_vm_gets_do_not_grow_with_the_vms_of_other_zones(n_zones):
    """At 3 and at 6 zones, 4 VMs a zone: own heartbeats, and reports of other zones."""
    zones = tuple(f"zone-{number}" for number in range(n_zones))
    fleet = start_fleet(n_vms=4 * n_zones, n_servers=3, zones=zones)
    fleet.run(5.0)
    worlds = list(fleet.worlds.values())
    before = [count_posted_events(world, events.VmMessageArrived) for world in worlds]
    duration_s = 12.0
    fleet.run(duration_s)
    after = [count_posted_events(world, events.VmMessageArrived) for world in worlds]
    n_heartbeats = 3 * (duration_s + 1)
    n_lists = 2 * (n_zones - 1) * (duration_s / MEMBERS_PERIOD_S + 1)
    n_received = [end - start for start, end in zip(before, after, strict=True)]
    # A reader announces each of the platform's answers by a heartbeat.
    assert max(n_received) <= 3 * n_heartbeats + n_lists


@pytest.mark.parametrize("is_first_in_rank", [False, True])
def test_a_dead_vm_of_another_zone_is_not_taken_for_alive(is_first_in_rank):
    fleet = start_fleet(n_vms=12, n_servers=3, zones=("a", "b", "c"))
    fleet.run(2.0)
    killed_vm_id = next(
        vm_id
        for vm_id, world in fleet.worlds.items()
        if world.local.zone == "b"
        and (not better_ranked_vms(world)) is is_first_in_rank
    )
    fleet.kill_vm(killed_vm_id)
    # It is silent in its zone first, and then missing in two lists of that zone.
    fleet.run(HEARTBEAT_TIMEOUT_S + 1.0 + 2 * MEMBERS_PERIOD_S)
    for world in fleet.worlds.values():
        assert world.vms.fetch(killed_vm_id).status is VmStatus.DEAD
        alive = [vm for vm in world.vms if vm.status is VmStatus.ALIVE]
        assert len(alive) == 11


def test_not_one_vm_forwards_the_reports_of_all_zones():
    """With five zones, a VM that forwarded all would send four reports to its zone."""
    zones = tuple(f"zone-{number}" for number in range(5))
    fleet = start_fleet(n_vms=40, n_servers=3, zones=zones)
    forwarders = [
        (vm_id, zone)
        for vm_id, world in fleet.worlds.items()
        for zone in zones
        if zone != world.local.zone and is_forwarder(world, zone)
    ]
    assert len(forwarders) == 5 * 4
    assert max(Counter(vm_id for vm_id, _ in forwarders).values()) <= 2


def vms_in_rank(fleet, zone):
    vm_ids = [vm_id for vm_id in fleet.worlds if fleet.worlds[vm_id].local.zone == zone]
    return sorted(vm_ids, key=lambda vm_id: rank_in_zone(zone, vm_id))


def links_between(vm_ids, other_vm_ids):
    return {(a, b) for a in vm_ids for b in other_vm_ids} | {
        (b, a) for a in vm_ids for b in other_vm_ids
    }


def test_a_lost_path_between_two_vms_does_not_separate_their_zones():
    fleet = start_fleet(n_vms=12, zones=("a", "b", "c"))
    forwarder_id = next(
        vm_id
        for vm_id in vms_in_rank(fleet, "b")
        if is_forwarder(fleet.worlds[vm_id], "a")
    )
    fleet.blocked_links.add((vms_in_rank(fleet, "a")[0], forwarder_id))
    fleet.run(20.0)
    for world in fleet.worlds.values():
        assert world.vms.count("status", VmStatus.ALIVE) == 12
    reporter = fleet.worlds[vms_in_rank(fleet, "a")[0]]
    report_observation(reporter, "1", FAILURE, reporter.clock.now())
    fleet.run(3 * ZONE_REPORT_PERIOD_S)
    now = fleet.clock.now()
    for vm_id in vms_in_rank(fleet, "b"):
        estimate = fleet.worlds[vm_id].server_estimates.fetch("1")
        assert p_failing(estimate, now) > 0.4


@pytest.mark.parametrize("cut_s", [8.0, 20.0, 60.0])
def test_an_isolated_zone_is_found_again(cut_s):
    fleet = start_fleet(n_vms=9, zones=("a", "b", "c"))
    inside = vms_in_rank(fleet, "a")
    links = links_between(inside, set(fleet.worlds) - set(inside))
    fleet.blocked_links |= links
    fleet.run(cut_s)
    fleet.blocked_links -= links
    fleet.run(20.0)
    for world in fleet.worlds.values():
        assert world.vms.count("status", VmStatus.ALIVE) == 9


def test_a_late_list_of_vms_does_not_revert_a_leaving_vm_to_alive():
    fleet = start_fleet(n_vms=4, zones=("a", "b"))
    world = fleet.worlds["vm-0"]
    now = fleet.clock.now()
    listed = fleet.worlds["vm-1"].vms.fetch("vm-1")
    leaving = listed._replace(status=VmStatus.LEAVING, is_ready=False)
    apply_vm_row(world, leaving, now)
    other = fleet.worlds["vm-3"].vms.fetch("vm-3")
    apply_zone_members(world, "b", (listed, other), now)
    assert world.vms.fetch("vm-1").status is VmStatus.LEAVING


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(
    ("n_zones", "n_servers", "requests_per_s"), [(3, 12, 30), (5, 40, 100)]
)
def test_calm_fleets_do_not_send_requests_to_other_zones(
    n_zones, n_servers, requests_per_s, is_idempotent
):
    """Other zones' successes must be known, or their servers are explored."""
    zones = tuple(f"zone-{number}" for number in range(n_zones))
    fleet = start_fleet(n_vms=4 * n_zones, n_servers=n_servers, zones=zones)
    fleet.configure(2, make_route(is_idempotent=is_idempotent))
    fleet.run(1.0)
    zone_by_request = {}
    for _ in range(12 * requests_per_s):
        vm_id = fleet.rng.choice(list(fleet.worlds))
        zone = fleet.worlds[vm_id].local.zone
        zone_by_request[f"id-{fleet.send(vm_id)}"] = zone
        fleet.run(1.0 / requests_per_s)
    attempts = [
        attempt
        for attempt in fleet.issued_attempts
        if attempt.at_s > fleet.clock.elapsed_s - 8.0
    ]
    n_other_zone = sum(
        fleet.registry.servers[attempt.server_id].zone
        != zone_by_request[attempt.request_id]
        for attempt in attempts
    )
    assert n_other_zone <= 0.05 * len(attempts)
