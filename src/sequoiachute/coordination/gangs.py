"""Gangs at an agent: reservations, the commit and the tasks' ends."""

from collections.abc import Callable

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.coordination.tasks import gather
from sequoiachute.protocol.messages import (
    START,
    STOP,
    Commit,
    CommitReply,
    GangMember,
    Reserve,
    ReserveReply,
    Start,
    Stop,
    StopReply,
    TaskReport,
)
from sequoiachute.state.grants import STARTED, Grant, GrantTable
from sequoiachute.transport.ports import BackendServer, Caller

CALL_SECONDS = 2.0
TASK_POLL_SECONDS = 0.25


class GangKeeper:
    """The sole authority over the worker's accelerators and slots.

    Parameters
    ----------
    worker_id, address : str
        Identity and RPC address of the agent.
    grants : GrantTable
        What the agent has granted.
    notify : callable
        Called when there is something new to announce.
    """

    def __init__(
        self,
        worker_id: str,
        address: str,
        grants: GrantTable,
        view: ConfigurationView,
        caller: Caller,
        backend: BackendServer,
        notify: Callable[[], None],
    ) -> None:
        self._worker_id = worker_id
        self._address = address
        self._grants = grants
        self._view = view
        self._caller = caller
        self._backend = backend
        self._notify = notify
        self._reports: dict[tuple[str, int, int], TaskReport] = {}
        self._leaving = False

    @property
    def reports(self) -> tuple[TaskReport, ...]:
        """Ends of tasks that no entry has acknowledged yet."""
        return tuple(self._reports.values())

    @property
    def is_idle(self) -> bool:
        """Whether nothing is granted."""
        return not self._grants.grants()

    def acknowledge(self, keys: tuple[tuple[str, int, int], ...]) -> None:
        """Forget the reports that the log tells of."""
        for key in keys:
            self._reports.pop(tuple(key), None)

    def leave(self) -> None:
        """Take no new tasks."""
        self._leaving = True

    def reserve(self, message: Reserve) -> ReserveReply:
        """Hold accelerators for one member of a gang."""
        refusal = self._refusal(message.config_offset)
        if refusal:
            return ReserveReply(0, refusal)
        granted = self._grants.reserve(message, clock.now())
        if isinstance(granted, str):
            return ReserveReply(0, granted)
        return ReserveReply(granted.token)

    def commit(self, message: Commit) -> CommitReply:
        """Start a whole gang, or nothing of it."""
        refusal = self._refusal(message.config_offset)
        if refusal:
            return CommitReply(False, refusal)
        calls = []
        for member in message.members:
            calls.append(lambda m=member: self._start_member(message, m))
        refusals = [reason for reason in gather(calls) if reason]
        if refusals:
            self._stop_gang(message, refusals[0])
            return CommitReply(False, refusals[0])
        return CommitReply(True)

    def start(self, message: Start) -> CommitReply:
        """Start one reserved member of a committed gang."""
        refusal = self._refusal(self._view.configuration.offset)
        if refusal:
            return CommitReply(False, refusal)
        started = self._grants.start(
            message.job_id,
            message.attempt,
            message.member,
            message.token,
            clock.now(),
        )
        if isinstance(started, str):
            return CommitReply(False, started)
        outcome = self._backend.start_task(
            _task_id(started),
            started.token,
            started.accelerators,
            message.payload,
            message.run_seconds,
            message.done_seconds,
        )
        if outcome.is_err():
            self._grants.release(message.job_id, message.attempt, message.member)
            return CommitReply(False, outcome.unwrap_err().reason)
        eventlet.spawn(self._watch, started)
        self._notify()
        return CommitReply(True)

    def stop(self, message: Stop) -> StopReply:
        """Stop the tasks of a job's attempt and drop its reservations."""
        known = False
        for grant in self._grants.grants():
            if (grant.job_id, grant.attempt) != (message.job_id, message.attempt):
                continue
            known = True
            self._stop_grant(grant, message.checkpoint, message.reason)
        return StopReply(known)

    def _refusal(self, config_offset: int) -> str:
        if self._leaving:
            return "the backend server is leaving"
        return self._view.refusal(config_offset)

    def _start_member(self, message: Commit, member: GangMember) -> str:
        start = Start(
            job_id=message.job_id,
            attempt=message.attempt,
            member=member.member,
            token=member.token,
            payload=message.payload,
            run_seconds=message.run_seconds,
            done_seconds=message.done_seconds,
            first_address=self._address,
        )
        if member.worker_id == self._worker_id:
            reply = self.start(start)
            return "" if reply.committed else reply.reason
        outcome = self._caller.call(member.address, START, start, CALL_SECONDS)
        if outcome.is_err():
            return outcome.unwrap_err().reason
        reply = outcome.unwrap()
        return "" if reply.committed else reply.reason

    def _stop_gang(self, message: Commit, reason: str) -> None:
        stop = Stop(message.job_id, message.attempt, False, reason)
        for address in {member.address for member in message.members}:
            if address == self._address:
                self.stop(stop)
                continue
            self._caller.call(address, STOP, stop, CALL_SECONDS)

    def _stop_grant(self, grant: Grant, checkpoint: bool, reason: str) -> None:
        if grant.state != STARTED:
            self._grants.release(grant.job_id, grant.attempt, grant.member)
            return
        outcome = self._backend.stop_task(_task_id(grant), checkpoint)
        if outcome.is_err() or outcome.unwrap() is None:
            return
        end = outcome.unwrap()
        self._end(grant, end.state, reason, end.result, end.done_seconds)

    def _watch(self, grant: Grant) -> None:
        while True:
            clock.sleep(TASK_POLL_SECONDS)
            if self._grants.get(grant.job_id, grant.attempt, grant.member) is None:
                return
            outcome = self._backend.task(_task_id(grant))
            if outcome.is_err():
                continue
            task = outcome.unwrap()
            if task is None:
                self._end(grant, "stopped", "the worker has lost the task", "", 0.0)
                return
            if task.state != "running":
                self._end(
                    grant, task.state, task.reason, task.result, task.done_seconds
                )
                return

    def _end(
        self, grant: Grant, state: str, reason: str, result: str, done_seconds: float
    ) -> None:
        key = (grant.job_id, grant.attempt, grant.member)
        if not self._grants.release(*key):
            return
        self._reports[key] = TaskReport(*key, state, reason, result, done_seconds)
        self._notify()


def _task_id(grant: Grant) -> str:
    return f"{grant.job_id}.{grant.attempt}.{grant.member}"
