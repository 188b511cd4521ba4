"""The revision in force and who confirmed it."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RevisionRow(NamedTuple):
    """The revision in force on this VM; the table holds at most one.

    Attributes:
        slot: Always ``"in_force"``.
        number: Number of the revision, from 1.
        body_hash: Hash of the rules text.
        text: Rules text, compressed.
        applied_at_s: Monotonic time at which it came in force here.
    """

    slot: str
    number: int
    body_hash: str
    text: bytes
    applied_at_s: float


class ConfirmationRow(NamedTuple):
    """Somebody who knew of no newer revision than the one in force here.

    Attributes:
        source: Name of a VM, ``platform``, or ``confirmed`` once it is enough.
    """

    source: str


def make_revisions() -> Table[RevisionRow]:
    """Return an empty table for the revision in force."""
    return Table(RevisionRow, key="slot")


def make_confirmations() -> Table[ConfirmationRow]:
    """Return an empty table of confirmations."""
    return Table(ConfirmationRow, key="source")
