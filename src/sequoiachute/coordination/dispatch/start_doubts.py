"""Keeps tasks away from hosts that have not started them."""

from typing import NamedTuple

from sequoiachute.protocol.workload import TaskId

DOUBT_SECONDS = 10.0  # for which other hosts are preferred
# Between a refusal and the next try on the same host; doubled by each refusal.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 2.0
MAX_COUNT = 16


class _Doubt(NamedTuple):
    """Time of the newest start that came to nothing, and their number."""

    at: float
    count: int

    def retry_seconds(self) -> float:
        """Return how long the task is not tried again."""
        return min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2 ** (self.count - 1))


class StartDoubts:
    """Hosts on which starts of a task came to nothing, by task.

    They say nothing of the hosts' other work: a host may lack room for one task and be
    sound.
    """

    def __init__(self) -> None:
        self._doubts: dict[TaskId, dict[str, _Doubt]] = {}

    def record(self, task: TaskId, host: str, now: float) -> None:
        """Record that a start of ``task`` on ``host`` came to nothing."""
        doubts = self._doubts.setdefault(task, {})
        previous = doubts.get(host)
        count = 0
        if previous is not None and now < previous.at + DOUBT_SECONDS:
            count = previous.count
        doubts[host] = _Doubt(now, min(count + 1, MAX_COUNT))

    def doubted_hosts(self, task: TaskId, now: float) -> frozenset[str]:
        """Return the hosts to which others are preferred for ``task``."""
        doubts = self._doubts.get(task, {})
        return frozenset(
            host for host, doubt in doubts.items() if now < doubt.at + DOUBT_SECONDS
        )

    def paused_hosts(self, task: TaskId, now: float) -> frozenset[str]:
        """Return the hosts on which ``task`` is not tried for now."""
        doubts = self._doubts.get(task, {})
        return frozenset(
            host
            for host, doubt in doubts.items()
            if now < doubt.at + doubt.retry_seconds()
        )

    def forget_ended_jobs(self, live: set[str]) -> None:
        """Drop the tasks of all jobs but those that are ``live``."""
        for task in [task for task in self._doubts if task.job_id not in live]:
            del self._doubts[task]
