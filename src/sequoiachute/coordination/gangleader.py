"""Coordinates a gang from its first member's agent: commit, supervision and stop."""

from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.bounds import GANG_LEASE_SECONDS
from sequoiachute.coordination.concurrency import gather
from sequoiachute.coordination.gangs import BROKEN, RUNNING, GangParticipant, JobAttempt
from sequoiachute.protocol.messages import (
    GANG_STOP,
    PREPARE,
    START,
    Commit,
    CommitReply,
    GangHeartbeat,
    GangHeartbeatReply,
    GangStop,
    Method,
    Prepare,
    ReservedMember,
    Start,
)
from sequoiachute.state.grants import GrantTable
from sequoiachute.transport.ports import RpcCaller

CALL_TIMEOUT_SECONDS = 2.0
PREPARED_HOLD_SECONDS = 6.0
SUPERVISION_INTERVAL_SECONDS = 0.5

PREPARING = "preparing"
COMMITTED = "committed"
STOPPED = "stopped"


class _MemberGroup(NamedTuple):
    """The members of a gang that share an agent."""

    address: str
    members: tuple[ReservedMember, ...]


class _LedGang:
    """State of a gang that this agent leads.

    ``heartbeat_at`` holds the clock time of the last heartbeat by agent
    address, ``finished`` the agents whose members have all finished.
    """

    def __init__(self, message: Commit, groups: list[_MemberGroup]) -> None:
        self.message = message
        self.groups = groups
        self.state = PREPARING
        self.reason = ""
        self.heartbeat_at: dict[str, float] = {}
        self.finished: set[str] = set()
        self.reply = Event()


