"""Tests what the callers' interface on the platform makes of requests with bodies."""

import math
from itertools import count
from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from burdockhitch import commands, events
from burdockhitch.messages import Answer, Refusal
from burdockhitch.platform.callers import (
    make_caller_site,
    send_answer,
    send_refusal,
)
from burdockhitch.tables.client_accounts import digest_key
from burdockhitch.tests.direct_fakes import HOST, start_fleet

FORM = (
    b'--x\r\nContent-Disposition: form-data; name="a"; filename="b"\r\n\r\n'
    b"picture\r\n--x--\r\n"
)
URLENCODED = "application/x-www-form-urlencoded"
MULTIPART = "multipart/form-data; boundary=x"


class RecordingTicker:
    """Records the events that the adapter posts."""

    def __init__(self):
        self.events = []

    def post(self, event):
        self.events.append(event)


def make_process(**fields):
    """Return what the callers' interface needs of a process, with its site."""
    process = SimpleNamespace(
        world=start_fleet(n_vms=1, **fields).worlds["vm-0"],
        callers={},
        connection_ids=count(1),
        ticker=RecordingTicker(),
    )
    process.site = make_caller_site(process)
    return process


def connect_caller(process):
    channel = process.site.buildProtocol(None)
    channel.makeConnection(StringTransport())
    return channel


def make_head(n_body_bytes, content_type="application/octet-stream", length=True):
    framing = (
        f"Content-Length: {n_body_bytes}" if length else "Transfer-Encoding: chunked"
    )
    return (
        f"POST /a/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id\r\n"
        f"Content-Type: {content_type}\r\n{framing}\r\n\r\n"
    ).encode()


def posted_bodies(process):
    return [
        event.request.body
        for event in process.ticker.events
        if isinstance(event, events.HostRequestArrived)
    ]


# One form of 32 MiB took 517 MB, and an empty one was answered 400.
@pytest.mark.parametrize(
    ("content_type", "body"),
    [
        (MULTIPART, FORM),
        (MULTIPART, b"--x--\r\n"),
        (MULTIPART, b"no form"),
        ("multipart/form-data", FORM),
        (URLENCODED, b"a=b&" * 1000),
        (URLENCODED, b"%%%"),
    ],
)
def test_a_form_is_forwarded_as_the_bytes_that_came(monkeypatch, content_type, body):
    def parse(*_args):
        raise AssertionError("a form was parsed")

    for name in ("_getMultiPartArgs", "parse_qs"):
        monkeypatch.setattr(f"twisted.web.http.{name}", parse)
    process = make_process()
    channel = connect_caller(process)
    channel.dataReceived(make_head(len(body), content_type) + body)
    assert posted_bodies(process) == [body]


@pytest.mark.parametrize(
    ("text", "remaining_s"),
    [
        ("1200", 1.2),
        ("1200.25", 1.20025),
        ("0", 0.0),
        ("9" * 400, math.inf),
        ("9" * 5000, math.inf),
        ("-1", math.inf),
        ("x", math.inf),
    ],
    ids=["whole", "fraction", "zero", "overflow", "too long for int", "sign", "text"],
)
def test_a_deadline_counts_with_any_number_of_digits(text, remaining_s):
    # Guards against deadlines that are dropped, or end the handler of the request.
    process = make_process()
    head = make_head(0).replace(b"\r\n\r\n", b"\r\nDeadline-Ms: %b\r\n\r\n")
    connect_caller(process).dataReceived(head % text.encode())
    assert [event.remaining_s for event in process.ticker.events] == [remaining_s]


def answer_all(process):
    """Answer all open requests."""
    for connection_id in list(process.callers):
        command = commands.AnswerCaller(connection_id, "id", Answer(200, (), b"ok"))
        send_answer(process, command)


# Uploads at once, each within the limit, took a VM above its memory.
@pytest.mark.parametrize("has_length", [True, False])
@pytest.mark.parametrize(("n_uploads", "n_taken"), [(1, 1), (2, 2), (3, 2), (8, 2)])
def test_bodies_without_room_are_refused_as_not_run_before_they_are_read(
    n_uploads, n_taken, has_length
):
    process = make_process(memory_mb=102.0)
    n_bytes = 400_000
    channels = [connect_caller(process) for _ in range(n_uploads)]
    body = b"a" * n_bytes
    chunk = b"%x\r\n%b\r\n" % (n_bytes, body)
    for channel in channels:
        channel.dataReceived(make_head(n_bytes, length=has_length))
        channel.dataReceived(body if has_length else chunk)
    refused = [c for c in channels if b"503" in c.transport.value()]
    assert len(refused) == n_uploads - n_taken
    for channel in refused:
        answer = channel.transport.value().lower()
        assert answer.startswith(b"http/1.1 503 ")
        assert b"not-run" in answer and b"retry-after: 0.5" in answer
        assert b"connection: close" in answer
    for channel in channels:
        channel.dataReceived(b"" if has_length else b"0\r\n\r\n")
    assert posted_bodies(process) == [body] * n_taken
    assert all(channel.transport.disconnecting for channel in refused)
    answer_all(process)
    assert process.site.connections.n_large_bytes == 0


