"""Tests when datagrams are read, and how bursts of them are sent."""

import time

import pytest
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.task import Clock

from burdockhitch import commands
from burdockhitch.adapters.datagrams import BURST_MAX_BYTES, Datagrams
from burdockhitch.direct_messages import Report, ServerLoad, ZoneReport
from burdockhitch.tests.fakes import FakeFleet

WAIT_S = 5.0


def open_socket(reactor):
    """Return an open socket and the list of the events that it posts."""
    world = FakeFleet().add_vm("a1", "a")
    posted = []
    datagrams = Datagrams(world, posted.append, reactor)
    datagrams.listen("127.0.0.1:0")
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


class RecordingTransport:
    """Records the size of each datagram that is sent, and when."""

    def __init__(self, clock):
        self.clock = clock
        self.sent = []

    def write(self, datagram, _address):
        self.sent.append((self.clock.seconds(), len(datagram)))


@pytest.mark.parametrize("link_mbps", [10.0, 100.0])
@pytest.mark.parametrize("n_receivers", [5, 25, 40])
def test_a_report_to_a_whole_zone_is_not_lost_on_a_narrow_link(n_receivers, link_mbps):
    """A burst above what the link queues would be lost: 115 loads, 3 KB a receiver."""
    fleet = FakeFleet()
    world = fleet.add_vm("a1", "a")
    direct = world.settings.direct._replace(link_mbps=link_mbps)
    world = world._replace(settings=world.settings._replace(direct=direct))
    reactor = Clock()
    datagrams = Datagrams(world, lambda _event: None, reactor)
    datagrams.transport = RecordingTransport(reactor)
    loads = tuple(ServerLoad(f"i-{number:010x}", 2) for number in range(115))
    report = ZoneReport("a", loads, tuple(load.server_id for load in loads))
    addresses = tuple(f"10.0.0.{number}:1" for number in range(n_receivers))
    datagrams.send(commands.BroadcastMessage(addresses, report))
    for _ in range(100):
        fleet.clock.elapsed_s += 0.005
        reactor.advance(0.005)
    sent = datagrams.transport.sent
    assert len(sent) == n_receivers
    n_bytes = sent[0][1]
    queue_max_bytes = 0.0
    for at_s, _ in sent:
        n_sent = sum(size for sent_at_s, size in sent if sent_at_s <= at_s)
        n_carried = at_s * link_mbps * 125_000
        queue_max_bytes = max(queue_max_bytes, n_sent - n_carried)
    assert queue_max_bytes <= BURST_MAX_BYTES + n_bytes
