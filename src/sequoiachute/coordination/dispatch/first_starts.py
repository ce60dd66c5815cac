"""Finds the jobs of which a first task has begun, from agents' reports."""

from collections import Counter
from collections.abc import Iterable, Iterator

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.coordination.dispatch.settlement import ProgressDraft
from sequoiachute.protocol.supervision import DONE, RUN_FAILED
from sequoiachute.protocol.workload import JobGraph, JobProgress
from sequoiachute.state.ledger import Ledger

# Callers may see a count that is 2 s old; until then another record may carry this.
MAX_DELAY_SECONDS = 0.5
WORKED = (DONE, RUN_FAILED)  # outcomes of runs that were at work


class FirstStarts:
    """Records that a job has begun once a worker has listed a run of it.

    A record that places a task shows only that it should start: the worker may refuse.

    Parameters
    ----------
    ledger : Ledger
    agents : AgentSessions
    """

    def __init__(self, ledger: Ledger, agents: AgentSessions) -> None:
        self._ledger = ledger
        self._agents = agents
        self._seen_at: dict[str, float] = {}

    def find(self) -> list[str]:
        """Return the jobs seen for the first time to have begun.

        Call it before the ends of runs are settled.
        """
        return self.add(self._begun_jobs())

    def add(self, job_ids: Iterable[str]) -> list[str]:
        """Note jobs that have begun; return those not seen or recorded before."""
        new = []
        for job_id in job_ids:
            if job_id in self._seen_at or self._ledger.progress(job_id).begun:
                continue
            self._seen_at[job_id] = clock.elapsed()
            new.append(job_id)
        return new

    def draft(self, draft: ProgressDraft) -> None:
        """Draft what was seen; alone only after ``MAX_DELAY_SECONDS``."""
        for job_id in list(self._seen_at):
            is_recorded = self._ledger.progress(job_id).begun
            is_gone = self._ledger.job(job_id) is None
            if is_recorded or is_gone or self._ledger.is_set_aside(job_id):
                del self._seen_at[job_id]
        oldest = min(self._seen_at.values(), default=float("inf"))
        if not draft.changed and clock.elapsed() - oldest < MAX_DELAY_SECONDS:
            return
        for job_id, seen_at in self._seen_at.items():
            draft.set_begun(job_id)
            age = round(clock.elapsed() - seen_at, 3)
            logger.bind(job=job_id, age=age).info("job begun")

    def _begun_jobs(self) -> Iterator[str]:
        """Yield the jobs not known to have begun that have a run at work."""
        for job in self._ledger.live():
            progress = self._ledger.progress(job.job_id)
            if progress.begun or job.job_id in self._seen_at or not progress.tasks:
                continue
            if self._has_begun(job, progress):
                yield job.job_id

    def _has_begun(self, job: JobGraph, progress: JobProgress) -> bool:
        """Return whether workers list a run of a job.

        Members of a gang wait for each other: they have begun when all are present.
        """
        members: Counter[tuple[int, int, int]] = Counter()
        for key, state in progress.tasks.items():
            session = self._agents.sessions.get(state.host)
            if session is None:
                continue
            is_at_work = _is_at_work(session, f"{job.job_id}.{key}", state.run)
            if is_at_work is None:
                continue
            occurrence, step, _ = map(int, key.split("."))
            members[(occurrence, step, state.run)] += 1
            is_whole = members[(occurrence, step, state.run)] == job.steps[step].count
            if is_at_work or is_whole or not job.steps[step].gang:
                return True
        return False


def _is_at_work(session: Session, task: str, run: int) -> bool | None:
    """Return whether a listed run is surely at work, ``None`` if it is not listed."""
    report = session.runs.get((task, run))
    if report is not None:
        return report.percent > 0
    for end in session.ends:
        if (end.task, end.run) == (task, run):
            return end.outcome in WORKED
    return None
