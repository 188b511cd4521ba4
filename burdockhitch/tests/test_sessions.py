"""Compares whole sessions, the timed events and commands of each VM, to golden files.

Run with ``WRITE_SESSIONS=1`` in the environment to rewrite them. A session's function
name is part of the name of its golden file.
"""

import os
from pathlib import Path

import pytest

from burdockhitch import events
from burdockhitch.tests import fleets
from burdockhitch.tests.fleets import SUDURLAND, VASTKUST

FOLDER = Path(__file__).parent / "sessions"


def look_up(fleet, names):
    fleet.ask_addresses(names[0], fleet.service)
    for name in names[:2]:
        fleet.call(name, "GET", "/look")
    fleet.run(0.1)


def hold_seats(fleet, names):
    key = fleet.home_token(names[0]) + "/seat"
    for name in names[:2]:
        fleet.call(name, "POST", "/home", b"seat", key)
        fleet.run(0.1)


def pay_deposit(fleet, names):
    fleet.n_lost_replies = 1
    for name in names[:2]:
        fleet.call(name, "POST", "/claim", b"deposit", "receipt")
        fleet.run(0.1)


def eject_gray_server(fleet, names):
    for address in sorted(fleet.servers)[:1]:
        fleet.servers[address].mode = "failing"
    for _ in range(12):
        fleet.call(names[0], "GET", "/look")
        fleet.run(0.03)


def leave_fleet(fleet, names):
    fleet.call(names[0], "GET", "/look")
    fleet.post(names[0], events.StopRequested())
    fleet.run(6.0)


SESSIONS = [look_up, hold_seats, pay_deposit, eject_gray_server, leave_fleet]
DEPLOYMENTS = {"vastkust": VASTKUST, "sudurland": SUDURLAND}
# Parts of the lines of membership messages and platform reads, which are left out.
OMITTED = (
    "Ping(",
    "Ack(",
    "vm_list",
    "head_read",
    "ListVms",
    "ReadRow(",
    "MembershipUpdate(",
)


def is_compared(line):
    """Return whether a line of the trace is part of the golden file."""
    is_claim_or_permit = "table='claims'" in line or "table='permits'" in line
    return is_claim_or_permit or not any(part in line for part in OMITTED)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("session", SESSIONS, ids=lambda function: function.__name__)
def test_session_matches_its_golden_file(session, deployment):
    fleet = fleets.start_fleet(DEPLOYMENTS[deployment])
    fleet.service = DEPLOYMENTS[deployment].service
    fleet.is_traced = True
    session(fleet, sorted(fleet.worlds))
    actual = "\n".join(line for line in fleet.trace if is_compared(line)) + "\n"
    path = FOLDER / f"{deployment}_{session.__name__}.txt"
    if os.environ.get("WRITE_SESSIONS"):
        path.write_text(actual)
    assert actual == path.read_text()
