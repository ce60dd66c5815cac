"""What runs have shown of workers and jobs: speeds, progress and failures."""

from math import log
from typing import NamedTuple

from sequoiachute.coordination.dispatch.speeds import SpeedEstimator, SpeedSample
from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import JobSpec, Life, TaskId

ESTIMATE_INTERVAL_SECONDS = (
    0.25  # between two estimates; progress is renewed each 0.5 s
)
MAX_SAMPLES_PER_WORKER = 16  # the newest tasks of a worker; it runs 8 to 16 at a time
FINISHED_PERCENT = 100
MIN_SPEED_RATIO = 0.01  # of the declared speed, as of a run that stands still
RATE_WINDOW_SECONDS = 2.0  # progress is renewed each half second: four readings
MIN_RATE_SECONDS = 1.0  # two readings tell a rate
STALL_EXPECTED_PERCENT = 4  # expected meanwhile; a sound run shows some of it
SAMPLE_HALF_LIFE_SECONDS = 6.0  # workers turn slow and quick again within seconds
MIN_SAMPLE_WEIGHT = 0.2
PROBE_DELAY_SECONDS = 2.5  # a suspect worker is tried again after it, then after twice
MAX_PROBE_DELAY_SECONDS = 10.0


class ProgressReading(NamedTuple):
    """A run's progress in percent at a time in seconds."""

    at: float
    percent: int


class RunProgress:
    """A run's progress as it was read."""

    def __init__(self, now: float, percent: int) -> None:
        self.first = ProgressReading(now, percent)
        self._readings = [self.first]

    @property
    def window_start_percent(self) -> int:
        """Progress at the beginning of what is looked at."""
        return self._readings[0].percent

    @property
    def percent(self) -> int:
        """Newest progress."""
        return self._readings[-1].percent

    def add(self, now: float, percent: int) -> None:
        """Take a reading, also one that shows no progress."""
        self._readings.append(ProgressReading(now, percent))
        while len(self._readings) > 2 and (
            self._readings[1].at <= now - RATE_WINDOW_SECONDS
        ):
            del self._readings[0]

    def is_stalled(self, estimate: float) -> bool:
        """Return whether a run of ``estimate`` seconds has stopped working."""
        begin, end = self._readings[0], self._readings[-1]
        seconds = end.at - begin.at
        if seconds < RATE_WINDOW_SECONDS or end.percent > begin.percent:
            return False
        return 100 * seconds / estimate >= STALL_EXPECTED_PERCENT

    def rate(self) -> float | None:
        """Return percent a second of late, ``None`` while it can't be told.

        A run without progress gets what its rounding may hide.
        """
        begin, end = self._readings[0], self._readings[-1]
        seconds = end.at - begin.at
        if seconds < MIN_RATE_SECONDS:
            return None
        return max(end.percent - begin.percent, 0.5) / seconds


class RunStatistics:
    """Learns while this entry is the placer.

    Parameters
    ----------
    speeds : dict
        What earlier placers have learned, by lifetime.
    """

    def __init__(self, speeds: dict[Life, float]) -> None:
        self._inherited_speeds = dict(speeds)
        self._progress: dict[tuple[str, int], RunProgress] = {}
        self._samples: dict[Life, dict[str, tuple[float, float]]] = {}
        self._estimator = SpeedEstimator()
        self._estimated_at = float("-inf")
        self._failures: dict[Life, list[float]] = {}
        self._failed_on: dict[str, set[str]] = {}
        self.moved_tasks: set[TaskId] = set()

    def record_progress(
        self,
        run: RunReport,
        life: Life,
        estimate: float,
        distance_factor: float,
        now: float,
    ) -> None:
        """Take a reading of a run whose declared time is ``estimate`` seconds."""
        key = (run.task, run.run)
        known = self._progress.get(key)
        if known is None:
            self._progress[key] = RunProgress(now, run.percent)
            return
        known.add(now, run.percent)
        if not 0 < known.window_start_percent <= run.percent < FINISHED_PERCENT:
            # A gang's members wait for the others before and after their work.
            return
        rate = known.rate()
        if rate is not None and estimate > 0:
            log_ratio = log(
                max(estimate * rate / 100 * distance_factor, MIN_SPEED_RATIO)
            )
            samples = self._samples.setdefault(life, {})
            samples.pop(run.task, None)
            samples[run.task] = (now, log_ratio)
            if len(samples) > MAX_SAMPLES_PER_WORKER:
                del samples[next(iter(samples))]

    def progress_of(self, task: TaskId, run: int) -> RunProgress | None:
        """Return what was seen of a run."""
        return self._progress.get((str(task), run))

    def forget_run(self, task: TaskId, run: int) -> None:
        """Forget a run that has ended."""
        self._progress.pop((str(task), run), None)

    def speed(self, life: Life, now: float) -> float:
        """Return a worker's speed against the typical worker, of late."""
        self._update_estimate(now)
        return self._estimator.speed(life)

    def _update_estimate(self, now: float) -> None:
        if now >= self._estimated_at + ESTIMATE_INTERVAL_SECONDS:
            self._estimated_at = now
            self._estimator.fit(self._weighted_samples(now), self._inherited_speeds)

    def _weighted_samples(self, now: float) -> list[SpeedSample]:
        """Return the samples with their weights by age."""
        found = []
        for life, samples in self._samples.items():
            for task, (at, log_ratio) in samples.items():
                weight = 0.5 ** ((now - at) / SAMPLE_HALF_LIFE_SECONDS)
                # What is long known still counts for a little.
                step = task.rpartition(".")[0]
                found.append(
                    SpeedSample(life, step, log_ratio, max(weight, MIN_SAMPLE_WEIGHT))
                )
        return found

    def speeds(self, lives: list[Life], now: float) -> dict[Life, float]:
        """Return the speeds of ``lives`` of which anything is known."""
        found = {}
        for life in lives:
            if life in self._samples or life in self._inherited_speeds:
                found[life] = self.speed(life, now)
        return found

    def record_failure(self, job: JobSpec, host: str, life: Life, now: float) -> None:
        """Take a run that failed by itself."""
        self._failures.setdefault(life, []).append(now)
        self._failed_on.setdefault(job.job_id, set()).add(host)

    def record_success(self, life: Life) -> None:
        """Take a run that was done."""
        self._failures.pop(life, None)

    def suspicion(self, life: Life, now: float) -> int:
        """Return how many failures no success has followed.

        One fewer once it is time to try the worker again.
        """
        failures = self._failures.get(life)
        if not failures:
            return 0
        probe_delay = min(
            MAX_PROBE_DELAY_SECONDS,
            PROBE_DELAY_SECONDS * 2 ** max(0, len(failures) - 2),
        )
        if now - failures[-1] > probe_delay:
            return 0
        return len(failures)

    def failed_on(self, job_id: str) -> frozenset[str]:
        """Return the hosts on which runs of a job have failed."""
        return frozenset(self._failed_on.get(job_id, ()))
