"""Tests that a VM keeps to what servers state of leaving and of pauses."""

import pytest

from burdockhitch import events
from burdockhitch.direct_messages import ServersCopy, Snapshot
from burdockhitch.systems.direct.configuration import registry_view
from burdockhitch.systems.direct.sending_permission import sending_conditions
from burdockhitch.systems.direct.snapshots import PURPOSE_SNAPSHOT
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tests.direct_fakes import make_route, make_server, start_fleet
from burdockhitch.world import start_platform_operation

# The users' bounds: nothing later than this after a server stated that it leaves, and
# at most so many requests between this time and the end of a pause.
DRAIN_S = 2.0
PAUSE_FROM_S = 0.5
IN_PAUSE_MAX = 2
SERVER = "1"
OLD = {"process_started_ms": 5, "sequence": 3}


def start(n_servers=3, n_vms=1, **route):
    """Return a fleet with a server "1" whose process and entry have numbers."""
    fleet = start_fleet(n_vms=n_vms, n_servers=n_servers)
    fleet.add_server(SERVER, **OLD)
    fleet.configure(2, make_route(**route))
    fleet.run(1.0)
    return fleet


def send_for(fleet, duration_s, period_s=0.05):
    """Send requests to all VMs; return the connections."""
    connections = []
    for _step in range(round(duration_s / period_s)):
        connections += [fleet.send(vm_id) for vm_id in fleet.worlds]
        fleet.run(period_s)
    return connections


def sent_after(fleet, at_s, server_id=SERVER):
    """Return how many requests reached a server after a time."""
    return sum(
        attempt.server_id == server_id and attempt.at_s > at_s
        for attempt in fleet.sent_attempts
    )


def state_leaving(fleet):
    """Let server "1" state that it leaves until every VM knows; return when."""
    fleet.leaving_server_ids.add(SERVER)
    for _step in range(100):
        send_for(fleet, 0.1)
        if all(SERVER in world.leaving_servers for world in fleet.worlds.values()):
            return fleet.clock.elapsed_s
    raise AssertionError("a VM never got an answer of the server")


def list_as_ready(fleet):
    """List the server as ready, as if it had written again."""
    fleet.add_server(SERVER, **{**OLD, "sequence": 8})


def list_as_gone_and_ready(fleet):
    """Remove the server from the registry, and list it again."""
    fleet.remove_server(SERVER)
    fleet.run(1.0)
    fleet.add_server(SERVER, **{**OLD, "sequence": 8})


def read_whole(fleet):
    """Lose the history, so that the list is read whole."""
    fleet.registry.is_history_gone = True
    fleet.add_server("9")


def restore(fleet):
    """Restore the registry from a copy that lists the server as ready."""
    fleet.registry.restore(fleet.registry.copy())


def copy_from_vm_behind(fleet):
    """Copy a list from another VM that holds the server as ready."""
    world = fleet.worlds["vm-0"]
    operation_id = start_platform_operation(
        world, PURPOSE_SNAPSHOT, "vm-x", fleet.clock.now()
    )
    version = registry_view(world, RegistryPart.SERVERS).version + 1
    servers = (make_server(SERVER, **OLD), make_server("2"), make_server("3"))
    copy = ServersCopy(version, servers, (), True, (), 0, ())
    snapshot = Snapshot(None, copy, ())
    fleet.post("vm-0", events.SnapshotRead(operation_id, None, snapshot, 10))


def state_nothing(fleet):
    """Let the server's later answers no longer state that it leaves."""
    fleet.leaving_server_ids.clear()


LATER = {
    "nothing": lambda fleet: None,
    "listed as ready": list_as_ready,
    "removed and listed": list_as_gone_and_ready,
    "list read whole": read_whole,
    "store restored": restore,
    "copied from a VM behind": copy_from_vm_behind,
    "no longer stated": state_nothing,
}


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("change", LATER.values(), ids=LATER)
def test_a_server_that_states_that_it_leaves_gets_no_more_requests(
    change, is_idempotent
):
    fleet = start(is_idempotent=is_idempotent)
    stated_at_s = state_leaving(fleet)
    change(fleet)
    send_for(fleet, 6.0)
    assert sent_after(fleet, stated_at_s) == 0


def test_a_new_process_of_a_server_that_left_is_used():
    fleet = start()
    state_leaving(fleet)
    fleet.leaving_server_ids.clear()
    fleet.add_server(SERVER, process_started_ms=6, sequence=1)
    fleet.run(1.0)
    listed_at_s = fleet.clock.elapsed_s
    send_for(fleet, 3.0)
    assert sent_after(fleet, listed_at_s) > 0


