"""Runs seeds of the soak and prints a line for each.

``python -m soak --seeds 50`` draws fresh seeds; ``--first N`` plays N and the
seeds after it again.
"""

import random
import sys
from typing import Annotated

import typer

from soak.trial import Trial, Verdict

FRESH_SEEDS = 1_000_000


def main(
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds.")] = 5,
    first: Annotated[int, typer.Option(help="The first seed; fresh ones if -1.")] = -1,
    seconds: Annotated[float, typer.Option(help="Faults go on so long.")] = 20.0,
    workers: Annotated[int, typer.Option(min=3, help="Workers and agents.")] = 4,
) -> None:
    """Play seeds one after another; fail if a promise was broken."""
    start = first if first >= 0 else random.SystemRandom().randrange(FRESH_SEEDS)
    failed = 0
    for seed in range(start, start + seeds):
        verdict = Trial(seed, seconds, workers).run()
        print(describe(verdict), flush=True)
        failed += bool(verdict.broken)
    sys.exit(1 if failed else 0)


def describe(verdict: Verdict) -> str:
    """Return one line for a seed, and one for each kind of broken promise."""
    lines = [
        f"seed {verdict.seed}: {verdict.faults} faults, {verdict.calls} calls, "
        f"{verdict.answered} answered, {verdict.jobs} jobs, "
        f"{'BROKEN' if verdict.broken else 'kept'}"
    ]
    for name, found in verdict.broken.items():
        lines.append(f"  {name}: {len(found)}, such as {found[0]}")
    return "\n".join(lines)


if __name__ == "__main__":
    typer.run(main)
