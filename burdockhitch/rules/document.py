"""Parses and checks a rules file; a file with any invalid line is rejected.

The floor of a service is its minimum of healthy slots; a window is hours in which a
service has another floor.
"""

import difflib
import hashlib
from typing import Any, NamedTuple

from burdockhitch.errors import (
    RulesContradictionError,
    RulesDuplicateError,
    RulesError,
    RulesFileError,
)
from burdockhitch.rules.kinds import rule_kinds
from burdockhitch.rules.lines import RuleLine, decode_rules, split_line
from burdockhitch.rules.options import unexpected_word
from burdockhitch.tables.backend_servers import BackendServerRow
from burdockhitch.tables.routes import RateLimitRow, RouteRow, WindowRow
from burdockhitch.tables.services import ServiceRow

MAX_ERRORS = 20


class RulesDocument(NamedTuple):
    """The rows that a rules file defines."""

    services: tuple[ServiceRow, ...]
    servers: tuple[BackendServerRow, ...]
    routes: tuple[RouteRow, ...]
    limits: tuple[RateLimitRow, ...]
    windows: tuple[WindowRow, ...]


def hash_rules(body: bytes) -> str:
    """Return the hash that names a rules text in the object store."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _parse_rule(rule: RuleLine) -> Any:
    kind = rule.words[0]
    names = rule_kinds.names()
    if kind.text not in rule_kinds:
        raise unexpected_word(rule.line, kind, f"one of {', '.join(names)}", names)
    return rule_kinds[kind.text](rule)


def _check_duplicates(rows: list[Any]) -> list[RulesError]:
    """Return an error for each row with the type and primary key of an earlier row."""
    errors: list[RulesError] = []
    first_rows: dict[tuple[type, str], Any] = {}
    for row in rows:
        first = first_rows.setdefault((type(row), row[0]), row)
        if first is row:
            continue
        expected = f"no second definition; line {first.line} ({first.requester}) has it"
        errors.append(RulesDuplicateError(row.line, 1, row[0], expected))
    return errors


def _check_services(document: RulesDocument) -> list[RulesError]:
    """Return an error for each row that refers to an undefined service."""
    names = [service.service for service in document.services]
    known_names = set(names)
    errors: list[RulesError] = []
    rows: list[Any] = [*document.servers, *document.routes, *document.windows]
    for row in rows:
        if row.service in known_names:
            continue
        matches = difflib.get_close_matches(row.service, names, n=1)
        expected = "a service that a service rule defines"
        suggestion = matches[0] if matches else ""
        errors.append(RulesError(row.line, 1, row.service, expected, suggestion))
    return errors


def _check_floors(document: RulesDocument) -> list[RulesError]:
    """Return an error for each floor above the slots of its servers not draining."""
    n_slots: dict[str, int] = {}
    for server in document.servers:
        if not server.is_draining:
            n_slots[server.service] = n_slots.get(server.service, 0) + server.n_slots
    errors: list[RulesError] = []
    rows: list[Any] = [*document.services, *document.windows]
    for row in rows:
        capacity = n_slots.get(row.service, 0)
        if row.floor_slots > capacity:
            found = f"floor={row.floor_slots}slots"
            expected = f"at most the {capacity} slots of its serving servers"
            errors.append(RulesContradictionError(row.line, 1, found, expected))
    return errors


def _check_windows(document: RulesDocument) -> list[RulesError]:
    """Return an error for each window whose floor is below that of its service."""
    errors: list[RulesError] = []
    services = {service.service: service for service in document.services}
    for window in document.windows:
        service = services.get(window.service)
        if service is not None and window.floor_slots < service.floor_slots:
            found = f"floor={window.floor_slots}slots"
            expected = (
                f"at least the floor of line {service.line} "
                f"({service.floor_slots}slots, {service.requester})"
            )
            errors.append(RulesContradictionError(window.line, 1, found, expected))
    return errors


def _group_rows(rows: list[Any]) -> RulesDocument:
    """Group the rows by type, each group in the order of the file."""

    def rows_of(row_type: type[Any]) -> tuple[Any, ...]:
        return tuple(row for row in rows if isinstance(row, row_type))

    return RulesDocument(
        rows_of(ServiceRow),
        rows_of(BackendServerRow),
        rows_of(RouteRow),
        rows_of(RateLimitRow),
        rows_of(WindowRow),
    )


def parse_rules(body: bytes) -> RulesDocument:
    """Parse and check a rules file.

    Checks across lines run only if every line is valid by itself.

    Args:
        body: Content of the file.

    Raises:
        RulesFileError: If the file is invalid, with up to ``MAX_ERRORS`` errors.
    """
    try:
        text = decode_rules(body)
    except RulesError as error:
        raise RulesFileError((error,)) from None
    rows = []
    errors: list[RulesError] = []
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            rule = split_line(number, line)
            if rule is not None:
                rows.append(_parse_rule(rule))
        except RulesError as error:
            errors.append(error)
    if not errors:
        document = _group_rows(rows)
        errors += _check_duplicates(rows)
        errors += _check_services(document)
        errors += _check_floors(document)
        errors += _check_windows(document)
    if errors:
        raise RulesFileError(tuple(errors[:MAX_ERRORS]))
    return document
