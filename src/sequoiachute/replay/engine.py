"""Simulates a day with the real placer on a virtual clock with a fixed tick.

The placer, its tables, its estimates and its policy are the product's; the
store acknowledges at once, and agents and workers are simulated.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger
from result import Ok, Result

from sequoiachute import clock
from sequoiachute.coordination.dispatch.placer import TaskPlacer
from sequoiachute.coordination.dispatch.sessions import AgentSessions
from sequoiachute.coordination.dispatch.term_writer import Term
from sequoiachute.coordination.scheduling import (
    SchedulingDecision,
    SchedulingView,
    decide,
)
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import DONE, RUN_FAILED, STOPPED, Orders
from sequoiachute.protocol.workload import (
    COMPLETE,
    FAILED,
    TaskId,
    WorkerTimes,
    encode,
)
from sequoiachute.replay.day import SERVICE, Fault, JobArrival, SimulatedDay
from sequoiachute.replay.fleet import (
    GANG_BROKEN,
    GANG_INCOMPLETE,
    GANG_WAIT_SECONDS,
    SimulatedRun,
    SimulatedWorker,
    TaskWork,
    WorkerCondition,
    WorkerParameters,
    outcome_of,
)
from sequoiachute.replay.payoff import (
    DayScores,
    JobOutcome,
    JobValue,
    compute_job_values,
    score_day,
    score_job,
)
from sequoiachute.replay.site import ReplaySite
from sequoiachute.state.job_records import CANCEL_PREFIX, JOB_PREFIX, JOBS
from sequoiachute.state.ledger import RUNS, Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import (
    Operations,
    PlatformAccount,
    PlatformCatalogue,
    Queue,
)
from sequoiachute.transport.store import AppendError, KeyedStore, StoreLimits

TICK_SECONDS = 0.1  # the tightest job objectives are a few seconds
REPORT_INTERVAL_SECONDS = 0.5  # agents also report at once when a run ends
ROUND_INTERVAL_TICKS = 3  # between placement rounds while nothing changes
SUBMIT_TIMEOUT_SECONDS = 3.0  # callers retry a submission for this long
TERM = 1  # of the only placer

Policy = Callable[[SchedulingView], SchedulingDecision]
GangRunKey = tuple[str, int, int, int]


class DayResult(NamedTuple):
    """What one policy achieved on a day.

    ``stopped`` counts the runs that the policy stopped, ``starts`` the tasks
    that it placed and ``refused`` the submissions that timed out.
    ``decision_seconds`` is measured on the machine that runs the simulation.
    """

    scores: DayScores
    outcomes: tuple[JobOutcome, ...]
    stopped: int
    starts: int
    refused: int
    decision_seconds: tuple[float, ...]


class _InstantStore(KeyedStore):
    """Acknowledges every append without delay."""

    def __init__(self) -> None:
        self._next_offset = 0

    @property
    def limits(self) -> StoreLimits:
        """Return the usual limits, so that appends are as in production."""
        return StoreLimits()

    def append(self, topic, records, **options) -> Result[int, AppendError]:
        """Return the offset of the first record."""
        first = self._next_offset
        self._next_offset += len(records)
        return Ok(first)


class Replay:
    """Simulates one day of a site under one policy.

    Parameters
    ----------
    site : ReplaySite
        The simulated site and its load.
    day : SimulatedDay
        The arrivals and faults of the day.
    """

    def __init__(self, site: ReplaySite, day: SimulatedDay) -> None:
        self._site = site
        self._day = day
        self._policy: Policy = decide
        self._now = 0.0
        parameters = WorkerParameters(
            site.far_factor, site.save_seconds, site.restore_seconds, site.stop_seconds
        )
        self._workers = [
            SimulatedWorker(machine, parameters) for machine in day.machines
        ]
        self._workers_by_name = {
            worker.machine.name: worker for worker in self._workers
        }
        self._arrivals = {arrival.job.job_id: arrival for arrival in day.arrivals}
        self._pending_arrivals = list(day.arrivals)
        self._pending_cancellations: list[JobArrival] = []
        self._unfinished_jobs: dict[str, JobArrival] = {}
        self._completion_seconds: dict[str, float] = {}
        self._ended_as_expected: dict[str, bool] = {}
        self._job_values = compute_job_values(site, day)
        self._last_offset = 0
        self._lost_core_seconds = 0.0
        self._stop_count = 0
        self._placement_count = 0
        self._refused_count = 0
        self._decision_seconds: list[float] = []

    @property
    def now(self) -> float:
        """Seconds since the day began."""
        return self._now

    def run(self, policy: Policy) -> DayResult:
        """Simulate the day under ``policy`` and return its result.

        The policy maps the placer's view to the tasks to place and the runs to
        stop.
        """
        self._policy = policy
        logger.disable("sequoiachute.coordination")
        try:
            with clock.simulated(self._clock):
                self._create_placer()
                self._simulate()
        finally:
            logger.enable("sequoiachute.coordination")
        outcomes = []
        for job_id, job_value in self._job_values.items():
            completion_seconds = self._completion_seconds.get(job_id)
            outcomes.append(
                score_job(
                    job_value,
                    completion_seconds,
                    self._ended_as_expected.get(job_id, False),
                )
            )
        return DayResult(
            score_day(self._site, outcomes, self._lost_core_seconds),
            tuple(outcomes),
            self._stop_count,
            self._placement_count,
            self._refused_count,
            tuple(self._decision_seconds),
        )

    @property
    def day(self) -> SimulatedDay:
        """The arrivals and faults, which do not depend on the policy."""
        return self._day

    @property
    def job_values(self) -> dict[str, JobValue]:
        """The value and objective of each job that is not cancelled, by job ID."""
        return self._job_values

    def worker(self, name: str) -> SimulatedWorker:
        """Return the simulated worker with this name."""
        return self._workers_by_name[name]

    def _clock(self) -> float:
        return self._now

    def _create_placer(self) -> None:
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
        self._round_requested = False
        self._sessions = AgentSessions(
            self._ledger, TERM, self._request_round, lambda: 0.0
        )
        self._placer = TaskPlacer(
            Term(TERM, RUNS, "replay"),
            _InstantStore(),
            self._ledger,
            self._operations,
            self._sessions,
            Metrics(),
            None,
            None,
            self._decide,
            WorkerTimes(
                stop=self._site.stop_seconds, restore=self._site.restore_seconds
            ),
        )

    def _request_round(self) -> None:
        self._round_requested = True

    def _decide(self, view: SchedulingView) -> SchedulingDecision:
        began = time.perf_counter()
        decision = self._policy(view)
        self._decision_seconds.append(time.perf_counter() - began)
        self._placement_count += len(decision.placements)
        self._stop_count += len(decision.stops)
        return decision

    def _simulate(self) -> None:
        end = self._site.lead_seconds + self._site.seconds + self._site.tail_seconds
        tick = 0
        while self._now < end and (self._pending_arrivals or self._unfinished_jobs):
            tick += 1
            self._now = tick * TICK_SECONDS
            store_down = self._is_store_down()
            self._apply_faults()
            self._submit_jobs(store_down)
            self._submit_cancellations(store_down)
            self._advance_runs()
            self._exchange_reports(tick)
            if not store_down and (
                self._round_requested or tick % ROUND_INTERVAL_TICKS == 0
            ):
                self._round_requested = False
                self._placer.run_round()
                self._deliver_orders()
            self._record_ended_jobs()

    def _active_faults(self, kind: str) -> list[Fault]:
        return [
            fault
            for fault in self._day.faults
            if fault.kind == kind and fault.at <= self._now < fault.until
        ]

    def _is_store_down(self) -> bool:
        return bool(self._active_faults("outages"))

    def _apply_faults(self) -> None:
        closed_zones = {
            str(fault.target) for fault in self._active_faults("closed_zones")
        }
        self._operations.closed_zones = frozenset(closed_zones)
        for number, worker in enumerate(self._workers):
            worker.condition = self._condition_of(number)
        powered_off = {fault.target for fault in self._active_faults("lost")}
        for fault in self._active_faults("leaving"):
            worker = self._workers[fault.target]
            leaves_at = fault.at + self._site.notice_seconds
            if self._now < leaves_at:
                worker.report_due = worker.report_due or worker.leaves_at is None
                worker.leaves_at = leaves_at
            else:
                powered_off.add(fault.target)
        for number, worker in enumerate(self._workers):
            if number in powered_off and worker.is_up:
                self._power_off(worker)
            elif number not in powered_off and not worker.is_up:
                worker.power_on()

    def _condition_of(self, number: int) -> WorkerCondition:
        factor = 1.0
        for fault in self._active_faults("slow"):
            if fault.target == number:
                factor *= fault.factor
        fails = any(fault.target == number for fault in self._active_faults("failing"))
        hangs = any(fault.target == number for fault in self._active_faults("hanging"))
        return WorkerCondition(0.0 if hangs else factor, fails, hangs)

    def _power_off(self, worker: SimulatedWorker) -> None:
        for run in worker.power_off():
            self._lost_core_seconds += run.lost_core_seconds
            self._end_gang(run)

    def _submit_jobs(self, store_down: bool) -> None:
        while self._pending_arrivals and self._pending_arrivals[0].at <= self._now:
            arrival = self._pending_arrivals[0]
            if store_down and self._now < arrival.at + SUBMIT_TIMEOUT_SECONDS:
                return
            self._pending_arrivals.pop(0)
            if store_down:
                self._refused_count += 1
                continue
            job = arrival.job._replace(accepted_at=clock.wall_time())
            self._apply_record(JOB_PREFIX + job.job_id, encode(job))
            self._unfinished_jobs[job.job_id] = arrival
            self._round_requested = True
            if arrival.cancel_at is not None:
                self._pending_cancellations.append(arrival)

    def _submit_cancellations(self, store_down: bool) -> None:
        for arrival in list(self._pending_cancellations):
            if store_down or arrival.cancel_at > self._now:
                continue
            self._pending_cancellations.remove(arrival)
            if arrival.job.job_id in self._unfinished_jobs:
                self._apply_record(CANCEL_PREFIX + arrival.job.job_id, b"{}")
                self._round_requested = True

    def _apply_record(self, key: str, value: bytes) -> None:
        self._last_offset += 1
        self._ledger.apply(JOBS, StoredRecord(self._last_offset, key, value))

    def _advance_runs(self) -> None:
        gangs = self._gang_members()
        for worker in self._workers:
            for run in list(worker.runs.values()):
                if (run.task, run.run) in worker.runs:
                    self._advance_run(worker, run, gangs)

    def _gang_members(
        self,
    ) -> dict[GangRunKey, list[tuple[SimulatedWorker, SimulatedRun]]]:
        gangs: dict[GangRunKey, list[tuple[SimulatedWorker, SimulatedRun]]] = {}
        for worker in self._workers:
            for run in worker.runs.values():
                if run.work.step.gang:
                    key = (*run.task[:3], run.run)
                    gangs.setdefault(key, []).append((worker, run))
        return gangs

    def _advance_run(self, worker, run: SimulatedRun, gangs) -> None:
        step = run.work.step
        members = gangs.get((*run.task[:3], run.run), [(worker, run)])
        if run.stop_seconds_left is not None:
            run.stop_seconds_left -= TICK_SECONDS
            if run.stop_seconds_left <= 0:
                self._end_run(worker, run, STOPPED)
            return
        if step.gang and len(members) < step.count:
            run.gang_wait_seconds += TICK_SECONDS
            run.unsaved_run_seconds += TICK_SECONDS
            if run.gang_wait_seconds > GANG_WAIT_SECONDS:
                self._end_run(worker, run, GANG_INCOMPLETE)
            return
        racks = len({member.machine.rack for member, _ in members})
        speed = worker.speed_of(run, racks)
        run.advance(TICK_SECONDS, speed, worker.parameters)
        outcome = outcome_of(run, worker.condition)
        if outcome == RUN_FAILED:
            self._end_run(worker, run, outcome)
        elif outcome == DONE and all(
            other.done_seconds >= other.work.seconds for _, other in members
        ):
            for member, other in members:
                member.end(other, DONE)

    def _end_run(
        self, worker: SimulatedWorker, run: SimulatedRun, outcome: str
    ) -> None:
        worker.end(run, outcome)
        if outcome != RUN_FAILED and not self._is_job_over(run.task.job_id):
            self._lost_core_seconds += run.lost_core_seconds
        self._end_gang(run)

    def _is_job_over(self, job_id: str) -> bool:
        return bool(
            self._ledger.progress(job_id).state or self._ledger.is_cancelled(job_id)
        )

    def _end_gang(self, run: SimulatedRun) -> None:
        """End the other members of a gang of which one run ended early."""
        if not run.work.step.gang:
            return
        for worker in self._workers:
            for other in list(worker.runs.values()):
                same_gang = other.task[:3] == run.task[:3] and other.run == run.run
                if same_gang and other.task != run.task:
                    worker.end(other, GANG_BROKEN)
                    self._lost_core_seconds += other.lost_core_seconds

    def _exchange_reports(self, tick: int) -> None:
        interval_ticks = round(REPORT_INTERVAL_SECONDS / TICK_SECONDS)
        for number, worker in enumerate(self._workers):
            if not worker.is_up:
                continue
            if worker.report_due or (tick + number) % interval_ticks == 0:
                reply = Orders(True, "", TERM, ())
                orders = self._sessions.handle_report(
                    worker.report(TERM, self._now), reply
                )
                worker.apply_orders(orders.runs, orders.ack, self._work_of)

    def _deliver_orders(self) -> None:
        """Deliver changed orders to the agents that wait for them."""
        for name, session in self._sessions.sessions.items():
            worker = self._workers_by_name[name]
            if not worker.is_up or session.version == worker.delivered_version:
                continue
            worker.delivered_version = session.version
            orders, ack = session.refresh(self._ledger)
            worker.apply_orders(orders, ack, self._work_of)

    def _work_of(self, task: TaskId, run: int) -> TaskWork:
        arrival = self._arrivals[task.job_id]
        step = arrival.job.steps[task.step]
        seconds = arrival.seconds[task.step][task.index]
        index = 0 if step.gang else task.index
        failure_shares = arrival.failures.get((task.step, index), ())
        task_states = self._ledger.progress(task.job_id).tasks
        task_state = task_states.get(f"{task.occurrence}.{task.step}.{index}")
        count = task_state.failures if task_state is not None else 0
        fails_at = (
            failure_shares[count] * seconds if count < len(failure_shares) else None
        )
        return TaskWork(step, seconds, fails_at)

    def _record_ended_jobs(self) -> None:
        for job_id, arrival in list(self._unfinished_jobs.items()):
            state = self._ledger.progress(job_id).state
            if not state:
                continue
            del self._unfinished_jobs[job_id]
            self._completion_seconds[job_id] = self._now - arrival.at
            expected = FAILED if arrival.hopeless else COMPLETE
            self._ended_as_expected[job_id] = state == expected
