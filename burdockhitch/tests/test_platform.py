"""One contract for the platform, held by the stand-in and by the fake."""

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
MISSING = commands.ReadRow("op", "t", "a/b c")
INSERT = commands.RunTransaction(
    "op",
    (commands.Condition("t", "a/b c", 0),),
    (commands.Write("t", "a/b c", VALUE),),
)
UPDATE = INSERT._replace(conditions=(commands.Condition("t", "a/b c", 1),))
TWO_ROWS = INSERT._replace(
    conditions=(commands.Condition("t", "x", 0), commands.Condition("t", "a/b c", 7)),
    writes=(commands.Write("t", "x", VALUE),),
)
STORE = commands.WriteObject("op", "name", b"\0body")
LOAD = commands.ReadObject("op", "name")

CASES = {
    "missing row": [(MISSING, PlatformNotFoundError)],
    "insert": [(INSERT, None), (MISSING, {"version": 1, "value": VALUE})],
    "insert twice": [(INSERT, None), (INSERT, PlatformConflictError)],
    "update": [(INSERT, None), (UPDATE, None), (UPDATE, PlatformConflictError)],
    "all or nothing": [
        (TWO_ROWS, PlatformConflictError),
        (commands.ReadRow("op", "t", "x"), PlatformNotFoundError),
    ],
    "missing object": [(LOAD, PlatformNotFoundError)],
    "object": [(STORE, None), (LOAD, b"\0body")],
    "lost reply": [
        ("lose", None),
        (INSERT, PlatformUnavailableError),
        (MISSING, {"version": 1, "value": VALUE}),
    ],
    "outage": [("stop", None), (MISSING, PlatformUnavailableError)],
}


class FakePlatform:
    """Runs commands against the fake."""

    def __init__(self):
        self.fleet = FakeFleet()
        self.fleet.is_traced = True

    def disturb(self, fault):
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
    """Runs commands against the stand-in's process."""

    def __init__(self, address):
        self.address = address

    def disturb(self, fault):
        faults = {"is_down": fault == "stop", "n_lost_replies": int(fault == "lose")}
        tool.put_json(self.address, "/faults", faults)

    def run(self, command):
        reply = tool.ask(self.address, *standin_requests[type(command)](command))
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
standin_requests = {
    commands.ReadRow: lambda c: ("GET", row_path(c.table, c.key)),
    commands.ReadObject: lambda c: ("GET", object_path(c.name)),
    commands.WriteObject: lambda c: ("PUT", object_path(c.name), c.body),
    commands.RunTransaction: lambda c: (
        "POST",
        "/transactions",
        encode_transaction(c),
    ),
}


def hold_contract(platform, steps):
    for command, expected in steps:
        if isinstance(command, str):
            platform.disturb(command)
            continue
        found = platform.run(command)
        if expected is not None:
            assert found == expected
        else:
            assert not isinstance(found, type)


@pytest.mark.parametrize("name", CASES)
def test_fake_holds_the_contract(name):
    hold_contract(FakePlatform(), CASES[name])


@pytest.mark.parametrize("name", CASES)
def test_standin_holds_the_contract(name):
    with tool.run_fleet([], [], "service s floor=0slots # K\n") as fleet:
        hold_contract(StandinPlatform(fleet.platform_address), CASES[name])
