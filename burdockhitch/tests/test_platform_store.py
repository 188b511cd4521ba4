"""Tests which versions the store's client derives from answers and their eras."""

import msgspec
import pytest
from twisted.internet.defer import succeed

from burdockhitch import commands
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.errors import DocumentError, PlatformHistoryGoneError
from burdockhitch.platform import store
from burdockhitch.platform.process import PlatformProcess
from burdockhitch.tables.registry_views import RegistryPart, make_version
from burdockhitch.tests.direct_fakes import start_fleet
from burdockhitch.tests.test_platform_backends import RecordingTicker


def answer(version, era=None, rows=(), has_more=False):
    """Return an answer of the store with a version and, unless None, an era."""
    document = {"rows": list(rows), "ver": version, "hasMore": has_more}
    headers = () if era is None else ((("store-era", era)),)
    return HttpAnswer(200, tuple(headers), msgspec.json.encode(document))


def read(monkeypatch, answers, after_version=0):
    """Read or watch the servers; return the event, and the paths of the calls."""
    paths = []
    pending = iter(answers)

    def call(_reactor, _address, request, _timeout_s):
        paths.append(request.target)
        return succeed(next(pending))

    monkeypatch.setattr(store, "send_internal_request", call)
    world = start_fleet(n_vms=1).worlds["vm-0"]
    process = PlatformProcess(
        world, None, RecordingTicker(), {}, {}, None, None, [], iter(range(9)), []
    )
    command = commands.ReadRegistry("op", RegistryPart.SERVERS, after_version, 1.0)
    store.read_registry(process, command)
    [event] = process.ticker.events
    return event, paths


ROW = {"key": "s", "removed": True, "ver": 1}


@pytest.mark.parametrize(
    ("answers", "after_version", "version"),
    [
        ([answer(7)], 0, 7),
        ([answer(7, "0")], 0, 7),
        ([answer(7, "3")], 0, make_version(3, 7)),
        ([answer(9, "3")], make_version(3, 7), make_version(3, 9)),
        ([answer(7, "3", [ROW], True), answer(8, "3")], 0, make_version(3, 7)),
    ],
)
def test_a_version_rises_with_the_era_of_the_store(
    monkeypatch, answers, after_version, version
):
    event, paths = read(monkeypatch, answers, after_version)
    assert (event.error, event.version) == (None, version)
    assert all("after=" not in path or "after=7" in path for path in paths)


@pytest.mark.parametrize(
    ("answers", "after_version", "error"),
    [
        ([answer(9, "4")], make_version(3, 7), PlatformHistoryGoneError),
        ([answer(9)], make_version(3, 7), PlatformHistoryGoneError),
        ([answer(9, "4")], 7, PlatformHistoryGoneError),
        (
            [answer(7, "3", [ROW], True), answer(2, "4")],
            0,
            PlatformHistoryGoneError,
        ),
        ([answer(7, "-1")], 0, DocumentError),
        ([answer(7, "9" * 400)], 0, DocumentError),
        ([answer(7, "two")], 0, DocumentError),
    ],
)
def test_an_answer_of_another_era_is_not_mixed_with_what_is_held(
    monkeypatch, answers, after_version, error
):
    event, _paths = read(monkeypatch, answers, after_version)
    assert event.error is error
