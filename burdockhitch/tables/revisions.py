"""The rules revision in force and the confirmations that it is the newest."""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RevisionRow(NamedTuple):
    """The rules revision in force on this VM, the only row of its table.

    Attributes:
        singleton_key: Primary key, always ``"in_force"``.
        number: Number of the revision, from 1.
        body_hash: Hash of the rules text.
        text: Rules text, compressed with zlib.
        applied_at_s: Monotonic time at which this VM put it in force.
    """

    singleton_key: str
    number: int
    body_hash: str
    text: bytes
    applied_at_s: float


class RevisionConfirmationRow(NamedTuple):
    """A source that knew of no newer revision than the one in force here.

    Attributes:
        source: Name of a VM or ``platform``; the row ``confirmed`` is added once
            there are enough sources to serve the revision.
    """

    source: str


def make_revisions() -> Table[RevisionRow]:
    """Return an empty table for the rules revision in force."""
    return Table(RevisionRow, key="singleton_key")


def make_revision_confirmations() -> Table[RevisionConfirmationRow]:
    """Return an empty table of confirmations."""
    return Table(RevisionConfirmationRow, key="source")
