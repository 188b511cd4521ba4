"""Tests that one odd entry of another writer in the store costs nothing but itself."""

import base64

import msgspec
import pytest

from burdockhitch.errors import DocumentError
from burdockhitch.platform.decoding import decode_rows, decode_server, decode_vm
from burdockhitch.tests.test_platform_documents import SERVER
from burdockhitch.tests.test_platform_store import answer, read

GOOD = msgspec.json.encode(SERVER)
DEPTH = 100_000


def changed(**fields):
    """Return a server's entry with some fields replaced."""
    return msgspec.json.encode({**SERVER, **fields})


def extended(text):
    """Return a server's entry with an unknown field that has this JSON text."""
    return GOOD[:-1] + b',"extra":' + text + b"}"


ODD_ENTRIES = {
    "nested arrays": extended(b"[" * DEPTH + b"]" * DEPTH),
    "nested objects": extended(b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "only nested arrays": b"[" * DEPTH,
    "nested in a known field": GOOD.replace(b'"s"', b"[" * DEPTH + b"]" * DEPTH),
    "slots above any integer type": changed(concurrency=10**30),
    "slots beyond any server": changed(concurrency=2**62),
    "no slots": changed(concurrency=0),
    "sequence above any integer type": changed(sequence=10**30),
    "negative sequence": changed(sequence=-1),
    "start above any integer type": changed(born=10**30),
    "negative start": changed(born=-(10**18)),
    "infinite warm-up": GOOD.replace(b"1.5", b"1e400"),
    "port above the range": changed(address="10.0.0.1:70000"),
    "port zero": changed(address="10.0.0.1:0"),
    "port of many digits": changed(address="10.0.0.1:" + "9" * 5000),
    "port of other digits": changed(address="10.0.0.1:\u0663"),
    "name as address": changed(address="server.example:80"),
    "address out of range": changed(address="999.1.1.1:80"),
    "long zone": changed(zone="a" * 100_000),
    "empty service": changed(service=""),
    "state of another type": changed(state={"a": 1}),
    "not UTF-8": b"\xff\xfe",
    "nothing": b"",
}
ODD_IDS = ["", "a b", "a\r\nx: y", "s\u00e9rver", "a\x00", "a" * 201]


@pytest.mark.parametrize("body", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_is_rejected(body):
    with pytest.raises(DocumentError):
        decode_server("id", body)


@pytest.mark.parametrize("server_id", ODD_IDS)
def test_an_entry_with_an_id_that_no_header_can_hold_is_rejected(server_id):
    with pytest.raises(DocumentError):
        decode_server(server_id, GOOD)


@pytest.mark.parametrize(
    ("written_s", "warm_up_s"), [(-5, 0.0), (0, 0.0), (1.5, 1.5), (1e308, 3600.0)]
)
def test_a_warm_up_time_is_bounded(written_s, warm_up_s):
    row = decode_server("id", changed(warmupLeftS=written_s))
    assert row.warm_up_remaining_s == warm_up_s


def row(key, body):
    """Return a row of the store with this content."""
    return {"key": key, "value": base64.b64encode(body).decode(), "ver": 1}


@pytest.mark.parametrize("after_version", [0, 3])
@pytest.mark.parametrize("body", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_the_other_entries_are_read_beside_an_odd_one(monkeypatch, body, after_version):
    rows = [row("a", GOOD), row("odd", body), row("z", GOOD)]
    event, _paths = read(monkeypatch, [answer(7, rows=rows)], after_version)
    assert event.error is None
    assert [server.server_id for server in event.rows] == ["a", "z"]
    assert event.removed == ("odd",)


@pytest.mark.parametrize(
    "body",
    [
        b'{"rows":[],"ver":1,"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
        b"[" * DEPTH,
        b'{"rows":[],"ver":' + b"9" * 5000 + b"}",
        b'{"rows":[],"ver":-1}',
    ],
)
def test_an_odd_answer_of_the_store_is_rejected(body):
    with pytest.raises(DocumentError):
        decode_rows(body)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * DEPTH,
        b'["vm","a",' + b"9" * 30 + b"]",
        b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    ],
)
def test_an_odd_row_among_those_of_the_vms_is_rejected(body):
    with pytest.raises(DocumentError):
        decode_vm("vm", body)
