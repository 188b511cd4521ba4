"""The only client of the platform's store, which holds the registry."""

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
from burdockhitch.tables.registry_views import RegistryPart

STATUS_OK = 200
PAGE_ROWS = 500
ERROR_BY_STATUS: dict[int, type[BurdockhitchError]] = {
    410: PlatformHistoryGoneError,
    412: PlatformConflictError,
    429: PlatformBusyError,
    503: PlatformBusyError,
}


class Part(NamedTuple):
    """Location and decoder of one part of the registry in the store.

    Attributes:
        table: Name of the store table.
        key: Key of the only row to read; empty for all rows.
        decode: Converts the key and content of a store row to a table row.
    """

    table: str
    key: str
    decode: Callable[[str, bytes], Any]


PARTS = {
    RegistryPart.CONFIGURATION: Part(
        names.CONFIGURATION_TABLE,
        names.CONFIGURATION_KEY,
        lambda _key, body: decode_configuration(body),
    ),
    RegistryPart.SERVERS: Part(names.SERVERS_TABLE, "", decode_server),
    RegistryPart.VMS: Part(names.VMS_TABLE, "", decode_vm),
}


def call_store(
    process: PlatformProcess,
    method: str,
    path: str,
    timeout_s: float,
    body: bytes = b"",
) -> Deferred[bytes]:
    """Call the store and return the body of its response.

    Raises:
        PlatformUnavailableError: If no usable response arrived in time.
    """
    address = process.world.settings.platform.address
    request = make_call(address, method, path, body)

    def check_status(answer: HttpAnswer) -> bytes:
        if answer.status == STATUS_OK:
            return answer.body
        error = ERROR_BY_STATUS.get(answer.status, PlatformUnavailableError)
        raise error(str(answer.status))

    def translate_failure(failure: Failure) -> Failure:
        if failure.check(ExchangeFailedError):
            return Failure(PlatformUnavailableError(failure.getErrorMessage()))
        return failure

    response_deferred = call_http(process.reactor, address, request, timeout_s)
    return response_deferred.addErrback(translate_failure).addCallback(check_status)


def _decode_part(
    part: RegistryPart, rows: list[WireRow]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    """Return the decoded rows and the keys of removed or malformed ones."""
    source = PARTS[part]
    decoded = []
    removed = []
    for row in rows:
        if source.key and row["key"] != source.key:
            continue
        if row.get("removed"):
            removed.append(row["key"])
            continue
        try:
            decoded.append(source.decode(row["key"], row_content(row)))
        except DocumentError as error:
            fields = {
                "subject": part,
                "key": row["key"],
                "version": row.get("ver", 0),
                "error": str(error),
            }
            log.write_event("WARNING", "document_rejected", fields)
            removed.append(row["key"])
    return tuple(decoded), tuple(removed)


def _read_path(source: Part, after_key: str) -> str:
    query = {"table": source.table, "part": "", "limit": PAGE_ROWS}
    if source.key:
        query["from"] = source.key
        query["limit"] = 1
    elif after_key:
        # The smallest key after the last one read.
        query["from"] = after_key + "\x00"
    return f"{names.READ_PATH}?{urlencode(query)}"


def _read_complete(process: PlatformProcess, part: RegistryPart) -> Deferred[WireRows]:
    """Read all pages; a watch from the first page's version misses no change."""
    source = PARTS[part]
    timeout_s = process.world.settings.platform.timeout_s
    rows_read: list[WireRow] = []
    versions: list[int] = []

    def read_page(after_key: str) -> Deferred[WireRows]:
        path = _read_path(source, after_key)
        return call_store(process, "GET", path, timeout_s).addCallback(handle_page)

    def handle_page(body: bytes) -> Any:
        page = decode_rows(body)
        rows_read.extend(page["rows"])
        versions.append(page["ver"])
        if page.get("hasMore") and not source.key and page["rows"]:
            return read_page(page["rows"][-1]["key"])
        return WireRows(rows=rows_read, ver=versions[0])

    return read_page("")


def _watch(
    process: PlatformProcess, part: RegistryPart, after_version: int, wait_s: float
) -> Deferred[WireRows]:
    query = {
        "table": PARTS[part].table,
        "after": after_version,
        "waitMs": int(wait_s * 1000),
    }
    path = f"{names.FEED_PATH}?{urlencode(query)}"
    timeout_s = wait_s + process.world.settings.platform.timeout_s
    return call_store(process, "GET", path, timeout_s).addCallback(decode_rows)


@senders("ReadRegistry")
def read_registry(process: PlatformProcess, command: commands.ReadRegistry) -> None:
    """Read or watch a part of the registry and post the result."""
    part = command.part
    is_complete = command.after_version == 0
    if is_complete:
        response_deferred = _read_complete(process, part)
    else:
        response_deferred = _watch(process, part, command.after_version, command.wait_s)

    def post_rows(answer: WireRows) -> None:
        rows, removed = _decode_part(part, answer["rows"])
        event = events.RegistryRead(
            command.operation_id, None, answer["ver"], is_complete, rows, removed
        )
        process.ticker.post(event)

    def post_failure(failure: Failure) -> None:
        event = events.RegistryRead(command.operation_id, failure.type)
        process.ticker.post(event)

    response_deferred.addCallback(post_rows).addErrback(post_failure)


def _run_transaction(
    process: PlatformProcess, operation_id: str, transaction: WireTransaction
) -> None:
    timeout_s = process.world.settings.platform.timeout_s
    body = msgspec.json.encode(transaction)
    response_deferred = call_store(
        process, "POST", names.TRANSACTION_PATH, timeout_s, body
    )

    def post_success(_body: bytes) -> None:
        process.ticker.post(events.RowWritten(operation_id, None))

    def post_failure(failure: Failure) -> None:
        process.ticker.post(events.RowWritten(operation_id, failure.type))

    response_deferred.addCallbacks(post_success, post_failure)


@senders("WriteVm")
def write_vm(process: PlatformProcess, command: commands.WriteVm) -> None:
    """Write this VM's row; the write is idempotent."""
    row = command.row
    put = WirePut(table=names.VMS_TABLE, part="", key=row.vm_id, value=encode_vm(row))
    transaction = WireTransaction(expectedRevision=[], puts=[put], deletes=[])
    _run_transaction(process, command.operation_id, transaction)


@senders("RemoveVms")
def remove_vms(process: PlatformProcess, command: commands.RemoveVms) -> None:
    """Remove the rows of VMs that left or died."""
    deletes = [
        WireRowId(table=names.VMS_TABLE, part="", key=vm_id) for vm_id in command.vm_ids
    ]
    transaction = WireTransaction(expectedRevision=[], puts=[], deletes=deletes)
    _run_transaction(process, command.operation_id, transaction)
