"""Commands that systems put into the outbox and adapters execute.

The platform's registry holds the configuration, the backend servers and the VMs. The
owner of a backend server is the VM that sends it requests, unless every VM does.
"""

import math
from typing import Any, NamedTuple

from burdockhitch.messages import Answer, Refusal, RequestMessage
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.vms import VmRow


class AnswerCaller(NamedTuple):
    """Send a complete answer to a caller."""

    connection_id: int
    request_id: str
    answer: Answer


class RefuseCaller(NamedTuple):
    """Send a refusal to a caller as a problem document."""

    connection_id: int
    request_id: str
    refusal: Refusal


class AddressOffer(NamedTuple):
    """The caller address of one VM, as listed in an address answer.

    Attributes:
        address: ``ip:port`` that the VM accepts callers on.
        zone: Availability zone of the VM.
        home: Token at the start of an idempotency key that makes the VM the home of
            the key, which keeps its record; empty if the front end has no such keys.
    """

    address: str
    zone: str
    home: str


class OfferAddresses(NamedTuple):
    """Send a caller the VM addresses to use.

    Attributes:
        connection_id: Caller's connection.
        service: Service that the caller wants to use.
        offers: Addresses in the order in which the caller should try them.
        keep_s: How long the caller may cache the answer.
        revision: Revision of the configuration in force on this VM.
    """

    connection_id: int
    service: str
    offers: tuple[AddressOffer, ...]
    keep_s: float
    revision: int


class SendAttempt(NamedTuple):
    """Send a request to a backend server.

    Attributes:
        attempt_id: Id of the attempt, repeated in the event that ends it.
        request_id: Id of the request.
        address: ``ip:port`` of the backend server.
        request: The caller's request.
        timeout_s: Time after which the attempt fails if no answer has arrived.
        server_id: Backend server that must execute the request; empty for any.
        is_idempotent: Whether the request may be executed more than once.
        connect_timeout_s: Limit for opening a connection, besides that of the
            settings.
    """

    attempt_id: int
    request_id: str
    address: str
    request: RequestMessage
    timeout_s: float
    server_id: str = ""
    is_idempotent: bool = True
    connect_timeout_s: float = math.inf


class CheckServer(NamedTuple):
    """Find out whether the process of a backend server has ended.

    Attributes:
        request_id: Request whose attempt ended with a broken connection.
        caller_request_id: Identifier that the caller gave it.
        request: The caller's request.
        server_id: Backend server.
        address: ``ip:port`` of the backend server.
        process_started_ms: Start of the process that the request was sent to.
        timeout_s: Time after which the check ends without a result.
    """

    request_id: str
    caller_request_id: str
    request: RequestMessage
    server_id: str
    address: str
    process_started_ms: int
    timeout_s: float


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt's answer and close its connection."""

    attempt_id: int


class ProbeServer(NamedTuple):
    """Probe the health endpoint of a backend server that this VM owns."""

    server_id: str
    address: str
    timeout_s: float


class ProbeForPeer(NamedTuple):
    """Probe the health endpoint of a backend server on behalf of another VM."""

    requesting_vm_id: str
    server_id: str
    address: str
    timeout_s: float


class SendMessage(NamedTuple):
    """Send a message to another VM.

    Attributes:
        vm_id: Receiving VM.
        message_address: ``ip:port`` of the receiving VM.
        message: Instance of a type registered in
            ``burdockhitch.messages.vm_messages``.
    """

    vm_id: str
    message_address: str
    message: Any


class CloseLink(NamedTuple):
    """Close the message socket to a VM that was removed from the membership view.

    Attributes:
        message_address: ``ip:port`` of the VM.
    """

    message_address: str


class RowCondition(NamedTuple):
    """A required row version in a transaction; 0 means that no such row exists."""

    table: str
    key: str
    version: int


class RowWrite(NamedTuple):
    """A row that a transaction writes."""

    table: str
    key: str
    value: dict[str, Any]


class RunTransaction(NamedTuple):
    """Write rows to the platform's table service if all conditions are met."""

    operation_id: str
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


class ReadRow(NamedTuple):
    """Read a row from the platform's table service."""

    operation_id: str
    table: str
    key: str


class ReadObject(NamedTuple):
    """Read an object from the platform's object store."""

    operation_id: str
    name: str


class WriteObject(NamedTuple):
    """Write an object to the platform's object store."""

    operation_id: str
    name: str
    body: bytes


class ListVms(NamedTuple):
    """Read the platform's list of running and leaving VMs."""

    operation_id: str


class LogEvent(NamedTuple):
    """Write a structured line to the log.

    Attributes:
        level: Name of a loguru level.
        event: Name of the event.
        fields: Values by field name.
    """

    level: str
    event: str
    fields: dict[str, Any]


class CloseListeners(NamedTuple):
    """Stop accepting connections; requests in progress are still served."""


class CountUnwrittenAnswers(NamedTuple):
    """Count the callers' connections with an answer that isn't written yet."""


class StopProcess(NamedTuple):
    """End the process once the last answers are written."""


class ReadRegistry(NamedTuple):
    """Read a part of the platform's registry.

    Attributes:
        operation_id: Id of the read, repeated in the event that ends it.
        part: Part of the registry to read.
        after_version: Version after which changes are read; the platform waits if
            there is none yet. 0 reads all rows.
        wait_s: Maximum time that the platform waits for a change.
    """

    operation_id: str
    part: RegistryPart
    after_version: int
    wait_s: float


class ReadSnapshot(NamedTuple):
    """Read another VM's copy of the registry.

    Attributes:
        operation_id: Id of the read, repeated in the event that ends it.
        admin_address: ``ip:port`` of the other VM.
        configuration_version: Version of the configuration that this VM holds.
        servers_version: Version of the backend servers that this VM holds.
        n_vms: Number of VMs that this VM knows; 0 to get a list of VMs in any case.
    """

    operation_id: str
    admin_address: str
    configuration_version: int
    servers_version: int
    n_vms: int


class WriteVm(NamedTuple):
    """Write the row of this VM to the platform's registry."""

    operation_id: str
    row: VmRow


class RemoveVms(NamedTuple):
    """Delete the rows of VMs that no longer exist from the platform's registry."""

    operation_id: str
    vm_ids: tuple[str, ...]


class BroadcastMessage(NamedTuple):
    """Send one message to several VMs.

    Attributes:
        message_addresses: ``ip:port`` of each receiving VM.
        message: Instance of a type registered in
            ``burdockhitch.messages.vm_messages``.
    """

    message_addresses: tuple[str, ...]
    message: Any
