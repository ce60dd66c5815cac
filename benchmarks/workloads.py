"""Draws seeded arrivals and defines the fleets of the placement benchmarks."""

import random
from typing import NamedTuple

from benchmarks.replay import ReplayedJob
from sequoiachute.protocol.catalogue import Catalogue, Shape
from sequoiachute.protocol.records import JobSpec
from standins.fleet import FakeFleet, Rack, new_job

HOUR = 3600.0


class WorkloadKind(NamedTuple):
    """A class of jobs drawn from the same distributions.

    ``share`` is their share of all arrivals, ``seconds`` the median of their
    log-normal run times and ``spread`` the standard deviation of the logarithm.
    ``checkpointable`` is the share of jobs that save checkpoints.
    """

    name: str
    job_class: str
    share: float
    tasks: tuple[int, ...]
    accelerators: tuple[int, ...]
    within: str
    seconds: float
    spread: float
    checkpointable: float


class BenchmarkSite(NamedTuple):
    """A fleet, its catalogue and the kinds of jobs that arrive there."""

    name: str
    racks: tuple[Rack, ...]
    catalogue: Catalogue
    kinds: tuple[WorkloadKind, ...]
    weight: float
    hours: float
    wake_seconds: float = 10.0


CLASSES = {
    "urgent": {"priority": 9, "objective_seconds": 60.0, "urgent": True},
    "interactive": {"priority": 5, "objective_seconds": 600.0},
    "batch": {"priority": 5, "objective_seconds": 14_400.0},
}

SITE_RACKS = (
    Rack("dc1", "r1", 3, 8, 1.0),
    Rack("dc1", "r2", 1, 8, 0.6),
    Rack("dc2", "r1", 3, 8, 1.4),
    Rack("dc2", "r2", 1, 8, 1.0),
    Rack("dc3", "r1", 3, 8, 0.6),
)

SMALL = WorkloadKind(
    "small", "interactive", 0.7, (1,), (1, 1, 1, 2), "worker", 300, 0.8, 0.3
)
GANG = WorkloadKind("gang", "batch", 0.06, (2, 2, 3), (4, 8), "rack", 1200, 0.7, 0.8)
MIDDLE = WorkloadKind("middle", "batch", 0.21, (1,), (2, 4), "worker", 900, 0.7, 0.8)
URGENT = WorkloadKind("urgent", "urgent", 0.03, (1,), (1, 2), "worker", 60, 0.5, 0.0)


def create_site_catalogue() -> Catalogue:
    """Return a catalogue of four client accounts of different weights."""
    return {
        "classes": CLASSES,
        "data_centres": {"dc1": {"region": "r"}, "dc2": {"region": "r"}},
        "accounts": {
            "a": _create_account(3.0, [{"accelerators": 16, "within": "rack"}], 8),
            "b": _create_account(2.0, [{"accelerators": 8, "within": "worker"}]),
            "c": _create_account(1.0, [{"accelerators": 4, "within": "worker"}]),
            "d": _create_account(1.0, []),
        },
    }


def _create_account(weight: float, guarantees: list[Shape], per_worker: int = 0):
    if per_worker:
        guarantees[0]["per_worker"] = per_worker
    return {
        "owner": "operators",
        "job_class": "batch",
        "weight": weight,
        "guarantees": guarantees,
    }


MILCHSCHAUM = BenchmarkSite(
    "milchschaum",
    SITE_RACKS,
    create_site_catalogue(),
    (SMALL, GANG, MIDDLE, URGENT),
    0.2,
    8,
)
BROCACH = BenchmarkSite(
    "brocach",
    SITE_RACKS,
    create_site_catalogue(),
    (
        SMALL._replace(share=0.66),
        GANG._replace(share=0.1, tasks=(1, 2, 2, 3), accelerators=(8,)),
        MIDDLE._replace(share=0.21),
        URGENT,
    ),
    0.8,
    8,
)


