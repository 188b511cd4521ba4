"""Events for the systems, commands for the adapters, and counters."""

from typing import Any, NamedTuple

from burdockhitch.tables.table import Table


class InboxRow(NamedTuple):
    """An event that no system has processed yet.

    Attributes:
        sequence: Position in the order of arrival.
        kind: Class name of the event.
        event: One of the types of ``burdockhitch.events``.
    """

    sequence: int
    kind: str
    event: Any


class OutboxRow(NamedTuple):
    """A command that no adapter has run yet.

    Attributes:
        sequence: Position in the order of the commands.
        kind: Class name of the command.
        command: One of the types of ``burdockhitch.commands``.
    """

    sequence: int
    kind: str
    command: Any


class CounterRow(NamedTuple):
    """A metrics counter, or the last number given out by a named sequence.

    Attributes:
        key: ``(name, label, value of the label)``; the last two are empty for a
            counter without a label and for a sequence.
        value: Current count, or the last number given out.
    """

    key: tuple[str, str, str]
    value: int


def make_inbox() -> Table[InboxRow]:
    """Return an empty inbox."""
    return Table(InboxRow, key="sequence", indexes=("kind",))


def make_outbox() -> Table[OutboxRow]:
    """Return an empty outbox."""
    return Table(OutboxRow, key="sequence")


def make_counters() -> Table[CounterRow]:
    """Return an empty table of counters or sequences."""
    return Table(CounterRow, key="key")
