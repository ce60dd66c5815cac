"""The placer's loop: settle what was heard, decide, record, then order."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.advice import Advisory
from sequoiachute.coordination.dispatch.evidence import Evidence
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.coordination.dispatch.settlement import (
    Draft,
    Settlement,
    newest_token,
)
from sequoiachute.coordination.dispatch.upkeep import Upkeep, encode_wave
from sequoiachute.coordination.dispatch.views import build_view
from sequoiachute.coordination.scheduling import (
    RunStop,
    SchedulingDecision,
    SchedulingView,
    TaskPlacement,
    decide,
)
from sequoiachute.coordination.scheduling.capacity import REMOTE_SLOWDOWN, GangKey
from sequoiachute.coordination.store.election import WRITER
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import DONE, RUN_FAILED
from sequoiachute.protocol.workload import (
    StepSpec,
    TaskId,
    encode,
    parse_task_id,
    task_key,
)
from sequoiachute.state.ledger import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    JOBS,
    SPEEDS_KEY,
    WAVE_PREFIX,
    Ledger,
    encode_speeds,
)
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import Operations
from sequoiachute.transport.machines import Advisor, MachineService
from sequoiachute.transport.store import KeyedStore, Writer

TICK_SECONDS = 0.25  # a look at silences and due times when nothing is heard
GATHER_SECONDS = 0.005  # reports that come together are settled together
APPEND_SECONDS = 0.8  # an append without an answer is sent again after it
RETRY_SECONDS = 0.1
KEEP_SECONDS = 3.0  # between two records of speeds
KEEP_CHANGE = 0.15  # relative; less is the noise of estimates
# Callers may ask for an ended job for 120 s; a late append lives some seconds.
KEEP_ENDED_SECONDS = 900.0
DROP_SECONDS = 30.0  # between two looks for jobs to drop
RECORDS_PER_APPEND = 200


class Term(NamedTuple):
    """One entry's time as the placer, and the topic that only it writes."""

    number: int
    topic: str
    member: str


class DeposedError(Exception):
    """Another entry has become the placer."""


