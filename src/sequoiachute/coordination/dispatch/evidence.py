"""What runs have shown of workers and jobs: speeds, progress and failures."""

from math import exp, log
from typing import NamedTuple

from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import JobSpec, Life, TaskId

PRIOR_WEIGHT = 0.5  # runs' worth of belief that a worker is typical
MIN_PERCENT = 8  # progress from which a rate is told from its rounding
TRIAL_SECONDS = 2.5  # a suspect worker is tried again after it, then after twice
MAX_TRIAL_SECONDS = 10.0
SAVE_SECONDS = 1.0  # work between two checkpoints; the site's save_s


class Observed(NamedTuple):
    """A run's progress: first and newest reading."""

    first_at: float
    first_percent: int
    newest_at: float
    newest_percent: int

    @property
    def rate(self) -> float:
        """Percent a second, zero while it can't be told."""
        seconds = self.newest_at - self.first_at
        gained = self.newest_percent - self.first_percent
        if gained < MIN_PERCENT or seconds <= 0:
            return 0.0
        return gained / seconds


class Evidence:
    """Learns while this entry is the placer; a new one begins anew."""

    def __init__(self) -> None:
        self._observed: dict[tuple[str, int], Observed] = {}
        self._samples: dict[Life, dict[str, float]] = {}
        self._failures: dict[Life, list[float]] = {}
        self._failed_on: dict[str, set[str]] = {}

    def see_run(
        self, run: RunReport, life: Life, estimate: float, far: float, now: float
    ) -> None:
        """Take a reading of a run whose declared time is ``estimate`` seconds."""
        key = (run.task, run.run)
        known = self._observed.get(key)
        if known is None:
            self._observed[key] = Observed(now, run.percent, now, run.percent)
            return
        if run.percent > known.newest_percent:
            known = known._replace(newest_at=now, newest_percent=run.percent)
            self._observed[key] = known
        if known.rate and estimate > 0:
            sample = estimate * known.rate / 100 * far
            self._samples.setdefault(life, {})[run.task] = sample

    def observed(self, task: TaskId, run: int) -> Observed | None:
        """Return what was seen of a run."""
        return self._observed.get((str(task), run))

    def forget_run(self, task: TaskId, run: int) -> None:
        """Forget a run that has ended."""
        self._observed.pop((str(task), run), None)

    def speed(self, life: Life) -> float:
        """Return a worker's speed against the typical worker."""
        samples = self._samples.get(life)
        if not samples:
            return 1.0
        total = sum(log(max(sample, 0.01)) for sample in samples.values())
        return exp(total / (len(samples) + PRIOR_WEIGHT))

    def note_failure(self, job: JobSpec, host: str, life: Life, now: float) -> None:
        """Take a run that failed by itself."""
        self._failures.setdefault(life, []).append(now)
        self._failed_on.setdefault(job.job_id, set()).add(host)

    def note_success(self, life: Life) -> None:
        """Take a run that was done."""
        self._failures.pop(life, None)

    def suspicion(self, life: Life, now: float) -> int:
        """Return how many failures no success has followed.

        One fewer once it is time to try the worker again.
        """
        failures = self._failures.get(life)
        if not failures:
            return 0
        pause = min(MAX_TRIAL_SECONDS, TRIAL_SECONDS * 2 ** max(0, len(failures) - 2))
        if now - failures[-1] > pause:
            return 0
        return len(failures)

    def failed_on(self, job_id: str) -> frozenset[str]:
        """Return the hosts on which runs of a job have failed."""
        return frozenset(self._failed_on.get(job_id, ()))
