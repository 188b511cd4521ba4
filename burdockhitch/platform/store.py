"""The one client of the platform's store."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from burdockhitch import commands, events, log
from burdockhitch.adapters.connections import call_http, make_call
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.errors import (
    BurdockhitchError,
    DocumentError,
    ExchangeFailedError,
    PlatformBusyError,
    PlatformConflictError,
    PlatformHistoryGoneError,
    PlatformUnavailableError,
)
from burdockhitch.platform import names
from burdockhitch.platform.decoding import (
    decode_configuration,
    decode_rows,
    decode_server,
    decode_vm,
    encode_vm,
    row_content,
)
from burdockhitch.platform.documents import (
    WirePut,
    WireRow,
    WireRowId,
    WireRows,
    WireTransaction,
)
from burdockhitch.platform.process import PlatformProcess, senders
from burdockhitch.tables.registry_views import Subject

STATUS_OK = 200
PAGE_ROWS = 500
ERROR_BY_STATUS: dict[int, type[BurdockhitchError]] = {
    410: PlatformHistoryGoneError,
    412: PlatformConflictError,
    429: PlatformBusyError,
    503: PlatformBusyError,
}


class Part(NamedTuple):
    """Where a part of the registry lies in the store.

    Attributes:
        table: Table.
        key: Only row that counts; empty for all.
        decode: Turns key and content into a row.
    """

    table: str
    key: str
    decode: Callable[[str, bytes], Any]


PARTS = {
    Subject.CONFIGURATION: Part(
        names.CONFIGURATION_TABLE,
        names.CONFIGURATION_KEY,
        lambda _key, body: decode_configuration(body),
    ),
    Subject.SERVERS: Part(names.SERVERS_TABLE, "", decode_server),
    Subject.VMS: Part(names.VMS_TABLE, "", decode_vm),
}


def call_store(
    process: PlatformProcess,
    method: str,
    path: str,
    timeout_s: float,
    body: bytes = b"",
) -> Deferred[bytes]:
    """Call the store and return the body of its answer.

    Raises:
        PlatformUnavailableError: If nothing usable came back in time.
    """
    address = process.world.settings.platform.address
    request = make_call(address, method, path, body)

    def check(answer: HttpAnswer) -> bytes:
        if answer.status == STATUS_OK:
            return answer.body
        error = ERROR_BY_STATUS.get(answer.status, PlatformUnavailableError)
        raise error(str(answer.status))

    def translate(failure: Failure) -> Failure:
        if failure.check(ExchangeFailedError):
            return Failure(PlatformUnavailableError(failure.getErrorMessage()))
        return failure

    asked = call_http(process.reactor, address, request, timeout_s)
    return asked.addErrback(translate).addCallback(check)


def _decode_part(
    subject: Subject, rows: list[WireRow]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    """Return usable rows and the keys of those that are gone or unusable."""
    part = PARTS[subject]
    decoded = []
    removed = []
    for row in rows:
        if part.key and row["key"] != part.key:
            continue
        if row.get("removed"):
            removed.append(row["key"])
            continue
        try:
            decoded.append(part.decode(row["key"], row_content(row)))
        except DocumentError as error:
            fields = {
                "subject": subject,
                "key": row["key"],
                "version": row.get("ver", 0),
                "error": str(error),
            }
            log.write_event("WARNING", "document_rejected", fields)
            removed.append(row["key"])
    return tuple(decoded), tuple(removed)


def _read_path(part: Part, after_key: str) -> str:
    query = {"table": part.table, "part": "", "limit": PAGE_ROWS}
    if part.key:
        query["from"] = part.key
        query["limit"] = 1
    elif after_key:
        # The smallest key behind the last one.
        query["from"] = after_key + "\x00"
    return f"{names.READ_PATH}?{urlencode(query)}"


def _read_whole(process: PlatformProcess, subject: Subject) -> Deferred[WireRows]:
    """Read all pages; the version is that of the first, so nothing is missed."""
    part = PARTS[subject]
    timeout_s = process.world.settings.platform.timeout_s
    found: list[WireRow] = []
    versions: list[int] = []

    def ask(after_key: str) -> Deferred[WireRows]:
        path = _read_path(part, after_key)
        return call_store(process, "GET", path, timeout_s).addCallback(take)

    def take(body: bytes) -> Any:
        page = decode_rows(body)
        found.extend(page["rows"])
        versions.append(page["ver"])
        if page.get("hasMore") and not part.key and page["rows"]:
            return ask(page["rows"][-1]["key"])
        return WireRows(rows=found, ver=versions[0])

    return ask("")


def _watch(
    process: PlatformProcess, subject: Subject, after_version: int, wait_s: float
) -> Deferred[WireRows]:
    query = {
        "table": PARTS[subject].table,
        "after": after_version,
        "waitMs": int(wait_s * 1000),
    }
    path = f"{names.FEED_PATH}?{urlencode(query)}"
    timeout_s = wait_s + process.world.settings.platform.timeout_s
    return call_store(process, "GET", path, timeout_s).addCallback(decode_rows)


@senders("ReadRegistry")
def read_registry(process: PlatformProcess, command: commands.ReadRegistry) -> None:
    """Read or watch a part of the registry."""
    subject = command.subject
    is_whole = command.after_version == 0
    if is_whole:
        asked = _read_whole(process, subject)
    else:
        asked = _watch(process, subject, command.after_version, command.wait_s)

    def succeed(answer: WireRows) -> None:
        rows, removed = _decode_part(subject, answer["rows"])
        event = events.RegistryRead(
            command.operation_id, None, answer["ver"], is_whole, rows, removed
        )
        process.ticker.post(event)

    def fail(failure: Failure) -> None:
        event = events.RegistryRead(command.operation_id, failure.type)
        process.ticker.post(event)

    asked.addCallback(succeed).addErrback(fail)


def _transact(
    process: PlatformProcess, operation_id: str, transaction: WireTransaction
) -> None:
    timeout_s = process.world.settings.platform.timeout_s
    body = msgspec.json.encode(transaction)
    asked = call_store(process, "POST", names.TRANSACTION_PATH, timeout_s, body)

    def succeed(_body: bytes) -> None:
        process.ticker.post(events.RowWritten(operation_id, None))

    def fail(failure: Failure) -> None:
        process.ticker.post(events.RowWritten(operation_id, failure.type))

    asked.addCallbacks(succeed, fail)


@senders("WriteVm")
def write_vm(process: PlatformProcess, command: commands.WriteVm) -> None:
    """Write this VM's row; a repeated write does no harm."""
    row = command.row
    put = WirePut(table=names.VMS_TABLE, part="", key=row.vm_id, value=encode_vm(row))
    transaction = WireTransaction(expectedRevision=[], puts=[put], deletes=[])
    _transact(process, command.operation_id, transaction)


@senders("RemoveVms")
def remove_vms(process: PlatformProcess, command: commands.RemoveVms) -> None:
    """Remove rows of VMs that are gone."""
    deletes = [
        WireRowId(table=names.VMS_TABLE, part="", key=vm_id) for vm_id in command.vm_ids
    ]
    transaction = WireTransaction(expectedRevision=[], puts=[], deletes=deletes)
    _transact(process, command.operation_id, transaction)
