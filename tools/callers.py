"""Load generator: sends requests at a fixed rate and reports each outcome.

The load is open loop: each request is sent at its time, whether or not earlier
requests have been answered. One event loop sends them all. The report is JSON on
standard output.
"""

import json
import time
from collections.abc import Iterator
from typing import Annotated, Any, NamedTuple

import treq.client
import typer
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from burdockhitch.adapters import headers
from burdockhitch.clock import SystemClock

reactor: Any = _reactor
clock = SystemClock()
STATUS_OK = 200
STATUS_ERROR = 500
TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 2.0


class RequestKind(NamedTuple):
    """Method and path of a request, and whether it has an idempotency key."""

    method: str
    path: str
    is_keyed: bool


class CallerRecord(NamedTuple):
    """Outcome of one request.

    Attributes:
        body: Request body, unique to the request; also its key, if it has one.
        method: HTTP method.
        path: Path that was requested.
        outcome: ``answered`` for status 200, ``refused`` for a failed connect and
            ``broken`` for any other failure without a complete answer. For another
            status, the outcome that the answer states in its header, if any, else
            ``server error`` for status 500 and ``error`` for the rest.
        latency_s: Seconds from the start of the request to its end.
        at_s: Unix time of its end.
        address: Entry VM that got the request.
        detail: Why a request was ``refused`` or ``broken``; empty for other outcomes.
        is_own: False if a successful answer lacks this request's body, else True.
    """

    body: str
    method: str
    path: str
    outcome: str
    latency_s: float
    at_s: float
    address: str
    detail: str
    is_own: bool


def parse_request_kind(text: str) -> RequestKind:
    """Parse ``METHOD:path`` or ``METHOD:path:key``."""
    method, path, *key_markers = text.split(":")
    return RequestKind(method, path, bool(key_markers))


def _classify(status: int, outcome: str) -> str:
    if status == STATUS_OK:
        return "answered"
    if outcome:
        return outcome
    return "server error" if status == STATUS_ERROR else "error"


class LoadGenerator:
    """Sends requests and records their outcomes.

    Args:
        addresses: Caller addresses of the entry VMs, used in turn.
        kinds: Kinds of requests, used in turn.
        name: Prefix of every request body.
    """

    def __init__(
        self, addresses: list[str], kinds: list[RequestKind], name: str
    ) -> None:
        self._addresses = addresses
        self._kinds = kinds
        self._name = name
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 100
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        self._client = treq.client.HTTPClient(agent)
        self.records: list[CallerRecord] = []

    def send(self, number: int) -> Deferred[None]:
        """Send one request; the result fires once its outcome is recorded."""
        kind = self._kinds[number % len(self._kinds)]
        address = self._addresses[number // len(self._kinds) % len(self._addresses)]
        body = f"{self._name}-{number}"
        request_headers = {headers.IDEMPOTENCY_KEY: body} if kind.is_keyed else {}
        started_s = time.perf_counter()
        pending_answer = self._client.request(
            kind.method,
            f"http://{address}{kind.path}",
            data=body.encode(),
            headers=request_headers,
            timeout=TIMEOUT_S,
        )

        def add_record(outcome: str, detail: str = "", is_own: bool = True) -> None:
            latency_s = time.perf_counter() - started_s
            at_s = clock.now().utc.timestamp()
            record = CallerRecord(
                body,
                kind.method,
                kind.path,
                outcome,
                latency_s,
                at_s,
                address,
                detail,
                is_own,
            )
            self.records.append(record)

        def read_answer(answer: Any) -> Deferred[None]:
            outcome = answer.headers.getRawHeaders(headers.OUTCOME, [""])[0]
            result = _classify(answer.code, outcome)

            def check_body(content: bytes) -> None:
                is_own = result != "answered" or json.loads(content)["body"] == body
                add_record(result, is_own=is_own)

            return treq.content(answer).addCallback(check_body)

        def record_failure(failure: Failure) -> None:
            outcome = "refused" if failure.check(ConnectError) else "broken"
            # Failures of the agent hold their causes in ``reasons``.
            causes = getattr(failure.value, "reasons", [failure])
            add_record(outcome, ", ".join(repr(cause.value) for cause in causes))

        return pending_answer.addCallback(read_answer).addErrback(record_failure)


def _send_times(rate_per_s: float, duration_s: float) -> Iterator[tuple[int, float]]:
    """Yield the number of each request and the seconds from the start to its time."""
    for number in range(int(rate_per_s * duration_s)):
        yield number, number / rate_per_s


def main(
    address: Annotated[list[str], typer.Option(help="Entry VMs, ip:port.")],
    kind: Annotated[list[str], typer.Option(help="METHOD:path or METHOD:path:key.")],
    rate_per_s: Annotated[float, typer.Option("--rate", help="Requests per second.")],
    duration_s: Annotated[float, typer.Option("--duration", help="Seconds.")],
    name: Annotated[str, typer.Option(help="Prefix of every body.")] = "c",
) -> None:
    """Send requests and write their outcomes as JSON."""
    load_generator = LoadGenerator(
        address, [parse_request_kind(text) for text in kind], name
    )
    pending: list[Deferred[None]] = []

    def send(number: int) -> None:
        pending.append(load_generator.send(number))

    def finish() -> None:
        DeferredList(pending).addCallback(lambda _: reactor.stop())

    for number, due_s in _send_times(rate_per_s, duration_s):
        reactor.callLater(due_s, send, number)
    reactor.callLater(duration_s, finish)
    reactor.run()
    typer.echo(json.dumps([record._asdict() for record in load_generator.records]))


if __name__ == "__main__":
    typer.run(main)
