"""Markdown report on the folder of a run."""

from collections import Counter
from pathlib import Path

import msgspec

from tools.soak.checks import checks
from tools.soak.records import (
    HISTORY_FILE,
    PLAN_FILE,
    VIOLATIONS_FILE,
    History,
    Violation,
    read_plan,
)

VIOLATIONS_MAX = 20


def make_report(folder: Path) -> str:
    """Return the plan, outcomes and violations of a run as Markdown.

    Raises:
        OSError: If the folder lacks a file of a run.
    """
    plan = read_plan(folder / PLAN_FILE)
    history = msgspec.json.decode((folder / HISTORY_FILE).read_bytes(), type=History)
    violations = msgspec.json.decode(
        (folder / VIOLATIONS_FILE).read_bytes(), type=list[Violation]
    )
    statuses = Counter(call.status for call in history.calls)
    n_found = Counter(violation.check for violation in violations)
    lines = [
        f"# Soak, seed {plan.seed}, {plan.duration_s:g} s",
        "",
        f"- accounts: {'yes' if plan.has_accounts else 'no'}",
        f"- requests: {len(history.calls)}; runs: {len(history.runs)}",
        "- statuses (0 for no answer): "
        + ", ".join(f"{status}: {n}" for status, n in sorted(statuses.items())),
        f"- memory of a VM, most: "
        f"{max((row.resident_mb for row in history.memory), default=0):.0f} MB",
        "",
        "| Fault at s | Fault | Target | Length s |",
        "| --- | --- | --- | --- |",
        *(
            f"| {step.at_s:.1f} | {step.fault} | {step.target} | {step.length_s:.1f} |"
            for step in plan.steps
        ),
        "",
        "| Check | Violations |",
        "| --- | --- |",
        *(f"| {name} | {n_found[name]} |" for name in checks),
        "",
    ]
    for violation in violations[:VIOLATIONS_MAX]:
        lines.append(f"- {violation.check} {violation.subject}: {violation.detail}")
    return "\n".join(lines)
