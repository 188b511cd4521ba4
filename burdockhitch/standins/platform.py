"""Stand-in for the platform: table service, object store and VM list.

It stands for the services that the ``native`` front end uses.

Tests set faults with ``PUT /faults`` and the list of VMs with ``PUT /vms``.
"""

from typing import Any, NamedTuple, TypedDict

import msgspec
from klein import Klein
from twisted.internet.task import deferLater

from burdockhitch.tables.table import Table

STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503


class StoredRow(NamedTuple):
    """A row of the table service.

    Attributes:
        row_key: ``(table, key)``.
        table: Name of the table.
        version: Number of writes to the row; 0 stands for a row that doesn't exist.
        value: Decoded JSON value.
    """

    row_key: tuple[str, str]
    table: str
    version: int
    value: Any


class RowDocument(TypedDict):
    """A row in an answer."""

    version: int
    value: Any


def make_row_document(row: StoredRow) -> RowDocument:
    """Return the document that answers a read of the row."""
    return RowDocument(version=row.version, value=row.value)


class Faults(TypedDict):
    """Injected faults.

    Attributes:
        is_down: Whether every request of a VM or operator gets 503 and has no effect.
        delay_s: Seconds by which answers are delayed. Objects that are found, and
            requests that control the stand-in, are answered at once.
        n_lost_replies: Number of next transactions that are written but answered
            with 503.
    """

    is_down: bool
    delay_s: float
    n_lost_replies: int


class PlatformStore:
    """Rows, objects and the VM list in memory.

    The HTTP stand-in and the fake fleet of the tests share this class, so both
    apply the same rules to transactions.
    """

    def __init__(self) -> None:
        self.rows = Table(StoredRow, key="row_key", indexes=("table",))
        self.objects: dict[str, bytes] = {}
        self.vms: list[Any] = []
        self.n_reads = 0
        self.n_writes = 0

    def read_row(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or None if it doesn't exist."""
        self.n_reads += 1
        return self.rows.get((table, key))

    def read_table(self, table: str) -> dict[str, StoredRow]:
        """Return all rows of a table by key."""
        self.n_reads += 1
        return {row.row_key[1]: row for row in self.rows.select("table", table)}

    def run_transaction(self, conditions: list[Any], writes: list[Any]) -> bool:
        """Write all rows if each condition names the current version of its row.

        Returns:
            Whether the rows were written.
        """
        self.n_writes += 1
        for condition in conditions:
            row = self.rows.get((condition["table"], condition["key"]))
            if (row.version if row else 0) != condition["version"]:
                return False
        for write in writes:
            key = (write["table"], write["key"])
            old_row = self.rows.get(key)
            version = old_row.version + 1 if old_row else 1
            self.rows.put(StoredRow(key, key[0], version, write["value"]))
        return True


class PlatformStandin:
    """Serves a ``PlatformStore`` over HTTP.

    Args:
        reactor: Twisted reactor, which delays answers.
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.store = PlatformStore()
        self.faults = Faults(is_down=False, delay_s=0.0, n_lost_replies=0)

    @app.route("/faults", methods=["PUT"])
    def set_faults(self, request: Any) -> bytes:
        """Change the faults named in the request and return all of them."""
        self.faults.update(msgspec.json.decode(request.content.read()))
        return msgspec.json.encode(self.faults)

    @app.route("/statistics", methods=["GET"])
    def statistics(self, request: Any) -> bytes:
        """Return how many reads and writes the store has served."""
        counts = {"n_reads": self.store.n_reads, "n_writes": self.store.n_writes}
        return msgspec.json.encode(counts)

    @app.route("/vms", methods=["GET"])
    def list_vms(self, request: Any) -> Any:
        """Return the list of VMs."""
        self.store.n_reads += 1
        return self._answer(request, 200, {"vms": self.store.vms})

    @app.route("/vms", methods=["PUT"])
    def set_vms(self, request: Any) -> bytes:
        """Replace the list of VMs."""
        self.store.vms = msgspec.json.decode(request.content.read())
        return b"{}"

    @app.route("/tables/<string:table>/rows/<path:key>", methods=["GET"])
    def read_row(self, request: Any, table: str, key: str) -> Any:
        """Return a row and its version."""
        if self.faults["is_down"]:
            return self._answer(request, STATUS_UNAVAILABLE, {})
        row = self.store.read_row(table, key)
        if row is None:
            return self._answer(request, STATUS_NOT_FOUND, {})
        return self._answer(request, 200, make_row_document(row))

    @app.route("/tables/<string:table>/rows", methods=["GET"])
    def read_table(self, request: Any, table: str) -> Any:
        """Return all rows of a table."""
        if self.faults["is_down"]:
            return self._answer(request, STATUS_UNAVAILABLE, {})
        rows = self.store.read_table(table)
        document = {key: make_row_document(row) for key, row in rows.items()}
        return self._answer(request, 200, document)

    @app.route("/transactions", methods=["POST"])
    def run_transaction(self, request: Any) -> Any:
        """Run a transaction; answer 409 if a condition is not met."""
        if self.faults["is_down"]:
            return self._answer(request, STATUS_UNAVAILABLE, {})
        document = msgspec.json.decode(request.content.read())
        is_written = self.store.run_transaction(
            document["conditions"], document["writes"]
        )
        if is_written and self.faults["n_lost_replies"] > 0:
            self.faults["n_lost_replies"] -= 1
            return self._answer(request, STATUS_UNAVAILABLE, {})
        return self._answer(request, 200 if is_written else STATUS_CONFLICT, {})

    @app.route("/objects/<path:name>", methods=["GET"])
    def read_object(self, request: Any, name: str) -> Any:
        """Return an object."""
        if self.faults["is_down"]:
            return self._answer(request, STATUS_UNAVAILABLE, {})
        self.store.n_reads += 1
        body = self.store.objects.get(name)
        if body is None:
            return self._answer(request, STATUS_NOT_FOUND, {})
        return body

    @app.route("/objects/<path:name>", methods=["PUT"])
    def write_object(self, request: Any, name: str) -> Any:
        """Write an object."""
        if self.faults["is_down"]:
            return self._answer(request, STATUS_UNAVAILABLE, {})
        self.store.n_writes += 1
        self.store.objects[name] = request.content.read()
        return self._answer(request, 200, {})

    def _answer(self, request: Any, status: int, document: Any) -> Any:
        if self.faults["is_down"]:
            status = STATUS_UNAVAILABLE
            document = {}
        request.setResponseCode(status)
        body = msgspec.json.encode(document)
        if not self.faults["delay_s"]:
            return body
        return deferLater(self._reactor, self.faults["delay_s"], lambda: body)
