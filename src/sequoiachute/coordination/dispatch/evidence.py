"""What runs have shown of workers and jobs: speeds, progress and failures."""

from math import log
from typing import NamedTuple

from sequoiachute.coordination.dispatch.speeds import Sample, SpeedEstimate
from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import JobGraph, Lifetime, TaskId

ESTIMATE_SECONDS = 0.25  # between two estimates; progress is renewed each 0.5 s
MAX_SAMPLES = 16  # the newest tasks of a worker; it runs 8 to 16 at a time
FINISHED_PERCENT = 100
LEAST_RATIO = 0.01  # of the declared speed, as of a run that stands still
WINDOW_SECONDS = 2.0  # progress is renewed each half second: four readings
MIN_WATCH_SECONDS = 1.0  # two readings tell a rate
STALLED_PERCENT = 4  # expected meanwhile; a sound run shows some of it
HALF_LIFE_SECONDS = 6.0  # workers turn slow and quick again within seconds
LEAST_SHARE = 0.2
TRIAL_SECONDS = 2.5  # a suspect worker is tried again after it, then after twice
MAX_TRIAL_SECONDS = 10.0


class Reading(NamedTuple):
    """A run's progress in percent at a time in seconds."""

    at: float
    percent: int


class Observed:
    """A run's progress as it was read."""

    def __init__(self, now: float, percent: int) -> None:
        self.first = Reading(now, percent)
        self._readings = [self.first]

    @property
    def begun_percent(self) -> int:
        """Progress at the beginning of what is looked at."""
        return self._readings[0].percent

    @property
    def percent(self) -> int:
        """Newest progress."""
        return self._readings[-1].percent

    def take(self, now: float, percent: int) -> None:
        """Take a reading, also one that shows no progress."""
        self._readings.append(Reading(now, percent))
        while len(self._readings) > 2 and (
            self._readings[1].at <= now - WINDOW_SECONDS
        ):
            del self._readings[0]

    def is_stalled(self, estimate: float) -> bool:
        """Return whether a run of ``estimate`` seconds has stopped working."""
        begin, end = self._readings[0], self._readings[-1]
        seconds = end.at - begin.at
        if seconds < WINDOW_SECONDS or end.percent > begin.percent:
            return False
        return 100 * seconds / estimate >= STALLED_PERCENT

    def rate(self) -> float | None:
        """Return percent a second of late, ``None`` while it can't be told.

        A run without progress gets what its rounding may hide.
        """
        begin, end = self._readings[0], self._readings[-1]
        seconds = end.at - begin.at
        if seconds < MIN_WATCH_SECONDS:
            return None
        return max(end.percent - begin.percent, 0.5) / seconds


class Evidence:
    """Learns while this entry is the placer.

    Parameters
    ----------
    speeds : dict
        What earlier placers have learned, by lifetime.
    """

    def __init__(self, speeds: dict[Lifetime, float]) -> None:
        self._earlier = dict(speeds)
        self._observed: dict[tuple[str, int], Observed] = {}
        self._samples: dict[Lifetime, dict[str, tuple[float, float]]] = {}
        self._estimate = SpeedEstimate()
        self._estimated_at = float("-inf")
        self._failures: dict[Lifetime, list[float]] = {}
        self._failed_on: dict[str, set[str]] = {}
        self.moved: set[TaskId] = set()

    def see_run(
        self, run: RunReport, life: Lifetime, estimate: float, far: float, now: float
    ) -> None:
        """Take a reading of a run whose declared time is ``estimate`` seconds."""
        key = (run.task, run.run)
        known = self._observed.get(key)
        if known is None:
            self._observed[key] = Observed(now, run.percent)
            return
        known.take(now, run.percent)
        if not 0 < known.begun_percent <= run.percent < FINISHED_PERCENT:
            # A gang's members wait for the others before and after their work.
            return
        rate = known.rate()
        if rate is not None and estimate > 0:
            ratio = log(max(estimate * rate / 100 * far, LEAST_RATIO))
            samples = self._samples.setdefault(life, {})
            samples.pop(run.task, None)
            samples[run.task] = (now, ratio)
            if len(samples) > MAX_SAMPLES:
                del samples[next(iter(samples))]

    def observed(self, task: TaskId, run: int) -> Observed | None:
        """Return what was seen of a run."""
        return self._observed.get((str(task), run))

    def forget_run(self, task: TaskId, run: int) -> None:
        """Forget a run that has ended."""
        self._observed.pop((str(task), run), None)

    def speed(self, life: Lifetime, now: float) -> float:
        """Return a worker's speed against the typical worker, of late."""
        self._renew(now)
        return self._estimate.speed(life)

    def _renew(self, now: float) -> None:
        if now >= self._estimated_at + ESTIMATE_SECONDS:
            self._estimated_at = now
            self._estimate.renew(self._current(now), self._earlier)

    def _current(self, now: float) -> list[Sample]:
        """Return the samples with their weights by age."""
        found = []
        for life, samples in self._samples.items():
            for task, (at, ratio) in samples.items():
                weight = 0.5 ** ((now - at) / HALF_LIFE_SECONDS)
                # What is long known still counts for a little.
                step = task.rpartition(".")[0]
                found.append(Sample(life, step, ratio, max(weight, LEAST_SHARE)))
        return found

    def speeds(self, lives: list[Lifetime], now: float) -> dict[Lifetime, float]:
        """Return the speeds of ``lives`` of which anything is known."""
        found = {}
        for life in lives:
            if life in self._samples or life in self._earlier:
                found[life] = self.speed(life, now)
        return found

    def note_failure(
        self, job: JobGraph, host: str, life: Lifetime, now: float
    ) -> None:
        """Take a run that failed by itself."""
        self._failures.setdefault(life, []).append(now)
        self._failed_on.setdefault(job.job_id, set()).add(host)

    def note_success(self, life: Lifetime) -> None:
        """Take a run that was done."""
        self._failures.pop(life, None)

    def suspicion(self, life: Lifetime, now: float) -> int:
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
