"""Failures that the promises are held against, with and without a mechanism."""

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, NamedTuple
from unittest.mock import patch

from burdockhitch import events
from burdockhitch.errors import OverloadedError
from burdockhitch.messages import RevisionPush
from burdockhitch.registry import Registry
from burdockhitch.settings import PolicySettings
from burdockhitch.systems import (
    addresses,
    answers,
    claims,
    confirmation,
    draining,
    ejection,
    endings,
    forwards,
    health,
    home,
    intake,
    membership,
    ownership,
    permits,
    repetition,
    spread,
    windows,
    witness,
)
from burdockhitch.tests import fleets
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fleets import SUDURLAND, VASTKUST
from burdockhitch.world import current_revision

NOTICE_MAX_S = 10.0
DRAIN_MAX_S = 3.0
IN_FORCE_MAX_S = 6.0
DEAD_MAX_S = 5.0


class LeaveOut(NamedTuple):
    """A mechanism to replace, so that the failure shows."""

    owner: Any
    name: str
    replacement: Any


class Case(NamedTuple):
    """One promise under one failure.

    Attributes:
        promise: Point of the brief.
        failure: What is brought about.
        scenario: Returns how often the promise was broken.
        leave_out: Mechanisms to leave out.
    """

    promise: str
    failure: str
    scenario: Callable[[], int]
    leave_out: tuple[LeaveOut, ...]


cases: Registry[Case] = Registry("case")


def count_broken(case: Case, has_mechanism: bool) -> int:
    """Run a case with or without its mechanism."""
    with ExitStack() as stack:
        for left_out in () if has_mechanism else case.leave_out:
            stack.enter_context(patch.object(*left_out))
        return case.scenario()


def case(
    name: str, promise: str, failure: str, *leave_out: LeaveOut
) -> Callable[[Callable[[], int]], Callable[[], int]]:
    """Return a decorator that registers a scenario."""

    def register(scenario: Callable[[], int]) -> Callable[[], int]:
        cases(name)(Case(promise, failure, scenario, leave_out))
        return scenario

    return register


class FloorGuard:
    """Name of the floor guard that the scenarios use."""

    name = "escrow"


NO_GUARD = LeaveOut(FloorGuard, "name", "none")
LOCAL_GUARD = LeaveOut(FloorGuard, "name", "local_view")


def _always(value: Any) -> Callable[..., Any]:
    return lambda *_args, **_kwargs: value


def _fail_in_four_zones(fleet: FakeFleet) -> int:
    """Let one server of each zone fail; return the slots missing to the floor."""
    for number in range(len(SUDURLAND.zones)):
        fleet.servers[f"10.1.{number}.1:80"].mode = "failing"
    n_missing = 0
    for step in range(400):
        fleet.call(sorted(fleet.worlds)[step % 4], "GET", "/look")
        fleet.run(0.02)
        n_left = fleets.total_slots(fleet) - fleets.ejected_slots(fleet, "bench")
        n_missing = max(n_missing, SUDURLAND.floor_slots - n_left)
    return n_missing


def _start_with_guard(name: str) -> FakeFleet:
    policies = PolicySettings(floor_guard=name)
    return fleets.start_fleet(SUDURLAND, policies=policies)


def _floor_scenario(disturb: Callable[[FakeFleet], None]) -> int:
    fleet = _start_with_guard(FloorGuard.name)
    disturb(fleet)
    return _fail_in_four_zones(fleet)


@case("floor", "floor", "servers of four owners fail at once", NO_GUARD)
def floor_holds_in_a_race() -> int:
    return _floor_scenario(lambda fleet: None)


@case("floor_local", "floor", "the same, each owner judging by itself", LOCAL_GUARD)
def floor_holds_beyond_local_views() -> int:
    return _floor_scenario(lambda fleet: None)


@case("floor_lost_replies", "floor", "answers of writes are lost", LOCAL_GUARD)
def floor_holds_with_lost_replies() -> int:
    def lose(fleet: FakeFleet) -> None:
        fleet.n_lost_replies = 3

    return _floor_scenario(lose)


@case("floor_partition", "floor", "the VMs hear nothing of each other", LOCAL_GUARD)
def floor_holds_in_a_partition() -> int:
    def part(fleet: FakeFleet) -> None:
        names = sorted(fleet.worlds)
        fleet.cuts |= {(one, other) for one in names for other in names if one != other}

    return _floor_scenario(part)


