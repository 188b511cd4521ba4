"""Tests single HTTP calls and the pool of connections to servers."""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from burdockhitch.adapters.answer_limits import (
    HEAD_MAX_BYTES,
    INTERNAL_ANSWER_MAX_BYTES,
    AnswerLimits,
)
from burdockhitch.adapters.connections import (
    ConnectionPool,
    make_internal_request,
    send_internal_request,
)
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.errors import ExchangeFailedError

ADDRESS = "192.0.2.1:80"
TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"


class Transport(StringTransport):
    """A string transport on which socket options can be set, without effect."""

    def setTcpNoDelay(self, _is_on):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, _level, _name, _value):
        pass


def connect(reactor):
    """Accept the connection that was requested last, and return it."""
    factory = reactor.tcpClients[-1][2]
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    return connection


def answer_completely(reactor):
    connect(reactor).dataReceived(COMPLETE)


def close_before_the_last_byte(reactor):
    connection = connect(reactor)
    connection.dataReceived(COMPLETE[:-1])
    connection.connectionLost(Failure(ConnectionDone()))


def refuse_connection(reactor):
    factory = reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))


def stay_silent(reactor):
    connection = connect(reactor)
    reactor.advance(TIMEOUT_S)
    assert connection.transport.disconnecting


def connect_too_late(reactor):
    reactor.advance(TIMEOUT_S)
    connection = connect(reactor)
    assert connection.transport.disconnecting
    assert connection.transport.value() == b""


@pytest.mark.parametrize(
    ("respond", "end"),
    [
        (answer_completely, (200, b"ab")),
        (close_before_the_last_byte, ExchangeFailedError),
        (refuse_connection, ExchangeFailedError),
        (stay_silent, ExchangeFailedError),
        (connect_too_late, ExchangeFailedError),
    ],
)
def test_a_call_ends_once_and_within_its_timeout(respond, end):
    reactor = MemoryReactorClock()
    results = []
    request = make_internal_request(ADDRESS, "GET", "/rows")
    send_internal_request(reactor, ADDRESS, request, TIMEOUT_S).addBoth(results.append)
    respond(reactor)
    reactor.advance(2 * TIMEOUT_S)
    (result,) = results
    if isinstance(result, HttpAnswer):
        assert (result.status, result.body) == end
    else:
        assert result.type is end


@pytest.mark.parametrize(
    ("first_bytes", "endless_bytes", "n_bytes_max"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"a", INTERNAL_ANSWER_MAX_BYTES),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", b"a", 0),
        (b"HTTP/1.1 200 OK\r\n", b"X: a\r\n", HEAD_MAX_BYTES),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", HEAD_MAX_BYTES),
    ],
    ids=["body", "announced_length", "head", "interim_answers"],
)
def test_an_endless_answer_of_the_store_or_a_vm_fails_within_its_limit(
    first_bytes, endless_bytes, n_bytes_max
):
    reactor = MemoryReactorClock()
    results = []
    request = make_internal_request(ADDRESS, "GET", "/rows")
    send_internal_request(reactor, ADDRESS, request, TIMEOUT_S).addBoth(results.append)
    connection = connect(reactor)
    connection.dataReceived(first_bytes + endless_bytes)
    piece = endless_bytes * (READ_BYTES // len(endless_bytes))
    n_fed = 0
    while not connection.transport.disconnecting and n_fed <= n_bytes_max + READ_BYTES:
        connection.dataReceived(piece)
        n_fed += len(piece)
    assert connection.transport.disconnecting
    assert [result.type for result in results] == [ExchangeFailedError]


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b"", b"GET /rows HTTP/1.1\r\nhost: 192.0.2.1:80\r\nconnection: close\r\n\r\n"),
        (
            b"{}",
            b"GET /rows HTTP/1.1\r\nhost: 192.0.2.1:80\r\nconnection: close\r\n"
            b"content-type: application/json\r\ncontent-length: 2\r\n\r\n{}",
        ),
    ],
)
def test_a_call_writes_its_headers_and_body(body, expected):
    reactor = MemoryReactorClock()
    send_internal_request(
        reactor,
        ADDRESS,
        make_internal_request(ADDRESS, "GET", "/rows", body),
        TIMEOUT_S,
    )
    assert connect(reactor).transport.value() == expected


@pytest.mark.parametrize("is_opened", [True, False])
def test_a_pool_reports_whether_the_connection_was_opened(is_opened):
    reactor = MemoryReactorClock()
    limits = AnswerLimits(body_max_bytes=1000, open_max_bytes=1000)
    pool = ConnectionPool(reactor, reactor.seconds, TIMEOUT_S, limits)
    connections = []
    pool.connect(
        ADDRESS, connections.append, lambda _is_refused: connections.append(None)
    )
    if is_opened:
        assert connections == [] and [connect(reactor)] == connections
    else:
        refuse_connection(reactor)
        assert connections == [None]
