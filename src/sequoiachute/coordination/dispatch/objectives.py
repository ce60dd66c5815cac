"""Objectives of jobs: when an occurrence should end, by its declared run times."""

from math import ceil

from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec

# A step that needs more of its service's capacity is expected to run in waves.
WAVE_CAPACITY_SHARE = 0.25
DEFAULT_ESTIMATE_SECONDS = 5.0  # for a task without a declared time


def objective(
    job: JobGraph, occurrence: int, capacity: Resources
) -> tuple[float, float]:
    """Return the start and deadline of an occurrence, in wall time.

    A step that exceeds ``WAVE_CAPACITY_SHARE`` of ``capacity`` gets the time of
    all the waves in which it would run on that share.
    """
    starts_at = max(job.accepted_at, job.due_at(occurrence))
    chain = chain_seconds(job, 0, capacity)
    return starts_at, starts_at + job.stretch * chain + job.slo_seconds


def chain_seconds(
    job: JobGraph, first: int, capacity: Resources | None = None
) -> float:
    """Return the declared time from the start of a step to the job's end.

    Parameters
    ----------
    job : JobGraph
    first : int
        Index of the step; zero gives the longest chain of the whole job.
    capacity : Resources, optional
        If given, each step counts once per wave (see ``count_waves``).

    Returns
    -------
    float
        Seconds.
    """
    longest = [0.0] * len(job.steps)
    for index in reversed(range(len(job.steps))):
        step = job.steps[index]
        seconds = step.estimate_seconds or DEFAULT_ESTIMATE_SECONDS
        longest[index] += seconds * (count_waves(step, capacity) if capacity else 1)
        for earlier in step.after:
            longest[earlier] = max(longest[earlier], longest[index])
    return max(longest) if first == 0 else longest[first]


def count_waves(step: StepSpec, capacity: Resources) -> int:
    """Return in how many waves a step runs on its share of ``capacity``."""
    fitting = float("inf")
    for available, required in zip(capacity, step.reserved, strict=True):
        if required:
            fitting = min(fitting, WAVE_CAPACITY_SHARE * available / required)
    return max(1, ceil(step.count / max(1.0, fitting)))
