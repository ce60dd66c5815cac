"""Derives ended and lost runs and jobs' final states from agents' reports.

This module only drafts records; the placer applies them once the store has
acknowledged them.
"""

from collections.abc import Callable

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.crashes import (
    NO_CRASHES,
    Crash,
    LostRun,
    is_given_up,
    member_records,
    proof_seconds,
    proven_sound,
    records_after_crash,
)
from sequoiachute.coordination.dispatch.ended_job_stops import EndedJobStops
from sequoiachute.coordination.dispatch.losses import Losses
from sequoiachute.coordination.dispatch.sessions import (
    AgentSessions,
    Session,
    needs_record,
)
from sequoiachute.protocol.supervision import DONE, RUN_FAILED, EndReport
from sequoiachute.protocol.workload import (
    CANCELLED,
    COMPLETE,
    FAILED,
    JobGraph,
    JobProgress,
    Lifetime,
    TaskId,
    TaskState,
    is_finished,
    parse_task_id,
    task_key,
)
from sequoiachute.state.ledger import (
    Ledger,
    done_with,
    is_complete,
)
from sequoiachute.state.progress import HEAD, part_of, part_record, task_id_of
from sequoiachute.transport.store import Record

MAX_LOGGED_TASKS = 10  # in one line


class ProgressDraft:
    """Changed progress records that are not yet in the store."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._changed: dict[str, JobProgress] = {}
        self._changed_tasks: dict[str, set[str]] = {}

    @property
    def changed(self) -> dict[str, JobProgress]:
        """Drafted progress by job."""
        return self._changed

    def records(self, job_id: str) -> list[Record]:
        """Return the records of a job that differ from those of the store.

        The head, with the job's state, comes last.
        """
        recorded, drafted = self._ledger.progress(job_id), self._changed[job_id]
        stored = self._ledger.part_tasks(job_id)
        parts: dict[int, set[str]] = {}
        for key in self._changed_tasks.get(job_id, ()):
            if drafted.tasks[key] != recorded.tasks.get(key):
                parts.setdefault(self._part_of(job_id, key), set()).add(key)
        if drafted._replace(tasks={}) != recorded._replace(tasks={}):
            parts.setdefault(HEAD, set())
        if HEAD in parts:
            # An earlier version has put all tasks into the head.
            for key in stored.get(HEAD, ()):
                parts.setdefault(self._part_of(job_id, key), set()).add(key)
        records = []
        for number in sorted(parts, reverse=True):
            keys = parts[number]
            if number != HEAD:
                keys |= stored.get(number, frozenset())
            tasks = {key: drafted.tasks[key] for key in keys}
            records.append(part_record(job_id, number, drafted, tasks))
        return records

    def _part_of(self, job_id: str, key: str) -> int:
        job = self._ledger.job(job_id)
        if job is not None:
            return part_of(job, key)
        # Its record is in a topic that can't be read yet.
        for number, keys in self._ledger.part_tasks(job_id).items():
            if key in keys:
                return number
        return HEAD

    def progress(self, job_id: str) -> JobProgress:
        """Return a job's drafted progress, else that of the ledger."""
        drafted = self._changed.get(job_id)
        return drafted if drafted is not None else self._ledger.progress(job_id)

    def task(self, task: TaskId) -> TaskState:
        """Return a task's drafted state, else that of the ledger."""
        return self.progress(task.job_id).tasks.get(task_key(task), TaskState())

    def set_task(self, task: TaskId, state: TaskState) -> None:
        """Draft a task's state."""
        progress = self._editable_progress(task.job_id)
        progress.tasks[task_key(task)] = state
        self._changed_tasks.setdefault(task.job_id, set()).add(task_key(task))

    def set_state(self, job_id: str, state: str) -> None:
        """Draft a job's final state and its time."""
        progress = self._editable_progress(job_id)
        ended = progress._replace(state=state, ended_at=clock.wall_time())
        self._changed[job_id] = ended

    def set_begun(self, job_id: str) -> None:
        """Draft that a worker has had a run of the job."""
        progress = self._editable_progress(job_id)
        self._changed[job_id] = progress._replace(begun=True)

    def _editable_progress(self, job_id: str) -> JobProgress:
        if job_id not in self._changed:
            recorded = self._ledger.progress(job_id)
            self._changed[job_id] = recorded._replace(tasks=dict(recorded.tasks))
        return self._changed[job_id]


