"""Events: what adapters and systems post for the systems to process.

The owner of a backend server is the VM that sends it requests and probes its health,
unless every VM sends to every server.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from burdockhitch.commands import CheckServer
from burdockhitch.direct_messages import Snapshot
from burdockhitch.messages import Answer, RequestMessage


class AttemptFailure(StrEnum):
    """Why an attempt got no complete answer from the backend server.

    Attributes:
        NOT_SENT: No connection could be opened, or the request could not be encoded.
        SHED: The backend server rejected the request without executing it.
        TIMED_OUT: No complete answer arrived in time.
        BROKEN: The connection failed, or the answer was invalid or too large.
        MISDIRECTED: The request reached another backend server, which rejected it.
    """

    NOT_SENT = "not_sent"
    SHED = "shed"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    MISDIRECTED = "misdirected"


# Failures that prove that the backend server did not execute the request.
NOT_RUN_FAILURES = frozenset(
    {AttemptFailure.NOT_SENT, AttemptFailure.SHED, AttemptFailure.MISDIRECTED}
)


class CallerRequestArrived(NamedTuple):
    """A complete request arrived from a caller.

    Attributes:
        connection_id: Caller's connection.
        request: The request.
        key: Idempotency key; empty if the request has none.
        timeout_s: How long the caller waits for an answer; 0 if not stated.
    """

    connection_id: int
    request: RequestMessage
    key: str
    timeout_s: float


class CallerDisconnected(NamedTuple):
    """A caller closed its connection before the answer was sent."""

    connection_id: int


class AddressesRequested(NamedTuple):
    """A caller requested the VM addresses to send its requests to.

    Attributes:
        connection_id: Caller's connection.
        service: Service that the caller wants to use.
        account: Client account of the caller.
        zone: Availability zone of the caller; empty if not stated.
    """

    connection_id: int
    service: str
    account: str
    zone: str


class BackendAnswered(NamedTuple):
    """An attempt ended with a complete answer from the backend server."""

    attempt_id: int
    answer: Answer


class BackendFailed(NamedTuple):
    """An attempt ended without a complete answer from the backend server."""

    attempt_id: int
    failure: AttemptFailure


class ServerChecked(NamedTuple):
    """Whether the process of a backend server ended under a request.

    Attributes:
        check: The command of the check.
        has_ended: Whether nothing listens at its address any more.
    """

    check: CheckServer
    has_ended: bool


class ServerStated(NamedTuple):
    """What a backend server stated about itself in an answer.

    Attributes:
        attempt_id: Attempt that was answered.
        server_id: Backend server.
        limit_per_s: Requests a second that it accepts from all VMs together; None if
            the answer states no limit.
        has_run: Whether the answer is the result of running the request.
        is_leaving: Whether the server is about to end.
        rest_s: Time for which it wants no more requests of this VM; 0 for none.
    """

    attempt_id: int
    server_id: str
    limit_per_s: float | None
    has_run: bool
    is_leaving: bool = False
    rest_s: float = 0.0


class ServerProbed(NamedTuple):
    """A health probe that this VM sent to a backend server ended."""

    server_id: str
    is_ok: bool


class VmMessageArrived(NamedTuple):
    """A message from another VM arrived.

    Attributes:
        sender_vm_id: VM that sent the message.
        message: Instance of a type registered in
            ``burdockhitch.messages.vm_messages``.
    """

    sender_vm_id: str
    message: Any


class PlatformReplied(NamedTuple):
    """A call to the platform succeeded or failed.

    Attributes:
        operation_id: Operation that the call belongs to.
        error: Type of the failure; None on success.
        document: Decoded answer body; None on failure.
    """

    operation_id: str
    error: type[Exception] | None
    document: Any


class UnwrittenAnswersCounted(NamedTuple):
    """How many callers' connections have an answer that isn't written yet."""

    n_connections: int


class StopRequested(NamedTuple):
    """A signal, or the platform's VM list, requests that this VM leave the fleet."""


