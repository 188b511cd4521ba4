"""Tests how attempts use new and idle connections to backend servers."""

import pytest
from twisted.internet.error import TimeoutError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from burdockhitch import commands, events
from burdockhitch.adapters.answer_limits import AnswerLimits
from burdockhitch.adapters.connections import ConnectionPool
from burdockhitch.messages import RequestMessage
from burdockhitch.platform.backends import (
    cancel_attempt,
    check_server,
    send_attempt,
)
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


def start_attempt(fleet, timeout_s=2.0, connect_timeout_s=1.0):
    """Return a process with one attempt without an idle connection, and its command."""
    world = fleet.worlds["vm-0"]
    world.attempts.insert(AttemptRow(ATTEMPT_ID, "r", "1", "booking", 0.0))
    reactor = MemoryReactorClock()
    limits = AnswerLimits(body_max_bytes=1000, open_max_bytes=1000)
    pool = ConnectionPool(reactor, reactor.seconds, TIMEOUT_S, limits)
    process = PlatformProcess(
        world, reactor, RecordingTicker(), {}, {}, pool, None, [], iter(range(9)), []
    )
    message = RequestMessage("GET", "/a/", (), b"", "", "a.example")
    command = commands.SendAttempt(
        ATTEMPT_ID,
        "id",
        ADDRESS,
        message,
        timeout_s,
        "1",
        connect_timeout_s=connect_timeout_s,
    )
    send_attempt(process, command)
    return process, command


def is_connecting(process):
    return process.world.attempts.fetch(ATTEMPT_ID).is_connecting


def test_an_attempt_is_connecting_until_its_first_byte_may_leave():
    process, _command = start_attempt(start_fleet(n_vms=1))
    assert is_connecting(process)
    connection = connect(process.reactor)
    assert not is_connecting(process)
    assert connection.transport.value().startswith(b"GET /a/ ")
    assert process.ticker.events == []


def test_an_attempt_on_an_idle_connection_is_never_connecting():
    process, command = start_attempt(start_fleet(n_vms=1))
    connection = connect(process.reactor)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    connection.transport.clear()
    send_attempt(process, command)
    assert connection.transport.value().startswith(b"GET /a/ ")
    assert not is_connecting(process)


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


def test_nothing_is_sent_over_a_connection_established_after_the_deadline():
    fleet = start_fleet(n_vms=1)
    process, _command = start_attempt(fleet, timeout_s=0.1)
    fleet.clock.elapsed_s += 0.2
    assert connect(process.reactor).transport.value() == b""
    assert process.ticker.events == [
        events.BackendFailed(ATTEMPT_ID, events.AttemptFailure.NOT_SENT)
    ]


@pytest.mark.parametrize("connect_timeout_s", [0.001, TIMEOUT_S, 10 * TIMEOUT_S])
def test_connecting_ends_at_the_limit_of_the_attempt_or_of_the_settings(
    connect_timeout_s,
):
    process, _command = start_attempt(
        start_fleet(n_vms=1), connect_timeout_s=connect_timeout_s
    )
    [(_host, _port, _factory, timeout_s, _bind)] = process.reactor.tcpClients
    assert timeout_s == min(connect_timeout_s, TIMEOUT_S)


def answer_attempt(head):
    """Return the events posted after an answer with these header lines."""
    process, _command = start_attempt(start_fleet(n_vms=1))
    connection = connect(process.reactor)
    head = head.replace("\n", "\r\n")
    connection.dataReceived(f"HTTP/1.1 {head}\r\ncontent-length: 0\r\n\r\n".encode())
    return process.ticker.events


SIGNED = "request-id: id\nbackend-signature: s"


@pytest.mark.parametrize(
    ("head", "statement"),
    [
        (f"200 OK\n{SIGNED}", (None, True)),
        (f"200 OK\n{SIGNED}\nserver-limit: 2.5", (2.5, True)),
        (f"200 OK\n{SIGNED}\nServer-Limit: 0", (0.0, True)),
        (f"500 Failed\n{SIGNED}\nserver-limit: 7", (7.0, True)),
        ("503 Full\nrequest-id: id\nnot-executed: 1\nserver-limit: 3", (3.0, False)),
        (f"200 OK\n{SIGNED}\nserver-limit: 4\nserver-limit: 3", (3.0, True)),
    ],
)
def test_an_answer_tells_the_limit_that_its_server_states(head, statement):
    stated, _outcome = answer_attempt(head)
    assert stated == events.ServerStated(ATTEMPT_ID, "1", *statement)


