"""Seeded arrivals and fleets at the sizes that are measured."""

import random
from typing import NamedTuple

from benchmarks.replay import Arrival
from sequoiachute.protocol.catalogue import Catalogue, Shape
from sequoiachute.protocol.records import JobSpec
from standins.fleet import FakeFleet, Rack, new_job

HOUR = 3600.0


class Kind(NamedTuple):
    """Jobs that are alike.

    ``share`` is their part of all arrivals, ``seconds`` the median of their
    run times and ``spread`` the deviation of its logarithm.
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


class Site(NamedTuple):
    """A fleet, its catalogue and what arrives there."""

    name: str
    racks: tuple[Rack, ...]
    catalogue: Catalogue
    kinds: tuple[Kind, ...]
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

BRIEF = Kind("small", "interactive", 0.7, (1,), (1, 1, 1, 2), "worker", 300, 0.8, 0.3)
GANG = Kind("gang", "batch", 0.06, (2, 2, 3), (4, 8), "rack", 1200, 0.7, 0.8)
MIDDLE = Kind("middle", "batch", 0.21, (1,), (2, 4), "worker", 900, 0.7, 0.8)
URGENT = Kind("urgent", "urgent", 0.03, (1,), (1, 2), "worker", 60, 0.5, 0.0)


def site_catalogue() -> Catalogue:
    """Return four client accounts, a few of them large."""
    return {
        "classes": CLASSES,
        "data_centres": {"dc1": {"region": "r"}, "dc2": {"region": "r"}},
        "accounts": {
            "a": _account(3.0, [{"accelerators": 16, "within": "rack"}], 8),
            "b": _account(2.0, [{"accelerators": 8, "within": "worker"}]),
            "c": _account(1.0, [{"accelerators": 4, "within": "worker"}]),
            "d": _account(1.0, []),
        },
    }


def _account(weight: float, guarantees: list[Shape], per_worker: int = 0):
    if per_worker:
        guarantees[0]["per_worker"] = per_worker
    return {
        "owner": "operators",
        "job_class": "batch",
        "weight": weight,
        "guarantees": guarantees,
    }


MILCHSCHAUM = Site(
    "milchschaum", SITE_RACKS, site_catalogue(), (BRIEF, GANG, MIDDLE, URGENT), 0.2, 8
)
BROCACH = Site(
    "brocach",
    SITE_RACKS,
    site_catalogue(),
    (
        BRIEF._replace(share=0.66),
        GANG._replace(share=0.1, tasks=(1, 2, 2, 3), accelerators=(8,)),
        MIDDLE._replace(share=0.21),
        URGENT,
    ),
    0.8,
    8,
)


def large_site(workers: int = 670) -> Site:
    """Return 250 client accounts on 670 workers with 744 accelerators.

    Fewer or more workers carry guarantees in proportion.
    """
    catalogue: Catalogue = {"classes": CLASSES, "data_centres": {}, "accounts": {}}
    for index in range(250):
        guarantees: list[Shape] = []
        if index < 6 * workers // 670:
            guarantees = [{"accelerators": 8, "within": "worker"}]
        elif index < 60 * workers // 670:
            guarantees = [{"accelerators": 4, "within": "rack"}]
        catalogue["accounts"][f"a{index:03}"] = _account(1 + index % 3, guarantees)
    rows = (
        ("small", "interactive", 0.5, (1, 2, 4), (0, 0, 1), "data_centre", 9000),
        ("gang", "batch", 0.1, (8, 16, 32, 64), (0, 1), "data_centre", 9000),
        ("middle", "batch", 0.35, (4, 8, 16, 32), (0,), "data_centre", 24_000),
        ("whole", "batch", 0.02, (1,), (4, 8), "worker", 9000),
        ("urgent", "urgent", 0.03, (1,), (0, 1), "worker", 120),
    )
    kinds = tuple(Kind(*row, 0.7, 0.6) for row in rows)
    return Site(
        "large", large_racks(workers), catalogue, kinds, 0.5, 12, wake_seconds=60.0
    )


def large_racks(workers: int) -> tuple[Rack, ...]:
    """Return seven data centres: a tenth as many large workers in one rack each."""
    racks = []
    for centre in range(7):
        count = workers * (centre + 1) // 7 - workers * centre // 7
        racks.append(Rack(f"dc{centre}", "big", 2, 8 if centre < 5 else 2, 1.5, "fast"))
        left = count - 2
        rack = 0
        while left > 0:
            speed = (0.7, 1.0, 1.3)[rack % 3]
            racks.append(Rack(f"dc{centre}", f"r{rack}", min(left, 12), 1, speed))
            left -= 12
            rack += 1
    return tuple(racks)


def arrivals_of(
    site: Site, load: float, seed: int, jobs: int | None = None
) -> list[Arrival]:
    """Return arrivals that ask for ``load`` of the accelerators, in order.

    With ``jobs`` that many arrive, whatever they ask for. A fifth of the
    arrivals comes in bursts, and declared run times are off by a factor that
    each account keeps and a random one.
    """
    rng = random.Random(seed)
    fleet = FakeFleet(list(site.racks))
    power = sum(w.accelerators * w.speed for w in fleet.workers.values())
    asked = load * power * site.hours * HOUR
    drawn = []
    while (asked > 0) if jobs is None else (len(drawn) < jobs):
        kind = rng.choices(site.kinds, [kind.share for kind in site.kinds])[0]
        seconds = min(
            4 * kind.seconds, rng.lognormvariate(0, kind.spread) * kind.seconds
        )
        spec = _spec(kind, rng)
        asked -= spec["tasks"] * spec["accelerators"] * seconds
        drawn.append((kind, spec, seconds))
    times = _times(len(drawn), site.hours * HOUR, rng)
    accounts = sorted(site.catalogue["accounts"])
    weights = [1 / (1 + index) for index in range(len(accounts))]
    factors = {account: rng.lognormvariate(0, 0.7) for account in accounts}
    arrivals = []
    for index, (kind, spec, seconds) in enumerate(drawn):
        account = rng.choices(accounts, weights)[0]
        spec["run_seconds"] = seconds * factors[account] * rng.lognormvariate(0, 0.4)
        name = f"{site.name}-{index}"
        job = new_job(name, account, spec, kind.job_class, times[index])
        arrivals.append(Arrival(job, seconds, kind.name))
    return arrivals


def _spec(kind: Kind, rng: random.Random) -> JobSpec:
    return {
        "tasks": rng.choice(kind.tasks),
        "accelerators": rng.choice(kind.accelerators),
        "within": kind.within,
        "run_seconds": 0.0,
        "payload": "",
        "checkpointable": rng.random() < kind.checkpointable,
    }


def _times(count: int, span: float, rng: random.Random) -> list[float]:
    """Return ``count`` times, a fifth of them in bursts of about ten."""
    times = []
    while len(times) < count:
        at = rng.uniform(0, span)
        burst = 10 if rng.random() < 0.025 else 1
        for _ in range(burst):
            times.append(at + rng.uniform(0, 5) * (burst > 1))
    return sorted(times[:count])
