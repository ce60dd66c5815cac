"""Tracks for how long tasks wait although their turn has come."""

from sequoiachute.protocol.workload import TaskId


class WaitTimes:
    """Start of each task's wait, as seen by this placer.

    A wait lasts until the task is seen at work. A placement that comes to nothing does
    not end it.
    """

    def __init__(self) -> None:
        self._since: dict[TaskId, float] = {}

    def seconds(self, task: TaskId, now: float) -> float:
        """Return the seconds for which a task has waited; its wait begins if new."""
        return now - self._since.setdefault(task, now)

    def end(self, task: TaskId) -> None:
        """End the wait of a task that has been at work."""
        self._since.pop(task, None)

    def forget_ended_jobs(self, live: set[str]) -> None:
        """Drop the tasks of all jobs but those that are ``live``."""
        for task in [task for task in self._since if task.job_id not in live]:
            del self._since[task]
