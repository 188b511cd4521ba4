"""Starts and runs a daemon: one loop on one thread."""

import gc
import random
from typing import Any

from burdockhitch import log
from burdockhitch.adapters.loop import Ticker
from burdockhitch.adapters.signals import SignalHandlers, handle_signals
from burdockhitch.clock import SystemClock
from burdockhitch.settings import Settings
from burdockhitch.world import World, make_world


def open_world(settings: Settings) -> World:
    """Configure the log and return the empty tables of a starting VM."""
    clock = SystemClock()
    log.configure_log(settings.log.level, settings.vm.vm_id, clock)
    return make_world(settings, clock, random.Random())


def run_loop(
    world: World, reactor: Any, ticker: Ticker, handlers: SignalHandlers
) -> None:
    """Run the first tick and then the reactor, until it is stopped.

    Args:
        world: Tables of this VM.
        reactor: Twisted reactor.
        ticker: Runs the systems.
        handlers: What to do at each signal.
    """
    ticker.request_tick()
    reactor.callWhenRunning(handle_signals, reactor, handlers)
    # Modules stay until the end; the collector need not look at them again.
    gc.freeze()
    log.write_event("INFO", "started", {"incarnation": world.local.incarnation})
    reactor.run(installSignalHandlers=False)
