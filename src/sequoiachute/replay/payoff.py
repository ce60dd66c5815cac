"""Scores a simulated day: the value earned relative to the value at stake."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from math import ceil
from typing import NamedTuple

from sequoiachute.coordination.dispatch.objectives import count_waves
from sequoiachute.coordination.scheduling.capacity import core_seconds
from sequoiachute.protocol.workload import Resources
from sequoiachute.replay.day import JobArrival, SimulatedDay
from sequoiachute.replay.site import ReplaySite

LATE_OBJECTIVE_FACTOR = 3.0  # late jobs earn up to this multiple of their objective
MIN_VALUE_SHARE = 0.3  # of the kind's worth, for the smallest jobs
MAX_VALUE_SHARE = 4.0  # of the kind's worth, for the largest jobs
SCORE_WINDOW_SECONDS = 5.0
WORST_WINDOW_COUNT = 2
WORST_ACCOUNT_SHARE = 0.1  # of the accounts


class JobValue(NamedTuple):
    """The value of a job that ends within its objective, and of a late one.

    ``objective_seconds`` counts from the job's first submission.
    """

    arrival: JobArrival
    value: float
    late_value: float
    objective_seconds: float


class JobOutcome(NamedTuple):
    """What a job earned; ``completion_seconds`` is ``None`` if it never ended."""

    job_value: JobValue
    completion_seconds: float | None
    earned: float


class DayScores(NamedTuple):
    """Shares of the total value that a day earned, and the work lost.

    ``score`` is the mean of the five shares with the site's weights, less the
    price of the lost work.
    """

    overall: float
    worst_windows: float
    worst_kind: float
    worst_zone: float
    worst_accounts: float
    lost_core_seconds: float
    score: float


def compute_job_values(site: ReplaySite, day: SimulatedDay) -> dict[str, JobValue]:
    """Return the values by job ID, without the jobs that are cancelled."""
    work_by_kind: dict[str, list[float]] = defaultdict(list)
    for arrival in day.arrivals:
        work_by_kind[arrival.kind.name].append(core_seconds_of(arrival))
    capacity = Resources()
    for machine in day.machines:
        capacity = capacity.plus(machine.capacity)
    job_values = {}
    for arrival in day.arrivals:
        if arrival.cancel_at is not None:
            continue
        kind = arrival.kind
        mean = sum(work_by_kind[kind.name]) / len(work_by_kind[kind.name])
        share = (
            MIN_VALUE_SHARE + (1 - MIN_VALUE_SHARE) * core_seconds_of(arrival) / mean
        )
        share = min(share, MAX_VALUE_SHARE)
        objective_seconds = (
            kind.stretch * critical_path_seconds(arrival, capacity) + kind.slo_seconds
        )
        job_value = JobValue(
            arrival, share * kind.worth, share * kind.late_worth, objective_seconds
        )
        job_values[arrival.job.job_id] = job_value
    return job_values


def core_seconds_of(arrival: JobArrival) -> float:
    """Return a job's true work in core-seconds."""
    total = 0.0
    for step, seconds in zip(arrival.job.steps, arrival.seconds, strict=True):
        total += core_seconds(step.need, sum(seconds))
    return total


def critical_path_seconds(arrival: JobArrival, capacity: Resources) -> float:
    """Return a job's critical path on typical workers, in seconds.

    Runs that fail by the job's own fault count. A step that exceeds
    ``capacity`` runs in waves.
    """
    total = 0.0
    for number, step in enumerate(arrival.job.steps):
        longest = 0.0
        for index, seconds in enumerate(arrival.seconds[number]):
            failure_shares = arrival.failures.get((number, index), ())
            longest = max(longest, seconds * (1 + sum(failure_shares)))
        total += longest * count_waves(step, capacity)
    return total


def score_job(
    job_value: JobValue, completion_seconds: float | None, ended_as_expected: bool
) -> JobOutcome:
    """Return what a job earned that ended after ``completion_seconds``.

    ``ended_as_expected`` says that the job is complete, or that it failed and
    is hopeless.
    """
    if (
        completion_seconds is None
        or not ended_as_expected
        or completion_seconds > LATE_OBJECTIVE_FACTOR * job_value.objective_seconds
    ):
        return JobOutcome(job_value, completion_seconds, 0.0)
    earned = (
        job_value.value
        if completion_seconds <= job_value.objective_seconds
        else job_value.late_value
    )
    return JobOutcome(job_value, completion_seconds, earned)


def score_day(
    site: ReplaySite, outcomes: list[JobOutcome], lost_core_seconds: float
) -> DayScores:
    """Return the scores of a day."""
    total_value = sum(item.job_value.value for item in outcomes)
    if not total_value:
        return DayScores(1.0, 1.0, 1.0, 1.0, 1.0, lost_core_seconds, 1.0)
    overall = _earned_share(outcomes)
    worst_windows = _worst_earned_share(
        outcomes,
        lambda value: int(value.arrival.at // SCORE_WINDOW_SECONDS),
        WORST_WINDOW_COUNT,
    )
    worst_kind = _worst_earned_share(outcomes, lambda value: value.arrival.kind.name, 1)
    worst_zone = _worst_earned_share(outcomes, lambda value: value.arrival.zone, 1)
    worst_account_count = ceil(WORST_ACCOUNT_SHARE * site.accounts.count)
    worst_accounts = _worst_earned_share(
        outcomes, lambda value: value.arrival.job.account, worst_account_count
    )
    components = (overall, worst_windows, worst_kind, worst_zone, worst_accounts)
    total = sum(site.weights)
    weighted_score = (
        sum(w * p for w, p in zip(site.weights, components, strict=True)) / total
    )
    return DayScores(
        *components,
        lost_core_seconds,
        weighted_score - site.price * lost_core_seconds / total_value,
    )


def _worst_earned_share(
    outcomes: list[JobOutcome], key_of: Callable[[JobValue], object], count: int
) -> float:
    groups: dict[object, list[JobOutcome]] = defaultdict(list)
    for item in outcomes:
        groups[key_of(item.job_value)].append(item)
    worst = sorted(groups.values(), key=_earned_share)[:count]
    return _earned_share(item for members in worst for item in members)


def _earned_share(outcomes: Iterable[JobOutcome]) -> float:
    items = list(outcomes)
    total_value = sum(item.job_value.value for item in items)
    return sum(item.earned for item in items) / total_value if total_value else 1.0


def score_upper_bound(site: ReplaySite, day: SimulatedDay) -> float:
    """Return an upper bound of the earned share for any scheduler.

    Each job runs alone on the fastest workers from its submission on, so that
    no job waits for capacity.
    """
    highest_speed = max(machine.speed for machine in day.machines)
    outcomes = []
    for job_value in compute_job_values(site, day).values():
        completion_seconds = (
            sum(max(seconds) for seconds in job_value.arrival.seconds) / highest_speed
        )
        outcomes.append(score_job(job_value, completion_seconds, True))
    return _earned_share(outcomes)
