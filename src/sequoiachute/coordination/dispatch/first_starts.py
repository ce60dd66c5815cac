"""Finds the jobs of which a first task has begun, from agents' reports."""

from collections import Counter
from collections.abc import Iterable, Iterator

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.coordination.dispatch.settlement import ProgressDraft
from sequoiachute.protocol.supervision import DONE, RUN_FAILED
from sequoiachute.protocol.workload import TaskId, parse_task_id
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
        """Yield the jobs that have a run at work, some of them repeatedly.

        Members of a gang wait for each other: they have begun when all are present.
        """
        members: Counter[tuple[str, int, int, int]] = Counter()
        for session in self._agents.sessions.values():
            for task, run, is_at_work in self._listed_runs(session):
                step = self._ledger.job(task.job_id).steps[task.step]
                key = (*task[:3], run)
                members[key] += 1
                if is_at_work or not step.gang or members[key] == step.count:
                    yield task.job_id

    def _listed_runs(self, session: Session) -> Iterator[tuple[TaskId, int, bool]]:
        """Yield the runs of jobs not begun yet, and whether each is surely at work."""
        rows = [(run.task, run.run, run.percent > 0) for run in session.runs.values()]
        rows += [(end.task, end.run, end.outcome in WORKED) for end in session.ends]
        placed = self._ledger.tasks_on_host(session.host)
        for name, run, is_at_work in rows:
            job_id = name.partition(".")[0]
            if job_id in self._seen_at or self._ledger.progress(job_id).begun:
                continue
            task = parse_task_id(name)
            if task not in placed or placed[task].run != run:
                continue
            if self._ledger.job(job_id) is not None:
                yield task, run, is_at_work
