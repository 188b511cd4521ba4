"""Requests in progress, their attempts, and records of ended ones."""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.messages import Answer, Refusal, RequestMessage
from burdockhitch.tables.table import Table


class RequestState(StrEnum):
    """Life cycle states of a request."""

    ACCEPTED = "accepted"
    CLAIMING = "claiming"
    ADMITTED = "admitted"
    AT_HOME = "at_home"
    FORWARDED = "forwarded"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CALLER_GONE = "caller_gone"


class RequestRow(NamedTuple):
    """One request on this VM.

    Attributes:
        request_id: ``vm_id:incarnation:sequence`` of the VM that accepted it.
        connection_id: Caller's connection; 0 when another VM sent it.
        origin_vm_id: VM that sent it; empty when a caller did.
        message: What the caller asked.
        service: Service that answers.
        route_id: Route that matched.
        is_idempotent: Whether it may run more than once.
        once: Way to run it at most once.
        key: Idempotency key, empty when there is none.
        priority: Smaller goes first.
        state: Life cycle state.
        accepted_at_s: Monotonic time of acceptance here.
        deadline_s: Monotonic time after which nobody waits.
        state_at_s: Monotonic time of the last change of state.
        n_tries: Times it was handed to an owner or a backend server.
        tried: Owners or backend servers that were tried.
        owner_vm_id: VM it was forwarded to.
        owner_incarnation: Incarnation of that VM.
        attempt_id: Attempt in progress, 0 when there is none.
        reply_id: Identity of the request at the VM that sent it.
        is_routable: Whether it may be forwarded from here.
        may_have_run: Whether an earlier try may have run.
        claim_version: Version of its claim in the platform, 0 for none.
        caller_request_id: Identity that the caller gave it, empty for none.
        objective_s: Latency objective of its route; 0 for none.
        n_tries_max: Backend servers it may be sent to; 0 for the default.
    """

    request_id: str
    connection_id: int
    origin_vm_id: str
    message: RequestMessage
    service: str
    route_id: str
    is_idempotent: bool
    once: str
    key: str
    priority: int
    state: RequestState
    accepted_at_s: float
    deadline_s: float
    state_at_s: float
    n_tries: int = 0
    tried: tuple[str, ...] = ()
    owner_vm_id: str = ""
    owner_incarnation: int = 0
    attempt_id: int = 0
    reply_id: str = ""
    is_routable: bool = True
    may_have_run: bool = False
    claim_version: int = 0
    caller_request_id: str = ""
    objective_s: float = 0.0
    n_tries_max: int = 0


def urgency(row: RequestRow) -> tuple[int, float]:
    """Return the order of queued requests: urgent classes first, then oldest first."""
    return row.priority, row.accepted_at_s


class AttemptRow(NamedTuple):
    """One request on its way to a backend server and back.

    Attributes:
        attempt_id: Number, never used twice by a process.
        request_id: Request; that of a repetition belongs to no row.
        server_id: Backend server.
        service: Service.
        started_at_s: Monotonic time of the sending.
        wait_s: Time it was expected to wait for a slot of the server.
    """

    attempt_id: int
    request_id: str
    server_id: str
    service: str
    started_at_s: float
    wait_s: float = 0.0


class UnknownRow(NamedTuple):
    """A non-idempotent request of a caller here whose outcome is unknown.

    Attributes:
        sequence: Order in which they ended.
        request_id: Request.
        service: Service.
        route_id: Route.
        requester: Who asked for the route's rule.
        detail: Why the outcome is unknown.
    """

    sequence: int
    request_id: str
    service: str
    route_id: str
    requester: str
    detail: str


class SpecimenRow(NamedTuple):
    """The last safe request of a service that was answered well.

    Attributes:
        service: Name of the service.
        message: What the caller asked.
    """

    service: str
    message: RequestMessage


class EndedRow(NamedTuple):
    """How a request from another VM ended, for repeated messages.

    Attributes:
        request_id: Request.
        answer: Whole answer, if it was answered.
        refusal: Refusal, if it was refused.
        expires_at_s: Monotonic time after which it is forgotten.
    """

    request_id: str
    answer: Answer | None
    refusal: Refusal | None
    expires_at_s: float


class WatermarkRow(NamedTuple):
    """How far the ended requests of another incarnation are forgotten.

    Attributes:
        sender: ``vm_id:incarnation`` of the VM that accepted the requests.
        sequence: Highest sequence number that was forgotten.
    """

    sender: str
    sequence: int


class HomeRow(NamedTuple):
    """What became of an idempotency key whose home is this VM.

    Attributes:
        record_id: ``service/account/key``.
        fingerprint: Hash of method, path and body.
        request_id: Request that runs or ran.
        answer: Whole answer, if it was answered.
        refusal: Refusal, if the outcome is unknown.
        is_open: Whether the request is in progress.
        expires_at_s: Monotonic time after which it is forgotten.
    """

    record_id: str
    fingerprint: str
    request_id: str
    answer: Answer | None
    refusal: Refusal | None
    is_open: bool
    expires_at_s: float


def make_requests() -> Table[RequestRow]:
    """Return an empty table of requests."""
    return Table(
        RequestRow,
        key="request_id",
        indexes=("state", "connection_id", "owner_vm_id"),
    )


def make_attempts() -> Table[AttemptRow]:
    """Return an empty table of attempts."""
    return Table(AttemptRow, key="attempt_id", indexes=("server_id", "service"))


def make_unknowns() -> Table[UnknownRow]:
    """Return an empty table of requests with unknown outcome."""
    return Table(UnknownRow, key="sequence", orders=("sequence",))


def make_specimens() -> Table[SpecimenRow]:
    """Return an empty table of specimens."""
    return Table(SpecimenRow, key="service")


def make_ended() -> Table[EndedRow]:
    """Return an empty table of ended requests."""
    return Table(EndedRow, key="request_id", orders=("expires_at_s",))


def make_watermarks() -> Table[WatermarkRow]:
    """Return an empty table of watermarks."""
    return Table(WatermarkRow, key="sender")


def make_home_records() -> Table[HomeRow]:
    """Return an empty table of home records."""
    return Table(HomeRow, key="record_id", orders=("expires_at_s",))
