"""Tests how registry changes and the VM list spread through a fleet under faults."""

import random
from typing import NamedTuple

import pytest

from burdockhitch import events
from burdockhitch.direct_messages import Report, Snapshot
from burdockhitch.platform.peers import PeerResource, decode_snapshot
from burdockhitch.systems.direct import registry_changes
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.registry_reads import (
    READER_STALE_S,
    is_reader,
    rank_in_zone,
)
from burdockhitch.systems.direct.servers import apply_servers
from burdockhitch.systems.direct.snapshots import make_snapshot, record_sent_copy
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.vms import VmRow, VmStatus
from burdockhitch.tests.direct_fakes import (
    SERVICE,
    DirectFleet,
    make_configuration,
    make_route,
    make_server,
    start_fleet,
)

ZONES = ("a", "b", "c")
# Times within which every VM must apply a change of the registry.
DRAIN_SPREAD_MAX_S = 2.0
CONFIGURATION_SPREAD_MAX_S = 2.0


def configuration_versions(fleet):
    return {
        vm_id: registry_view(world, RegistryPart.CONFIGURATION).version
        for vm_id, world in fleet.worlds.items()
    }


def wait_until_all(fleet, has_applied, wait_max_s=8.0):
    """Run until all VMs have applied a change; return after how many seconds."""
    started_at_s = fleet.clock.elapsed_s
    while not all(has_applied(world) for world in fleet.worlds.values()):
        assert fleet.clock.elapsed_s < started_at_s + wait_max_s
        fleet.run(0.05)
    return fleet.clock.elapsed_s - started_at_s


def refuse_all_vms(fleet):
    fleet.registry.refused_vms |= set(fleet.worlds)


def refuse_vms_of_zone_a(fleet):
    fleet.registry.refused_vms |= {
        vm_id for vm_id, world in fleet.worlds.items() if world.local.zone == "a"
    }


def kill_readers_of_zone_a(fleet):
    now = fleet.clock.now()
    for vm_id, world in list(fleet.worlds.items()):
        if world.local.zone == "a" and is_reader(world, now):
            fleet.kill_vm(vm_id)


def lose_messages(fleet):
    fleet.loss_ratio = 0.3


def discard_history(fleet):
    fleet.registry.is_history_gone = True


def cause_no_fault(fleet):
    pass


