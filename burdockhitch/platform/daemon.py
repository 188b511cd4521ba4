"""Daemon of an entry VM with the platform front end; one loop on one thread."""

import signal
from itertools import count
from pathlib import Path
from typing import Any

from burdockhitch import commands, events, log
from burdockhitch.adapters.answer_limits import AnswerLimits
from burdockhitch.adapters.caller_sites import make_admin_site
from burdockhitch.adapters.connections import ConnectionPool
from burdockhitch.adapters.datagrams import Datagrams
from burdockhitch.adapters.listening import (
    EXIT_DELAY_S,
    listen,
    stop_listening,
)
from burdockhitch.adapters.loop import Ticker
from burdockhitch.adapters.running import initialise_world, run_loop
from burdockhitch.adapters.signals import SignalHandlers
from burdockhitch.adapters.state import write_dump
from burdockhitch.adapters.timekeeping import follow_monotonic_clock
from burdockhitch.errors import SettingsError
from burdockhitch.platform import backends, callers, peers, store
from burdockhitch.platform.process import PlatformProcess, command_handlers
from burdockhitch.platform.settings import read_platform_settings
from burdockhitch.settings import Settings
from burdockhitch.systems import direct
from burdockhitch.systems.direct.admission.decisions import admission_policies
from burdockhitch.systems.direct.admission.policies import AUTO
from burdockhitch.systems.direct.return_times import return_policies
from burdockhitch.systems.direct.selection import selection_policies
from burdockhitch.systems.direct.starting import start_vm
from burdockhitch.world import World

# Imported because these modules register command handlers and systems.
REGISTERED_MODULES = (backends, callers, direct, peers, store)


@command_handlers("LogEvent")
def write_log(_process: PlatformProcess, command: commands.LogEvent) -> None:
    """Write one structured line to the log."""
    log.write_event(command.level, command.event, command.fields)


@command_handlers("BroadcastMessage")
def broadcast(process: PlatformProcess, command: commands.BroadcastMessage) -> None:
    """Send one message to several VMs."""
    process.datagrams.send(command)


@command_handlers("CloseListeners")
def close_listeners(
    process: PlatformProcess, _command: commands.CloseListeners
) -> None:
    """Stop accepting connections and close idle ones."""
    stop_listening(process.ports)


@command_handlers("CountUnwrittenAnswers")
def count_unwritten_answers(
    process: PlatformProcess, _command: commands.CountUnwrittenAnswers
) -> None:
    """Post how many callers' connections have bytes that the kernel didn't take yet."""
    n_connections = sum(
        site.count_unwritten(process.reactor) for site in process.caller_sites
    )
    process.ticker.post(events.UnwrittenAnswersCounted(n_connections))


@command_handlers("StopProcess")
def stop_process(process: PlatformProcess, _command: commands.StopProcess) -> None:
    """Stop the reactor after a delay in which the last answers are written."""
    process.reactor.callLater(EXIT_DELAY_S, process.reactor.stop)


def make_process(world: World, reactor: Any) -> PlatformProcess:
    """Create the sockets, clients and ticker that work on the tables of a VM."""

    def execute_command(kind: str, command: Any) -> None:
        command_handlers[kind](process, command)

    ticker = Ticker(
        world, reactor, execute_command, lambda: process.datagrams.read_pending()
    )
    server_settings = world.settings.backend_servers
    pool = ConnectionPool(
        reactor,
        lambda: world.clock.now().monotonic_s,
        server_settings.connect_timeout_s,
        AnswerLimits(
            server_settings.answer_max_bytes, server_settings.open_answers_max_bytes
        ),
    )
    process = PlatformProcess(
        world=world,
        reactor=reactor,
        ticker=ticker,
        callers={},
        attempts={},
        pool=pool,
        datagrams=Datagrams(world, ticker.post, reactor),
        ports=[],
        connection_ids=count(1),
        caller_sites=[],
    )
    return process


def _open_ports(process: PlatformProcess) -> None:
    settings = process.world.settings
    reactor, ports = process.reactor, process.ports
    process.datagrams.listen(settings.vm.message_address)
    caller_site = callers.make_caller_site(process)
    connections = caller_site.connections
    admin_site = make_admin_site(
        peers.PeerResource(process.world), process.world, connections
    )
    listen(reactor, settings.vm.admin_address, admin_site, ports)
    directory = callers.make_directory_site(process, connections)
    for address in {
        settings.direct.directory_address,
        settings.direct.readiness_address,
    }:
        listen(reactor, address, directory, ports)
    process.caller_sites.append(caller_site)
    listen(reactor, settings.vm.caller_address, caller_site, ports)


def log_changed_settings(settings: Settings, path: Path) -> None:
    """Read the settings file again and log which sections changed.

    The changes take effect on a restart.

    Args:
        settings: Settings the process was started with.
        path: Settings file.
    """
    try:
        file_settings = read_platform_settings(path)
    except SettingsError as error:
        log.write_event("ERROR", "settings_rejected", {"error": str(error)})
        return
    changed_sections = [
        name
        for name, section in file_settings._asdict().items()
        if section != getattr(settings, name)
    ]
    log.write_event("INFO", "settings_read", {"changed_sections": changed_sections})


def check_policies(settings: Settings) -> None:
    """Check that the policies of direct sending in the settings are registered.

    Raises:
        UnknownNameError: If a policy is not registered.
    """
    # Looking up a name that is not registered raises the error.
    selection_policies[settings.policies.selection]
    return_policies[settings.policies.returns]
    if settings.policies.admission != AUTO:
        admission_policies[settings.policies.admission]


def run_platform_daemon(path: Path) -> None:
    """Run until the VM has left the fleet.

    Args:
        path: Settings file that the platform generated.

    Raises:
        SettingsError: If the settings are invalid.
        UnknownNameError: If they name a policy that is not registered.
    """
    settings = read_platform_settings(path)
    check_policies(settings)
    from twisted.internet import reactor

    world = initialise_world(settings)
    follow_monotonic_clock(reactor, world.clock)
    process = make_process(world, reactor)
    start_vm(world, world.clock.now())
    _open_ports(process)

    def stop() -> None:
        process.ticker.post(events.StopRequested())

    handlers: SignalHandlers = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        signal.SIGUSR1: lambda: write_dump(world),
        signal.SIGHUP: lambda: log_changed_settings(settings, path),
    }
    run_loop(world, reactor, process.ticker, handlers)
