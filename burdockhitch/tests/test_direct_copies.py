"""Tests that copies between VMs leave none with an entry of an older version."""

import random
from typing import Any, NamedTuple

import pytest

from burdockhitch import events
from burdockhitch.systems.direct import registry_changes
from burdockhitch.systems.direct.configuration import (
    apply_configuration,
    registry_view,
)
from burdockhitch.systems.direct.registry_reads import rank_in_zone
from burdockhitch.systems.direct.servers import apply_servers
from burdockhitch.systems.direct.snapshots import PURPOSE_SNAPSHOT, make_snapshot
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tests.direct_fakes import (
    DirectFleet,
    make_configuration,
    make_route,
    make_server,
    start_fleet,
)
from burdockhitch.world import start_platform_operation

CONFIGURATION, SERVERS = RegistryPart.CONFIGURATION, RegistryPart.SERVERS
GOOD_ROUTE, BAD_ROUTE = make_route(n_tries_max=2), make_route(n_tries_max=7)


def read_configuration(world, version, *routes):
    """Apply a configuration as if it was read from the platform."""
    document = make_configuration(version, *routes)
    apply_configuration(world, document, "platform", world.clock.now())


def read_servers(world, version, *servers):
    """Apply a list of servers as if the whole list was read from the platform."""
    apply_servers(world, servers, (), version, True, "platform", world.clock.now())


class Reverted(NamedTuple):
    """A registry part in which a change is reverted two versions later.

    Attributes:
        part: Registry part.
        read: Function that applies a version as if it was read from the platform.
        good: Entries before the change and after it was reverted.
        bad: Entries between.
    """

    part: RegistryPart
    read: Any
    good: tuple[Any, ...]
    bad: tuple[Any, ...]


REVERTED = [
    pytest.param(
        Reverted(CONFIGURATION, read_configuration, (GOOD_ROUTE,), (BAD_ROUTE,)),
        id="changed route",
    ),
    pytest.param(
        Reverted(
            CONFIGURATION,
            read_configuration,
            (GOOD_ROUTE, make_route("s")),
            (GOOD_ROUTE,),
        ),
        id="removed route",
    ),
    pytest.param(
        Reverted(
            SERVERS,
            read_servers,
            (make_server("1"),),
            (make_server("1"), make_server("2")),
        ),
        id="added server",
    ),
    pytest.param(
        Reverted(
            SERVERS,
            read_servers,
            (make_server("1"),),
            (make_server("1", is_draining=True),),
        ),
        id="draining server",
    ),
]


def held_version(world, part):
    return registry_view(world, part).version


def held_entries(world, part):
    """Return a VM's version of a registry part and its entries."""
    rows = world.prefix_routes if part is CONFIGURATION else world.backend_servers
    return held_version(world, part), set(rows)


def request_snapshot(fleet, source_id, target_id):
    """Return what a VM's copy from another one would hold if it was read now."""
    target = fleet.worlds[target_id]
    return make_snapshot(
        fleet.worlds[source_id],
        held_version(target, CONFIGURATION),
        held_version(target, SERVERS),
        n_vms=99,
        now=fleet.clock.now(),
    )


def deliver_snapshot(fleet, snapshot, source_id, target_id):
    world, now = fleet.worlds[target_id], fleet.clock.now()
    operation_id = start_platform_operation(world, PURPOSE_SNAPSHOT, source_id, now)
    fleet.post(target_id, events.SnapshotRead(operation_id, None, snapshot, 0))


def copy_registry(fleet, source_id, target_id):
    snapshot = request_snapshot(fleet, source_id, target_id)
    deliver_snapshot(fleet, snapshot, source_id, target_id)


def make_fleet(n_vms):
    """Return a fleet whose VMs have just started and know no others."""
    fleet = DirectFleet()
    for number in range(n_vms):
        fleet.add_vm(f"vm-{number}")
    return fleet