FAULTS = [
    cause_no_fault,
    refuse_vms_of_zone_a,
    kill_readers_of_zone_a,
    lose_messages,
    discard_history,
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cause_fault", FAULTS)
def test_every_vm_stops_using_a_draining_server_in_time(cause_fault, seed):
    fleet = start_fleet(n_vms=9, n_servers=6, zones=ZONES, seed=seed)
    cause_fault(fleet)
    fleet.add_server("1", zone="a", is_draining=True)
    fleet.run(DRAIN_SPREAD_MAX_S)
    for vm_id in fleet.worlds:
        for _ in range(20):
            fleet.send(vm_id)
    assert "1" not in {attempt.server_id for attempt in fleet.issued_attempts}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cause_fault", FAULTS)
def test_every_vm_applies_a_configuration_in_time(cause_fault, seed):
    fleet = start_fleet(n_vms=9, zones=ZONES, seed=seed)
    cause_fault(fleet)
    fleet.configure(7, make_route())
    fleet.run(CONFIGURATION_SPREAD_MAX_S)
    assert set(configuration_versions(fleet).values()) == {7}


def vms_in_rank(fleet, zone):
    """Return the IDs of the VMs of a zone, in rank."""
    vm_ids = [vm_id for vm_id in fleet.worlds if fleet.worlds[vm_id].local.zone == zone]
    return sorted(vm_ids, key=lambda vm_id: rank_in_zone(zone, vm_id))


def isolate_zone_a(fleet):
    """Block everything between the VMs of zone a and those of other zones."""
    inside = set(vms_in_rank(fleet, "a"))
    outside = set(fleet.worlds) - inside
    fleet.blocked_links |= {(a, b) for a in inside for b in outside}
    fleet.blocked_links |= {(b, a) for a in inside for b in outside}


def silence_first_readers_of_all_zones(fleet):
    fleet.registry.silenced_vms |= {vms_in_rank(fleet, zone)[0] for zone in ZONES}


def isolate_zone_a_and_report(fleet):
    """Isolate zone a, and let its VMs send reports, which don't tell of the store."""
    isolate_zone_a(fleet)
    fleet.behaviour_by_server = dict.fromkeys(fleet.behaviour_by_server, "error")
    for vm_id in vms_in_rank(fleet, "a"):
        for number in range(40):
            fleet.later(0.1 * number, lambda vm_id=vm_id: fleet.send(vm_id))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("changed_after_s", [0.1, 0.5, 1.0, 1.5, 2.5])
@pytest.mark.parametrize("n_silenced", [1, 2])
@pytest.mark.parametrize(
    "cause_fault",
    [
        cause_no_fault,
        lose_messages,
        silence_first_readers_of_all_zones,
        isolate_zone_a,
        isolate_zone_a_and_report,
    ],
)
def test_changes_reach_a_zone_whose_first_readers_silently_lose_the_platform(
    cause_fault, n_silenced, changed_after_s, seed
):
    fleet = start_fleet(n_vms=12, n_servers=6, zones=ZONES, seed=seed)
    # So long that only the first of each zone still reads.
    fleet.run(4.0 + seed * 0.7)
    fleet.registry.silenced_vms.update(vms_in_rank(fleet, "a")[:n_silenced])
    cause_fault(fleet)
    fleet.run(changed_after_s)
    fleet.add_server("1", zone="a", is_draining=True)
    fleet.configure(7, make_route())
    fleet.run(DRAIN_SPREAD_MAX_S)
    others = set(fleet.worlds) - fleet.registry.silenced_vms
    late_vms = {
        vm_id
        for vm_id in others
        if not fleet.worlds[vm_id].backend_servers.fetch("1").is_draining
    }
    versions = configuration_versions(fleet)
    assert (late_vms, {versions[vm_id] for vm_id in others}) == (set(), {7})


def refuse_vms(fleet, vm_ids):
    fleet.registry.refused_vms |= vm_ids


def silence_vms(fleet, vm_ids):
    fleet.registry.silenced_vms |= vm_ids


@pytest.mark.parametrize("changed_after_s", [0.1, 0.5, 1.0, 1.5, 8.0])
@pytest.mark.parametrize("n_lost", [3, 4, 8, 11])
@pytest.mark.parametrize("zones", [("a",), ("a", "b")])
@pytest.mark.parametrize("lose_platform", [refuse_vms, silence_vms])
def test_changes_reach_zones_whose_best_ranked_vms_lost_the_platform(
    lose_platform, zones, n_lost, changed_after_s
):
    # Guards against zones in which nobody reads because the first VMs in rank, which
    # are alive and heard, are cut off from the platform or turned away by it.
    fleet = start_fleet(n_vms=12 * len(zones), n_servers=6, zones=zones)
    fleet.run(4.0)
    lost = {vm_id for zone in zones for vm_id in vms_in_rank(fleet, zone)[:n_lost]}
    lose_platform(fleet, lost)
    fleet.run(changed_after_s)
    fleet.add_server("1", is_draining=True)
    fleet.configure(7, make_route())
    fleet.run(DRAIN_SPREAD_MAX_S)
    late_vms = {
        vm_id
        for vm_id, world in fleet.worlds.items()
        if not world.backend_servers.fetch("1").is_draining
    }
    versions = set(configuration_versions(fleet).values())
    assert (late_vms, versions) == (set(), {7})


def test_one_further_vm_reads_while_the_best_ranked_ones_lack_the_platform():
    # Guards against all VMs of a zone reading for good beside those that can't.
    fleet = start_fleet(n_vms=12)
    lost = set(vms_in_rank(fleet, "a")[:3])
    silence_vms(fleet, lost)
    fleet.run(4.0)
    now = fleet.clock.now()
    readers = {vm_id for vm_id, world in fleet.worlds.items() if is_reader(world, now)}
    assert readers - lost == {vms_in_rank(fleet, "a")[3]}


@pytest.mark.parametrize("n_reports", [1, 5])
def test_reports_of_a_reader_do_not_delay_the_takeover_by_the_next(n_reports):
    fleet = start_fleet(n_vms=2)
    fleet.run(4.0)
    first, second = vms_in_rank(fleet, "a")
    # Heartbeats are lost; the reports of the test are posted.
    fleet.blocked_links.add((first, second))
    for _ in range(n_reports):
        fleet.run(READER_STALE_S / n_reports)
        report = Report((), None)
        fleet.post(second, events.VmMessageArrived(first, report))
    fleet.run(0.1)
    assert is_reader(fleet.worlds[second], fleet.clock.now())


# The largest zone of a deployment, with a link of 10 Mbit/s for each VM.
LINK_BYTES_PER_S = 1.25e6
ZONE_VMS = 37
DEPLOYMENT_VMS = 114
DEPLOYMENT_SERVERS = 273


def random_hex(number):
    """Return eight digits for a number that compress as badly as real names."""
    return f"{random.Random(number).getrandbits(32):08x}"


def server_names(first, n_servers):
    return [f"{SERVICE}-{random_hex(number)}" for number in range(first, n_servers)]


def make_routes(n_routes):
    return [
        make_route(
            f"{SERVICE}-route-{random_hex(number)}",
            prefix=f"/booking/{random_hex(number + 10_000)}/",
            timeout_s=random.Random(number).uniform(1.0, 5.0),
        )
        for number in range(n_routes)
    ]


def start_large_zone():
    """Return a fleet of one large zone, whose VMs also list those of other zones."""
    fleet = DirectFleet()
    for number in range(DEPLOYMENT_VMS - ZONE_VMS):
        address = f"10.2.0.{number}"
        fleet.registry.vms[f"vm-b-{number}"] = VmRow(
            f"vm-b-{number}",
            incarnation=1_780_000_000_000_000,
            n_refutations=0,
            zone="b",
            region="",
            caller_address=f"{address}:1",
            message_address=f"{address}:2",
            status=VmStatus.ALIVE,
            admin_address=f"{address}:3",
        )
    for name in server_names(0, DEPLOYMENT_SERVERS):
        fleet.add_server(name)
    for number in range(ZONE_VMS):
        fleet.add_vm(f"vm-{number}", link_mbps=LINK_BYTES_PER_S / 125_000)
    fleet.run(5.0)
    fleet.link_bytes_per_s = LINK_BYTES_PER_S
    return fleet


def change_in_series(fleet):
    """Write four configurations within 0.8 s and add 82 servers in the next 0.5 s."""
    for version in range(2, 6):
        fleet.configure(version, *make_routes(196 + version))
        fleet.run(0.2)
    for name in server_names(DEPLOYMENT_SERVERS, 355):
        fleet.add_server(name)
        fleet.run(0.5 / 82)


def add_servers(fleet):
    change_in_series(fleet)
    return lambda world: len(world.backend_servers) == 355


def configure_after_a_series(fleet):
    change_in_series(fleet)
    fleet.configure(7, *make_routes(210))
    return lambda world: len(world.prefix_routes) == 210


def drain_after_a_series(fleet):
    change_in_series(fleet)
    name = server_names(0, 1)[0]
    fleet.add_server(name, is_draining=True)
    return lambda world: world.backend_servers.fetch(name).is_draining


def configure_1400_routes(fleet):
    fleet.configure(7, *make_routes(1400))
    return lambda world: len(world.prefix_routes) == 1400


def configure_4000_routes(fleet):
    fleet.configure(7, *make_routes(4000))
    return lambda world: len(world.prefix_routes) == 4000


@pytest.mark.parametrize(
    ("make_change", "spread_max_s"),
    [
        (add_servers, CONFIGURATION_SPREAD_MAX_S),
        (configure_after_a_series, CONFIGURATION_SPREAD_MAX_S),
        (drain_after_a_series, DRAIN_SPREAD_MAX_S),
        (configure_1400_routes, CONFIGURATION_SPREAD_MAX_S),
        (configure_4000_routes, CONFIGURATION_SPREAD_MAX_S),
    ],
)
def test_copies_over_a_congested_link_do_not_delay_a_change(make_change, spread_max_s):
    fleet = start_large_zone()
    has_applied = make_change(fleet)
    applied_after_s = wait_until_all(fleet, has_applied)
    assert applied_after_s <= spread_max_s


def shown_entries(rows):
    """Return rows without the part that depends on when they were read."""
    return {row._replace(warm_up_remaining_s=0.0) for row in rows}


def change_at_random(fleet, rng):
    """Change an entry of the registry, often back to what it was before."""
    server_id = str(rng.randrange(12))
    if server_id in fleet.registry.servers and rng.random() < 0.4:
        fleet.remove_server(server_id)
    else:
        fleet.add_server(server_id, is_draining=rng.random() < 0.3)
    if rng.random() < 0.4:
        routes = [
            make_route(f"r{number}", prefix=f"/{number}/", priority=rng.randrange(2))
            for number in range(6)
            if rng.random() < 0.7
        ]
        version = fleet.registry.configuration.version + rng.randrange(1, 3)
        fleet.configure(version, *routes)


def change_conditions_at_random(fleet, rng):
    """Cause or end a fault of the network or of the platform."""
    for vm_id in fleet.worlds:
        if rng.random() < 0.2:
            fleet.registry.refused_vms ^= {vm_id}
        for other_vm_id in fleet.worlds:
            fleet.blocked_links.discard((vm_id, other_vm_id))
            if rng.random() < 0.1:
                fleet.blocked_links.add((vm_id, other_vm_id))
    fleet.registry.is_history_gone = rng.random() < 0.2
    fleet.loss_ratio = rng.choice((0.0, 0.2, 0.5))


@pytest.mark.parametrize("changes_max", [3, 1000])
@pytest.mark.parametrize("seed", range(10))
def test_copies_of_changes_leave_no_vm_with_another_registry(
    seed, changes_max, monkeypatch
):
    monkeypatch.setattr(registry_changes, "CHANGES_MAX", changes_max)
    monkeypatch.setattr(registry_changes, "GAPS_MAX", changes_max)
    fleet = start_fleet(n_vms=8, zones=("a", "b"), seed=seed)
    rng = random.Random(seed)
    for _ in range(60):
        change_at_random(fleet, rng)
        fleet.run(rng.choice((0.0, 0.05, 0.3)))
        if rng.random() < 0.2:
            change_conditions_at_random(fleet, rng)
    fleet.registry.refused_vms.clear()
    fleet.blocked_links.clear()
    fleet.loss_ratio = 0.0
    fleet.configure(1000, *fleet.registry.configuration.routes)
    fleet.add_server("last")
    fleet.run(8.0)
    for world in fleet.worlds.values():
        routes = fleet.registry.configuration.routes
        assert set(world.prefix_routes) == set(routes)
        assert set(next(iter(world.configurations)).routes) == set(routes)
        assert shown_entries(world.backend_servers) == shown_entries(
            fleet.registry.servers.values()
        )


def read_servers_in_steps(world):
    """Apply four versions of the list of servers, the first and the third whole."""
    now = world.clock.now()
    one, two, three, four, five = (make_server(str(number)) for number in range(1, 6))
    apply_servers(world, (one, two), (), 10, True, "test", now)
    apply_servers(world, (three,), ("1",), 20, False, "test", now)
    apply_servers(world, (two, four), (), 30, True, "test", now)
    apply_servers(world, (five,), (), 40, False, "test", now)


@pytest.mark.parametrize(
    ("changes_max", "version", "expected"),
    [
        (1000, 0, ("2 4 5", "", True)),
        (1000, 9, ("2 4 5", "", True)),
        (1000, 10, ("4 5", "1 3", False)),
        (1000, 15, ("4 5", "1 3", False)),
        (1000, 20, ("4 5", "3", False)),
        # Between two whole lists, a server may have changed and changed back.
        (1000, 25, ("2 4 5", "", True)),
        (1000, 30, ("5", "", False)),
        (1000, 39, ("5", "", False)),
        (2, 20, ("2 4 5", "", True)),
        (2, 30, ("5", "", False)),
    ],
)
def test_a_copy_holds_all_that_changed_since_a_version_and_no_more(
    changes_max, version, expected, monkeypatch
):
    monkeypatch.setattr(registry_changes, "CHANGES_MAX", changes_max)
    fleet = DirectFleet()
    world = fleet.add_vm("vm-0")
    read_servers_in_steps(world)
    copy = make_snapshot(world, 0, version, n_vms=1, now=world.clock.now()).servers
    server_ids = " ".join(sorted(server.server_id for server in copy.servers))
    removed = " ".join(sorted(copy.removed_server_ids))
    assert (server_ids, removed, copy.is_complete) == expected


@pytest.mark.parametrize("version", [40, 41])
def test_a_copy_for_a_vm_with_the_newest_version_holds_no_servers(version):
    fleet = DirectFleet()
    world = fleet.add_vm("vm-0")
    read_servers_in_steps(world)
    assert make_snapshot(world, 0, version, n_vms=1, now=world.clock.now()) == Snapshot(
        None, None, ()
    )


class CopyRequest(NamedTuple):
    """The part of an HTTP request that serving a copy needs."""

    path: bytes
    args: dict[bytes, list[bytes]]
    statuses: list[int]

    def setResponseCode(self, status):  # noqa: N802
        """Record the status of the answer."""
        self.statuses.append(status)


def test_a_copy_is_encoded_once_for_all_copiers_with_the_same_versions():
    fleet = DirectFleet()
    world = fleet.add_vm("vm-0")
    read_servers_in_steps(world)
    resource = PeerResource(world)
    first, second, other = (
        resource.render(CopyRequest(b"/snapshot", {b"servers": [version]}, []))
        for version in (b"20", b"20", b"30")
    )
    assert first is second
    assert decode_snapshot(first) == make_snapshot(world, 0, 20, 0, world.clock.now())
    assert decode_snapshot(other) == make_snapshot(world, 0, 30, 0, world.clock.now())


@pytest.mark.parametrize(
    ("sent_bytes", "after_s", "statuses"),
    [
        ([], 0.0, []),
        ([90_000], 0.0, []),
        ([90_000, 90_000], 0.0, [503]),
        ([90_000, 90_000], 0.05, [503]),
        ([90_000, 90_000], 0.1, []),
        ([900_000], 0.0, [503]),
        ([900_000], 0.85, []),
    ],
)
def test_a_vm_that_still_sends_copies_refuses_to_send_more(
    sent_bytes, after_s, statuses
):
    fleet = DirectFleet()
    world = fleet.add_vm("vm-0", link_mbps=LINK_BYTES_PER_S / 125_000)
    read_servers_in_steps(world)
    for n_bytes in sent_bytes:
        record_sent_copy(world, n_bytes, fleet.clock.now())
    fleet.clock.elapsed_s += after_s
    request = CopyRequest(b"/snapshot", {}, [])
    body = PeerResource(world).render(request)
    assert (request.statuses, bool(body)) == (statuses, not statuses)


def test_vms_of_a_zone_that_lost_each_other_meet_again():
    fleet = start_fleet(n_vms=4)
    cut_links = {("vm-0", "vm-2"), ("vm-2", "vm-0")}
    fleet.blocked_links |= cut_links
    fleet.run(40.0)
    fleet.blocked_links -= cut_links
    fleet.add_server("new")
    fleet.run(2.0)
    assert fleet.worlds["vm-0"].vms.fetch("vm-2").status is VmStatus.ALIVE
    assert fleet.worlds["vm-2"].vms.fetch("vm-0").status is VmStatus.ALIVE


def test_frequent_configurations_never_revert_a_vm_to_an_older_one():
    fleet = start_fleet(n_vms=6, zones=ZONES, seed=3)
    fleet.loss_ratio = 0.2
    versions = configuration_versions(fleet)
    for version in range(10, 60, 3):
        fleet.configure(version, make_route())
        for _ in range(4):
            fleet.run(0.03)
            current_versions = configuration_versions(fleet)
            assert all(current_versions[vm_id] >= versions[vm_id] for vm_id in versions)
            versions = current_versions
    fleet.run(CONFIGURATION_SPREAD_MAX_S)
    assert set(configuration_versions(fleet).values()) == {58}


@pytest.mark.parametrize(
    "read",
    [
        events.RegistryRead("", None, 1, True, (make_configuration(3, make_route()),)),
        events.RegistryRead("", None, 1, True, ()),
    ],
)
def test_a_read_older_than_the_known_version_is_dropped(read):
    fleet = start_fleet(n_vms=1)
    fleet.configure(9, make_route())
    fleet.run(1.0)
    fleet.registry.stale_full_read = (read.version, read.rows)
    fleet.registry.is_history_gone = True
    fleet.run(5.0)
    assert configuration_versions(fleet) == {"vm-0": 9}
    assert len(fleet.worlds["vm-0"].backend_servers) == 4


@pytest.mark.parametrize(
    ("relisted_after_s", "is_listed"), [(1.0, True), (None, False)]
)
def test_a_server_unlisted_during_an_outage_is_removed_only_after_a_delay(
    relisted_after_s, is_listed
):
    fleet = start_fleet(n_vms=1)
    world = fleet.worlds["vm-0"]
    refuse_all_vms(fleet)
    fleet.run(4.0)
    fleet.remove_server("1")
    fleet.registry.refused_vms.clear()
    fleet.run(1.5)
    assert "1" in world.backend_servers
    if relisted_after_s is not None:
        fleet.add_server("1")
    fleet.run(4.0)
    assert ("1" in world.backend_servers) == is_listed


def test_a_server_listed_again_is_not_removed_by_the_delay_of_an_earlier_removal():
    fleet = start_fleet(n_vms=1)
    refuse_all_vms(fleet)
    fleet.run(4.0)
    fleet.remove_server("1")
    fleet.registry.refused_vms.clear()
    fleet.run(1.0)
    assert vms_that_list(fleet, "1") == {"vm-0"}
    # The whole list is read again, and the server is removed at once.
    fleet.registry.is_history_gone = True
    fleet.add_server("2")
    fleet.run(0.3)
    assert vms_that_list(fleet, "1") == set()
    fleet.add_server("1")
    fleet.run(4.0)
    assert vms_that_list(fleet, "1") == {"vm-0"}


def vms_that_list(fleet, server_id):
    return {
        vm_id
        for vm_id, world in fleet.worlds.items()
        if server_id in world.backend_servers
    }


@pytest.mark.parametrize("zones", [("a",), ("a", "b")])
@pytest.mark.parametrize("is_relisted", [True, False])
def test_vms_that_copy_do_not_keep_a_server_unlisted_after_an_outage(
    is_relisted, zones
):
    fleet = start_fleet(n_vms=12, zones=zones)
    refuse_all_vms(fleet)
    fleet.run(4.0)
    fleet.remove_server("1")
    fleet.registry.refused_vms.clear()
    fleet.run(1.5)
    assert vms_that_list(fleet, "1") == set(fleet.worlds)
    if is_relisted:
        fleet.add_server("1")
    fleet.run(2.5)
    assert vms_that_list(fleet, "1") == (set(fleet.worlds) if is_relisted else set())


def test_a_server_unlisted_without_an_outage_is_removed_at_once():
    fleet = start_fleet(n_vms=1)
    fleet.remove_server("1")
    fleet.run(0.2)
    assert "1" not in fleet.worlds["vm-0"].backend_servers


def test_a_restarted_server_gets_a_new_estimate():
    fleet = start_fleet(n_vms=1)
    world = fleet.worlds["vm-0"]
    before = world.server_estimates.fetch("1")
    world.server_estimates.replace(
        before._replace(p_failing=0.99, n_connect_failures=3)
    )
    fleet.add_server("1", process_started_ms=5)
    fleet.run(0.2)
    after = world.server_estimates.fetch("1")
    assert (after.p_failing, after.n_connect_failures) == (before.p_failing, 0)


def test_registry_calls_are_bounded_while_the_platform_is_down():
    fleet = start_fleet(n_vms=24, zones=ZONES)
    refuse_all_vms(fleet)
    fleet.run(5.0)
    before = fleet.registry.n_calls
    fleet.run(4.0)
    # At most three readers per zone, in three zones, each making at most two calls
    # per second for each of two parts of the registry.
    assert fleet.registry.n_calls - before <= 3 * 3 * 2 * 2 * 4


def test_registry_calls_of_a_large_zone_are_bounded_while_the_platform_is_down():
    # Guards against calls in proportion to the VMs of a zone, of which any may retry.
    fleet = start_fleet(n_vms=60)
    refuse_all_vms(fleet)
    fleet.run(5.0)
    before = fleet.registry.n_calls
    fleet.run(4.0)
    # The bound of one zone in the test above.
    assert fleet.registry.n_calls - before <= 3 * 2 * 2 * 4


def test_registry_calls_are_bounded_without_faults():
    fleet = start_fleet(n_vms=12, zones=ZONES)
    before = fleet.registry.n_calls
    fleet.run(30.0)
    # One reader in each of three zones watches two parts; a watch lasts two seconds.
    assert fleet.registry.n_calls - before <= 3 * 2 * 30 / 2 + 6


def test_a_vm_that_starts_during_an_outage_copies_the_state_of_its_seed():
    fleet = start_fleet(n_vms=3)
    fleet.registry.refused_vms.add("late")
    world = fleet.add_vm("late")
    seed_address = fleet.worlds["vm-0"].settings.vm.message_address
    fleet.kill_vm("late")
    membership = world.settings.membership._replace(seeds=(seed_address,))
    settings = world.settings._replace(membership=membership)
    fleet.clock.elapsed_s += 1.0
    late = fleet.restart_vm("late", settings)
    fleet.run(1.0)
    assert late.vms.fetch("late").is_ready
    assert len(late.backend_servers) == 4


def test_vms_without_seeds_find_each_other_through_the_registry():
    fleet = start_fleet(n_vms=8, zones=ZONES)
    for world in fleet.worlds.values():
        alive = [vm for vm in world.vms if vm.status is VmStatus.ALIVE]
        assert len(alive) == 8


@pytest.mark.parametrize("seed", range(8))
def test_a_killed_vm_is_marked_dead_but_an_isolated_vm_marks_none_dead(seed):
    fleet = start_fleet(n_vms=6, seed=seed)
    fleet.kill_vm("vm-5")
    other_vm_ids = set(fleet.worlds) - {"vm-0"}
    for other_vm_id in other_vm_ids:
        fleet.blocked_links |= {("vm-0", other_vm_id), (other_vm_id, "vm-0")}
    fleet.run(4.0)
    vms_seen_by_vm_1 = fleet.worlds["vm-1"].vms
    assert vms_seen_by_vm_1.fetch("vm-5").status is VmStatus.DEAD
    assert vms_seen_by_vm_1.fetch("vm-2").status is VmStatus.ALIVE
    statuses_seen_by_vm_0 = [vm.status for vm in fleet.worlds["vm-0"].vms]
    assert set(statuses_seen_by_vm_0) == {VmStatus.ALIVE}


def test_a_vm_restarted_after_its_clock_was_set_back_is_seen_alive():
    fleet = start_fleet(n_vms=3)
    settings = fleet.worlds["vm-2"].settings
    incarnation = fleet.worlds["vm-2"].local.incarnation
    fleet.kill_vm("vm-2")
    world = fleet.restart_vm("vm-2", settings, incarnation - 5_000_000)
    fleet.run(6.0)
    assert fleet.worlds["vm-0"].vms.fetch("vm-2").status is VmStatus.ALIVE
    assert world.local.incarnation < incarnation


def offered_zones(fleet, vm_id, zone):
    """Return the zones of the VMs that a VM offers to a caller of a zone."""
    # An ID that no request of the fleet has.
    connection = (
        10_000 + random.Random(zone).randrange(10_000) + len(fleet.caller_replies)
    )
    fleet.post(vm_id, events.AddressesRequested(connection, "", "", zone))
    return [offer.zone for offer in fleet.caller_replies[connection].command.offers]


@pytest.mark.parametrize(
    ("n_vms", "zone", "zones"),
    [
        (12, "a", {"a"}),
        (12, "unknown", {"a", "b", "c"}),
        (6, "a", {"a", "b", "c"}),
    ],
)
def test_address_offers_stay_in_the_callers_zone_if_it_has_enough_vms(
    n_vms, zone, zones
):
    fleet = start_fleet(n_vms=n_vms, zones=ZONES)
    assert set(offered_zones(fleet, "vm-1", zone)) == zones


def test_a_draining_vm_is_not_offered_and_ends_after_its_open_requests():
    fleet = start_fleet(n_vms=4)
    fleet.behaviour_by_server = dict.fromkeys(fleet.behaviour_by_server, "mute")
    connection = fleet.send("vm-0")
    fleet.post("vm-0", events.StopRequested())
    fleet.run(0.1)
    assert len(offered_zones(fleet, "vm-1", "a")) == 3
    assert not fleet.worlds["vm-0"].vms.fetch("vm-0").is_ready
    fleet.run(1.0)
    assert fleet.status(connection) == "open"
    fleet.run(3.0)
    assert fleet.status(connection) == "AnswerLost"
    assert fleet.stopped_vm_ids == {"vm-0"}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("refused_for_s", [0.5, 2.0, 5.0])
def test_vms_that_the_platform_refuses_remove_a_server_that_others_saw_leave(
    refused_for_s, seed
):
    fleet = start_fleet(n_vms=9, n_servers=6, zones=ZONES, seed=seed)
    refuse_vms_of_zone_a(fleet)
    fleet.run(refused_for_s)
    fleet.remove_server("1")
    fleet.run(1.0)
    worlds_that_list_it = [
        vm_id for vm_id, world in fleet.worlds.items() if "1" in world.backend_servers
    ]
    assert worlds_that_list_it == []


@pytest.mark.parametrize("stable_s", [3.0, 3.5, 5.0])
def test_a_server_unlisted_after_an_outage_ended_is_removed_at_once(stable_s):
    fleet = start_fleet(n_vms=4, zones=("a", "b"))
    refuse_all_vms(fleet)
    fleet.run(4.0)
    fleet.registry.refused_vms.clear()
    fleet.run(stable_s)
    fleet.remove_server("1")
    fleet.run(0.6)
    worlds_that_list_it = [
        world for world in fleet.worlds.values() if "1" in world.backend_servers
    ]
    assert worlds_that_list_it == []


@pytest.mark.parametrize("n_vms", [6, 30])
@pytest.mark.parametrize("period_s", [0.05, 0.1])
def test_changes_in_quick_succession_are_read_and_copied_together(period_s, n_vms):
    fleet = start_fleet(n_vms=n_vms, zones=("a", "b"))
    n_calls, n_copies = fleet.registry.n_calls, len(fleet.snapshot_bytes)
    lags_s = []
    for number in range(round(6.0 / period_s)):
        fleet.add_server(f"new-{number}")
        fleet.run(period_s)
        held = min(len(world.backend_servers) for world in fleet.worlds.values())
        lags_s.append((len(fleet.registry.servers) - held) * period_s)
    # A reader a zone; three reads of changes a second and two watches that end.
    assert fleet.registry.n_calls - n_calls <= 2 * 6 * (3 + 2)
    assert len(fleet.snapshot_bytes) - n_copies <= n_vms * 6 * 4
    # Half of the time within which draining servers get no more requests.
    assert max(lags_s) <= 1.0


def count_slots(world, service):
    slots = [row.n_slots for row in world.backend_servers.select("service", service)]
    return (sum(slots), min(slots)) if slots else None


@pytest.mark.parametrize("seed", range(4))
def test_the_slots_of_a_service_follow_every_change_of_its_servers(seed):
    fleet = start_fleet(n_vms=3, n_servers=4, seed=seed)
    for number in range(40):
        server_id = str(fleet.rng.randrange(6))
        if server_id in fleet.registry.servers and fleet.rng.random() < 0.4:
            fleet.remove_server(server_id)
        else:
            fleet.add_server(
                server_id,
                service=fleet.rng.choice([SERVICE, "other"]),
                n_slots=fleet.rng.randrange(1, 9),
            )
        if number == 20:
            fleet.registry.is_history_gone = True
        fleet.run(fleet.rng.random())
        for world in fleet.worlds.values():
            for service in (SERVICE, "other"):
                row = world.service_slots.get(service)
                assert (row and row[1:]) == count_slots(world, service)
