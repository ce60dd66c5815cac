"""Logs work that waits beside free capacity, and when it is placed."""

from typing import NamedTuple

from loguru import logger

from sequoiachute.coordination.scheduling import SchedulingDecision, SchedulingView
from sequoiachute.coordination.scheduling.waits import Wait, Waits, find_waits
from sequoiachute.protocol.workload import TaskId

EXAMINATION_INTERVAL_SECONDS = 1.0
REPEAT_SECONDS = 5.0  # between two lines of a unit whose reason is the same
MAX_LINES = 10  # of one examination


class _Logged(NamedTuple):
    reason: str
    at: float


class WaitLog:
    """Logs the waits of a placer's rounds; lines are bounded.

    ``waits`` are those of the last examination.
    """

    def __init__(self) -> None:
        self.waits = Waits()
        self._examined_at = float("-inf")
        self._logged: dict[TaskId, _Logged] = {}  # by the first task of a unit

    def record_round(
        self, view: SchedulingView, decision: SchedulingDecision, now: float
    ) -> None:
        """Log what waits after a round at clock time ``now``."""
        if self._logged and decision.placements:
            self._log_placed(view, decision)
        if now < self._examined_at + EXAMINATION_INTERVAL_SECONDS:
            return
        self._examined_at = now
        self.waits = find_waits(view, decision)
        if self._logged:
            self._forget_ended(view)
        self._log_waits(now)

    def _log_placed(self, view: SchedulingView, decision: SchedulingDecision) -> None:
        placed = {placement.task for placement in decision.placements}
        for unit in view.units:
            if unit.tasks[0] not in self._logged or placed.isdisjoint(unit.tasks):
                continue
            task = unit.tasks[0]
            log = logger.bind(job=task.job_id, occurrence=task.occurrence)
            log = log.bind(step=task.step, waited=round(unit.waiting_seconds, 2))
            log = log.bind(reason=self._logged.pop(task).reason)
            log.info("waiting work placed")

    def _forget_ended(self, view: SchedulingView) -> None:
        waiting = {unit.tasks[0] for unit in view.units}
        for task in self._logged.keys() - waiting:
            del self._logged[task]

    def _log_waits(self, now: float) -> None:
        unlogged = self.waits.beside_capacity - len(self.waits.explained)
        lines = 0
        for wait in self.waits.explained:
            task = wait.unit.tasks[0]
            if not self._is_due(task, wait.reason, now):
                continue
            if lines == MAX_LINES:
                unlogged += 1
                continue
            lines += 1
            self._logged[task] = _Logged(wait.reason, now)
            _log_wait(wait)
        if unlogged:
            logger.bind(units=unlogged).info("more work waits beside free capacity")

    def _is_due(self, task: TaskId, reason: str, now: float) -> bool:
        """Return whether a line is due about a unit that waits for ``reason``."""
        logged = self._logged.get(task)
        if logged is None or logged.reason != reason:
            return True
        return now >= logged.at + REPEAT_SECONDS


def _log_wait(wait: Wait) -> None:
    counts = wait.counts
    log = logger.bind(job=wait.job, occurrence=wait.occurrence, step=wait.step)
    log = log.bind(tasks=wait.tasks, waited=round(wait.waiting_seconds, 2))
    log = log.bind(reason=wait.reason, last_attempt=wait.last_attempt)
    log = log.bind(failed_ago=_rounded(wait.failed_seconds))
    log = log.bind(hosts=counts.hosts, open=counts.open, suitable=counts.suitable)
    log = log.bind(reserved=counts.reserved, in_doubt=counts.in_doubt)
    log = log.bind(doubt_age=_rounded(counts.doubt_age))
    log = log.bind(proven=counts.proven, fitting=counts.fitting)
    log.bind(fitting_in_rack=counts.fitting_in_rack).info(
        "work waits beside free capacity"
    )


def _rounded(seconds: float | None) -> float | None:
    """Return seconds for a log line, ``None`` for what has never happened."""
    if seconds is None or seconds == float("inf"):
        return None
    return round(seconds, 2)
