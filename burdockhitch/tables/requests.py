"""Requests in progress, their attempts, and records of ended requests.

The home of an idempotency key is the VM incarnation that keeps the record of it. A
claim is such a record on the platform.
"""

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
    """One request in progress on this VM.

    Attributes:
        request_id: ``vm_id:incarnation:sequence`` of the VM that accepted it from
            the caller, with the suffix ``@home`` if it was forwarded here as the
            home VM of its key.
        connection_id: Caller's connection; 0 if another VM forwarded the request.
        origin_vm_id: VM that forwarded it to this one; empty if a caller sent it.
        message: Method, path, headers and body of the caller's request.
        service: Service whose backend servers answer it.
        route_id: Route that matched.
        is_idempotent: Whether it may run more than once.
        once: Name of the at-most-once policy that admits it; ``none`` for no
            deduplication.
        key: Idempotency key that the caller chose, empty for none.
        priority: Requests with a smaller value are dispatched first.
        state: Life cycle state.
        accepted_at_s: Monotonic time at which this VM accepted it.
        deadline_s: Monotonic time at which this VM ends it if it has no outcome.
        state_changed_at_s: Monotonic time of the last change of state.
        n_tries: Times that this VM forwarded it to an owner or sent it to a backend
            server; with direct sending, without sends that reached no server.
        tried: Owners and backend servers that this VM sent it to, in this order.
        owner_vm_id: Owner or home VM that it was last forwarded to; empty if it is
            not forwarded or is routed again.
        owner_incarnation: Incarnation of the VM that it was last forwarded to.
        attempt_id: Attempt in progress, 0 for none.
        origin_request_id: ``request_id`` at the VM that forwarded it; empty if a
            caller sent it.
        is_forwardable: Whether this VM may forward it to another one.
        may_have_run: Whether an earlier try may have run on a backend server.
        claim_version: Version of its claim's row on the platform, 0 for none.
        caller_request_id: Identifier that the caller gave it, empty for none.
        latency_objective_s: Time from acceptance within which its route aims at an
            answer; 0 for none.
        n_tries_max: Most tries by its route; 0 with sending by owners, where a
            constant limits the tries.
        account: Client account of its caller; empty if the configuration has none.
        key_digest: Digest of the key that its caller sent; empty without a usable one.
        account_headers: Names of headers in ``message`` that hold a key or an
            account; empty while the configuration has accounts, as then there are none.
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
    state_changed_at_s: float
    n_tries: int = 0
    tried: tuple[str, ...] = ()
    owner_vm_id: str = ""
    owner_incarnation: int = 0
    attempt_id: int = 0
    origin_request_id: str = ""
    is_forwardable: bool = True
    may_have_run: bool = False
    claim_version: int = 0
    caller_request_id: str = ""
    latency_objective_s: float = 0.0
    n_tries_max: int = 0
    account: str = ""
    key_digest: str = ""
    account_headers: tuple[str, ...] = ()


def queue_order(row: RequestRow) -> tuple[int, float]:
    """Return the sort key of queued requests: by priority, then oldest first."""
    return row.priority, row.accepted_at_s


class AttemptRow(NamedTuple):
    """A send of a request to a backend server, until its answer or failure.

    Attributes:
        attempt_id: Number, unique within the process.
        request_id: Request that was sent; the ID of a repetition, which no caller
            waits for, matches no ``RequestRow``.
        server_id: Backend server.
        service: Service of the request.
        started_at_s: Monotonic time at which this VM sent it.
        wait_s: Time that the request was expected, when it was sent, to wait for a
            slot of the server.
        is_connecting: Whether its connection is not established yet, so that no byte
            of the request has left this VM.
        process_started_ms: Start of the server's process when it was selected; see
            ``BackendServerRow``.
    """

    attempt_id: int
    request_id: str
    server_id: str
    service: str
    started_at_s: float
    wait_s: float = 0.0
    is_connecting: bool = False
    process_started_ms: int = 0


class UnknownOutcomeRow(NamedTuple):
    """A non-idempotent request from a caller of this VM with an unknown outcome.

    Attributes:
        sequence: Position in the order in which such requests ended.
        request_id: ``request_id`` of the ended request.
        service: Service of the request.
        route_id: Route that matched.
        requester: Who requested the rule of the route.
        detail: Why the outcome is unknown.
    """

    sequence: int
    request_id: str
    service: str
    route_id: str
    requester: str
    detail: str


class RepeatableRequestRow(NamedTuple):
    """The last safe request of a service that was answered with status 200.

    Repetitions send it again to backend servers that have evidence against them.

    Attributes:
        service: Name of the service.
        message: Method, path, headers and body of the caller's request.
    """

    service: str
    message: RequestMessage


class ForwardOutcomeRow(NamedTuple):
    """Outcome of a request that another VM forwarded to this one.

    It is sent again if the other VM repeats its message.

    Attributes:
        request_id: Identifier of the request at the VM that forwarded it.
        answer: Complete answer, if it was answered.
        refusal: Refusal, if it was refused or its outcome is unknown. ``answer`` and
            ``refusal`` are None if it was cancelled.
        expires_at_s: Monotonic time at which this row is removed.
    """

    request_id: str
    answer: Answer | None
    refusal: Refusal | None
    expires_at_s: float


class ExpiryWatermarkRow(NamedTuple):
    """Highest sequence number of a sender whose ``ForwardOutcomeRow`` has expired.

    Another forwarded request up to this number may have run already and is dropped.

    Attributes:
        sender: ``vm_id:incarnation`` of the VM that accepted the requests.
        sequence: Sequence number at the end of such a request's ``request_id``.
    """

    sender: str
    sequence: int


class HomeRecordRow(NamedTuple):
    """Record of an idempotency key whose home is this process.

    Attributes:
        record_id: ``service/account/key``.
        fingerprint: Hash of method, path and body of the request that holds the key.
        request_id: ``request_id`` of that request.
        answer: Complete answer, if it was answered.
        refusal: Refusal that states why its outcome is unknown, if it is.
        is_open: Whether that request is in progress.
        expires_at_s: Monotonic time at which this row is removed.
    """

    record_id: str
    fingerprint: str
    request_id: str
    answer: Answer | None
    refusal: Refusal | None
    is_open: bool
    expires_at_s: float


def make_requests() -> Table[RequestRow]:
    """Return an empty table of requests in progress."""
    return Table(
        RequestRow,
        key="request_id",
        indexes=("state", "connection_id", "owner_vm_id"),
    )


def make_attempts() -> Table[AttemptRow]:
    """Return an empty table of attempts in progress."""
    return Table(AttemptRow, key="attempt_id", indexes=("server_id", "service"))


def make_unknown_outcomes() -> Table[UnknownOutcomeRow]:
    """Return an empty table of requests with an unknown outcome."""
    return Table(UnknownOutcomeRow, key="sequence", sorted_fields=("sequence",))


def make_repeatable_requests() -> Table[RepeatableRequestRow]:
    """Return an empty table of repeatable requests by service."""
    return Table(RepeatableRequestRow, key="service")


def make_forward_outcomes() -> Table[ForwardOutcomeRow]:
    """Return an empty table of outcomes of forwarded requests."""
    return Table(ForwardOutcomeRow, key="request_id", sorted_fields=("expires_at_s",))


def make_expiry_watermarks() -> Table[ExpiryWatermarkRow]:
    """Return an empty table of watermarks by sender."""
    return Table(ExpiryWatermarkRow, key="sender")


def make_home_records() -> Table[HomeRecordRow]:
    """Return an empty table of records by idempotency key."""
    return Table(HomeRecordRow, key="record_id", sorted_fields=("expires_at_s",))
