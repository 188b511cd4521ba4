"""Tests that all VMs together keep the rates that backend servers state."""

from typing import NamedTuple

import pytest

from burdockhitch import events
from burdockhitch.direct_messages import LimitStatement, Report
from burdockhitch.tests.direct_fakes import make_route, start_fleet

# The users' bound on the requests that a server gets in any window, from some time
# after it first stated its limit.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
SETTLED_AFTER_S = 3.0
STEP_S = 0.02


class LimitCase(NamedTuple):
    """A fleet with limited servers, and the load on it.

    Attributes:
        n_vms: Number of VMs.
        n_servers: Number of backend servers.
        n_limited: How many of them state a limit.
        limit_per_s: Requests a second that each of these accepts.
        requests_per_s: Requests of callers a second.
        zones: Availability zones of VMs and servers.
        behaviour: What the limited servers do.
    """

    n_vms: int
    n_servers: int
    n_limited: int
    limit_per_s: float
    requests_per_s: float
    zones: tuple[str, ...] = ("a", "b", "c")
    behaviour: str = "ok"


CASES = {
    "most servers": LimitCase(24, 10, 7, 4.0, 60.0),
    "all servers": LimitCase(24, 6, 6, 4.0, 60.0),
    "all servers, few requests each": LimitCase(48, 6, 6, 0.5, 60.0),
    "one server": LimitCase(24, 10, 1, 2.0, 100.0),
    "servers that take nothing": LimitCase(24, 10, 5, 0.0, 60.0),
    "servers that refuse": LimitCase(24, 10, 7, 4.0, 60.0, behaviour="shed"),
    "two VMs": LimitCase(2, 4, 4, 3.0, 60.0, zones=("a",)),
}


def start_case(case, seed=1, **fields):
    """Return a started fleet of a case, whose servers don't state a limit yet."""
    fleet = start_fleet(case.n_vms, case.n_servers, seed, case.zones)
    fleet.configure(2, make_route(**fields))
    fleet.run(1.0)
    return fleet


def limited_servers(case):
    """Return the IDs of the servers of a case that state a limit."""
    return [str(number + 1) for number in range(case.n_limited)]


def limit_servers(fleet, case):
    """Let the limited servers of a case state their limit from now on."""
    for server_id in limited_servers(case):
        fleet.stated_limits[server_id] = case.limit_per_s
        fleet.behaviour_by_server[server_id] = case.behaviour


def send_requests(fleet, case, duration_s):
    """Send requests to VMs in turn at the rate of a case."""
    n_due = 0.0
    for _step in range(round(duration_s / STEP_S)):
        n_due += case.requests_per_s * STEP_S
        while n_due >= 1.0:
            n_due -= 1.0
            vm_ids = sorted(fleet.worlds)
            fleet.send(fleet.rng.choice(vm_ids))
        fleet.run(STEP_S)


def most_in_window(fleet, server_id, from_s):
    """Return the most requests that reached a server in any window after a time."""
    times_s = [
        attempt.at_s
        for attempt in fleet.sent_attempts
        if attempt.server_id == server_id and attempt.at_s >= from_s
    ]
    most = 0
    first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def limit_excesses(fleet, case, from_s):
    """Return the limited servers that got too many requests, with their number."""
    n_max = LIMIT_FACTOR * case.limit_per_s * WINDOW_S + LIMIT_SLACK
    most = {
        server_id: most_in_window(fleet, server_id, from_s)
        for server_id in limited_servers(case)
    }
    return {server_id: n for server_id, n in most.items() if n > n_max}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_a_server_gets_no_more_requests_than_the_limit_that_it_states(case):
    fleet = start_case(case)
    send_requests(fleet, case, 2.0)
    limit_servers(fleet, case)
    stated_at_s = fleet.clock.elapsed_s
    send_requests(fleet, case, 12.0)
    assert limit_excesses(fleet, case, stated_at_s + SETTLED_AFTER_S) == {}


@pytest.mark.parametrize(
    ("name", "used_min"),
    [("all servers", 0.6), ("all servers, few requests each", 0.5), ("two VMs", 0.6)],
)
def test_limited_servers_are_used_while_callers_need_them(name, used_min):
    case = CASES[name]
    fleet = start_case(case)
    limit_servers(fleet, case)
    send_requests(fleet, case, 12.0)
    from_s = fleet.clock.elapsed_s - 8.0
    n_sent = sum(
        attempt.at_s >= from_s and attempt.server_id in limited_servers(case)
        for attempt in fleet.sent_attempts
    )
    n_accepted = case.n_limited * case.limit_per_s * 8.0
    assert n_sent >= used_min * n_accepted


