"""Cases of the floor of slots, detection time and false ejections.

The floor of a service is the number of healthy slots that ejections must leave.
"""

from collections.abc import Callable

from burdockhitch.settings import PolicySettings
from burdockhitch.systems import (
    ejection,
    health,
    permits,
    repetition,
    windows,
)
from burdockhitch.tests import fleets
from burdockhitch.tests.cases import DisabledMechanism, always, case
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fleets import SUDURLAND, VASTKUST


class FloorGuard:
    """Name of the floor guard that fleets use, as an attribute that a case replaces."""

    name = "escrow"


# Ejects without regard to the floor.
NO_GUARD = DisabledMechanism(FloorGuard, "name", "none")
# Each VM keeps the floor by counting its own ejections only, without permits.
LOCAL_GUARD = DisabledMechanism(FloorGuard, "name", "local_view")


def _fail_in_every_zone(fleet: FakeFleet) -> int:
    """Let one backend server of each zone fail under load.

    Returns:
        Largest number of slots missing from the floor at any moment.
    """
    for zone_number in range(len(SUDURLAND.zones)):
        fleet.servers[f"10.1.{zone_number}.1:80"].mode = "failing"
    n_missing_slots = 0
    for step in range(400):
        fleet.call(sorted(fleet.worlds)[step % 4], "GET", "/look")
        fleet.run(0.02)
        n_slots_left = fleets.count_slots(fleet) - fleets.count_ejected_slots(
            fleet, "bench"
        )
        n_missing_slots = max(n_missing_slots, SUDURLAND.floor_slots - n_slots_left)
    return n_missing_slots


def _start_with_guard(name: str) -> FakeFleet:
    policies = PolicySettings(floor_guard=name)
    return fleets.start_fleet(SUDURLAND, policies=policies)


def _floor_scenario(cause_fault: Callable[[FakeFleet], None]) -> int:
    """Return the slots missing from the floor when servers fail during a fault."""
    fleet = _start_with_guard(FloorGuard.name)
    cause_fault(fleet)
    return _fail_in_every_zone(fleet)


@case(
    "floor",
    "ejections leave the floor of slots",
    "servers of four owners fail at once",
    NO_GUARD,
)
def floor_holds_with_racing_owners() -> int:
    return _floor_scenario(lambda fleet: None)


@case(
    "floor_local",
    "ejections leave the floor of slots",
    "servers of four owners fail at once, against guards by local view",
    LOCAL_GUARD,
)
def floor_holds_where_local_views_fail() -> int:
    return _floor_scenario(lambda fleet: None)


@case(
    "floor_lost_replies",
    "ejections leave the floor of slots",
    "replies of the platform to permit writes are lost",
    LOCAL_GUARD,
)
def floor_holds_with_lost_replies() -> int:
    def lose_replies(fleet: FakeFleet) -> None:
        fleet.n_lost_replies = 3

    return _floor_scenario(lose_replies)


@case(
    "floor_partition",
    "ejections leave the floor of slots",
    "no message passes between the VMs",
    LOCAL_GUARD,
)
def floor_holds_in_a_partition() -> int:
    def cut_all_routes(fleet: FakeFleet) -> None:
        vm_ids = sorted(fleet.worlds)
        fleet.cut_routes |= {
            (sender, receiver)
            for sender in vm_ids
            for receiver in vm_ids
            if sender != receiver
        }

    return _floor_scenario(cut_all_routes)


def _send_requests(fleet: FakeFleet, duration_s: float, step_s: float = 0.02) -> None:
    """Send a request every ``step_s`` seconds, to each VM in turn."""
    vm_ids = sorted(fleet.worlds)
    for step in range(int(duration_s / step_s)):
        fleet.call(vm_ids[step % len(vm_ids)], "GET", "/look")
        fleet.run(step_s)


def _count_ejections(fleet: FakeFleet, address: str) -> int:
    """Return how often the VMs logged the ejection of a server."""
    return sum(
        command.event == "server_changed"
        and command.fields["after"] == "ejected"
        and command.fields["server"].endswith(address)
        for _vm_id, command in fleet.logs
    )


@case(
    "permit_returned",
    "a failing server is ejected soon",
    "a server fails after VMs held all permits for servers that recovered",
    DisabledMechanism(permits, "IDLE_RELEASE_DELAY_S", 1e9),
)
def idle_permits_are_returned() -> int:
    fleet = fleets.start_fleet(SUDURLAND)
    for number in range(3):
        address = f"10.1.{number}.1:80"
        fleet.servers[address].mode = "failing"
        _send_requests(fleet, 4.0)
        fleet.servers[address].mode = "ok"
        _send_requests(fleet, 10.0)
    fleet.run(60.0)
    fleet.servers["10.1.3.1:80"].mode = "failing"
    _send_requests(fleet, 6.0)
    return int(_count_ejections(fleet, "10.1.3.1:80") == 0)


