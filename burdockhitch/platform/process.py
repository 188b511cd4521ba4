"""Sockets and clients of a platform process, and its registry of command handlers."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from burdockhitch.adapters.caller_sites import CallerSite
from burdockhitch.adapters.connections import ConnectionPool
from burdockhitch.registry import Registry
from burdockhitch.world import World


class PlatformProcess(NamedTuple):
    """Everything that the command handlers work on.

    Attributes:
        world: Tables of this VM.
        reactor: Twisted reactor.
        ticker: Runs the systems; see ``burdockhitch.adapters.loop``.
        callers: Open caller requests by connection id.
        attempts: Connections in use by attempt id; None while connecting.
        pool: Idle connections to backend servers.
        datagrams: UDP socket for messages from and to other VMs.
        ports: Listening TCP ports.
        connection_ids: Source of connection ids for caller requests, from 1.
        caller_sites: Sites of the callers' listening ports; they keep track of the
            connections also after the ports are closed.
    """

    world: World
    reactor: Any
    ticker: Any
    callers: dict[int, Any]
    attempts: dict[int, Any]
    pool: ConnectionPool
    datagrams: Any
    ports: list[Any]
    connection_ids: Iterator[int]
    caller_sites: list[CallerSite]


CommandHandler = Callable[[PlatformProcess, Any], None]
command_handlers: Registry[CommandHandler] = Registry(
    "sender of commands on the platform"
)
