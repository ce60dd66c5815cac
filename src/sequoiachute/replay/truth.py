"""Gives a policy the true run times, speeds and objectives of a simulated day."""

from sequoiachute.coordination.scheduling import (
    ActiveRun,
    SchedulingUnit,
    SchedulingView,
)
from sequoiachute.protocol.workload import TaskId
from sequoiachute.replay.engine import Replay
from sequoiachute.replay.fleet import SimulatedWorker

MIN_SPEED = 0.05  # of the typical worker; for workers that make no progress


class Oracle:
    """Replaces the estimates in a placer's view by true values.

    Parameters
    ----------
    replay : Replay
        The running simulation.
    """

    def __init__(self, replay: Replay) -> None:
        self._replay = replay
        arrivals = replay.day.arrivals
        self._arrivals = {arrival.job.job_id: arrival for arrival in arrivals}

    def correct_view(self, view: SchedulingView) -> SchedulingView:
        """Return the view with true run times, speeds and deadlines."""
        hosts = []
        for host in view.hosts:
            worker = self._replay.worker(host.name)
            speed = worker.machine.speed * max(worker.condition.speed_factor, MIN_SPEED)
            running = tuple(self._correct_run(worker, run) for run in host.running)
            hosts.append(host._replace(speed=speed, running=running))
        units = tuple(self._correct_unit(unit) for unit in view.units)
        return view._replace(hosts=tuple(hosts), units=units)

    def _correct_run(self, worker: SimulatedWorker, run: ActiveRun) -> ActiveRun:
        simulated_run = worker.runs.get((run.task, run.run))
        if simulated_run is None:
            return run
        speed = max(worker.speed_of(simulated_run, 1), MIN_SPEED)
        remaining_seconds = (
            simulated_run.work.seconds - simulated_run.done_seconds
        ) / speed
        unsaved_seconds = (
            0.0
            if simulated_run.work.step.checkpoints
            else simulated_run.unsaved_run_seconds
        )
        return run._replace(
            remaining_seconds=remaining_seconds,
            unsaved_seconds=unsaved_seconds,
            deadline=self._true_deadline(run.task),
            stretch=0.0,
        )

    def _correct_unit(self, unit: SchedulingUnit) -> SchedulingUnit:
        task = unit.tasks[0]
        seconds_by_step = self._arrivals[task.job_id].seconds
        longest = max(seconds_by_step[task.step][member.index] for member in unit.tasks)
        chain_seconds = longest + sum(
            max(seconds) for seconds in seconds_by_step[task.step + 1 :]
        )
        return unit._replace(
            step=unit.step._replace(estimate_seconds=longest),
            chain_seconds=chain_seconds,
            deadline=self._true_deadline(task),
        )

    def _true_deadline(self, task: TaskId) -> float:
        """Return a job's true deadline, infinite for jobs that are cancelled."""
        job_value = self._replay.job_values.get(task.job_id)
        if job_value is None:
            return float("inf")
        return job_value.arrival.at + job_value.objective_seconds
