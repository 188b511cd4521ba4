"""HTTP towards the platform: table service, object store and VM list.

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
from burdockhitch.adapters.process import Process, senders
from burdockhitch.errors import (
    PlatformConflictError,
    PlatformNotFoundError,
    PlatformUnavailableError,
)

STATUS_OK = 200
ERROR_BY_STATUS = {404: PlatformNotFoundError, 409: PlatformConflictError}


def row_path(table: str, key: str) -> str:
    """Return the path of a row."""
    return f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"


def object_path(name: str) -> str:
    """Return the path of an object."""
    return f"/objects/{quote(name, safe='')}"


def encode_transaction(command: commands.RunTransaction) -> bytes:
    """Return the body of a transaction."""
    return msgspec.json.encode(
        {
            "operation_id": command.operation_id,
            "conditions": [row._asdict() for row in command.conditions],
            "writes": [row._asdict() for row in command.writes],
        }
    )


def _ask(
    process: Process,
    operation_id: str,
    method: str,
    path: str,
    decode: Callable[[bytes], Any],
    body: bytes | None = None,
) -> None:
    settings = process.world.settings.platform
    asked = process.platform_client.request(
        method,
        f"http://{settings.address}{path}",
        data=body,
        timeout=settings.timeout_s,
    )

    def read(response: Any) -> Deferred[Any]:
        return treq.content(response).addCallback(lambda body: (response.code, body))

    def take(result: tuple[int, bytes]) -> None:
        status, content = result
        if status == STATUS_OK:
            reply(None, decode(content))
        else:
            reply(ERROR_BY_STATUS.get(status, PlatformUnavailableError), None)

    def fail(_failure: Failure) -> None:
        reply(PlatformUnavailableError, None)

    def reply(error: type[Exception] | None, document: Any) -> None:
        process.ticker.post(events.PlatformReplied(operation_id, error, document))

    asked.addCallback(read).addCallbacks(take, fail)


@senders("ReadRow")
def read_row(process: Process, command: commands.ReadRow) -> None:
    """Read a row."""
    path = row_path(command.table, command.key)
    _ask(process, command.operation_id, "GET", path, msgspec.json.decode)


@senders("RunTransaction")
def run_transaction(process: Process, command: commands.RunTransaction) -> None:
    """Write rows if all conditions hold."""
    body = encode_transaction(command)
    _ask(
        process,
        command.operation_id,
        "POST",
        "/transactions",
        msgspec.json.decode,
        body,
    )


@senders("ReadObject")
def read_object(process: Process, command: commands.ReadObject) -> None:
    """Read an object."""
    path = object_path(command.name)
    _ask(process, command.operation_id, "GET", path, bytes)


@senders("WriteObject")
def write_object(process: Process, command: commands.WriteObject) -> None:
    """Write an object."""
    path = object_path(command.name)
    _ask(process, command.operation_id, "PUT", path, bytes, command.body)


@senders("ListVms")
def list_vms(process: Process, command: commands.ListVms) -> None:
    """Read the list of VMs."""
    _ask(process, command.operation_id, "GET", "/vms", msgspec.json.decode)
