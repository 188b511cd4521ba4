"""Names that other processes, operators or stored data use must remain in the code.

A rename of an attribute changes a document when the document is made from the
attribute's name. ``outer_names.txt`` lists such names under plain headings.
"""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "burdockhitch"
NAME_LIST = (Path(__file__).parent / "outer_names.txt").read_text("utf-8")
WORD = re.compile(r"[\w-]+")

# Folders and files, relative to the package, that must contain the names of a heading.
PLACES = {
    "Headers of HTTP messages": ("adapters", "platform"),
    "Paths towards callers and the platform": (
        "adapters",
        "platform",
        "operators.py",
        "standins",
    ),
    "Paths towards operators": ("adapters/admin.py",),
    "Query parameters": ("platform",),
    "Fields of documents on the platform": ("platform/documents.py",),
    "Values of documents on the platform": ("platform/names.py",),
    "Fields of problem documents": ("problems.py",),
    "Values of problem documents": ("problems.py",),
    "Errors that refusals name": ("errors.py",),
    "Fields of address answers": ("adapters/callers.py",),
    "Kinds of messages between VMs": ("messages.py", "direct_messages.py"),
    "Values in messages between VMs": ("systems/direct", "tables/vms.py"),
    "Fields of documents in the table service": (
        "systems",
        "adapters/platform.py",
        "commands.py",
    ),
    "Sections of the settings": ("settings.py",),
    "Keys of the settings": ("settings.py",),
    "Values of the settings": ("systems", "settings.py"),
    "Words of the rules": ("rules", "operators.py"),
    "Front ends": ("front_ends.py",),
    "Counters": ("systems", "adapters", "platform"),
    "Labels of counters": ("systems", "adapters", "platform"),
    "Gauges": ("adapters/admin.py",),
    "Log events": ("systems", "adapters", "platform"),
    "Fields of log events": ("systems", "adapters", "platform", "tables", "log.py"),
    "States that logs and metrics show": ("tables", "events.py"),
    "Fields of requests and windows towards operators": (
        "adapters/admin.py",
        "tables",
        "systems/windows.py",
    ),
    "Top-level keys of the state dump": ("adapters/state.py",),
    "Fields of offered addresses": ("commands.py",),
    "Rows and objects in the table service": ("systems",),
    "States of claims": ("systems/claims.py",),
    "Values of labels": ("systems", "errors.py", "tables/timers.py", "adapters"),
    "Commands that a counter names": ("commands.py",),
    "Commands and flags of the program": ("command.py",),
    "Environment variables": ("command.py", "front_ends.py"),
    "Keys of the deploy file": ("../deploy/system.toml",),
    "Names in the settings template": ("../deploy/node.ini",),
}


def read_headings():
    """Return the listed names by heading."""
    names = {}
    for line in NAME_LIST.splitlines():
        if line.startswith("# "):
            heading = names.setdefault(line.removeprefix("# "), [])
        elif line:
            heading.append(line)
    return names


def find_files(place):
    """Return the files of a place, which is a file or a folder, without tests."""
    path = PACKAGE / place
    if path.is_dir():
        return sorted(file for file in path.rglob("*.py") if "tests" not in file.parts)
    return [path]


def names_in_node(node):
    """Return the names that a node can put into a document."""
    if isinstance(node, ast.Constant) and isinstance(node.value, (str, bytes)):
        text = node.value if isinstance(node.value, str) else node.value.decode()
        return {text, text.strip(), *WORD.findall(text)}
    if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
        name = node.target.id
        return {name, name.removesuffix("_s"), name.removesuffix("_bytes")}
    if isinstance(node, ast.keyword):
        return {node.arg}
    if isinstance(node, ast.ClassDef):
        return {node.name, node.name.removesuffix("Error")}
    if isinstance(node, ast.FunctionDef):
        arguments = {argument.arg for argument in node.args.args}
        return {node.name, *arguments}
    return set()


def strip_doc_comments(tree):
    """Remove doc comments from a syntax tree; they put nothing into a document."""
    for node in ast.walk(tree):
        body = getattr(node, "body", None)
        if isinstance(body, list):
            node.body = [
                child
                for child in body
                if not isinstance(child, ast.Expr)
                or not isinstance(child.value, ast.Constant)
            ]
    return tree


@cache
def names_in_place(place):
    """Return the names that the files of a place contain."""
    names = set()
    for path in find_files(place):
        text = path.read_text("utf-8")
        if path.suffix != ".py":
            names |= set(re.findall(r"[\w.]+", text)) | set(WORD.findall(text))
            continue
        for node in ast.walk(strip_doc_comments(ast.parse(text))):
            names |= names_in_node(node)
    return names


@pytest.mark.parametrize(("heading", "names"), read_headings().items())
def test_outer_names_stand_where_they_are_used(heading, names):
    found_names = set().union(*(names_in_place(place) for place in PLACES[heading]))
    assert [name for name in names if name not in found_names] == []


def test_every_place_has_a_heading():
    assert list(PLACES) == list(read_headings())
