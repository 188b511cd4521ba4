"""Typed messages between VMs and the parts they are made of."""

from typing import Any, NamedTuple

from burdockhitch.registry import Registry

vm_messages: Registry[Any] = Registry("message between VMs")


class RequestMessage(NamedTuple):
    """What a caller asked.

    Attributes:
        method: HTTP method.
        path: Path with its query.
        headers: Names in lower case and values, without hop-by-hop ones.
        body: Whole body.
        account: Caller account.
        host: Host that the caller asked for, empty when it does not matter.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    account: str
    host: str = ""


class Answer(NamedTuple):
    """The whole answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Names in lower case and values, without hop-by-hop ones.
        body: Whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Refusal(NamedTuple):
    """A refusal on its way to the caller.

    Attributes:
        error: Registered name of the error type.
        detail: What a person should know about this occurrence.
        retry_after_s: Time after which a retry makes sense; 0 for none.
    """

    error: str
    detail: str
    retry_after_s: float


class LoadReport(NamedTuple):
    """Free slots of one service on the sender.

    Attributes:
        service: Name of the service.
        n_free: Free slots.
    """

    service: str
    n_free: int


class VmDigest(NamedTuple):
    """What the sender holds about one VM.

    Attributes:
        vm_id: Name of the VM.
        incarnation: Start time of its process in microseconds since 1970.
        refutation: Counter that the VM raises to refute a suspicion.
        zone: Availability zone.
        region: Region.
        caller_address: ``ip:port`` for callers.
        message_address: ``ip:port`` for messages between VMs.
        status: Value of ``VmStatus``.
    """

    vm_id: str
    incarnation: int
    refutation: int
    zone: str
    region: str
    caller_address: str
    message_address: str
    status: str


class LatencyReport(NamedTuple):
    """Latency of one service on the sender.

    Attributes:
        service: Name of the service.
        median_s: Running median of the answers' latency.
        n_owned: Backend servers of the service that the sender owns.
        n_suspect: How many of them are suspect or ejected.
        requests_per_s: Requests that callers sent to the sender.
    """

    service: str
    median_s: float
    n_owned: int
    n_suspect: int
    requests_per_s: float


@vm_messages("forward_request")
class ForwardRequest(NamedTuple):
    """A request for the owner of a backend server, or for its home VM.

    Attributes:
        request_id: Identity at the VM that accepted it.
        request: What the caller asked.
        service: Service that answers.
        route_id: Route that matched.
        remaining_s: Time left to the deadline.
        is_for_home: Whether the receiver is the key's home.
        key: Idempotency key, empty when there is none.
        target_incarnation: Incarnation that may take it.
    """

    request_id: str
    request: RequestMessage
    service: str
    route_id: str
    remaining_s: float
    is_for_home: bool
    key: str
    target_incarnation: int


@vm_messages("forward_answer")
class ForwardAnswer(NamedTuple):
    """How a forwarded request ended; exactly one of the two is set.

    Attributes:
        request_id: Identity at the VM that accepted it.
        answer: Whole answer.
        refusal: Refusal.
        load: Free slots of the service on the sender.
    """

    request_id: str
    answer: Answer | None
    refusal: Refusal | None
    load: LoadReport


@vm_messages("cancel_request")
class CancelRequest(NamedTuple):
    """The caller of a forwarded request is gone.

    Attributes:
        request_id: Identity at the VM that accepted it.
    """

    request_id: str


@vm_messages("ping")
class Ping(NamedTuple):
    """A membership probe.

    Attributes:
        sequence: Number that the ack repeats.
        revision: Revision in force on the sender, 0 for none.
        digests: Changes of the membership view.
        latencies: Latencies of the services on the sender.
    """

    sequence: int
    revision: int
    digests: tuple[VmDigest, ...]
    latencies: tuple[LatencyReport, ...]


@vm_messages("ack")
class Ack(NamedTuple):
    """The answer to a membership probe.

    Attributes:
        sequence: Number of the probe.
        target_vm_id: VM that the probe was for.
        revision: Revision in force on the sender, 0 for none.
        digests: Changes of the membership view.
        loads: Free slots of the services on the sender.
    """

    sequence: int
    target_vm_id: str
    revision: int
    digests: tuple[VmDigest, ...]
    loads: tuple[LoadReport, ...]


@vm_messages("ping_request")
class PingRequest(NamedTuple):
    """Asks the receiver to probe a VM that the sender can't reach.

    Attributes:
        sequence: Number that the ack repeats.
        target_vm_id: VM to probe.
    """

    sequence: int
    target_vm_id: str


@vm_messages("join")
class Join(NamedTuple):
    """A starting VM asks for the whole membership view.

    Attributes:
        digest: The starting VM.
    """

    digest: VmDigest


@vm_messages("view")
class View(NamedTuple):
    """Changes of the membership view, or all of it.

    Attributes:
        revision: Revision in force on the sender, 0 for none.
        digests: VMs.
    """

    revision: int
    digests: tuple[VmDigest, ...]


@vm_messages("revision_pull")
class RevisionPull(NamedTuple):
    """Asks for the revision in force on the receiver.

    Attributes:
        above: Number that the sender has, 0 for none.
    """

    above: int


@vm_messages("revision_push")
class RevisionPush(NamedTuple):
    """A whole revision.

    Attributes:
        number: Number of the revision.
        body_hash: Hash of the rules text.
        text: Rules text, compressed.
    """

    number: int
    body_hash: str
    text: bytes


@vm_messages("revision_delta")
class RevisionDelta(NamedTuple):
    """A revision as one replaced part of the one before.

    Attributes:
        number: Number of the revision.
        parent_hash: Hash of the text that it changes.
        body_hash: Hash of the text that it makes.
        start: First byte of the replaced part.
        end: Byte after the replaced part.
        middle: Text in its place, compressed.
    """

    number: int
    parent_hash: str
    body_hash: str
    start: int
    end: int
    middle: bytes


class OpenRequest(NamedTuple):
    """A non-idempotent request that its VM has open.

    Attributes:
        request_id: Request.
        service: Service.
        route_id: Route.
        requester: Who asked for the route's rule.
    """

    request_id: str
    service: str
    route_id: str
    requester: str


@vm_messages("announce")
class Announce(NamedTuple):
    """Open and ended non-idempotent requests, for the witness.

    Attributes:
        opened: Requests about to be dispatched.
        closed: Identities of requests that ended.
        is_whole: Whether ``opened`` is all that the sender has open.
    """

    opened: tuple[OpenRequest, ...]
    closed: tuple[str, ...]
    is_whole: bool


@vm_messages("server_handover")
class ServerHandover(NamedTuple):
    """What the previous owner of a backend server knows of it.

    Attributes:
        server_id: Backend server.
        is_suspect: Whether it was suspect or ejected.
        n_ejections: Ejections within the memory for flapping.
    """

    server_id: str
    is_suspect: bool
    n_ejections: int


@vm_messages("reach_query")
class ReachQuery(NamedTuple):
    """Asks the receiver whether it can reach a backend server."""

    server_id: str


@vm_messages("reach_answer")
class ReachAnswer(NamedTuple):
    """Whether the sender can reach a backend server."""

    server_id: str
    is_ok: bool


@vm_messages("disown")
class Disown(NamedTuple):
    """The sender can't reach a backend server that others can reach.

    Attributes:
        server_id: Backend server.
        duration_s: Time for which the sender must not own it.
    """

    server_id: str
    duration_s: float
