"""Tests how attempts use new and idle connections to backend servers."""

from twisted.internet.testing import MemoryReactorClock

from burdockhitch import commands, events
from burdockhitch.adapters.answer_limits import AnswerLimits
from burdockhitch.adapters.connections import ConnectionPool
from burdockhitch.messages import RequestMessage
from burdockhitch.platform.backends import cancel_attempt, send_attempt
from burdockhitch.platform.process import PlatformProcess
from burdockhitch.tables.requests import AttemptRow
from burdockhitch.tests.direct_fakes import start_fleet
from burdockhitch.tests.test_connections import (
    ADDRESS,
    TIMEOUT_S,
    connect,
    refuse_connection,
)

ATTEMPT_ID = 77


class RecordingTicker:
    """Records the events that the adapter posts."""

    def __init__(self):
        self.events = []

    def post(self, event):
        self.events.append(event)


def start_attempt(fleet, timeout_s=2.0):
    """Return a process with one attempt without an idle connection, and its command."""
    world = fleet.worlds["vm-0"]
    world.attempts.insert(AttemptRow(ATTEMPT_ID, "r", "1", "booking", 0.0))
    reactor = MemoryReactorClock()
    limits = AnswerLimits(body_max_bytes=1000, open_max_bytes=1000)
    pool = ConnectionPool(reactor, reactor.seconds, TIMEOUT_S, limits)
    process = PlatformProcess(
        world, reactor, RecordingTicker(), {}, {}, pool, None, [], iter(range(9))
    )
    message = RequestMessage("GET", "/a/", (), b"", "", "a.example")
    command = commands.SendAttempt(
        ATTEMPT_ID,
        "id",
        ADDRESS,
        message,
        timeout_s,
        "1",
    )
    send_attempt(process, command)
    return process, command


def test_a_refused_connection_ends_an_attempt_as_not_sent():
    process, _command = start_attempt(start_fleet(n_vms=1))
    refuse_connection(process.reactor)
    assert process.ticker.events == [
        events.BackendFailed(ATTEMPT_ID, events.AttemptFailure.NOT_SENT)
    ]


def test_nothing_is_sent_for_an_attempt_cancelled_while_connecting():
    process, _command = start_attempt(start_fleet(n_vms=1))
    cancel_attempt(process, commands.CancelAttempt(ATTEMPT_ID))
    assert connect(process.reactor).transport.value() == b""
    assert process.ticker.events == []
