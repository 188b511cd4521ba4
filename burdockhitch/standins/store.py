"""Stand-in for the platform's row store, with its published HTTP protocol.

It stands for the store that the ``platform`` front end uses.

Tests set its faults with ``PUT /standin/faults``, and write a row as an operator or
a backend server would with ``PUT /standin/rows/TABLE/KEY``.
"""

import base64
from typing import Any, NamedTuple, TypedDict

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from burdockhitch.clock import Clock
from burdockhitch.platform import names
from burdockhitch.platform.documents import (
    WireRow,
    WireRowId,
    WireRows,
    WireTransaction,
)

STATUS_UNAVAILABLE = 503
STATUS_TOO_MANY_REQUESTS = 429
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_FORBIDDEN = 403
# Tables that clients of the protocol may read but not write.
READ_ONLY_TABLES = frozenset({names.CONFIGURATION_TABLE, names.SERVERS_TABLE})


class StoreFaults(TypedDict):
    """Injected faults of the store.

    Attributes:
        refused: IP addresses of clients that get 503; ``*`` for all.
        silent: IP addresses of clients that get no answer; ``*`` for all.
        delay_s: Seconds by which answers to VMs are delayed, except 410, 429 and 503.
        n_lost_answers: Number of next transactions that are processed but get no
            answer.
        is_stale: Whether reads return the rows as they were when the faults were
            last set. The change feed stays current.
        calls_per_s: Largest number of calls of all clients that are served within one
            second; further ones get 429. 0 for no limit.
    """

    refused: list[str]
    silent: list[str]
    delay_s: float
    n_lost_answers: int
    is_stale: bool
    calls_per_s: float


class StoredRow(NamedTuple):
    """A row; a removed one stays, so that the change feed can report its removal."""

    table: str
    key: str
    value: str
    version: int
    is_removed: bool