def _retry_through_all(path: str, make_key: Callable[[FakeFleet], str]) -> int:
    """Send one request through every VM while answers break off."""
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "breaking"
    key = make_key(fleet)
    for vm_id in sorted(fleet.worlds):
        fleet.call(vm_id, "POST", path, b"seat", key)
        fleet.run(3.0)
    return fleets.count_doubled(fleet)


def _admit_anyway(world: Any, row: Any, _ignored: Any, now: Any) -> None:
    endings.advance(world, row, "admit", now)


@case(
    "retry_home",
    "at most once",
    "a caller retries through other VMs after broken answers",
    LeaveOut(home, "_send_home", _admit_anyway),
    LeaveOut(home, "_admit_at_home", _admit_anyway),
)
def home_key_runs_once() -> int:
    return _retry_through_all("/home", lambda fleet: fleet.token("vk-a-0") + "/seat")


@case(
    "retry_claim",
    "at most once",
    "the same with a claim in the platform",
    LeaveOut(claims, "_insert", _admit_anyway),
)
def claimed_key_runs_once() -> int:
    return _retry_through_all("/claim", lambda fleet: "seat")


@case(
    "home_killed",
    "at most once",
    "the home VM dies after the request ran and comes back empty",
    LeaveOut(home, "_send_home", _admit_anyway),
)
def home_key_survives_its_home() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    key = fleet.token("vk-a-0") + "/seat"
    fleet.call("vk-a-0", "POST", "/home", b"seat", key)
    fleet.run(1.0)
    fleet.kill("vk-a-0")
    fleet.run(0.5)
    fleet.add_vm("vk-a-0", "vk-a")
    fleet.run(5.0)
    for vm_id in sorted(fleet.worlds):
        fleet.call(vm_id, "POST", "/home", b"seat", key)
        fleet.run(3.0)
    return fleets.count_doubled(fleet)


def _forget(_world: Any, request_id: str, answer: Any, refusal: Any, _now: Any) -> Any:
    return endings.EndedRow(request_id, answer, refusal, 0.0)


@case(
    "repeated_message",
    "at most once",
    "the network repeats every message between VMs up to 0.5 s later",
    LeaveOut(forwards, "keep_ended", _forget),
    LeaveOut(endings, "keep_ended", _forget),
)
def repeated_message_runs_once() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.repeat_ratio = 1.0
    for number in range(300):
        fleet.call("vk-a-0", "POST", "/plain", f"p{number}".encode())
        fleet.run(0.001)
    fleet.run(5.0)
    return fleets.count_doubled(fleet)


@case(
    "held_up_message",
    "at most once",
    "a message arrives again after its record was forgotten",
    LeaveOut(forwards, "is_forgotten", _always(False)),
)
def held_up_message_runs_once() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for number in range(40):
        fleet.call("vk-a-0", "POST", "/plain", f"p{number}".encode())
    fleet.run(1.0)
    fleet.run(endings.ENDED_KEEP_S + 5.0)
    for vm_id, event in fleet.arrived:
        if type(event.message).__name__ == "ForwardRequest":
            fleet.post(vm_id, event)
    fleet.run(5.0)
    return fleets.count_doubled(fleet)


@case(
    "retry_of_sent",
    "at most once",
    "answers break off after the request was sent",
    LeaveOut(answers, "NOT_RUN_FAILURES", frozenset(events.AttemptFailure)),
)
def sent_request_is_not_sent_again() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "breaking"
    for number in range(20):
        fleet.call("vk-a-0", "POST", "/plain", f"p{number}".encode())
        fleet.run(0.1)
    return fleets.count_doubled(fleet)


def _refuse_instead(world: Any, row: Any, _refusal: Any, now: Any) -> None:
    refusal = endings.make_refusal(OverloadedError, "")
    endings._end(world, row, "refuse", now, refusal=refusal)


@case(
    "not_run_is_true",
    "a refusal that says not run",
    "one server breaks off, all others shed",
    LeaveOut(endings, "lose_request", _refuse_instead),
)
def not_run_is_never_said_of_a_run() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "shedding"
    fleet.servers["10.1.0.1:80"].mode = "breaking"
    for _ in range(30):
        fleet.call("vk-a-0", "GET", "/look")
        fleet.run(0.1)
    fleet.run(5.0)
    return fleets.count_false_refusals(fleet)


