"""Reserves, starts and stops the gang members on an agent's worker."""

from collections.abc import Callable

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.bounds import (
    AGENT_STARTUP_HOLD_SECONDS,
    GANG_HEARTBEAT_SECONDS,
    GANG_LEASE_SECONDS,
)
from sequoiachute.coordination.concurrency import gather
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.coordination.runner import TaskRunner, TaskSpec
from sequoiachute.protocol.messages import (
    GANG_HEARTBEAT,
    CommitReply,
    GangHeartbeat,
    GangStop,
    Prepare,
    Reserve,
    ReserveReply,
    Start,
    Stop,
    StopReply,
)
from sequoiachute.state.grants import STARTED, Grant, GrantTable
from sequoiachute.transport.ports import RpcCaller

HEARTBEAT_TIMEOUT_SECONDS = 1.0
STOPPED_ATTEMPT_RETENTION_SECONDS = 60.0
STOP_RETRY_INTERVAL_SECONDS = 0.5

RUNNING = "running"
FINISHED = "finished"
BROKEN = "broken"

JobAttempt = tuple[str, int]


class GangParticipant:
    """The sole authority over the worker's accelerators and slots.

    Takes part in the two-phase start that a ``GangLeader`` coordinates.

    Parameters
    ----------
    address : str
        RPC address of the agent.
    grants : GrantTable
        Accelerators and slots that the agent has granted.
    view : ConfigurationView
        Tells whether tasks may start here.
    """

    def __init__(
        self,
        address: str,
        grants: GrantTable,
        view: ConfigurationView,
        caller: RpcCaller,
        runner: TaskRunner,
    ) -> None:
        self._address = address
        self._grants = grants
        self._view = view
        self._caller = caller
        self._runner = runner
        self._startup_hold_until = clock.now() + AGENT_STARTUP_HOLD_SECONDS
        self._stopped: dict[JobAttempt, float] = {}
        self._stop_listener: Callable[[JobAttempt, str], None] | None = None
        self._leaving = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing is granted."""
        return not self._grants.grants()

    def set_stop_listener(self, listener: Callable[[JobAttempt, str], None]) -> None:
        """Call ``listener`` with every attempt stopped here and the reason."""
        self._stop_listener = listener

    def leave(self) -> None:
        """Refuse new tasks from now on."""
        self._leaving = True

    def refusal(self, config_offset: int) -> str:
        """Return why no task may start here now, empty if it may."""
        if self._leaving:
            return "the backend server is leaving"
        if clock.now() < self._startup_hold_until:
            return "tasks of an earlier agent may still run here"
        return self._view.refusal(config_offset)

    def reserve(self, message: Reserve) -> ReserveReply:
        """Reserve accelerators and a slot for one member of a gang."""
        refusal = self.refusal(message.config_offset)
        if refusal:
            return ReserveReply(0, refusal)
        granted = self._grants.reserve(message, clock.now())
        if isinstance(granted, str):
            return ReserveReply(0, granted)
        self._stopped.pop((message.job_id, message.attempt), None)
        self._runner.forget_report(granted.key)
        return ReserveReply(granted.token)

    def prepare(self, message: Prepare) -> CommitReply:
        """Return whether the members here can start, and hold their reservations.

        The reservations then last at least ``message.hold_seconds`` from now.
        """
        refusal = self.refusal(message.config_offset)
        if refusal:
            return CommitReply(False, refusal)
        now = clock.now()
        until = now + message.hold_seconds
        for member in message.members:
            key = (message.job_id, message.attempt, member.member)
            refusal = self._grants.extend(key, member.token, until, now)
            if refusal:
                return CommitReply(False, refusal)
        return CommitReply(True)

    def start(self, message: Start) -> CommitReply:
        """Start every member here of a committed gang, or none."""
        attempt = (message.job_id, message.attempt)
        refusal = self.refusal(message.config_offset)
        if attempt in self._stopped:
            refusal = "the attempt has been stopped"
        if refusal:
            return CommitReply(False, refusal)
        started = []
        for member in message.members:
            key = (*attempt, member.member)
            grant = self._grants.start(key, member.token, clock.now())
            if isinstance(grant, str):
                self._release(started)
                return CommitReply(False, grant)
            started.append(grant)
        return self._start_tasks(message, started)

    def stop(self, message: Stop) -> StopReply:
        """Stop an attempt of a job here on the placer's request."""
        if not self._grants.admit_term(message.term):
            reason = f"the placer's term {message.term} has been succeeded"
            return StopReply(False, reason)
        attempt = (message.job_id, message.attempt)
        return self.stop_attempt(attempt, message.checkpoint, message.reason)

    def stop_gang(self, message: GangStop) -> StopReply:
        """Stop an attempt of a job here on the request of its first member."""
        return self.stop_attempt(
            (message.job_id, message.attempt), True, message.reason
        )

    def stop_attempt(
        self, attempt: JobAttempt, checkpoint: bool, reason: str
    ) -> StopReply:
        """Stop the tasks of ``attempt`` here and drop its reservations.

        The attempt can't be started here afterwards unless it is reserved again.
        """
        now = clock.now()
        self._prune_stopped(now)
        self._stopped[attempt] = now
        if self._stop_listener is not None:
            self._stop_listener(attempt, reason)
        calls = []
        for grant in self._grants.of_attempt(*attempt):
            calls.append(lambda g=grant: self._stop_grant(g, checkpoint, reason))
        gather(calls)
        ended = not self._grants.of_attempt(*attempt)
        if clock.now() < self._startup_hold_until:
            return StopReply(False, "tasks of an earlier agent may still run here")
        return StopReply(ended, "", self._runner.reports_of(*attempt))

    def stop_all(self, reason: str) -> None:
        """Stop every task after a checkpoint."""
        attempts = {(g.job_id, g.attempt) for g in self._grants.grants()}
        calls = []
        for attempt in sorted(attempts):
            calls.append(lambda a=attempt: self.stop_attempt(a, True, reason))
        gather(calls)

    def state_of(self, attempt: JobAttempt) -> str:
        """Return the state of the attempt's members here.

        ``running``, ``finished``, or ``broken`` if any of them was stopped or
        failed.
        """
        for report in self._runner.reports_of(*attempt):
            if report.state != FINISHED:
                return BROKEN
        if attempt in self._stopped:
            return BROKEN
        if self._grants.of_attempt(*attempt):
            return RUNNING
        return FINISHED

    def _start_tasks(self, message: Start, grants: list[Grant]) -> CommitReply:
        attempt = (message.job_id, message.attempt)
        spec = TaskSpec(message.payload, message.run_seconds, message.done_seconds)
        calls = []
        for grant in grants:
            calls.append(lambda g=grant: self._runner.start(g, spec))
        refusals = [reason for reason in gather(calls) if reason]
        if attempt in self._stopped:
            refusals.append("the attempt has been stopped")
        # The calls may have taken long: tasks started on a configuration that
        # has changed or become unconfirmed since must not go on.
        refusal = self.refusal(message.config_offset)
        if refusal:
            refusals.append(refusal)
        if refusals:
            self.stop_attempt(attempt, True, refusals[0])
            return CommitReply(False, refusals[0])
        if message.first_address != self._address:
            eventlet.spawn(self._send_heartbeats, attempt, message.first_address)
        return CommitReply(True)

    def _send_heartbeats(self, attempt: JobAttempt, first_address: str) -> None:
        """Send heartbeats to the first member; stop the members here if it is lost.

        The members here are also stopped when the first member has ended the gang.
        """
        answered_at = clock.now()
        while True:
            clock.sleep(GANG_HEARTBEAT_SECONDS)
            state = self.state_of(attempt)
            message = GangHeartbeat(*attempt, self._address, state)
            sent_at = clock.now()
            outcome = self._caller.call(
                first_address, GANG_HEARTBEAT, message, HEARTBEAT_TIMEOUT_SECONDS
            )
            if outcome.is_ok() and outcome.unwrap().running:
                answered_at = sent_at
                if state != RUNNING:
                    return
                continue
            reason = "the gang's first member does not answer"
            if outcome.is_ok():
                reason = outcome.unwrap().reason
            elif clock.now() - answered_at < GANG_LEASE_SECONDS:
                continue
            self._stop_until_ended(attempt, reason)
            return

    def _stop_until_ended(self, attempt: JobAttempt, reason: str) -> None:
        while self._grants.of_attempt(*attempt):
            self.stop_attempt(attempt, True, reason)
            clock.sleep(STOP_RETRY_INTERVAL_SECONDS)

    def _stop_grant(self, grant: Grant, checkpoint: bool, reason: str) -> bool:
        if grant.state == STARTED:
            return self._runner.stop(grant, checkpoint, reason)
        self._grants.release(*grant.key)
        return True

    def _release(self, grants: list[Grant]) -> None:
        for grant in grants:
            self._grants.release(*grant.key)

    def _prune_stopped(self, now: float) -> None:
        for attempt, stopped_at in list(self._stopped.items()):
            if now - stopped_at > STOPPED_ATTEMPT_RETENTION_SECONDS:
                del self._stopped[attempt]
