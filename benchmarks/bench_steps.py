"""Scores of the scheduling policies on seeded days of both sites."""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from sequoiachute.replay.comparison import (
    DayComparison,
    compare,
    format_table,
    play_day,
)
from sequoiachute.replay.policies import POLICIES
from sequoiachute.replay.site import load_site

SITES = Path(__file__).resolve().parent.parent / "examples" / "replay"
DAYS = 200
PROCESSES = 4  # half the cores of the machine of the published figures


def _play_seed(task: tuple[str, int]) -> DayComparison:
    path, seed = task
    return play_day(load_site(path), seed, POLICIES)


def main() -> None:
    """Print a table for each site."""
    for path in sorted(SITES.glob("*.yaml")):
        tasks = [(str(path), seed) for seed in range(DAYS)]
        days = []
        with ProcessPoolExecutor(PROCESSES) as pool:
            for day in pool.map(_play_seed, tasks, chunksize=4):
                days.append(day)
                if sys.stderr.isatty():
                    print(f"\r{path.stem}: {len(days)} days", end="", file=sys.stderr)
        print(f"\n### {path.stem}\n")
        print(format_table(compare(days), days), flush=True)


if __name__ == "__main__":
    main()