class GangLeader:
    """Leads the gangs whose first member is on this worker.

    Coordinates a two-phase start: once every member is prepared, the commit is
    one write here. Members run only while this agent answers their heartbeats.

    Parameters
    ----------
    address : str
        RPC address of this agent.
    participant : GangParticipant
        Prepares, starts and stops the members on this worker.
    """

    def __init__(
        self,
        address: str,
        grants: GrantTable,
        participant: GangParticipant,
        caller: RpcCaller,
    ) -> None:
        self._address = address
        self._grants = grants
        self._participant = participant
        self._caller = caller
        self._gangs: dict[JobAttempt, _LedGang] = {}
        participant.set_stop_listener(self._on_local_stop)

    def commit(self, message: Commit) -> CommitReply:
        """Start every member of a gang, or none.

        A repeated commit returns the outcome of the first.
        """
        attempt = (message.job_id, message.attempt)
        existing = self._gangs.get(attempt)
        if existing is not None:
            if existing.message.members != message.members:
                reason = "another commit of the attempt names other members"
                return CommitReply(False, reason)
            return existing.reply.wait()
        if not self._grants.admit_term(message.term):
            reason = f"the placer's term {message.term} has been succeeded"
            return CommitReply(False, reason)
        gang = self._gangs[attempt] = _LedGang(message, _group_by_address(message))
        refusal = self._prepare_and_start(gang)
        reply = CommitReply(not refusal, refusal)
        if refusal:
            self._stop(gang, refusal)
            del self._gangs[attempt]
        else:
            eventlet.spawn(self._supervise, attempt, gang)
        gang.reply.send(reply)
        return reply

    def handle_heartbeat(self, message: GangHeartbeat) -> GangHeartbeatReply:
        """Record the heartbeat of an agent; return whether the gang goes on."""
        gang = self._gangs.get((message.job_id, message.attempt))
        if gang is None:
            return GangHeartbeatReply(False, "the gang's first member has ended it")
        if gang.state == STOPPED:
            return GangHeartbeatReply(False, gang.reason)
        gang.heartbeat_at[message.address] = clock.now()
        if message.state == BROKEN:
            reason = f"a member at {message.address} has ended"
            self._mark_stopped(gang, reason)
            return GangHeartbeatReply(False, reason)
        if message.state != RUNNING:
            gang.finished.add(message.address)
        return GangHeartbeatReply(True)

    def _prepare_and_start(self, gang: _LedGang) -> str:
        """Return why the gang did not start, empty if every member runs."""
        message = gang.message
        refusal = _first_refusal(
            gather([self._prepare_call(gang, group) for group in gang.groups])
        )
        if not refusal:
            refusal = self._participant.refusal(message.config_offset)
        if not refusal and gang.state == STOPPED:
            refusal = gang.reason
        if refusal:
            return refusal
        gang.state = COMMITTED
        now = clock.now()
        gang.heartbeat_at = {group.address: now for group in gang.groups}
        refusal = _first_refusal(
            gather([self._start_call(gang, group) for group in gang.groups])
        )
        if gang.state == STOPPED:
            return gang.reason
        return refusal

    def _prepare_call(self, gang: _LedGang, group: _MemberGroup) -> Callable[[], str]:
        message = Prepare(
            gang.message.job_id,
            gang.message.attempt,
            gang.message.config_offset,
            group.members,
            PREPARED_HOLD_SECONDS,
        )
        return lambda: self._request(
            group.address, PREPARE, message, self._participant.prepare
        )

    def _start_call(self, gang: _LedGang, group: _MemberGroup) -> Callable[[], str]:
        message = Start(
            gang.message.job_id,
            gang.message.attempt,
            gang.message.config_offset,
            group.members,
            gang.message.payload,
            gang.message.run_seconds,
            gang.message.done_seconds,
            self._address,
        )
        return lambda: self._request(
            group.address, START, message, self._participant.start
        )

    def _request(
        self,
        address: str,
        method: Method,
        message: Any,
        local: Callable[[Any], CommitReply],
    ) -> str:
        """Return why ``address`` refuses, empty if it agrees."""
        if address == self._address:
            reply = local(message)
            return "" if reply.committed else reply.reason
        outcome = self._caller.call(address, method, message, CALL_TIMEOUT_SECONDS)
        if outcome.is_err():
            return f"{address}: {outcome.unwrap_err().reason}"
        reply = outcome.unwrap()
        return "" if reply.committed else f"{address}: {reply.reason}"

    def _supervise(self, attempt: JobAttempt, gang: _LedGang) -> None:
        while True:
            clock.sleep(SUPERVISION_INTERVAL_SECONDS)
            self._check_members(attempt, gang)
            if gang.state == STOPPED:
                self._stop(gang, gang.reason)
                break
            if len(gang.finished) == len(gang.groups):
                break
        del self._gangs[attempt]

    def _check_members(self, attempt: JobAttempt, gang: _LedGang) -> None:
        now = clock.now()
        local_state = self._participant.state_of(attempt)
        if local_state == BROKEN:
            self._mark_stopped(gang, "the first member has ended")
        elif local_state != RUNNING:
            gang.finished.add(self._address)
        for group in gang.groups:
            if group.address == self._address or group.address in gang.finished:
                continue
            if now - gang.heartbeat_at[group.address] > GANG_LEASE_SECONDS:
                self._mark_stopped(gang, f"no heartbeat from {group.address}")

    def _stop(self, gang: _LedGang, reason: str) -> None:
        self._mark_stopped(gang, reason)
        attempt = (gang.message.job_id, gang.message.attempt)
        message = GangStop(*attempt, reason)
        calls = [lambda: self._participant.stop_attempt(attempt, True, reason)]
        for group in gang.groups:
            if group.address == self._address:
                continue
            calls.append(
                lambda a=group.address: self._caller.call(
                    a, GANG_STOP, message, CALL_TIMEOUT_SECONDS
                )
            )
        gather(calls)

    def _on_local_stop(self, attempt: JobAttempt, reason: str) -> None:
        gang = self._gangs.get(attempt)
        if gang is not None:
            self._mark_stopped(gang, reason)

    def _mark_stopped(self, gang: _LedGang, reason: str) -> None:
        if gang.state == STOPPED:
            return
        gang.state = STOPPED
        gang.reason = reason
        log = logger.bind(job=gang.message.job_id, attempt=gang.message.attempt)
        log.warning("gang stopped: {}", reason)


def _group_by_address(message: Commit) -> list[_MemberGroup]:
    members: dict[str, list[ReservedMember]] = {}
    for member in message.members:
        reserved = ReservedMember(member.member, member.token)
        members.setdefault(member.address, []).append(reserved)
    groups = []
    for address, reserved in members.items():
        groups.append(_MemberGroup(address, tuple(reserved)))
    return groups


def _first_refusal(reasons: list[str]) -> str:
    for reason in reasons:
        if reason:
            return reason
    return ""