@case(
    "drain_server",
    "a leaving backend server gets no new work",
    "the rules mark a server as draining under load",
    LeaveOut(ownership, "_follow_rules", _always(None)),
)
def drained_server_gets_no_work() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    rules = fleets.write_rules(VASTKUST).replace(
        f"{address} zone=vk-a slots=4", f"{address} zone=vk-a slots=4 state=draining"
    )
    fleet.commit_rules(rules)
    n_late = 0
    for step in range(400):
        before = len(fleet.runs)
        for vm_id in sorted(fleet.worlds):
            fleet.call(vm_id, "GET", "/look")
        fleet.run(0.02)
        if step * 0.02 > DRAIN_MAX_S:
            n_late += sum(run.address == address for run in fleet.runs[before:])
    return n_late


@case(
    "stop_vm",
    "a planned stop cuts off no request",
    "a VM stops under load and while one of its backend servers is slow",
    LeaveOut(draining, "is_idle", _always(True)),
)
def stopped_vm_ends_its_work() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.service_time_s = 1.5
    fleet.call("vk-a-0", "GET", "/look")
    fleet.post("vk-a-0", events.StopRequested())
    for _ in range(55):
        fleet.run(0.1)
        fleet.call("vk-a-0", "GET", "/look")
        fleet.call("vk-b-0", "GET", "/look")
    fleet.run(20.0)
    assert "vk-a-0" not in fleet.worlds
    return len(fleet.sent.keys() - fleet.replies.keys())


@case(
    "stop_offered",
    "a planned stop cuts off no request",
    "callers ask for addresses while a VM is leaving",
    LeaveOut(addresses, "is_offered", _always(True)),
)
def leaving_vm_is_not_offered() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    leaving = fleet.worlds["vk-a-0"].settings.vm.caller_address
    fleet.post("vk-a-0", events.StopRequested())
    fleet.run(0.5)
    numbers = [fleet.ask_addresses("vk-b-0", "booking", "vk-a") for _ in range(5)]
    fleet.run(0.1)
    return sum(
        offer.address == leaving
        for number in numbers
        for offer in fleet.replies[number].command.offers
    )


@case(
    "old_revision",
    "a configuration never reverts",
    "late messages carry older revisions",
    LeaveOut(spread, "is_newer", _always(True)),
    LeaveOut(spread, "choose_peers", _always([])),
)
def old_revision_is_dropped() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    old = fleet.worlds["vk-a-0"].revisions.fetch("in_force")
    extra = "limit visitor rate=5/s burst=9 # Karin\n"
    fleet.commit_rules(fleets.write_rules(VASTKUST, extra=extra))
    fleet.run(IN_FORCE_MAX_S)
    message = RevisionPush(old.number, old.body_hash, old.text)
    for vm_id in sorted(fleet.worlds):
        fleet.post(vm_id, events.VmMessageArrived("vk-b-0", message))
        fleet.run(0.01)
    return sum(current_revision(world) != 2 for world in fleet.worlds.values())


@case(
    "revision_in_force",
    "a configuration is in force within seconds",
    "the platform is lost right after one VM read the revision",
    LeaveOut(spread, "choose_peers", _always([])),
    LeaveOut(spread, "note_revision", _always(None)),
    LeaveOut(membership, "note_revision", _always(None)),
)
def revision_spreads_without_platform() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    extra = "limit visitor rate=5/s burst=9 # Karin\n"
    fleet.commit_rules(fleets.write_rules(VASTKUST, extra=extra))
    worlds = list(fleet.worlds.values())
    while not any(current_revision(world) == 2 for world in worlds):
        fleet.run(0.001)
    fleet.is_platform_down = True
    fleet.loss_ratio = 0.1
    fleet.run(IN_FORCE_MAX_S)
    return sum(current_revision(world) != 2 for world in worlds)


@case(
    "start_in_outage",
    "a configuration never reverts",
    "a VM starts while the platform is down",
    LeaveOut(membership, "note_revision", _always(None)),
    LeaveOut(spread, "push_revision", _always(None)),
)
def starting_vm_learns_from_peers() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.is_platform_down = True
    world = fleet.add_vm("vk-a-9", "vk-a")
    fleet.run(IN_FORCE_MAX_S)
    return int(current_revision(world) != 1)


@case(
    "lost_noticed",
    "lost requests are noticed",
    "a VM dies with open non-idempotent requests",
    LeaveOut(witness, "_announce", _always(None)),
)
def lost_requests_are_named() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    for server in fleet.servers.values():
        server.mode = "silent"
    numbers = [fleet.call("vk-a-0", "POST", "/plain", b"seat %d" % n) for n in range(5)]
    fleet.run(0.01)
    fleet.kill("vk-a-0")
    fleet.run(NOTICE_MAX_S)
    named = {
        command.fields["request_id"]
        for _vm_id, command in fleet.logs
        if command.event == "request_lost" and command.fields["requester"] == "Jonas"
    }
    return len(numbers) - len(named)


