"""Runs the tests; failures of tests that KNOWN-RED.txt lists count as skipped.

The file has one test a line: the test's node id as pytest prints it, then ``|`` and
the command, the seed, what was seen and the issue. Lines that begin with ``#`` are
comments.
"""

import sys
from pathlib import Path

import pytest
import typer

KNOWN_FAILURES_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def parse_known_failures(text: str) -> dict[str, str]:
    """Return the text after ``|`` of each listed test by its node id."""
    descriptions = {}
    for line in text.splitlines():
        name, separator, description = line.partition("|")
        if separator and not line.startswith("#"):
            descriptions[name.strip()] = description.strip()
    return descriptions


class KnownFailuresPlugin:
    """Pytest plug-in that reports failures of listed tests as skipped.

    Args:
        descriptions: Text on each listed failure, by the node id of the test.
    """

    def __init__(self, descriptions: dict[str, str]) -> None:
        self.descriptions = descriptions
        self.outcomes: dict[str, str] = {}

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item):  # type: ignore[no-untyped-def]
        """Record the outcome of a listed test and report a failure as skipped."""
        result = yield
        report = result.get_result()
        if item.nodeid not in self.descriptions or report.when != "call":
            return
        self.outcomes[item.nodeid] = report.outcome
        if report.failed:
            report.outcome = "skipped"
            # Skipped reports hold a path, a line and a reason.
            report.longrepr = (
                __file__,
                0,
                f"known red: {self.descriptions[item.nodeid]}",
            )


def main() -> None:
    """Run pytest and print the outcome of every listed test."""
    descriptions = (
        parse_known_failures(KNOWN_FAILURES_PATH.read_text("utf-8"))
        if KNOWN_FAILURES_PATH.exists()
        else {}
    )
    plugin = KnownFailuresPlugin(descriptions)
    exit_code = pytest.main([], plugins=[plugin])
    for name, description in descriptions.items():
        outcome = plugin.outcomes.get(name, "not run")
        outcome_text = (
            "passes now; remove it from the list" if outcome == "passed" else outcome
        )
        typer.echo(f"KNOWN-RED {name}: {outcome_text}: {description}")
    sys.exit(int(exit_code))


if __name__ == "__main__":
    main()
