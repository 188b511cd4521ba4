"""HTTP towards callers."""

from itertools import count
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from burdockhitch import commands, events
from burdockhitch.adapters import headers
from burdockhitch.adapters.bodies import BoundedRequest
from burdockhitch.adapters.process import Process, senders
from burdockhitch.errors import BodyTooLargeError, error_name
from burdockhitch.messages import Refusal, RequestMessage
from burdockhitch.problems import make_document, outcome_of, problems
from burdockhitch.systems.draining import is_leaving

ADDRESSES_PATH = "/.well-known/burdockhitch/addresses/"
ANONYMOUS = "anonymous"
PROXY_NAME = "burdockhitch"


class CallerFront:
    """Turns callers' requests into events.

    Args:
        callers: Open requests by connection number, shared with the senders.
        post: Puts an event into the inbox and requests a tick.
    """

    app = Klein()

    def __init__(self, callers: dict[int, Any], post: Any) -> None:
        self._callers = callers
        self._post = post
        self._numbers = count(1)

    @app.route(ADDRESSES_PATH + "<string:service>", methods=["GET"])
    def ask_addresses(self, request: Any, service: str) -> Any:
        """Answer which addresses to use for a service."""
        zone = (request.args.get(b"zone") or [b""])[0].decode("ascii", "replace")
        account = _account(_pairs(request))
        return self._open(
            request,
            lambda number: events.AddressesAsked(number, service, account, zone),
        )

    @app.route("/", branch=True)
    def pass_on(self, request: Any) -> Any:
        """Take a request for a backend server."""
        if getattr(request, "is_too_large", False):
            return _refuse_body(request)
        return self._open(request, lambda number: _arrival(number, request))

    def _open(self, request: Any, make_event: Any) -> Any:
        number = next(self._numbers)
        finished: Deferred[None] = Deferred()
        self._callers[number] = (request, finished)
        request.notifyFinish().addErrback(self._close, number)
        self._post(make_event(number))
        return finished

    def _close(self, _reason: Any, number: int) -> None:
        if self._callers.pop(number, None) is not None:
            self._post(events.CallerGone(number))


def _pairs(request: Any) -> headers.HeaderPairs:
    return headers.decode_headers(request.requestHeaders.getAllRawHeaders())


def _account(pairs: headers.HeaderPairs) -> str:
    return headers.find_header(pairs, headers.CALLER_ACCOUNT) or ANONYMOUS


def _timeout_s(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _arrival(number: int, request: Any) -> events.CallerRequestArrived:
    pairs = _pairs(request)
    message = RequestMessage(
        method=request.method.decode("ascii"),
        path=request.uri.decode("latin-1"),
        headers=pairs,
        body=request.content.getvalue(),
        account=_account(pairs),
    )
    return events.CallerRequestArrived(
        connection_id=number,
        request=message,
        key=headers.find_header(pairs, headers.IDEMPOTENCY_KEY),
        timeout_s=_timeout_s(headers.find_header(pairs, headers.REQUEST_TIMEOUT)),
    )


def _refuse_body(request: Any) -> bytes:
    refusal = Refusal(error_name(BodyTooLargeError), "the body is too large", 0.0)
    return _write_problem(request, refusal, "")


def _write_problem(request: Any, refusal: Refusal, request_id: str) -> bytes:
    problem = problems[refusal.error]
    request.setResponseCode(int(problem.status))
    request.setHeader("content-type", "application/problem+json")
    request.setHeader(headers.OUTCOME, outcome_of(refusal.error))
    request.setHeader("proxy-status", f"{PROXY_NAME}; error={problem.proxy_error}")
    if refusal.retry_after_s:
        request.setHeader("retry-after", str(max(1, round(refusal.retry_after_s))))
    return msgspec.json.encode(make_document(refusal, request_id))


def _take(process: Process, connection_id: int) -> tuple[Any, Any] | None:
    taken: tuple[Any, Any] | None = process.callers.pop(connection_id, None)
    if taken is not None and is_leaving(process.world):
        _close_after_answer(taken[0])
    return taken


def _close_after_answer(request: Any) -> None:
    request.setHeader("connection", "close")
    request.channel.persistent = False


@senders("AnswerCaller")
def send_answer(process: Process, command: commands.AnswerCaller) -> None:
    """Write a whole answer."""
    taken = _take(process, command.connection_id)
    if taken is None:
        return
    request, finished = taken
    answer = command.answer
    request.setResponseCode(answer.status)
    for name, value in answer.headers:
        request.responseHeaders.addRawHeader(name, value.encode("latin-1"))
    request.setHeader(headers.REQUEST_ID, command.request_id)
    request.setHeader("content-length", str(len(answer.body)))
    finished.callback(answer.body)


@senders("RefuseCaller")
def send_refusal(process: Process, command: commands.RefuseCaller) -> None:
    """Write a problem document."""
    taken = _take(process, command.connection_id)
    if taken is None:
        return
    request, finished = taken
    request.setHeader(headers.REQUEST_ID, command.request_id)
    finished.callback(_write_problem(request, command.refusal, command.request_id))


@senders("OfferAddresses")
def send_offers(process: Process, command: commands.OfferAddresses) -> None:
    """Write which addresses to use."""
    taken = _take(process, command.connection_id)
    if taken is None:
        return
    request, finished = taken
    request.setHeader("content-type", "application/json")
    request.setHeader("cache-control", f"max-age={int(command.keep_s)}")
    request.setHeader(headers.REVISION, str(command.revision))
    document = {
        "service": command.service,
        "addresses": [offer._asdict() for offer in command.offers],
        "keep_s": command.keep_s,
        "revision": command.revision,
    }
    finished.callback(msgspec.json.encode(document))


def make_site(process: Process) -> Site:
    """Return the factory of the callers' listener."""
    bound = process.world.settings.callers.body_max_bytes
    request_type = type("CallerRequest", (BoundedRequest,), {"body_max_bytes": bound})
    front = CallerFront(process.callers, process.ticker.post)
    return Site(front.app.resource(), requestFactory=request_type)
