"""In-memory stand-in for a worker that runs tasks under leases."""

from collections.abc import Callable
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
from sequoiachute.transport.worker import (
    ALREADY_RAN,
    OTHER_LIFETIME,
    UNHEALTHY,
    WorkerError,
    WorkerStatus,
)
from standins.memory import MemoryProcess

STOP_DELAY_SECONDS = 0.1
TICK_SECONDS = 0.05  # between two looks at the runs
SHRINK_NOTICE_SECONDS = 4.5  # from a shrink until it counts; users' contact_ms and beat
CALL_TIMEOUT_SECONDS = 0.4
NO_CONNECTION = WorkerError("no connection", False, fenced=True, gone=True)
CLOCK_RATE = 0.98  # a worker's clock may be 2 % slow


class StartRecord(NamedTuple):
    """A run started by a worker; ``at`` is in seconds.

    ``beside`` holds the tasks that ran there already and ``room`` the most capacity
    that the worker has announced lately. ``late`` is true if the order was held up,
    ``in_other_life`` if it was meant for an earlier lifetime.
    """

    at: float
    task: str
    run: int
    lifetime: Lifetime
    beside: tuple[str, ...] = ()
    room: Resources = Resources()
    late: bool = False
    in_other_life: bool = False

    @property
    def worker_id(self) -> str:
        """Identity of the worker, which a later lifetime may have again."""
        return self.lifetime.worker_id


class EndRecord(NamedTuple):
    """A run ended on a worker; ``at`` is in seconds."""

    at: float
    task: str
    run: int
    outcome: str
    lifetime: Lifetime

    @property
    def worker_id(self) -> str:
        """Identity of the worker, which a later lifetime may have again."""
        return self.lifetime.worker_id


class History:
    """Starts and ends of runs on all workers, in order.

    ``acknowledged`` holds the task, run and lifetime of every end that was taken note
    of: acknowledged before the worker's lease has lapsed.
    """

    def __init__(self) -> None:
        self.starts: list[StartRecord] = []
        self.ends: list[EndRecord] = []
        self.acknowledged: set[tuple[str, int, Lifetime]] = set()

    def intervals(self, task: str) -> list[tuple[float, float]]:
        """Return the start and end times of a task's runs.

        A run that has not ended has an infinite end time.
        """
        ends = {(e.task, e.run, e.lifetime): e.at for e in self.ends}
        intervals = []
        for start in self.starts:
            if start.task == task:
                key = (task, start.run, start.lifetime)
                intervals.append((start.at, ends.get(key, float("inf"))))
        return intervals


class _Run:
    def __init__(self, task: str, run: int, seconds: float) -> None:
        self.task = task
        self.run = run
        self.started_at = clock.now()
        self.seconds = seconds
        self.stands_still_since: float | None = None

    @property
    def worked_seconds(self) -> float:
        """Time for which the run has made progress."""
        since = self.stands_still_since
        return (clock.now() if since is None else since) - self.started_at

    def set_stands_still(self, stands_still: bool) -> None:
        """Interrupt or continue the progress."""
        since = self.stands_still_since
        if stands_still and since is None:
            self.stands_still_since = clock.now()
        elif not stands_still and since is not None:
            self.started_at += clock.now() - since
            self.stands_still_since = None


