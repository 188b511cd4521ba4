"""Repetitions must not run a non-idempotent request twice or occupy slots forever.

A repetition sends a safe request again to a server with evidence against it, to get
further evidence sooner.
"""

import pytest

from burdockhitch.systems.health import add_evidence, health_profile_of
from burdockhitch.tests import fleets
from burdockhitch.tests.fleets import VASTKUST

SERVER = "10.1.0.1:80"


def add_error_evidence(fleet):
    """Add the evidence of one error against ``SERVER``; return its owner's world."""
    for world in fleet.worlds.values():
        row = world.server_health.get(f"booking/{SERVER}")
        if row is not None:
            evidence = add_evidence(0.0, True, health_profile_of(world, "booking"))
            world.server_health.replace(row._replace(error_evidence=evidence))
            return world
    raise AssertionError(f"no VM owns {SERVER}")


def count_repetitions(fleet):
    return sum(
        request.request_id.startswith("repetition:")
        for request in fleet.executed_requests
    )


@pytest.mark.parametrize(
    ("method", "path", "has_evidence", "mode", "is_repeated"),
    [
        ("GET", "/look", True, "ok", True),
        ("GET", "/look", True, "failing", True),
        ("GET", "/look", True, "silent", True),
        ("GET", "/look", False, "ok", False),
        ("POST", "/plain", True, "ok", False),
    ],
)
def test_only_safe_requests_are_repeated_and_only_with_evidence(
    method, path, has_evidence, mode, is_repeated
):
    fleet = fleets.start_fleet(VASTKUST)
    owner = "vk-a-0"
    bodies = [b"" if method == "GET" else b"seat %d" % number for number in range(9)]
    fleet.call(owner, method, path, bodies[8])
    fleet.run(0.5)
    if has_evidence:
        world = add_error_evidence(fleet)
        assert world is fleet.worlds[owner]
    fleet.servers[SERVER].mode = mode
    for number in range(8):
        fleet.call(owner, method, path, bodies[number])
    fleet.run(8.0)
    fleet.servers[SERVER].mode = "ok"
    fleet.run(20.0)
    assert (count_repetitions(fleet) > 0) is is_repeated
    assert fleets.count_repeated_executions(fleet) == 0
    for world in fleet.worlds.values():
        assert len(world.attempts) == 0
        assert [slot.n_in_flight for slot in world.slot_usages] == [0, 0]


def test_repetitions_end_when_the_evidence_is_gone():
    fleet = fleets.start_fleet(VASTKUST)
    fleet.call("vk-a-0", "GET", "/look")
    fleet.run(0.5)
    add_error_evidence(fleet)
    fleet.servers["10.1.0.2:80"].mode = "shedding"
    fleet.call("vk-a-0", "GET", "/look")
    fleet.run(10.0)
    assert 5 <= count_repetitions(fleet) <= 12
