"""HTTP interface for the platform's callers: requests, addresses and readiness."""

import math
import re
from typing import Any

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from burdockhitch import commands, events
from burdockhitch.adapters import headers
from burdockhitch.adapters.bodies import BoundedRequest, SmallRequest
from burdockhitch.adapters.caller_limits import CallerConnections
from burdockhitch.adapters.caller_sites import CallerSite
from burdockhitch.errors import BodyRefusedError
from burdockhitch.messages import Refusal, RequestMessage
from burdockhitch.platform import names
from burdockhitch.platform.documents import WireAddresses
from burdockhitch.platform.numbers import decode_decimal
from burdockhitch.platform.process import PlatformProcess, command_handlers
from burdockhitch.problems import make_problem_document, problems
from burdockhitch.systems.direct.membership import is_leaving
from burdockhitch.systems.endings import make_refusal
from burdockhitch.tables.caller_connections import Door
from burdockhitch.tables.client_accounts import digest_key
from burdockhitch.tables.vms import VmStatus

# In force only while this VM holds no configuration, which sets the limit otherwise.
BODY_MAX_BYTES = 8 * 1024 * 1024
# Time after which a caller whose body had no room may return.
BODY_RETRY_AFTER_S = 0.5
# Scheme names are case-insensitive (RFC 9110, 11.1).
CREDENTIALS = re.compile(rb"[ \t]*%b +(\S+)[ \t]*" % names.KEY_SCHEME.encode(), re.I)
ACCOUNT_HEADERS = frozenset({names.AUTHORIZATION, names.ACCOUNT})
STATUS_UNAVAILABLE = 503
STATUS_UNAUTHORIZED = 401
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class PlatformSite(CallerSite):
    """Site of the callers' port, whose limits are those of the configuration.

    Args:
        process: Context with the open requests and the ticker.
    """

    def __init__(self, process: PlatformProcess) -> None:
        super().__init__(
            CallerResource(process),
            Door.CALLERS,
            process.world,
            requestFactory=CallerHttpRequest,
        )
        self._process_world = process.world

    def read_body_max_bytes(self) -> int:
        """Return the size limit of a body by the configuration in force."""
        for configuration in self._process_world.configurations:
            return configuration.body_max_bytes
        return BODY_MAX_BYTES


class CallerHttpRequest(BoundedRequest):
    """A caller's request, whose body is limited by the configuration and the memory."""

    # Keeps Twisted from adding a Content-Type to answers that have none.
    defaultContentType = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Take the limit in force when the body starts."""
        self.body_max_bytes = self.channel.site.read_body_max_bytes()
        super().gotLength(length)

    def write_refusal_body(self) -> None:
        """Write a problem document, or only the status 413."""
        if self.is_too_large:
            super().write_refusal_body()
            return
        detail = "this VM has no memory left for the request"
        refusal = make_refusal(BodyRefusedError, detail, BODY_RETRY_AFTER_S)
        request_id = self.getHeader(names.REQUEST_ID) or ""
        _write_problem(self, refusal, request_id)


class CallerResource(Resource):
    """Turns callers' requests into events.

    Args:
        process: Context with the open requests and the ticker.
    """

    isLeaf = True

    def __init__(self, process: PlatformProcess) -> None:
        super().__init__()
        self._process = process

    def render(self, request: Any) -> Any:
        """Post the event of a request; answer 400 if it has no id or host."""
        message = _make_message(request)
        request_id = headers.find_header(message.headers, names.REQUEST_ID)
        if not request_id or not message.host:
            request.setResponseCode(STATUS_BAD_REQUEST)
            return b""
        connection_id = _register_request(self._process, request)
        event = events.HostRequestArrived(
            connection_id,
            request_id,
            message,
            _remaining_s(message.headers),
            _digest_request_key(request),
            _find_account_headers(message.headers),
        )
        self._process.ticker.post(event)
        return NOT_DONE_YET


def _register_request(process: PlatformProcess, request: Any) -> int:
    connection_id = next(process.connection_ids)
    process.callers[connection_id] = request

    def handle_disconnect(_reason: Any) -> None:
        if process.callers.pop(connection_id, None) is not None:
            process.ticker.post(events.CallerDisconnected(connection_id))

    request.notifyFinish().addErrback(handle_disconnect)
    return connection_id


def _remaining_s(pairs: headers.HeaderPairs) -> float:
    """Return the time left until the caller's deadline; infinite without one."""
    remaining_ms = decode_decimal(headers.find_header(pairs, names.DEADLINE_MS))
    return math.inf if remaining_ms is None else remaining_ms / 1000


def _digest_request_key(request: Any) -> str:
    """Return the digest of the key that a request carries, empty without a usable one.

    A header that ``Connection`` names is meant for this program, so it counts.
    """
    name = names.AUTHORIZATION.encode()
    values = request.requestHeaders.getRawHeaders(name, [])
    credentials = CREDENTIALS.fullmatch(values[0]) if len(values) == 1 else None
    return digest_key(credentials[1]) if credentials is not None else ""


def _find_account_headers(pairs: headers.HeaderPairs) -> tuple[str, ...]:
    """Return the names of the headers that hold a key or an account.

    Underscores count as hyphens, because many servers read them so.
    """
    found = {
        name for name, _value in pairs if name.replace("_", "-") in ACCOUNT_HEADERS
    }
    return tuple(sorted(found))


