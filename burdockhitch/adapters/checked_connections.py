"""Connections of Twisted's HTTP client that check the head of each answer."""

from typing import Any

from twisted.internet.interfaces import IProtocol
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from burdockhitch import log
from burdockhitch.adapters.status_lines import HeadChecker
from burdockhitch.errors import AnswerLimitError, StatusLineError


class CheckedProtocol(ProtocolWrapper):
    """Passes the bytes of one answer on, unless its head is malformed or too large."""

    def __init__(self, factory: Any, wrapped: IProtocol) -> None:
        super().__init__(factory, wrapped)
        self._checker = HeadChecker()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, or abort the connection at a head that can't be accepted."""
        if not self._checker.is_done:
            try:
                self._checker.feed(data)
            except (AnswerLimitError, StatusLineError) as error:
                peer = self.getPeer()
                fields = {"address": f"{peer.host}:{peer.port}", "detail": str(error)}
                log.write_event("WARNING", "answer_rejected", fields)
                self.transport.abortConnection()
                return
        super().dataReceived(data)

    def stopProducing(self) -> None:  # noqa: N802
        """Abort the connection, without waiting until the server reads the request."""
        self.transport.abortConnection()


class CheckedFactory(WrappingFactory):
    """Checks the head of the answer on each connection of a factory."""

    noisy = False
    protocol = CheckedProtocol
