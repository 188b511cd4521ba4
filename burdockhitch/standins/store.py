"""Stand-in for the platform's store, by its published protocol.

``PUT /standin/faults`` sets its faults; ``PUT /standin/rows/TABLE/KEY`` writes
a row as the operator or a backend server would.
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

STATUS_BUSY = 503
STATUS_TOO_MANY = 429
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_FORBIDDEN = 403
FOREIGN_TABLES = frozenset({names.CONFIGURATION_TABLE, names.SERVERS_TABLE})


class StoreFaults(TypedDict):
    """How the store misbehaves.

    Attributes:
        refused: IP numbers of callers that get 503; ``*`` for all.
        silent: IP numbers of callers that get no answer; ``*`` for all.
        delay_s: Time by which each answer is late.
        n_lost_answers: Writes that are done and then not answered.
        is_stale: Whether reads show the rows as they were when this was set.
        calls_per_s: Calls a second beyond which callers get 429; 0 for any.
    """

    refused: list[str]
    silent: list[str]
    delay_s: float
    n_lost_answers: int
    is_stale: bool
    calls_per_s: float


class StoredRow(NamedTuple):
    """A row; a removed one stays for the feed."""

    table: str
    key: str
    value: str
    version: int
    is_removed: bool


class RowStore:
    """Rows with versions from one counter, and their history."""

    def __init__(self) -> None:
        self.version = 0
        self.oldest_version = 0
        self._rows: dict[tuple[str, str], StoredRow] = {}

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row and return its version."""
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
        """Return the version of a row, 0 if it does not exist."""
        row = self._rows.get((table, key))
        return 0 if row is None or row.is_removed else row.version

    def read(self, table: str, first_key: str) -> list[StoredRow]:
        """Return the rows of a table from a key on, by key."""
        return sorted(
            row
            for row in self._rows.values()
            if row.table == table and row.key >= first_key and not row.is_removed
        )

    def changes(self, table: str, after_version: int) -> list[StoredRow]:
        """Return the rows that changed after a version, oldest first."""
        changed = [
            row
            for row in self._rows.values()
            if row.table == table and row.version > after_version
        ]
        return sorted(changed, key=lambda row: row.version)

    def compact(self) -> None:
        """Forget all history."""
        self.oldest_version = self.version

    def copy(self) -> "RowStore":
        """Return the store as it is now."""
        store = RowStore()
        store.version = self.version
        store.oldest_version = self.oldest_version
        store._rows = dict(self._rows)
        return store


def _wire_row(row: StoredRow) -> WireRow:
    if row.is_removed:
        return WireRow(key=row.key, ver=row.version, removed=True)
    return WireRow(key=row.key, value=row.value, ver=row.version)


def _argument(request: Any, name: bytes, default: str = "") -> str:
    values = request.args.get(name)
    return values[0].decode() if values else default


