"""Tests what the program of the platform's entry VMs loads before it serves."""

import os
import subprocess
import sys

import pytest

from burdockhitch.exits import EXIT_FAILED, EXIT_INVALID_INPUT
from burdockhitch.front_ends import SETTINGS_FILE_VARIABLE
from tools import fleet as tool

# No machine has this address (RFC 5737), so the start ends where it would listen.
UNUSABLE_ADDRESS = "192.0.2.1:23411"
SETTINGS = """[vm]
vm_id = front-1
zone = a
region = r
caller_address = {caller}
message_address = {message}
admin_address = {admin}
[platform]
address = {store}
[policies]
sending = direct
[direct]
directory_address = {directory}
readiness_address = {readiness}
"""
NAMES = ("message", "admin", "store", "directory", "readiness")


def run_program(environment, *options):
    return subprocess.run(
        [sys.executable, *options, "-m", "burdockhitch.platform"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.fixture(scope="module")
def start(tmp_path_factory):
    """Return the result of a start that ends at the last listener."""
    addresses = dict(zip(NAMES, tool.find_free_addresses(len(NAMES)), strict=True))
    path = tmp_path_factory.mktemp("start") / "node.ini"
    path.write_text(SETTINGS.format(caller=UNUSABLE_ADDRESS, **addresses))
    environment = {**os.environ, SETTINGS_FILE_VARIABLE: str(path)}
    return run_program(environment, "-X", "importtime")


@pytest.fixture(scope="module")
def imported_modules(start):
    lines = [line for line in start.stderr.splitlines() if "import time:" in line]
    return {line.rpartition("|")[2].strip() for line in lines}


def test_the_start_gets_as_far_as_listening(start, imported_modules):
    assert start.returncode == EXIT_FAILED
    assert UNUSABLE_ADDRESS in start.stderr
    assert "twisted.internet.reactor" in imported_modules


@pytest.mark.parametrize(
    "name",
    [
        "burdockhitch.command",
        "burdockhitch.adapters.admin",
        "burdockhitch.systems.owned",
        "burdockhitch.systems.windows",
        "typer",
        "pydantic",
        "rich",
        "importlib.metadata",
        "klein",
        "werkzeug",
        "aioprometheus",
        "treq",
        "zmq",
    ],
)
def test_restarting_vms_load_no_libraries_that_serving_does_not_need(
    imported_modules, name
):
    loaded = {
        module for module in imported_modules if f"{module}.".startswith(f"{name}.")
    }
    assert not loaded


@pytest.mark.parametrize("path", [None, "", "missing-file"])
def test_a_start_without_settings_file_is_invalid_input(path):
    environment = {**os.environ, SETTINGS_FILE_VARIABLE: path or ""}
    if path is None:
        del environment[SETTINGS_FILE_VARIABLE]
    result = run_program(environment)
    assert result.returncode == EXIT_INVALID_INPUT
    assert (path or SETTINGS_FILE_VARIABLE) in result.stderr


def read_system_order(mode, *modules):
    """Return the systems of a mode in order, after importing modules in order."""
    program = (
        f"import {', '.join(modules)}\n"
        "from burdockhitch.systems import phases\n"
        f"for system in phases._ordered_systems({mode!r}):\n"
        "    print(system.__module__, system.__name__)\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return result.stdout.splitlines()


@pytest.mark.parametrize(
    ("mode", "modules"),
    [
        ("owned", ["burdockhitch.adapters.daemon"]),
        ("owned", ["burdockhitch.systems.windows", "burdockhitch.systems.owned"]),
        ("owned", ["burdockhitch.systems.direct", "burdockhitch.systems.owned"]),
        ("direct", ["burdockhitch.platform.daemon"]),
        ("direct", ["burdockhitch.systems.owned", "burdockhitch.systems.direct"]),
        ("direct", ["burdockhitch.platform.daemon", "burdockhitch.adapters.admin"]),
    ],
)
def test_systems_run_in_the_same_order_whatever_was_imported_before(mode, modules):
    order = read_system_order(mode, *modules)
    assert order
    assert order == read_system_order(mode, f"burdockhitch.systems.{mode}")
