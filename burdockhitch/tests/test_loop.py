"""Tests when the loop runs a tick, and what a tick that fails leaves intact."""

import pytest
from twisted.internet.task import Clock as TwistedClock

from burdockhitch import commands, events
from burdockhitch.adapters.loop import Ticker
from burdockhitch.messages import Join
from burdockhitch.systems import phases, timing
from burdockhitch.tables.timers import TimerKind
from burdockhitch.tests.fakes import FakeFleet
from burdockhitch.world import log_event, post_event, start_timer


def make_ticker(monkeypatch, run_tick, read_pending=None):
    world = FakeFleet().add_vm("a1", "a")
    world.timers.clear()
    reactor = TwistedClock()
    delivered = []
    monkeypatch.setattr("burdockhitch.adapters.loop.run_tick", run_tick)
    ticker = Ticker(
        world, reactor, lambda kind, command: delivered.append(command), read_pending
    )
    return world, reactor, ticker, delivered


def fail_after_logging(world):
    log_event(world, "INFO", "before")
    raise ZeroDivisionError


@pytest.mark.parametrize(
    ("n_events", "n_ticks"), [(0, 0), (1, 1), (5, 1)], ids=["idle", "one", "coalesced"]
)
def test_a_tick_runs_only_after_events_and_once_for_several(
    monkeypatch, n_events, n_ticks
):
    ticks = []
    world, reactor, ticker, _ = make_ticker(
        monkeypatch, lambda world: (ticks.append(1), world.inbox.clear())
    )
    for _ in range(n_events):
        ticker.post(events.StopRequested())
    reactor.advance(10.0)
    assert len(ticks) == n_ticks


@pytest.mark.parametrize("run_tick", [phases.run_tick, fail_after_logging])
def test_a_failed_tick_loses_no_commands_and_stops_no_timers(monkeypatch, run_tick):
    world, reactor, ticker, delivered = make_ticker(monkeypatch, run_tick)
    start_timer(
        world, TimerKind.LOAD_MEASUREMENT, "", world.clock.now().monotonic_s + 3.0
    )
    log_event(world, "INFO", "waiting")
    ticker.request_tick()
    reactor.advance(0.0)
    assert commands.LogEvent("INFO", "waiting", {}) in delivered
    assert [call.getTime() for call in reactor.getDelayedCalls()] == [3.0]


@pytest.mark.parametrize("n_collected", [0, 1, 3], ids=["none", "one", "some"])
def test_a_tick_processes_the_events_read_from_sockets(monkeypatch, n_collected):
    n_events_by_tick = []

    def read_pending():
        for _ in range(n_collected):
            ticker.post(events.StopRequested())

    def run_tick(world):
        n_events_by_tick.append(len(world.inbox))
        world.inbox.clear()

    _, reactor, ticker, _ = make_ticker(monkeypatch, run_tick, read_pending)
    ticker.request_tick()
    reactor.advance(10.0)
    assert n_events_by_tick == [n_collected]


@pytest.mark.parametrize("n_messages", [1, 3])
def test_messages_of_another_sending_mode_are_counted_and_fail_no_tick(
    monkeypatch, n_messages
):
    world = FakeFleet().add_vm("a1", "a")
    monkeypatch.delitem(timing.message_handlers._entries, "join")
    for _ in range(n_messages):
        post_event(world, events.VmMessageArrived("a2", Join(None)))
    phases.run_tick(world)
    key = ("messages_dropped", "reason", "MessageUnhandled")
    assert [row.value for row in world.counters if row.key == key] == [n_messages]