class StoreStandin:
    """The store over HTTP.

    Args:
        reactor: Twisted reactor, for delays.
        clock: Source of time.
    """

    app = Klein()

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self.store = RowStore()
        self._old = self.store
        self._watches: list[Deferred[None]] = []
        self._called_at_s: list[float] = []
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
        """Change the faults."""
        self._old = self.store.copy()
        self.faults.update(msgspec.json.decode(request.content.read()))
        return msgspec.json.encode(self.faults)

    @app.route("/standin/compact", methods=["PUT"])
    def compact(self, request: Any) -> bytes:
        """Forget all history."""
        self.store.compact()
        return b"{}"

    @app.route("/standin/calls", methods=["GET"])
    def count_calls(self, request: Any) -> bytes:
        """Return how many calls came."""
        return msgspec.json.encode({"n_calls": self.n_calls})

    @app.route("/standin/rows/<table>/<key>", methods=["PUT", "DELETE"])
    def change_row(self, request: Any, table: str, key: str) -> bytes:
        """Write or remove a row in another's name."""
        if request.method == b"DELETE":
            self.store.remove(table, key)
        else:
            body = request.content.read()
            self.store.put(table, key, base64.b64encode(body).decode())
        self._wake()
        return msgspec.json.encode({"ver": self.store.version})

    @app.route(names.TRANSACTION_PATH, methods=["POST"])
    def transact(self, request: Any) -> Any:
        """Apply a transaction."""
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        document = msgspec.json.decode(request.content.read(), type=WireTransaction)
        status = self._apply(document)
        if self.faults["n_lost_answers"] > 0:
            self.faults["n_lost_answers"] -= 1
            return Deferred()
        request.setResponseCode(status)
        return self._answer({"ver": self.store.version, "nowS": 0.0})

    def _apply(self, document: WireTransaction) -> int:
        touched: list[WireRowId] = [*document["puts"], *document["deletes"]]
        if any(row["table"] in FOREIGN_TABLES for row in touched):
            return STATUS_FORBIDDEN
        for condition in document["expectedRevision"]:
            held = self.store.version_of(condition["table"], condition["key"])
            if held != condition["ver"]:
                return STATUS_CONFLICT
        for put in document["puts"]:
            self.store.put(put["table"], put["key"], put["value"])
        for delete in document["deletes"]:
            self.store.remove(delete["table"], delete["key"])
        self._wake()
        return 200

    @app.route(names.READ_PATH, methods=["GET"])
    def read(self, request: Any) -> Any:
        """Return rows by key."""
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        store = self._old if self.faults["is_stale"] else self.store
        rows = store.read(_argument(request, b"table"), _argument(request, b"from"))
        limit = int(_argument(request, b"limit", "500"))
        page = [_wire_row(row) for row in rows[:limit]]
        answer = WireRows(rows=page, ver=store.version, hasMore=len(rows) > limit)
        return self._answer(answer)

    @app.route(names.FEED_PATH, methods=["GET"])
    def watch(self, request: Any) -> Any:
        """Return changes as soon as there is one."""
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        after_version = int(_argument(request, b"after", "0"))
        if after_version < self.store.oldest_version:
            request.setResponseCode(STATUS_GONE)
            return b"{}"
        table = _argument(request, b"table")
        wait_s = int(_argument(request, b"waitMs", "0")) / 1000
        return self._watch(table, after_version, wait_s)

    def _watch(self, table: str, after_version: int, wait_s: float) -> Any:
        changed = self.store.changes(table, after_version)
        if changed or wait_s <= 0:
            rows = [_wire_row(row) for row in changed]
            return self._answer(WireRows(rows=rows, ver=self.store.version))
        started_s = self._clock.now().monotonic_s
        woken: Deferred[None] = Deferred()
        self._watches.append(woken)
        woken.addTimeout(wait_s, self._reactor, lambda _result, _timeout: None)

        def look_again(_result: Any) -> Any:
            passed_s = self._clock.now().monotonic_s - started_s
            return self._watch(table, after_version, wait_s - passed_s)

        return woken.addCallback(look_again)

    def _wake(self) -> None:
        watches, self._watches = self._watches, []
        for woken in watches:
            if not woken.called:
                woken.callback(None)

    def _refuse(self, request: Any) -> Any:
        self.n_calls += 1
        host = request.getClientAddress().host
        if {host, "*"} & set(self.faults["silent"]):
            return Deferred()
        if {host, "*"} & set(self.faults["refused"]):
            request.setResponseCode(STATUS_BUSY)
            return b""
        if self._is_over_rate():
            request.setResponseCode(STATUS_TOO_MANY)
            return b""
        return None

    def _is_over_rate(self) -> bool:
        limit = self.faults["calls_per_s"]
        now_s = self._clock.now().monotonic_s
        self._called_at_s = [at_s for at_s in self._called_at_s if now_s - at_s < 1.0]
        if limit and len(self._called_at_s) >= limit:
            return True
        self._called_at_s.append(now_s)
        return False

    def _answer(self, document: Any) -> Any:
        body = msgspec.json.encode(document)
        delay_s = self.faults["delay_s"]
        if delay_s:
            return deferLater(self._reactor, delay_s, lambda: body)
        return body
