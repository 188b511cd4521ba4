"""HTTP client for the platform's table service, object store and VM list.

docs/INTERFACES.md describes the interface.
"""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
import treq
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from burdockhitch import commands, events
from burdockhitch.adapters.process import Process, command_handlers
from burdockhitch.errors import (
    PlatformConflictError,
    PlatformNotFoundError,
    PlatformUnavailableError,
)

STATUS_OK = 200
ERROR_BY_STATUS = {404: PlatformNotFoundError, 409: PlatformConflictError}


def row_path(table: str, key: str) -> str:
    """Return the URL path of a row."""
    return f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"


def object_path(name: str) -> str:
    """Return the URL path of an object."""
    return f"/objects/{quote(name, safe='')}"


def encode_transaction(command: commands.RunTransaction) -> bytes:
    """Encode a transaction as a JSON request body."""
    return msgspec.json.encode(
        {
            "operation_id": command.operation_id,
            "conditions": [row._asdict() for row in command.conditions],
            "writes": [row._asdict() for row in command.writes],
        }
    )


def _call_platform(
    process: Process,
    operation_id: str,
    method: str,
    path: str,
    decode: Callable[[bytes], Any],
    body: bytes | None = None,
) -> None:
    """Call the platform and post the decoded answer body or the error."""
    settings = process.world.settings.platform
    response_deferred = process.platform_client.request(
        method,
        f"http://{settings.address}{path}",
        data=body,
        timeout=settings.timeout_s,
    )

    def read_body(response: Any) -> Deferred[Any]:
        return treq.content(response).addCallback(lambda body: (response.code, body))

    def handle_answer(status_and_body: tuple[int, bytes]) -> None:
        status, content = status_and_body
        if status == STATUS_OK:
            post_result(None, decode(content))
        else:
            post_result(ERROR_BY_STATUS.get(status, PlatformUnavailableError), None)

    def handle_failure(_failure: Failure) -> None:
        post_result(PlatformUnavailableError, None)

    def post_result(error: type[Exception] | None, document: Any) -> None:
        process.ticker.post(events.PlatformReplied(operation_id, error, document))

    response_deferred.addCallback(read_body).addCallbacks(handle_answer, handle_failure)


@command_handlers("ReadRow")
def read_row(process: Process, command: commands.ReadRow) -> None:
    """Read a row of the table service."""
    path = row_path(command.table, command.key)
    _call_platform(process, command.operation_id, "GET", path, msgspec.json.decode)


@command_handlers("RunTransaction")
def run_transaction(process: Process, command: commands.RunTransaction) -> None:
    """Write rows in the table service if all conditions hold."""
    body = encode_transaction(command)
    _call_platform(
        process,
        command.operation_id,
        "POST",
        "/transactions",
        msgspec.json.decode,
        body,
    )


@command_handlers("ReadObject")
def read_object(process: Process, command: commands.ReadObject) -> None:
    """Read an object of the object store."""
    path = object_path(command.name)
    _call_platform(process, command.operation_id, "GET", path, bytes)


@command_handlers("WriteObject")
def write_object(process: Process, command: commands.WriteObject) -> None:
    """Write an object of the object store."""
    path = object_path(command.name)
    _call_platform(process, command.operation_id, "PUT", path, bytes, command.body)


@command_handlers("ListVms")
def list_vms(process: Process, command: commands.ListVms) -> None:
    """Read the platform's list of VMs."""
    _call_platform(process, command.operation_id, "GET", "/vms", msgspec.json.decode)