class RowStore:
    """Rows in memory, with versions from one counter for all tables.

    Attributes:
        version: Version of the latest change.
        oldest_version: Oldest version after which the change feed can start.
    """

    def __init__(self) -> None:
        self.version = 0
        self.oldest_version = 0
        self._rows: dict[tuple[str, str], StoredRow] = {}

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row and return its new version."""
        self.version += 1
        row = StoredRow(table, key, value, self.version, False)
        self._rows[table, key] = row
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row if it exists."""
        row = self._rows.get((table, key))
        if row is not None and not row.is_removed:
            self.version += 1
            self._rows[table, key] = row._replace(version=self.version, is_removed=True)

    def version_of(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it doesn't exist."""
        row = self._rows.get((table, key))
        return 0 if row is None or row.is_removed else row.version

    def read(self, table: str, first_key: str) -> list[StoredRow]:
        """Return the rows of a table from ``first_key`` on, sorted by key."""
        return sorted(
            row
            for row in self._rows.values()
            if row.table == table and row.key >= first_key and not row.is_removed
        )

    def changes(self, table: str, after_version: int) -> list[StoredRow]:
        """Return the rows that changed after a version, oldest change first."""
        changed = [
            row
            for row in self._rows.values()
            if row.table == table and row.version > after_version
        ]
        return sorted(changed, key=lambda row: row.version)

    def compact(self) -> None:
        """Make the latest version the oldest after which the change feed can start."""
        self.oldest_version = self.version

    def copy(self) -> "RowStore":
        """Return an independent copy of the store."""
        store = RowStore()
        store.version = self.version
        store.oldest_version = self.oldest_version
        store._rows = dict(self._rows)
        return store


def _encode_row(row: StoredRow) -> WireRow:
    if row.is_removed:
        return WireRow(key=row.key, ver=row.version, removed=True)
    return WireRow(key=row.key, value=row.value, ver=row.version)


def _query_parameter(request: Any, name: bytes, default: str = "") -> str:
    values = request.args.get(name)
    return values[0].decode() if values else default


class StoreStandin:
    """Serves the row store over HTTP.

    Args:
        reactor: Twisted reactor, which delays answers and ends feed waits.
        clock: Source of time.
    """

    app = Klein()

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self.store = RowStore()
        self._stale_store = self.store
        self._backup = self.store.copy()
        self.era = 0
        self._feed_waiters: list[Deferred[None]] = []
        self._call_times_s: list[float] = []
        self.n_calls = 0
        self.faults = StoreFaults(
            refused=[],
            silent=[],
            delay_s=0.0,
            n_lost_answers=0,
            is_stale=False,
            calls_per_s=0.0,
        )

    @app.route("/standin/faults", methods=["PUT"])
    def set_faults(self, request: Any) -> bytes:
        """Change the faults named in the request and copy the rows for stale reads."""
        self._stale_store = self.store.copy()
        self.faults.update(msgspec.json.decode(request.content.read()))
        return msgspec.json.encode(self.faults)

    @app.route("/standin/compact", methods=["PUT"])
    def compact(self, request: Any) -> bytes:
        """Drop the history, so that feeds from older versions get 410."""
        self.store.compact()
        return b"{}"

    @app.route("/standin/backup", methods=["PUT"])
    def back_up(self, request: Any) -> bytes:
        """Keep a copy of the store, to restore it from."""
        self._backup = self.store.copy()
        return b"{}"

    @app.route("/standin/restore", methods=["PUT"])
    def restore(self, request: Any) -> bytes:
        """Go back to the copy, with its versions, in a new era."""
        self.store = self._backup.copy()
        self.era += 1
        self._notify_waiters()
        return b"{}"

    @app.route("/standin/calls", methods=["GET"])
    def count_calls(self, request: Any) -> bytes:
        """Return how many protocol calls have arrived."""
        return msgspec.json.encode({"n_calls": self.n_calls})

    @app.route("/standin/rows/<table>/<key>", methods=["PUT", "DELETE"])
    def write_row(self, request: Any, table: str, key: str) -> bytes:
        """Write or remove a row as an operator or a backend server would."""
        if request.method == b"DELETE":
            self.store.remove(table, key)
        else:
            body = request.content.read()
            self.store.put(table, key, base64.b64encode(body).decode())
        self._notify_waiters()
        return msgspec.json.encode({"ver": self.store.version})

    @app.route(names.TRANSACTION_PATH, methods=["POST"])
    def run_transaction(self, request: Any) -> Any:
        """Run a transaction; answer 412 if a condition is not met."""
        fault_answer = self._check_faults(request)
        if fault_answer is not None:
            return fault_answer
        document = msgspec.json.decode(request.content.read(), type=WireTransaction)
        status = self._apply_transaction(document)
        if self.faults["n_lost_answers"] > 0:
            self.faults["n_lost_answers"] -= 1
            return Deferred()
        request.setResponseCode(status)
        return self._answer(request, {"ver": self.store.version, "nowS": 0.0})

    def _apply_transaction(self, document: WireTransaction) -> int:
        changed_rows: list[WireRowId] = [*document["puts"], *document["deletes"]]
        if any(row["table"] in READ_ONLY_TABLES for row in changed_rows):
            return STATUS_FORBIDDEN
        for condition in document["expectedRevision"]:
            current_version = self.store.version_of(
                condition["table"], condition["key"]
            )
            if current_version != condition["ver"]:
                return STATUS_CONFLICT
        for put in document["puts"]:
            self.store.put(put["table"], put["key"], put["value"])
        for delete in document["deletes"]:
            self.store.remove(delete["table"], delete["key"])
        self._notify_waiters()
        return 200

    @app.route(names.READ_PATH, methods=["GET"])
    def read(self, request: Any) -> Any:
        """Return up to ``limit`` rows of a table in the order of their keys."""
        fault_answer = self._check_faults(request)
        if fault_answer is not None:
            return fault_answer
        store = self._stale_store if self.faults["is_stale"] else self.store
        rows = store.read(
            _query_parameter(request, b"table"), _query_parameter(request, b"from")
        )
        limit = int(_query_parameter(request, b"limit", "500"))
        page_rows = [_encode_row(row) for row in rows[:limit]]
        document = WireRows(
            rows=page_rows, ver=store.version, hasMore=len(rows) > limit
        )
        return self._answer(request, document)

    @app.route(names.WATCH_PATH, methods=["GET"])
    def watch(self, request: Any) -> Any:
        """Return the changes after a version; wait up to ``waitMs`` for the first."""
        fault_answer = self._check_faults(request)
        if fault_answer is not None:
            return fault_answer
        after_version = int(_query_parameter(request, b"after", "0"))
        table = _query_parameter(request, b"table")
        wait_s = int(_query_parameter(request, b"waitMs", "0")) / 1000
        return self._read_feed(request, table, after_version, wait_s)

    def _read_feed(
        self, request: Any, table: str, after_version: int, wait_s: float
    ) -> Any:
        if not self.store.oldest_version <= after_version <= self.store.version:
            request.setHeader(names.STORE_ERA, str(self.era))
            request.setResponseCode(STATUS_GONE)
            return b"{}"
        changed = self.store.changes(table, after_version)
        if changed or wait_s <= 0:
            rows = [_encode_row(row) for row in changed]
            return self._answer(request, WireRows(rows=rows, ver=self.store.version))
        started_s = self._clock.now().monotonic_s
        waiter: Deferred[None] = Deferred()
        self._feed_waiters.append(waiter)
        waiter.addTimeout(wait_s, self._reactor, lambda _result, _timeout: None)

        def read_again(_result: Any) -> Any:
            elapsed_s = self._clock.now().monotonic_s - started_s
            remaining_s = wait_s - elapsed_s
            return self._read_feed(request, table, after_version, remaining_s)

        return waiter.addCallback(read_again)

    def _notify_waiters(self) -> None:
        waiters, self._feed_waiters = self._feed_waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def _check_faults(self, request: Any) -> Any:
        """Count a call; return the answer that a fault causes, or None if none does."""
        self.n_calls += 1
        host = request.getClientAddress().host
        if {host, "*"} & set(self.faults["silent"]):
            return Deferred()
        if {host, "*"} & set(self.faults["refused"]):
            request.setResponseCode(STATUS_UNAVAILABLE)
            return b""
        if self._is_rate_exceeded():
            request.setResponseCode(STATUS_TOO_MANY_REQUESTS)
            return b""
        return None

    def _is_rate_exceeded(self) -> bool:
        limit = self.faults["calls_per_s"]
        now_s = self._clock.now().monotonic_s
        self._call_times_s = [at_s for at_s in self._call_times_s if now_s - at_s < 1.0]
        if limit and len(self._call_times_s) >= limit:
            return True
        self._call_times_s.append(now_s)
        return False

    def _answer(self, request: Any, document: Any) -> Any:
        request.setHeader(names.STORE_ERA, str(self.era))
        body = msgspec.json.encode(document)
        delay_s = self.faults["delay_s"]
        if delay_s:
            return deferLater(self._reactor, delay_s, lambda: body)
        return body
