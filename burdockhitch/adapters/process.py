"""Sockets and clients of a native process, and its registry of command handlers."""

from collections.abc import Callable
from typing import Any, NamedTuple

from burdockhitch.adapters.answer_limits import OpenAnswers
from burdockhitch.registry import Registry
from burdockhitch.world import World


class Process(NamedTuple):
    """Everything that the command handlers work on.

    Attributes:
        world: Tables of this VM.
        reactor: Twisted reactor.
        ticker: Runs the systems; see ``burdockhitch.adapters.loop``.
        callers: Open caller requests, each with the deferred of its answer, by
            connection id.
        attempts: Deferreds of the requests to backend servers by attempt id.
        open_answers: Limits of the answers of backend servers, and the bytes held of
            those in progress.
        backend_agent: Twisted HTTP agent for backend servers.
        platform_client: HTTP client for the platform.
        links: ZeroMQ sockets to and from other VMs.
        ports: Listening TCP ports.
    """

    world: World
    reactor: Any
    ticker: Any
    callers: dict[int, Any]
    attempts: dict[int, Any]
    open_answers: OpenAnswers
    backend_agent: Any
    platform_client: Any
    links: Any
    ports: list[Any]


CommandHandler = Callable[[Process, Any], None]
command_handlers: Registry[CommandHandler] = Registry("sender of commands")
