"""A table of ``NamedTuple`` rows with a primary key and declared indexes."""

from collections.abc import Callable, Iterator
from operator import itemgetter
from typing import Any, Generic, NamedTuple, TypeVar

from sortedcontainers import SortedSet

from burdockhitch.errors import DuplicateKeyError, MissingKeyError

Row = TypeVar("Row", bound=tuple[Any, ...])


class _Index(NamedTuple):
    field: Callable[[Any], Any]
    keys_by_value: dict[Any, dict[Any, None]]


class _Order(NamedTuple):
    field: Callable[[Any], Any]
    entries: SortedSet


class Table(Generic[Row]):
    """Rows by primary key.

    Args:
        row_type: The ``NamedTuple`` class of the rows.
        key: Field that is the primary key.
        indexes: Fields to look rows up by.
        orders: Fields whose smallest value is asked for.
    """

    def __init__(
        self,
        row_type: type[Row],
        key: str,
        indexes: tuple[str, ...] = (),
        orders: tuple[str, ...] = (),
    ) -> None:
        fields: tuple[str, ...] = row_type._fields  # type: ignore[attr-defined]
        self.row_type = row_type
        self._key = itemgetter(fields.index(key))
        self._rows: dict[Any, Row] = {}
        self._indexes = {
            name: _Index(itemgetter(fields.index(name)), {}) for name in indexes
        }
        self._orders = {
            name: _Order(itemgetter(fields.index(name)), SortedSet()) for name in orders
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
            DuplicateKeyError: If the primary key is taken.
        """
        key = self._key(row)
        if key in self._rows:
            raise DuplicateKeyError(key)
        self._rows[key] = row
        for index in self._indexes.values():
            index.keys_by_value.setdefault(index.field(row), {})[key] = None
        for order in self._orders.values():
            order.entries.add((order.field(row), key))

    def replace(self, row: Row) -> None:
        """Put a row in the place of the one with the same primary key.

        Raises:
            MissingKeyError: If no row has this key.
        """
        key = self._key(row)
        try:
            old = self._rows[key]
        except KeyError:
            raise MissingKeyError(key) from None
        self._rows[key] = row
        for index in self._indexes.values():
            self._move(index, key, index.field(old), index.field(row))
        for order in self._orders.values():
            if order.field(old) != order.field(row):
                order.entries.discard((order.field(old), key))
                order.entries.add((order.field(row), key))

    def put(self, row: Row) -> None:
        """Insert the row, or replace the one with the same primary key."""
        if self._key(row) in self._rows:
            self.replace(row)
        else:
            self.insert(row)

    def remove(self, key: Any) -> Row:
        """Take a row out and return it.

        Raises:
            MissingKeyError: If no row has this key.
        """
        try:
            row = self._rows.pop(key)
        except KeyError:
            raise MissingKeyError(key) from None
        for index in self._indexes.values():
            self._drop(index, key, index.field(row))
        for order in self._orders.values():
            order.entries.discard((order.field(row), key))
        return row

    def discard(self, key: Any) -> None:
        """Take a row out if there is one."""
        if key in self._rows:
            self.remove(key)

    def clear(self) -> None:
        """Take all rows out."""
        for key in list(self._rows):
            self.remove(key)

    def get(self, key: Any) -> Row | None:
        """Return the row with this primary key, if any."""
        return self._rows.get(key)

    def fetch(self, key: Any) -> Row:
        """Return the row with this primary key.

        Raises:
            MissingKeyError: If no row has this key.
        """
        try:
            return self._rows[key]
        except KeyError:
            raise MissingKeyError(key) from None

    def select(self, index_name: str, value: Any) -> list[Row]:
        """Return the rows whose indexed field has this value, oldest first."""
        keys = self._indexes[index_name].keys_by_value.get(value)
        if not keys:
            return []
        rows = self._rows
        return [rows[key] for key in keys]

    def count(self, index_name: str, value: Any) -> int:
        """Return how many rows have this value in an indexed field."""
        return len(self._indexes[index_name].keys_by_value.get(value, ()))

    def values(self, index_name: str) -> list[Any]:
        """Return the distinct values of an indexed field."""
        return list(self._indexes[index_name].keys_by_value)

    def first(self, order_name: str) -> Row | None:
        """Return the row with the smallest value in an ordered field."""
        entries = self._orders[order_name].entries
        if not entries:
            return None
        return self._rows[entries[0][1]]

    @staticmethod
    def _drop(index: _Index, key: Any, value: Any) -> None:
        keys = index.keys_by_value[value]
        del keys[key]
        if not keys:
            del index.keys_by_value[value]

    def _move(self, index: _Index, key: Any, old: Any, new: Any) -> None:
        if old == new:
            return
        self._drop(index, key, old)
        index.keys_by_value.setdefault(new, {})[key] = None
