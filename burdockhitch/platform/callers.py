"""HTTP towards callers on the platform: requests, addresses and readiness."""

import math
from typing import Any

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from burdockhitch import commands, events
from burdockhitch.adapters import headers
from burdockhitch.adapters.bodies import BoundedRequest
from burdockhitch.messages import RequestMessage
from burdockhitch.platform import names
from burdockhitch.platform.documents import WireAddresses
from burdockhitch.platform.process import PlatformProcess, senders
from burdockhitch.problems import make_document, problems
from burdockhitch.systems.direct.membership import is_leaving
from burdockhitch.tables.vms import VmStatus

BODY_MAX_BYTES = 64 * 1024 * 1024
# Larger than any configuration allows, so that only its own bound counts.
HEADER_MAX_BYTES = 256 * 1024
IDLE_TIMEOUT_S = 60
STATUS_UNAVAILABLE = 503
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413


class CallerChannel(HTTPChannel):
    """A caller's connection with room for the platform's header bounds."""

    totalHeadersSize = HEADER_MAX_BYTES
    MAX_LENGTH = HEADER_MAX_BYTES

    def connectionMade(self) -> None:
        """Note the connection."""
        super().connectionMade()
        self.factory.open_channels.add(self)

    def connectionLost(self, reason: Any) -> None:
        """Forget the connection."""
        self.factory.open_channels.discard(self)
        super().connectionLost(reason)


class CallerSite(Site):
    """Factory of callers' connections that knows which are open."""

    protocol = CallerChannel

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.open_channels: set[CallerChannel] = set()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for channel in list(self.open_channels):
            if not channel.requests:
                channel.loseConnection()


class CallerHttpRequest(BoundedRequest):
    """A caller's request."""

    body_max_bytes = BODY_MAX_BYTES
    defaultContentType = None


class CallerFront(Resource):
    """Turns callers' requests into events.

    Args:
        process: Parts of the process.
    """

    isLeaf = True

    def __init__(self, process: PlatformProcess) -> None:
        super().__init__()
        self._process = process

    def render(self, request: Any) -> Any:
        """Take a request of any method."""
        if request.is_too_large:
            request.setResponseCode(STATUS_TOO_LARGE)
            return b""
        message = _make_message(request)
        request_id = headers.find_header(message.headers, names.REQUEST_ID)
        if not request_id or not message.host:
            request.setResponseCode(STATUS_BAD_REQUEST)
            return b""
        number = _open(self._process, request)
        event = events.HostRequestArrived(
            number, request_id, message, _remaining_s(message.headers)
        )
        self._process.ticker.post(event)
        return NOT_DONE_YET


def _open(process: PlatformProcess, request: Any) -> int:
    number = next(process.numbers)
    process.callers[number] = request

    def close(_reason: Any) -> None:
        if process.callers.pop(number, None) is not None:
            process.ticker.post(events.CallerGone(number))

    request.notifyFinish().addErrback(close)
    return number


def _remaining_s(pairs: headers.HeaderPairs) -> float:
    text = headers.find_header(pairs, names.DEADLINE)
    return int(text) / 1000 if text.isdecimal() else math.inf


def _make_message(request: Any) -> RequestMessage:
    host = request.requestHeaders.getRawHeaders("host", [""])[0]
    return RequestMessage(
        method=request.method.decode("ascii", "replace"),
        path=request.uri.decode("latin-1"),
        headers=headers.decode_headers(request.requestHeaders.getAllRawHeaders()),
        body=request.content.getvalue(),
        account="",
        host=host.partition(":")[0].lower(),
    )


def _take(process: PlatformProcess, connection_id: int) -> Any:
    request = process.callers.pop(connection_id, None)
    if request is not None and is_leaving(process.world):
        request.setHeader("connection", "close")
        request.channel.persistent = False
    return request


def _finish(request: Any, body: bytes) -> None:
    request.setHeader("content-length", str(len(body)))
    request.write(body)
    request.finish()


@senders("AnswerCaller")
def send_answer(process: PlatformProcess, command: commands.AnswerCaller) -> None:
    """Write a whole answer as the backend server gave it."""
    request = _take(process, command.connection_id)
    if request is None:
        return
    answer = command.answer
    request.setResponseCode(answer.status)
    for name, value in answer.headers:
        request.responseHeaders.addRawHeader(name, value.encode("latin-1"))
    _finish(request, answer.body)


@senders("RefuseCaller")
def send_refusal(process: PlatformProcess, command: commands.RefuseCaller) -> None:
    """Write a problem document; the status says whether the request ran."""
    request = _take(process, command.connection_id)
    if request is None:
        return
    refusal = command.refusal
    request.setResponseCode(int(problems[refusal.error].status))
    request.setHeader("content-type", "application/problem+json")
    if refusal.retry_after_s:
        request.setHeader(names.RETRY_AFTER, f"{refusal.retry_after_s:.3f}")
    document = make_document(refusal, command.request_id)
    _finish(request, msgspec.json.encode(document))


@senders("OfferAddresses")
def send_offers(process: PlatformProcess, command: commands.OfferAddresses) -> None:
    """Write which addresses to use."""
    request = _take(process, command.connection_id)
    if request is None:
        return
    if not command.offers:
        request.setResponseCode(STATUS_UNAVAILABLE)
        _finish(request, b"")
        return
    request.setHeader("content-type", "application/json")
    addresses = [offer.address for offer in command.offers]
    document = WireAddresses(addresses=addresses, ttlS=command.keep_s)
    _finish(request, msgspec.json.encode(document))


class DirectoryFront(Resource):
    """Answers callers that ask for addresses, and the platform's checks.

    Args:
        process: Parts of the process.
    """

    isLeaf = True

    def __init__(self, process: PlatformProcess) -> None:
        super().__init__()
        self._process = process

    def render_GET(self, request: Any) -> Any:
        """Answer by path."""
        if request.path == names.RESOLVE_PATH.encode():
            return self._resolve(request)
        if request.path == names.READY_PATH.encode():
            return self._tell_ready(request)
        request.setResponseCode(STATUS_NOT_FOUND)
        return b""

    def _resolve(self, request: Any) -> Any:
        """Ask the systems which addresses to use for a host."""
        host = _argument(request, b"name")
        zone = _argument(request, b"zone")
        number = _open(self._process, request)
        self._process.ticker.post(events.AddressesAsked(number, host, "", zone))
        return NOT_DONE_YET

    def _tell_ready(self, request: Any) -> bytes:
        """Answer whether this VM can serve."""
        world = self._process.world
        own = world.vms.fetch(world.local.vm_id)
        is_ready = own.is_ready and own.status is VmStatus.ALIVE
        if not is_ready:
            request.setResponseCode(STATUS_UNAVAILABLE)
        return b""


def _argument(request: Any, name: bytes) -> str:
    return str((request.args.get(name) or [b""])[0].decode("ascii", "replace"))


def make_front_site(process: PlatformProcess) -> CallerSite:
    """Return the factory of the callers' listener."""
    return CallerSite(
        CallerFront(process), requestFactory=CallerHttpRequest, timeout=IDLE_TIMEOUT_S
    )


def make_directory_site(process: PlatformProcess) -> Site:
    """Return the factory of the listeners for addresses and readiness."""
    return Site(DirectoryFront(process), timeout=IDLE_TIMEOUT_S)
