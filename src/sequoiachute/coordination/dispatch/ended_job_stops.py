"""Orders the stop of runs whose jobs have ended or been cancelled."""

from loguru import logger

from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.protocol.workload import (
    CANCELLED,
    JobProgress,
    TaskId,
    TaskState,
    is_finished,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.progress import task_id_of

# Why a run can't be told to stop.
NO_REPORT = "no report of its agent"
OTHER_LIFE = "worker in another life"


class EndedJobStops:
    """Orders stops, again in each round, and logs once why one is withheld.

    Parameters
    ----------
    ledger : Ledger
    agents : AgentSessions
        Their sessions get the stops.
    """

    def __init__(self, ledger: Ledger, agents: AgentSessions) -> None:
        self._ledger = ledger
        self._agents = agents
        self._withheld: dict[tuple[TaskId, int], str] = {}

    def order(self, jobs: dict[str, JobProgress]) -> None:
        """Order the stop of all runs of ``jobs``, which are ended or cancelled."""
        withheld: dict[tuple[TaskId, int], str] = {}
        for job_id, progress in jobs.items():
            for task, state in self._runs_to_stop(job_id, progress):
                session = self._agents.sessions.get(state.host)
                obstacle = _obstacle(session, state)
                if obstacle:
                    withheld[(task, state.run)] = obstacle
                    self._log_withheld(task, state, obstacle)
                elif session.stops.get(task, 0) != state.run:
                    session.stops[task] = state.run
                    log = logger.bind(task=str(task), run=state.run, host=state.host)
                    reason = f"job {progress.state or CANCELLED}"
                    log.bind(reason=reason).info("stopping run")
        self._withheld = withheld

    def _runs_to_stop(
        self, job_id: str, progress: JobProgress
    ) -> list[tuple[TaskId, TaskState]]:
        """Return the runs that may exist; the record of the job may not be known."""
        job = self._ledger.job(job_id)
        found = []
        for key, state in progress.tasks.items():
            if not state.placed:
                continue
            task = task_id_of(job_id, key)
            if job is not None and is_finished(job.steps[task.step], state):
                # A member of a gang of which another has ended done.
                continue
            found.append((task, state))
        return found

    def _log_withheld(self, task: TaskId, state: TaskState, obstacle: str) -> None:
        if self._withheld.get((task, state.run)) == obstacle:
            return
        log = logger.bind(task=str(task), run=state.run, host=state.host)
        log = log.bind(life=state.lifetime.worker_id, born=state.lifetime.started_ms)
        log.bind(reason=obstacle).info("stop withheld")


def _obstacle(session: Session | None, state: TaskState) -> str:
    """Return why a run can't be told to stop, else empty."""
    if session is None:
        return NO_REPORT
    return OTHER_LIFE if session.lifetime != state.lifetime else ""
