"""Tests that the fake platform and the stand-in process reply alike.

Tests of systems use the fake and tests of processes the stand-in, so a difference
between the two would hide faults. Each case runs against both.
"""

import pytest

from burdockhitch import commands, events
from burdockhitch.adapters.platform import encode_transaction, object_path, row_path
from burdockhitch.errors import (
    PlatformConflictError,
    PlatformNotFoundError,
    PlatformUnavailableError,
)
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.tests.fakes import fakes as fake_adapters
from tools import fleet as tool

VALUE = {"n": 1}
READ_ROW = commands.ReadRow("op", "t", "a/b c")
INSERT = commands.RunTransaction(
    "op",
    (commands.RowCondition("t", "a/b c", 0),),
    (commands.RowWrite("t", "a/b c", VALUE),),
)
UPDATE = INSERT._replace(conditions=(commands.RowCondition("t", "a/b c", 1),))
TWO_ROWS = INSERT._replace(
    conditions=(
        commands.RowCondition("t", "x", 0),
        commands.RowCondition("t", "a/b c", 7),
    ),
    writes=(commands.RowWrite("t", "x", VALUE),),
)
WRITE_OBJECT = commands.WriteObject("op", "name", b"\0body")
READ_OBJECT = commands.ReadObject("op", "name")

CASES = {
    "missing row": [(READ_ROW, PlatformNotFoundError)],
    "insert": [(INSERT, None), (READ_ROW, {"version": 1, "value": VALUE})],
    "insert twice": [(INSERT, None), (INSERT, PlatformConflictError)],
    "update": [(INSERT, None), (UPDATE, None), (UPDATE, PlatformConflictError)],
    "all or nothing": [
        (TWO_ROWS, PlatformConflictError),
        (commands.ReadRow("op", "t", "x"), PlatformNotFoundError),
    ],
    "missing object": [(READ_OBJECT, PlatformNotFoundError)],
    "object": [(WRITE_OBJECT, None), (READ_OBJECT, b"\0body")],
    "lost reply": [
        ("lose", None),
        (INSERT, PlatformUnavailableError),
        (READ_ROW, {"version": 1, "value": VALUE}),
    ],
    "outage": [("stop", None), (READ_ROW, PlatformUnavailableError)],
}


class FakePlatform:
    """Runs commands against the in-memory fake."""

    def __init__(self):
        self.fleet = FakeFleet()
        self.fleet.is_traced = True

    def cause_fault(self, fault):
        self.fleet.is_platform_down = fault == "stop"
        self.fleet.n_lost_replies = int(fault == "lose")

    def run(self, command):
        world = self.fleet.add_vm("a1", "a")
        world.timers.clear()
        self.fleet.trace.clear()
        replies = []
        self.fleet.post_to = lambda _world, event, _delay_s: replies.append(event)
        fake_adapters[type(command).__name__](self.fleet, "a1", command)
        self.fleet.run(1.0)
        [reply] = [item for item in replies if item.operation_id == "op"]
        assert type(reply) is events.PlatformReplied
        return reply.error or reply.document


class StandinPlatform:
    """Runs commands against a stand-in process over HTTP."""

    def __init__(self, address):
        self.address = address

    def cause_fault(self, fault):
        faults = {"is_down": fault == "stop", "n_lost_replies": int(fault == "lose")}
        tool.put_json(self.address, "/faults", faults)

    def run(self, command):
        reply = tool.send_request(
            self.address, *STANDIN_REQUESTS[type(command)](command)
        )
        if reply.status != 200:
            return STATUS_ERRORS[reply.status]
        if isinstance(command, commands.ReadRow):
            return tool.json.loads(reply.body)
        return reply.body


STATUS_ERRORS = {
    404: PlatformNotFoundError,
    409: PlatformConflictError,
    503: PlatformUnavailableError,
}
STANDIN_REQUESTS = {
    commands.ReadRow: lambda c: ("GET", row_path(c.table, c.key)),
    commands.ReadObject: lambda c: ("GET", object_path(c.name)),
    commands.WriteObject: lambda c: ("PUT", object_path(c.name), c.body),
    commands.RunTransaction: lambda c: (
        "POST",
        "/transactions",
        encode_transaction(c),
    ),
}


def check_replies(platform, steps):
    for command, expected in steps:
        if isinstance(command, str):
            platform.cause_fault(command)
            continue
        reply = platform.run(command)
        if expected is not None:
            assert reply == expected
        else:
            assert not isinstance(reply, type)


@pytest.mark.parametrize("name", CASES)
def test_fake_platform_gives_the_expected_replies(name):
    check_replies(FakePlatform(), CASES[name])


@pytest.mark.parametrize("name", CASES)
def test_standin_platform_gives_the_expected_replies(name):
    with tool.run_fleet([], [], "service s floor=0slots # K\n") as fleet:
        check_replies(StandinPlatform(fleet.platform_address), CASES[name])
