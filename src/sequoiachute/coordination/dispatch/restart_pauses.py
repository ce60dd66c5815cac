"""Pauses before a task that lasts, whose runs end soon after they begin, runs again."""

from typing import NamedTuple

from sequoiachute.protocol.workload import TaskId

MIN_PAUSE_SECONDS = 0.25  # after the second short run in a row; doubled by each further
# The share of its time that a service is away is counted from 6 s after a run's end.
MAX_PAUSE_SECONDS = 2.0


class _ShortRuns(NamedTuple):
    """Short runs of a task in a row: the last one, their number, the pause's end."""

    run: int
    count: int
    paused_until: float


class RestartPauses:
    """Pauses of tasks that last, by their runs of less than ``MAX_PAUSE_SECONDS``.

    Whoever runs longer starts again at once, so that no task starts more often than
    every ``MAX_PAUSE_SECONDS`` for long. Times are of ``clock.elapsed``.
    """

    def __init__(self) -> None:
        self._short_runs: dict[TaskId, _ShortRuns] = {}

    def record_end(self, task: TaskId, run: int, placed_at: float, now: float) -> float:
        """Record the end of a run; return the seconds of the pause that begins now.

        A run that has been recorded before begins none.
        """
        known = self._short_runs.get(task, _ShortRuns(0, 0, now))
        if run <= known.run:
            return 0.0
        if now - placed_at >= MAX_PAUSE_SECONDS:
            self._short_runs[task] = _ShortRuns(run, 0, now)
            return 0.0
        pause = 0.0
        if known.count:
            doubled = MIN_PAUSE_SECONDS * 2 ** (known.count - 1)
            pause = min(MAX_PAUSE_SECONDS, doubled)
        self._short_runs[task] = _ShortRuns(run, known.count + 1, now + pause)
        return pause

    def is_paused(self, task: TaskId, now: float) -> bool:
        """Return whether a task may not run again yet."""
        known = self._short_runs.get(task)
        return known is not None and now < known.paused_until

    def forget_ended_jobs(self, live: set[str]) -> None:
        """Drop the tasks of all jobs but those that are ``live``."""
        for task in [task for task in self._short_runs if task.job_id not in live]:
            del self._short_runs[task]
