"""Gangs at an agent: reservations, starts and stops of its members."""

from collections.abc import Callable

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.bounds import (
    AGENT_STARTUP_HOLD_SECONDS,
    GANG_HEARTBEAT_SECONDS,
    GANG_LEASE_SECONDS,
)
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.coordination.runner import TaskRunner, Work
from sequoiachute.coordination.tasks import gather
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

HEARTBEAT_CALL_SECONDS = 1.0
STOPPED_KEPT_SECONDS = 60.0
STOP_RETRY_SECONDS = 0.5

RUNNING = "running"
FINISHED = "finished"
BROKEN = "broken"

Attempt = tuple[str, int]


class GangKeeper:
    """The sole authority over the worker's accelerators and slots.

    Parameters
    ----------
    address : str
        RPC address of the agent.
    grants : GrantTable
        What the agent has granted.
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
        self._holds_until = clock.now() + AGENT_STARTUP_HOLD_SECONDS
        self._stopped: dict[Attempt, float] = {}
        self._on_stop: Callable[[Attempt, str], None] | None = None
        self._leaving = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing is granted."""
        return not self._grants.grants()

    def when_stopped(self, call: Callable[[Attempt, str], None]) -> None:
        """Have ``call`` told of every attempt that is stopped here."""
        self._on_stop = call

    def leave(self) -> None:
        """Take no new tasks."""
        self._leaving = True

    def refusal(self, config_offset: int) -> str:
        """Return why no task may start here now, empty if it may."""
        if self._leaving:
            return "the backend server is leaving"
        if clock.now() < self._holds_until:
            return "tasks of an earlier agent may still run here"
        return self._view.refusal(config_offset)

    def reserve(self, message: Reserve) -> ReserveReply:
        """Hold accelerators for one member of a gang."""
        refusal = self.refusal(message.config_offset)
        if refusal:
            return ReserveReply(0, refusal)
        granted = self._grants.reserve(message, clock.now())
        if isinstance(granted, str):
            return ReserveReply(0, granted)
        self._stopped.pop((message.job_id, message.attempt), None)
        self._runner.forget(granted.key)
        return ReserveReply(granted.token)

    def prepare(self, message: Prepare) -> CommitReply:
        """Say whether the members here would start now, and hold them."""
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
        """Start the members here of a committed gang, all or none."""
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
                self._drop(started)
                return CommitReply(False, grant)
            started.append(grant)
        return self._run(message, started)

    def stop(self, message: Stop) -> StopReply:
        """Stop an attempt of a job here, as the placer asks."""
        if not self._grants.admit_term(message.term):
            return StopReply(False, "the placer's term has been succeeded")
        attempt = (message.job_id, message.attempt)
        return self.stop_attempt(attempt, message.checkpoint, message.reason)

    def stop_gang(self, message: GangStop) -> StopReply:
        """Stop an attempt of a job here, as the gang's first member asks."""
        return self.stop_attempt(
            (message.job_id, message.attempt), True, message.reason
        )

    def stop_attempt(
        self, attempt: Attempt, checkpoint: bool, reason: str
    ) -> StopReply:
        """Stop the tasks of ``attempt`` and drop its reservations."""
        now = clock.now()
        self._forget_stopped(now)
        self._stopped[attempt] = now
        if self._on_stop is not None:
            self._on_stop(attempt, reason)
        calls = []
        for grant in self._grants.of_attempt(*attempt):
            calls.append(lambda g=grant: self._stop_grant(g, checkpoint, reason))
        gather(calls)
        ended = not self._grants.of_attempt(*attempt)
        if clock.now() < self._holds_until:
            return StopReply(False, "tasks of an earlier agent may still run here")
        return StopReply(ended, "", self._runner.reports_of(*attempt))

    def stop_all(self, reason: str) -> None:
        """Stop every task after a checkpoint."""
        attempts = {(g.job_id, g.attempt) for g in self._grants.grants()}
        calls = []
        for attempt in sorted(attempts):
            calls.append(lambda a=attempt: self.stop_attempt(a, True, reason))
        gather(calls)

    def state_of(self, attempt: Attempt) -> str:
        """Return ``running``, ``finished`` or ``broken`` for the members here."""
        for report in self._runner.reports_of(*attempt):
            if report.state != FINISHED:
                return BROKEN
        if attempt in self._stopped:
            return BROKEN
        if self._grants.of_attempt(*attempt):
            return RUNNING
        return FINISHED

    def _run(self, message: Start, grants: list[Grant]) -> CommitReply:
        attempt = (message.job_id, message.attempt)
        work = Work(message.payload, message.run_seconds, message.done_seconds)
        calls = []
        for grant in grants:
            calls.append(lambda g=grant: self._runner.start(g, work))
        refusals = [reason for reason in gather(calls) if reason]
        if attempt in self._stopped:
            refusals.append("the attempt has been stopped")
        # The calls may have waited long: nothing may go on that was started
        # on a view which has changed or lapsed since.
        refusal = self.refusal(message.config_offset)
        if refusal:
            refusals.append(refusal)
        if refusals:
            self.stop_attempt(attempt, True, refusals[0])
            return CommitReply(False, refusals[0])
        if message.first_address != self._address:
            eventlet.spawn(self._follow, attempt, message.first_address)
        return CommitReply(True)

    def _follow(self, attempt: Attempt, first_address: str) -> None:
        """Keep the members here running while the first member answers."""
        heard_at = clock.now()
        while True:
            clock.sleep(GANG_HEARTBEAT_SECONDS)
            state = self.state_of(attempt)
            message = GangHeartbeat(*attempt, self._address, state)
            sent_at = clock.now()
            outcome = self._caller.call(
                first_address, GANG_HEARTBEAT, message, HEARTBEAT_CALL_SECONDS
            )
            if outcome.is_ok() and outcome.unwrap().running:
                heard_at = sent_at
                if state != RUNNING:
                    return
                continue
            reason = "the gang's first member does not answer"
            if outcome.is_ok():
                reason = outcome.unwrap().reason
            elif clock.now() - heard_at < GANG_LEASE_SECONDS:
                continue
            self._stop_until_ended(attempt, reason)
            return

    def _stop_until_ended(self, attempt: Attempt, reason: str) -> None:
        while self._grants.of_attempt(*attempt):
            self.stop_attempt(attempt, True, reason)
            clock.sleep(STOP_RETRY_SECONDS)

    def _stop_grant(self, grant: Grant, checkpoint: bool, reason: str) -> bool:
        if grant.state == STARTED:
            return self._runner.stop(grant, checkpoint, reason)
        self._grants.release(*grant.key)
        return True

    def _drop(self, grants: list[Grant]) -> None:
        for grant in grants:
            self._grants.release(*grant.key)

    def _forget_stopped(self, now: float) -> None:
        for attempt, stopped_at in list(self._stopped.items()):
            if now - stopped_at > STOPPED_KEPT_SECONDS:
                del self._stopped[attempt]
