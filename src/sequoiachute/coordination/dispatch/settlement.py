"""What has become of runs: ends, losses, cancels and final states of jobs.

Everything here only drafts records; the placer applies them once the store
has acknowledged them.
"""

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import Desk, Session, needs_record
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
    parse_task_id,
    task_key,
)
from sequoiachute.state.ledger import Ledger, task_id_of


class Draft:
    """Progress records that are to be written, over those of the ledger."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._changed: dict[str, JobProgress] = {}

    @property
    def changed(self) -> dict[str, JobProgress]:
        """New progress by job."""
        return self._changed

    def progress(self, job_id: str) -> JobProgress:
        """Return a job's progress as drafted."""
        known = self._changed.get(job_id)
        return known if known is not None else self._ledger.progress(job_id)

    def task(self, task: TaskId) -> TaskState:
        """Return a task's state as drafted."""
        return self.progress(task.job_id).tasks.get(task_key(task), TaskState())

    def set_task(self, task: TaskId, state: TaskState) -> None:
        """Draft a task's state."""
        progress = self._own(task.job_id)
        progress.tasks[task_key(task)] = state

    def set_state(self, job_id: str, state: str) -> None:
        """Draft a job's final state."""
        progress = self._own(job_id)
        ended = progress._replace(state=state, ended_at=clock.wall_time())
        self._changed[job_id] = ended

    def _own(self, job_id: str) -> JobProgress:
        if job_id not in self._changed:
            known = self._ledger.progress(job_id)
            self._changed[job_id] = known._replace(tasks=dict(known.tasks))
        return self._changed[job_id]


class Settlement:
    """Drafts what the agents' reports and their silence mean."""

    def __init__(self, ledger: Ledger, desk: Desk) -> None:
        self._ledger = ledger
        self._desk = desk

    def settle(self, draft: Draft) -> None:
        """Draft every end, loss and final state known by now."""
        for session in self._desk.sessions.values():
            self._settle_ends(session, draft)
            self._settle_starts(session, draft)
            self._settle_lost_lives(session, draft)
        for host in self._ledger.hosts():
            if self._desk.is_lost(host):
                self._settle_silence(host, draft)
        for job in list(self._ledger.live()):
            self._settle_job(job, draft)

    def _settle_ends(self, session: Session, draft: Draft) -> None:
        for end in sorted(session.ends):
            if not needs_record(self._ledger, session, end):
                continue
            task = parse_task_id(end.task)
            state = draft.task(task)
            if state.run != end.run or not state.placed:
                continue
            self._take_end(task, state, end, draft)
            log = logger.bind(task=end.task, run=end.run, host=session.host)
            log.bind(how=end.outcome, number=end.number).info("run ended")

    def _take_end(
        self, task: TaskId, state: TaskState, end: EndReport, draft: Draft
    ) -> None:
        token = newest_token(state.token, end.token)
        ended = state._replace(host="", life=Lifetime(), token=token)
        if end.outcome == DONE:
            draft.set_task(task, ended._replace(done=True))
            self._spread_done(task, draft)
            return
        draft.set_task(task, ended)
        if end.outcome == RUN_FAILED:
            self._count_failure(task, end.run, draft)

    def _spread_done(self, task: TaskId, draft: Draft) -> None:
        """One member of a gang that is done stands for all."""
        for member in self._gang(task):
            state = draft.task(member)
            if not state.done:
                draft.set_task(member, state._replace(done=True))

    def _count_failure(self, task: TaskId, run: int, draft: Draft) -> None:
        """Count a failed run once for a gang, whichever members say so."""
        members = self._gang(task)
        counted = members[0] if members else task
        state = draft.task(counted)
        if run <= state.failed_run:
            return
        failed = state._replace(failures=state.failures + 1, failed_run=run)
        draft.set_task(counted, failed)

    def _gang(self, task: TaskId) -> list[TaskId]:
        job = self._ledger.job(task.job_id)
        if job is None or not job.steps[task.step].gang:
            return []
        count = job.steps[task.step].count
        return [task._replace(index=index) for index in range(count)]

    def _settle_starts(self, session: Session, draft: Draft) -> None:
        for start in session.settled:
            task = parse_task_id(start.task)
            if task is None:
                continue
            state = draft.task(task)
            here = state.host == session.host and state.life == session.life
            if not here or state.run != start.run:
                continue
            draft.set_task(task, state._replace(host="", life=Lifetime()))
            log = logger.bind(task=start.task, run=start.run, host=session.host)
            log.bind(reason=start.reason).info("run never started")

    def _settle_lost_lives(self, session: Session, draft: Draft) -> None:
        for task in list(self._ledger.tasks_on_host(session.host)):
            state = draft.task(task)
            if state.host != session.host:
                continue
            ended = state.life in session.gone
            if session.worker is not None and state.life != session.life:
                ended = True
            if ended:
                self._lose(task, state, session, draft, "lifetime over")

    def _settle_silence(self, host: str, draft: Draft) -> None:
        session = self._desk.sessions.get(host)
        for task in list(self._ledger.tasks_on_host(host)):
            state = draft.task(task)
            if state.host == host:
                self._lose(task, state, session, draft, "lease run out")

    def _lose(
        self,
        task: TaskId,
        state: TaskState,
        session: Session | None,
        draft: Draft,
        reason: str,
    ) -> None:
        token = state.token
        if session is not None:
            saved = session.saved.get((str(task), state.run), "")
            token = newest_token(token, saved)
        draft.set_task(task, state._replace(host="", life=Lifetime(), token=token))
        log = logger.bind(task=str(task), run=state.run, host=state.host)
        log.bind(life=state.life.worker_id, reason=reason).warning("run lost")

    def _settle_job(self, job: JobGraph, draft: Draft) -> None:
        progress = draft.progress(job.job_id)
        if not progress.state:
            state = self._final_state(job, progress)
            if state:
                draft.set_state(job.job_id, state)
                logger.bind(job=job.job_id, state=state).info("job ended")
        if draft.progress(job.job_id).state:
            self._stop_runs(job, draft)

    def _final_state(self, job: JobGraph, progress: JobProgress) -> str:
        if self._ledger.is_cancelled(job.job_id):
            return CANCELLED
        if is_complete(job, progress):
            return COMPLETE
        for key, task in progress.tasks.items():
            step = job.steps[int(key.split(".")[1])]
            if task.failures >= job.attempts and not task.done and not step.lasting:
                return FAILED
        return ""

    def _stop_runs(self, job: JobGraph, draft: Draft) -> None:
        for key, state in draft.progress(job.job_id).tasks.items():
            if not state.placed:
                continue
            session = self._desk.sessions.get(state.host)
            if session is None or session.life != state.life:
                continue
            if not state.done:
                session.stops[task_id_of(job.job_id, key)] = state.run


def is_complete(job: JobGraph, progress: JobProgress) -> bool:
    """Return whether every task of every occurrence is done."""
    if job.is_lasting:
        return False
    wanted = job.occurrence_count * sum(step.count for step in job.steps)
    if len(progress.tasks) < wanted:
        return False
    return sum(task.done for task in progress.tasks.values()) >= wanted


def newest_token(known: str, other: str) -> str:
    """Return the checkpoint with more work saved: their values rise."""
    return max(known, other, key=lambda token: (len(token), token))
