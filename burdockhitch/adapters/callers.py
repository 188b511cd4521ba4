"""HTTP interface for callers: requests for backend servers and for addresses."""

from itertools import count
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred

from burdockhitch import commands, events
from burdockhitch.adapters import headers
from burdockhitch.adapters.bodies import BoundedRequest
from burdockhitch.adapters.caller_sites import CallerSite
from burdockhitch.adapters.process import Process, command_handlers
from burdockhitch.errors import BodyRefusedError, BodyTooLargeError, error_name
from burdockhitch.messages import Refusal, RequestMessage
from burdockhitch.problems import make_problem_document, problems, refusal_outcome
from burdockhitch.systems.draining import is_leaving
from burdockhitch.tables.caller_connections import Door

ADDRESSES_PATH = "/.well-known/burdockhitch/addresses/"
ANONYMOUS = "anonymous"
PROXY_NAME = "burdockhitch"


class CallerApp:
    """Turns callers' requests into events.

    Args:
        callers: Open requests by connection id, shared with the functions that
            write the answers. The value is the request and a deferred; firing
            the deferred with a body sends the answer.
        post: Puts an event into the inbox and requests a tick.
    """

    app = Klein()

    def __init__(self, callers: dict[int, Any], post: Any) -> None:
        self._callers = callers
        self._post = post
        self._connection_ids = count(1)

    @app.route(ADDRESSES_PATH + "<string:service>", methods=["GET"])
    def receive_address_request(self, request: Any, service: str) -> Any:
        """Post the event of a request for a service's addresses."""
        zone = (request.args.get(b"zone") or [b""])[0].decode("ascii", "replace")
        account = _caller_account(_request_headers(request))
        return self._register_request(
            request,
            lambda connection_id: events.AddressesRequested(
                connection_id, service, account, zone
            ),
        )

    @app.route("/", branch=True)
    def receive_request(self, request: Any) -> Any:
        """Post the event of a request to forward."""
        return self._register_request(
            request, lambda connection_id: _make_request_event(connection_id, request)
        )

    def _register_request(self, request: Any, make_event: Any) -> Any:
        connection_id = next(self._connection_ids)
        answer_deferred: Deferred[None] = Deferred()
        self._callers[connection_id] = (request, answer_deferred)
        request.notifyFinish().addErrback(self._handle_disconnect, connection_id)
        self._post(make_event(connection_id))
        return answer_deferred

    def _handle_disconnect(self, _reason: Any, connection_id: int) -> None:
        if self._callers.pop(connection_id, None) is not None:
            self._post(events.CallerDisconnected(connection_id))


def _request_headers(request: Any) -> headers.HeaderPairs:
    return headers.decode_end_to_end_headers(request.requestHeaders.getAllRawHeaders())


def _caller_account(pairs: headers.HeaderPairs) -> str:
    return headers.find_header(pairs, headers.CALLER_ACCOUNT) or ANONYMOUS


def _parse_timeout_s(text: str) -> float:
    """Return the caller's timeout; 0 if it is missing, negative or not a number."""
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _make_request_event(
    connection_id: int, request: Any
) -> events.CallerRequestArrived:
    pairs = _request_headers(request)
    message = RequestMessage(
        method=request.method.decode("ascii"),
        path=request.uri.decode("latin-1"),
        headers=pairs,
        body=request.content.getvalue(),
        account=_caller_account(pairs),
    )
    return events.CallerRequestArrived(
        connection_id=connection_id,
        request=message,
        key=headers.find_header(pairs, headers.IDEMPOTENCY_KEY),
        timeout_s=_parse_timeout_s(headers.find_header(pairs, headers.REQUEST_TIMEOUT)),
    )


class CallerHttpRequest(BoundedRequest):
    """A caller's request, whose body is limited by the settings and the memory."""

    def write_refusal_body(self) -> None:
        """Write a problem document that states that the request didn't run."""
        if self.is_too_large:
            name, detail = error_name(BodyTooLargeError), "the body is too large"
        else:
            name = error_name(BodyRefusedError)
            detail = "this VM has no memory left for the request"
        body = _encode_problem(self, Refusal(name, detail, 0.0), "")
        self.setHeader("content-length", str(len(body)))
        self.write(body)


def _encode_problem(request: Any, refusal: Refusal, request_id: str) -> bytes:
    problem = problems[refusal.error]
    request.setResponseCode(int(problem.status))
    request.setHeader("content-type", "application/problem+json")
    request.setHeader(headers.OUTCOME, refusal_outcome(refusal.error))
    request.setHeader("proxy-status", f"{PROXY_NAME}; error={problem.proxy_error}")
    if refusal.retry_after_s:
        request.setHeader("retry-after", str(max(1, round(refusal.retry_after_s))))
    return msgspec.json.encode(make_problem_document(refusal, request_id))


def _pop_request(process: Process, connection_id: int) -> tuple[Any, Any] | None:
    """Remove an open request and return it, or None if the caller disconnected."""
    entry: tuple[Any, Any] | None = process.callers.pop(connection_id, None)
    if entry is not None and is_leaving(process.world):
        _close_after_answer(entry[0])
    return entry


def _close_after_answer(request: Any) -> None:
    request.setHeader("connection", "close")
    request.channel.persistent = False


@command_handlers("AnswerCaller")
def send_answer(process: Process, command: commands.AnswerCaller) -> None:
    """Write a backend server's answer to the caller."""
    entry = _pop_request(process, command.connection_id)
    if entry is None:
        return
    request, answer_deferred = entry
    answer = command.answer
    request.setResponseCode(answer.status)
    for name, value in answer.headers:
        request.responseHeaders.addRawHeader(name, value.encode("latin-1"))
    request.setHeader(headers.REQUEST_ID, command.request_id)
    request.setHeader("content-length", str(len(answer.body)))
    answer_deferred.callback(answer.body)


@command_handlers("RefuseCaller")
def send_refusal(process: Process, command: commands.RefuseCaller) -> None:
    """Write a problem document to the caller."""
    entry = _pop_request(process, command.connection_id)
    if entry is None:
        return
    request, answer_deferred = entry
    request.setHeader(headers.REQUEST_ID, command.request_id)
    answer_deferred.callback(
        _encode_problem(request, command.refusal, command.request_id)
    )


@command_handlers("OfferAddresses")
def send_offers(process: Process, command: commands.OfferAddresses) -> None:
    """Write the VM addresses of a service that a caller asked for."""
    entry = _pop_request(process, command.connection_id)
    if entry is None:
        return
    request, answer_deferred = entry
    request.setHeader("content-type", "application/json")
    request.setHeader("cache-control", f"max-age={int(command.keep_s)}")
    request.setHeader(headers.REVISION, str(command.revision))
    document = {
        "service": command.service,
        "addresses": [offer._asdict() for offer in command.offers],
        "keep_s": command.keep_s,
        "revision": command.revision,
    }
    answer_deferred.callback(msgspec.json.encode(document))


def make_site(process: Process) -> CallerSite:
    """Return the site for the callers' listening port."""
    body_max_bytes = process.world.settings.callers.body_max_bytes
    request_type = type(
        "CallerRequest", (CallerHttpRequest,), {"body_max_bytes": body_max_bytes}
    )
    caller_app = CallerApp(process.callers, process.ticker.post)
    return CallerSite(
        caller_app.app.resource(),
        Door.CALLERS,
        process.world,
        requestFactory=request_type,
    )
