"""Draws the machines, arrivals and faults of a simulated day from a seed."""

import random
from math import exp
from typing import NamedTuple

from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from sequoiachute.replay.site import JobKind, LogNormal, ReplaySite

SERVICE = "replayed"
FITTED_LABEL = "fitted"  # every second worker has it
GUARANTEE_UNIT = 8  # accelerators; guarantees are multiples of a worker's

# Ranges of uniform draws.
SLOW_SPEED_FACTORS = (0.1, 0.25)  # of a slow worker's speed
FAULT_SECONDS = (3.0, 8.0)
OUTAGE_SECONDS = (2.0, 6.0)
DOWNTIME_SECONDS = (3.0, 15.0)
CANCEL_DELAY_SECONDS = (1.0, 12.0)

BURST_SECONDS = 4.0
BURST_RATE_FACTOR = 2.5  # of the usual arrival rate of one kind


class JobArrival(NamedTuple):
    """A job with its arrival time and its true run times and failures.

    ``at`` and ``cancel_at`` are in seconds since the day began. ``seconds``
    lists the run time of each task of each step on the typical worker.
    ``failures`` gives, by step and task index, the shares of the run time
    after which the first runs of a task fail by its own fault. A ``hopeless``
    job fails in all its attempts.
    """

    at: float
    job: JobGraph
    kind: JobKind
    zone: int
    seconds: tuple[tuple[float, ...], ...]
    failures: dict[tuple[int, int], tuple[float, ...]]
    hopeless: bool
    cancel_at: float | None


class SimulatedMachine(NamedTuple):
    """A worker's machine; ``speed`` is relative to the typical worker."""

    name: str
    zone: int
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    speed: float


class Fault(NamedTuple):
    """A fault from ``at`` until ``until``, in seconds since the day began.

    ``kind`` is a field of ``FaultRates``, ``target`` the number of a worker or
    zone. ``factor`` multiplies the speed of a slow worker.
    """

    kind: str
    at: float
    until: float
    target: int
    factor: float = 1.0


class SimulatedDay(NamedTuple):
    """A day's inputs, which are the same for every policy.

    ``guarantees`` lists the accelerators guaranteed to each client account.
    """

    machines: tuple[SimulatedMachine, ...]
    arrivals: tuple[JobArrival, ...]
    faults: tuple[Fault, ...]
    guarantees: tuple[int, ...]


def draw_day(site: ReplaySite, seed: int) -> SimulatedDay:
    """Return the day with this seed; the same seed gives the same day."""
    rng = random.Random(seed)
    machines = tuple(
        _draw_machine(site, number, rng) for number in range(site.workers.count)
    )
    faults = _draw_faults(site, rng)
    arrivals: list[JobArrival] = []
    for kind in site.kinds:
        for at in _draw_arrival_times(site, kind, rng):
            arrivals.append(_draw_arrival(site, kind, at, len(arrivals), machines, rng))
    arrivals.sort(key=lambda arrival: arrival.at)
    accounts = site.accounts
    guaranteed = accounts.guaranteed * site.workers.count * site.workers.gpus
    per_account = int(guaranteed / accounts.count / GUARANTEE_UNIT) * GUARANTEE_UNIT
    return SimulatedDay(
        machines, tuple(arrivals), faults, (per_account,) * accounts.count
    )


def _draw_machine(
    site: ReplaySite, number: int, rng: random.Random
) -> SimulatedMachine:
    workers = site.workers
    zone = number % workers.zones
    rack = f"z{zone}-r{number // workers.zones // workers.per_rack}"
    labels = (FITTED_LABEL,) if number % 2 == 0 else ()
    capacity = Resources(workers.cores * 1000, workers.memory_mb, workers.gpus)
    return SimulatedMachine(
        f"w{number}", zone, rack, labels, capacity, rng.choice(workers.speeds)
    )


def _draw_arrival_times(
    site: ReplaySite, kind: JobKind, rng: random.Random
) -> list[float]:
    times = [0.0] * kind.standing
    at = site.lead_seconds
    while True:
        at += rng.expovariate(kind.per_second * site.load)
        if at > site.lead_seconds + site.seconds:
            break
        times.append(at)
    if rng.random() < site.troubles.bursts / len(site.kinds):
        burst_at = site.lead_seconds + rng.uniform(0, site.seconds)
        extra = kind.per_second * site.load * BURST_SECONDS * (BURST_RATE_FACTOR - 1)
        for _ in range(round(extra + rng.random())):
            times.append(burst_at + rng.uniform(0, BURST_SECONDS))
    return sorted(times)


