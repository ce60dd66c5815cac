"""Tells when the runs of hosts that are not heard of are certainly over."""

from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Hold
from sequoiachute.protocol.workload import TaskId
from sequoiachute.state.metrics import Metrics


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
    """

    def __init__(self, agents: AgentSessions, metrics: Metrics) -> None:
        self._agents = agents
        self._metrics = metrics
        self._withheld: dict[tuple[TaskId, int], _Withheld] = {}
        self._seen: set[tuple[TaskId, int]] = set()

    @property
    def withheld_count(self) -> int:
        """Number of runs on silent hosts whose loss is withheld."""
        return len(self._withheld)

    def is_over(self, host: str, task: TaskId, run: int) -> bool:
        """Return whether a run on a silent host has certainly ended."""
        hold = self._agents.hold(host, task, run)
        now = clock.elapsed()
        key = (task, run)
        if hold.until < now:
            return True
        self._seen.add(key)
        known = self._withheld.get(key)
        if known is None or known.reason != hold.reason:
            since = known.since if known is not None else now
            self._withheld[key] = _Withheld(since, hold.reason)
            self._log(host, task, run, hold)
        return False

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
