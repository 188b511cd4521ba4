"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from burdockhitch.errors import UnknownNameError

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """Entries by name; the registry itself is the decorator that adds them.

    Args:
        name: What one entry is, for error messages.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._entries: dict[str, Entry] = {}

    def __call__(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that registers its argument under ``name``."""

        def register(entry: Entry) -> Entry:
            self._entries[name] = entry
            return entry

        return register

    def __getitem__(self, name: str) -> Entry:
        """Return the entry registered under ``name``.

        Raises:
            UnknownNameError: If nothing is registered under ``name``.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownNameError(self.name, name, self.names()) from None

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def names(self) -> tuple[str, ...]:
        """Return all names in the order of registration."""
        return tuple(self._entries)
