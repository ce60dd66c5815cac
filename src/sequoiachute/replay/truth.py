"""What nobody can know while a day goes on: true times, speeds and objectives."""

from sequoiachute.coordination.scheduling import (
    ActiveRun,
    SchedulingUnit,
    SchedulingView,
)
from sequoiachute.protocol.workload import TaskId
from sequoiachute.replay.engine import Replay
from sequoiachute.replay.fleet import SimulatedWorker

LEAST_SPEED = 0.05  # of the typical worker, as of one that stands still


class Truth:
    """Corrects a placer's view.

    Parameters
    ----------
    replay : Replay
        The day as it goes.
    """

    def __init__(self, replay: Replay) -> None:
        self._replay = replay
        arrivals = replay.day.arrivals
        self._arrivals = {arrival.job.job_id: arrival for arrival in arrivals}

    def reveal(self, view: SchedulingView) -> SchedulingView:
        """Return the view with true times and speeds."""
        hosts = []
        for host in view.hosts:
            worker = self._replay.worker(host.name)
            speed = worker.machine.speed * max(worker.condition.factor, LEAST_SPEED)
            running = tuple(self._reveal_run(worker, run) for run in host.running)
            hosts.append(host._replace(speed=speed, running=running))
        units = tuple(self._reveal_unit(unit) for unit in view.units)
        return view._replace(hosts=tuple(hosts), units=units)

    def _reveal_run(self, worker: SimulatedWorker, run: ActiveRun) -> ActiveRun:
        known = worker.runs.get((run.task, run.run))
        if known is None:
            return run
        speed = max(worker.speed_of(known, 1), LEAST_SPEED)
        left = (known.work.seconds - known.done_seconds) / speed
        unsaved = 0.0 if known.work.step.checkpoints else known.unsaved_time
        return run._replace(
            remaining_seconds=left,
            unsaved_seconds=unsaved,
            deadline=self._due(run.task),
        )

    def _reveal_unit(self, unit: SchedulingUnit) -> SchedulingUnit:
        task = unit.tasks[0]
        works = self._arrivals[task.job_id].seconds
        longest = max(works[task.step][each.index] for each in unit.tasks)
        chain = longest + sum(max(seconds) for seconds in works[task.step + 1 :])
        return unit._replace(
            step=unit.step._replace(estimate_seconds=longest),
            chain_seconds=chain,
            deadline=self._due(task),
        )

    def _due(self, task: TaskId) -> float:
        """Return a job's true objective; cancelled jobs have none."""
        debt = self._replay.debts.get(task.job_id)
        if debt is None:
            return float("inf")
        return debt.arrival.at + debt.objective
