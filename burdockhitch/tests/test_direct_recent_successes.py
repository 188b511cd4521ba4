"""Tests when a VM reports recent successes of backend servers to other VMs."""

import pytest

from burdockhitch.systems.direct.recent_successes import (
    pop_unreported_for_other_zones,
    pop_unreported_in_zone,
    record_own_success,
)
from burdockhitch.systems.direct.reports import report_observation
from burdockhitch.systems.direct.server_estimates import SUCCESS, p_failing
from burdockhitch.tests.direct_fakes import make_route, start_fleet

ZONES = ("a", "b")


def fill_most_slots(fleet):
    """Fill most slots and let each VM learn it, so that the VMs report loads."""
    fleet.configure(2, make_route(is_idempotent=False))
    fleet.run(1.0)
    for world in fleet.worlds.values():
        fleet.send(world.local.vm_id)
    fleet.run(1.0)
    fleet.behaviour_by_server = {
        server_id: "mute" if server_id != "1" else "ok"
        for server_id in fleet.behaviour_by_server
    }
    for _ in range(30):
        for world in fleet.worlds.values():
            fleet.send(world.local.vm_id)
    fleet.run(1.0)


def p_failing_of_server_1(fleet, vm_id):
    world = fleet.worlds[vm_id]
    return p_failing(world.server_estimates.fetch("1"), world.clock.now())


def count_zone_reports(world):
    """Return how many reports of other zones a VM has applied."""
    row = world.received_zone_reports.get("a")
    return int(row.report_id.rpartition(".")[2]) if row else 0


@pytest.mark.parametrize(
    "is_busy", [True, False], ids=["most slots taken", "slots free"]
)
def test_success_reaches_other_zones_in_few_messages(is_busy):
    fleet = start_fleet(n_vms=4, n_servers=4, zones=ZONES)
    if is_busy:
        fill_most_slots(fleet)
    fleet.run(5.0 if not is_busy else 0.0)
    before = {vm_id: p_failing_of_server_1(fleet, vm_id) for vm_id in ("vm-1", "vm-2")}
    other_zone = fleet.worlds["vm-1"]
    n_reports_before = count_zone_reports(other_zone)
    world = fleet.worlds["vm-0"]
    n_periods = 5
    for _ in range(n_periods):
        for _ in range(10):
            report_observation(world, "1", SUCCESS, world.clock.now())
        fleet.send("vm-0")
        fleet.run(0.21)
    for vm_id, p_failing_before in before.items():
        assert p_failing_of_server_1(fleet, vm_id) < 0.9 * p_failing_before
    assert count_zone_reports(other_zone) - n_reports_before <= n_periods + 1


@pytest.mark.parametrize(
    ("age_s", "is_reported"), [(0.0, True), (0.9, True), (1.1, False)]
)
def test_success_is_reported_once_and_only_within_a_second(age_s, is_reported):
    fleet = start_fleet(n_vms=2, n_servers=2)
    world = fleet.worlds["vm-0"]
    record_own_success(world, "1", world.clock.now())
    fleet.clock.elapsed_s += age_s
    for pop_unreported in (pop_unreported_in_zone, pop_unreported_for_other_zones):
        server_ids = pop_unreported(world, world.clock.now())
        assert server_ids == (("1",) if is_reported else ())
        assert pop_unreported(world, world.clock.now()) == ()
