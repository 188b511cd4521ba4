"""Tests that a malformed status line never reaches a caller as an answer.

A server in trouble sent an answer with status 000, and the caller got it. Each status
line is sent to the client of the platform's front end, which also serves the store and
the copies between VMs, and to the client of the project's own interface.
"""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from burdockhitch import events
from burdockhitch.adapters import servers
from burdockhitch.adapters.answer_limits import AnswerLimits, OpenAnswers
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.commands import SendAttempt
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import RequestMessage
from burdockhitch.tests.test_exchange import Conversation

BODY = b"Request-Id: mine\r\nContent-Length: 2\r\n\r\nab"
# Status line, and the status that the caller gets; None if the answer is broken.
STATUS_LINES = [
    (b"HTTP/1.1 200 OK", 200),
    (b"HTTP/1.0 200 OK", 200),
    (b"HTTP/1.1 404 Not Found", 404),
    (b"HTTP/1.1 599 Own", 599),
    (b"HTTP/1.1 000 Error", None),
    (b"HTTP/1.1 000", None),
    (b"HTTP/1.1 001 Error", None),
    (b"HTTP/1.1 099 Error", None),
    (b"HTTP/1.1 600 Error", None),
    (b"HTTP/1.1 999 Error", None),
    (b"HTTP/1.1 20 OK", None),
    (b"HTTP/1.1 2000 OK", None),
    (b"HTTP/1.1 2xx OK", None),
    (b"HTTP/1.1 OK", None),
    (b"HTTP/1.1 +20 OK", None),
    (b"HTTP/1.1 -20 OK", None),
    (b"HTTP/1.1 -200 OK", None),
    (b"HTTP/1.1 2_0 OK", None),
    (b"HTTP/1.1 2_00 OK", None),
    (b"HTTP/1.1 +200 OK", None),
    (b"HTTP/1.1 0200 OK", None),
    (b"HTTP/1.1  200 OK", None),
    (b"HTTP/1.1 20 0 OK", None),
    (b"HTTP/1.1", None),
    (b"HTTP/2 200 OK", None),
    (b"HTTP/9.9 200 OK", None),
    (b"ICY 200 OK", None),
    (b"\x00\x00\x00", None),
]


@pytest.mark.parametrize(("line", "status"), STATUS_LINES)
def test_the_platform_client_returns_no_answer_with_a_malformed_status_line(
    line, status
):
    conversation = Conversation()
    conversation.connection.dataReceived(line + b"\r\n" + BODY)
    (outcome,) = conversation.outcomes
    if status is None:
        assert outcome is AttemptFailure.BROKEN
        assert conversation.transport.disconnecting
        assert not conversation.idle_timeouts_s
    else:
        assert isinstance(outcome, HttpAnswer)
        assert outcome.status == status


@pytest.mark.parametrize(
    ("head", "body", "expected"),
    [
        # An answer that may not have a body ends with its head, and what follows
        # belongs to no request.
        (b"HTTP/1.1 204 No Content\r\nRequest-Id: mine\r\n\r\n", b"ab", (204, b"")),
        (b"HTTP/1.1 304 Not Modified\r\nRequest-Id: mine\r\n\r\n", b"ab", (304, b"")),
        (
            b"HTTP/1.1 204 No\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\n",
            b"ab",
            (204, b""),
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 40, b"", AttemptFailure.BROKEN),
        (b"HTTP/1.1 103 Early\r\n\r\n" * 40, b"", AttemptFailure.BROKEN),
        (b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", b"ab", AttemptFailure.BROKEN),
    ],
)
def test_an_answer_without_a_body_never_takes_bytes_of_the_next(head, body, expected):
    conversation = Conversation()
    conversation.connection.dataReceived(head + body)
    assert conversation.outcome() == expected
    assert not conversation.idle_timeouts_s or conversation.transport.disconnecting


class FakeProcess:
    """What the native front end's client uses of its process."""

    def __init__(self, limits=AnswerLimits(1000, 2000)):  # noqa: B008
        self.reactor = MemoryReactorClock()
        self.backend_agent = servers.make_agent(self.reactor, 1.0)
        self.attempts = {}
        self.posted = []
        self.ticker = self
        self.world = self
        self.settings = self
        self.backend_servers = self
        self.open_answers = OpenAnswers(limits)

    def post(self, event):
        """Record a posted event."""
        self.posted.append(event)


def receive_natively(data):
    """Return the event that the native front end posts for an answer's bytes."""
    process = FakeProcess()
    message = RequestMessage("GET", "/a", (("host", "h"),), b"", "")
    command = SendAttempt(1, "mine", "10.0.0.1:80", message, 5.0, "i", True, 1.0)
    servers.send_attempt(process, command)
    (client,) = process.reactor.tcpClients
    protocol = client[2].buildProtocol(None)
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection
    protocol.makeConnection(transport)
    protocol.dataReceived(data)
    process.reactor.advance(0)
    return process.posted


@pytest.mark.parametrize(("line", "status"), STATUS_LINES)
def test_the_native_client_returns_no_answer_with_a_malformed_status_line(line, status):
    posted = receive_natively(line + b"\r\n" + BODY)
    statuses = [
        event.answer.status
        for event in posted
        if isinstance(event, events.BackendAnswered)
    ]
    assert statuses == ([] if status is None else [status])
