"""One seeded day: who works how fast, what arrives and what goes wrong."""

import random
from math import exp
from typing import NamedTuple

from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from sequoiachute.replay.site import Kind, Site, Spread

SERVICE = "replayed"
LABEL = "fitted"  # on every other worker
GUARANTEE_STEPS = 8  # accelerators of a worker, which guarantees come in
SLOW_FACTOR = (0.1, 0.25)  # what is left of a slow worker's speed
TROUBLE_SECONDS = (3.0, 8.0)
OUTAGE_SECONDS = (2.0, 6.0)
BACK_SECONDS = (3.0, 15.0)
BURST_SECONDS = 4.0
BURST_FACTOR = 2.5  # times the usual rate of one kind
CANCEL_SECONDS = (1.0, 12.0)


class Arrival(NamedTuple):
    """A job as its caller knows it.

    ``seconds`` lists, for each step, what each task takes on the typical
    worker. ``failures`` gives, by step and index, the shares of that after
    which the first runs of a task fail by its own fault. ``hopeless`` jobs
    fail as often as they may.
    """

    at: float
    job: JobGraph
    kind: Kind
    zone: int
    seconds: tuple[tuple[float, ...], ...]
    failures: dict[tuple[int, int], tuple[float, ...]]
    hopeless: bool
    cancel_at: float | None


class Machine(NamedTuple):
    """A worker and its true speed against the typical one."""

    name: str
    zone: int
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    speed: float


class Trouble(NamedTuple):
    """Something that goes wrong from ``at`` until ``until``.

    ``kind`` is a field of the site's troubles, ``target`` a worker's or zone's
    number.
    """

    kind: str
    at: float
    until: float
    target: int
    factor: float = 1.0


class Day(NamedTuple):
    """Everything that happens whatever is decided."""

    machines: tuple[Machine, ...]
    arrivals: tuple[Arrival, ...]
    troubles: tuple[Trouble, ...]
    guarantees: tuple[int, ...]


def draw_day(site: Site, seed: int) -> Day:
    """Return the day with this seed; the same seed gives the same day."""
    rng = random.Random(seed)
    machines = tuple(
        _machine(site, number, rng) for number in range(site.workers.count)
    )
    troubles = _troubles(site, rng)
    arrivals: list[Arrival] = []
    for kind in site.kinds:
        for at in _times(site, kind, rng):
            arrivals.append(_arrival(site, kind, at, len(arrivals), machines, rng))
    arrivals.sort(key=lambda arrival: arrival.at)
    accounts = site.accounts
    sure = accounts.guaranteed * site.workers.count * site.workers.gpus
    each = int(sure / accounts.count / GUARANTEE_STEPS) * GUARANTEE_STEPS
    return Day(machines, tuple(arrivals), troubles, (each,) * accounts.count)


def _machine(site: Site, number: int, rng: random.Random) -> Machine:
    workers = site.workers
    zone = number % workers.zones
    rack = f"z{zone}-r{number // workers.zones // workers.per_rack}"
    labels = (LABEL,) if number % 2 == 0 else ()
    room = Resources(workers.cores * 1000, workers.memory_mb, workers.gpus)
    return Machine(f"w{number}", zone, rack, labels, room, rng.choice(workers.speeds))


def _times(site: Site, kind: Kind, rng: random.Random) -> list[float]:
    times = []
    at = 0.0
    while True:
        at += rng.expovariate(kind.per_second * site.load)
        if at > site.seconds:
            break
        times.append(at)
    if rng.random() < site.troubles.bursts / len(site.kinds):
        begin = rng.uniform(0, site.seconds)
        extra = kind.per_second * site.load * BURST_SECONDS * (BURST_FACTOR - 1)
        for _ in range(round(extra + rng.random())):
            times.append(begin + rng.uniform(0, BURST_SECONDS))
    return sorted(times)


def _draw(spread: Spread, rng: random.Random) -> float:
    sigma = spread.spread
    drawn = spread.mean * exp(rng.gauss(-sigma * sigma / 2, sigma))
    return min(drawn, spread.most)