def _draw_lognormal(distribution: LogNormal, rng: random.Random) -> float:
    sigma = distribution.spread
    drawn = distribution.mean * exp(rng.gauss(-sigma * sigma / 2, sigma))
    return min(drawn, distribution.most)


def _draw_arrival(
    site: ReplaySite,
    kind: JobKind,
    at: float,
    number: int,
    machines: tuple[SimulatedMachine, ...],
    rng: random.Random,
) -> JobArrival:
    steps, seconds = [], []
    gang = rng.random() < kind.gang
    constraints = {
        "gang": gang,
        "same_rack": gang and rng.random() < kind.same_rack,
        "checkpoints": rng.random() < kind.checkpoints,
        "label": FITTED_LABEL if rng.random() < kind.label else "",
        "per_worker": 2 if not gang and rng.random() < kind.spread_out else 0,
    }
    if rng.random() < kind.data_rack:
        constraints["data_rack"] = rng.choice(machines).rack
    need = Resources(int(kind.cores * 1000), kind.memory_mb, rng.choice(kind.gpus))
    for index in range(max(1, round(_draw_lognormal(kind.steps, rng)))):
        count = max(1, round(_draw_lognormal(kind.tasks, rng)))
        if constraints["same_rack"]:
            count = min(count, site.workers.per_rack)
        mean = _draw_lognormal(kind.seconds, rng)
        task_seconds = tuple(
            mean * exp(rng.gauss(0, kind.uneven)) for _ in range(count)
        )
        if gang:
            task_seconds = (mean,) * count
        estimate_seconds = mean * exp(rng.gauss(0, kind.estimate_off))
        after = (index - 1,) if index else ()
        steps.append(
            StepSpec(count, need, estimate_seconds, after=after, **constraints)
        )
        seconds.append(task_seconds)
    job = JobGraph(
        job_id=f"j{kind.name}-{number}",
        account=f"a{_draw_account(site, rng)}",
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
        cancel_at = at + rng.uniform(*CANCEL_DELAY_SECONDS)
    failures = _draw_failures(kind, job, rng)
    hopeless = any(len(shares) >= kind.attempts for shares in failures.values())
    zone = rng.randrange(site.workers.zones)
    return JobArrival(
        at, job, kind, zone, tuple(seconds), failures, hopeless, cancel_at
    )


def _draw_failures(
    kind: JobKind, job: JobGraph, rng: random.Random
) -> dict[tuple[int, int], tuple[float, ...]]:
    """Draw the tasks that fail by their own fault; task 0 stands for its gang."""
    drawn = {}
    if rng.random() < kind.hopeless:
        drawn[(0, 0)] = tuple(rng.random() for _ in range(kind.attempts))
    for number, step in enumerate(job.steps):
        for index in range(1 if step.gang else step.count):
            if (number, index) not in drawn and rng.random() < kind.error_share:
                drawn[(number, index)] = (rng.random(),)
    return drawn


def _draw_account(site: ReplaySite, rng: random.Random) -> int:
    """Draw the number of an account; lower ones send more jobs."""
    accounts = site.accounts
    weights = [(index + 1) ** -accounts.skew for index in range(accounts.count)]
    return rng.choices(range(accounts.count), weights)[0]


def _draw_faults(site: ReplaySite, rng: random.Random) -> tuple[Fault, ...]:
    drawn = []
    workers = range(site.workers.count)
    zones = range(site.workers.zones)
    fault_ranges = {
        "slow": (FAULT_SECONDS, workers),
        "failing": (FAULT_SECONDS, workers),
        "hanging": (FAULT_SECONDS, workers),
        "lost": (DOWNTIME_SECONDS, workers),
        "leaving": (DOWNTIME_SECONDS, workers),
        "closed_zones": (FAULT_SECONDS, zones),
        "outages": (OUTAGE_SECONDS, (0,)),
    }
    for kind, (seconds, targets) in fault_ranges.items():
        for _ in range(_draw_poisson(getattr(site.troubles, kind), rng)):
            at = site.lead_seconds + rng.uniform(1.0, site.seconds)
            until = at + rng.uniform(*seconds)
            factor = rng.uniform(*SLOW_SPEED_FACTORS)
            drawn.append(Fault(kind, at, until, rng.choice(targets), factor))
    return tuple(sorted(drawn, key=lambda fault: fault.at))


def _draw_poisson(mean: float, rng: random.Random) -> int:
    count, at = 0, rng.expovariate(1.0)
    while at < mean:
        count += 1
        at += rng.expovariate(1.0)
    return count
