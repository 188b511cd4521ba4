"""The parts of a running process and the registry of command senders."""

from collections.abc import Callable
from typing import Any, NamedTuple

from burdockhitch.registry import Registry
from burdockhitch.world import World


class Process(NamedTuple):
    """What the senders of commands need.

    Attributes:
        world: Tables of this VM.
        reactor: Twisted reactor.
        ticker: Runs the systems; see ``burdockhitch.adapters.loop``.
        callers: Open caller requests by connection number.
        attempts: Deferreds of the requests to backend servers by attempt.
        backend_agent: Agent for backend servers.
        platform_client: HTTP client for the platform and for probes.
        links: Sockets to other VMs.
        ports: Listening ports.
    """

    world: World
    reactor: Any
    ticker: Any
    callers: dict[int, Any]
    attempts: dict[int, Any]
    backend_agent: Any
    platform_client: Any
    links: Any
    ports: list[Any]


Sender = Callable[[Process, Any], None]
senders: Registry[Sender] = Registry("sender of commands")
