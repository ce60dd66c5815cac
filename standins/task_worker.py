"""A worker in memory: runs tasks under leases and keeps their history."""

from typing import NamedTuple

import eventlet
from eventlet.event import Event
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.protocol.supervision import (
    EndReport,
    RunOrder,
    RunReport,
    WorkerInfo,
)
from sequoiachute.protocol.workload import Lifetime, Resources
from sequoiachute.transport.worker import ALREADY_RAN, WorkerError, WorkerStatus
from standins.memory import MemoryProcess

STOP_SECONDS = 0.1
CALL_SECONDS = 0.4
CLOCK_RATE = 0.98  # a worker's clock may be 2 % slow


class StartRecord(NamedTuple):
    """A start that a worker has carried out."""

    at: float
    task: str
    run: int
    worker_id: str


class EndRecord(NamedTuple):
    """An end of a run."""

    at: float
    task: str
    run: int
    outcome: str
    worker_id: str


class History:
    """Starts and ends of every worker, in order.

    ``noted`` holds task, run and worker of the ends that were acknowledged.
    """

    def __init__(self) -> None:
        self.starts: list[StartRecord] = []
        self.ends: list[EndRecord] = []
        self.noted: set[tuple[str, int, str]] = set()

    def spans(self, task: str) -> list[tuple[float, float]]:
        """Return when runs of a task were there; still there is infinite."""
        ends = {(e.task, e.run, e.worker_id): e.at for e in self.ends}
        spans = []
        for start in self.starts:
            if start.task == task:
                key = (task, start.run, start.worker_id)
                spans.append((start.at, ends.get(key, float("inf"))))
        return spans


class _Run:
    def __init__(self, task: str, run: int, seconds: float) -> None:
        self.task = task
        self.run = run
        self.began_at = clock.now()
        self.seconds = seconds


