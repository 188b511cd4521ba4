"""Runs stand-ins as processes."""

from typing import Any

from twisted.web.server import Site

from burdockhitch.adapters.listening import listen
from burdockhitch.clock import SystemClock
from burdockhitch.standins.platform import PlatformStandin
from burdockhitch.standins.server import ServerStandin
from burdockhitch.standins.store import StoreStandin


def run_platform(address: str) -> None:
    """Run the platform's stand-in until a signal ends it."""
    from twisted.internet import reactor

    loop: Any = reactor
    listen(loop, address, Site(PlatformStandin(loop).app.resource()), [])
    loop.run()


def run_store(address: str) -> None:
    """Run the stand-in of the users' store until a signal ends it."""
    from twisted.internet import reactor

    loop: Any = reactor
    standin = StoreStandin(loop, SystemClock())
    listen(loop, address, Site(standin.app.resource()), [])
    loop.run()


def run_servers(addresses: list[str], n_slots: int, seed: int) -> None:
    """Run several backend servers in one process until a signal ends it."""
    from twisted.internet import reactor

    loop: Any = reactor
    for number, address in enumerate(addresses):
        standin = ServerStandin(loop, SystemClock(), n_slots, address, seed + number)
        listen(loop, address, Site(standin.app.resource()), [])
    loop.run()