@pytest.mark.parametrize("loss_ratio", [0.0, 0.3])
def test_all_vms_use_a_server_again_once_it_states_no_limit(loss_ratio):
    case = CASES["one server"]
    fleet = start_case(case)
    fleet.loss_ratio = loss_ratio
    limit_servers(fleet, case)
    send_requests(fleet, case, 4.0)
    assert all(len(world.server_limits) == 1 for world in fleet.worlds.values())
    fleet.stated_limits.clear()
    send_requests(fleet, case, 8.0)
    limits = [row for world in fleet.worlds.values() for row in world.server_limits]
    assert [row for row in limits if row.limit_per_s is not None] == []
    assert all(not len(world.sending_shares) for world in fleet.worlds.values())
    send_requests(fleet, case, 12.0)
    assert all(not len(world.server_limits) for world in fleet.worlds.values())


def stop_third(fleet, settings):
    """Kill every third VM."""
    for vm_id in sorted(settings)[::3]:
        fleet.kill_vm(vm_id)


def start_third(fleet, settings):
    """Start the killed VMs again."""
    for vm_id in sorted(set(settings) - set(fleet.worlds)):
        fleet.restart_vm(vm_id, settings[vm_id])


def lose_messages(fleet, _settings):
    """Lose three of ten messages between VMs."""
    fleet.loss_ratio = 0.3


def replace_servers(fleet, _settings):
    """Add servers, which moves the places of all others."""
    for number in range(3):
        fleet.add_server(f"new-{number}", zone="a")


CHANGES = {
    "VMs die": (stop_third,),
    "VMs die and return": (stop_third, start_third),
    "messages are lost": (lose_messages,),
    "servers come": (replace_servers,),
    "all at once": (lose_messages, stop_third, replace_servers, start_third),
}


@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize("seed", [1, 2])
def test_limits_are_kept_while_vms_and_servers_change(changes, seed):
    case = CASES["most servers"]
    fleet = start_case(case, seed)
    settings = {vm_id: world.settings for vm_id, world in fleet.worlds.items()}
    limit_servers(fleet, case)
    stated_at_s = fleet.clock.elapsed_s
    send_requests(fleet, case, 4.0)
    for change in changes:
        change(fleet, settings)
        send_requests(fleet, case, 3.0)
    assert limit_excesses(fleet, case, stated_at_s + SETTLED_AFTER_S) == {}


def test_a_restarted_vm_learns_the_limits_from_others():
    case = CASES["most servers"]
    fleet = start_case(case)
    settings = fleet.worlds["vm-0"].settings
    limit_servers(fleet, case)
    send_requests(fleet, case, 4.0)
    fleet.kill_vm("vm-0")
    send_requests(fleet, case, 1.0)
    world = fleet.restart_vm("vm-0", settings)
    quiet = case._replace(requests_per_s=40.0)
    send_requests(fleet, quiet, 4.0)
    limits = {row.server_id: row.limit_per_s for row in world.server_limits}
    assert limits == dict.fromkeys(limited_servers(case), case.limit_per_s)


STATEMENTS = {
    "first": ([(4.0, 0.1)], 4.0),
    "later one": ([(4.0, 0.2), (2.0, 0.1)], 2.0),
    "late copy": ([(2.0, 0.1), (4.0, 0.2)], 2.0),
    "end": ([(4.0, 0.2), (None, 0.1)], None),
    "first, after an end of nothing": ([(None, 0.2), (4.0, 0.1)], 4.0),
    "copy from before the end": ([(4.0, 0.3), (None, 0.1), (4.0, 0.2)], None),
}


@pytest.mark.parametrize(
    ("statements", "limit_per_s"), STATEMENTS.values(), ids=STATEMENTS
)
def test_the_latest_statement_counts(statements, limit_per_s):
    fleet = start_fleet(n_vms=2)
    world = fleet.worlds["vm-0"]
    for stated_per_s, age_s in statements:
        report = Report((), None, limits=(LimitStatement("1", stated_per_s, age_s),))
        fleet.post("vm-0", events.VmMessageArrived("vm-1", report))
    fleet.run(0.2)
    assert world.server_limits.fetch("1").limit_per_s == limit_per_s
