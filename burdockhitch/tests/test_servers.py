"""Tests how answer bodies, errors and headers of backend servers are handled."""

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import (
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http import PotentialDataLoss

from burdockhitch.adapters.answer_limits import AnswerLimits, OpenAnswers
from burdockhitch.adapters.headers import decode_end_to_end_headers
from burdockhitch.adapters.servers import (
    AnswerTooLargeError,
    AnswerTruncatedError,
    BodyCollector,
    classify_failure,
    probe_server,
)
from burdockhitch.commands import ProbeServer
from burdockhitch.events import AttemptFailure, ServerProbed
from burdockhitch.tests.test_status_lines import FakeProcess


@pytest.mark.parametrize(
    ("parts", "reason", "result"),
    [
        ([b"ab", b"c"], ResponseDone(), b"abc"),
        ([], ResponseDone(), b""),
        ([b"ab"], PotentialDataLoss(), AnswerTruncatedError),
        ([b"ab"], ConnectionDone(), AnswerTruncatedError),
        ([b"ab"], ConnectionLost(), AnswerTruncatedError),
        ([b"ab"], ResponseFailed([]), AnswerTruncatedError),
        ([b"abcd", b"ef"], ResponseDone(), AnswerTooLargeError),
    ],
)
def test_a_body_without_a_received_end_or_above_the_limit_is_an_error(
    parts, reason, result
):
    finished = Deferred()
    results = []
    finished.addCallbacks(results.append, lambda failure: results.append(failure.type))
    collector = BodyCollector(OpenAnswers(AnswerLimits(5, 10)), "", finished)
    for part in parts:
        collector.dataReceived(part)
    collector.connectionLost(Failure(reason))
    assert results == [result]


@pytest.mark.parametrize(
    ("error", "failure"),
    [
        (ConnectionRefusedError(), AttemptFailure.NOT_SENT),
        (TimeoutError(), AttemptFailure.NOT_SENT),
        (RequestNotSent(), AttemptFailure.NOT_SENT),
        (RequestTransmissionFailed([]), AttemptFailure.BROKEN),
        (ResponseNeverReceived([]), AttemptFailure.BROKEN),
        (AnswerTruncatedError(), AttemptFailure.BROKEN),
        (ConnectionLost(), AttemptFailure.BROKEN),
        (CancelledError(), AttemptFailure.TIMED_OUT),
    ],
)
def test_only_errors_before_sending_are_classified_as_not_sent(error, failure):
    assert classify_failure(Failure(error)) is failure


@pytest.mark.parametrize(
    ("raw", "pairs"),
    [
        ([(b"Accept", [b"a", b"b"])], (("accept", "a"), ("accept", "b"))),
        ([(b"Host", [b"x"]), (b"Content-Length", [b"3"])], ()),
        ([(b"Connection", [b"close, X-Hop"]), (b"X-Hop", [b"1"])], ()),
        ([(b"Set-Cookie", [b"s=1"])], (("set-cookie", "s=1"),)),
    ],
)
def test_hop_by_hop_headers_are_dropped(raw, pairs):
    assert decode_end_to_end_headers(raw) == pairs


PROBE_TIMEOUT_S = 1.0
WHOLE = b"\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "is_ok"),
    [
        (b"HTTP/1.1 200 OK" + WHOLE, True),
        (b"HTTP/1.1 503 No" + WHOLE, False),
        (b"HTTP/1.1 302 Found\r\nLocation: http://10.0.0.2/" + WHOLE, False),
        (b"HTTP/1.1 000 No" + WHOLE, False),
        (b"", False),
    ],
)
def test_a_probe_posts_whether_the_server_is_healthy(data, is_ok):
    # Guards against probes that fail before they are sent, so that nothing is posted.
    process = FakeProcess()
    probe_server(process, ProbeServer("i", "10.0.0.1:80", PROBE_TIMEOUT_S))
    (client,) = process.reactor.tcpClients
    protocol = client[2].buildProtocol(None)
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection
    protocol.makeConnection(transport)
    assert transport.value().startswith(b"GET /health HTTP/1.1\r\n")
    protocol.dataReceived(data)
    process.reactor.advance(PROBE_TIMEOUT_S)
    if transport.disconnecting:
        protocol.connectionLost(Failure(ConnectionAborted()))
    assert process.posted == [ServerProbed("i", is_ok)]
