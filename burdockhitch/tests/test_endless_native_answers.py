"""Tests that the native front end bounds what it holds of answers without end."""

import tracemalloc

import pytest
from twisted.internet.error import ConnectionAborted
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from burdockhitch import events
from burdockhitch.adapters import servers
from burdockhitch.adapters.answer_limits import HEAD_MAX_BYTES, AnswerLimits
from burdockhitch.commands import CancelAttempt, ProbeServer, SendAttempt
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import RequestMessage
from burdockhitch.tests.test_status_lines import FakeProcess

READ_BYTES = 64 * 1024
# A whole head, its copies while it is parsed, and the last bytes read.
RECEIVED_MAX_BYTES = 2 * HEAD_MAX_BYTES
HELD_MAX_BYTES = 100 * HEAD_MAX_BYTES
FED_MAX_BYTES = 64 * HEAD_MAX_BYTES
HEAD = b"HTTP/1.1 200 OK\r\n"

# First bytes, and the bytes that follow without end.
ENDLESS_HEADS = {
    "header line": (HEAD + b"X: ", b"a"),
    "header lines": (HEAD, b"X-A: b\r\n"),
    "header names": (HEAD, b"a:\n"),
    "folded header lines": (HEAD + b"X: a\r\n", b" a\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim header lines": (b"HTTP/1.1 103 Early\r\n", b"X-A: b\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
}


def connect(process):
    """Establish the connection that was requested last, and return it."""
    *_, client = process.reactor.tcpClients
    protocol = client[2].buildProtocol(None)
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection
    protocol.makeConnection(transport)
    return protocol


def start_attempt(process, attempt_id=1):
    """Start an attempt, and return its connection."""
    message = RequestMessage("GET", "/a", (("host", "h"),), b"", "")
    address = "10.0.0.1:80"
    command = SendAttempt(attempt_id, "id", address, message, 5.0, "i", True, 1.0)
    servers.send_attempt(process, command)
    return connect(process)


def feed(protocol, first, repeated):
    """Feed bytes until the connection is closed; return how many."""
    data = first + repeated * (READ_BYTES // len(repeated))
    n_fed = 0
    while not protocol.transport.disconnecting and n_fed < FED_MAX_BYTES:
        protocol.dataReceived(data)
        n_fed += len(data)
        data = repeated * (READ_BYTES // len(repeated))
    protocol.connectionLost(Failure(ConnectionAborted()))
    return n_fed


@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_a_head_without_end_is_broken_off_within_its_limit(name):
    # Guards against keeping header lines of a faulty server until memory runs out.
    process = FakeProcess()
    protocol = start_attempt(process)
    tracemalloc.start()
    try:
        n_fed = feed(protocol, *ENDLESS_HEADS[name])
        n_held_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    process.reactor.advance(0)
    assert n_fed <= RECEIVED_MAX_BYTES
    assert n_held_bytes <= HELD_MAX_BYTES
    assert process.posted == [events.BackendFailed(1, AttemptFailure.BROKEN)]


@pytest.mark.parametrize("size", [1, 100, READ_BYTES])
def test_a_head_at_the_limit_is_still_whole(size):
    process = FakeProcess()
    protocol = start_attempt(process)
    head = HEAD + b"Content-Length: 2\r\n"
    n_lines = (HEAD_MAX_BYTES - len(head) - 2) // len(b"X-A: b\r\n")
    data = head + b"X-A: b\r\n" * n_lines + b"\r\nab"
    for start in range(0, len(data), size):
        protocol.dataReceived(data[start : start + size])
    process.reactor.advance(0)
    (event,) = process.posted
    assert (event.answer.status, event.answer.body) == (200, b"ab")


@pytest.mark.parametrize(
    "data", [b"", HEAD, HEAD + b"\r\n", HEAD + b"Content-Length: 9\r\n\r\nab"]
)
def test_a_cancelled_attempt_closes_its_connection(data):
    # Guards against bodies without end that are read on after the deadline.
    process = FakeProcess()
    protocol = start_attempt(process)
    protocol.dataReceived(data)
    servers.cancel_attempt(process, CancelAttempt(1))
    process.reactor.advance(0)
    assert protocol.transport.disconnecting
    assert process.posted == []


LIMITS = AnswerLimits(body_max_bytes=2**20, open_max_bytes=2**21)
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Bodies are copied when they are complete.
BODY_HELD_MAX_BYTES = 4 * LIMITS.body_max_bytes


@pytest.mark.parametrize(
    ("first", "repeated"),
    [(CHUNKED_HEAD, b"2\r\nab\r\n"), (HEAD + b"\r\n", b"a")],
    ids=["small chunks", "no length"],
)
def test_a_body_without_end_holds_little_more_than_its_limit(first, repeated):
    # Guards against keeping each small piece of a body as an object of its own.
    process = FakeProcess(LIMITS)
    protocol = start_attempt(process)
    tracemalloc.start()
    try:
        feed(protocol, first, repeated)
        n_held_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    process.reactor.advance(0)
    assert n_held_bytes <= BODY_HELD_MAX_BYTES
    assert process.posted == [events.BackendFailed(1, AttemptFailure.BROKEN)]
    assert process.open_answers.n_bytes == 0


def test_bodies_in_progress_stay_within_their_limit_together():
    # Guards against many bodies, each within its limit, that exceed the memory.
    process = FakeProcess(LIMITS)
    protocols = [start_attempt(process, number) for number in range(10)]
    n_bytes = 400_000
    head = HEAD + b"Content-Length: %d\r\n\r\n" % n_bytes
    for protocol in protocols:
        protocol.dataReceived(head + b"a" * (n_bytes - 1))
        assert process.open_answers.n_bytes <= LIMITS.open_max_bytes
    for protocol in protocols:
        if not protocol.transport.disconnecting:
            protocol.dataReceived(b"a")
    process.reactor.advance(0)
    n_whole = LIMITS.open_max_bytes // n_bytes
    outcomes = [type(event) for event in process.posted]
    assert outcomes.count(events.BackendAnswered) == n_whole
    assert outcomes.count(events.BackendFailed) == len(protocols) - n_whole
    assert process.open_answers.n_bytes == 0


PROBE_TIMEOUT_S = 1.0


@pytest.mark.parametrize(
    ("data", "is_ok"),
    [
        (b"", False),
        (HEAD + b"X: a\r\n", False),
        (HEAD + b"\r\na", True),
        (HEAD + b"Content-Length: 9\r\n\r\nab", True),
        (b"HTTP/1.1 503 No\r\n\r\na", False),
    ],
)
def test_a_probe_ends_its_connection_while_the_answer_has_no_end(data, is_ok):
    # Guards against a descriptor for each probe of a server that sends without end.
    process = FakeProcess()
    servers.probe_server(process, ProbeServer("i", "10.0.0.1:80", PROBE_TIMEOUT_S))
    protocol = connect(process)
    protocol.dataReceived(data)
    process.reactor.advance(PROBE_TIMEOUT_S)
    assert protocol.transport.disconnecting
    protocol.connectionLost(Failure(ConnectionAborted()))
    assert process.posted == [events.ServerProbed("i", is_ok)]
    assert process.open_answers.n_bytes == 0