class Settlement:
    """Drafts the outcome of runs from reports and expired leases.

    Parameters
    ----------
    ledger : Ledger
    agents : AgentSessions
    losses : Losses
        Tells which runs of silent hosts are over.
    worked_seconds : callable
        Returns for how long a run of a task has been seen at work.
    """

    def __init__(
        self,
        ledger: Ledger,
        agents: AgentSessions,
        losses: Losses,
        worked_seconds: Callable[[TaskId, int], float] = lambda task, run: 0.0,
    ) -> None:
        self._ledger = ledger
        self._agents = agents
        self._losses = losses
        self._worked_seconds = worked_seconds
        self._settled: dict[str, tuple[int, int, bool, bool]] = {}
        # Runs given up on silent hosts, by the lifetime that may have crashed.
        self._expired: dict[Lifetime, dict[TaskId, TaskState]] = {}
        self._stops = EndedJobStops(ledger, agents)

    def settle(self, draft: ProgressDraft) -> list[Crash]:
        """Draft every end, loss and final state that is known now.

        Jobs that have reached their final state get orders to stop their runs. Return
        the crashes of workers that have ended runs.
        """
        crashes = []
        for session in self._agents.sessions.values():
            self._adopt_late_starts(session, draft)
            self._settle_ends(session, draft)
            self._settle_refused_starts(session, draft)
            self._settle_proofs(session, draft)
            crashes += self._settle_ended_lifetimes(session, draft)
        if not self._agents.is_gathering:
            self._settle_silent_hosts(draft)
        self._settle_jobs(draft)
        return crashes

    def _settle_silent_hosts(self, draft: ProgressDraft) -> None:
        self._losses.begin_round()
        for host in self._ledger.hosts():
            if self._agents.is_silent(host):
                self._settle_lost_runs(host, draft)
        self._losses.end_round()

    def _settle_jobs(self, draft: ProgressDraft) -> None:
        """Settle the jobs with new records or a draft; stop the runs of ended ones."""
        open_jobs = {job.job_id: job for job in self._ledger.live()}
        ended = self._ledger.ended_with_runs()
        settled = {}
        for job_id in dict.fromkeys((*open_jobs, *ended)):
            version = self._ledger.version(job_id)
            is_drafted = job_id in draft.changed
            if is_drafted or self._settled.get(job_id) != version:
                self._settle_recorded_ends(job_id, draft)
                if job_id in open_jobs:
                    self._settle_state(open_jobs[job_id], draft)
            settled[job_id] = version
        self._settled = settled
        drafted = [job_id for job_id in open_jobs if draft.progress(job_id).state]
        stopping = dict.fromkeys((*drafted, *ended))
        self._stops.order({job_id: draft.progress(job_id) for job_id in stopping})

    def _settle_ends(self, session: Session, draft: ProgressDraft) -> None:
        for end in sorted(session.ends):
            if not needs_record(self._ledger, session, end):
                continue
            task = parse_task_id(end.task)
            state = draft.task(task)
            if state.run != end.run or not state.placed:
                continue
            if state.lifetime != session.lifetime and not session.is_fenced:
                continue
            self._draft_end(task, state, end, draft)
            log = logger.bind(task=end.task, run=end.run, host=session.host)
            log.bind(how=end.outcome, number=end.number).info("run ended")

    def _draft_end(
        self, task: TaskId, state: TaskState, end: EndReport, draft: ProgressDraft
    ) -> None:
        token = newest_token(state.token, end.token)
        ended = state._replace(host="", lifetime=Lifetime(), token=token)
        if end.outcome == DONE:
            draft.set_task(task, ended._replace(done=True))
            self._complete_gang(task, draft)
        else:
            draft.set_task(task, ended)
        if end.outcome == RUN_FAILED:
            self._count_failure(task, end.run, draft)
        if end.outcome in (DONE, RUN_FAILED):
            self._prove_sound(task, draft)

    def _complete_gang(self, task: TaskId, draft: ProgressDraft) -> None:
        """Mark all members of a gang as done; one that is done implies the others."""
        for member in self._gang_members(task):
            state = draft.task(member)
            if not state.done:
                draft.set_task(member, state._replace(done=True))

    def _prove_sound(self, task: TaskId, draft: ProgressDraft) -> None:
        """Forget the crashes under a task that lasts, whose run has ended by itself.

        Its runs may all be too short to prove it sound by their work.
        """
        job = self._ledger.job(task.job_id)
        if job is None or not job.steps[task.step].lasting:
            return
        for member in self._gang_members(task) or [task]:
            state = draft.task(member)
            if state.crashes is not None and state.crashes.count:
                proven = state._replace(crashes=proven_sound(state.crashes))
                draft.set_task(member, proven)

    def _count_failure(self, task: TaskId, run: int, draft: ProgressDraft) -> None:
        """Count a failed run, once per gang even if several members report it."""
        counting_task = self._counting_task(task)
        state = draft.task(counting_task)
        if run <= state.failed_run:
            return
        failed = state._replace(failures=state.failures + 1, failed_run=run)
        draft.set_task(counting_task, failed)

    def _counting_task(self, task: TaskId) -> TaskId:
        """Return the task that counts the failures of ``task`` or its gang."""
        members = self._gang_members(task)
        return members[0] if members else task

    def _gang_members(self, task: TaskId) -> list[TaskId]:
        job = self._ledger.job(task.job_id)
        if job is None or not job.steps[task.step].gang:
            return []
        count = job.steps[task.step].count
        return [task._replace(index=index) for index in range(count)]

    def _settle_refused_starts(self, session: Session, draft: ProgressDraft) -> None:
        for start in session.settled:
            task = parse_task_id(start.task)
            if task is None:
                continue
            state = draft.task(task)
            is_current = (
                state.host == session.host and state.lifetime == session.lifetime
            )
            if not is_current or state.run != start.run:
                continue
            draft.set_task(task, state._replace(host="", lifetime=Lifetime()))
            log = logger.bind(task=start.task, run=start.run, host=session.host)
            log.bind(reason=start.reason).info("run never started")

    def _adopt_late_starts(self, session: Session, draft: ProgressDraft) -> None:
        """Move a run to the later lifetime that has carried out its start."""
        if not session.is_fenced:
            return
        for task in list(self._ledger.tasks_on_host(session.host)):
            state = draft.task(task)
            if state.host != session.host or state.lifetime == session.lifetime:
                continue
            if not session.lists(task, state.run):
                continue
            draft.set_task(task, state._replace(lifetime=session.lifetime))
            log = logger.bind(task=str(task), run=state.run, host=session.host)
            log = log.bind(life=session.lifetime.worker_id)
            log = log.bind(born=session.lifetime.started_ms)
            log = log.bind(ordered=state.lifetime.started_ms)
            log.warning("run began in a later life")

    def _settle_proofs(self, session: Session, draft: ProgressDraft) -> None:
        """Forget the crashes under tasks whose present run has worked long enough."""
        for task, placed in list(self._ledger.tasks_on_host(session.host).items()):
            if placed.crashes is None or not placed.crashes.count:
                continue
            state = draft.task(task)
            record = state.crashes
            if record is None or state.run != placed.run:
                continue
            if self._worked_seconds(task, state.run) >= proof_seconds(record):
                draft.set_task(task, state._replace(crashes=proven_sound(record)))
                log = logger.bind(task=str(task), run=state.run, host=session.host)
                log.bind(crashes=record.count).info("task proved sound")

    def _settle_ended_lifetimes(
        self, session: Session, draft: ProgressDraft
    ) -> list[Crash]:
        """Draft the loss of the runs of lifetimes that are certainly over.

        A later lifetime can carry out a start to an earlier one until it has seen a
        fencing token of its own; what it then does not list, it does not start. A
        lifetime that has left may get a later one: a run of it is kept while its start
        may be carried out late. Return the crashes that have ended the lifetimes.
        """
        lost: dict[Lifetime, dict[TaskId, TaskState]] = {}
        for task in list(self._ledger.tasks_on_host(session.host)):
            state = draft.task(task)
            if state.host != session.host:
                continue
            is_superseded = session.is_fenced and state.lifetime != session.lifetime
            has_left = state.lifetime == session.left_lifetime
            if is_superseded or (
                has_left and not session.may_start_late(task, state.run)
            ):
                self._draft_loss(task, state, session, draft, "lifetime over")
                lost.setdefault(state.lifetime, {})[task] = state
        for lifetime in self._expired.keys() & session.ended_lifetimes:
            lost.setdefault(lifetime, {}).update(self._expired.pop(lifetime))
        crashes = []
        for lifetime, states in lost.items():
            if lifetime not in session.crashes:
                continue
            asked = session.crashes[lifetime]
            present = {
                task: state
                for task, state in states.items()
                if (str(task), state.run) in asked
            }
            self._draft_crash(session.host, lifetime, present, draft)
            crashes.append(Crash(session.host, lifetime, tuple(present)))
        return crashes

    def _draft_crash(
        self,
        host: str,
        lifetime: Lifetime,
        states: dict[TaskId, TaskState],
        draft: ProgressDraft,
    ) -> None:
        """Count the crash of a worker for the tasks that were placed on it."""
        runs = []
        for task, state in states.items():
            self._separate_members(task, draft)
            worked_seconds = self._worked_seconds(task, state.run)
            record = draft.task(task).crashes or NO_CRASHES
            runs.append(LostRun(task, state.run, worked_seconds, record))
        for task, record in records_after_crash(runs, host).items():
            draft.set_task(task, draft.task(task)._replace(crashes=record))
            beside = [str(other) for other in states if other != task]
            log = logger.bind(task=str(task), run=record.run, host=host)
            log = log.bind(life=lifetime.worker_id, crashes=record.count)
            log = log.bind(sole=record.sole, suspected=record.suspected)
            log = log.bind(beside=beside[:MAX_LOGGED_TASKS], others=len(beside))
            log.warning("worker crashed under task")

    def _separate_members(self, task: TaskId, draft: ProgressDraft) -> None:
        """Give each member of a gang a record of its own crashes."""
        members = self._gang_members(task)
        states = [draft.task(member) for member in members]
        if all(state.crashes is not None for state in states):
            return
        records = member_records([state.crashes for state in states])
        for member, state, record in zip(members, states, records, strict=True):
            draft.set_task(member, state._replace(crashes=record))

    def _settle_lost_runs(self, host: str, draft: ProgressDraft) -> None:
        session = self._agents.sessions.get(host)
        for task in list(self._ledger.tasks_on_host(host)):
            state = draft.task(task)
            if state.host != host:
                continue
            reason = self._losses.reason(host, task, state)
            if not reason:
                continue
            if session is not None:
                # Until the loss is recorded, a worker that answers again would get
                # the order to start a run that it has not started yet.
                session.stops[task] = state.run
            self._expired.setdefault(state.lifetime, {})[task] = state
            self._draft_loss(task, state, session, draft, reason)

    def _draft_loss(
        self,
        task: TaskId,
        state: TaskState,
        session: Session | None,
        draft: ProgressDraft,
        reason: str,
    ) -> None:
        token = state.token
        if session is not None:
            reported_token = session.checkpoint_tokens.get((str(task), state.run), "")
            token = newest_token(token, reported_token)
        draft.set_task(task, state._replace(host="", lifetime=Lifetime(), token=token))
        log = logger.bind(task=str(task), run=state.run, host=state.host)
        log = log.bind(life=state.lifetime.worker_id, born=state.lifetime.started_ms)
        withheld_seconds = self._losses.withheld_seconds(task, state.run)
        log = log.bind(withheld=round(withheld_seconds, 3))
        log.bind(reason=reason).warning("run lost")

    def _settle_recorded_ends(self, job_id: str, draft: ProgressDraft) -> None:
        """Take over ends that were recorded while progress could not be."""
        job = self._ledger.job(job_id)
        if job is None:
            return
        for end, run in self._ledger.ends(job_id).items():
            for key in done_with(job, end):
                task = task_id_of(job_id, key)
                state = draft.task(task)
                is_over = key == end and state.placed and state.run == run
                if state.done and not is_over:
                    continue
                state = state._replace(done=True)
                if is_over:
                    state = state._replace(host="", lifetime=Lifetime())
                draft.set_task(task, state)

    def _settle_state(self, job: JobGraph, draft: ProgressDraft) -> None:
        """Draft the final state of a job that has just ended."""
        progress = draft.progress(job.job_id)
        if progress.state:
            return
        state = self._final_state(job, progress)
        if state:
            draft.set_state(job.job_id, state)
            took_seconds = clock.wall_time() - job.accepted_at
            log = logger.bind(job=job.job_id, state=state)
            log.bind(took=round(took_seconds, 3)).info("job ended")

    def _final_state(self, job: JobGraph, progress: JobProgress) -> str:
        if self._ledger.is_cancelled(job.job_id):
            return CANCELLED
        if is_complete(job, progress):
            return COMPLETE
        for key, task in progress.tasks.items():
            step = job.steps[int(key.split(".")[1])]
            if is_finished(step, task):
                continue
            if task.crashes is not None and is_given_up(task.crashes):
                return FAILED
            if task.failures >= job.attempts and not step.lasting:
                return FAILED
        return ""


def newest_token(known: str, other: str) -> str:
    """Return the checkpoint token with more work saved.

    Tokens of a task increase, first in length, then in lexicographic order.
    """
    return max(known, other, key=lambda token: (len(token), token))