def large_site(workers: int = 670) -> BenchmarkSite:
    """Return a site of 250 client accounts; 670 workers have 744 accelerators.

    The number of accounts with guarantees is in proportion to ``workers``.
    """
    catalogue: Catalogue = {"classes": CLASSES, "data_centres": {}, "accounts": {}}
    for index in range(250):
        guarantees: list[Shape] = []
        if index < 6 * workers // 670:
            guarantees = [{"accelerators": 8, "within": "worker"}]
        elif index < 60 * workers // 670:
            guarantees = [{"accelerators": 4, "within": "rack"}]
        catalogue["accounts"][f"a{index:03}"] = _create_account(
            1 + index % 3, guarantees
        )
    kind_rows = (
        ("small", "interactive", 0.5, (1, 2, 4), (0, 0, 1), "data_centre", 9000),
        ("gang", "batch", 0.1, (8, 16, 32, 64), (0, 1), "data_centre", 9000),
        ("middle", "batch", 0.35, (4, 8, 16, 32), (0,), "data_centre", 24_000),
        ("whole", "batch", 0.02, (1,), (4, 8), "worker", 9000),
        ("urgent", "urgent", 0.03, (1,), (0, 1), "worker", 120),
    )
    kinds = tuple(WorkloadKind(*row, 0.7, 0.6) for row in kind_rows)
    return BenchmarkSite(
        "large", large_racks(workers), catalogue, kinds, 0.5, 12, wake_seconds=60.0
    )


def large_racks(workers: int) -> tuple[Rack, ...]:
    """Return the racks of seven data centres, each with a rack of large workers."""
    racks = []
    for number in range(7):
        count = workers * (number + 1) // 7 - workers * number // 7
        racks.append(Rack(f"dc{number}", "big", 2, 8 if number < 5 else 2, 1.5, "fast"))
        remaining = count - 2
        rack = 0
        while remaining > 0:
            speed = (0.7, 1.0, 1.3)[rack % 3]
            racks.append(Rack(f"dc{number}", f"r{rack}", min(remaining, 12), 1, speed))
            remaining -= 12
            rack += 1
    return tuple(racks)


def draw_arrivals(
    site: BenchmarkSite, load: float, seed: int, jobs: int | None = None
) -> list[ReplayedJob]:
    """Draw arrivals that need the share ``load`` of the accelerators, in order.

    If ``jobs`` is given, that many jobs arrive and ``load`` is ignored. A fifth
    of the arrivals come in bursts. Declared run times are off by a factor of
    the account and a random factor of the job.
    """
    rng = random.Random(seed)
    fleet = FakeFleet(list(site.racks))
    total_speed = sum(w.accelerators * w.speed for w in fleet.workers.values())
    remaining_work = load * total_speed * site.hours * HOUR
    drawn = []
    while (remaining_work > 0) if jobs is None else (len(drawn) < jobs):
        kind = rng.choices(site.kinds, [kind.share for kind in site.kinds])[0]
        seconds = min(
            4 * kind.seconds, rng.lognormvariate(0, kind.spread) * kind.seconds
        )
        spec = _draw_spec(kind, rng)
        remaining_work -= spec["tasks"] * spec["accelerators"] * seconds
        drawn.append((kind, spec, seconds))
    times = _draw_arrival_times(len(drawn), site.hours * HOUR, rng)
    accounts = sorted(site.catalogue["accounts"])
    weights = [1 / (1 + index) for index in range(len(accounts))]
    estimate_factors = {account: rng.lognormvariate(0, 0.7) for account in accounts}
    arrivals = []
    for index, (kind, spec, seconds) in enumerate(drawn):
        account = rng.choices(accounts, weights)[0]
        spec["run_seconds"] = (
            seconds * estimate_factors[account] * rng.lognormvariate(0, 0.4)
        )
        job_id = f"{site.name}-{index}"
        job = new_job(job_id, account, spec, kind.job_class, times[index])
        arrivals.append(ReplayedJob(job, seconds, kind.name))
    return arrivals


def _draw_spec(kind: WorkloadKind, rng: random.Random) -> JobSpec:
    return {
        "tasks": rng.choice(kind.tasks),
        "accelerators": rng.choice(kind.accelerators),
        "within": kind.within,
        "run_seconds": 0.0,
        "payload": "",
        "checkpointable": rng.random() < kind.checkpointable,
    }


def _draw_arrival_times(count: int, span: float, rng: random.Random) -> list[float]:
    """Draw ``count`` times in order, a fifth of them in bursts of ten."""
    times = []
    while len(times) < count:
        at = rng.uniform(0, span)
        burst = 10 if rng.random() < 0.025 else 1
        for _ in range(burst):
            times.append(at + rng.uniform(0, 5) * (burst > 1))
    return sorted(times[:count])
