"""The first member of a gang: commits it and stops it when a member is lost."""

from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.bounds import GANG_LEASE_SECONDS
from sequoiachute.coordination.gangs import BROKEN, RUNNING, Attempt, GangKeeper
from sequoiachute.coordination.tasks import gather
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

CALL_SECONDS = 2.0
HOLD_SECONDS = 6.0
SUPERVISE_SECONDS = 0.5

PREPARING = "preparing"
COMMITTED = "committed"
STOPPED = "stopped"


class _Share(NamedTuple):
    """The members of a gang at one agent."""

    address: str
    members: tuple[ReservedMember, ...]


class _Gang:
    """A gang that this agent leads."""

    def __init__(self, message: Commit, shares: list[_Share]) -> None:
        self.message = message
        self.shares = shares
        self.state = PREPARING
        self.reason = ""
        self.heard_at: dict[str, float] = {}
        self.done: set[str] = set()
        self.reply = Event()


class GangLeader:
    """Leads the gangs whose first member is on this worker.

    The commit is one write here, after every member has said that it would
    start. Members run only while this agent answers their heartbeats.
    """

    def __init__(
        self, address: str, grants: GrantTable, keeper: GangKeeper, caller: RpcCaller
    ) -> None:
        self._address = address
        self._grants = grants
        self._keeper = keeper
        self._caller = caller
        self._gangs: dict[Attempt, _Gang] = {}
        keeper.when_stopped(self._note_stop)

    def commit(self, message: Commit) -> CommitReply:
        """Start a whole gang, or nothing of it.

        A repeated commit returns the outcome of the first.
        """
        attempt = (message.job_id, message.attempt)
        known = self._gangs.get(attempt)
        if known is not None:
            if known.message.members != message.members:
                return CommitReply(False, "another start of the attempt is known")
            return known.reply.wait()
        if not self._grants.admit_term(message.term):
            return CommitReply(False, "the placer's term has been succeeded")
        gang = self._gangs[attempt] = _Gang(message, _shares(message))
        refusal = self._start(gang)
        reply = CommitReply(not refusal, refusal)
        if refusal:
            self._stop(gang, refusal)
            del self._gangs[attempt]
        else:
            eventlet.spawn(self._supervise, attempt, gang)
        gang.reply.send(reply)
        return reply

    def hear(self, message: GangHeartbeat) -> GangHeartbeatReply:
        """Take a member's heartbeat; say whether the gang goes on."""
        gang = self._gangs.get((message.job_id, message.attempt))
        if gang is None:
            return GangHeartbeatReply(False, "the gang's first member has ended it")
        if gang.state == STOPPED:
            return GangHeartbeatReply(False, gang.reason)
        gang.heard_at[message.address] = clock.now()
        if message.state == BROKEN:
            reason = f"a member at {message.address} has ended"
            self._mark_stopped(gang, reason)
            return GangHeartbeatReply(False, reason)
        if message.state != RUNNING:
            gang.done.add(message.address)
        return GangHeartbeatReply(True)

    def _start(self, gang: _Gang) -> str:
        """Return why the gang did not start, empty if it runs whole."""
        message = gang.message
        refusal = _first(gather([self._prepare_call(gang, s) for s in gang.shares]))
        if not refusal:
            refusal = self._keeper.refusal(message.config_offset)
        if not refusal and gang.state == STOPPED:
            refusal = gang.reason
        if refusal:
            return refusal
        gang.state = COMMITTED
        now = clock.now()
        gang.heard_at = {share.address: now for share in gang.shares}
        refusal = _first(gather([self._start_call(gang, s) for s in gang.shares]))
        if gang.state == STOPPED:
            return gang.reason
        return refusal

    def _prepare_call(self, gang: _Gang, share: _Share) -> Callable[[], str]:
        message = Prepare(
            gang.message.job_id,
            gang.message.attempt,
            gang.message.config_offset,
            share.members,
            HOLD_SECONDS,
        )
        return lambda: self._ask(share.address, PREPARE, message, self._keeper.prepare)

    def _start_call(self, gang: _Gang, share: _Share) -> Callable[[], str]:
        message = Start(
            gang.message.job_id,
            gang.message.attempt,
            gang.message.config_offset,
            share.members,
            gang.message.payload,
            gang.message.run_seconds,
            gang.message.done_seconds,
            self._address,
        )
        return lambda: self._ask(share.address, START, message, self._keeper.start)

    def _ask(
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
        outcome = self._caller.call(address, method, message, CALL_SECONDS)
        if outcome.is_err():
            return f"{address}: {outcome.unwrap_err().reason}"
        reply = outcome.unwrap()
        return "" if reply.committed else f"{address}: {reply.reason}"

    def _supervise(self, attempt: Attempt, gang: _Gang) -> None:
        while True:
            clock.sleep(SUPERVISE_SECONDS)
            self._check(attempt, gang)
            if gang.state == STOPPED:
                self._stop(gang, gang.reason)
                break
            if len(gang.done) == len(gang.shares):
                break
        del self._gangs[attempt]

    def _check(self, attempt: Attempt, gang: _Gang) -> None:
        now = clock.now()
        own = self._keeper.state_of(attempt)
        if own == BROKEN:
            self._mark_stopped(gang, "the first member has ended")
        elif own != RUNNING:
            gang.done.add(self._address)
        for share in gang.shares:
            if share.address == self._address or share.address in gang.done:
                continue
            if now - gang.heard_at[share.address] > GANG_LEASE_SECONDS:
                self._mark_stopped(gang, f"lost contact with {share.address}")

    def _stop(self, gang: _Gang, reason: str) -> None:
        self._mark_stopped(gang, reason)
        attempt = (gang.message.job_id, gang.message.attempt)
        message = GangStop(*attempt, reason)
        calls = [lambda: self._keeper.stop_attempt(attempt, True, reason)]
        for share in gang.shares:
            if share.address == self._address:
                continue
            calls.append(
                lambda a=share.address: self._caller.call(
                    a, GANG_STOP, message, CALL_SECONDS
                )
            )
        gather(calls)

    def _note_stop(self, attempt: Attempt, reason: str) -> None:
        gang = self._gangs.get(attempt)
        if gang is not None:
            self._mark_stopped(gang, reason)

    def _mark_stopped(self, gang: _Gang, reason: str) -> None:
        if gang.state == STOPPED:
            return
        gang.state = STOPPED
        gang.reason = reason
        log = logger.bind(job=gang.message.job_id, attempt=gang.message.attempt)
        log.warning("gang stopped: {}", reason)


def _shares(message: Commit) -> list[_Share]:
    members: dict[str, list[ReservedMember]] = {}
    for member in message.members:
        reserved = ReservedMember(member.member, member.token)
        members.setdefault(member.address, []).append(reserved)
    shares = []
    for address, reserved in members.items():
        shares.append(_Share(address, tuple(reserved)))
    return shares


def _first(reasons: list[str]) -> str:
    for reason in reasons:
        if reason:
            return reason
    return ""
