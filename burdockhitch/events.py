"""Events that adapters put into the inbox."""

from enum import StrEnum
from typing import Any, NamedTuple

from burdockhitch.direct_messages import Snapshot
from burdockhitch.messages import Answer, RequestMessage


class AttemptFailure(StrEnum):
    """Why an attempt brought no whole answer."""

    NOT_SENT = "not_sent"
    SHED = "shed"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    MISDIRECTED = "misdirected"


NOT_RUN_FAILURES = frozenset(
    {AttemptFailure.NOT_SENT, AttemptFailure.SHED, AttemptFailure.MISDIRECTED}
)


class CallerRequestArrived(NamedTuple):
    """A caller sent a whole request.

    Attributes:
        connection_id: Caller's connection.
        request: What the caller asked.
        key: Idempotency key, empty when there is none.
        timeout_s: Time the caller waits; 0 when it does not say.
    """

    connection_id: int
    request: RequestMessage
    key: str
    timeout_s: float


class CallerGone(NamedTuple):
    """A caller closed its connection before the answer."""

    connection_id: int


class AddressesAsked(NamedTuple):
    """A caller asked which addresses to use.

    Attributes:
        connection_id: Caller's connection.
        service: Service it wants to use.
        account: Caller account.
        zone: Availability zone of the caller, empty when it does not say.
    """

    connection_id: int
    service: str
    account: str
    zone: str


class BackendAnswered(NamedTuple):
    """A backend server answered whole."""

    attempt_id: int
    answer: Answer


class BackendFailed(NamedTuple):
    """A backend server did not answer whole."""

    attempt_id: int
    failure: AttemptFailure


class ServerProbed(NamedTuple):
    """A probe of a backend server ended."""

    server_id: str
    is_ok: bool


class VmMessageArrived(NamedTuple):
    """Another VM sent a message.

    Attributes:
        sender_vm_id: Sender.
        message: One of ``burdockhitch.messages.vm_messages``.
    """

    sender_vm_id: str
    message: Any


class PlatformReplied(NamedTuple):
    """The platform answered, or gave no answer.

    Attributes:
        operation_id: Operation.
        error: Type of the failure, None for success.
        document: Decoded answer.
    """

    operation_id: str
    error: type[Exception] | None
    document: Any


class StopRequested(NamedTuple):
    """The process was asked to stop."""


class StopDue(NamedTuple):
    """It is time to check whether a leaving VM is idle."""

    step: str


class ServerDisowned(NamedTuple):
    """A VM must not own a backend server for a while."""

    server_id: str
    vm_id: str
    duration_s: float


class ViewChanged(NamedTuple):
    """A VM joined, left, died or came back in the membership view."""

    vm_id: str


class RevisionApplied(NamedTuple):
    """Another revision came in force on this VM."""

    number: int


class ServerSampled(NamedTuple):
    """An attempt ended, for the health of its backend server.

    Attributes:
        server_id: Backend server.
        is_error: Whether the answer was wrong or missing.
        latency_s: Time from the sending to the end.
        is_unreachable: Whether no connection could be opened.
    """

    server_id: str
    is_error: bool
    latency_s: float
    is_unreachable: bool = False


class PeerProbed(NamedTuple):
    """A probe of a backend server for another VM ended.

    Attributes:
        asker_vm_id: VM that asked for it.
        server_id: Backend server.
        is_ok: Whether it answered.
    """

    asker_vm_id: str
    server_id: str
    is_ok: bool


class HostRequestArrived(NamedTuple):
    """A caller sent a whole request that a host and a path route.

    Attributes:
        connection_id: Caller's connection.
        caller_request_id: Identity that the caller gave it.
        request: What the caller asked.
        remaining_s: Time the caller waits; infinite when it does not say.
    """

    connection_id: int
    caller_request_id: str
    request: RequestMessage
    remaining_s: float


class RegistryRead(NamedTuple):
    """The platform's registry, or a peer's copy of it, was read, or was not.

    Attributes:
        operation_id: Read that ended.
        error: Type of the failure, None for success.
        version: Version of what was read.
        is_whole: Whether rows that are missing are gone.
        rows: New and changed rows: ``BackendServerRow``, ``VmRow`` or
            ``ConfigurationDocument``.
        removed: Primary keys of rows that are gone.
    """

    operation_id: str
    error: type[Exception] | None
    version: int = 0
    is_whole: bool = False
    rows: tuple[Any, ...] = ()
    removed: tuple[str, ...] = ()


class SnapshotRead(NamedTuple):
    """A peer's copy of the registry was read, or was not.

    Attributes:
        operation_id: Read that ended.
        error: Type of the failure, None for success.
        snapshot: What the peer holds.
    """

    operation_id: str
    error: type[Exception] | None
    snapshot: Snapshot | None = None


class RowWritten(NamedTuple):
    """A row of this VM was written to the registry, or was not.

    Attributes:
        operation_id: Write that ended.
        error: Type of the failure, None for success.
    """

    operation_id: str
    error: type[Exception] | None


class NewerVersionHeard(NamedTuple):
    """Another VM holds newer parts of the registry than this one."""

    vm_id: str
