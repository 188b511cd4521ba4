"""Tests what the callers' interface on the platform makes of requests with bodies."""

from itertools import count
from types import SimpleNamespace

import pytest
from twisted.internet.testing import StringTransport

from burdockhitch import events
from burdockhitch.platform.callers import make_caller_site
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
