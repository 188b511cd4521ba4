"""Tests which bytes on a connection to a server count as a complete answer.

A truncated answer, or a late answer to an earlier request, must not be returned as
the answer to the current request.
"""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from burdockhitch.adapters.answer_limits import AnswerLimits, OpenAnswers
from burdockhitch.adapters.exchange import (
    IDLE_TIMEOUT_MAX_S,
    HttpAnswer,
    HttpConnection,
    HttpRequest,
    parse_keep_alive,
)
from burdockhitch.events import AttemptFailure

BROKEN = AttemptFailure.BROKEN
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
COMPLETE = HEAD + b"Content-Length: 2\r\n\r\nab"
OTHER_ANSWER = COMPLETE.replace(b"mine", b"other").replace(b"ab", b"xy")
WITHOUT_LENGTH = HEAD + b"\r\nab"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
OVERLOADED = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLOSING = HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nab"
CLEAN_CLOSE = ConnectionDone()
RESET = ConnectionLost()


class Transport(StringTransport):
    """A string transport on which socket options can be set, without effect."""

    def setTcpNoDelay(self, _is_on):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, _level, _name, _value):
        pass


class Conversation:
    """A connection on which a request was sent, and the outcomes of its requests.

    Attributes:
        outcomes: Answer or failure of each request.
        idle_timeouts_s: Seconds for which the connection may stay idle, each time that
            it becomes idle.
    """

    def __init__(self, method="GET", body=b"", max_bytes=1000, open_answers=None):
        self.outcomes = []
        self.idle_timeouts_s = []
        self.connection = HttpConnection(
            open_answers or OpenAnswers(AnswerLimits(max_bytes, max_bytes)),
            lambda _connection, keep_s: self.idle_timeouts_s.append(keep_s),
            lambda _connection: None,
        )
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.send(method, body)

    def send(self, method="GET", body=b""):
        headers = (("host", "h"), ("content-length", str(len(body))))
        request = HttpRequest(method, "/a?b=c", headers, body, "mine")
        self.connection.send_request(request, self.outcomes.append)

    def outcome(self):
        """Return the only outcome; of an answer, its status and body."""
        (only,) = self.outcomes
        return (only.status, only.body) if isinstance(only, HttpAnswer) else only


@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("data", "lost", "end", "is_kept"),
    [
        (COMPLETE, None, (200, b"ab"), True),
        (CHUNKED, None, (200, b"ab"), True),
        (CONTINUE + COMPLETE, None, (200, b"ab"), True),
        (OTHER_ANSWER + COMPLETE, None, (200, b"ab"), True),
        (OTHER_ANSWER + OTHER_ANSWER + COMPLETE, None, (200, b"ab"), True),
        (OVERLOADED, None, (503, b""), True),
        (CLOSING, None, (200, b"ab"), False),
        (WITHOUT_LENGTH, CLEAN_CLOSE, (200, b"ab"), False),
        (WITHOUT_LENGTH, RESET, BROKEN, False),
        (COMPLETE[:-1], CLEAN_CLOSE, BROKEN, False),
        (CHUNKED[:-4], CLEAN_CLOSE, BROKEN, False),
        (OTHER_ANSWER, RESET, BROKEN, False),
        (HEAD, CLEAN_CLOSE, BROKEN, False),
        (b"", CLEAN_CLOSE, BROKEN, False),
        (b"", RESET, BROKEN, False),
        (b"rubbish\r\n\r\n", None, BROKEN, False),
        (HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000, None, BROKEN, False),
    ],
)
def test_only_a_complete_answer_with_the_same_request_id_is_returned(
    data, lost, end, is_kept, size
):
    conversation = Conversation()
    for start in range(0, len(data), size):
        conversation.connection.dataReceived(data[start : start + size])
    if lost is not None:
        conversation.connection.connectionLost(Failure(lost))
    assert conversation.outcome() == end
    assert bool(conversation.idle_timeouts_s) == is_kept


@pytest.mark.parametrize("extra", [b"x", COMPLETE, b"\r\n"])
def test_a_connection_with_bytes_after_the_answer_is_not_reused(extra):
    conversation = Conversation()
    conversation.connection.dataReceived(COMPLETE + extra)
    assert conversation.outcome() == (200, b"ab")
    assert not conversation.idle_timeouts_s or conversation.transport.disconnecting


def test_bytes_without_a_request_close_an_idle_connection():
    conversation = Conversation()
    conversation.connection.dataReceived(COMPLETE)
    conversation.connection.dataReceived(OTHER_ANSWER)
    assert conversation.transport.disconnecting


def test_an_error_answer_to_a_request_with_body_closes_the_connection():
    conversation = Conversation("POST", b"body")
    refusal = COMPLETE.replace(b"200 OK", b"413 No")
    conversation.connection.dataReceived(refusal)
    assert conversation.outcome() == (413, b"ab")
    assert not conversation.idle_timeouts_s


def test_an_idle_connection_is_reused_for_a_second_request():
    conversation = Conversation()
    conversation.connection.dataReceived(COMPLETE)
    conversation.send("POST", b"body")
    conversation.connection.dataReceived(COMPLETE)
    assert [answer.body for answer in conversation.outcomes] == [b"ab", b"ab"]
    assert conversation.transport.value().endswith(b"\r\n\r\nbody")


@pytest.mark.parametrize(
    ("header", "keep_s"),
    [
        ("", IDLE_TIMEOUT_MAX_S),
        ("timeout=2", 1.2),
        ("max=5, timeout=3", 1.8),
        ("timeout=600", IDLE_TIMEOUT_MAX_S),
        ("timeout=0", 0.0),
        ("timeout=x", IDLE_TIMEOUT_MAX_S),
        # Numbers that are too large for an int or a float ended the connection.
        pytest.param(f"timeout={'9' * 400}", IDLE_TIMEOUT_MAX_S, id="overflow"),
        pytest.param(f"timeout={'9' * 5000}", IDLE_TIMEOUT_MAX_S, id="too long"),
        ("timeout=²", IDLE_TIMEOUT_MAX_S),
    ],
)
def test_the_idle_time_is_shorter_than_the_servers_keep_alive_timeout(header, keep_s):
    assert parse_keep_alive(header) == pytest.approx(keep_s)
