"""The placer's rounds: settle reports, decide, record the decision, order runs."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.absences import Absences
from sequoiachute.coordination.dispatch.advice import TicketCache
from sequoiachute.coordination.dispatch.crashes import Crash
from sequoiachute.coordination.dispatch.end_backup import EndBackup
from sequoiachute.coordination.dispatch.first_starts import FirstStarts
from sequoiachute.coordination.dispatch.losses import Losses
from sequoiachute.coordination.dispatch.machine_list import MachineList
from sequoiachute.coordination.dispatch.objectives import DEFAULT_ESTIMATE_SECONDS
from sequoiachute.coordination.dispatch.retention import Retention
from sequoiachute.coordination.dispatch.run_statistics import (
    RunProgress,
    RunStatistics,
)
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.coordination.dispatch.settlement import (
    ProgressDraft,
    Settlement,
    newest_token,
)
from sequoiachute.coordination.dispatch.silences import SilenceRecorder
from sequoiachute.coordination.dispatch.term_writer import (
    DeposedError,
    Term,
    TermWriter,
)
from sequoiachute.coordination.dispatch.upkeep import Upkeep, WaveProgress, encode_wave
from sequoiachute.coordination.dispatch.views import build_view
from sequoiachute.coordination.dispatch.wait_log import WaitLog
from sequoiachute.coordination.loop import spawn_task
from sequoiachute.coordination.scheduling import (
    RunStop,
    SchedulingDecision,
    SchedulingView,
    TaskPlacement,
    decide,
)
from sequoiachute.coordination.scheduling.capacity import REMOTE_SLOWDOWN, GangKey
from sequoiachute.coordination.scheduling.preemption import PREEMPTED
from sequoiachute.protocol.supervision import (
    DONE,
    RUN_FAILED,
    WITHDRAWN,
    EndReport,
    SettledStart,
)
from sequoiachute.protocol.workload import (
    TYPICAL_TIMES,
    MachineSpeed,
    StepSpec,
    TaskId,
    WorkerTimes,
    is_finished,
    parse_task_id,
    task_key,
)
from sequoiachute.state.ledger import (
    SPEEDS_KEY,
    UNKNOWN_SPEED_ERROR,
    WAVE_PREFIX,
    Ledger,
    encode_speeds,
)
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import Operations, Wave
from sequoiachute.state.silences import host_of_silence
from sequoiachute.transport.machines import Advisor, MachineService
from sequoiachute.transport.store import KeyedStore
from sequoiachute.transport.worker import BAD_TICKET, UNHEALTHY

# Expired leases and due times are checked this often without any report.
ROUND_INTERVAL_SECONDS = 0.25
GATHERING_INTERVAL_SECONDS = 0.05  # while agents report to a new placer
BATCH_DELAY_SECONDS = 0.005  # collects reports that arrive together in one round
SPEEDS_INTERVAL_SECONDS = 3.0  # between two records of learned speeds
MIN_SPEED_CHANGE = 0.15  # relative; smaller changes are noise of the estimates
MIN_ERROR_CHANGE = 0.25  # relative
RETENTION_INTERVAL_SECONDS = 30.0  # between two checks for jobs to drop
TYPICAL_SPEED = MachineSpeed(1.0, UNKNOWN_SPEED_ERROR)

RunOutcome = TypeVar("RunOutcome", EndReport, SettledStart)


def _has_changed(known: MachineSpeed, recorded: MachineSpeed) -> bool:
    """Return whether a speed or its error differs from what is recorded."""
    if abs(known.speed / recorded.speed - 1) > MIN_SPEED_CHANGE:
        return True
    return abs(known.error / recorded.error - 1) > MIN_ERROR_CHANGE


class TaskPlacer:
    """Places tasks for one term, until another placer takes over.

    Parameters
    ----------
    identity : Term
    store : KeyedStore
    ledger : Ledger
    operations : Operations
    agents : AgentSessions
    metrics : Metrics
    advisor : Advisor or None
        Without an advisor no step of an advised queue can be placed.
    machines : MachineService or None
        Without machines no upkeep is ordered.
    policy : callable
        Returns the decision for the view of a round.
    times : WorkerTimes
        What workers promise.
    is_store_away : callable
        Returns whether the store takes no records now.

    Attributes
    ----------
    wait_log : WaitLog
        What waits after the last rounds.
    """

    def __init__(
        self,
        identity: Term,
        store: KeyedStore,
        ledger: Ledger,
        operations: Operations,
        agents: AgentSessions,
        metrics: Metrics,
        advisor: Advisor | None,
        machines: MachineService | None,
        policy: Callable[[SchedulingView], SchedulingDecision] = decide,
        times: WorkerTimes = TYPICAL_TIMES,
        is_store_away: Callable[[], bool] = lambda: False,
    ) -> None:
        self._times = times
        self._policy = policy
        self._metrics = metrics
        self._term = identity.number
        self._ledger = ledger
        self._operations = operations
        self._agents = agents
        self._ticket_cache = TicketCache(advisor, self.wake)
        machine_list = MachineList(machines) if machines is not None else None
        self._upkeep = Upkeep(
            machine_list,
            identity.member,
            ledger,
            agents,
            operations,
            self._confirm_upkeep,
        )
        self.wait_log = WaitLog()
        self._statistics = RunStatistics(ledger.speeds)
        self._absences = Absences(machine_list, ledger, agents, metrics, self.wake)
        self._losses = Losses(agents, metrics, self._absences)
        self._settlement = Settlement(
            ledger, agents, self._losses, self._worked_seconds
        )
        self._silences = SilenceRecorder(ledger, agents, is_store_away)
        self._first_starts = FirstStarts(ledger, agents)
        self._end_backup = EndBackup(store, ledger, agents)
        self._writer = TermWriter(identity, store, ledger, metrics, self._back_up_ends)
        self._retention = Retention(store, ledger, self._writer)
        self._speeds_recorded_at = clock.now()
        self._retention_checked_at = clock.now()
        self._wake = Event()
        self._ended = False

    @property
    def term(self) -> int:
        """Number of this placer's term."""
        return self._term

    @property
    def withheld_losses(self) -> int:
        """Number of runs on silent hosts that may still exist."""
        return self._losses.withheld_count

    def wake(self) -> None:
        """Start the next round at once."""
        if not self._wake.ready():
            self._wake.send(None)

    def end(self) -> None:
        """End the term after the round in progress."""
        self._ended = True
        self._writer.end()
        self.wake()

    def run(self) -> None:
        """Run rounds until the term is over; each line that they log names the term."""
        with logger.contextualize(term=self._term):
            try:
                while not self._ended:
                    self._wait_for_wake()
                    self.run_round()
            except DeposedError as error:
                logger.bind(reason=str(error)).warning("deposed")

    def _wait_for_wake(self) -> None:
        is_gathering = self._agents.is_gathering
        interval = (
            GATHERING_INTERVAL_SECONDS if is_gathering else ROUND_INTERVAL_SECONDS
        )
        with eventlet.Timeout(interval, False):
            self._wake.wait()
            clock.sleep(BATCH_DELAY_SECONDS)
        self._wake = Event()

    def run_round(self) -> None:
        """Settle reports, decide once, record the decision and renew the orders.

        Raises ``DeposedError`` if the store refuses this term's records.
        """
        self._silences.begin_round()
        self._update_statistics()
        draft = ProgressDraft(self._ledger)
        begun = self._first_starts.find()
        crashes = self._settlement.settle(draft)
        for crash in crashes:
            begun += self._first_starts.add(task.job_id for task in crash.tasks)
        self._observe_first_starts(begun)
        self._first_starts.draft(draft)
        self._append_draft(draft)
        self._record_crashes(crashes)
        self._record_silences()
        wall_time = clock.wall_time()
        view = build_view(
            self._ledger,
            self._agents,
            self._operations,
            self._statistics,
            self._ticket_cache,
            wall_time,
            self._times,
        )
        decision_began = clock.now()
        decision = self._policy(view)
        now = clock.now()
        self._metrics.observe("decision_seconds", now - decision_began, now)
        self._order_stops(decision.stops)
        self._record_placements(decision.placements)
        if decision.is_truncated and decision.stops:
            self.wake()
        self._record_speeds()
        self._record_waves()
        if not self._agents.is_gathering:
            self._absences.read_if_needed()
        self._drop_ended_jobs()
        for session in self._agents.sessions.values():
            session.refresh(self._ledger)
        self.wait_log.record_round(view, decision, now)
        self._silences.end_round()

    def _update_statistics(self) -> None:
        """Record each worker's reading once; a repeated one would look like a stall."""
        racks: dict[GangKey, int] = {}
        for session in self._agents.sessions.values():
            if session.worker_clock_ms != session.sampled_clock_ms:
                session.sampled_clock_ms = session.worker_clock_ms
                self._record_progress(session, racks)
            self._record_ends(session)
            self._record_refused_starts(session)

    def _record_progress(self, session: Session, racks: dict[GangKey, int]) -> None:
        placed = self._ledger.tasks_on_host(session.host)
        for run in session.runs.values():
            task = parse_task_id(run.task)
            if task is None or task not in placed:
                continue
            job = self._ledger.job(task.job_id)
            if job is None:
                continue
            step = job.steps[task.step]
            if run.percent or not step.gang:
                # Members of a gang may be waiting for each other at 0 percent.
                self._statistics.wait_times.end(task)
            rack = session.worker.rack if session.worker else ""
            is_remote = step.data_rack and step.data_rack != rack
            if step.same_rack and self._count_racks(task, step.count, racks) > 1:
                is_remote = True
            distance_factor = REMOTE_SLOWDOWN if is_remote else 1.0
            estimate = 0.0 if step.lasting else step.estimate_seconds
            self._statistics.record_progress(
                run, session.machine, estimate, distance_factor, session.reported_at
            )

    def _count_racks(self, task: TaskId, count: int, known: dict[GangKey, int]) -> int:
        """Return on how many racks the tasks of the step of ``task`` are placed.

        ``known`` holds the result for each step, so that one pass over many tasks of a
        step looks at each task once.
        """
        step = task[:3]
        if step not in known:
            known[step] = len(self._racks_of(task, count))
        return known[step]

    def _racks_of(self, task: TaskId, count: int) -> set[str]:
        tasks = self._ledger.progress(task.job_id).tasks
        racks = set()
        for index in range(count):
            state = tasks.get(task_key(task._replace(index=index)))
            if state is None or state.host not in self._agents.sessions:
                continue
            worker = self._agents.sessions[state.host].worker
            if worker is not None:
                racks.add(worker.rack)
        return racks

    def _record_ends(self, session: Session) -> None:
        for task, end in self._reports_of_placed(session, session.ends):
            progress = self._statistics.progress_of(task, end.run)
            self._statistics.forget_run(task, end.run)
            self._metrics.count("runs_ended_total", how=end.outcome)
            self._pause_restart(task, end, session)
            if end.outcome in (DONE, RUN_FAILED):
                self._statistics.wait_times.end(task)
            if end.outcome == DONE:
                began = self._began(task, progress)
                self._statistics.record_success(session.lifetime, began)
            elif end.outcome == RUN_FAILED:
                self._statistics.record_failure(
                    task,
                    session.host,
                    session.lifetime,
                    clock.elapsed(),
                    self._count_suitable_hosts(task, session),
                )

    def _pause_restart(self, task: TaskId, end: EndReport, session: Session) -> None:
        """Let a task that lasts pause if its runs end soon, unless it was stopped."""
        job = self._ledger.job(task.job_id)
        if job is None or not job.steps[task.step].lasting:
            return
        if session.stops.get(task, 0) == end.run:
            return
        placed_at = self._ledger.placed_at(task)
        now = clock.elapsed()
        pause = self._statistics.restart_pauses.record_end(
            task, end.run, placed_at, now
        )
        if not pause:
            return
        self._metrics.count("restarts_paused_total")
        log = logger.bind(task=str(task), run=end.run, host=session.host)
        log = log.bind(how=end.outcome, lasted=round(now - placed_at, 3))
        log.bind(pause=pause).info("restart paused")

    def _count_suitable_hosts(self, task: TaskId, failed: Session) -> int:
        """Return how many hosts of the failed one's service could run ``task``."""
        job = self._ledger.job(task.job_id)
        if job is None or failed.worker is None:
            return len(self._agents.sessions)
        step = job.steps[task.step]
        count = 0
        for session in self._agents.sessions.values():
            worker = session.worker
            if worker is None or worker.service != failed.worker.service:
                continue
            if step.label and step.label not in worker.labels:
                continue
            count += worker.capacity.covers(step.reserved)
        return count

    def _reports_of_placed(
        self, session: Session, reports: Iterable[RunOutcome]
    ) -> Iterator[tuple[TaskId, RunOutcome]]:
        """Yield the reports of runs that are recorded on the session's host."""
        placed = self._ledger.tasks_on_host(session.host)
        for report in reports:
            task = parse_task_id(report.task)
            if task is None or task not in placed or placed[task].run != report.run:
                continue
            yield task, report

    def _began(self, task: TaskId, progress: RunProgress | None) -> float | None:
        """Return when a run began; ``None`` if it was never seen at work."""
        job = self._ledger.job(task.job_id)
        if progress is None or job is None:
            return None
        estimate = job.steps[task.step].estimate_seconds or DEFAULT_ESTIMATE_SECONDS
        return clock.elapsed() - progress.worked_seconds(estimate)

    def _worked_seconds(self, task: TaskId, run: int) -> float:
        """Return for how long a run has been seen at work."""
        progress = self._statistics.progress_of(task, run)
        job = self._ledger.job(task.job_id)
        if progress is None or job is None:
            return 0.0
        if job.steps[task.step].gang and not progress.percent:
            # Its members may wait for each other.
            return 0.0
        return progress.seen_seconds()

    def _record_crashes(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            self._metrics.count("worker_crashes_total")
            for task in crash.tasks:
                # It may wait anew for a worker on which it runs alone.
                self._statistics.wait_times.end(task)

    def _record_refused_starts(self, session: Session) -> None:
        now = clock.elapsed()
        is_unhealthy = False
        for task, start in self._reports_of_placed(session, session.settled):
            is_stopped = session.stops.get(task, 0) == start.run
            if is_stopped and start.reason == WITHDRAWN:
                continue
            self._statistics.start_doubts.record(task, session.host, now)
            self._stop_gang_of(task, start.run)
            is_unhealthy = is_unhealthy or start.reason == UNHEALTHY
            if start.reason == BAD_TICKET:
                step = str(task).rpartition(".")[0]
                ticket = session.tickets.get((task, start.run), "")
                self._ticket_cache.drop(step, ticket)
        if is_unhealthy:
            # However many starts it refuses at a time, it is one doubt.
            self._statistics.record_doubt(session.lifetime, now)

    def _stop_gang_of(self, task: TaskId, run: int) -> None:
        """Stop the other members of a gang that has not started whole."""
        job = self._ledger.job(task.job_id)
        if job is None or not job.steps[task.step].gang:
            return
        step = job.steps[task.step]
        tasks = self._ledger.progress(task.job_id).tasks
        for index in range(step.count):
            member = task._replace(index=index)
            state = tasks.get(task_key(member))
            if member == task or state is None or state.run != run:
                continue
            if is_finished(step, state):
                continue
            session = self._agents.sessions.get(state.host)
            if session is not None and session.lifetime == state.lifetime:
                session.stops[member] = run

    def _order_stops(self, stops: tuple[RunStop, ...]) -> None:
        for stop in stops:
            session = self._agents.sessions.get(stop.host)
            if session is None:
                continue
            session.stops[stop.task] = stop.run
            reason = stop.reason.partition(" for ")[0]
            if stop.is_migration:
                left_host = stop.host if stop.leaves_host else ""
                self._statistics.record_move(stop.task, left_host)
            elif reason == PREEMPTED:
                preemptions = self._statistics.preemptions
                preemptions[stop.task] = preemptions.get(stop.task, 0) + 1
                self._statistics.charged_work[stop.beneficiary] += stop.lost_work
            self._metrics.count("runs_stopped_total", reason=reason)
            log = logger.bind(task=str(stop.task), run=stop.run, host=stop.host)
            log.bind(reason=stop.reason).info("stopping run")

    def _record_placements(self, placements: tuple[TaskPlacement, ...]) -> None:
        """Record placements; agents get orders only once the store has them."""
        if not placements:
            return
        draft = ProgressDraft(self._ledger)
        gang_runs = self._gang_runs(placements)
        for placement in placements:
            self._draft_run(placement, gang_runs, draft)
        self._append_draft(draft)
        racks: dict[GangKey, int] = {}
        for placement in placements:
            self._log_placed(placement, racks)

    def _gang_runs(self, placements: tuple[TaskPlacement, ...]) -> dict[GangKey, int]:
        """Return the common run number of the members of each gang."""
        runs: dict[GangKey, int] = {}
        for placement in placements:
            task = placement.task
            if not self._step_of(task).gang:
                continue
            state = self._ledger.progress(task.job_id).tasks.get(task_key(task))
            run = state.run + 1 if state is not None else 1
            runs[task[:3]] = max(run, runs.get(task[:3], 0))
        return runs

    def _draft_run(
        self,
        placement: TaskPlacement,
        gang_runs: dict[GangKey, int],
        draft: ProgressDraft,
    ) -> None:
        task = placement.task
        state = draft.task(task)
        run = gang_runs.get(task[:3], state.run + 1)
        step = self._step_of(task)
        token = self._newest_gang_token(task, step.count) if step.gang else state.token
        placed = state._replace(
            run=run, host=placement.host, lifetime=placement.lifetime, token=token
        )
        draft.set_task(task, placed)
        if placement.ticket:
            session = self._agents.sessions[placement.host]
            session.tickets[(task, run)] = placement.ticket

    def _log_placed(self, placement: TaskPlacement, racks: dict[GangKey, int]) -> None:
        self._metrics.count("runs_placed_total")
        task = placement.task
        run = self._ledger.progress(task.job_id).tasks[task_key(task)].run
        machine = self._agents.sessions[placement.host].machine
        speed = self._statistics.speed(machine, clock.elapsed())
        speed_error = self._statistics.speed_error(machine, clock.elapsed())
        log = logger.bind(task=str(task), run=run, host=placement.host)
        log = log.bind(life=placement.lifetime.worker_id, term=self._term)
        log = log.bind(born=placement.lifetime.started_ms)
        log = log.bind(expected=round(placement.expected_seconds, 2))
        log = log.bind(speed=round(speed, 2), speed_error=round(speed_error, 2))
        step = self._step_of(task)
        if step.same_rack:
            log = log.bind(racks=self._count_racks(task, step.count, racks))
        log.bind(slack=round(placement.slack_seconds, 2)).info("placed")

    def _step_of(self, task: TaskId) -> StepSpec:
        return self._ledger.job(task.job_id).steps[task.step]

    def _drop_ended_jobs(self) -> None:
        """Drop what is kept of ended jobs, at intervals."""
        now = clock.now()
        if now < self._retention_checked_at + RETENTION_INTERVAL_SECONDS:
            return
        self._retention_checked_at = now
        kept = {job.job_id for job in self._ledger.live()}
        kept.update(self._ledger.ended_with_runs())
        self._statistics.forget_ended_jobs(kept)
        self._retention.drop()

    def _record_silences(self) -> None:
        records = self._silences.draft()
        if not records:
            return
        self._writer.append_groups([records])
        self._agents.acknowledge_silences()
        for key, value in records:
            session = self._agents.sessions.get(host_of_silence(key))
            if value is None and session is not None:
                # It has been granted no lease until now.
                session.end_wait()

    def _record_waves(self) -> None:
        records = []
        for number, progress in self._upkeep.advance().items():
            records.append((f"{WAVE_PREFIX}{number}", encode_wave(progress)))
        if records:
            self._writer.append(records)

    def _confirm_upkeep(self, wave: Wave, progress: WaveProgress) -> None:
        key = f"{WAVE_PREFIX}{wave.number}"
        self._writer.confirm((key, encode_wave(progress)))

    def _back_up_ends(self) -> None:
        spawn_task("backup of ends", self._end_backup.record, metrics=self._metrics)

    def _observe_first_starts(self, job_ids: list[str]) -> None:
        now = clock.now()
        for job_id in job_ids:
            job = self._ledger.job(job_id)
            if job is None:
                continue
            waited_seconds = max(0.0, clock.wall_time() - job.accepted_at)
            self._metrics.observe("first_start_seconds", waited_seconds, now)

    def _record_speeds(self) -> None:
        """Record the learned speeds for the next placer if any has changed."""
        if clock.now() < self._speeds_recorded_at + SPEEDS_INTERVAL_SECONDS:
            return
        self._speeds_recorded_at = clock.now()
        machines = [session.machine for session in self._agents.sessions.values()]
        speeds = self._statistics.speeds(machines, clock.elapsed())
        recorded = self._ledger.speeds
        for machine, known in speeds.items():
            if _has_changed(known, recorded.get(machine, TYPICAL_SPEED)):
                self._writer.append([(SPEEDS_KEY, encode_speeds(speeds))])
                return

    def _newest_gang_token(self, task: TaskId, count: int) -> str:
        tasks = self._ledger.progress(task.job_id).tasks
        newest = ""
        for index in range(count):
            state = tasks.get(f"{task.occurrence}.{task.step}.{index}")
            if state is not None:
                newest = newest_token(newest, state.token)
        return newest

    def _append_draft(self, draft: ProgressDraft) -> None:
        """Append the drafted records and apply them to the ledger."""
        groups = []
        for job_id in draft.changed:
            if not self._ledger.is_set_aside(job_id):
                groups.append(draft.records(job_id))
        self._writer.append_groups(groups)
