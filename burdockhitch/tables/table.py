"""An in-memory table of ``NamedTuple`` rows with a primary key and indexes."""

from collections.abc import Callable, Iterator
from operator import itemgetter
from typing import Any, Generic, NamedTuple, TypeVar

from sortedcontainers import SortedSet

from burdockhitch.errors import DuplicateKeyError, MissingKeyError

Row = TypeVar("Row", bound=tuple[Any, ...])


class _HashIndex(NamedTuple):
    get_value: Callable[[Any], Any]
    keys_by_value: dict[Any, dict[Any, None]]


class _SortedIndex(NamedTuple):
    get_value: Callable[[Any], Any]
    entries: SortedSet


class Table(Generic[Row]):
    """Rows of one type by primary key.

    Iteration runs over a copy of the rows, so the loop may change the table.

    Args:
        row_type: The ``NamedTuple`` class of the rows.
        key: Name of the primary key field.
        indexes: Names of the fields that ``select``, ``count`` and ``values`` accept.
        sorted_fields: Names of the fields kept in sorted order for ``first``.
    """

    def __init__(
        self,
        row_type: type[Row],
        key: str,
        indexes: tuple[str, ...] = (),
        sorted_fields: tuple[str, ...] = (),
    ) -> None:
        fields: tuple[str, ...] = row_type._fields  # type: ignore[attr-defined]
        self.row_type = row_type
        self._key = itemgetter(fields.index(key))
        self._rows: dict[Any, Row] = {}
        self._indexes = {
            name: _HashIndex(itemgetter(fields.index(name)), {}) for name in indexes
        }
        self._sorted_indexes = {
            name: _SortedIndex(itemgetter(fields.index(name)), SortedSet())
            for name in sorted_fields
        }

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Row]:
        return iter(list(self._rows.values()))

    def __contains__(self, key: object) -> bool:
        return key in self._rows

    def insert(self, row: Row) -> None:
        """Add a row.

        Raises:
            DuplicateKeyError: If the table already has a row with this primary key.
        """
        key = self._key(row)
        if key in self._rows:
            raise DuplicateKeyError(key)
        self._rows[key] = row
        for index in self._indexes.values():
            index.keys_by_value.setdefault(index.get_value(row), {})[key] = None
        for sorted_index in self._sorted_indexes.values():
            sorted_index.entries.add((sorted_index.get_value(row), key))

    def replace(self, row: Row) -> None:
        """Replace the row that has the same primary key.

        Raises:
            MissingKeyError: If no row has this primary key.
        """
        key = self._key(row)
        try:
            old = self._rows[key]
        except KeyError:
            raise MissingKeyError(key) from None
        self._rows[key] = row
        for index in self._indexes.values():
            self._update_index(index, key, index.get_value(old), index.get_value(row))
        for sorted_index in self._sorted_indexes.values():
            if sorted_index.get_value(old) != sorted_index.get_value(row):
                sorted_index.entries.discard((sorted_index.get_value(old), key))
                sorted_index.entries.add((sorted_index.get_value(row), key))

    def put(self, row: Row) -> None:
        """Insert a row, or replace the one that has the same primary key."""
        if self._key(row) in self._rows:
            self.replace(row)
        else:
            self.insert(row)

    def remove(self, key: Any) -> Row:
        """Remove the row with this primary key and return it.

        Raises:
            MissingKeyError: If no row has this key.
        """
        try:
            row = self._rows.pop(key)
        except KeyError:
            raise MissingKeyError(key) from None
        for index in self._indexes.values():
            self._remove_from_index(index, key, index.get_value(row))
        for sorted_index in self._sorted_indexes.values():
            sorted_index.entries.discard((sorted_index.get_value(row), key))
        return row

    def discard(self, key: Any) -> None:
        """Remove the row with this primary key, if any."""
        if key in self._rows:
            self.remove(key)

    def clear(self) -> None:
        """Remove all rows."""
        for key in list(self._rows):
            self.remove(key)

    def get(self, key: Any) -> Row | None:
        """Return the row with this primary key, or None."""
        return self._rows.get(key)

    def fetch(self, key: Any) -> Row:
        """Return the row with this primary key, which must exist.

        Raises:
            MissingKeyError: If no row has this key.
        """
        try:
            return self._rows[key]
        except KeyError:
            raise MissingKeyError(key) from None

    def select(self, field_name: str, value: Any) -> list[Row]:
        """Return the rows with this value in an indexed field.

        They are in the order in which they got this value.
        """
        keys = self._indexes[field_name].keys_by_value.get(value)
        if not keys:
            return []
        rows = self._rows
        return [rows[key] for key in keys]

    def count(self, field_name: str, value: Any) -> int:
        """Return the number of rows with this value in an indexed field."""
        return len(self._indexes[field_name].keys_by_value.get(value, ()))

    def values(self, field_name: str) -> list[Any]:
        """Return the distinct values of an indexed field."""
        return list(self._indexes[field_name].keys_by_value)

    def first(self, field_name: str) -> Row | None:
        """Return the row with the smallest value in a sorted field, or None.

        Of rows with equal values, it is the one with the smallest primary key.
        """
        entries = self._sorted_indexes[field_name].entries
        if not entries:
            return None
        return self._rows[entries[0][1]]

    @staticmethod
    def _remove_from_index(index: _HashIndex, key: Any, value: Any) -> None:
        keys = index.keys_by_value[value]
        del keys[key]
        if not keys:
            del index.keys_by_value[value]

    def _update_index(self, index: _HashIndex, key: Any, old: Any, new: Any) -> None:
        if old == new:
            return
        self._remove_from_index(index, key, old)
        index.keys_by_value.setdefault(new, {})[key] = None
