"""Simulates workers with their agents, which apply orders and report runs."""

from collections.abc import Callable
from typing import NamedTuple

from sequoiachute.coordination.scheduling.capacity import core_seconds
from sequoiachute.protocol.supervision import (
    DONE,
    RUN_FAILED,
    STOPPED,
    EndReport,
    Report,
    RunOrder,
    RunReport,
    WorkerInfo,
)
from sequoiachute.protocol.workload import Lifetime, StepSpec, TaskId, parse_task_id
from sequoiachute.replay.day import SERVICE, SimulatedMachine

GANG_BROKEN = "broken"
GANG_INCOMPLETE = "alone"
GANG_WAIT_SECONDS = 3.0  # for the other members of a gang; the site's gang_ms


class TaskWork(NamedTuple):
    """The true work of one run of a task, unknown to the placer.

    ``seconds`` is its run time on the typical worker. After ``fails_at`` of
    them the run fails by its own fault; ``None`` if it does not.
    """

    step: StepSpec
    seconds: float
    fails_at: float | None


class WorkerParameters(NamedTuple):
    """Parameters that all workers share; see ``ReplaySite``."""

    far_factor: float
    save_seconds: float
    restore_seconds: float
    stop_seconds: float


class WorkerCondition(NamedTuple):
    """Faults in effect on a worker; ``speed_factor`` multiplies its speed."""

    speed_factor: float = 1.0
    fails: bool = False
    hangs: bool = False


class SimulatedRun:
    """The progress of one run of a task on a worker.

    Progress and checkpoints are in seconds of work on the typical worker,
    ``unsaved_run_seconds`` in simulated seconds since the last checkpoint.
    """

    def __init__(
        self, task: TaskId, run: int, work: TaskWork, saved_seconds: float
    ) -> None:
        self.task = task
        self.run = run
        self.work = work
        self.done_seconds = saved_seconds
        self.saved_seconds = saved_seconds
        self.elapsed_seconds = 0.0
        self.unsaved_run_seconds = 0.0
        self.gang_wait_seconds = 0.0
        self.stop_seconds_left: float | None = None

    @property
    def checkpoint_token(self) -> str:
        """The newest checkpoint's token, empty if there is none."""
        saved_ms = int(self.saved_seconds * 1000)
        return f"{saved_ms:09d}" if self.work.step.checkpoints and saved_ms else ""

    @property
    def percent(self) -> int:
        """Completed share of the work in percent, rounded down."""
        return min(100, int(100 * self.done_seconds / self.work.seconds))

    @property
    def lost_core_seconds(self) -> float:
        """Work since the last checkpoint, lost if the run ends now."""
        return core_seconds(self.work.step.need, self.unsaved_run_seconds)

    def advance(
        self, seconds: float, speed: float, parameters: WorkerParameters
    ) -> None:
        """Advance by ``seconds`` at ``speed``, restoring and saving checkpoints."""
        self.elapsed_seconds += seconds
        if self.saved_seconds and self.elapsed_seconds <= parameters.restore_seconds:
            return
        self.unsaved_run_seconds += seconds
        self.done_seconds += seconds * speed
        unsaved = self.done_seconds - self.saved_seconds
        if self.work.step.checkpoints and unsaved >= parameters.save_seconds:
            self.save()

    def save(self) -> None:
        """Write a checkpoint."""
        self.saved_seconds = self.done_seconds
        self.unsaved_run_seconds = 0.0


