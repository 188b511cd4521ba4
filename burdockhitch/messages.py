"""Messages between VMs, and the types of their fields.

The owner of a backend server is the VM that sends it requests. The home of an
idempotency key is the VM that keeps the record of the key. The witness of a VM is
another VM, which reports the requests that are lost if the first one dies.
"""

from typing import Any, NamedTuple

from burdockhitch.registry import Registry

vm_messages: Registry[Any] = Registry("message between VMs")


class RequestMessage(NamedTuple):
    """An HTTP request from a caller.

    Attributes:
        method: HTTP method.
        path: Path with its query.
        headers: Names in lower case and values, without hop-by-hop headers.
        body: Complete body.
        account: Client account of the caller.
        host: Value of the ``Host`` header; empty where routes do not use it.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    account: str
    host: str = ""


class Answer(NamedTuple):
    """The complete HTTP answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Names in lower case and values, without hop-by-hop headers.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Refusal(NamedTuple):
    """An error for the caller instead of an answer.

    Attributes:
        error: Name of the error type, without ``Error``.
        detail: Explanation of this occurrence for a person.
        retry_after_s: Time to wait before a retry; 0 if none is suggested.
    """

    error: str
    detail: str
    retry_after_s: float


class FreeSlotsReport(NamedTuple):
    """Free slots of one service on the backend servers that the sender owns.

    Attributes:
        service: Name of the service.
        n_free: Free slots, less the requests that wait for one.
    """

    service: str
    n_free: int


class VmDigest(NamedTuple):
    """One VM in the sender's membership view.

    Attributes:
        vm_id: Name of the VM.
        incarnation: Start time of its process in microseconds since 1970.
        n_refutations: Counter that only that VM increments, to override what other VMs
            report about it, such as a suspicion.
        zone: Availability zone.
        region: Region.
        caller_address: ``ip:port`` for callers.
        message_address: ``ip:port`` for messages between VMs.
        status: Value of ``VmStatus``.
    """

    vm_id: str
    incarnation: int
    n_refutations: int
    zone: str
    region: str
    caller_address: str
    message_address: str
    status: str


class ServiceReport(NamedTuple):
    """Latency, health and request rate of one service on the sender.

    Attributes:
        service: Name of the service.
        median_s: Running estimate of the median latency of the answers; 0 before
            the first.
        n_owned: Backend servers of the service that the sender owns.
        n_suspect: How many of them are suspect or ejected.
        requests_per_s: Smoothed rate at which callers send requests to the sender.
    """

    service: str
    median_s: float
    n_owned: int
    n_suspect: int
    requests_per_s: float


