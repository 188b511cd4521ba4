"""The parts of a process on the platform and its registry of senders."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from burdockhitch.adapters.connections import ExchangePool
from burdockhitch.registry import Registry
from burdockhitch.world import World


class PlatformProcess(NamedTuple):
    """What the senders of commands need.

    Attributes:
        world: Tables of this VM.
        reactor: Twisted reactor.
        ticker: Runs the systems; see ``burdockhitch.adapters.loop``.
        callers: Open caller requests by connection number.
        attempts: Connections in use by attempt, or the deferred that opens one.
        pool: Connections to backend servers.
        datagrams: Socket to other VMs.
        ports: Listening ports.
        numbers: Numbers of callers' connections, from 1.
    """

    world: World
    reactor: Any
    ticker: Any
    callers: dict[int, Any]
    attempts: dict[int, Any]
    pool: ExchangePool
    datagrams: Any
    ports: list[Any]
    numbers: Iterator[int]


Sender = Callable[[PlatformProcess, Any], None]
senders: Registry[Sender] = Registry("sender of commands on the platform")
