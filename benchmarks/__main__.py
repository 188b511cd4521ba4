"""Runs the benchmarks, prints their results as a table and writes them as JSON."""

import json
from pathlib import Path
from typing import Annotated

import typer

from benchmarks import (  # noqa: F401  importing fills the registry
    control,
    decisions,
    detection,
    ejection,
    footprint,
    latency,
    peak,
    quotas,
    takeover,
    utilisation,
)
from benchmarks.results import benchmarks

DEFAULT_PATH = Path("build/benchmarks.json")


def main(
    only: Annotated[list[str] | None, typer.Option(help="Benchmarks to run.")] = None,
    path: Annotated[Path, typer.Option(help="Where to write JSON.")] = DEFAULT_PATH,
) -> None:
    """Run all benchmarks, or those named by ``--only``."""
    rows = []
    for name in only or benchmarks.names():
        for row in benchmarks[name]():
            rows.append(row._asdict())
            typer.echo(
                f"{row.benchmark:16} {row.case:58} {row.value:14.2f} "
                f"{row.unit:16} target {row.target}"
            )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
