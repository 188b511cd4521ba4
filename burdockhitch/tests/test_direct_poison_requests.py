"""Tests that a request that ends servers is refused soon, and no other one is."""

import pytest

from burdockhitch.messages import RequestMessage
from burdockhitch.systems.direct.poison_requests import (
    AMBIGUOUS_REFUSAL_S,
    ANSWERED_MAX,
    REFUSAL_S,
    SUSPECTS_MAX,
    TRIAL_S,
    TRIAL_VMS_MAX,
    digest_request,
)
from burdockhitch.tests.direct_fakes import HOST, make_route, start_fleet

ZONES = ("a", "b", "c")
POISON = "/a/poison"
HOT = "/a/hot"
# Servers that may end under one request before it is refused everywhere.
ENDS_ALLOWED = 3
REFUSED = "PoisonRequest"


def start_poisoned(n_vms=9, n_servers=12, seed=1, is_idempotent=True, n_tries_max=3):
    fleet = start_fleet(n_vms, n_servers, seed, ZONES)
    route = make_route(
        timeout_s=5.0, is_idempotent=is_idempotent, n_tries_max=n_tries_max
    )
    fleet.configure(2, route)
    fleet.run(1.0)
    fleet.poison_paths.add(POISON)
    return fleet


def send_sound(fleet, n_requests, path):
    """Send requests of different paths, spread over the VMs; return connections."""
    vm_ids = list(fleet.worlds)
    return [
        fleet.send(vm_ids[number % len(vm_ids)], f"{path}/{number}")
        for number in range(n_requests)
    ]


# One caller that asked again and again ended 39 servers in 20 s.
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("period_s", [0.15, 0.5, 2.0])
@pytest.mark.parametrize("n_beside", [0, 60])
def test_a_request_that_ends_servers_is_refused_by_all_vms(
    n_beside, period_s, is_idempotent, seed
):
    fleet = start_poisoned(seed=seed, is_idempotent=is_idempotent)
    vm_ids = list(fleet.worlds)
    sound = []
    connections = []
    for number in range(max(10, int(12 / period_s))):
        sound += send_sound(fleet, n_beside if number < 4 else 0, f"/a/{number}")
        vm_id = vm_ids[(number * 4) % len(vm_ids)]
        connections.append(fleet.send(vm_id, POISON))
        fleet.run(period_s)
    assert len(fleet.poison_ends) <= ENDS_ALLOWED
    served = [c for c in connections[6:] if fleet.status(c) != REFUSED]
    # Beside other requests, one more is sent to find out which of them is harmful.
    assert len(served) <= (1 if n_beside else 0)
    assert REFUSED not in {fleet.status(connection) for connection in sound}


# A gray server answers without running what it is asked.
@pytest.mark.parametrize("seed", range(4))
def test_an_error_answer_does_not_clear_a_request_that_ends_servers(seed):
    fleet = start_poisoned(seed=seed, n_tries_max=1)
    for number in range(12):
        fleet.poison_paths = set() if number % 3 == 0 else {POISON}
        behaviour = "error" if number % 3 == 0 else "ok"
        fleet.behaviour_by_server = dict.fromkeys(fleet.registry.servers, behaviour)
        connection = fleet.send("vm-0", POISON)
        fleet.run(0.5)
    assert len(fleet.poison_ends) <= ENDS_ALLOWED
    assert fleet.status(connection) == REFUSED


@pytest.mark.parametrize("seed", range(4))
def test_a_sound_request_beside_a_harmful_one_is_served_again_soon(seed):
    fleet = start_poisoned(seed=seed)
    for _step in range(4):
        send_sound(fleet, 60, "/a/sound")
        fleet.send("vm-0", POISON)
        fleet.run(0.5)
    fleet.run(AMBIGUOUS_REFUSAL_S + TRIAL_VMS_MAX * TRIAL_S)
    for _step in range(3):
        sound = send_sound(fleet, 60, "/a/sound")
        fleet.run(5.0)
    assert {fleet.status(connection) for connection in sound} == {"200"}
    assert len(fleet.poison_ends) <= ENDS_ALLOWED


