"""Runs the soak test for a series of seeds and prints a line for each.

``python -m soak --seeds 50`` starts at a random seed; ``--first N`` repeats seed N
and those after it.
"""

import random
import sys
from pathlib import Path
from typing import Annotated

import typer

from soak.plan import FAULT_KINDS, WORKER_FAULT_KINDS
from soak.trial import Trial, TrialResult

RANDOM_SEED_LIMIT = 1_000_000


def main(
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 5,
    first: Annotated[int, typer.Option(help="First seed; random if -1.")] = -1,
    seconds: Annotated[float, typer.Option(help="Duration of the faults.")] = 20.0,
    workers: Annotated[
        int, typer.Option(min=3, help="Number of workers, each with an agent.")
    ] = 4,
    kinds: Annotated[
        str,
        typer.Option(help="Kinds of faults, by commas; repeated ones are likelier."),
    ] = ",".join(FAULT_KINDS + WORKER_FAULT_KINDS),
    keep: Annotated[
        Path | None, typer.Option(help="Folder for the evidence of violations.")
    ] = None,
) -> None:
    """Run seeds one after another; exit with 1 if any violates a guarantee."""
    start = first if first >= 0 else random.SystemRandom().randrange(RANDOM_SEED_LIMIT)
    failed = 0
    for seed in range(start, start + seeds):
        result = Trial(seed, seconds, workers, tuple(kinds.split(",")), keep).run()
        print(describe(result), flush=True)
        failed += bool(result.violations)
    sys.exit(1 if failed else 0)


def describe(result: TrialResult) -> str:
    """Return a line for the seed, and one for each kind of violation."""
    lines = [
        f"seed {result.seed}: {result.faults} faults, {result.calls} calls, "
        f"{result.answered} answered, {result.jobs} jobs, "
        f"{'FAILED' if result.violations else 'passed'}"
    ]
    for kind, found in result.violations.items():
        lines.append(f"  {kind}: {len(found)}, such as {found[0]}")
    return "\n".join(lines)


if __name__ == "__main__":
    typer.run(main)
