"""The only client of the platform's store, which holds the registry."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from burdockhitch import commands, events, log
from burdockhitch.adapters.connections import (
    make_internal_request,
    send_internal_request,
)
from burdockhitch.adapters.exchange import HttpAnswer
from burdockhitch.adapters.headers import HeaderPairs, find_header
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
    decode_row_value,
    decode_rows,
    decode_server,
    decode_vm,
    encode_vm,
)
from burdockhitch.platform.documents import (
    WirePut,
    WireRow,
    WireRowId,
    WireRows,
    WireTransaction,
)
from burdockhitch.platform.process import PlatformProcess, command_handlers
from burdockhitch.tables.registry_views import (
    RegistryPart,
    era_of,
    make_version,
    number_of,
)

STATUS_OK = 200
ERA = re.compile(r"[0-9]{1,4}")
DETAIL_MAX_CHARACTERS = 80
ROWS_PER_PAGE = 500
ERROR_BY_STATUS: dict[int, type[BurdockhitchError]] = {
    410: PlatformHistoryGoneError,
    412: PlatformConflictError,
    429: PlatformBusyError,
    503: PlatformBusyError,
}


class StoreAnswer(NamedTuple):
    """A successful answer of the store.

    Attributes:
        body: JSON document.
        era: Number of times that the store came back from an older copy.
    """

    body: bytes
    era: int


class RegistrySource(NamedTuple):
    """Location and decoder of one part of the registry in the store.

    Attributes:
        table: Name of the store table.
        key: Key of the only row to read; empty for all rows.
        decode: Converts the key and content of a store row to a table row.
    """

    table: str
    key: str
    decode: Callable[[str, bytes], Any]


REGISTRY_SOURCES = {
    RegistryPart.CONFIGURATION: RegistrySource(
        names.CONFIGURATION_TABLE,
        names.CONFIGURATION_KEY,
        lambda _key, body: decode_configuration(body),
    ),
    RegistryPart.SERVERS: RegistrySource(names.SERVERS_TABLE, "", decode_server),
    RegistryPart.VMS: RegistrySource(names.VMS_TABLE, "", decode_vm),
}


def decode_era(headers: HeaderPairs) -> int:
    """Return the era of a store's answer, 0 if it names none.

    Raises:
        DocumentError: If it is not a number.
    """
    text = find_header(headers, names.STORE_ERA)
    if text and ERA.fullmatch(text) is None:
        raise DocumentError(names.STORE_ERA, text[:DETAIL_MAX_CHARACTERS])
    return int(text or "0")


def call_store(
    process: PlatformProcess,
    method: str,
    path: str,
    timeout_s: float,
    body: bytes = b"",
) -> Deferred[StoreAnswer]:
    """Call the store and return its answer.

    Returns:
        A deferred with the answer. It fails with an error of ``ERROR_BY_STATUS``, with
        ``DocumentError`` if the era is malformed, or with
        ``PlatformUnavailableError`` if no usable answer arrives in time.
    """
    address = process.world.settings.platform.address
    request = make_internal_request(address, method, path, body)

    def check_status(answer: HttpAnswer) -> StoreAnswer:
        if answer.status == STATUS_OK:
            return StoreAnswer(answer.body, decode_era(answer.headers))
        error = ERROR_BY_STATUS.get(answer.status, PlatformUnavailableError)
        raise error(str(answer.status))

    def translate_failure(failure: Failure) -> Failure:
        if failure.check(ExchangeFailedError):
            return Failure(PlatformUnavailableError(failure.getErrorMessage()))
        return failure

    answer_deferred = send_internal_request(
        process.reactor, address, request, timeout_s
    )
    return answer_deferred.addErrback(translate_failure).addCallback(check_status)


def _decode_part(
    part: RegistryPart, rows: list[WireRow]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    """Return the decoded rows, and the keys of removed or malformed ones."""
    source = REGISTRY_SOURCES[part]
    decoded = []
    removed = []
    for row in rows:
        if source.key and row["key"] != source.key:
            continue
        if row.get("removed"):
            removed.append(row["key"])
            continue
        try:
            decoded.append(source.decode(row["key"], decode_row_value(row)))
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


def _read_path(source: RegistrySource, after_key: str) -> str:
    query = {"table": source.table, "part": "", "limit": ROWS_PER_PAGE}
    if source.key:
        query["from"] = source.key
        query["limit"] = 1
    elif after_key:
        # The smallest key after the last one read.
        query["from"] = after_key + "\x00"
    return f"{names.READ_PATH}?{urlencode(query)}"


def _read_complete(process: PlatformProcess, part: RegistryPart) -> Deferred[WireRows]:
    """Read all pages; a watch from the first page's version misses no change.

    The deferred fails with ``PlatformHistoryGoneError`` if the store was restored
    from a copy between two pages.
    """
    source = REGISTRY_SOURCES[part]
    timeout_s = process.world.settings.platform.timeout_s
    rows_read: list[WireRow] = []
    versions: list[int] = []

    def read_page(after_key: str) -> Deferred[WireRows]:
        path = _read_path(source, after_key)
        return call_store(process, "GET", path, timeout_s).addCallback(handle_page)

    def handle_page(answer: StoreAnswer) -> Any:
        page = decode_rows(answer.body)
        rows_read.extend(page["rows"])
        versions.append(make_version(answer.era, page["ver"]))
        if answer.era != era_of(versions[0]):
            raise PlatformHistoryGoneError("restored between two pages")
        if page.get("hasMore") and not source.key and page["rows"]:
            return read_page(page["rows"][-1]["key"])
        return WireRows(rows=rows_read, ver=versions[0])

    return read_page("")


def _watch(
    process: PlatformProcess, part: RegistryPart, after_version: int, wait_s: float
) -> Deferred[WireRows]:
    """Read what changed after a version; fail if the store was restored since.

    A restored store gives out versions again, so it may know this one by chance.
    """
    query = {
        "table": REGISTRY_SOURCES[part].table,
        "after": number_of(after_version),
        "waitMs": int(wait_s * 1000),
    }
    path = f"{names.WATCH_PATH}?{urlencode(query)}"
    timeout_s = wait_s + process.world.settings.platform.timeout_s

    def check_era(answer: StoreAnswer) -> WireRows:
        if answer.era != era_of(after_version):
            raise PlatformHistoryGoneError(f"restored, era {answer.era}")
        rows = decode_rows(answer.body)
        rows["ver"] = make_version(answer.era, rows["ver"])
        return rows

    return call_store(process, "GET", path, timeout_s).addCallback(check_era)


@command_handlers("ReadRegistry")
def read_registry(process: PlatformProcess, command: commands.ReadRegistry) -> None:
    """Read or watch a part of the registry and post the result."""
    registry_part = command.part
    is_complete = command.after_version == 0
    if is_complete:
        answer_deferred = _read_complete(process, registry_part)
    else:
        answer_deferred = _watch(
            process, registry_part, command.after_version, command.wait_s
        )

    def post_rows(answer: WireRows) -> None:
        rows, removed = _decode_part(registry_part, answer["rows"])
        event = events.RegistryRead(
            command.operation_id, None, answer["ver"], is_complete, rows, removed
        )
        process.ticker.post(event)

    def post_failure(failure: Failure) -> None:
        event = events.RegistryRead(command.operation_id, failure.type)
        process.ticker.post(event)

    answer_deferred.addCallback(post_rows).addErrback(post_failure)


def _run_transaction(
    process: PlatformProcess, operation_id: str, transaction: WireTransaction
) -> None:
    timeout_s = process.world.settings.platform.timeout_s
    body = msgspec.json.encode(transaction)
    answer_deferred = call_store(
        process, "POST", names.TRANSACTION_PATH, timeout_s, body
    )

    def post_success(_answer: StoreAnswer) -> None:
        process.ticker.post(events.RowWritten(operation_id, None))

    def post_failure(failure: Failure) -> None:
        process.ticker.post(events.RowWritten(operation_id, failure.type))

    answer_deferred.addCallbacks(post_success, post_failure)


@command_handlers("WriteVm")
def write_vm(process: PlatformProcess, command: commands.WriteVm) -> None:
    """Write this VM's row; the write is idempotent."""
    row = command.row
    put = WirePut(table=names.VMS_TABLE, part="", key=row.vm_id, value=encode_vm(row))
    transaction = WireTransaction(expectedRevision=[], puts=[put], deletes=[])
    _run_transaction(process, command.operation_id, transaction)


@command_handlers("RemoveVms")
def remove_vms(process: PlatformProcess, command: commands.RemoveVms) -> None:
    """Remove the rows of VMs that left or died."""
    deletes = [
        WireRowId(table=names.VMS_TABLE, part="", key=vm_id) for vm_id in command.vm_ids
    ]
    transaction = WireTransaction(expectedRevision=[], puts=[], deletes=deletes)
    _run_transaction(process, command.operation_id, transaction)
