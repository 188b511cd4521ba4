"""Entry points that run a stand-in as a process of its own."""

from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from burdockhitch.adapters.listening import listen
from burdockhitch.clock import SystemClock
from burdockhitch.standins.platform import PlatformStandin
from burdockhitch.standins.server import ServerStandin
from burdockhitch.standins.store import StoreStandin


class ServerChannel(HTTPChannel):
    """Connection of a backend server that takes every head that a VM passes on."""

    maxHeaders = 1 << 30  # noqa: N815
    totalHeadersSize = 1 << 20  # noqa: N815
    MAX_LENGTH = 1 << 20


def run_platform(address: str) -> None:
    """Run the platform stand-in of the ``native`` front end until a signal ends it."""
    from twisted.internet import reactor

    loop: Any = reactor
    listen(loop, address, Site(PlatformStandin(loop).app.resource()), [])
    loop.run()


def run_store(address: str) -> None:
    """Run the store stand-in of the ``platform`` front end until a signal ends it."""
    from twisted.internet import reactor

    loop: Any = reactor
    standin = StoreStandin(loop, SystemClock())
    listen(loop, address, Site(standin.app.resource()), [])
    loop.run()


def run_servers(addresses: list[str], n_slots: int, seed: int) -> None:
    """Run stand-ins of several backend servers in one process until a signal ends it.

    Args:
        addresses: Address of each server, ``ip:port``; also its name.
        n_slots: Slots of each server.
        seed: Seed of the first server's random faults; each next one adds 1.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    for number, address in enumerate(addresses):
        standin = ServerStandin(loop, SystemClock(), n_slots, address, seed + number)
        site = Site(standin.app.resource())
        site.protocol = ServerChannel
        listen(loop, address, site, [])
    loop.run()
