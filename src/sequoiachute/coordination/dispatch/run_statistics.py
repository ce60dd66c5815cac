"""Statistics of observed runs: workers' speeds, runs' progress and failures."""

from collections import defaultdict
from math import log
from typing import NamedTuple

from sequoiachute.coordination.dispatch.restart_pauses import RestartPauses
from sequoiachute.coordination.dispatch.speeds import SpeedEstimator, SpeedSample
from sequoiachute.coordination.dispatch.start_doubts import StartDoubts
from sequoiachute.coordination.dispatch.wait_times import WaitTimes
from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import Lifetime, Machine, MachineSpeed, TaskId

# Workers report progress every 0.5 s.
ESTIMATE_INTERVAL_SECONDS = 0.25
MAX_SAMPLES_PER_WORKER = 16  # the newest; a worker runs 8 to 16 tasks at a time
FINISHED_PERCENT = 100
MIN_SPEED_RATIO = 0.01  # of the declared speed; floor for a run without progress
RATE_WINDOW_SECONDS = 2.0  # four readings at one every 0.5 s
MIN_RATE_SECONDS = 1.0  # two readings, the fewest that give a rate
# A run has stalled if it shows no progress while this much was expected; a healthy
# run would show some.
STALL_EXPECTED_PERCENT = 4
SAMPLE_HALF_LIFE_SECONDS = 6.0  # workers' speeds change within seconds
MIN_SAMPLE_WEIGHT = 0.5
# Delay after a failure before the worker is tried again; it doubles from the third
# failure on.
PROBE_DELAY_SECONDS = 2.5
MAX_PROBE_DELAY_SECONDS = 10.0
MIN_BLAMED_HOSTS = 2  # hosts on which a task must have failed to be at fault itself


class ProgressReading(NamedTuple):
    """Progress in percent at a time in seconds."""

    at: float
    percent: int


class _Failure(NamedTuple):
    """A failed run of a task on a host, or a refused start, at a time in seconds."""

    at: float
    host: str = ""
    task: TaskId | None = None


class RunProgress:
    """Progress readings of a run over the last ``RATE_WINDOW_SECONDS``."""

    def __init__(self, now: float, percent: int) -> None:
        self.first = ProgressReading(now, percent)
        self._readings = [self.first]
        self._progressed = self.first

    @property
    def window_start_percent(self) -> int:
        """Progress at the start of the window."""
        return self._readings[0].percent

    @property
    def percent(self) -> int:
        """Newest progress."""
        return self._readings[-1].percent

    def add(self, now: float, percent: int) -> None:
        """Add a reading, which may show no progress; drop those before the window."""
        reading = ProgressReading(now, percent)
        if percent > self.percent:
            self._progressed = reading
        self._readings.append(reading)
        while len(self._readings) > 2 and (
            self._readings[1].at <= now - RATE_WINDOW_SECONDS
        ):
            del self._readings[0]

    def seen_seconds(self) -> float:
        """Return the time from the first reading to the newest."""
        return self._readings[-1].at - self.first.at

    def worked_seconds(self, estimate: float) -> float:
        """Return the time that the run has worked, also before its first reading here.

        Parameters
        ----------
        estimate : float
            Declared time of the run in seconds.
        """
        observed = self._readings[-1].at - self.first.at
        before = self.first.percent / (self._working_rate() or 100 / estimate)
        return before + observed

    def _working_rate(self) -> float | None:
        """Return percent per second until the last progress; ``None`` if too short.

        A stall tells nothing of the time before it.
        """
        seconds = self._progressed.at - self.first.at
        if seconds < MIN_RATE_SECONDS:
            return None
        return (self._progressed.percent - self.first.percent) / seconds

    def stalled_seconds(self, estimate: float) -> float:
        """Return for how long the run has made no progress, zero unless it should have.

        Parameters
        ----------
        estimate : float
            Declared time of the run in seconds.
        """
        seconds = self._readings[-1].at - self._progressed.at
        expected_percent = 100 * seconds / estimate
        if seconds < RATE_WINDOW_SECONDS or expected_percent < STALL_EXPECTED_PERCENT:
            return 0.0
        return seconds

    def rate(self) -> float | None:
        """Return percent per second in the window, ``None`` with too few readings.

        Progress is in whole percent, so a run that shows none counts as half a
        percent.
        """
        begin, end = self._readings[0], self._readings[-1]
        seconds = end.at - begin.at
        if seconds < MIN_RATE_SECONDS:
            return None
        return max(end.percent - begin.percent, 0.5) / seconds


