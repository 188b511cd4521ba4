"""What arrived and what is to be sent."""

from typing import Any, NamedTuple

from burdockhitch.tables.table import Table


class InboxRow(NamedTuple):
    """An event that no system has taken yet.

    Attributes:
        sequence: Order of arrival.
        kind: Name of the event's type.
        event: One of the types of ``burdockhitch.events``.
    """

    sequence: int
    kind: str
    event: Any


class OutboxRow(NamedTuple):
    """A command that no adapter has taken yet.

    Attributes:
        sequence: Order of the commands.
        kind: Name of the command's type.
        command: One of the types of ``burdockhitch.commands``.
    """

    sequence: int
    kind: str
    command: Any


class CounterRow(NamedTuple):
    """A count for the metrics.

    Attributes:
        key: ``(name, label, value of the label)``.
        n_events: How often it happened.
    """

    key: tuple[str, str, str]
    n_events: int


def make_inbox() -> Table[InboxRow]:
    """Return an empty inbox."""
    return Table(InboxRow, key="sequence", indexes=("kind",))


def make_outbox() -> Table[OutboxRow]:
    """Return an empty outbox."""
    return Table(OutboxRow, key="sequence")


def make_counters() -> Table[CounterRow]:
    """Return an empty table of counters."""
    return Table(CounterRow, key="key")