@pytest.mark.parametrize(
    "value",
    [
        "-1",
        "nan",
        "inf",
        "1e9",
        "1_000",
        "2,5",
        "",
        ".",
        "1" + "0" * 9,
        "9" * 400,
        "2 2",
        "2.5.5",
        "٣",
    ],
)
def test_a_malformed_limit_states_nothing(value):
    head = f"200 OK\n{SIGNED}\nserver-limit: {value}"
    stated, outcome = answer_attempt(head)
    assert stated == events.ServerStated(ATTEMPT_ID, "1", None, False)
    assert isinstance(outcome, events.BackendAnswered)


NOT_RUN = "503 Full\nrequest-id: id\nnot-executed: 1"


@pytest.mark.parametrize(
    ("header", "field"), [("server-limit", "limit_per_s"), ("retry-after", "rest_s")]
)
@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("2.6666666666666665", 8 / 3),
        (f"0.{'3' * 400}", 1 / 3),
        (f"{'0' * 20}4", 4.0),
        ("4.", 4.0),
        (".5", 0.5),
    ],
    ids=["quotient", "long fraction", "leading zeros", "no fraction", "no whole part"],
)
def test_a_limit_or_pause_counts_with_any_number_of_digits(header, field, text, number):
    # Guards against servers over their limit because its decimals were too many.
    stated, _outcome = answer_attempt(f"{NOT_RUN}\n{header}: {text}")
    assert getattr(stated, field) == number


@pytest.mark.parametrize(
    ("head", "is_leaving", "rest_s"),
    [
        (f"200 OK\n{SIGNED}\nServer-Leaving: 1", True, 0.0),
        (f"500 Failed\n{SIGNED}\nserver-leaving: 1", True, 0.0),
        (f"{NOT_RUN}\nserver-leaving: 1\nretry-after: 2", True, 2.0),
        (f"200 OK\n{SIGNED}\nserver-leaving: 0", False, 0.0),
        (f"200 OK\n{SIGNED}\nserver-leaving: yes", False, 0.0),
        (f"200 OK\n{SIGNED}\nretry-after: 3", False, 0.0),
        (NOT_RUN, False, 0.0),
        (f"{NOT_RUN}\nretry-after: 0.25", False, 0.25),
        (f"{NOT_RUN}\nretry-after: 1\nretry-after: 4", False, 4.0),
        (f"{NOT_RUN}\nretry-after: -1", False, 0.0),
        (f"{NOT_RUN}\nretry-after: Fri, 31 Dec 1999 23:59:59 GMT", False, 0.0),
        (f"{NOT_RUN}\nretry-after: nan", False, 0.0),
        (f"{NOT_RUN}\nretry-after: {'9' * 400}", False, 0.0),
        (f"{NOT_RUN}\nretry-after:", False, 0.0),
    ],
)
def test_an_answer_tells_that_its_server_leaves_or_wants_a_pause(
    head, is_leaving, rest_s
):
    stated, _outcome = answer_attempt(head)
    assert (stated.is_leaving, stated.rest_s) == (is_leaving, rest_s)


@pytest.mark.parametrize(
    "statement", [{"is_leaving": True}, {"rest_s": 5.0}], ids=["leaving", "pause"]
)
def test_nothing_is_sent_over_a_connection_established_after_a_server_stated_so(
    statement,
):
    fleet = start_fleet(n_vms=1)
    process, _command = start_attempt(fleet)
    fleet.post("vm-0", events.ServerStated(ATTEMPT_ID, "1", None, False, **statement))
    assert connect(process.reactor).transport.value() == b""
    assert process.ticker.events == [
        events.BackendFailed(ATTEMPT_ID, events.AttemptFailure.NOT_SENT)
    ]


@pytest.mark.parametrize(
    "head",
    [
        "421 Misdirected\nserver-limit: 3",
        "200 OK\nrequest-id: other\nserver-limit: 3",
    ],
)
def test_an_answer_of_another_server_or_request_states_nothing(head):
    assert not any(
        isinstance(event, events.ServerStated) for event in answer_attempt(head)
    )


@pytest.mark.parametrize(
    ("answer_check", "has_ended"), [(refuse_connection, True), (connect, False)]
)
def test_a_check_of_a_server_tells_whether_nothing_listens(answer_check, has_ended):
    process, attempt = start_attempt(start_fleet(n_vms=1))
    command = commands.CheckServer("r", "id", attempt.request, "1", ADDRESS, 0, 0.1)
    check_server(process, command)
    answer_check(process.reactor)
    assert process.ticker.events[-1] == events.ServerChecked(command, has_ended)


def test_a_check_that_is_not_answered_in_time_shows_no_end():
    process, attempt = start_attempt(start_fleet(n_vms=1))
    command = commands.CheckServer("r", "id", attempt.request, "1", ADDRESS, 0, 0.1)
    check_server(process, command)
    *_, factory, _timeout_s, _bind_address = process.reactor.tcpClients[-1]
    factory.clientConnectionFailed(None, Failure(TimeoutError()))
    assert process.ticker.events[-1] == events.ServerChecked(command, False)
