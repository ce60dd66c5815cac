"""Starts, renews and stops the tasks on an agent's worker."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event
from result import Result

from sequoiachute import clock
from sequoiachute.coordination.bounds import TASK_LEASE_SECONDS
from sequoiachute.errors import RpcError
from sequoiachute.protocol.messages import TaskReport
from sequoiachute.state.grants import Grant, GrantTable, MemberKey
from sequoiachute.transport.ports import BackendServer, BackendTask

TASK_POLL_INTERVAL_SECONDS = 0.25


class TaskSpec(NamedTuple):
    """What a task runs.

    ``run_seconds`` is the declared run time, ``done_seconds`` how much of it
    earlier attempts have completed.
    """

    payload: str
    run_seconds: float
    done_seconds: float


class _StopRequest(NamedTuple):
    checkpoint: bool
    reason: str


class TaskRunner:
    """Runs the tasks of started grants under leases on the worker.

    A grant is released only once its task has certainly ended: the worker
    reported it, or the lease has expired since the last call that may have
    renewed it.

    Parameters
    ----------
    grants : GrantTable
        Grants of this worker; those of ended tasks are released.
    backend : BackendServer
        Runs the tasks.
    on_task_end : callable
        Called after the end of every task.
    """

    def __init__(
        self,
        grants: GrantTable,
        backend: BackendServer,
        on_task_end: Callable[[], None],
    ) -> None:
        self._grants = grants
        self._backend = backend
        self._on_task_end = on_task_end
        self._lease_ends_at: dict[MemberKey, float] = {}
        self._starting: dict[MemberKey, Event] = {}
        self._stop_requests: dict[MemberKey, _StopRequest] = {}
        self._reports: dict[MemberKey, TaskReport] = {}

    @property
    def reports(self) -> tuple[TaskReport, ...]:
        """Reports of ended tasks that no entry has acknowledged yet."""
        return tuple(self._reports.values())

    def acknowledge(self, keys: tuple[MemberKey, ...]) -> None:
        """Drop the reports with these keys; the log has their outcomes."""
        for key in keys:
            self._reports.pop(tuple(key), None)

    def reports_of(self, job_id: str, attempt: int) -> tuple[TaskReport, ...]:
        """Return the reports of one attempt of a job."""
        reports = []
        for report in self._reports.values():
            if (report.job_id, report.attempt) == (job_id, attempt):
                reports.append(report)
        return tuple(reports)

    def start(self, grant: Grant, spec: TaskSpec) -> str:
        """Start the task of ``grant``; return why that failed, empty if it did not."""
        started = self._starting[grant.key] = Event()
        try:
            return self._start(grant, spec)
        finally:
            del self._starting[grant.key]
            started.send(None)

    def stop(self, grant: Grant, checkpoint: bool, reason: str) -> bool:
        """Stop the task of ``grant``; return whether it has certainly ended.

        If the worker doesn't answer, the stop is repeated until the lease expires.
        """
        starting = self._starting.get(grant.key)
        if starting is not None:
            # A stop that arrives before the start would find no task.
            starting.wait()
        request = self._stop_requests.setdefault(
            grant.key, _StopRequest(checkpoint, reason)
        )
        outcome = self._backend.stop_task(_task_id(grant), request.checkpoint)
        if outcome.is_err():
            return False
        return self._apply_task_state(grant, outcome.unwrap())

    def forget_report(self, key: MemberKey) -> None:
        """Drop the report of an earlier task of the member."""
        self._reports.pop(key, None)

    def _start(self, grant: Grant, spec: TaskSpec) -> str:
        outcome = self._backend.start_task(
            _task_id(grant),
            grant.token,
            grant.accelerators,
            spec.payload,
            spec.run_seconds,
            spec.done_seconds,
            TASK_LEASE_SECONDS,
        )
        if outcome.is_err() and not outcome.unwrap_err().delivered:
            reason = outcome.unwrap_err().reason
            self._release_and_report(grant, "stopped", reason, "", spec.done_seconds)
            return reason
        self._lease_ends_at[grant.key] = clock.now() + TASK_LEASE_SECONDS
        eventlet.spawn(self._poll_until_ended, grant)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            self._stop_requests[grant.key] = _StopRequest(False, reason)
            return reason
        return ""

    def _poll_until_ended(self, grant: Grant) -> None:
        failing_since = None
        while True:
            clock.sleep(TASK_POLL_INTERVAL_SECONDS)
            current = self._grants.get(*grant.key)
            if current is None or current.token != grant.token:
                return
            outcome = self._renew_or_stop(grant)
            if outcome.is_ok():
                failing_since = None
                if self._apply_task_state(grant, outcome.unwrap()):
                    return
                continue
            now = clock.now()
            failing_since = now if failing_since is None else failing_since
            reason = f"the worker does not answer: {outcome.unwrap_err().reason}"
            if now - failing_since >= TASK_LEASE_SECONDS:
                self._stop_requests.setdefault(grant.key, _StopRequest(True, reason))
            if now >= self._lease_ends_at.get(grant.key, now):
                self._release_and_report(grant, "stopped", reason, "", 0.0)
                return

    def _renew_or_stop(self, grant: Grant) -> Result[BackendTask | None, RpcError]:
        request = self._stop_requests.get(grant.key)
        if request is not None:
            return self._backend.stop_task(_task_id(grant), request.checkpoint)
        outcome = self._backend.renew_task(
            _task_id(grant), grant.token, TASK_LEASE_SECONDS
        )
        if outcome.is_ok() or outcome.unwrap_err().delivered:
            self._lease_ends_at[grant.key] = clock.now() + TASK_LEASE_SECONDS
        return outcome

    def _apply_task_state(self, grant: Grant, task: BackendTask | None) -> bool:
        """Release the grant if its task has ended; return whether it has."""
        if task is None:
            self._release_and_report(
                grant, "stopped", "the worker has lost the task", "", 0.0
            )
            return True
        if task.state == "running":
            return False
        reason = task.reason
        request = self._stop_requests.get(grant.key)
        if request is not None and task.state == "stopped":
            reason = request.reason
        self._release_and_report(
            grant, task.state, reason, task.result, task.done_seconds
        )
        return True

    def _release_and_report(
        self, grant: Grant, state: str, reason: str, result: str, done_seconds: float
    ) -> None:
        key = grant.key
        if not self._grants.release(*key):
            return
        self._lease_ends_at.pop(key, None)
        self._stop_requests.pop(key, None)
        self._reports[key] = TaskReport(*key, state, reason, result, done_seconds)
        self._on_task_end()


def _task_id(grant: Grant) -> str:
    return f"{grant.job_id}.{grant.attempt}.{grant.member}"
