"""Run times as observed, against those that callers declare."""

import math
from typing import NamedTuple

from sequoiachute.state.jobs import Job

SMOOTHING = 0.2  # weight of the newest observation
MAX_RATIO = 20.0
OVERRUN_GROWTH = 1.5  # assumed total of a job that outlived its estimate


class RunTimeKey(NamedTuple):
    """Whose run times are alike."""

    account: str
    job_class: str


class RunTimes:
    """Ratio of observed to declared run time per client account and class.

    The mean is geometric and exponentially weighted, so that one job that was
    declared far off neither hides the others nor is lost.
    """

    def __init__(self) -> None:
        self._logs: dict[RunTimeKey, float] = {}

    def observe(self, job: Job, speed: float) -> None:
        """Take the end of a finished job.

        Parameters
        ----------
        job : Job
            The job; any state but ``finished`` is ignored.
        speed : float
            Speed of the slowest worker of its last attempt.
        """
        declared = job.spec["run_seconds"]
        if job.state != "finished" or declared <= 0:
            return
        work = max(0.0, job.ended_at - job.started_at) * speed + job.done_seconds
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, work / declared))
        key = RunTimeKey(job.account, job.job_class)
        observed = math.log(ratio)
        known = self._logs.get(key, observed)
        self._logs[key] = known + SMOOTHING * (observed - known)

    def ratio(self, account: str, job_class: str) -> float:
        """Return observed over declared run time, 1 while none was observed."""
        return math.exp(self._logs.get(RunTimeKey(account, job_class), 0.0))

    def remaining(self, job: Job, speed: float, now: float) -> float:
        """Return the expected seconds until ``job`` ends at ``speed``.

        A running job that outlived its expected total is assumed to need half
        of what it has run again.
        """
        total = job.spec["run_seconds"] * self.ratio(job.account, job.job_class)
        done = job.done_seconds
        if job.state == "running":
            done += max(0.0, now - job.started_at) * speed
        if done >= total:
            total = max(done, total) * OVERRUN_GROWTH
        return (total - done) / speed
