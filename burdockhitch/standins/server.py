"""Stand-in for a backend server that can be slow, fail, shed load or abort answers.

It serves both front ends: its answers carry the headers of the platform front
end, and a request that names another server in ``target-instance`` gets 421.

Tests change its behaviour with ``PUT /standin/behaviour`` and read the requests that
it ran with ``GET /standin/records``.
"""

import random
from typing import Any, NamedTuple, TypedDict

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred

from burdockhitch.adapters import headers
from burdockhitch.clock import Clock
from burdockhitch.platform import names
from burdockhitch.problems import OUTCOME_NOT_RUN
from burdockhitch.standins.endless import send_endless_answer

STATUS_ERROR = 500
STATUS_UNAVAILABLE = 503
STATUS_MISDIRECTED = 421


class Behaviour(TypedDict):
    """Speed and faults of the server.

    Attributes:
        service_time_s: Seconds that a request takes.
        slowdown: Factor on the service time; above 1 for a straggler.
        error_ratio: Share of requests that run and are answered with 500.
        abort_ratio: Share of requests that run and whose connection is aborted
            in the middle of the answer.
        is_probe_ok: Whether health probes succeed.
        is_shedding: Whether every request gets 503, as from a draining server.
        cold_start_s: Seconds after the start during which requests take longer.
        cold_slowdown: Further factor on the service time during the cold start.
        endless: Name in ``endless_answers`` of the bytes without end with which each
            request is answered; empty for normal answers.
    """

    service_time_s: float
    slowdown: float
    error_ratio: float
    abort_ratio: float
    is_probe_ok: bool
    is_shedding: bool
    cold_start_s: float
    cold_slowdown: float
    endless: str


class RunRecord(NamedTuple):
    """One request that the server ran.

    Attributes:
        request_id: Value of the ``request-id`` header, empty if absent.
        method: HTTP method.
        path: Path and query.
        key: Value of the ``idempotency-key`` header, empty if absent.
        body: Request body as text.
        accounts: Values of the header that names the caller's client account.
        credentials: Values of the header that holds a caller's key.
    """

    request_id: str
    method: str
    path: str
    key: str
    body: str
    accounts: tuple[str, ...]
    credentials: tuple[str, ...]