def _make_message(request: Any) -> RequestMessage:
    host = request.requestHeaders.getRawHeaders("host", [""])[0]
    return RequestMessage(
        method=request.method.decode("ascii", "replace"),
        path=request.uri.decode("latin-1"),
        headers=headers.decode_end_to_end_headers(
            request.requestHeaders.getAllRawHeaders()
        ),
        body=request.content.getvalue(),
        account="",
        host=host.partition(":")[0].lower(),
    )


def _pop_request(process: PlatformProcess, connection_id: int) -> Any:
    """Remove an open request and return it, or None if the caller disconnected."""
    request = process.callers.pop(connection_id, None)
    if request is not None and is_leaving(process.world):
        request.setHeader("connection", "close")
        request.channel.persistent = False
    return request


def _write_body(request: Any, body: bytes) -> None:
    request.setHeader("content-length", str(len(body)))
    request.write(body)


def _write_problem(request: Any, refusal: Refusal, request_id: str) -> None:
    request.setResponseCode(int(problems[refusal.error].status))
    request.setHeader("content-type", "application/problem+json")
    if int(problems[refusal.error].status) == STATUS_UNAUTHORIZED:
        request.setHeader(names.KEY_CHALLENGE, names.KEY_SCHEME)
    if refusal.retry_after_s:
        request.setHeader(names.RETRY_AFTER, f"{refusal.retry_after_s:.3f}")
    document = make_problem_document(refusal, request_id)
    _write_body(request, msgspec.json.encode(document))


def _finish_answer(request: Any, body: bytes) -> None:
    _write_body(request, body)
    request.finish()


@command_handlers("AnswerCaller")
def send_answer(process: PlatformProcess, command: commands.AnswerCaller) -> None:
    """Write a backend server's answer to the caller with its end-to-end headers."""
    request = _pop_request(process, command.connection_id)
    if request is None:
        return
    answer = command.answer
    request.setResponseCode(answer.status)
    for name, value in answer.headers:
        request.responseHeaders.addRawHeader(name, value.encode("latin-1"))
    _finish_answer(request, answer.body)


@command_handlers("RefuseCaller")
def send_refusal(process: PlatformProcess, command: commands.RefuseCaller) -> None:
    """Write a problem document; its status tells whether the request ran."""
    request = _pop_request(process, command.connection_id)
    if request is None:
        return
    _write_problem(request, command.refusal, command.request_id)
    request.finish()


@command_handlers("OfferAddresses")
def send_offers(process: PlatformProcess, command: commands.OfferAddresses) -> None:
    """Write the VM addresses that a caller asked for; 503 if there are none."""
    request = _pop_request(process, command.connection_id)
    if request is None:
        return
    if not command.offers:
        request.setResponseCode(STATUS_UNAVAILABLE)
        _finish_answer(request, b"")
        return
    request.setHeader("content-type", "application/json")
    addresses = [offer.address for offer in command.offers]
    document = WireAddresses(addresses=addresses, ttlS=command.keep_s)
    _finish_answer(request, msgspec.json.encode(document))


class DirectoryResource(Resource):
    """Serves address requests of callers and the platform's readiness checks.

    Args:
        process: Context with the open requests and the ticker.
    """

    isLeaf = True

    def __init__(self, process: PlatformProcess) -> None:
        super().__init__()
        self._process = process

    def render_GET(self, request: Any) -> Any:
        """Handle an address request or a readiness check; 404 for other paths."""
        if request.path == names.RESOLVE_PATH.encode():
            return self._post_address_request(request)
        if request.path == names.READY_PATH.encode():
            return self._render_readiness(request)
        request.setResponseCode(STATUS_NOT_FOUND)
        return b""

    def _post_address_request(self, request: Any) -> Any:
        """Post the event of a request for the VM addresses of a host."""
        host = _query_argument(request, b"name")
        zone = _query_argument(request, b"zone")
        connection_id = _register_request(self._process, request)
        self._process.ticker.post(
            events.AddressesRequested(connection_id, host, "", zone)
        )
        return NOT_DONE_YET

    def _render_readiness(self, request: Any) -> bytes:
        """Answer 200 if this VM is ready for requests and not leaving, else 503."""
        world = self._process.world
        own_row = world.vms.fetch(world.local.vm_id)
        is_ready = own_row.is_ready and own_row.status is VmStatus.ALIVE
        if not is_ready:
            request.setResponseCode(STATUS_UNAVAILABLE)
        return b""


def _query_argument(request: Any, name: bytes) -> str:
    return str((request.args.get(name) or [b""])[0].decode("ascii", "replace"))


def make_caller_site(process: PlatformProcess) -> PlatformSite:
    """Return the site for the callers' listening port."""
    return PlatformSite(process)


def make_directory_site(
    process: PlatformProcess, connections: CallerConnections
) -> CallerSite:
    """Return the site for the address and readiness listening ports.

    Args:
        process: Context with the open requests and the ticker.
        connections: Account of all callers' connections.
    """
    return CallerSite(
        DirectoryResource(process),
        Door.DIRECTORY,
        process.world,
        connections,
        requestFactory=SmallRequest,
    )