@case(
    "dead_vm",
    "membership",
    "a VM is killed",
    LeaveOut(membership, "set_status", _always(None)),
)
def dead_vm_leaves_all_views() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.kill("vk-a-0")
    fleet.run(DEAD_MAX_S)
    return sum("vk-a-0" in fleet.alive(vm_id) for vm_id in fleet.worlds)


@case(
    "one_way_vm",
    "membership",
    "messages of one VM reach another one only by way of third ones",
    LeaveOut(membership, "choose_peers", _always([])),
)
def one_way_partition_kills_nobody() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    fleet.cuts.add(("vk-a-0", "vk-b-0"))
    fleet.run(30.0)
    return sum(
        command.event == "vm_changed" and command.fields["after"] == "suspect"
        for _vm_id, command in fleet.logs
    )


def _load(fleet: FakeFleet, duration_s: float, step_s: float = 0.02) -> None:
    names = sorted(fleet.worlds)
    for step in range(int(duration_s / step_s)):
        fleet.call(names[step % len(names)], "GET", "/look")
        fleet.run(step_s)


def _count_ejections(fleet: FakeFleet, address: str) -> int:
    return sum(
        command.event == "server_changed"
        and command.fields["after"] == "ejected"
        and command.fields["server"].endswith(address)
        for _vm_id, command in fleet.logs
    )


@case(
    "permit_returned",
    "detection time",
    "a server fails after others held the permits and recovered",
    LeaveOut(permits, "IDLE_KEEP_S", 1e9),
)
def idle_permits_come_back() -> int:
    fleet = fleets.start_fleet(SUDURLAND)
    for number in range(3):
        address = f"10.1.{number}.1:80"
        fleet.servers[address].mode = "failing"
        _load(fleet, 4.0)
        fleet.servers[address].mode = "ok"
        _load(fleet, 10.0)
    fleet.run(60.0)
    fleet.servers["10.1.3.1:80"].mode = "failing"
    _load(fleet, 6.0)
    return int(_count_ejections(fleet, "10.1.3.1:80") == 0)


@case(
    "floor_raised",
    "floor",
    "the rules raise the floor while servers are ejected",
    LeaveOut(permits, "REVIEW_PERIOD_S", 1e9),
)
def raised_floor_brings_servers_back() -> int:
    fleet = fleets.start_fleet(SUDURLAND)
    for number in range(3):
        fleet.servers[f"10.1.{number}.1:80"].mode = "failing"
    _load(fleet, 4.0)
    assert fleets.ejected_slots(fleet, "bench") == 6
    fleet.commit_rules(fleets.write_rules(SUDURLAND, floor_slots=14))
    for server in fleet.servers.values():
        server.mode = "ok"
    for world in fleet.worlds.values():
        for row in list(world.timers):
            if row.timer_id[0] == "hold":
                world.timers.remove(row.timer_id)
    fleet.run(12.0)
    n_left = fleets.total_slots(fleet) - fleets.ejected_slots(fleet, "bench")
    return max(0, 14 - n_left)


@case(
    "long_outage",
    "detection time",
    "a server fails in the fourth hour of an outage of the platform",
    LeaveOut(permits, "use_permit", _always(False)),
    LeaveOut(ejection, "use_permit", _always(False)),
)
def held_permits_serve_in_an_outage() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "failing"
    _load(fleet, 4.0)
    fleet.is_platform_down = True
    fleet.servers[address].mode = "ok"
    _load(fleet, 15.0)
    fleet.run(4 * 3600.0)
    before = _count_ejections(fleet, address)
    fleet.servers[address].mode = "failing"
    _load(fleet, 10.0)
    fleet.run(3.0)
    n_unanswered = len(fleet.sent.keys() - fleet.replies.keys())
    return int(_count_ejections(fleet, address) == before) + n_unanswered


@case(
    "straggler",
    "detection time",
    "a server takes three times as long as its peers",
    LeaveOut(health, "_is_late", _always(False)),
)
def straggler_is_ejected() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    _load(fleet, 5.0)
    address = "10.1.0.1:80"
    fleet.servers[address].service_time_s *= 3
    _load(fleet, 10.0)
    return int(_count_ejections(fleet, address) == 0)


