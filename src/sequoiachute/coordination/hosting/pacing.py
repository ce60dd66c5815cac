"""Slowing filling tasks down while they disturb those that serve.

The figures come each half second, so the loop runs beside the worker.
"""

from sequoiachute.protocol.supervision import RunOrder, RunReport

THROTTLE_SHARE = 0.85  # of a target: above it the filling tasks give way
RECOVERY_SHARE = 0.6  # below it they may work more
RECOVERY_STEP_PERCENT = 10
FULL_PACE_PERCENT = 100
MIN_PACE_PERCENT = 10  # below it a task stands still


def next_pace(percent: int, worst_share: float) -> int:
    """Return the pace for filling tasks.

    Parameters
    ----------
    percent : int
        Pace in force.
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
    """Holds the pace of the filling tasks beside one worker."""

    def __init__(self) -> None:
        self._percent = FULL_PACE_PERCENT
        self._acknowledged: dict[tuple[str, int], int] = {}

    def pending_changes(
        self, runs: tuple[RunReport, ...], orders: dict[tuple[str, int], RunOrder]
    ) -> list[tuple[str, int, int]]:
        """Return task, run and percent of each filling task to be told."""
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
        self._acknowledged = {
            key: self._acknowledged.get(key, FULL_PACE_PERCENT) for key in filling
        }
        self._percent = next_pace(self._percent, worst)
        pending_changes = []
        for key in filling:
            if self._acknowledged[key] != self._percent:
                pending_changes.append((*key, self._percent))
        return pending_changes

    def acknowledge(self, task: str, run: int, percent: int) -> None:
        """Take that the worker has accepted a pace."""
        if (task, run) in self._acknowledged:
            self._acknowledged[(task, run)] = percent
