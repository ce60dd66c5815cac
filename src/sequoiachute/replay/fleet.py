"""Workers of a replayed day: they carry out orders and report, as agents do."""

from collections.abc import Callable
from typing import NamedTuple

from sequoiachute.coordination.scheduling.space import core_seconds
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
from sequoiachute.replay.day import SERVICE, Machine

BROKEN = "broken"
ALONE = "alone"
GANG_WAIT_SECONDS = 3.0  # a member waits so long for the others; the site's gang_ms


class Work(NamedTuple):
    """What a task truly needs: seconds on the typical worker, and its fate."""

    step: StepSpec
    seconds: float
    fails_at: float | None


class Rules(NamedTuple):
    """How workers behave; times in seconds, see ``Site``."""

    far_factor: float
    save_seconds: float
    restore_seconds: float
    stop_seconds: float


class Condition(NamedTuple):
    """How a worker is doing: its share of speed, and what it does to runs."""

    factor: float = 1.0
    fails: bool = False
    hangs: bool = False


class SimulatedRun:
    """One run of a task."""

    def __init__(self, task: TaskId, run: int, work: Work, saved: float) -> None:
        self.task = task
        self.run = run
        self.work = work
        self.done_seconds = saved
        self.saved_seconds = saved
        self.present_seconds = 0.0
        self.unsaved_time = 0.0
        self.waited = 0.0
        self.stop_left: float | None = None

    @property
    def token(self) -> str:
        """The newest checkpoint, empty if there is none."""
        saved = int(self.saved_seconds * 1000)
        return f"{saved:09d}" if self.work.step.checkpoints and saved else ""

    @property
    def percent(self) -> int:
        """Progress as it is reported."""
        return min(100, int(100 * self.done_seconds / self.work.seconds))

    @property
    def lost_core_seconds(self) -> float:
        """Work that no checkpoint holds."""
        return core_seconds(self.work.step.need, self.unsaved_time)

    def advance(self, seconds: float, speed: float, rules: Rules) -> None:
        """Work for ``seconds``."""
        self.present_seconds += seconds
        if self.saved_seconds and self.present_seconds <= rules.restore_seconds:
            return
        self.unsaved_time += seconds
        self.done_seconds += seconds * speed
        unsaved = self.done_seconds - self.saved_seconds
        if self.work.step.checkpoints and unsaved >= rules.save_seconds:
            self.save()

    def save(self) -> None:
        """Write a checkpoint."""
        self.saved_seconds = self.done_seconds
        self.unsaved_time = 0.0


class SimulatedWorker:
    """A worker and its agent."""

    def __init__(self, machine: Machine, rules: Rules) -> None:
        self.machine = machine
        self.condition = Condition()
        self.is_up = True
        self.leaves_at: float | None = None
        self.runs: dict[tuple[TaskId, int], SimulatedRun] = {}
        self.known_version = 0
        self.has_news = True
        self.rules = rules
        self._seen: set[tuple[TaskId, int]] = set()
        self._ends: list[EndReport] = []
        self._ended = 0
        self._sequence = 0
        self._lives = 1

    @property
    def life(self) -> Lifetime:
        """The lifetime that runs now."""
        return Lifetime(f"{self.machine.name}-{self._lives}", self._lives)

    def speed_of(self, run: SimulatedRun, racks: int) -> float:
        """Return how fast a run works whose gang is spread over ``racks``."""
        step = run.work.step
        far = bool(step.data_rack) and step.data_rack != self.machine.rack
        if far or (step.same_rack and racks > 1):
            return self.machine.speed * self.condition.factor / self.rules.far_factor
        return self.machine.speed * self.condition.factor

    def report(self, term: int, now: float) -> Report:
        """Return what the agent says."""
        self._sequence += 1
        self.has_news = False
        machine = self.machine
        leaving = self.leaves_at is not None
        info = WorkerInfo(
            self.life,
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
            runs.append(RunReport(str(run.task), run.run, run.token, run.percent))
        return Report(
            host=machine.name,
            incarnation=machine.name,
            sequence=self._sequence,
            worker=info,
            ended_life=None,
            term=term,
            worker_clock_ms=int(now * 1000) + 1,
            runs=tuple(runs),
            ends=tuple(self._ends),
        )

    def take(
        self,
        orders: tuple[RunOrder, ...],
        ack: int,
        work_of: Callable[[TaskId, int], Work],
    ) -> None:
        """Carry orders out."""
        self._ends = [end for end in self._ends if end.number > ack]
        for order in orders:
            task = parse_task_id(order.task)
            if task is None:
                continue
            key = (task, order.run)
            run = self.runs.get(key)
            if order.stop:
                if run is not None and run.stop_left is None:
                    run.stop_left = self.rules.stop_seconds
                elif run is None and key not in self._seen:
                    self._seen.add(key)
                    self._note_end(task, order.run, STOPPED, order.token)
            elif key not in self._seen:
                self._seen.add(key)
                saved = int(order.token) / 1000 if order.token else 0.0
                work = work_of(task, order.run)
                self.runs[key] = SimulatedRun(task, order.run, work, saved)

    def end(self, run: SimulatedRun, how: str) -> None:
        """End a run and tell it in the next report."""
        if how == STOPPED and run.work.step.checkpoints:
            run.save()
        del self.runs[(run.task, run.run)]
        self._note_end(run.task, run.run, how, run.token)

    def _note_end(self, task: TaskId, run: int, how: str, token: str) -> None:
        self._ended += 1
        self._ends.append(EndReport(self._ended, str(task), run, how, token))
        self.has_news = True

    def power_off(self) -> list[SimulatedRun]:
        """Go down and return the runs that are lost."""
        lost = list(self.runs.values())
        self.is_up = False
        self.runs = {}
        return lost

    def power_on(self) -> None:
        """Come back in a new lifetime."""
        self.is_up = True
        self.leaves_at = None
        self._lives += 1
        self._ends = []
        self._ended = 0
        self.has_news = True


def fate(run: SimulatedRun, condition: Condition) -> str:
    """Return how a run ends by itself now, empty if it goes on."""
    failing = run.work.fails_at
    if failing is not None and run.done_seconds >= failing:
        return RUN_FAILED
    if condition.fails and run.done_seconds > run.saved_seconds:
        return RUN_FAILED
    return DONE if run.done_seconds >= run.work.seconds else ""
