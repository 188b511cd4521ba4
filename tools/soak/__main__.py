"""Command line: ``run`` a seed, ``replay`` a plan, ``report`` on a folder."""

import shutil
import sys
from pathlib import Path
from typing import Annotated

import typer

from tools.soak.plans import draw_plan
from tools.soak.records import Plan, read_plan
from tools.soak.report import make_report
from tools.soak.runner import play

# Exit codes of ``run`` and ``replay``.
EXIT_VIOLATION = 1
EXIT_BROKEN_OFF = 2

app = typer.Typer(help=__doc__, add_completion=False)


def _play_and_exit(plan: Plan, parent: Path | None) -> None:
    """Play a plan, print the report, and keep the folder unless all checks held."""
    result = play(plan, parent)
    typer.echo(make_report(result.folder))
    if result.error:
        typer.echo(f"run broke off: {result.error}\nkept: {result.folder}")
        sys.exit(EXIT_BROKEN_OFF)
    if result.violations:
        typer.echo(f"kept: {result.folder}")
        sys.exit(EXIT_VIOLATION)
    shutil.rmtree(result.folder)


Parent = Annotated[
    Path | None, typer.Option("--folder", help="Where the folder of the run is made.")
]


@app.command()
def run(
    seed: Annotated[int, typer.Option(help="Fixes the plan and the requests.")],
    duration_s: Annotated[float, typer.Option("--seconds", help="Seconds.")] = 30.0,
    parent: Parent = None,
) -> None:
    """Draw a plan from a seed and play it."""
    _play_and_exit(draw_plan(seed, duration_s), parent)


@app.command()
def replay(
    path: Annotated[Path, typer.Argument(help="plan.json of a run.")],
    parent: Parent = None,
) -> None:
    """Play a plan again."""
    _play_and_exit(read_plan(path), parent)


@app.command()
def report(path: Annotated[Path, typer.Argument(help="Folder of a run.")]) -> None:
    """Print what a run showed."""
    typer.echo(make_report(path))


if __name__ == "__main__":
    app()