def test_a_server_removed_before_its_answer_came_still_counts_as_leaving():
    fleet = start(is_idempotent=False)
    fleet.server_wait_s[SERVER] = 1.0
    send_for(fleet, 0.6)
    assert sent_after(fleet, 0.0)
    fleet.leaving_server_ids.add(SERVER)
    fleet.remove_server(SERVER)
    fleet.run(2.0)
    listed_at_s = fleet.clock.elapsed_s
    fleet.add_server(SERVER, **{**OLD, "sequence": 8})
    send_for(fleet, 3.0)
    assert sent_after(fleet, listed_at_s) == 0


def test_a_late_answer_of_an_earlier_process_says_nothing_of_the_next():
    fleet = start(is_idempotent=False)
    fleet.server_wait_s[SERVER] = 1.0
    send_for(fleet, 0.6)
    assert sent_after(fleet, 0.0)
    fleet.leaving_server_ids.add(SERVER)
    fleet.add_server(SERVER, process_started_ms=6, sequence=1)
    fleet.run(2.0)
    fleet.leaving_server_ids.clear()
    fleet.server_wait_s.clear()
    assert not len(fleet.worlds["vm-0"].leaving_servers)
    listed_at_s = fleet.clock.elapsed_s
    send_for(fleet, 12.0)
    assert sent_after(fleet, listed_at_s) > 0


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_callers_are_refused_at_once_while_all_servers_leave(is_idempotent):
    fleet = start(n_servers=2, is_idempotent=is_idempotent)
    fleet.leaving_server_ids = {"1", "2"}
    send_for(fleet, 1.0)
    connection = fleet.send("vm-0")
    assert fleet.status(connection) == "NoBackendServer"
    refusal = fleet.caller_replies[connection].command.refusal
    assert "(not met: 2 staying)" in refusal.detail


PAUSES = {"short": 1.0, "long": 8.0, "fraction": 2.5, "too long to keep": 1e9}


@pytest.mark.parametrize("connect_delay_s", [0.0, 0.2])
@pytest.mark.parametrize("n_servers", [1, 3])
@pytest.mark.parametrize("rest_s", PAUSES.values(), ids=PAUSES)
def test_a_server_gets_no_requests_of_a_vm_in_the_pause_that_it_asked_for(
    rest_s, n_servers, connect_delay_s
):
    fleet = start(n_servers, n_tries_max=3)
    fleet.connect_delay_s[SERVER] = connect_delay_s
    fleet.behaviour_by_server[SERVER] = "shed"
    fleet.stated_rests[SERVER] = rest_s
    send_for(fleet, 12.0, 0.02)
    times_s = [a.at_s for a in fleet.sent_attempts if a.server_id == SERVER]
    assert times_s
    for at_s in times_s:
        in_pause = [
            later_s
            for later_s in times_s
            if at_s + PAUSE_FROM_S < later_s < at_s + min(rest_s, 12.0)
        ]
        assert len(in_pause) <= IN_PAUSE_MAX


def test_a_server_is_used_again_after_its_pause():
    fleet = start()
    fleet.behaviour_by_server[SERVER] = "shed"
    fleet.stated_rests[SERVER] = 2.0
    send_for(fleet, 1.0)
    fleet.behaviour_by_server[SERVER] = "ok"
    fleet.stated_rests.clear()
    fleet.run(2.0)
    rested_at_s = fleet.clock.elapsed_s
    send_for(fleet, 3.0)
    assert sent_after(fleet, rested_at_s) > 0


@pytest.mark.parametrize(
    ("rests", "remaining_s", "first_s"),
    [({"1": 1.0, "2": 5.0}, 9.0, 1.0), ({"1": 4.0, "2": 2.0}, 30.0, 2.0)],
)
def test_callers_return_when_the_first_pause_ends(rests, remaining_s, first_s):
    fleet = start(n_servers=2, n_tries_max=1, timeout_s=60.0)
    fleet.behaviour_by_server = {"1": "shed", "2": "shed"}
    fleet.stated_rests = rests
    for _number in range(20):
        fleet.send("vm-0")
    fleet.run(0.1)
    connection = fleet.send("vm-0", remaining_s=remaining_s)
    refusal = fleet.caller_replies[connection].command.refusal
    assert refusal.error == "NoBackendServer"
    assert first_s - 0.2 <= refusal.retry_after_s <= remaining_s / 3


def test_the_cheap_conditions_for_sending_come_first():
    assert sending_conditions.names() == (
        "listed as ready",
        "staying",
        "rested",
        "below its limit",
    )
