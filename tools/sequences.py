"""Runs random sequences of requests and faults on simulated fleets.

Prints the first seeds whose sequence violates a guarantee, at most ``MAX_REPORTS``, and
the number of all of them.
"""

import random
import sys
import time
from typing import Annotated

import typer

from burdockhitch.tests.fleets import SUDURLAND, VASTKUST
from burdockhitch.tests.steps import draw_steps, run_sequence

DEPLOYMENTS = (VASTKUST, SUDURLAND)
STEPS_PER_SEQUENCE = 40
MAX_REPORTS = 10


def main(
    n_sequences: Annotated[
        int, typer.Option("--count", help="Number of sequences.")
    ] = 10_000,
    first_seed: Annotated[int, typer.Option("--seed", help="First seed.")] = 1,
) -> None:
    """Run the sequences; the exit code is 1 if any violated a guarantee."""
    started_s = time.perf_counter()
    n_violating = 0
    for seed in range(first_seed, first_seed + n_sequences):
        steps = draw_steps(random.Random(seed), STEPS_PER_SEQUENCE)
        deployment = DEPLOYMENTS[seed % len(DEPLOYMENTS)]
        violations = run_sequence(deployment, seed, steps)
        if violations:
            n_violating += 1
            if n_violating <= MAX_REPORTS:
                typer.echo(f"seed {seed}: {violations}")
    elapsed_s = time.perf_counter() - started_s
    typer.echo(f"{n_sequences} sequences, {n_violating} broken, {elapsed_s:.0f} s")
    sys.exit(1 if n_violating else 0)


if __name__ == "__main__":
    typer.run(main)