class IdleCheckDue(NamedTuple):
    """The timer for the next idle check of this leaving VM fired.

    Attributes:
        step: Shutdown step to perform if no request is in progress: close the
            listeners, or end the process.
    """

    step: str


class ServerDisowned(NamedTuple):
    """A VM can't reach a backend server and must not own it for a limited time.

    Attributes:
        server_id: Backend server.
        vm_id: VM that must not own it.
        duration_s: Time for which the VM must not own it.
    """

    server_id: str
    vm_id: str
    duration_s: float


class MembershipChanged(NamedTuple):
    """A VM joined, left, died or came back in the membership view of this VM."""

    vm_id: str


class RevisionApplied(NamedTuple):
    """This VM put another revision of the rules in force."""

    number: int


class AttemptMeasured(NamedTuple):
    """An attempt ended or timed out: one health sample of its backend server.

    Attributes:
        server_id: Backend server.
        is_error: Whether the answer was missing, incomplete or an error.
        latency_s: Time from the start of the attempt to its end.
        is_unreachable: Whether the attempt failed before the request was sent.
    """

    server_id: str
    is_error: bool
    latency_s: float
    is_unreachable: bool = False


class ServerProbedForPeer(NamedTuple):
    """A health probe that another VM requested from this VM ended.

    Attributes:
        requesting_vm_id: VM that requested the probe.
        server_id: Backend server that was probed.
        is_ok: Whether the probe succeeded.
    """

    requesting_vm_id: str
    server_id: str
    is_ok: bool


class HostRequestArrived(NamedTuple):
    """A complete request arrived that is routed by its host and path.

    Attributes:
        connection_id: Caller's connection.
        caller_request_id: Request id that the caller set.
        request: The request.
        remaining_s: How long the caller still waits; infinite if not stated.
        key_digest: Digest of the key of a client account that it carries; empty
            without a usable one.
        account_headers: Names of its headers that hold a key or an account, which
            are not passed on if the configuration has accounts.
    """

    connection_id: int
    caller_request_id: str
    request: RequestMessage
    remaining_s: float
    key_digest: str = ""
    account_headers: tuple[str, ...] = ()


class ConfigurationApplied(NamedTuple):
    """A configuration came into force on this VM."""

    version: int


class RegistryRead(NamedTuple):
    """A read of the platform's registry succeeded or failed.

    Attributes:
        operation_id: Operation that the read belongs to.
        error: Type of the failure; None on success.
        version: Registry version that was read.
        is_complete: Whether ``rows`` holds all rows, so that a row missing from it
            no longer exists; False if it holds changes only.
        rows: New and changed rows: ``BackendServerRow``, ``VmRow`` or
            ``ConfigurationDocument``.
        removed: Primary keys of rows that no longer exist or can't be decoded.
    """

    operation_id: str
    error: type[Exception] | None
    version: int = 0
    is_complete: bool = False
    rows: tuple[Any, ...] = ()
    removed: tuple[str, ...] = ()


class SnapshotRead(NamedTuple):
    """A read of another VM's copy of the registry succeeded or failed.

    Attributes:
        operation_id: Operation that the read belongs to.
        error: Type of the failure; None on success.
        snapshot: The other VM's copy; None if the read failed.
        n_bytes: Size of the copy as it was sent.
    """

    operation_id: str
    error: type[Exception] | None
    snapshot: Snapshot | None = None
    n_bytes: int = 0


class RowWritten(NamedTuple):
    """A write to the platform's registry succeeded or failed.

    Attributes:
        operation_id: Operation that the write belongs to.
        error: Type of the failure; None on success.
    """

    operation_id: str
    error: type[Exception] | None


class NewerVersionReported(NamedTuple):
    """Another VM reported that it holds a newer registry version than this VM."""

    vm_id: str
