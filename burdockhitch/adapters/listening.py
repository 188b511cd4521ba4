"""Opens and closes the listening TCP sockets of a daemon."""

from typing import Any

from twisted.internet.error import (
    CannotListenError,
    ConnectionDone,
)
from twisted.python.failure import Failure
from twisted.web.server import Site

from burdockhitch.adapters.caller_sites import CallerSite, is_readable
from burdockhitch.errors import ListenError

# Most times that waiting connections are accepted before a listener closes. Each time
# accepts at least one of them.
LAST_ACCEPTS_MAX = 200
# Connections that wait to be accepted. Above it the kernel drops the first packet, and
# the caller tries again after a second.
BACKLOG = 256
# Time to write the last answers before the process ends.
EXIT_DELAY_S = 0.2


def listen(reactor: Any, address: str, site: Site, ports: list[Any]) -> None:
    """Listen on ``ip:port``.

    Args:
        reactor: Twisted reactor.
        address: ``ip:port`` to listen on.
        site: Twisted site that serves the connections.
        ports: The listening port is appended to this list.

    Raises:
        ListenError: If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        ports.append(reactor.listenTCP(int(port), site, BACKLOG, interface=host))
    except CannotListenError as error:
        raise ListenError(f"{address}: {error.socketError}") from error


def stop_listening(ports: list[Any]) -> None:
    """Close listening ports and their idle connections.

    Connections that wait at a port are accepted first. The kernel would reset them, and
    their callers may already have sent requests.

    Args:
        ports: Listening ports; the list is cleared.
    """
    for port in ports:
        if isinstance(port.factory, CallerSite):
            port.factory.close_idle()
        for _ in range(LAST_ACCEPTS_MAX):
            if not is_readable(port):
                break
            port.doRead()
        # Unlike stopListening, this closes the socket now, not in the next pass of the
        # loop, until which more connections would arrive.
        port.connectionLost(Failure(ConnectionDone()))
    ports.clear()
