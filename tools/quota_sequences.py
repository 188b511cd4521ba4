"""Runs random sequences of faults in simulated fleets under quotas.

Prints the first seeds whose sequence violates a bound, at most ``MAX_REPORTS``, and the
number of all of them.
"""

import random
import sys
import time
from typing import Annotated

import typer

from burdockhitch.tests.quota_sequences import (
    QuotaFleet,
    SmallFleet,
    draw_quota_steps,
    run_quota_sequence,
)

STEPS_PER_SEQUENCE = 12
MAX_REPORTS = 10


def main(
    n_sequences: Annotated[
        int, typer.Option("--count", help="Number of sequences.")
    ] = 10_000,
    first_seed: Annotated[int, typer.Option("--seed", help="First seed.")] = 1,
    limit_s: Annotated[
        float, typer.Option("--limit", help="Seconds after which none is started.")
    ] = 1e9,
    all_systems: Annotated[
        bool, typer.Option("--all-systems", help="Run all systems of each VM.")
    ] = False,
) -> None:
    """Run the sequences; the exit code is 1 if any violated a bound."""
    started_s = time.perf_counter()
    n_run = n_violating = 0
    for seed in range(first_seed, first_seed + n_sequences):
        if time.perf_counter() - started_s > limit_s:
            break
        steps = draw_quota_steps(random.Random(seed), STEPS_PER_SEQUENCE)
        fleet_type = QuotaFleet if all_systems else SmallFleet
        violations = run_quota_sequence(seed, steps, fleet_type)
        n_run += 1
        if violations:
            n_violating += 1
            if n_violating <= MAX_REPORTS:
                typer.echo(f"seed {seed}: {violations}")
    elapsed_s = time.perf_counter() - started_s
    typer.echo(f"{n_run} sequences, {n_violating} broken, {elapsed_s:.0f} s")
    sys.exit(1 if n_violating else 0)


if __name__ == "__main__":
    typer.run(main)
