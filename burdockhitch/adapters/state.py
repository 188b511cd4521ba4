"""Dumps the tables of a VM, without bodies and headers, which may be secret."""

import sys
from typing import Any

import msgspec

from burdockhitch import __version__
from burdockhitch.messages import Answer, RequestMessage
from burdockhitch.tables.table import Table
from burdockhitch.world import World

DUMP_VERSION = 1
# Rows of callers' connections are many under load, and metrics give their sums.
OMITTED_TABLES = frozenset({"outbox", "inbox", "caller_connections"})


def _redact(value: Any) -> Any:
    if isinstance(value, RequestMessage):
        return {"method": value.method, "path": value.path}
    if isinstance(value, Answer):
        return {"status": value.status, "n_body_bytes": len(value.body)}
    if isinstance(value, bytes):
        return {"n_bytes": len(value)}
    if hasattr(value, "_asdict"):
        return {name: _redact(item) for name, item in value._asdict().items()}
    return value


def dump_table(table: Table[Any]) -> list[dict[str, Any]]:
    """Return the rows of a table without bodies and headers."""
    return [_redact(row) for row in table]


def dump_state(world: World) -> dict[str, Any]:
    """Return the tables of a VM, except ``OMITTED_TABLES``, with version and time."""
    now = world.clock.now()
    tables = {
        name: dump_table(table)
        for name, table in world._asdict().items()
        if isinstance(table, Table) and name not in OMITTED_TABLES
    }
    return {
        "dump_version": DUMP_VERSION,
        "program_version": __version__,
        "utc": now.utc.isoformat(),
        "monotonic_s": now.monotonic_s,
        "vm": world.local._asdict(),
        "tables": tables,
    }


def encode_state(world: World) -> bytes:
    """Return the state dump as JSON."""
    return msgspec.json.encode(dump_state(world), enc_hook=str)


def write_dump(world: World) -> None:
    """Write the state dump to standard error."""
    sys.stderr.write(encode_state(world).decode() + "\n")