class ServerStandin:
    """One backend server.

    Args:
        reactor: Twisted reactor, whose timers stand for the service time.
        clock: Source of time.
        n_slots: Requests that it runs at once; further ones are shed with 503.
        name: Name of the server, its address in a fleet; sent with its answers.
        seed: Seed of the random faults.
    """

    app = Klein()

    def __init__(
        self, reactor: Any, clock: Clock, n_slots: int, name: str, seed: int
    ) -> None:
        self._reactor = reactor
        self._n_slots = n_slots
        self._name = name
        self._rng = random.Random(seed)
        self._n_running = 0
        self._clock = clock
        self._started_s = clock.now().monotonic_s
        self.n_running_max = 0
        self.n_shed = 0
        self.n_endless = 0
        self.n_endless_open = 0
        self.records: list[RunRecord] = []
        self.behaviour = Behaviour(
            service_time_s=0.005,
            slowdown=1.0,
            error_ratio=0.0,
            abort_ratio=0.0,
            is_probe_ok=True,
            is_shedding=False,
            cold_start_s=0.0,
            cold_slowdown=10.0,
            endless="",
        )

    @app.route("/standin/behaviour", methods=["PUT"])
    def set_behaviour(self, request: Any) -> bytes:
        """Change the parts of the behaviour named in the request."""
        self.behaviour.update(msgspec.json.decode(request.content.read()))
        return msgspec.json.encode(self.behaviour)

    @app.route("/standin/records", methods=["GET"])
    def read_records(self, request: Any) -> bytes:
        """Return the requests that ran, and how many were at once, shed and endless."""
        document = {
            "records": [record._asdict() for record in self.records],
            "n_running_max": self.n_running_max,
            "n_shed": self.n_shed,
            "n_endless": self.n_endless,
            "n_endless_open": self.n_endless_open,
        }
        return msgspec.json.encode(document)

    @app.route("/health", methods=["GET"])
    def probe(self, request: Any) -> bytes:
        """Answer a health probe."""
        if not self.behaviour["is_probe_ok"]:
            request.setResponseCode(STATUS_UNAVAILABLE)
        return b"{}"

    @app.route("/", branch=True)
    def run(self, request: Any) -> Any:
        """Run a request, or refuse it when no slot is free."""
        if self.behaviour["is_shedding"] or self._n_running >= self._n_slots:
            self.n_shed += 1
            request.setResponseCode(STATUS_UNAVAILABLE)
            request.setHeader(headers.OUTCOME, OUTCOME_NOT_RUN)
            request.setHeader(names.NOT_EXECUTED, "1")
            return b""
        target_name = request.getHeader(names.TARGET_INSTANCE)
        if target_name and target_name != self._name:
            request.setResponseCode(STATUS_MISDIRECTED)
            return b""
        if self.behaviour["endless"]:
            return self._answer_without_end(request)
        request.setHeader(names.REQUEST_ID, request.getHeader(names.REQUEST_ID) or "")
        self._n_running += 1
        self.n_running_max = max(self.n_running_max, self._n_running)
        body = request.content.read()
        self._record_request(request, body)
        delay_s = self._current_service_time_s()
        answer: Deferred[bytes] = Deferred()
        timer = self._reactor.callLater(delay_s, self._answer, request, body, answer)
        request.notifyFinish().addBoth(self._end_request, timer)
        return answer

    def _answer_without_end(self, request: Any) -> Deferred[bytes]:
        """Send bytes until the other side closes the connection."""

        def end_answer(_result: Any) -> None:
            self.n_endless_open -= 1

        self._record_request(request, request.content.read())
        self.n_endless += 1
        self.n_endless_open += 1
        request.notifyFinish().addBoth(end_answer)
        send_endless_answer(self._reactor, request, self.behaviour["endless"])
        return Deferred()

    def _current_service_time_s(self) -> float:
        behaviour = self.behaviour
        time_s = behaviour["service_time_s"] * behaviour["slowdown"]
        age_s = self._clock.now().monotonic_s - self._started_s
        is_cold = age_s < behaviour["cold_start_s"]
        return time_s * behaviour["cold_slowdown"] if is_cold else time_s

    def _record_request(self, request: Any, body: bytes) -> None:
        def header(name: str) -> str:
            return str(request.getHeader(name) or "")

        def values(name: str) -> tuple[str, ...]:
            return tuple(request.requestHeaders.getRawHeaders(name, ()))

        self.records.append(
            RunRecord(
                header(headers.REQUEST_ID),
                request.method.decode(),
                request.uri.decode(),
                header(headers.IDEMPOTENCY_KEY),
                body.decode("utf-8", "replace"),
                values(names.ACCOUNT),
                values(names.AUTHORIZATION),
            )
        )

    def _end_request(self, _result: Any, timer: Any) -> None:
        self._n_running -= 1
        if timer.active():
            timer.cancel()

    def _answer(self, request: Any, body: bytes, answer: Deferred[bytes]) -> None:
        random_value = self._rng.random()
        if random_value < self.behaviour["abort_ratio"]:
            request.setHeader("content-length", "1000000")
            request.write(b"partial")
            request.transport.abortConnection()
            return
        if random_value < self.behaviour["abort_ratio"] + self.behaviour["error_ratio"]:
            request.setResponseCode(STATUS_ERROR)
        document = {
            "server": self._name,
            "path": request.uri.decode(),
            "body": body.decode("utf-8", "replace"),
        }
        request.setHeader("content-type", "application/json")
        request.setHeader(names.BACKEND_SIGNATURE, self._name)
        answer.callback(msgspec.json.encode(document))
