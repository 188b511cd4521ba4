"""Listening sockets of a daemon."""

from typing import Any

from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from burdockhitch.errors import ListenError

# Lets the last answers leave before the process ends.
EXIT_DELAY_S = 0.2


def listen(reactor: Any, address: str, site: Site, ports: list[Any]) -> None:
    """Listen on ``ip:port``.

    Args:
        reactor: Twisted reactor.
        address: Where to listen.
        site: What to serve.
        ports: Gets the listening port.

    Raises:
        ListenError: If the address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    try:
        ports.append(reactor.listenTCP(int(port), site, interface=host))
    except CannotListenError as error:
        raise ListenError(f"{address}: {error.socketError}") from error
