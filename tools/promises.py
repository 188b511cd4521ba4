"""Prints how often each guarantee is violated without and with its mechanism.

The mechanism is the part of the system that upholds the guarantee under a failure.
"""

import typer

from burdockhitch.tests.scenarios import cases, count_broken


def main() -> None:
    """Run every case without and with its mechanism and print both counts."""
    for name in cases:
        case = cases[name]
        n_without = count_broken(case, has_mechanism=False)
        n_with = count_broken(case, has_mechanism=True)
        typer.echo(
            f"{name:20} {n_without:5} {n_with:5}  {case.guarantee}: {case.failure}"
        )


if __name__ == "__main__":
    typer.run(main)
