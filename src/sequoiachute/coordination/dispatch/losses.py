"""Tells when the runs of hosts that are not heard of are certainly over."""

from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.absences import Absences
from sequoiachute.coordination.dispatch.machine_list import READ_INTERVAL_SECONDS
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Hold
from sequoiachute.protocol.workload import TaskId, TaskState
from sequoiachute.state.metrics import Metrics

# Why a run has certainly ended.
LEASE_RUN_OUT = "lease run out"
MACHINE_DOWN = "machine down"
# Why a run may still exist although its worker is on no machine.
LATE_START_OF_DOWN = "machine down, start may come late"
MAX_READING_SECONDS = READ_INTERVAL_SECONDS + 0.5  # until the next one counts


class _Withheld(NamedTuple):
    """A run whose loss is withheld: since when, and the reason logged last."""

    since: float
    reason: str


class Losses:
    """Withholds the loss of a run that may still exist, and logs why.

    Parameters
    ----------
    agents : AgentSessions
    metrics : Metrics
    absences : Absences, optional
        Without it no life of a worker is known to be over.
    """

    def __init__(
        self,
        agents: AgentSessions,
        metrics: Metrics,
        absences: Absences | None = None,
    ) -> None:
        self._agents = agents
        self._metrics = metrics
        self._absences = absences
        self._withheld: dict[tuple[TaskId, int], _Withheld] = {}
        self._seen: set[tuple[TaskId, int]] = set()

    @property
    def withheld_count(self) -> int:
        """Number of runs on silent hosts whose loss is withheld."""
        return len(self._withheld)

    def begin_round(self) -> None:
        """Take into account what has been read of the machines."""
        if self._absences is not None:
            self._absences.take_reading()

    def reason(self, host: str, task: TaskId, state: TaskState) -> str:
        """Return why a run on a silent host has certainly ended, else empty."""
        run = state.run
        hold = self._agents.hold(host, task, run)
        now = clock.elapsed()
        key = (task, run)
        if hold.until < now:
            return LEASE_RUN_OUT
        if self._absences is not None:
            absent_at = self._absences.absent_at(host, state.lifetime)
            last_call = self._absences.last_late_call(host, task, run)
            if absent_at > last_call:
                return MACHINE_DOWN
            until = last_call + MAX_READING_SECONDS
            if absent_at > float("-inf") and now < until < hold.until:
                hold = Hold(LATE_START_OF_DOWN, until)
        self._seen.add(key)
        known = self._withheld.get(key)
        if known is None or known.reason != hold.reason:
            since = known.since if known is not None else now
            self._withheld[key] = _Withheld(since, hold.reason)
            self._log(host, task, run, hold)
        return ""

    def end_round(self) -> None:
        """Forget the runs that no host has been asked about since the last call."""
        for key in self._withheld.keys() - self._seen:
            del self._withheld[key]
        self._seen.clear()

    def withheld_seconds(self, task: TaskId, run: int) -> float:
        """Return for how long the loss of a run has been withheld."""
        known = self._withheld.get((task, run))
        return clock.elapsed() - known.since if known is not None else 0.0

    def _log(self, host: str, task: TaskId, run: int, hold: Hold) -> None:
        self._metrics.count("losses_withheld_total", reason=hold.reason)
        log = logger.bind(task=str(task), run=run, host=host, reason=hold.reason)
        silent_seconds = self._agents.silent_seconds(host)
        log = log.bind(silent=round(silent_seconds, 3))
        log = log.bind(left=round(hold.until - clock.elapsed(), 3))
        log.info("loss withheld")
