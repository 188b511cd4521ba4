from typing import NamedTuple

import pytest

from burdockhitch.errors import DuplicateKeyError, MissingKeyError
from burdockhitch.tables.table import Table


class Row(NamedTuple):
    name: str
    zone: str
    due_s: float


def make_table():
    table = Table(Row, key="name", indexes=("zone",), sorted_fields=("due_s",))
    for row in (Row("a", "x", 3.0), Row("b", "x", 1.0), Row("c", "y", 2.0)):
        table.insert(row)
    return table


@pytest.mark.parametrize(
    ("change", "names_in_x", "first"),
    [
        (lambda table: None, ["a", "b"], "b"),
        (lambda table: table.replace(Row("b", "y", 9.0)), ["a"], "c"),
        (lambda table: table.remove("b"), ["a"], "c"),
        (lambda table: table.put(Row("d", "x", 0.5)), ["a", "b", "d"], "d"),
        (lambda table: table.put(Row("a", "x", 0.1)), ["a", "b"], "a"),
        (lambda table: table.discard("missing"), ["a", "b"], "b"),
        (lambda table: table.clear(), [], None),
    ],
)
def test_indexes_follow_changes(change, names_in_x, first):
    table = make_table()
    change(table)
    assert [row.name for row in table.select("zone", "x")] == names_in_x
    assert table.count("zone", "x") == len(names_in_x)
    row = table.first("due_s")
    assert (row.name if row else None) == first


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (lambda table: table.insert(Row("a", "x", 1.0)), DuplicateKeyError),
        (lambda table: table.replace(Row("z", "x", 1.0)), MissingKeyError),
        (lambda table: table.remove("z"), MissingKeyError),
        (lambda table: table.fetch("z"), MissingKeyError),
    ],
)
def test_misuse_raises_a_typed_error(change, error):
    with pytest.raises(error):
        change(make_table())