def test_a_body_without_room_is_refused_from_its_head_and_then_discarded():
    process = make_process(memory_mb=102.0)
    first, second = connect_caller(process), connect_caller(process)
    first.dataReceived(make_head(900_000) + b"a")
    second.dataReceived(make_head(900_000))
    assert second.transport.value().startswith(b"HTTP/1.1 503 ")
    assert not second.transport.disconnecting
    second.dataReceived(b"a" * 900_000)
    assert second.transport.disconnecting
    assert posted_bodies(process) == []


@pytest.mark.parametrize("end", ["answered", "left", "left early"])
def test_the_memory_of_a_body_is_released_at_its_end(end):
    process = make_process(memory_mb=102.0)
    channel = connect_caller(process)
    channel.dataReceived(make_head(900_000))
    if end != "left early":
        channel.dataReceived(b"a" * 900_000)
    assert process.site.connections.n_large_bytes == 900_000
    if end == "answered":
        answer_all(process)
    else:
        channel.connectionLost(Failure(ConnectionDone()))
    assert process.site.connections.n_large_bytes == 0


def test_small_bodies_are_taken_beside_large_ones():
    process = make_process(memory_mb=102.0)
    connect_caller(process).dataReceived(make_head(1_000_000))
    for _ in range(100):
        connect_caller(process).dataReceived(make_head(3) + b"abc")
    assert posted_bodies(process) == [b"abc"] * 100


KEY = "key-that-nobody-sees"


# A key that is passed on, or one of two keys that counts, lets a caller act as another.
@pytest.mark.parametrize(
    ("lines", "has_key", "account_headers"),
    [
        ([], False, ()),
        ([f"Authorization: Token {KEY}"], True, ("authorization",)),
        ([f"AUTHORIZATION:token   {KEY}  "], True, ("authorization",)),
        ([f"authorization: TOKEN {KEY}", "Accept: x"], True, ("authorization",)),
        ([f"Authorization: Bearer {KEY}"], False, ("authorization",)),
        ([f"Authorization: {KEY}"], False, ("authorization",)),
        (["Authorization: Token"], False, ("authorization",)),
        (["Authorization: Token  "], False, ("authorization",)),
        ([f"Authorization: Token {KEY} {KEY}"], False, ("authorization",)),
        ([f"Authorization: Token{KEY}"], False, ("authorization",)),
        ([f"Authorization: Token {KEY}"] * 2, False, ("authorization",)),
        (
            [f"Authorization: Token {KEY}", "authorization: Token other"],
            False,
            ("authorization",),
        ),
        ([f"Authorization: Token {KEY}, Token b"], False, ("authorization",)),
        ([f"X-Authorization: Token {KEY}"], False, ()),
        # It is meant for this program, and not among the headers to pass on.
        ([f"Authorization: Token {KEY}", "Connection: authorization"], True, ()),
        (["Tenant-Id: forged"], False, ("tenant-id",)),
        (["TENANT-ID: forged", "tenant-id: b"], False, ("tenant-id",)),
        (["Tenant_Id: forged"], False, ("tenant_id",)),
        (["Tenant-Id: forged", "Connection: close, Tenant-Id"], False, ()),
        (
            [f"Authorization: Token {KEY}", f"authorization: {KEY}", "Tenant_ID: b"],
            False,
            ("authorization", "tenant_id"),
        ),
    ],
)
def test_the_key_of_a_request_is_digested_and_its_headers_are_named(
    lines, has_key, account_headers
):
    process = make_process()
    head = [f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id", *lines]
    connect_caller(process).dataReceived("\r\n".join([*head, "\r\n"]).encode())
    (event,) = process.ticker.events
    assert event.key_digest == (digest_key(KEY.encode()) if has_key else "")
    assert event.account_headers == account_headers
    others = [
        pair for pair in event.request.headers if pair[0] not in event.account_headers
    ]
    assert KEY not in repr(others).replace(f"('x-authorization', 'Token {KEY}')", "")


# A 401 without a challenge is no valid answer (RFC 9110, 15.5.2).
@pytest.mark.parametrize(
    ("error", "status", "has_challenge"),
    [("AccountUnknown", 401, True), ("ConfigurationOutdated", 503, False)],
)
def test_a_refusal_of_a_key_is_answered_with_its_status(error, status, has_challenge):
    process = make_process()
    channel = connect_caller(process)
    channel.dataReceived(make_head(0))
    (connection_id,) = process.callers
    refusal = Refusal(error, "why", 0.0)
    send_refusal(process, commands.RefuseCaller(connection_id, "id", refusal))
    answer = channel.transport.value().lower()
    assert answer.startswith(b"http/1.1 %d " % status)
    assert (b"\r\nwww-authenticate: token\r\n" in answer) == has_challenge
    assert b"not-run" in answer
