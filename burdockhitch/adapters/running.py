"""Initialises a daemon and runs its loop on one thread."""

import gc
import random
from typing import Any

from burdockhitch import log
from burdockhitch.adapters.loop import Ticker
from burdockhitch.adapters.signals import SignalHandlers, install_signal_handlers
from burdockhitch.clock import SystemClock
from burdockhitch.settings import Settings
from burdockhitch.world import World, make_world


def initialise_world(settings: Settings) -> World:
    """Configure the log and return the empty tables of a new VM process."""
    clock = SystemClock()
    log.configure_log(settings.log.level, settings.vm.vm_id, clock)
    return make_world(settings, clock, random.Random())


def run_loop(
    world: World, reactor: Any, ticker: Ticker, handlers: SignalHandlers
) -> None:
    """Schedule the first tick and run the reactor until it is stopped.

    Args:
        world: Tables of this VM.
        reactor: Twisted reactor.
        ticker: Runs the systems.
        handlers: Function to call, by signal number.
    """
    ticker.request_tick()
    reactor.callWhenRunning(install_signal_handlers, reactor, handlers)
    # Loaded modules live as long as the process; freezing them spares the garbage
    # collector from scanning them.
    gc.freeze()
    log.write_event("INFO", "started", {"incarnation": world.local.incarnation})
    reactor.run(installSignalHandlers=False)
