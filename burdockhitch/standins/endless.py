"""Answers without end, which a stand-in server sends until its caller closes."""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from burdockhitch.platform import names
from burdockhitch.registry import Registry

PIECE_BYTES = 64 * 1024
TRICKLE_PERIOD_S = 0.05
SLOW_PERIOD_S = 0.05


class EndlessAnswer(NamedTuple):
    """Bytes of an answer without end.

    Attributes:
        first: Bytes that are sent once.
        repeated: Bytes that are sent again and again after them.
        period_s: Time between two pieces; 0 to send as fast as they are taken.
    """

    first: bytes
    repeated: bytes
    period_s: float = 0.0


# Each takes the Request-Id of the request.
endless_answers: Registry[Callable[[str], EndlessAnswer]] = Registry("endless answer")


def _head(request_id: str) -> bytes:
    lines = (
        "HTTP/1.1 200 OK",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.BACKEND_SIGNATURE}: endless",
        "",
    )
    return "\r\n".join(lines).encode("latin-1")


def _whole_answer(request_id: str) -> bytes:
    return _head(request_id) + b"Content-Length: 2\r\n\r\nok"


def _fill(data: bytes) -> bytes:
    return data * (PIECE_BYTES // len(data))


@endless_answers("status_line")
def send_endless_status_line(_request_id: str) -> EndlessAnswer:
    """Send a status line without end."""
    return EndlessAnswer(b"HTTP/1.1 200 ", _fill(b"O"))


@endless_answers("head")
def send_endless_head(request_id: str) -> EndlessAnswer:
    """Send header lines without end."""
    return EndlessAnswer(_head(request_id), _fill(b"X-Endless: a\r\n"))


@endless_answers("interim")
def send_endless_interim_answers(_request_id: str) -> EndlessAnswer:
    """Send interim answers without end."""
    return EndlessAnswer(b"", _fill(b"HTTP/1.1 100 Continue\r\n\r\n"))


@endless_answers("late")
def send_endless_late_answers(_request_id: str) -> EndlessAnswer:
    """Send whole answers to another request without end."""
    return EndlessAnswer(b"", _fill(_whole_answer("another")))


@endless_answers("announced_body")
def send_endless_announced_body(request_id: str) -> EndlessAnswer:
    """Send a body that announces a terabyte."""
    head = _head(request_id) + b"Content-Length: 1000000000000\r\n\r\n"
    return EndlessAnswer(head, _fill(b"a"))


@endless_answers("body")
def send_endless_body(request_id: str) -> EndlessAnswer:
    """Send a body without length."""
    return EndlessAnswer(_head(request_id) + b"\r\n", _fill(b"a"))


@endless_answers("chunks")
def send_endless_chunks(request_id: str) -> EndlessAnswer:
    """Send large chunks without end."""
    head = _head(request_id) + b"Transfer-Encoding: chunked\r\n\r\n"
    return EndlessAnswer(head, b"fff0\r\n" + b"a" * 0xFFF0 + b"\r\n")


@endless_answers("small_chunks")
def send_endless_small_chunks(request_id: str) -> EndlessAnswer:
    """Send chunks of two bytes without end."""
    head = _head(request_id) + b"Transfer-Encoding: chunked\r\n\r\n"
    return EndlessAnswer(head, _fill(b"2\r\nab\r\n"))


@endless_answers("after_answer")
def send_endless_bytes_after_answer(request_id: str) -> EndlessAnswer:
    """Send a whole answer and then bytes without end."""
    return EndlessAnswer(_whole_answer(request_id), _fill(b"a"))


@endless_answers("trickled_head")
def trickle_head(request_id: str) -> EndlessAnswer:
    """Send header lines without end, one after another."""
    return EndlessAnswer(_head(request_id), b"X-Endless: a\r\n", TRICKLE_PERIOD_S)


@endless_answers("trickled_body")
def trickle_body(request_id: str) -> EndlessAnswer:
    """Send a body without length byte by byte."""
    return EndlessAnswer(_head(request_id) + b"\r\n", b"a", TRICKLE_PERIOD_S)


@endless_answers("slow_body")
def send_slow_body(request_id: str) -> EndlessAnswer:
    """Send a body without length that grows by 1.3 megabytes a second."""
    head = _head(request_id) + b"\r\n"
    return EndlessAnswer(head, _fill(b"a"), SLOW_PERIOD_S)


@implementer(IPushProducer)
class EndlessProducer:
    """Writes to a connection until it is lost.

    Args:
        reactor: Twisted reactor.
        transport: Connection to write to.
        answer: Bytes to write.
    """

    def __init__(self, reactor: Any, transport: Any, answer: EndlessAnswer) -> None:
        self._reactor = reactor
        self._transport = transport
        self._answer = answer
        self._timer: Any = None

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece, and schedule the one after it."""
        self.pauseProducing()
        self._timer = self._reactor.callLater(
            self._answer.period_s, self.resumeProducing
        )
        self._transport.write(self._answer.repeated)

    def pauseProducing(self) -> None:  # noqa: N802
        """Write nothing until the connection takes more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more; the connection is lost."""
        self.pauseProducing()


def send_endless_answer(reactor: Any, request: Any, name: str) -> None:
    """Answer a request with the registered bytes without end.

    Args:
        reactor: Twisted reactor.
        request: Twisted request, whose connection is taken over.
        name: Name in ``endless_answers``.
    """
    request_id = str(request.getHeader(names.REQUEST_ID) or "")
    answer = endless_answers[name](request_id)
    # The HTTP channel would write an answer of its own kind.
    transport = request.channel.transport
    transport.unregisterProducer()
    producer = EndlessProducer(reactor, transport, answer)
    transport.registerProducer(producer, True)
    transport.write(answer.first)
    producer.resumeProducing()