@case(
    "floor_raised",
    "ejections leave the floor of slots",
    "the rules raise the floor while servers are ejected",
    DisabledMechanism(permits, "REVIEW_PERIOD_S", 1e9),
)
def raised_floor_readmits_servers() -> int:
    fleet = fleets.start_fleet(SUDURLAND)
    for number in range(3):
        fleet.servers[f"10.1.{number}.1:80"].mode = "failing"
    _send_requests(fleet, 4.0)
    assert fleets.count_ejected_slots(fleet, "bench") == 6
    fleet.commit_rules(fleets.make_rules_text(SUDURLAND, floor_slots=14))
    for server in fleet.servers.values():
        server.mode = "ok"
    # Without hold timers, only the review of permits can readmit servers in time.
    for world in fleet.worlds.values():
        for row in list(world.timers):
            if row.timer_id[0] == "hold":
                world.timers.remove(row.timer_id)
    fleet.run(12.0)
    n_slots_left = fleets.count_slots(fleet) - fleets.count_ejected_slots(
        fleet, "bench"
    )
    return max(0, 14 - n_slots_left)


@case(
    "long_outage",
    "a failing server is ejected soon",
    "a server fails after four hours of an outage of the platform",
    DisabledMechanism(permits, "acquire_permit", always(False)),
    DisabledMechanism(ejection, "acquire_permit", always(False)),
)
def held_permits_allow_ejection_in_an_outage() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "failing"
    _send_requests(fleet, 4.0)
    fleet.is_platform_down = True
    fleet.servers[address].mode = "ok"
    _send_requests(fleet, 15.0)
    fleet.run(4 * 3600.0)
    n_ejections_before = _count_ejections(fleet, address)
    fleet.servers[address].mode = "failing"
    _send_requests(fleet, 10.0)
    fleet.run(3.0)
    n_unanswered = len(fleet.sent_requests.keys() - fleet.caller_replies.keys())
    return int(_count_ejections(fleet, address) == n_ejections_before) + n_unanswered


@case(
    "straggler",
    "a failing server is ejected soon",
    "a server takes three times as long as the others",
    DisabledMechanism(health, "_is_late", always(False)),
)
def straggler_is_ejected() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    _send_requests(fleet, 5.0)
    address = "10.1.0.1:80"
    fleet.servers[address].service_time_s *= 3
    _send_requests(fleet, 10.0)
    return int(_count_ejections(fleet, address) == 0)


@case(
    "all_servers_fail",
    "no ejection without cause",
    "all servers of a service fail at once",
    DisabledMechanism(ejection, "are_failures_correlated", always(False)),
)
def failure_of_all_servers_ejects_at_most_half() -> int:
    fleet = fleets.start_fleet(VASTKUST, extra="")
    for server in fleet.servers.values():
        server.mode = "failing"
    _send_requests(fleet, 20.0)
    n_ejected = sum(_count_ejections(fleet, address) > 0 for address in fleet.servers)
    return max(0, n_ejected - len(fleet.servers) // 2)


@case(
    "flapping",
    "no ejection without cause",
    "a server fails again whenever it is back in service",
    DisabledMechanism(ejection, "_hold_duration_s", always(5.0)),
)
def flapping_server_is_held_longer() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "failing"
    _send_requests(fleet, 120.0, 0.05)
    return max(0, _count_ejections(fleet, address) - 6)


@case(
    "peak_moved",
    "ejections leave the floor of slots",
    "the peak load comes outside the hours of its window while servers are ejected",
    DisabledMechanism(windows, "decide_by_hours_or_load", windows.decide_by_hours),
    DisabledMechanism(
        windows.window_policies, "_entries", {"hours_or_load": windows.decide_by_hours}
    ),
)
def peak_outside_hours_raises_the_floor() -> int:
    window = "window bench 17:30-21:00 tz=Atlantic/Reykjavik floor=14slots load=30/s"
    fleet = fleets.start_fleet(SUDURLAND, extra=f"{window} # Sigrun\n")
    for number in range(3):
        fleet.servers[f"10.1.{number}.1:80"].mode = "failing"
    _send_requests(fleet, 4.0, 0.05)
    assert fleets.count_ejected_slots(fleet, "bench") == 6
    _send_requests(fleet, 120.0)
    n_slots_left = fleets.count_slots(fleet) - fleets.count_ejected_slots(
        fleet, "bench"
    )
    return max(0, 14 - n_slots_left)


@case(
    "low_traffic",
    "a failing server is ejected soon",
    "a server fails that gets one request in two seconds",
    DisabledMechanism(repetition, "has_evidence", always(False)),
)
def low_traffic_server_is_ejected_soon() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    _send_requests(fleet, 6.0, 0.3)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "failing"
    _send_requests(fleet, 8.0, 0.3)
    return int(_count_ejections(fleet, address) == 0)


@case(
    "unreachable_server",
    "no ejection without cause",
    "only the owner of a server can't reach it",
    DisabledMechanism(ejection, "query_server_reachability", always(False)),
)
def unreachable_server_changes_owner() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    fleet.cut_routes.add(("vk-a-0", address))
    _send_requests(fleet, 8.0)
    n_executed_before = len(fleet.executed_requests)
    _send_requests(fleet, 4.0)
    is_used = any(
        request.address == address
        for request in fleet.executed_requests[n_executed_before:]
    )
    return _count_ejections(fleet, address) + (not is_used)


@case(
    "dead_server",
    "a failing server is ejected soon",
    "no VM can reach a server",
    DisabledMechanism(health, "add_evidence", always(0.0)),
)
def dead_server_is_ejected_soon() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "dead"
    _send_requests(fleet, 5.0)
    return int(_count_ejections(fleet, address) == 0)
