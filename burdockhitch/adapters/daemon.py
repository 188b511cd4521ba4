"""Daemon of an entry VM with the native front end; one loop on one thread.

The native front end speaks this project's own protocols.
"""

import signal
from typing import Any

import treq.client

from burdockhitch import commands, events, log
from burdockhitch.adapters import callers, links, platform, servers
from burdockhitch.adapters.admin import AdminApp
from burdockhitch.adapters.answer_limits import AnswerLimits, OpenAnswers
from burdockhitch.adapters.caller_sites import make_admin_site
from burdockhitch.adapters.listening import (
    EXIT_DELAY_S,
    listen,
    stop_listening,
)
from burdockhitch.adapters.loop import Ticker
from burdockhitch.adapters.process import Process, command_handlers
from burdockhitch.adapters.running import initialise_world, run_loop
from burdockhitch.adapters.signals import SignalHandlers
from burdockhitch.adapters.state import write_dump
from burdockhitch.adapters.timekeeping import follow_monotonic_clock
from burdockhitch.settings import Settings
from burdockhitch.systems import owned
from burdockhitch.systems.configuration import start_platform_reads
from burdockhitch.systems.ejection import floor_guards
from burdockhitch.systems.health import detectors
from burdockhitch.systems.membership import start_membership
from burdockhitch.systems.routing import routing_policies
from burdockhitch.systems.windows import schedule_load_measurement, window_policies
from burdockhitch.world import World

# Imported because these modules register command handlers and systems.
REGISTERED_MODULES = (callers, links, owned, platform, servers)


@command_handlers("LogEvent")
def write_log(_process: Process, command: commands.LogEvent) -> None:
    """Write one structured line to the log."""
    log.write_event(command.level, command.event, command.fields)


@command_handlers("CloseListeners")
def close_listeners(process: Process, _command: commands.CloseListeners) -> None:
    """Stop accepting connections and close idle ones."""
    stop_listening(process.ports)


@command_handlers("StopProcess")
def stop_process(process: Process, _command: commands.StopProcess) -> None:
    """Stop the reactor after a delay in which the last answers are written."""
    process.links.close()
    process.reactor.callLater(EXIT_DELAY_S, process.reactor.stop)


def make_process(world: World, reactor: Any) -> Process:
    """Create the sockets, clients and ticker that work on the tables of a VM."""

    def execute_command(kind: str, command: Any) -> None:
        command_handlers[kind](process, command)

    ticker = Ticker(world, reactor, execute_command)
    server_settings = world.settings.backend_servers
    process = Process(
        world=world,
        reactor=reactor,
        ticker=ticker,
        callers={},
        attempts={},
        open_answers=OpenAnswers(
            AnswerLimits(
                server_settings.answer_max_bytes, server_settings.open_answers_max_bytes
            )
        ),
        backend_agent=servers.make_agent(reactor, server_settings.connect_timeout_s),
        platform_client=_make_platform_client(world, reactor),
        links=links.Links(world, reactor, ticker.post),
        ports=[],
    )
    return process


def _make_platform_client(world: World, reactor: Any) -> treq.client.HTTPClient:
    timeout_s = world.settings.platform.timeout_s
    return treq.client.HTTPClient(servers.make_agent(reactor, timeout_s))


def check_policies(settings: Settings) -> None:
    """Check that the policies named in the settings are registered.

    Raises:
        UnknownNameError: If a policy is not registered.
    """
    policies = settings.policies
    # Looking up a name that is not registered raises the error.
    routing_policies[policies.routing]
    detectors[policies.detector]
    floor_guards[policies.floor_guard]
    window_policies[policies.windows]


def run_daemon(settings: Settings) -> None:
    """Run until the VM has left the fleet.

    Args:
        settings: Validated settings.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    check_policies(settings)
    world = initialise_world(settings)
    follow_monotonic_clock(loop, world.clock)
    process = make_process(world, loop)
    now = world.clock.now()
    start_membership(world, now)
    start_platform_reads(world, now)
    schedule_load_measurement(world, now)
    process.links.listen()
    caller_site = callers.make_site(process)
    listen(loop, settings.vm.caller_address, caller_site, process.ports)
    admin_site = make_admin_site(
        AdminApp(world).app.resource(), world, caller_site.connections
    )
    listen(loop, settings.vm.admin_address, admin_site, process.ports)

    def stop() -> None:
        process.ticker.post(events.StopRequested())

    handlers: SignalHandlers = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        signal.SIGUSR1: lambda: write_dump(world),
    }
    run_loop(world, loop, process.ticker, handlers)
