"""Tests how answer bodies, errors and headers of backend servers are handled."""

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
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
)
from burdockhitch.events import AttemptFailure


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
    collector = BodyCollector(OpenAnswers(AnswerLimits(5, 10)), finished)
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
