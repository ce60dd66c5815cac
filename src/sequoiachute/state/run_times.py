"""Correction of declared run times by the run times observed so far."""

import math
from typing import NamedTuple

from sequoiachute.state.jobs import Job

SMOOTHING_FACTOR = 0.2  # weight of the newest observation
MAX_RATIO = 20.0
OVERRUN_FACTOR = 1.5  # total over work done, once a job has outlived its estimate


class RunTimeKey(NamedTuple):
    """Group of jobs that share one ratio."""

    account: str
    job_class: str


class RunTimes:
    """Mean ratio of observed to declared run time per client account and class.

    The mean is geometric and exponentially weighted, so that one badly declared
    job has some effect but does not outweigh the others.
    """

    def __init__(self) -> None:
        self._mean_log_ratios: dict[RunTimeKey, float] = {}

    def observe(self, job: Job, speed: float) -> None:
        """Add the run time of a finished job.

        Parameters
        ----------
        job : Job
            The job; ignored unless its state is ``finished``.
        speed : float
            Speed of the slowest worker of its last attempt.
        """
        declared = job.spec["run_seconds"]
        if job.state != "finished" or declared <= 0:
            return
        work = max(0.0, job.ended_at - job.started_at) * speed + job.done_seconds
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, work / declared))
        key = RunTimeKey(job.account, job.job_class)
        log_ratio = math.log(ratio)
        mean = self._mean_log_ratios.get(key, log_ratio)
        self._mean_log_ratios[key] = mean + SMOOTHING_FACTOR * (log_ratio - mean)

    def ratio(self, account: str, job_class: str) -> float:
        """Return mean observed over declared run time, 1 if none was observed."""
        return math.exp(self._mean_log_ratios.get(RunTimeKey(account, job_class), 0.0))

    def remaining(self, job: Job, speed: float, now: float) -> float:
        """Return the expected seconds until ``job`` ends at ``speed``.

        A job that has outlived its expected total is assumed to need half as much
        again as it has already done.
        """
        total = job.spec["run_seconds"] * self.ratio(job.account, job.job_class)
        done = job.done_seconds
        if job.state == "running":
            done += max(0.0, now - job.started_at) * speed
        if done >= total:
            total = max(done, total) * OVERRUN_FACTOR
        return (total - done) / speed