class MemoryTaskWorker:
    """One worker and its lifetimes.

    ``seconds_of`` tells how long a payload's task works. ``lose_replies`` lets
    orders be carried out without an answer, ``late_seconds`` that much later.
    ``fails`` ends every run as failed at once.
    """

    def __init__(self, name: str, capacity: Resources, history: History) -> None:
        self.name = name
        self.capacity = capacity
        self.history = history
        self.seconds_of = float
        self.lose_replies = False
        self.late_seconds = 0.0
        self.fails_runs = False
        self.leaving_seconds: float | None = None
        self.zone = "muc-1"
        self.poll_count = 0
        self._lives = 0
        self.restart()

    @property
    def life(self) -> Lifetime:
        """The lifetime that runs now."""
        return Lifetime(f"{self.name}-{self._lives}", self._lives)

    def info(self) -> WorkerInfo:
        """Return what its heartbeats say."""
        return WorkerInfo(
            self.life,
            "render",
            self.zone,
            "rack-1",
            ("a", "rack-1"),
            self.capacity,
            self.leaving_seconds is not None,
            self.leaving_seconds or 0.0,
        )

    def restart(self) -> None:
        """Crash and start anew: nothing of before is known."""
        if self._lives:
            for run in list(self._runs.values()):
                self._note_end(run, "crashed")
        self._lives += 1
        self._began_at = clock.now()
        self._runs: dict[str, _Run] = {}
        self._fence = 0
        self._due_ms = 0
        self._ends: list[EndReport] = []
        self._highest: dict[str, int] = {}
        self._count = 0
        self._ended = Event()
        eventlet.spawn(self._tick, self._lives)

    @property
    def clock_ms(self) -> int:
        """The worker's own clock."""
        return int((clock.now() - self._began_at) * 1000 * CLOCK_RATE) + 1000

    def used(self) -> Resources:
        """Return what runs hold; each takes one accelerator."""
        return Resources(gpus=len(self._runs))

    def _tick(self, life: int) -> None:
        while life == self._lives:
            for run in list(self._runs.values()):
                if self.clock_ms > self._due_ms:
                    self._end(run, "lapsed")
                elif self.fails_runs:
                    self._end(run, "failed")
                elif clock.now() - run.began_at >= run.seconds:
                    self._end(run, "done")
            clock.sleep(0.05)

    def _end(self, run: _Run, how: str) -> None:
        self._runs.pop(run.task, None)
        self._count += 1
        self._ends.append(EndReport(self._count, run.task, run.run, how, ""))
        self._note_end(run, how)
        ended, self._ended = self._ended, Event()
        ended.send(None)

    def _note_end(self, run: _Run, how: str) -> None:
        worker_id = self.life.worker_id
        end = EndRecord(clock.now(), run.task, run.run, how, worker_id)
        self.history.ends.append(end)

    def view(self) -> WorkerStatus:
        """Return all runs and unacknowledged ends."""
        runs = []
        for run in self._runs.values():
            percent = int(100 * (clock.now() - run.began_at) / max(run.seconds, 0.01))
            runs.append(RunReport(run.task, run.run, "", min(100, percent)))
        return WorkerStatus(self.life, self.clock_ms, tuple(runs), tuple(self._ends))

    def poll(
        self, life: Lifetime, term: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew, acknowledge and show."""
        self.poll_count += 1
        if life.worker_id != self.life.worker_id:
            return Err(WorkerError("other lifetime", False))
        if term < self._fence:
            return Err(WorkerError("fence", False, fenced=True))
        self._fence = term
        self._due_ms = max(self._due_ms, min(lease_ms, self.clock_ms + 10_000))
        for end in self._ends:
            if end.number <= ack:
                key = (end.task, end.run, self.life.worker_id)
                self.history.noted.add(key)
        self._ends = [end for end in self._ends if end.number > ack]
        if not self._ends and wait:
            ended = self._ended
            with eventlet.Timeout(wait, False):
                ended.wait()
        return Ok(self.view())

    def start(
        self, worker_id: str, order: RunOrder, term: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Carry out a start."""
        task, run = order.task, order.run
        if worker_id != self.life.worker_id:
            return Err(WorkerError("other lifetime", False))
        if term < self._fence:
            return Err(WorkerError("fence", False, fenced=True))
        self._fence = term
        known = self._runs.get(task)
        if known is not None and known.run == run:
            return Ok(None)
        if run <= self._highest.get(task, 0):
            return Err(WorkerError(ALREADY_RAN, False))
        if lease_ms <= self.clock_ms:
            return Err(WorkerError("late", False))
        self._due_ms = max(self._due_ms, lease_ms)
        self._highest[task] = run
        self._runs[task] = _Run(task, run, self.seconds_of(order.payload))
        start = StartRecord(clock.now(), task, run, self.life.worker_id)
        self.history.starts.append(start)
        return Ok(None)

    def stop(
        self, worker_id: str, task: str, run: int, term: int
    ) -> Result[None, WorkerError]:
        """Carry out a stop."""
        if worker_id != self.life.worker_id:
            return Err(WorkerError("other lifetime", False))
        if term < self._fence:
            return Err(WorkerError("fence", False, fenced=True))
        self._highest[task] = max(run, self._highest.get(task, 0))
        known = self._runs.get(task)
        if known is not None and known.run == run:
            eventlet.spawn_after(STOP_SECONDS, self._stopped, known)
        return Ok(None)

    def _stopped(self, run: _Run) -> None:
        if self._runs.get(run.task) is run:
            self._end(run, "stopped")

    def link(self, process: MemoryProcess) -> "WorkerLink":
        """Return the worker as its agent reaches it."""
        return WorkerLink(self, process)


class WorkerLink:
    """The worker as its agent reaches it."""

    def __init__(self, worker: MemoryTaskWorker, process: MemoryProcess) -> None:
        self._worker = worker
        self._process = process

    def poll(
        self, life: Lifetime, term: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew, acknowledge and show."""
        self._process.check()
        outcome = self._worker.poll(life, term, lease_ms, ack, wait)
        self._process.check()
        return outcome

    def start(
        self, worker_id: str, order: RunOrder, term: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Order a start."""
        start = self._worker.start
        return self._order(lambda: start(worker_id, order, term, lease_ms))

    def stop(
        self, worker_id: str, task: str, run: int, term: int
    ) -> Result[None, WorkerError]:
        """Order a stop."""
        return self._order(lambda: self._worker.stop(worker_id, task, run, term))

    def _order(self, act: object) -> Result[None, WorkerError]:
        self._process.check()
        clock.sleep(0.001)
        if self._worker.late_seconds:
            eventlet.spawn_after(self._worker.late_seconds, act)
            clock.sleep(CALL_SECONDS)
            return Err(WorkerError("no answer", None))
        outcome = act()
        self._process.check()
        if self._worker.lose_replies:
            clock.sleep(CALL_SECONDS)
            return Err(WorkerError("no answer", None))
        return outcome