@vm_messages("forward_request")
class ForwardRequest(NamedTuple):
    """Forwards a request to the owner of a backend server or to the key's home VM.

    Attributes:
        request_id: Identifier of the request at the sender.
        request: HTTP request of the caller.
        service: Service that the request is for.
        route_id: Route that matched.
        remaining_s: Time left until the deadline of the request.
        is_for_home: Whether the receiver is the home VM of the key.
        key: Idempotency key, empty for none.
        target_incarnation: Incarnation of the receiving VM that the request is for;
            any other incarnation drops it.
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
    """Outcome of a forwarded request: an answer, a refusal, or none if cancelled.

    Attributes:
        request_id: Identifier of the request at the receiver.
        answer: Complete answer, if it was answered.
        refusal: Refusal, if it was refused or its outcome is unknown.
        load: Free slots of the service on the sender.
    """

    request_id: str
    answer: Answer | None
    refusal: Refusal | None
    load: FreeSlotsReport


@vm_messages("cancel_request")
class CancelRequest(NamedTuple):
    """Cancels a forwarded request whose answer the sender no longer waits for.

    Attributes:
        request_id: Identifier of the request at the sender.
    """

    request_id: str


@vm_messages("ping")
class Ping(NamedTuple):
    """A membership probe.

    Attributes:
        sequence: Number that the ack must repeat.
        revision: Rules revision in force on the sender, 0 for none.
        digests: The sender, and recent changes of its membership view.
        service_reports: Reports on some services of the sender; successive pings cover
            different ones.
    """

    sequence: int
    revision: int
    digests: tuple[VmDigest, ...]
    service_reports: tuple[ServiceReport, ...]


@vm_messages("ack")
class Ack(NamedTuple):
    """The acknowledgement of a membership probe, direct or relayed.

    Attributes:
        sequence: Number of the probe.
        target_vm_id: VM that was probed.
        revision: Rules revision in force on the probed VM, 0 for none.
        digests: Recent changes of the sender's membership view.
        loads: Free slots of each service on the probed VM.
    """

    sequence: int
    target_vm_id: str
    revision: int
    digests: tuple[VmDigest, ...]
    loads: tuple[FreeSlotsReport, ...]


@vm_messages("ping_request")
class PingRequest(NamedTuple):
    """Asks the receiver to probe a VM that did not answer the sender.

    Attributes:
        sequence: Number that the relayed ack must repeat.
        target_vm_id: VM to probe.
    """

    sequence: int
    target_vm_id: str


@vm_messages("join")
class Join(NamedTuple):
    """Asks the receiver for its whole membership view, when the sender starts.

    Attributes:
        digest: The sender.
    """

    digest: VmDigest


@vm_messages("view")
class MembershipUpdate(NamedTuple):
    """Changes of the sender's membership view, or all of it to answer a join.

    Attributes:
        revision: Rules revision in force on the sender, 0 for none.
        digests: VMs that changed, or all VMs.
    """

    revision: int
    digests: tuple[VmDigest, ...]


@vm_messages("revision_pull")
class RevisionPull(NamedTuple):
    """Asks for the rules revision in force on the receiver, if it is newer.

    Attributes:
        known_revision: Number of the revision in force on the sender, 0 for none.
    """

    known_revision: int


@vm_messages("revision_push")
class RevisionPush(NamedTuple):
    """A rules revision with its complete text.

    Attributes:
        number: Number of the revision.
        body_hash: Hash of the rules text.
        text: Rules text, compressed with zlib.
    """

    number: int
    body_hash: str
    text: bytes


@vm_messages("revision_delta")
class RevisionDelta(NamedTuple):
    """A rules revision as a change of one range of the previous text.

    Attributes:
        number: Number of the new revision.
        parent_hash: Hash of the previous text.
        body_hash: Hash of the new text.
        start: Offset of the first replaced byte in the previous text.
        end: Offset after the last replaced byte in the previous text.
        replacement: Bytes that replace the range, compressed with zlib.
    """

    number: int
    parent_hash: str
    body_hash: str
    start: int
    end: int
    replacement: bytes


class OpenRequest(NamedTuple):
    """A non-idempotent request in progress on the VM that accepted it.

    Attributes:
        request_id: Request.
        service: Service.
        route_id: Route.
        requester: Who requested the route's rule.
    """

    request_id: str
    service: str
    route_id: str
    requester: str


@vm_messages("announce")
class OpenRequestsReport(NamedTuple):
    """Reports non-idempotent requests of the sender to its witness.

    Attributes:
        opened: Requests in progress; each is reported before it is dispatched.
        closed: Identifiers of reported requests that have ended.
        is_complete: Whether ``opened`` holds all requests in progress and replaces
            what the sender reported before.
    """

    opened: tuple[OpenRequest, ...]
    closed: tuple[str, ...]
    is_complete: bool


@vm_messages("server_handover")
class ServerHandover(NamedTuple):
    """Tells the new owner of a backend server its health on the previous owner.

    Attributes:
        server_id: Backend server.
        is_suspect: Whether the server was suspect or ejected.
        n_ejections: Ejections in a row, each less than
            ``REPEATED_EJECTION_INTERVAL_MAX_S`` of ``systems.ejection`` after the one
            before.
    """

    server_id: str
    is_suspect: bool
    n_ejections: int


@vm_messages("reach_query")
class ReachQuery(NamedTuple):
    """Asks the receiver to probe a backend server that the sender can't reach."""

    server_id: str


@vm_messages("reach_answer")
class ReachAnswer(NamedTuple):
    """Tells whether the sender's probe of a backend server succeeded."""

    server_id: str
    is_ok: bool


@vm_messages("disown")
class Disown(NamedTuple):
    """Gives up a backend server that others can reach and the sender can't.

    Attributes:
        server_id: Backend server.
        duration_s: Time for which the sender must not own the backend server.
    """

    server_id: str
    duration_s: float