class SimulatedWorker:
    """Simulates one worker with its agent."""

    def __init__(self, machine: SimulatedMachine, parameters: WorkerParameters) -> None:
        self.machine = machine
        self.condition = WorkerCondition()
        self.is_up = True
        self.leaves_at: float | None = None
        self.runs: dict[tuple[TaskId, int], SimulatedRun] = {}
        self.delivered_version = 0
        self.report_due = True
        self.parameters = parameters
        self._seen_runs: set[tuple[TaskId, int]] = set()
        self._unacknowledged_ends: list[EndReport] = []
        self._end_count = 0
        self._report_sequence = 0
        self._lifetime_number = 1

    @property
    def lifetime(self) -> Lifetime:
        """The current lifetime."""
        return Lifetime(
            f"{self.machine.name}-{self._lifetime_number}", self._lifetime_number
        )

    def speed_of(self, run: SimulatedRun, racks: int) -> float:
        """Return the speed of a run whose gang is spread over ``racks`` racks."""
        step = run.work.step
        is_remote = bool(step.data_rack) and step.data_rack != self.machine.rack
        if is_remote or (step.same_rack and racks > 1):
            return (
                self.machine.speed
                * self.condition.speed_factor
                / self.parameters.far_factor
            )
        return self.machine.speed * self.condition.speed_factor

    def report(self, term: int, now: float) -> Report:
        """Return the agent's next report."""
        self._report_sequence += 1
        self.report_due = False
        machine = self.machine
        leaving = self.leaves_at is not None
        info = WorkerInfo(
            self.lifetime,
            SERVICE,
            str(machine.zone),
            machine.rack,
            machine.labels,
            machine.capacity,
            leaving,
            max(0.0, self.leaves_at - now) if self.leaves_at is not None else 0.0,
        )
        runs = []
        for run in self.runs.values():
            runs.append(
                RunReport(str(run.task), run.run, run.checkpoint_token, run.percent)
            )
        return Report(
            host=machine.name,
            incarnation=machine.name,
            sequence=self._report_sequence,
            worker=info,
            ended_lifetime=None,
            term=term,
            worker_clock_ms=int(now * 1000) + 1,
            runs=tuple(runs),
            ends=tuple(self._unacknowledged_ends),
        )

    def apply_orders(
        self,
        orders: tuple[RunOrder, ...],
        ack: int,
        work_of: Callable[[TaskId, int], TaskWork],
    ) -> None:
        """Start and stop runs as ordered; drop end reports up to number ``ack``."""
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end.number > ack
        ]
        for order in orders:
            task = parse_task_id(order.task)
            if task is None:
                continue
            key = (task, order.run)
            run = self.runs.get(key)
            if order.stop:
                if run is not None and run.stop_seconds_left is None:
                    run.stop_seconds_left = self.parameters.stop_seconds
                elif run is None and key not in self._seen_runs:
                    self._seen_runs.add(key)
                    self._add_end_report(task, order.run, STOPPED, order.token)
            elif key not in self._seen_runs:
                self._seen_runs.add(key)
                saved_seconds = int(order.token) / 1000 if order.token else 0.0
                work = work_of(task, order.run)
                self.runs[key] = SimulatedRun(task, order.run, work, saved_seconds)

    def end(self, run: SimulatedRun, outcome: str) -> None:
        """End a run, which the next report includes."""
        if outcome == STOPPED and run.work.step.checkpoints:
            run.save()
        del self.runs[(run.task, run.run)]
        self._add_end_report(run.task, run.run, outcome, run.checkpoint_token)

    def _add_end_report(self, task: TaskId, run: int, outcome: str, token: str) -> None:
        self._end_count += 1
        self._unacknowledged_ends.append(
            EndReport(self._end_count, str(task), run, outcome, token)
        )
        self.report_due = True

    def power_off(self) -> list[SimulatedRun]:
        """Power the worker off and return the runs that are lost."""
        lost = list(self.runs.values())
        self.is_up = False
        self.runs = {}
        return lost

    def power_on(self) -> None:
        """Power the worker on in a new lifetime."""
        self.is_up = True
        self.leaves_at = None
        self._lifetime_number += 1
        self._unacknowledged_ends = []
        self._end_count = 0
        self.report_due = True


def outcome_of(run: SimulatedRun, condition: WorkerCondition) -> str:
    """Return how a run ends by itself now, empty if it continues."""
    fails_at = run.work.fails_at
    if fails_at is not None and run.done_seconds >= fails_at:
        return RUN_FAILED
    if condition.fails and run.done_seconds > run.saved_seconds:
        return RUN_FAILED
    return DONE if run.done_seconds >= run.work.seconds else ""