@pytest.mark.parametrize("vm_id", ["late", "paused"])
def test_a_vm_that_missed_the_evidence_learns_of_it(vm_id):
    fleet = start_poisoned()
    if vm_id == "paused":
        fleet.add_vm("paused", "a")
        fleet.run(2.0)
        others = set(fleet.worlds) - {vm_id}
        links = {(vm_id, other) for other in others}
        links |= {(other, vm_id) for other in others}
        fleet.blocked_links |= links
    for number in range(6):
        fleet.send(f"vm-{number}", POISON)
        fleet.run(0.5)
    if vm_id == "late":
        fleet.add_vm("late", "a")
    fleet.blocked_links.clear()
    fleet.run(2.5)
    n_ends = len(fleet.poison_ends)
    connection = fleet.send(vm_id, POISON)
    fleet.run(1.0)
    assert fleet.status(connection) == REFUSED
    assert len(fleet.poison_ends) == n_ends


def end_at_once(fleet, server_ids):
    for server_id in server_ids:
        fleet.end_server(server_id, 3.0)


def end_one_after_the_other(fleet, server_ids):
    for number, server_id in enumerate(server_ids):
        fleet.later(0.3 * number, lambda id=server_id: fleet.end_server(id, 1.0))


# A path that many callers ask for is open on every server that ends.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("n_ended", [4, 12])
@pytest.mark.parametrize("end_servers", [end_at_once, end_one_after_the_other])
def test_no_sound_request_is_refused_after_servers_ended_for_another_reason(
    end_servers, n_ended, seed
):
    fleet = start_poisoned(seed=seed)
    fleet.poison_paths.clear()
    vm_ids = list(fleet.worlds)
    connections = []
    for step in range(60):
        if step == 20:
            end_servers(fleet, list(fleet.registry.servers)[:n_ended])
        for vm_id in vm_ids:
            connections.append(fleet.send(vm_id, HOT))
            connections.append(fleet.send(vm_id, f"/a/{vm_id}/{step}"))
        fleet.run(0.1)
    fleet.run(5.0)
    statuses = [fleet.status(connection) for connection in connections]
    assert "open" not in statuses
    assert REFUSED not in statuses


def test_a_request_that_is_harmless_again_is_tried_once_and_then_served():
    fleet = start_poisoned()
    for number in range(6):
        fleet.send(f"vm-{number}", POISON)
        fleet.run(0.5)
    n_ends = len(fleet.poison_ends)
    fleet.poison_paths.clear()
    fleet.run(REFUSAL_S)
    n_sent = len(fleet.sent_attempts)
    for vm_id in fleet.worlds:
        fleet.send(vm_id, POISON)
    assert len(fleet.sent_attempts) <= n_sent + 1
    statuses = []
    for _step in range(60):
        fleet.run(1.0)
        connections = [fleet.send(vm_id, POISON) for vm_id in fleet.worlds]
        fleet.run(0.5)
        statuses = [fleet.status(connection) for connection in connections]
    assert set(statuses) == {"200"}
    assert len(fleet.poison_ends) == n_ends


def test_a_request_that_stays_harmful_ends_few_servers_in_its_trials():
    fleet = start_poisoned()
    for step in range(300):
        fleet.send(f"vm-{step % 9}", POISON)
        fleet.run(1.0)
    # Trials come 30, 60, 120 and 240 s after the last end.
    assert len(fleet.poison_ends) <= ENDS_ALLOWED + 4


def test_the_memory_for_many_harmful_requests_is_bounded():
    fleet = start_poisoned(n_vms=1, n_servers=3)
    world = fleet.worlds["vm-0"]
    fleet.poison_paths |= {f"/a/{number}" for number in range(SUSPECTS_MAX + 200)}
    for number in range(SUSPECTS_MAX + 200):
        fleet.send("vm-0", f"/a/{number}")
        fleet.run(0.5)
    assert len(world.suspect_requests) <= SUSPECTS_MAX
    assert len(world.answered_requests) <= ANSWERED_MAX


def make_message(method="GET", path=POISON, body=b"", headers=(), host=HOST):
    return RequestMessage(method, path, headers, body, "", host)


@pytest.mark.parametrize(
    ("fields", "is_same"),
    [
        ({"headers": (("request-id", "other"),)}, True),
        ({"path": POISON + "?page=2"}, False),
        ({"method": "POST"}, False),
        ({"host": "b.example"}, False),
        ({"body": b"x"}, False),
    ],
)
def test_a_request_is_known_by_what_it_asks(fields, is_same):
    digest = digest_request(make_message(**fields))
    assert (digest == digest_request(make_message())) == is_same
