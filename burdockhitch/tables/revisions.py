"""The rules revision in force and the confirmations that it is the newest.

A revision is a numbered version of the rules text.
"""

from typing import NamedTuple

from burdockhitch.tables.table import Table


class RevisionRow(NamedTuple):
    """The rules revision in force on this VM, the only row of its table.

    Attributes:
        singleton_key: Primary key, always ``"in_force"``.
        number: Number of the revision; the first one is 1.
        body_hash: Hash of the rules text, not compressed.
        text: Rules text in UTF-8, compressed with zlib.
        applied_at_s: Monotonic time at which this VM put the revision in force.
    """

    singleton_key: str
    number: int
    body_hash: str
    text: bytes
    applied_at_s: float


class RevisionConfirmationRow(NamedTuple):
    """A source that reported no newer revision than the one in force on this VM.

    Attributes:
        source: Name of a VM, or ``platform``. The row ``confirmed`` is no source: it
            is added once enough sources reported, and this VM may serve the revision.
    """

    source: str


def make_revisions() -> Table[RevisionRow]:
    """Return an empty table for the rules revision in force."""
    return Table(RevisionRow, key="singleton_key")


def make_revision_confirmations() -> Table[RevisionConfirmationRow]:
    """Return an empty table of confirmations by source."""
    return Table(RevisionConfirmationRow, key="source")