@pytest.mark.parametrize("late_version", [108, 109, 110, 111])
@pytest.mark.parametrize("n_copiers", [1, 3])
@pytest.mark.parametrize("reverted", REVERTED)
def test_a_reverted_entry_stays_on_no_vm_that_copies_from_a_copier(
    reverted, n_copiers, late_version
):
    fleet = make_fleet(n_copiers + 2)
    reader, *_, late = fleet.worlds.values()
    for world in fleet.worlds.values():
        reverted.read(world, 108, *reverted.good)
    if late_version > 108:
        reverted.read(late, late_version, *reverted.bad)
    reverted.read(reader, 112, *reverted.good)
    for number in range(n_copiers + 1):
        copy_registry(fleet, f"vm-{number}", f"vm-{number + 1}")
    assert held_entries(late, reverted.part) == (112, set(reverted.good))


@pytest.mark.parametrize(
    ("late_version", "is_complete"),
    [
        (100, True),
        (101, False),
        (104, False),
        (106, True),
        (108, False),
        (109, True),
        (111, True),
        (112, False),
        (115, False),
        (116, False),
        (117, True),
    ],
)
@pytest.mark.parametrize("n_copiers", [0, 1, 3])
def test_only_versions_that_the_source_or_its_source_skipped_cost_a_whole_copy(
    n_copiers, late_version, is_complete
):
    fleet = make_fleet(n_copiers + 1)
    first = fleet.worlds["vm-0"]
    now = fleet.clock.now()
    for world in fleet.worlds.values():
        read_servers(world, 101, make_server("1"))
    for version in (104, 105):
        apply_servers(first, (make_server(f"{version}"),), (), version, False, "", now)
    listed = list(first.backend_servers)
    read_servers(first, 108, *listed)
    read_servers(first, 112, *listed)
    apply_servers(first, (make_server("115"),), (), 115, False, "", now)
    apply_servers(first, (make_server("116"),), (), 116, False, "", now)
    read_servers(first, 118, *first.backend_servers)
    for number in range(n_copiers):
        copy_registry(fleet, f"vm-{number}", f"vm-{number + 1}")
    last = fleet.worlds[f"vm-{n_copiers}"]
    copy = make_snapshot(last, 0, late_version, 99, now).servers
    assert (copy.version, copy.is_complete) == (118, is_complete)


@pytest.mark.parametrize("reverted", REVERTED)
def test_changes_are_not_merged_into_a_version_that_arrived_meanwhile(reverted):
    fleet = start_fleet(n_vms=2)
    reader, late = fleet.worlds.values()
    for world in fleet.worlds.values():
        reverted.read(world, 108, *reverted.good)
    reverted.read(reader, 112, *reverted.good)
    snapshot = request_snapshot(fleet, "vm-0", "vm-1")
    reverted.read(late, 110, *reverted.bad)
    deliver_snapshot(fleet, snapshot, "vm-0", "vm-1")
    assert held_entries(late, reverted.part) == (110, set(reverted.bad))
    assert "stale_copy_dropped" in {
        command.event for vm_id, command in fleet.logs if vm_id == "vm-1"
    }
    # The next copy doesn't wait for the source's heartbeat.
    fleet.loss_ratio = 1.0
    fleet.run(0.1)
    assert held_entries(late, reverted.part) == (112, set(reverted.good))


@pytest.mark.parametrize("seed", range(8))
def test_a_rollback_of_the_configuration_reaches_every_vm(seed):
    fleet = start_fleet(n_vms=8, zones=("a", "b"), seed=seed)
    good, bad = make_route(priority=1), make_route(priority=2)
    fleet.configure(10, good)
    fleet.run(1.0)
    inside = [vm_id for vm_id, world in fleet.worlds.items() if world.local.zone == "a"]
    inside.sort(key=lambda vm_id: rank_in_zone("a", vm_id))
    outside = set(fleet.worlds) - set(inside)
    late = inside[-1]
    # Zone a has lost the platform, and only one of its VMs, which the others don't
    # hear, copies the bad version from zone b.
    fleet.registry.refused_vms |= set(inside)
    for vm_id in inside[:-1]:
        for other_id in (*outside, late):
            fleet.blocked_links |= {(vm_id, other_id), (other_id, vm_id)}
    fleet.configure(11, bad)
    fleet.run(1.5)
    assert held_entries(fleet.worlds[late], CONFIGURATION) == (11, {bad})
    # The rollback comes to the others from the platform, which skips the bad version.
    fleet.configure(12, good)
    for other_id in outside:
        fleet.blocked_links |= {(late, other_id), (other_id, late)}
    fleet.registry.refused_vms.clear()
    fleet.run(3.0)
    fleet.blocked_links.clear()
    fleet.run(20.0)
    for world in fleet.worlds.values():
        assert held_entries(world, CONFIGURATION) == (12, {good})