def _arrival(
    site: Site,
    kind: Kind,
    at: float,
    number: int,
    machines: tuple[Machine, ...],
    rng: random.Random,
) -> Arrival:
    steps, seconds = [], []
    gang = rng.random() < kind.gang
    shape = {
        "gang": gang,
        "same_rack": gang and rng.random() < kind.same_rack,
        "checkpoints": rng.random() < kind.checkpoints,
        "label": LABEL if rng.random() < kind.label else "",
        "per_worker": 2 if not gang and rng.random() < kind.spread_out else 0,
    }
    if rng.random() < kind.data_rack:
        shape["data_rack"] = rng.choice(machines).rack
    need = Resources(int(kind.cores * 1000), kind.memory_mb, rng.choice(kind.gpus))
    for index in range(max(1, round(_draw(kind.steps, rng)))):
        count = max(1, round(_draw(kind.tasks, rng)))
        if shape["same_rack"]:
            count = min(count, site.workers.per_rack)
        mean = _draw(kind.seconds, rng)
        works = tuple(mean * exp(rng.gauss(0, kind.uneven)) for _ in range(count))
        if gang:
            works = (mean,) * count
        declared = mean * exp(rng.gauss(0, kind.estimate_off))
        after = (index - 1,) if index else ()
        steps.append(StepSpec(count, need, declared, after=after, **shape))
        seconds.append(works)
    job = JobGraph(
        job_id=f"j{kind.name}-{number}",
        account=f"a{_account(site, rng)}",
        queue=kind.name,
        service=SERVICE,
        payload="",
        steps=tuple(steps),
        priority=kind.priority,
        attempts=kind.attempts,
        stretch=kind.stretch,
        slo_seconds=kind.slo_seconds,
    )
    cancel_at = None
    if rng.random() < kind.cancel:
        cancel_at = at + rng.uniform(*CANCEL_SECONDS)
    failures = _failures(kind, job, rng)
    hopeless = any(len(shares) >= kind.attempts for shares in failures.values())
    zone = rng.randrange(site.workers.zones)
    return Arrival(at, job, kind, zone, tuple(seconds), failures, hopeless, cancel_at)


def _failures(
    kind: Kind, job: JobGraph, rng: random.Random
) -> dict[tuple[int, int], tuple[float, ...]]:
    """Draw which tasks fail by their own fault; one member stands for a gang."""
    found = {}
    if rng.random() < kind.hopeless:
        found[(0, 0)] = tuple(rng.random() for _ in range(kind.attempts))
    for number, step in enumerate(job.steps):
        for index in range(1 if step.gang else step.count):
            if (number, index) not in found and rng.random() < kind.error_share:
                found[(number, index)] = (rng.random(),)
    return found


def _account(site: Site, rng: random.Random) -> int:
    """Return an account; the first ones send more."""
    accounts = site.accounts
    weights = [(index + 1) ** -accounts.skew for index in range(accounts.count)]
    return rng.choices(range(accounts.count), weights)[0]


def _troubles(site: Site, rng: random.Random) -> tuple[Trouble, ...]:
    found = []
    workers = range(site.workers.count)
    zones = range(site.workers.zones)
    spans = {
        "slow": (TROUBLE_SECONDS, workers),
        "failing": (TROUBLE_SECONDS, workers),
        "hanging": (TROUBLE_SECONDS, workers),
        "lost": (BACK_SECONDS, workers),
        "leaving": (BACK_SECONDS, workers),
        "closed_zones": (TROUBLE_SECONDS, zones),
        "outages": (OUTAGE_SECONDS, (0,)),
    }
    for kind, (seconds, targets) in spans.items():
        for _ in range(_poisson(getattr(site.troubles, kind), rng)):
            at = rng.uniform(1.0, site.seconds)
            until = at + rng.uniform(*seconds)
            factor = rng.uniform(*SLOW_FACTOR)
            found.append(Trouble(kind, at, until, rng.choice(targets), factor))
    return tuple(sorted(found, key=lambda trouble: trouble.at))


def _poisson(mean: float, rng: random.Random) -> int:
    count, at = 0, rng.expovariate(1.0)
    while at < mean:
        count += 1
        at += rng.expovariate(1.0)
    return count
