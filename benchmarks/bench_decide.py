"""Measures the time of one scheduling decision against workers and queued jobs."""

import random
import time

from sequoiachute.coordination.scheduling import (
    ActiveRun,
    Host,
    SchedulingUnit,
    SchedulingView,
    decide,
)
from sequoiachute.protocol.workload import Lifetime, Resources, StepSpec, TaskId

ROUNDS = 20
WORKERS_AND_JOBS = ((11, 20), (61, 60), (200, 300), (670, 1000))
RUNS_PER_WORKER = 6
WORKER_CAPACITY = Resources(32_000, 131_072, 8)


def create_view(workers: int, jobs: int, seed: int = 1) -> SchedulingView:
    """Return a site with most accelerators in use and ``jobs`` jobs queued."""
    rng = random.Random(seed)
    hosts = []
    for number in range(workers):
        runs = [_run(number, index, rng) for index in range(RUNS_PER_WORKER)]
        hosts.append(
            Host(
                name=f"h-{number}",
                lifetime=Lifetime(f"w-{number}", 1),
                service="render",
                zone=f"z-{number % 7}",
                rack=f"r-{number // 8}",
                labels=frozenset(("a", f"r-{number // 8}")),
                capacity=WORKER_CAPACITY,
                is_open=True,
                speed=rng.choice((0.6, 1.0, 1.6)),
                recent_failures=0,
                running=tuple(runs),
            )
        )
    units = [_unit(number, rng) for number in range(jobs)]
    return SchedulingView(1000.0, tuple(hosts), tuple(units))


def _run(worker: int, index: int, rng: random.Random) -> ActiveRun:
    return ActiveRun(
        task=TaskId(f"old-{worker}", 0, 0, index),
        run=1,
        need=Resources(2800, 8192, 1),
        priority=rng.choice((1, 2)),
        account="a",
        gang=False,
        remaining_seconds=rng.uniform(1, 20),
        unsaved_seconds=rng.uniform(0, 10),
        stopping=False,
        deadline=2000.0,
    )


def _unit(number: int, rng: random.Random) -> SchedulingUnit:
    count = rng.choice((1, 1, 2, 4, 8))
    step = StepSpec(
        count,
        Resources(3700, 15_000, rng.choice((1, 2, 4, 8))),
        rng.uniform(2, 20),
        gang=rng.random() < 0.3,
        same_rack=rng.random() < 0.2,
    )
    return SchedulingUnit(
        account="a",
        priority=rng.choice((0, 1, 1, 2, 2, 2)),
        deadline=1000.0 + rng.uniform(5, 60),
        chain_seconds=step.estimate_seconds,
        accepted_at=990.0,
        service="render",
        step=step,
        tasks=tuple(TaskId(f"new-{number}", 0, 0, index) for index in range(count)),
        avoided_hosts=frozenset(),
        placed_per_host={},
    )


def main() -> None:
    """Print a row for each number of workers and jobs."""
    print("| workers | queued jobs | decision p50 | largest of 20 |")
    print("|---|---|---|---|")
    for workers, jobs in WORKERS_AND_JOBS:
        times = []
        for seed in range(ROUNDS):
            view = create_view(workers, jobs, seed)
            began = time.perf_counter()
            decide(view)
            times.append((time.perf_counter() - began) * 1000)
        times.sort()
        median, largest = times[len(times) // 2], times[-1]
        print(f"| {workers} | {jobs} | {median:.1f} ms | {largest:.1f} ms |")


if __name__ == "__main__":
    main()