@case(
    "common_trouble",
    "false ejections",
    "all servers of a service fail at once",
    LeaveOut(ejection, "is_common_trouble", _always(False)),
)
def trouble_of_all_ejects_few() -> int:
    fleet = fleets.start_fleet(VASTKUST, extra="")
    for server in fleet.servers.values():
        server.mode = "failing"
    _load(fleet, 20.0)
    n_ejected = sum(_count_ejections(fleet, address) > 0 for address in fleet.servers)
    return max(0, n_ejected - len(fleet.servers) // 2)


@case(
    "flapping",
    "false ejections",
    "a server fails whenever it is back in service",
    LeaveOut(ejection, "_hold_s", _always(5.0)),
)
def flapping_server_is_held_longer() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "failing"
    _load(fleet, 120.0, 0.05)
    return max(0, _count_ejections(fleet, address) - 6)


def _commit_seen_by_some(fleet: FakeFleet, outsider: str) -> None:
    """Put revision 2 in force everywhere but on one cut-off VM."""
    others = set(fleet.worlds) - {outsider}
    for name in others:
        fleet.cuts |= {(name, outsider), (outsider, name)}
    extra = "limit visitor rate=5/s burst=9 # Karin\n"
    fleet.commit_rules(fleets.write_rules(VASTKUST, extra=extra))
    while not any(current_revision(fleet.worlds[name]) == 2 for name in others):
        fleet.run(0.001)
    fleet.is_platform_down = True
    fleet.run(10.0)
    assert current_revision(fleet.worlds[outsider]) == 1


@case(
    "start_beside_stale",
    "a configuration never reverts",
    "a VM starts in an outage and reaches only a VM with an older revision",
    LeaveOut(confirmation, "N_PEERS", 1),
)
def starting_vm_serves_nothing_old() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    _commit_seen_by_some(fleet, "vk-c-0")
    for name in ("vk-a-0", "vk-b-0"):
        fleet.cuts |= {(name, "vk-c-9"), ("vk-c-9", name)}
    fleet.add_vm("vk-c-9", "vk-c")
    n_old = 0
    for _ in range(20):
        fleet.run(0.5)
        number = fleet.call("vk-c-9", "GET", "/look")
        fleet.run(0.2)
        n_old += hasattr(fleet.replies[number].command, "answer")
    return n_old


@case(
    "start_alone",
    "a configuration never reverts",
    "VMs start at once in an outage, and none has a revision",
    LeaveOut(intake, "is_confirmed", _always(True)),
)
def fleet_without_revision_refuses() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    names = sorted(fleet.worlds)
    fleet.is_platform_down = True
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.add_vm(name, name.rpartition("-")[0])
    fleet.run(5.0)
    numbers = [fleet.call(name, "GET", "/look") for name in names]
    fleet.run(0.5)
    refusals = [fleet.replies[number].command.refusal.error for number in numbers]
    return sum(error != "NotReady" for error in refusals)


@case(
    "peak_moved",
    "floor",
    "the peak comes outside the hours of its window while servers are ejected",
    LeaveOut(windows, "decide_by_load", windows.decide_by_hours),
    LeaveOut(
        windows.window_policies, "_entries", {"hours_or_load": windows.decide_by_hours}
    ),
)
def moved_peak_raises_the_floor() -> int:
    window = "window bench 17:30-21:00 tz=Atlantic/Reykjavik floor=14slots load=30/s"
    fleet = fleets.start_fleet(SUDURLAND, extra=f"{window} # Sigrun\n")
    for number in range(3):
        fleet.servers[f"10.1.{number}.1:80"].mode = "failing"
    _load(fleet, 4.0, 0.05)
    assert fleets.ejected_slots(fleet, "bench") == 6
    _load(fleet, 120.0)
    n_left = fleets.total_slots(fleet) - fleets.ejected_slots(fleet, "bench")
    return max(0, 14 - n_left)


@case(
    "little_work",
    "detection time",
    "a server fails that gets one request in two seconds",
    LeaveOut(repetition, "is_doubted", _always(False)),
)
def quiet_server_is_ejected_soon() -> int:
    fleet = fleets.start_fleet(VASTKUST)
    _load(fleet, 6.0, 0.3)
    address = "10.1.0.1:80"
    fleet.servers[address].mode = "failing"
    _load(fleet, 8.0, 0.3)
    return int(_count_ejections(fleet, address) == 0)
