"""Commands that systems put into the outbox and adapters execute."""

from typing import Any, NamedTuple

from burdockhitch.messages import Answer, Refusal, RequestMessage
from burdockhitch.tables.registry_views import RegistryPart
from burdockhitch.tables.vms import VmRow


class AnswerCaller(NamedTuple):
    """Send a complete response to a caller."""

    connection_id: int
    request_id: str
    answer: Answer


class RefuseCaller(NamedTuple):
    """Send a refusal to a caller as a problem document."""

    connection_id: int
    request_id: str
    refusal: Refusal


class AddressOffer(NamedTuple):
    """The caller address of one VM, as listed in an address response.

    Attributes:
        address: ``ip:port`` that the VM accepts callers on.
        zone: Availability zone of the VM.
        home: Token that starts the idempotency keys of requests whose record
            this VM holds; empty if the front end has no such keys.
    """

    address: str
    zone: str
    home: str


class OfferAddresses(NamedTuple):
    """Send a caller the VM addresses to use.

    Attributes:
        connection_id: Caller's connection.
        service: Service that the caller asked for.
        offers: Addresses in the order in which the caller should try them.
        keep_s: How long the caller may cache the response.
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
        attempt_id: Attempt, repeated in the event that ends it.
        request_id: Id of the request.
        address: ``ip:port`` of the backend server.
        request: The caller's request.
        timeout_s: Time after which the response is no longer needed.
        server_id: Backend server that must execute it; empty for any.
        is_idempotent: Whether it may be executed more than once.
    """

    attempt_id: int
    request_id: str
    address: str
    request: RequestMessage
    timeout_s: float
    server_id: str = ""
    is_idempotent: bool = True


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt's response and close its connection."""

    attempt_id: int


class ProbeServer(NamedTuple):
    """Probe the health endpoint of a backend server that this VM owns."""

    server_id: str
    address: str
    timeout_s: float


class ProbeForPeer(NamedTuple):
    """Probe the health endpoint of a backend server on behalf of another VM."""

    asker_vm_id: str
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


class Condition(NamedTuple):
    """A required row version in a transaction; 0 means that no such row exists."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A row that a transaction writes."""

    table: str
    key: str
    value: dict[str, Any]


class RunTransaction(NamedTuple):
    """Write rows to the platform's table service if all conditions hold."""

    operation_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


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


class StopProcess(NamedTuple):
    """End the process once the last responses are written."""


class ReadRegistry(NamedTuple):
    """Read a part of the platform's registry.

    Attributes:
        operation_id: Operation, repeated in the event that ends the read.
        part: Part of the registry.
        after_version: Return changes after this version, waiting for one if
            there is none; 0 returns all rows.
        wait_s: Maximum time that the platform waits for a change.
    """

    operation_id: str
    part: RegistryPart
    after_version: int
    wait_s: float


class ReadSnapshot(NamedTuple):
    """Read another VM's copy of the registry.

    Attributes:
        operation_id: Operation, repeated in the event that ends the read.
        admin_address: ``ip:port`` of the other VM.
        configuration_version: Version of the configuration that this VM holds.
        servers_version: Version of the backend servers that this VM holds.
    """

    operation_id: str
    admin_address: str
    configuration_version: int
    servers_version: int


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