class RunStatistics:
    """Statistics that a placer gathers from reports during its term.

    Parameters
    ----------
    speeds : dict
        Speeds recorded by earlier placers, by machine.
    """

    def __init__(self, speeds: dict[Machine, MachineSpeed]) -> None:
        self._inherited_speeds = dict(speeds)
        self._progress: dict[tuple[str, int], RunProgress] = {}
        self._samples: dict[Machine, dict[str, tuple[float, float]]] = {}
        self._estimator = SpeedEstimator()
        self._estimated_at = float("-inf")
        self._failures: dict[Lifetime, list[_Failure]] = {}
        self._proven_at: dict[Lifetime, float] = {}
        self._failed_on: dict[str, dict[TaskId, set[str]]] = {}
        self._failed_at: dict[str, float] = {}
        self._blamed_tasks: set[TaskId] = set()
        self.wait_times = WaitTimes()
        self.start_doubts = StartDoubts()
        self.restart_pauses = RestartPauses()
        self.moved_tasks: set[TaskId] = set()
        self._left_hosts: dict[TaskId, str] = {}
        self.preemptions: dict[TaskId, int] = {}
        self.charged_work: dict[tuple[str, int, int], float] = defaultdict(float)

    def record_progress(
        self,
        run: RunReport,
        machine: Machine,
        estimate: float,
        distance_factor: float,
        now: float,
    ) -> None:
        """Add a progress reading of a run and sample its machine's speed.

        Parameters
        ----------
        run : RunReport
        machine : Machine
            Machine of the worker; its speed outlasts the worker's lifetime.
        estimate : float
            Declared time of the run in seconds, zero if it has none.
        distance_factor : float
            Expected slowdown by running away from its data.
        now : float
            Time of the reading in seconds.
        """
        key = (run.task, run.run)
        progress = self._progress.get(key)
        if progress is None:
            self._progress[key] = RunProgress(now, run.percent)
            return
        progress.add(now, run.percent)
        if not 0 < progress.window_start_percent <= run.percent < FINISHED_PERCENT:
            # At 0 and 100 percent a gang's member may be waiting for the others.
            return
        rate = progress.rate()
        if rate is not None and estimate > 0:
            log_ratio = log(
                max(estimate * rate / 100 * distance_factor, MIN_SPEED_RATIO)
            )
            samples = self._samples.setdefault(machine, {})
            samples.pop(run.task, None)
            samples[run.task] = (now, log_ratio)
            if len(samples) > MAX_SAMPLES_PER_WORKER:
                del samples[next(iter(samples))]

    def progress_of(self, task: TaskId, run: int) -> RunProgress | None:
        """Return a run's progress, ``None`` before its first reading."""
        return self._progress.get((str(task), run))

    def forget_run(self, task: TaskId, run: int) -> None:
        """Drop the progress of a run that has ended."""
        self._progress.pop((str(task), run), None)

    def forget_ended_jobs(self, live: set[str]) -> None:
        """Drop what is kept by job or task, but for the jobs that are ``live``."""
        self.wait_times.forget_ended_jobs(live)
        self.start_doubts.forget_ended_jobs(live)
        self.restart_pauses.forget_ended_jobs(live)
        self.moved_tasks = {task for task in self.moved_tasks if task.job_id in live}
        for task in [task for task in self._left_hosts if task.job_id not in live]:
            del self._left_hosts[task]
        self._blamed_tasks = {t for t in self._blamed_tasks if t.job_id in live}
        for task in [task for task in self.preemptions if task.job_id not in live]:
            del self.preemptions[task]
        for job_id in self._failed_on.keys() - live:
            del self._failed_on[job_id]
            self._failed_at.pop(job_id, None)
        for step in [step for step in self.charged_work if step[0] not in live]:
            del self.charged_work[step]
        for key in [key for key in self._progress if key[0].split(".")[0] not in live]:
            del self._progress[key]

    def speed(self, machine: Machine, now: float) -> float:
        """Return a machine's recent speed relative to the typical one."""
        self._update_estimate(now)
        return self._estimator.speed(machine)

    def speed_error(self, machine: Machine, now: float) -> float:
        """Return the standard error of the logarithm of a machine's speed."""
        self._update_estimate(now)
        return self._estimator.speed_error(machine)

    def _update_estimate(self, now: float) -> None:
        if now >= self._estimated_at + ESTIMATE_INTERVAL_SECONDS:
            self._estimated_at = now
            self._estimator.fit(self._weighted_samples(now), self._inherited_speeds)

    def _weighted_samples(self, now: float) -> list[SpeedSample]:
        """Return the samples, weighted by age."""
        found = []
        for machine, samples in self._samples.items():
            for task, (at, log_ratio) in samples.items():
                # MIN_SAMPLE_WEIGHT keeps a speed where there are only old samples.
                weight = 0.5 ** ((now - at) / SAMPLE_HALF_LIFE_SECONDS)
                step = task.rpartition(".")[0]
                found.append(
                    SpeedSample(
                        machine, step, log_ratio, max(weight, MIN_SAMPLE_WEIGHT)
                    )
                )
        return found

    def speeds(
        self, machines: list[Machine], now: float
    ) -> dict[Machine, MachineSpeed]:
        """Return the speeds of ``machines`` that have samples or a recorded speed."""
        found = {}
        for machine in machines:
            if machine in self._samples or machine in self._inherited_speeds:
                speed = self.speed(machine, now)
                found[machine] = MachineSpeed(speed, self.speed_error(machine, now))
        return found

    def record_failure(
        self,
        task: TaskId,
        host: str,
        lifetime: Lifetime,
        now: float,
        suitable_hosts: int,
    ) -> None:
        """Record a run that failed without being stopped.

        A task that has failed on more than half of the hosts that meet its requirements
        is at fault itself: faults of hosts would have to be on most of them. Its
        failures don't count against hosts on which nothing else has failed.

        Parameters
        ----------
        task : TaskId
        host : str
        lifetime : Lifetime
            Lifetime of the host's worker.
        now : float
            Time of the failure in seconds.
        suitable_hosts : int
            Number of hosts that meet the requirements of the task, busy or not.
        """
        hosts = self._failed_on.setdefault(task.job_id, {}).setdefault(task, set())
        hosts.add(host)
        self._failed_at[task.job_id] = now
        self._failures.setdefault(lifetime, []).append(_Failure(now, host, task))
        if len(hosts) < MIN_BLAMED_HOSTS or len(hosts) <= suitable_hosts / 2:
            return
        self._blamed_tasks.add(task)
        for failures in self._failures.values():
            if all(failure.task in self._blamed_tasks for failure in failures):
                failures.clear()

    def record_move(self, task: TaskId, left_host: str = "") -> None:
        """Record that a run is stopped to start again on a faster worker.

        ``left_host`` is where it was too slow, empty if its host is not at fault.
        """
        self.moved_tasks.add(task)
        if left_host:
            self._left_hosts[task] = left_host

    def record_doubt(self, lifetime: Lifetime, now: float) -> None:
        """Record that a worker refused to start a run."""
        self._failures.setdefault(lifetime, []).append(_Failure(now))

    def record_success(self, lifetime: Lifetime, began: float | None) -> None:
        """Record a successful run; it clears the worker's failures from before it.

        ``began`` is when it began, in seconds, ``None`` if that is not known, as of a
        run too short to be seen at work, which clears all. Only a late start is proof:
        a worker may complete what it has begun and fail what it starts.
        """
        if began is None:
            self._failures.pop(lifetime, None)
            return
        failures = self._failures.get(lifetime, [])
        failures[:] = [failure for failure in failures if failure.at > began]
        newest = self._proven_at.get(lifetime, began)
        self._proven_at[lifetime] = max(began, newest)

    def proof_age(self, lifetime: Lifetime, now: float) -> float:
        """Return seconds since a run began that succeeded, if none has failed since."""
        if self._failures.get(lifetime):
            return float("inf")
        return now - self._proven_at.get(lifetime, float("-inf"))

    def doubt_age(self, lifetime: Lifetime, now: float) -> float:
        """Return seconds since the newest failure that no success has followed."""
        failures = self._failures.get(lifetime)
        return now - failures[-1].at if failures else float("inf")

    def recent_failures(self, lifetime: Lifetime, now: float) -> int:
        """Return the worker's failures since its last success.

        Zero once the delay before the next try has passed.
        """
        failures = self._failures.get(lifetime)
        if not failures:
            return 0
        probe_delay = min(
            MAX_PROBE_DELAY_SECONDS,
            PROBE_DELAY_SECONDS * 2 ** max(0, len(failures) - 2),
        )
        if now - failures[-1].at > probe_delay:
            return 0
        return len(failures)

    def failed_seconds(self, job_id: str, now: float) -> float:
        """Return the time since a run of a job has failed."""
        return now - self._failed_at.get(job_id, float("-inf"))

    def tried_hosts(self, task: TaskId) -> frozenset[str]:
        """Return the hosts on which a task has failed or was too slow.

        Of a task that is at fault itself, those of the hosts where it has failed on
        which something else has failed too.
        """
        left = {self._left_hosts[task]} if task in self._left_hosts else set()
        failed_on = self._failed_on.get(task.job_id)
        if not failed_on:
            return frozenset(left)
        hosts = failed_on.get(task, set())
        if task in self._blamed_tasks:
            hosts = hosts & self._suspected_hosts()
        return frozenset(hosts | left)

    def doubted_hosts(self, job_id: str) -> frozenset[str]:
        """Return the hosts on which a job has failed and nothing has succeeded since.

        Those that a task's own fault explains are left out.
        """
        if job_id not in self._failed_on:
            return frozenset()
        found: set[str] = set()
        for hosts in self._failed_on[job_id].values():
            found |= hosts
        return frozenset(found & self._suspected_hosts())

    def _suspected_hosts(self) -> set[str]:
        found = set()
        for failures in self._failures.values():
            found.update(failure.host for failure in failures)
        return found
