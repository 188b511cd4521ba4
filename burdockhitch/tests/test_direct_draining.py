"""Tests that a planned stop leaves no request without an answer."""

import pytest

from burdockhitch import events
from burdockhitch.tests.direct_fakes import make_route, start_fleet

GRACE_S = 6.0
# Servers wait so long that an answer to a late request can't come within the grace.
LONG_S = 5.0


def start_stopping_vm(grace_s=GRACE_S, timeout_s=10.0, wait_s=0.0, **route):
    """Return a fleet of which VM "vm-0" has just got the request to stop."""
    fleet = start_fleet(n_vms=2, grace_s=grace_s)
    fleet.configure(2, make_route(timeout_s=timeout_s, n_tries_max=1, **route))
    fleet.run(1.0)
    fleet.server_wait_s = dict.fromkeys(fleet.registry.servers, wait_s)
    fleet.post("vm-0", events.StopRequested())
    return fleet


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("arrives_s", [3.1, 4.0, 5.0, 5.5])
def test_a_late_request_that_may_outlast_the_stop_is_refused_as_not_run(
    arrives_s, is_idempotent
):
    fleet = start_stopping_vm(wait_s=LONG_S, is_idempotent=is_idempotent)
    waiting = fleet.send("vm-0", remaining_s=5.2)
    fleet.run(arrives_s)
    connection = fleet.send("vm-0", remaining_s=8.0)
    assert fleet.status(connection) == "NotReady"
    assert len(fleet.issued_attempts) == 1
    fleet.run(GRACE_S)
    assert fleet.status(waiting) == "200"


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(
    ("arrives_s", "remaining_s"), [(0.5, 8.0), (2.5, 8.0), (3.5, 1.5), (4.8, 0.5)]
)
def test_a_request_that_ends_before_the_stop_is_served(
    arrives_s, remaining_s, is_idempotent
):
    fleet = start_stopping_vm(wait_s=LONG_S, is_idempotent=is_idempotent)
    # Keeps the process from ending before.
    waiting = fleet.send("vm-0", remaining_s=5.2)
    fleet.server_wait_s.clear()
    fleet.run(arrives_s)
    connection = fleet.send("vm-0", remaining_s=remaining_s)
    fleet.run(GRACE_S)
    assert (fleet.status(waiting), fleet.status(connection)) == ("200", "200")


@pytest.mark.parametrize("grace_s", [2.0, 6.0, 10.0])
@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("behaviour", ["mute", "ok", "unreachable"])
def test_every_request_has_an_answer_before_the_process_ends(
    behaviour, is_idempotent, grace_s
):
    fleet = start_stopping_vm(
        grace_s, timeout_s=20.0, wait_s=30.0, is_idempotent=is_idempotent
    )
    fleet.behaviour_by_server = dict.fromkeys(fleet.registry.servers, behaviour)
    connections = []
    for _step in range(int(grace_s / 0.1)):
        if "vm-0" not in fleet.stopped_vm_ids:
            connections.append(fleet.send("vm-0", remaining_s=20.0))
        fleet.run(0.1)
    assert fleet.stopped_vm_ids == {"vm-0"}
    assert [fleet.status(c) for c in connections if fleet.status(c) == "open"] == []
    stop_at_s = fleet.clock.elapsed_s
    replies = [fleet.caller_replies[c].at_s for c in connections]
    assert max(replies) <= stop_at_s


# A VM ended while it still wrote long answers to callers on slow links.
@pytest.mark.parametrize("written_after_s", [0.0, 2.0, 4.5, 100.0])
def test_a_vm_ends_when_its_last_answer_is_written_or_its_grace_ends(written_after_s):
    fleet = start_stopping_vm()
    fleet.n_unwritten_answers = 1
    fleet.later(written_after_s, lambda: setattr(fleet, "n_unwritten_answers", 0))
    fleet.run(min(written_after_s, GRACE_S - 0.2))
    assert fleet.stopped_vm_ids == set()
    # It listens for half of its grace, and ends in time for the platform.
    fleet.run(max(0.5, GRACE_S / 2 + 0.5 - written_after_s))
    assert fleet.stopped_vm_ids == {"vm-0"}
