"""Tests that datagrams are read only when ``read_pending`` is called."""

import time

import pytest
from twisted.internet.selectreactor import SelectReactor

from burdockhitch import commands
from burdockhitch.adapters.datagrams import Datagrams
from burdockhitch.direct_messages import Report
from burdockhitch.tests.fakes import FakeFleet

WAIT_S = 5.0


def open_socket(reactor):
    """Return an open socket and the list of the events that it posts."""
    world = FakeFleet().add_vm("a1", "a")
    posted = []
    datagrams = Datagrams(world, posted.append)
    datagrams.listen(reactor, "127.0.0.1:0")
    return datagrams, posted


def address_of(datagrams):
    host = datagrams.transport.getHost()
    return f"{host.host}:{host.port}"


def read_until(datagrams, posted, n_messages):
    deadline_s = time.monotonic() + WAIT_S
    while len(posted) < n_messages and time.monotonic() < deadline_s:
        datagrams.read_pending()
        time.sleep(0.01)


@pytest.mark.parametrize("n_messages", [1, 5], ids=["one", "several"])
def test_datagrams_are_posted_only_when_read(n_messages):
    reactor = SelectReactor()
    sender, _ = open_socket(reactor)
    receiver, posted = open_socket(reactor)
    for _ in range(n_messages):
        sender.send(
            commands.BroadcastMessage((address_of(receiver),), Report((), None))
        )
    reactor.doIteration(0.05)
    assert posted == []
    read_until(receiver, posted, n_messages)
    assert [event.message for event in posted] == [Report((), None)] * n_messages
    sender.transport.stopListening()
    receiver.transport.stopListening()
