"""Throttles filling tasks while serving tasks near their latency targets.

Latencies are measured every half second, so the control loop runs in the agent.
"""

from sequoiachute import clock
from sequoiachute.protocol.supervision import RunOrder, RunReport
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS

THROTTLE_SHARE = 0.85  # of a latency target; above it filling tasks are slowed
RECOVERY_SHARE = 0.6  # of a latency target; below it they speed up
RECOVERY_STEP_PERCENT = 10
FULL_PACE_PERCENT = 100
MIN_PACE_PERCENT = 10  # a lower pace becomes 0, which pauses the task
# For which a call without an answer may undo later ones, and one more is due.
DOUBT_SECONDS = MAX_CALL_DELAY_SECONDS + 1.0


def next_pace(percent: int, worst_share: float) -> int:
    """Return the next pace of filling tasks in percent.

    Parameters
    ----------
    percent : int
        Current pace.
    worst_share : float
        Highest latency of a serving task, as a share of its target.
    """
    if worst_share > THROTTLE_SHARE:
        halved = percent // 2
        return halved if halved >= MIN_PACE_PERCENT else 0
    if worst_share < RECOVERY_SHARE:
        return min(FULL_PACE_PERCENT, percent + RECOVERY_STEP_PERCENT)
    return percent


class Pacer:
    """Controls the pace of the filling tasks of one worker."""

    def __init__(self) -> None:
        self._percent = FULL_PACE_PERCENT
        self._acknowledged: dict[tuple[str, int], int] = {}
        self._found: set[tuple[str, int]] = set()
        self._doubtful_until: dict[tuple[str, int], float] = {}

    def begin_lifetime(self, runs: tuple[RunReport, ...]) -> None:
        """Take over the runs that a lifetime of the worker has when it is first seen.

        An earlier process of the agent may have slowed them.
        """
        self._found = {(run.task, run.run) for run in runs}

    def pending_changes(
        self, runs: tuple[RunReport, ...], orders: dict[tuple[str, int], RunOrder]
    ) -> list[tuple[str, int, int]]:
        """Update the pace; return task, run and percent of each run to change."""
        worst = 0.0
        filling = []
        for run in runs:
            order = orders.get((run.task, run.run))
            if order is None:
                continue
            if order.target_ms:
                worst = max(worst, run.usage / order.target_ms)
            elif order.filling:
                filling.append((run.task, run.run))
        present = {(run.task, run.run) for run in runs}
        for key in self._acknowledged.keys() - present:
            del self._acknowledged[key]
        for key in self._doubtful_until.keys() - present:
            del self._doubtful_until[key]
        self._percent = next_pace(self._percent, worst)
        pending_changes = []
        for key in filling:
            if self._pace_of(key) != self._percent:
                pending_changes.append((*key, self._percent))
        return pending_changes

    def acknowledge(self, task: str, run: int, percent: int) -> None:
        """Record that the worker has set a run's pace."""
        self._acknowledged[(task, run)] = percent

    def record_unanswered(self, task: str, run: int) -> None:
        """Record a call without an answer, which may be carried out late."""
        self._doubtful_until[(task, run)] = clock.elapsed() + DOUBT_SECONDS

    def _pace_of(self, key: tuple[str, int]) -> int | None:
        """Return the pace of a run, ``None`` if it is not known."""
        if clock.elapsed() < self._doubtful_until.get(key, float("-inf")):
            return None
        unset = None if key in self._found else FULL_PACE_PERCENT
        return self._acknowledged.get(key, unset)
