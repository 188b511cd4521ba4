"""Opens the listening TCP sockets of a daemon."""

from typing import Any

from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from burdockhitch.errors import ListenError

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
        ports.append(reactor.listenTCP(int(port), site, interface=host))
    except CannotListenError as error:
        raise ListenError(f"{address}: {error.socketError}") from error
