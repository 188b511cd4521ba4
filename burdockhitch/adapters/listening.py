"""Opens and closes the listening TCP sockets of a daemon."""

import select
from typing import Any

from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from burdockhitch.errors import ListenError

# Time to write the last answers before the process ends.
EXIT_DELAY_S = 0.2
# Most times that waiting connections are accepted before a listener closes. Each time
# accepts at least one of them.
LAST_ACCEPTS_MAX = 200


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
        ports.append(reactor.listenTCP(int(port), site, interface=host))
    except CannotListenError as error:
        raise ListenError(f"{address}: {error.socketError}") from error


class CallerChannel(HTTPChannel):
    """A caller's connection, which its site keeps track of.

    Attributes:
        is_kept_alive: Whether a request on it has ended.
    """

    is_kept_alive = False

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the site's open connections."""
        super().connectionMade()
        self.factory.open_channels.add(self)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Note that a request has ended."""
        self.is_kept_alive = True
        super().requestDone(request)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Remove the connection from the site's open connections."""
        self.factory.open_channels.discard(self)
        super().connectionLost(reason)


class CallerSite(Site):
    """Site that keeps track of the open connections of callers."""

    protocol = CallerChannel

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        # A body is bytes: parsed forms take several times their size.
        super().__init__(*args, parsePOSTFormSubmission=False, **kwargs)
        self.open_channels: set[CallerChannel] = set()

    def close_idle(self) -> None:
        """Close the connections that were kept alive and have no further request.

        A later request would break when the process ends. The first request of a new
        connection is likely on its way.
        """
        for channel in list(self.open_channels):
            is_idle = channel.is_kept_alive and not channel.requests
            if is_idle and not is_readable(channel.transport):
                channel.loseConnection()

    def count_unwritten(self, reactor: Any) -> int:
        """Return how many connections have bytes that the kernel didn't take yet."""
        writers = set(reactor.getWriters())
        return sum(channel.transport in writers for channel in self.open_channels)


def is_readable(transport: Any) -> bool:
    """Return whether data or connections wait to be read from a socket."""
    poll = select.poll()
    poll.register(transport.fileno(), select.POLLIN)
    return bool(poll.poll(0))


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
