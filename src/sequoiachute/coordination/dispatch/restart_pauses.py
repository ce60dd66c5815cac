"""Pauses before a task that lasts runs again."""

from typing import NamedTuple

from sequoiachute.protocol.workload import TaskId

# Also after a long run: a placer does not know of the ends before its term.
MIN_PAUSE_SECONDS = 0.25  # doubled by each short run in a row
# The share of its time that a service is away is counted from 6 s after a run's end.
MAX_PAUSE_SECONDS = 2.0
MAX_COUNT = 16


class _ShortRuns(NamedTuple):
    """Short runs of a task in a row: the last one, their number, the pause's end."""

    run: int
    count: int
    paused_until: float


class RestartPauses:
    """Pauses of tasks that last, longer after runs of less than ``MAX_PAUSE_SECONDS``.

    No task starts more often than every ``MAX_PAUSE_SECONDS`` for long. Times are of
    ``clock.elapsed``.
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
        is_short = now - placed_at < MAX_PAUSE_SECONDS
        count = known.count + 1 if is_short else 0
        pause = min(MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * 2 ** min(count, MAX_COUNT))
        self._short_runs[task] = _ShortRuns(run, count, now + pause)
        return pause

    def is_paused(self, task: TaskId, now: float) -> bool:
        """Return whether a task may not run again yet."""
        known = self._short_runs.get(task)
        return known is not None and now < known.paused_until

    def forget_ended_jobs(self, live: set[str]) -> None:
        """Drop the tasks of all jobs but those that are ``live``."""
        for task in [task for task in self._short_runs if task.job_id not in live]:
            del self._short_runs[task]
