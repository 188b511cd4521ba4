"""Prints how often each promise is broken without and with its mechanism."""

import typer

from burdockhitch.tests.scenarios import cases, count_broken


def main() -> None:
    """Run every case twice and print one line for each."""
    for name in cases:
        case = cases[name]
        without = count_broken(case, has_mechanism=False)
        with_it = count_broken(case, has_mechanism=True)
        typer.echo(f"{name:20} {without:5} {with_it:5}  {case.promise}: {case.failure}")


if __name__ == "__main__":
    typer.run(main)