class Platform:
    """All versions of a list of servers and of a configuration.

    Args:
        rng: Source of the changes.
    """

    def __init__(self, rng):
        self.rng = rng
        self.servers = {10: {}}
        self.routes = {10: {}}

    def change(self):
        """Write a version of each part in which a few entries differ."""
        for versions, make_entry, field in (
            (self.servers, make_server, "n_slots"),
            (self.routes, make_route, "priority"),
        ):
            version = max(versions) + self.rng.randrange(1, 4)
            entries = dict(versions[max(versions)])
            for _ in range(self.rng.randrange(3)):
                entry_id = str(self.rng.randrange(6))
                if entries.pop(entry_id, None) is None or self.rng.random() < 0.5:
                    value = self.rng.randrange(2)
                    entries[entry_id] = make_entry(entry_id, **{field: value})
            versions[version] = entries

    def expected(self, world, part):
        """Return the entries of the version that a VM holds."""
        versions = self.routes if part is CONFIGURATION else self.servers
        version = held_version(world, part)
        return version, set(versions[version].values())

    def read_whole(self, world):
        """Let a VM read the whole newest version of one part, or of both."""
        if self.rng.random() < 0.7:
            version = max(self.servers)
            read_servers(world, version, *self.servers[version].values())
        if self.rng.random() < 0.7:
            version = max(self.routes)
            read_configuration(world, version, *self.routes[version].values())

    def read_changes(self, world):
        """Let a VM read which servers changed since its version or an older one."""
        version = held_version(world, SERVERS)
        if version == 0:
            return
        from_version = self.rng.choice([v for v in self.servers if v <= version][-3:])
        entries = self.servers[max(self.servers)]
        changed = {
            server_id
            for v in self.servers
            if v > from_version
            for server_id in {*self.servers[v], *self._previous(v)}
            if self.servers[v].get(server_id) != self._previous(v).get(server_id)
        }
        rows = tuple(entries[one] for one in changed if one in entries)
        removed = tuple(one for one in changed if one not in entries)
        newest = max(self.servers)
        apply_servers(world, rows, removed, newest, False, "", world.clock.now())

    def _previous(self, version):
        return self.servers[max(v for v in self.servers if v < version)]


@pytest.mark.parametrize("records_max", [2, 1000])
@pytest.mark.parametrize("seed", range(15))
def test_a_vm_holds_all_entries_of_its_version_after_each_copy(
    seed, records_max, monkeypatch
):
    monkeypatch.setattr(registry_changes, "CHANGES_MAX", records_max)
    monkeypatch.setattr(registry_changes, "GAPS_MAX", records_max)
    rng = random.Random(seed)
    platform = Platform(rng)
    fleet = make_fleet(5)
    for _ in range(400):
        platform.change()
        source_id, target_id = rng.sample(list(fleet.worlds), 2)
        target = fleet.worlds[target_id]
        action = rng.random()
        if action < 0.15:
            platform.read_whole(target)
        elif action < 0.3:
            platform.read_changes(target)
        elif action < 0.8:
            copy_registry(fleet, source_id, target_id)
        else:
            # The target copies from another VM while this copy is under way.
            platform.change()
            platform.read_whole(fleet.worlds[source_id])
            snapshot = request_snapshot(fleet, source_id, target_id)
            copy_registry(fleet, rng.choice(list(fleet.worlds)), target_id)
            deliver_snapshot(fleet, snapshot, source_id, target_id)
        for world in fleet.worlds.values():
            for part in (CONFIGURATION, SERVERS):
                if held_version(world, part) > 0:
                    expected = platform.expected(world, part)
                    assert held_entries(world, part) == expected
