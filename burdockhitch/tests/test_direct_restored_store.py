"""Tests that VMs follow a registry that was restored from an older copy."""

import pytest

from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.restores import SUSPENDED_S
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tests.direct_fakes import make_route, make_server, start_fleet

# The users' bounds on how long a draining server or an older configuration is used.
DRAIN_S = 2.0
CONFIGURATION_S = 2.0
AWAY_S = 1.5
# Time after which the registry removes the entries of servers that don't write: three
# heartbeats.
SILENT_REMOVED_S = 4.5
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


def entry(number, **fields):
    """Return fields of an entry that the second process of a server has written."""
    return {"process_started_ms": 2, "sequence": number, "zone": "a", **fields}


def start_with_entry(n_vms=6):
    """Return a fleet with a server "s", and a backup.

    The entry has number 3 as VMs know it, and 5 in the backup: a server's heartbeats
    raise the number without a new version.
    """
    fleet = start_fleet(n_vms=n_vms, zones=ZONES)
    fleet.add_server("s", **entry(3))
    fleet.run(2.0)
    fleet.registry.servers["s"] = make_server("s", **entry(5))
    return fleet, fleet.registry.copy()


DEPARTURES = {
    "drains": [entry(6, is_draining=True)],
    "drains and leaves": [entry(6, is_draining=True), None],
    "leaves": [None],
    "leaves and an older process writes": [None, entry(9, process_started_ms=1), None],
}


@pytest.mark.parametrize("departure", DEPARTURES.values(), ids=DEPARTURES)
def test_a_server_that_left_in_the_lost_seconds_is_not_used_again(departure):
    fleet, backup = start_with_entry()
    for fields in departure:
        if fields is None:
            fleet.remove_server("s")
        else:
            fleet.add_server("s", **fields)
        fleet.run(2.0)
    restore(fleet, backup)
    restored_at_s = fleet.clock.elapsed_s
    used_by = set()
    for _step in range(120):
        fleet.run(0.1)
        used_by |= vms_that_use(fleet, "s")
        elapsed_s = fleet.clock.elapsed_s - restored_at_s
        if "s" in fleet.registry.servers and elapsed_s >= SILENT_REMOVED_S:
            fleet.remove_server("s")
    assert used_by == set()


def restore_again(fleet, backup):
    """Restore the registry once more from the same copy."""
    fleet.registry.restore(backup)


def read_whole(fleet, _backup):
    """Let readers read the whole list, with a newer version."""
    fleet.registry.is_history_gone = True
    fleet.add_server("other")


def change_readers(fleet, _backup):
    """Refuse the calls of half of the VMs, so that others read the list whole."""
    fleet.registry.refused_vms = {"vm-0", "vm-1", "vm-2"}
    fleet.run(2.0)
    fleet.add_server("other")


LATER = {
    "restored again": restore_again,
    "list read whole": read_whole,
    "other readers": change_readers,
}


@pytest.mark.parametrize("change", LATER.values(), ids=LATER)
def test_a_server_that_left_stays_away_until_the_registry_removes_it(change):
    fleet, backup = start_with_entry()
    fleet.remove_server("s")
    fleet.run(2.0)
    restore(fleet, backup)
    restored_at_s = fleet.clock.elapsed_s
    fleet.run(1.0)
    change(fleet, backup)
    if change is restore_again:
        restored_at_s = fleet.clock.elapsed_s
    used_by = set()
    for _step in range(100):
        fleet.run(0.1)
        used_by |= vms_that_use(fleet, "s")
        if fleet.clock.elapsed_s - restored_at_s >= SILENT_REMOVED_S:
            if "s" in fleet.registry.servers:
                fleet.remove_server("s")
    assert used_by == set()


@pytest.mark.parametrize("loss_ratio", [0.0, 0.2])
@pytest.mark.parametrize("is_vm_late", [False, True])
def test_a_server_that_only_lapsed_in_the_lost_seconds_is_used_again(
    is_vm_late, loss_ratio
):
    fleet, backup = start_with_entry()
    fleet.remove_server("s")
    fleet.run(2.0)
    fleet.loss_ratio = loss_ratio
    if is_vm_late:
        fleet.registry.refused_vms = {"vm-5"}
        fleet.blocked_links = {("vm-5", f"vm-{n}") for n in range(5)}
        fleet.blocked_links |= {(f"vm-{n}", "vm-5") for n in range(5)}
    backup.servers["s"] = make_server("s", **entry(5))
    fleet.registry.restore(backup)
    fleet.run(SILENT_REMOVED_S)
    assert vms_that_use(fleet, "s") == set()
    fleet.blocked_links.clear()
    fleet.registry.refused_vms = set()
    # A VM waits from its own learning of the restore.
    fleet.run(4.0 + SUSPENDED_S)
    assert vms_that_use(fleet, "s") == set(fleet.worlds)


RETURNS = {
    "the same process": entry(7),
    "a new process": entry(1, process_started_ms=3),
}


@pytest.mark.parametrize("fields", RETURNS.values(), ids=RETURNS)
@pytest.mark.parametrize("left", ["is_draining", "is_removed"])
def test_a_server_that_writes_anew_after_the_restore_is_used(left, fields):
    fleet, backup = start_with_entry()
    if left == "is_draining":
        fleet.add_server("s", **entry(6, is_draining=True))
    else:
        fleet.remove_server("s")
    fleet.run(2.0)
    restore(fleet, backup)
    fleet.run(1.0)
    fleet.add_server("s", **fields)
    fleet.run(DRAIN_S)
    assert vms_that_use(fleet, "s") == set(fleet.worlds)


@pytest.mark.parametrize("is_written_again", [True, False])
def test_a_server_of_the_lost_seconds_stays_only_if_it_writes_again(is_written_again):
    fleet = start_fleet(n_vms=6, zones=ZONES)
    backup = fleet.registry.copy()
    fleet.add_server("s", **entry(1))
    fleet.run(2.0)
    restore(fleet, backup)
    fleet.run(REWRITTEN_S)
    assert vms_that_use(fleet, "s") == set(fleet.worlds)
    if is_written_again:
        fleet.add_server("s", **entry(2))
    fleet.run(DRAIN_S)
    assert vms_that_use(fleet, "s") == (
        set(fleet.worlds) if is_written_again else set()
    )


def test_vms_write_their_rows_again_after_a_restore():
    fleet = start_fleet(n_vms=0, zones=ZONES)
    backup = fleet.registry.copy()
    for number in range(4):
        fleet.add_vm(f"vm-{number}", ZONES[number % 2])
    fleet.run(3.0)
    restore(fleet, backup)
    fleet.run(8.0)
    assert set(fleet.registry.vms) == set(fleet.worlds)


def test_a_vm_that_missed_two_restores_follows_the_last():
    fleet, backup = start_with_entry()
    fleet.registry.refused_vms = {"vm-0"}
    for name in ("vm-1", "vm-2", "vm-3", "vm-4", "vm-5"):
        fleet.blocked_links |= {("vm-0", name), (name, "vm-0")}
    for number in range(2):
        fleet.registry.restore(backup)
        add_servers(fleet, number + 1)
        fleet.run(3.0)
    fleet.blocked_links.clear()
    fleet.registry.refused_vms = set()
    drain(fleet, "1")
    fleet.run(6.0)
    assert vms_that_use(fleet, "1") == set()
    assert vms_that_use(fleet, "new-1") == set(fleet.worlds)