class Placer:
    """Places tasks for one term, until another placer takes over.

    Parameters
    ----------
    identity : Term
    desk : Desk
        Sessions of the agents.
    policy : callable
        Decides on the view of each round.
    """

    def __init__(
        self,
        identity: Term,
        store: KeyedStore,
        ledger: Ledger,
        operations: Operations,
        desk: AgentSessions,
        metrics: Metrics,
        advisor: Advisor | None,
        machines: MachineService | None,
        policy: Callable[[SchedulingView], SchedulingDecision] = decide,
    ) -> None:
        self._policy = policy
        self._metrics = metrics
        self._term = identity.number
        self._topic = identity.topic
        self._store = store
        self._ledger = ledger
        self._operations = operations
        self._desk = desk
        self._advisory = Advisory(advisor, self.wake)
        self._upkeep = Upkeep(machines, identity.member, ledger, desk, operations)
        self._settlement = Settlement(ledger, desk)
        self._evidence = Evidence(ledger.speeds)
        self._sequence = 0
        self._speeds_at = clock.now()
        self._dropped_at = clock.now()
        self._wake = Event()
        self._ended = False

    @property
    def term(self) -> int:
        """Term for which this placer places."""
        return self._term

    def wake(self) -> None:
        """Look again at once."""
        if not self._wake.ready():
            self._wake.send(None)

    def end(self) -> None:
        """Stop placing."""
        self._ended = True
        self.wake()

    def run(self) -> None:
        """Place until the term is over."""
        try:
            while not self._ended:
                self._wait()
                self.run_round()
        except DeposedError as error:
            logger.bind(term=self._term, reason=str(error)).warning("deposed")

    def _wait(self) -> None:
        with eventlet.Timeout(TICK_SECONDS, False):
            self._wake.wait()
            clock.sleep(GATHER_SECONDS)
        self._wake = Event()

    def run_round(self) -> None:
        """Settle what was heard, decide once and record it."""
        self._learn()
        draft = Draft(self._ledger)
        self._settlement.settle(draft)
        self._write(draft)
        wall = clock.wall_time()
        view = build_view(
            self._ledger,
            self._desk,
            self._operations,
            self._evidence,
            self._advisory,
            wall,
        )
        began = clock.now()
        decision = self._policy(view)
        now = clock.now()
        self._metrics.observe("decision_seconds", now - began, now)
        self._stop(decision.stops)
        self._place(decision.placements)
        if decision.is_truncated and decision.stops:
            self.wake()
        self._keep_speeds()
        self._keep_waves()
        self._drop_ended()
        for session in self._desk.sessions.values():
            session.refresh(self._ledger)

    def _learn(self) -> None:
        """Take every look at a worker once; an old one is no progress."""
        for session in self._desk.sessions.values():
            if session.worker_clock_ms != session.learned_clock_ms:
                session.learned_clock_ms = session.worker_clock_ms
                self._learn_progress(session)
            self._learn_ends(session)

    def _learn_progress(self, session: Session) -> None:
        placed = self._ledger.placed_at(session.host)
        for run in session.runs.values():
            task = parse_task_id(run.task)
            if task is None or task not in placed:
                continue
            step = self._ledger.job(task.job_id).steps[task.step]
            rack = session.worker.rack if session.worker else ""
            is_far = step.data_rack and step.data_rack != rack
            far = REMOTE_SLOWDOWN if is_far else 1.0
            estimate = 0.0 if step.lasting else step.estimate_seconds
            self._evidence.see_run(run, session.life, estimate, far, session.heard_at)

    def _learn_ends(self, session: Session) -> None:
        placed = self._ledger.placed_at(session.host)
        for end in session.ends:
            task = parse_task_id(end.task)
            if task is None or task not in placed or placed[task].run != end.run:
                continue
            self._evidence.forget_run(task, end.run)
            self._metrics.count("runs_ended_total", how=end.outcome)
            if end.outcome == DONE:
                self._evidence.note_success(session.life)
            elif end.outcome == RUN_FAILED:
                job = self._ledger.job(task.job_id)
                now = clock.elapsed()
                self._evidence.note_failure(job, session.host, session.life, now)

    def _stop(self, stops: tuple[RunStop, ...]) -> None:
        for stop in stops:
            session = self._desk.sessions.get(stop.host)
            if session is None:
                continue
            session.stops[stop.task] = stop.run
            if stop.is_migration:
                self._evidence.moved.add(stop.task)
            reason = stop.reason.partition(" for ")[0]
            self._metrics.count("runs_stopped_total", reason=reason)
            log = logger.bind(task=str(stop.task), run=stop.run, host=stop.host)
            log.bind(reason=stop.reason).info("stopping run")

    def _place(self, placements: tuple[TaskPlacement, ...]) -> None:
        """Record runs; the agents hear of them once that is acknowledged."""
        if not placements:
            return
        draft = Draft(self._ledger)
        gang_runs = self._gang_runs(placements)
        first = {p.task.job_id for p in placements if self._is_first(p.task.job_id)}
        for placement in placements:
            self._draft_run(placement, gang_runs, draft)
        self._write(draft)
        for job_id in first:
            self._note_first_start(job_id)
        for placement in placements:
            self._log_placed(placement)

    def _gang_runs(self, placements: tuple[TaskPlacement, ...]) -> dict[GangKey, int]:
        """Return the run number that all members of each gang get."""
        runs: dict[GangKey, int] = {}
        for placement in placements:
            task = placement.task
            if not self._step_of(task).gang:
                continue
            known = self._ledger.progress(task.job_id).tasks.get(task_key(task))
            run = known.run + 1 if known is not None else 1
            runs[task[:3]] = max(run, runs.get(task[:3], 0))
        return runs

    def _draft_run(
        self, placement: TaskPlacement, gang_runs: dict[GangKey, int], draft: Draft
    ) -> None:
        task = placement.task
        state = draft.task(task)
        run = gang_runs.get(task[:3], state.run + 1)
        step = self._step_of(task)
        token = self._gang_token(task, step.count) if step.gang else state.token
        placed = state._replace(
            run=run, host=placement.host, life=placement.life, token=token
        )
        draft.set_task(task, placed)
        if placement.ticket:
            session = self._desk.sessions[placement.host]
            session.tickets[(task, run)] = placement.ticket

    def _log_placed(self, placement: TaskPlacement) -> None:
        self._metrics.count("runs_placed_total")
        task = placement.task
        run = self._ledger.progress(task.job_id).tasks[task_key(task)].run
        speed = self._evidence.speed(placement.life, clock.elapsed())
        log = logger.bind(task=str(task), run=run, host=placement.host)
        log = log.bind(life=placement.life.worker_id, term=self._term)
        log = log.bind(expected=round(placement.expected_seconds, 2))
        log = log.bind(speed=round(speed, 2))
        log.bind(slack=round(placement.slack_seconds, 2)).info("placed")

    def _step_of(self, task: TaskId) -> StepSpec:
        return self._ledger.job(task.job_id).steps[task.step]

    def _is_first(self, job_id: str) -> bool:
        return not self._ledger.progress(job_id).tasks

    def _drop_ended(self) -> None:
        """Drop jobs from the store that ended long ago."""
        now = clock.now()
        if now < self._dropped_at + DROP_SECONDS:
            return
        self._dropped_at = now
        before = clock.wall_time() - KEEP_ENDED_SECONDS
        old = self._ledger.ended_before(before)[:RECORDS_PER_APPEND]
        if not old:
            return
        jobs: list[tuple[str, bytes | None]] = []
        for job_id in old:
            jobs += [(JOB_PREFIX + job_id, None), (CANCEL_PREFIX + job_id, None)]
        outcome = self._store.append(JOBS, jobs, timeout=APPEND_SECONDS)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            logger.bind(reason=reason).info("ended jobs are dropped later")
            return
        self._append([(job_id, None) for job_id in old])
        logger.bind(jobs=len(old)).info("ended jobs dropped")

    def _keep_waves(self) -> None:
        records = []
        for number, progress in self._upkeep.look().items():
            records.append((f"{WAVE_PREFIX}{number}", encode_wave(progress)))
        if records:
            self._append(records)

    def _note_first_start(self, job_id: str) -> None:
        waited = clock.wall_time() - self._ledger.job(job_id).accepted_at
        now = clock.now()
        self._metrics.observe("first_start_seconds", max(0.0, waited), now)

    def _keep_speeds(self) -> None:
        """Record learned speeds for the next placer, if they have changed."""
        if clock.now() < self._speeds_at + KEEP_SECONDS:
            return
        self._speeds_at = clock.now()
        lives = [session.life for session in self._desk.sessions.values()]
        speeds = self._evidence.speeds(lives, clock.elapsed())
        known = self._ledger.speeds
        changed = [
            life
            for life, speed in speeds.items()
            if abs(speed / known.get(life, 1.0) - 1) > KEEP_CHANGE
        ]
        if changed:
            self._append([(SPEEDS_KEY, encode_speeds(speeds))])

    def _gang_token(self, task: TaskId, count: int) -> str:
        tasks = self._ledger.progress(task.job_id).tasks
        best = ""
        for index in range(count):
            state = tasks.get(f"{task.occurrence}.{task.step}.{index}")
            if state is not None:
                best = newest_token(best, state.token)
        return best

    def _write(self, draft: Draft) -> None:
        """Append the drafted records; apply them once acknowledged."""
        records = []
        for job_id, progress in draft.changed.items():
            if progress != self._ledger.progress(job_id):
                records.append((job_id, encode(progress)))
        while records:
            self._append(records[:RECORDS_PER_APPEND])
            records = records[RECORDS_PER_APPEND:]

    def _append(self, records: list[tuple[str, bytes | None]]) -> None:
        writer = Writer(WRITER, self._term, self._sequence + 1)
        while True:
            outcome = self._store.append(
                self._topic, records, writer=writer, timeout=APPEND_SECONDS
            )
            if outcome.is_ok():
                break
            error = outcome.unwrap_err()
            if error.fenced or self._ended:
                self._ended = True
                raise DeposedError(error.reason)
            log = logger.bind(term=self._term, reason=error.reason)
            log.bind(records=len(records)).info("append is tried again")
            clock.sleep(RETRY_SECONDS)
        self._sequence += 1
        first = outcome.unwrap()
        for number, (key, value) in enumerate(records):
            self._ledger.apply(self._topic, StoredRecord(first + number, key, value))
