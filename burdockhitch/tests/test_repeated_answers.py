"""Tests answers that a faulty server repeats, or breaks off in the middle of the head.

None of them may be returned as the answer to another request, or prove that a request
hasn't run.
"""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.adapters.servers import make_agent
from burdockhitch.events import AttemptFailure
from burdockhitch.messages import Answer
from burdockhitch.platform.backends import classify_answer
from burdockhitch.tests.test_exchange import (
    CHUNKED,
    CLEAN_CLOSE,
    COMPLETE,
    HEAD,
    RESET,
    WITHOUT_LENGTH,
    Conversation,
)

BROKEN = AttemptFailure.BROKEN
SIGNED = COMPLETE.replace(b"200 OK", b"200 OK\r\nBackend-Signature: s")
SHED = b"HTTP/1.1 503 No\r\n%sNot-Executed: 1\r\nDate: Fri\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 No\r\n%sDate: Fri\r\nContent-Length: 0\r\n\r\n"
MINE, OTHER, NONE = b"Request-Id: mine\r\n", b"Request-Id: other\r\n", b""


def classify(outcome):
    """Return what an outcome of a connection means for the attempt."""
    if not isinstance(outcome, HttpAnswer):
        return outcome
    result = classify_answer(outcome, "GET")
    return result.status if isinstance(result, Answer) else result


@pytest.mark.parametrize(
    ("refusal", "failure"),
    [(SHED, AttemptFailure.SHED), (MISDIRECTED, AttemptFailure.MISDIRECTED)],
    ids=["shed", "misdirected"],
)
@pytest.mark.parametrize(
    ("is_reused", "request_id", "is_proof"),
    [
        (False, MINE, True),
        (False, NONE, True),
        (True, MINE, True),
        (True, NONE, False),
    ],
)
def test_a_refusal_on_a_kept_connection_is_a_proof_only_with_the_requests_id(
    refusal, failure, is_reused, request_id, is_proof
):
    conversation = Conversation()
    if is_reused:
        conversation.connection.dataReceived(SIGNED)
        conversation.send()
    conversation.connection.dataReceived(refusal % request_id)
    assert classify(conversation.outcomes[-1]) == (failure if is_proof else BROKEN)


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("refusal", [SHED, MISDIRECTED], ids=["shed", "misdirected"])
@pytest.mark.parametrize("copied_id", [OTHER, NONE], ids=["other", "none"])
def test_no_part_of_a_repeated_refusal_proves_that_the_next_request_has_not_run(
    refusal, copied_id, method
):
    copy = refusal % copied_id
    for n_bytes in range(1, len(copy) + 1):
        conversation = Conversation()
        conversation.connection.dataReceived(refusal % MINE)
        conversation.send(method)
        conversation.connection.dataReceived(copy[:n_bytes] + SIGNED)
        conversation.connection.connectionLost(Failure(CLEAN_CLOSE))
        # The answer after a whole copy with another id is the request's own.
        is_own = n_bytes == len(copy) and copied_id == OTHER
        outcome = classify(conversation.outcomes[-1])
        assert outcome == BROKEN or (is_own and outcome == 200)


@pytest.mark.parametrize("moment", ["before", "after"])
@pytest.mark.parametrize("copy", [SIGNED, SHED % MINE, SHED % NONE, SIGNED[:9]])
def test_a_connection_is_given_up_when_a_copy_arrives_while_it_is_idle(copy, moment):
    conversation = Conversation()
    if moment == "before":
        conversation.connection.dataReceived(SIGNED + copy)
    else:
        conversation.connection.dataReceived(SIGNED)
        conversation.connection.dataReceived(copy)
    assert conversation.transport.disconnecting
    assert len(conversation.outcomes) == 1


ANSWERS = {
    "length": (SIGNED, SIGNED.index(b"\r\n\r\n") + 4),
    "chunked": (CHUNKED, CHUNKED.index(b"\r\n\r\n") + 4),
    "until close": (WITHOUT_LENGTH, len(HEAD) + 2),
    "old": (WITHOUT_LENGTH.replace(b"/1.1", b"/1.0"), len(HEAD) + 2),
    "without body": (SHED % MINE, len(SHED % MINE)),
    "interim": (b"HTTP/1.1 100 Continue\r\n\r\n" + SIGNED, 25 + len(SIGNED) - 2),
}


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("end", [CLEAN_CLOSE, RESET], ids=["close", "reset"])
def test_an_answer_cut_at_any_byte_of_its_head_is_broken(name, end, is_reused):
    data, n_head_bytes = ANSWERS[name]
    for n_bytes in range(n_head_bytes):
        conversation = Conversation()
        if is_reused:
            conversation.connection.dataReceived(SIGNED)
            conversation.send()
        conversation.connection.dataReceived(data[:n_bytes])
        conversation.connection.connectionLost(Failure(end))
        assert conversation.outcomes[-1] == BROKEN


def test_each_request_of_the_native_front_end_has_its_own_connection():
    reactor = MemoryReactorClock()
    agent = make_agent(reactor, 1.0)
    statuses = []
    for answer in (b"HTTP/1.1 503 No", b"HTTP/1.1 200 OK"):
        deferred = agent.request(b"GET", b"http://10.0.0.1:80/")
        deferred.addCallback(lambda response: statuses.append(response.code))
        _host, _port, factory, _timeout_s, _bind = reactor.tcpClients[-1]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(StringTransport())
        protocol.dataReceived(answer + b"\r\nContent-Length: 0\r\n\r\n")
    assert statuses == [503, 200]
    assert len(reactor.tcpClients) == 2
