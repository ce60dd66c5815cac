"""Plays a day through the real placer, second by second of a clock of its own.

The placer, its tables, what it learns and its policy are the product's; the
store answers at once, and agents and workers are simulated.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger
from result import Ok, Result

from sequoiachute import clock
from sequoiachute.coordination.dispatch.placer import Placer, Term
from sequoiachute.coordination.dispatch.sessions import Desk
from sequoiachute.coordination.scheduling import (
    Decision,
    View,
    decide,
)
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import DONE, RUN_FAILED, STOPPED, Orders
from sequoiachute.protocol.workload import COMPLETE, FAILED, TaskId, encode
from sequoiachute.replay.day import SERVICE, Arrival, Day, Trouble
from sequoiachute.replay.fleet import (
    ALONE,
    BROKEN,
    GANG_WAIT_SECONDS,
    Condition,
    Rules,
    SimulatedRun,
    SimulatedWorker,
    Work,
    fate,
)
from sequoiachute.replay.payoff import Debt, Paid, Worth, pay, reckon_debts, weigh
from sequoiachute.replay.site import Site
from sequoiachute.state.ledger import CANCEL_PREFIX, JOB_PREFIX, JOBS, RUNS, Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import (
    Operations,
    PlatformAccount,
    PlatformCatalogue,
    Queue,
)
from sequoiachute.transport.store import AppendError, KeyedStore

TICK_SECONDS = 0.1  # the objective of the tightest jobs is some seconds
REPORT_SECONDS = 0.5  # agents report so often, and at once when a run ends
LOOK_TICKS = 3  # the placer looks again after so many without news
PATIENCE_SECONDS = 3.0  # callers try so long to hand a job in
TERM = 1

Policy = Callable[[View], Decision]
GangRun = tuple[str, int, int, int]


class Played(NamedTuple):
    """A day as it went; decision times are in seconds of this machine."""

    worth: Worth
    paid: tuple[Paid, ...]
    stopped: int
    starts: int
    refused: int
    decision_seconds: tuple[float, ...]


class _StoreAtOnce(KeyedStore):
    """Acknowledges every append at once."""

    def __init__(self) -> None:
        self._next = 0

    def append(self, topic, records, **options) -> Result[int, AppendError]:
        """Return the offset of the first record."""
        first = self._next
        self._next += len(records)
        return Ok(first)


class Replay:
    """One policy on one day.

    Parameters
    ----------
    site : Site
    day : Day
    """

    def __init__(self, site: Site, day: Day) -> None:
        self._site = site
        self._day = day
        self._policy: Policy = decide
        self._now = 0.0
        rules = Rules(
            site.far_factor, site.save_seconds, site.restore_seconds, site.stop_seconds
        )
        self._workers = [SimulatedWorker(machine, rules) for machine in day.machines]
        self._by_name = {worker.machine.name: worker for worker in self._workers}
        self._arrivals = {arrival.job.job_id: arrival for arrival in day.arrivals}
        self._to_arrive = list(day.arrivals)
        self._to_cancel: list[Arrival] = []
        self._open: dict[str, Arrival] = {}
        self._took: dict[str, float] = {}
        self._as_owed: dict[str, bool] = {}
        self._debts = reckon_debts(site, day)
        self._offset = 0
        self._thrown = 0.0
        self._stopped = 0
        self._starts = 0
        self._refused = 0
        self._decisions: list[float] = []

    @property
    def now(self) -> float:
        """Seconds since the day began."""
        return self._now

    def run(self, policy: Policy) -> Played:
        """Play the day and reckon what it earned.

        The policy is given the placer's view and returns what to place and
        what to stop.
        """
        self._policy = policy
        logger.disable("sequoiachute.coordination")
        try:
            with clock.simulated(self._clock):
                self._set_up()
                self._play()
        finally:
            logger.enable("sequoiachute.coordination")
        paid = []
        for job_id, debt in self._debts.items():
            took = self._took.get(job_id)
            paid.append(pay(debt, took, self._as_owed.get(job_id, False)))
        return Played(
            weigh(self._site, paid, self._thrown),
            tuple(paid),
            self._stopped,
            self._starts,
            self._refused,
            tuple(self._decisions),
        )

    @property
    def day(self) -> Day:
        """What happens whatever is decided."""
        return self._day

    @property
    def debts(self) -> dict[str, Debt]:
        """What is owed, by job."""
        return self._debts

    def worker(self, name: str) -> SimulatedWorker:
        """Return the simulated worker with this name."""
        return self._by_name[name]

    def _clock(self) -> float:
        return self._now

    def _set_up(self) -> None:
        self._ledger = Ledger()
        self._operations = Operations()
        queues = []
        for kind in self._site.kinds:
            queues.append(
                Queue(
                    kind.name,
                    "",
                    f"/{kind.name}/",
                    SERVICE,
                    kind.priority,
                    kind.attempts,
                    kind.stretch,
                    kind.slo_seconds,
                )
            )
        accounts = []
        for number, gpus in enumerate(self._day.guarantees):
            accounts.append(
                PlatformAccount(f"a{number}", frozenset((f"key-{number}",)), gpus)
            )
        self._operations.publish(PlatformCatalogue(1, tuple(queues), tuple(accounts)))
        self._woken = False
        self._desk = Desk(self._ledger, TERM, self._wake, lambda: 0.0)
        self._placer = Placer(
            Term(TERM, RUNS, "replay"),
            _StoreAtOnce(),
            self._ledger,
            self._operations,
            self._desk,
            Metrics(),
            None,
            None,
            self._decide,
        )

    def _wake(self) -> None:
        self._woken = True

    def _decide(self, view: View) -> Decision:
        began = time.perf_counter()
        decision = self._policy(view)
        self._decisions.append(time.perf_counter() - began)
        self._starts += len(decision.placements)
        self._stopped += len(decision.stops)
        return decision

    def _play(self) -> None:
        end = self._site.seconds + self._site.tail_seconds
        tick = 0
        while self._now < end and (self._to_arrive or self._open):
            tick += 1
            self._now = tick * TICK_SECONDS
            is_out = self._is_out()
            self._apply_troubles()
            self._hand_in(is_out)
            self._cancel(is_out)
            self._advance()
            self._report(tick)
            if not is_out and (self._woken or tick % LOOK_TICKS == 0):
                self._woken = False
                self._placer.look()
                self._deliver()
            self._note_ends()

    def _active(self, kind: str) -> list[Trouble]:
        return [
            trouble
            for trouble in self._day.troubles
            if trouble.kind == kind and trouble.at <= self._now < trouble.until
        ]

    def _is_out(self) -> bool:
        return bool(self._active("outages"))

    def _apply_troubles(self) -> None:
        closed = {str(trouble.target) for trouble in self._active("closed_zones")}
        self._operations.closed_zones = frozenset(closed)
        for number, worker in enumerate(self._workers):
            worker.condition = self._condition(number)
        down = {trouble.target for trouble in self._active("lost")}
        for trouble in self._active("leaving"):
            worker = self._workers[trouble.target]
            leaves_at = trouble.at + self._site.notice_seconds
            if self._now < leaves_at:
                worker.has_news = worker.has_news or worker.leaves_at is None
                worker.leaves_at = leaves_at
            else:
                down.add(trouble.target)
        for number, worker in enumerate(self._workers):
            if number in down and worker.is_up:
                self._power_off(worker)
            elif number not in down and not worker.is_up:
                worker.power_on()

    def _condition(self, number: int) -> Condition:
        factor = 1.0
        for trouble in self._active("slow"):
            if trouble.target == number:
                factor *= trouble.factor
        fails = any(t.target == number for t in self._active("failing"))
        hangs = any(t.target == number for t in self._active("hanging"))
        return Condition(0.0 if hangs else factor, fails, hangs)

    def _power_off(self, worker: SimulatedWorker) -> None:
        for run in worker.power_off():
            self._thrown += run.lost_core_seconds
            self._break_gang(run)

    def _hand_in(self, is_out: bool) -> None:
        while self._to_arrive and self._to_arrive[0].at <= self._now:
            arrival = self._to_arrive[0]
            if is_out and self._now < arrival.at + PATIENCE_SECONDS:
                return
            self._to_arrive.pop(0)
            if is_out:
                self._refused += 1
                continue
            job = arrival.job._replace(accepted_at=clock.wall_time())
            self._store(JOB_PREFIX + job.job_id, encode(job))
            self._open[job.job_id] = arrival
            self._woken = True
            if arrival.cancel_at is not None:
                self._to_cancel.append(arrival)

    def _cancel(self, is_out: bool) -> None:
        for arrival in list(self._to_cancel):
            if is_out or arrival.cancel_at > self._now:
                continue
            self._to_cancel.remove(arrival)
            if arrival.job.job_id in self._open:
                self._store(CANCEL_PREFIX + arrival.job.job_id, b"{}")
                self._woken = True

    def _store(self, key: str, value: bytes) -> None:
        self._offset += 1
        self._ledger.apply(JOBS, StoredRecord(self._offset, key, value))

    def _advance(self) -> None:
        gangs = self._gangs()
        for worker in self._workers:
            for run in list(worker.runs.values()):
                if (run.task, run.run) in worker.runs:
                    self._advance_run(worker, run, gangs)

    def _gangs(self) -> dict[GangRun, list[tuple[SimulatedWorker, SimulatedRun]]]:
        gangs: dict[GangRun, list[tuple[SimulatedWorker, SimulatedRun]]] = {}
        for worker in self._workers:
            for run in worker.runs.values():
                if run.work.step.gang:
                    key = (*run.task[:3], run.run)
                    gangs.setdefault(key, []).append((worker, run))
        return gangs

    def _advance_run(self, worker, run: SimulatedRun, gangs) -> None:
        step = run.work.step
        members = gangs.get((*run.task[:3], run.run), [(worker, run)])
        if run.stop_left is not None:
            run.stop_left -= TICK_SECONDS
            if run.stop_left <= 0:
                self._end(worker, run, STOPPED)
            return
        if step.gang and len(members) < step.count:
            run.waited += TICK_SECONDS
            run.unsaved_time += TICK_SECONDS
            if run.waited > GANG_WAIT_SECONDS:
                self._end(worker, run, ALONE)
            return
        racks = len({member.machine.rack for member, _ in members})
        speed = worker.speed_of(run, racks)
        run.advance(TICK_SECONDS, speed, worker.rules)
        how = fate(run, worker.condition)
        if how == RUN_FAILED:
            self._end(worker, run, how)
        elif how == DONE and all(
            other.done_seconds >= other.work.seconds for _, other in members
        ):
            for member, other in members:
                member.end(other, DONE)

    def _end(self, worker: SimulatedWorker, run: SimulatedRun, how: str) -> None:
        worker.end(run, how)
        if how != RUN_FAILED and not self._is_over(run.task.job_id):
            self._thrown += run.lost_core_seconds
        self._break_gang(run)

    def _is_over(self, job_id: str) -> bool:
        return bool(
            self._ledger.progress(job_id).state or self._ledger.is_cancelled(job_id)
        )

    def _break_gang(self, run: SimulatedRun) -> None:
        """End the other members of a run that has ended early."""
        if not run.work.step.gang:
            return
        for worker in self._workers:
            for other in list(worker.runs.values()):
                same = other.task[:3] == run.task[:3] and other.run == run.run
                if same and other.task != run.task:
                    worker.end(other, BROKEN)
                    self._thrown += other.lost_core_seconds

    def _report(self, tick: int) -> None:
        every = round(REPORT_SECONDS / TICK_SECONDS)
        for number, worker in enumerate(self._workers):
            if not worker.is_up:
                continue
            if worker.has_news or (tick + number) % every == 0:
                reply = Orders(True, "", TERM, ())
                orders = self._desk.report(worker.report(TERM, self._now), reply)
                worker.take(orders.runs, orders.ack, self._work)

    def _deliver(self) -> None:
        """Let the agents that wait for news have their orders."""
        for name, session in self._desk.sessions.items():
            worker = self._by_name[name]
            if not worker.is_up or session.version == worker.known_version:
                continue
            worker.known_version = session.version
            orders, ack = session.refresh(self._ledger)
            worker.take(orders, ack, self._work)

    def _work(self, task: TaskId, run: int) -> Work:
        arrival = self._arrivals[task.job_id]
        step = arrival.job.steps[task.step]
        seconds = arrival.seconds[task.step][task.index]
        index = 0 if step.gang else task.index
        shares = arrival.failures.get((task.step, index), ())
        state = self._ledger.progress(task.job_id).tasks
        failed = state.get(f"{task.occurrence}.{task.step}.{index}")
        count = failed.failures if failed is not None else 0
        fails_at = shares[count] * seconds if count < len(shares) else None
        return Work(step, seconds, fails_at)

    def _note_ends(self) -> None:
        for job_id, arrival in list(self._open.items()):
            state = self._ledger.progress(job_id).state
            if not state:
                continue
            del self._open[job_id]
            self._took[job_id] = self._now - arrival.at
            wanted = FAILED if arrival.hopeless else COMPLETE
            self._as_owed[job_id] = state == wanted
