"""Connections of callers, and what this VM holds for each of them.

The load that this module handles is callers that send more than they should.
"""

from enum import StrEnum
from typing import NamedTuple

from burdockhitch.tables.table import Table

# Memory of a connection without a request: objects of its protocol, its transport and
# its row.
CONNECTION_BYTES = 8 * 1024
# Memory of a parsed header field, beside its bytes, measured with 490 fields of five
# bytes: up to 220 bytes while it is parsed, and as much when it is decoded.
FIELD_BYTES = 450


class Door(StrEnum):
    """Ports of a VM, by who connects to them."""

    CALLERS = "callers"
    DIRECTORY = "directory"
    ADMIN = "admin"


class Phase(StrEnum):
    """What a connection is waiting for.

    Attributes:
        IDLE: A request.
        HEAD: The rest of a head.
        BODY: The rest of a body.
        ANSWER: This VM's answer.
        UNREAD: The caller, to read an answer.
        CLOSING: The end of what a refused caller still sends, which is discarded.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    UNREAD = "unread"
    CLOSING = "closing"


class HeldBytes(NamedTuple):
    """Memory that a connection takes, by use.

    Attributes:
        head: Head of the request, with its parsed fields.
        body: Body of the request as far as it has arrived, unless it is large.
        large_body: Reserved for a large body, arrived or announced; 0 for a small one.
        waiting: Bytes of further requests that were sent ahead.
        unread: Bytes of answers that the kernel hasn't taken yet.
    """

    head: int = 0
    body: int = 0
    large_body: int = 0
    waiting: int = 0
    unread: int = 0


class CallerConnectionRow(NamedTuple):
    """One open connection of a caller.

    Attributes:
        connection_id: Number of the connection in this process.
        door: Port that it was opened at.
        phase: What it is waiting for.
        phase_since_s: Monotonic time of the start of the phase.
        moved_at_s: Monotonic time of the last byte that was read or written.
        n_moved_bytes: Bytes read or written in this phase.
        held: Memory that it takes.
    """

    connection_id: int
    door: Door
    phase: Phase
    phase_since_s: float
    moved_at_s: float
    n_moved_bytes: int = 0
    held: HeldBytes = HeldBytes()

    @property
    def n_held_bytes(self) -> int:
        """Memory that it takes, without that of a large body."""
        held = self.held
        return CONNECTION_BYTES + held.head + held.body + held.waiting + held.unread


def make_caller_connections() -> Table[CallerConnectionRow]:
    """Return an empty table of callers' connections."""
    return Table(CallerConnectionRow, key="connection_id", indexes=("door",))