class MemoryTaskWorker:
    """One worker and its lifetimes.

    ``seconds_of`` maps a payload to the run time in seconds. With ``lose_replies``
    orders are carried out but time out; with ``late_seconds`` they time out and
    are carried out that much later. ``fails_runs`` fails every run at once,
    ``refuses_starts`` refuses every start and counts them in ``refused_starts``,
    ``silent`` answers no call, ``gone`` refuses connections and runs nothing. While it
    ``stands_still``, its runs make no progress. A run of one of the ``deadly_jobs``,
    which may also hold single tasks, crashes the worker after ``crash_delay_seconds``;
    it is back ``down_seconds`` later, under the same id if it ``keeps_id``. ``paces``
    holds the paces that have been set. While it is down calls time out, or find nothing
    that listens if it ``refuses_when_down``. Answers take ``answer_seconds``.
    Lives that begin while its time of day is ahead are born ``clock_ahead_ms`` later.
    """

    def __init__(self, name: str, capacity: Resources, history: History) -> None:
        self.name = name
        self._capacities = [(clock.now(), capacity)]
        self.history = history
        self.seconds_of = float
        self.lose_replies = False
        self.late_seconds = 0.0
        self.fails_runs = False
        self.refuses_starts = False
        self.refused_starts = 0
        self.silent = False
        self.gone = False
        self.stands_still = False
        self._late_order_at: float | None = None
        self.deadly_jobs: set[str] = set()
        self.crash_delay_seconds = 0.1
        self.down_seconds = 3.0
        self.is_down = False
        self.keeps_id = False
        self.refuses_when_down = False
        self.answer_seconds = 0.001
        self.max_lease_seconds = 10.0
        self.leaving_seconds: float | None = None
        self.service = "render"
        self.zone = "muc-1"
        self.rack = "rack-1"
        self.poll_count = 0
        self._lifetime_count = 0
        self.clock_ahead_ms = 0
        self._worker_id = ""
        self.restart()

    @property
    def capacity(self) -> Resources:
        """What the worker has room for; it may shrink and grow while tasks run."""
        return self._capacities[-1][1]

    @capacity.setter
    def capacity(self, capacity: Resources) -> None:
        self._capacities.append((clock.now(), capacity))

    def _recent_room(self) -> Resources:
        """Return the most of each resource within ``SHRINK_NOTICE_SECONDS``.

        They count from when an order was sent that is carried out late.
        """
        sent_at = self._late_order_at
        oldest = clock.now() if sent_at is None else sent_at
        room = self.capacity
        until = float("inf")
        for since, capacity in reversed(self._capacities):
            if until < oldest - SHRINK_NOTICE_SECONDS:
                break
            pairs = zip(room, capacity, strict=True)
            room = Resources(*(max(pair) for pair in pairs))
            until = since
        return room

    @property
    def lifetime(self) -> Lifetime:
        """The current lifetime."""
        return Lifetime(self._worker_id, self._born)

    def info(self) -> WorkerInfo:
        """Return the worker's description in its heartbeats."""
        return WorkerInfo(
            self.lifetime,
            self.service,
            self.zone,
            self.rack,
            ("a", self.rack),
            self.capacity,
            self.leaving_seconds is not None,
            self.leaving_seconds or 0.0,
        )

    def restart(self, same_id: bool = False) -> None:
        """Crash and start a new lifetime without any earlier state."""
        if self._lifetime_count:
            for run in list(self._runs.values()):
                self._record_end(run, "crashed")
        self._lifetime_count += 1
        if not same_id:
            self._worker_id = f"{self.name}-{self._lifetime_count}"
        self._born = self._lifetime_count + self.clock_ahead_ms
        self._started_at = clock.now()
        self._runs: dict[tuple[str, int], _Run] = {}
        self._highest_fence = 0
        self._lease_ms = 0
        self._ends: list[EndReport] = []
        self._highest_run: dict[str, int] = {}
        self.paces: dict[tuple[str, int], int] = {}
        self._end_count = 0
        self._lapsed_ends = 0
        self._ended = Event()
        eventlet.spawn(self._run_tasks, self._lifetime_count)

    def crash(self) -> None:
        """Crash; come back in a new lifetime after ``down_seconds``."""
        eventlet.spawn(self._crash, self.lifetime)

    def _crash(self, lifetime: Lifetime) -> None:
        if self.is_down or lifetime != self.lifetime:
            return
        self.lose_power()
        clock.sleep(self.down_seconds)
        self.restore_power(self.keeps_id)

    def lose_power(self) -> None:
        """End all runs and stay down until ``restore_power``."""
        for run in self._runs.values():
            self._record_end(run, "crashed")
        self._runs.clear()
        self.is_down = True

    def restore_power(self, same_id: bool = False) -> None:
        """Come back in a new lifetime."""
        self.is_down = False
        self.restart(same_id)

    @property
    def clock_ms(self) -> int:
        """Reading of the worker's own clock in milliseconds."""
        return int((clock.now() - self._started_at) * 1000 * CLOCK_RATE) + 1000

    @property
    def running(self) -> frozenset[str]:
        """The tasks that run now."""
        return frozenset(task for task, _ in self._runs)

    @property
    def can_start(self) -> bool:
        """Whether the worker starts what it is asked to."""
        is_leaving = self.leaving_seconds is not None
        is_away = self.silent or self.gone or self.is_down
        return not (is_leaving or self.refuses_starts or is_away)

    def used(self) -> Resources:
        """Return the resources in use; each run takes one accelerator."""
        return Resources(gpus=len(self._runs))

    def _run_tasks(self, lifetime_number: int) -> None:
        while lifetime_number == self._lifetime_count:
            if self.gone:
                for run in list(self._runs.values()):
                    self._end(run, "crashed")
            for run in list(self._runs.values()):
                run.set_stands_still(self.stands_still)
                if self.clock_ms > self._lease_ms:
                    self._end(run, "lapsed")
                elif self.fails_runs:
                    self._end(run, "failed")
                elif run.worked_seconds >= run.seconds:
                    self._end(run, "done")
            clock.sleep(TICK_SECONDS)

    def _extend_leases(self, lease_ms: int) -> None:
        if self.clock_ms > self._lease_ms:
            self._lapsed_ends = self._end_count
        latest_ms = self.clock_ms + int(self.max_lease_seconds * 1000)
        self._lease_ms = max(self._lease_ms, min(lease_ms, latest_ms))

    def _end(self, run: _Run, outcome: str) -> None:
        self._runs.pop((run.task, run.run), None)
        self._end_count += 1
        self._ends.append(EndReport(self._end_count, run.task, run.run, outcome, ""))
        self._record_end(run, outcome)
        ended, self._ended = self._ended, Event()
        ended.send(None)

    def _record_end(self, run: _Run, outcome: str) -> None:
        end = EndRecord(clock.now(), run.task, run.run, outcome, self.lifetime)
        self.history.ends.append(end)

    def end_run(self, task: str, outcome: str) -> None:
        """End the present run of a task."""
        for run in list(self._runs.values()):
            if run.task == task:
                self._end(run, outcome)

    def status(self) -> WorkerStatus:
        """Return all runs and the ends not acknowledged yet."""
        runs = []
        for run in self._runs.values():
            percent = int(100 * run.worked_seconds / max(run.seconds, 0.01))
            runs.append(RunReport(run.task, run.run, "", min(100, percent)))
        return WorkerStatus(
            self.lifetime, self.clock_ms, tuple(runs), tuple(self._ends)
        )

    def poll(
        self, lifetime: Lifetime, fence: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew the leases, acknowledge ends and return the status."""
        self.poll_count += 1
        if lifetime.worker_id != self.lifetime.worker_id:
            return Err(WorkerError(OTHER_LIFETIME, False))
        if fence < self._highest_fence:
            return Err(WorkerError("fence", False, fenced=True))
        self._highest_fence = fence
        self._extend_leases(lease_ms)
        for end in self._ends:
            if self._lapsed_ends < end.number <= ack:
                key = (end.task, end.run, self.lifetime)
                self.history.acknowledged.add(key)
        self._ends = [end for end in self._ends if end.number > ack]
        if not self._ends and wait:
            number, ended = self._lifetime_count, self._ended
            with eventlet.Timeout(wait, False):
                ended.wait()
            if number != self._lifetime_count:
                return Err(WorkerError("the worker has crashed", None))
        return Ok(self.status())

    def start(
        self, lifetime: Lifetime, order: RunOrder, fence: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Start a run, unless it is fenced or has been started before."""
        task, run = order.task, order.run
        if self.is_down or lifetime.worker_id != self.lifetime.worker_id:
            return Err(WorkerError(OTHER_LIFETIME, False))
        if self.refuses_starts:
            self.refused_starts += 1
            return Err(WorkerError(UNHEALTHY, False))
        if fence < self._highest_fence:
            return Err(WorkerError("fence", False, fenced=True))
        self._highest_fence = fence
        if (task, run) in self._runs:
            return Ok(None)
        if run <= self._highest_run.get(task, 0):
            return Err(WorkerError(ALREADY_RAN, False))
        if lease_ms <= self.clock_ms:
            return Err(WorkerError("late", False))
        self._extend_leases(lease_ms)
        self._highest_run[task] = run
        beside = tuple(other for other, _ in self._runs)
        new = _Run(task, run, self.seconds_of(order.payload))
        new.set_stands_still(self.stands_still)
        self._runs[(task, run)] = new
        start = StartRecord(
            clock.now(),
            task,
            run,
            self.lifetime,
            beside,
            self._recent_room(),
            self._late_order_at is not None,
            lifetime != self.lifetime,
        )
        self.history.starts.append(start)
        if not self.deadly_jobs.isdisjoint((task, task.partition(".")[0])):
            eventlet.spawn_after(self.crash_delay_seconds, self._crash, self.lifetime)
        return Ok(None)

    def stop(
        self, lifetime: Lifetime, task: str, run: int, fence: int
    ) -> Result[None, WorkerError]:
        """Stop a run after ``STOP_DELAY_SECONDS`` and rule out a later start."""
        if lifetime.worker_id != self.lifetime.worker_id:
            return Err(WorkerError(OTHER_LIFETIME, False))
        if fence < self._highest_fence:
            return Err(WorkerError("fence", False, fenced=True))
        self._highest_fence = fence
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        active = self._runs.get((task, run))
        if active is not None:
            eventlet.spawn_after(STOP_DELAY_SECONDS, self._finish_stop, active)
        return Ok(None)

    def pace(
        self, lifetime: Lifetime, task: str, run: int, percent: int, fence: int
    ) -> Result[None, WorkerError]:
        """Record a run's pace, which does not change its progress."""
        if lifetime.worker_id != self.lifetime.worker_id:
            return Err(WorkerError(OTHER_LIFETIME, False))
        if fence < self._highest_fence:
            return Err(WorkerError("fence", False, fenced=True))
        self.paces[(task, run)] = percent
        return Ok(None)

    def _finish_stop(self, run: _Run) -> None:
        if self._runs.get((run.task, run.run)) is run:
            self._end(run, "stopped")

    def link(self, process: MemoryProcess) -> "WorkerLink":
        """Return a client of the worker for its agent."""
        return WorkerLink(self, process)


class WorkerLink:
    """Client of the worker for its agent."""

    def __init__(self, worker: MemoryTaskWorker, process: MemoryProcess) -> None:
        self._worker = worker
        self._process = process

    @property
    def _is_refused(self) -> bool:
        """Whether nothing listens at the worker's address."""
        worker = self._worker
        return worker.gone or (worker.is_down and worker.refuses_when_down)

    def poll(
        self, lifetime: Lifetime, fence: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew the leases, acknowledge ends and return the status."""
        self._process.apply_faults()
        is_mute = self._worker.silent or self._worker.is_down
        if is_mute and not self._is_refused:
            clock.sleep(wait + CALL_TIMEOUT_SECONDS)
            return Err(WorkerError("no answer", None))
        clock.sleep(self._worker.answer_seconds)
        if self._is_refused:
            return Err(NO_CONNECTION)
        outcome = self._worker.poll(lifetime, fence, lease_ms, ack, wait)
        self._process.apply_faults()
        if self._worker.is_down or self._worker.gone:
            return Err(WorkerError("no answer", None))
        return outcome

    def start(
        self, lifetime: Lifetime, order: RunOrder, fence: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Start a run."""
        start = self._worker.start
        return self._order(lambda: start(lifetime, order, fence, lease_ms))

    def stop(
        self, lifetime: Lifetime, task: str, run: int, fence: int
    ) -> Result[None, WorkerError]:
        """Stop a run."""
        return self._order(lambda: self._worker.stop(lifetime, task, run, fence))

    def pace(
        self, lifetime: Lifetime, task: str, run: int, percent: int, fence: int
    ) -> Result[None, WorkerError]:
        """Limit a run's speed."""
        pace = self._worker.pace
        return self._order(lambda: pace(lifetime, task, run, percent, fence))

    def _carry_out_late(self, operation: Callable[[], object], sent_at: float) -> None:
        self._worker._late_order_at = sent_at
        operation()
        self._worker._late_order_at = None

    def _order(self, operation: object) -> Result[None, WorkerError]:
        self._process.apply_faults()
        is_refused = self._is_refused
        clock.sleep(self._worker.answer_seconds)
        if is_refused or self._worker.gone:
            return Err(NO_CONNECTION)
        if self._worker.silent or self._worker.is_down:
            clock.sleep(CALL_TIMEOUT_SECONDS)
            return Err(WorkerError("no answer", None))
        if self._worker.late_seconds:
            eventlet.spawn_after(
                self._worker.late_seconds,
                self._carry_out_late,
                operation,
                clock.now(),
            )
            clock.sleep(CALL_TIMEOUT_SECONDS)
            return Err(WorkerError("no answer", None))
        outcome = operation()
        self._process.apply_faults()
        if self._worker.lose_replies:
            clock.sleep(CALL_TIMEOUT_SECONDS)
            return Err(WorkerError("no answer", None))
        return outcome
