"""The agent beside a backend server: announces it and guards what starts there."""

from collections.abc import Callable, Mapping
from hashlib import sha256
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.tasks import gather
from sequoiachute.protocol.messages import (
    ANNOUNCE,
    COMMIT,
    CONFIGURATION,
    EXECUTE,
    RESERVE,
    START,
    STOP,
    Announcement,
    AnnouncementReply,
    Commit,
    CommitReply,
    ConfigurationRequest,
    Execute,
    ExecuteReply,
    GangMember,
    Method,
    Reserve,
    ReserveReply,
    Start,
    Stop,
    StopReply,
    TaskReport,
)
from sequoiachute.settings import AgentSettings
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.grants import STARTED, Grant, GrantTable
from sequoiachute.transport.ports import BackendServer, Caller

CALL_SECONDS = 2.0
TASK_POLL_SECONDS = 0.25


class Agent:
    """Grants, starts and stops work on one backend server.

    Parameters
    ----------
    settings : AgentSettings
    caller : Caller
        Reaches entry instances and other agents.
    backend : BackendServer
    """

    def __init__(
        self, settings: AgentSettings, caller: Caller, backend: BackendServer
    ) -> None:
        self._settings = settings
        self._caller = caller
        self._backend = backend
        self._incarnation = uuid4().hex
        self._configuration = Configuration()
        self._grants = GrantTable(settings.accelerators, settings.slots)
        self._reports: dict[tuple[str, int, int], TaskReport] = {}
        self._sequence = 0
        self._open_connections = 0
        self._leaving = False
        self._changed = Event()

    @property
    def configuration(self) -> Configuration:
        """The configuration as this agent knows it."""
        return self._configuration

    @property
    def grants(self) -> GrantTable:
        """What this agent has granted."""
        return self._grants

    @property
    def incarnation(self) -> str:
        """Identity of this run of the agent."""
        return self._incarnation

    def handlers(self) -> Mapping[Method, Callable[[Any], Any]]:
        """Return the methods that this agent serves."""
        return {
            RESERVE: self.reserve,
            COMMIT: self.commit,
            START: self.start,
            STOP: self.stop,
            EXECUTE: self.execute,
        }

    def run(self) -> None:
        """Announce the backend server to every entry, one task for each."""
        for address in self._settings.entries:
            eventlet.spawn(self._announce_to, address)

    def leave(self, timeout: float) -> bool:
        """Take no new work and wait for the rest; return whether all ended."""
        self._leaving = True
        self._notify()
        deadline = clock.now() + timeout
        while clock.now() < deadline:
            if self._open_connections == 0 and not self._grants.grants():
                return True
            clock.sleep(TASK_POLL_SECONDS)
        return False

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
        refusal = self._refusal(self._configuration.offset)
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

    def execute(self, message: Execute) -> ExecuteReply:
        """Run a request on the backend server."""
        refusal = self._refusal_to_execute(message)
        if refusal:
            return _not_run(message, refusal)
        self._open_connections += 1
        began = clock.now()
        try:
            outcome = self._backend.execute(
                message.request_id,
                message.attempt_id,
                message.content_type,
                message.body,
                message.deadline,
            )
        finally:
            self._open_connections -= 1
        if outcome.is_err():
            error = outcome.unwrap_err()
            if not error.delivered:
                return _not_run(message, error.reason)
            return _not_run(message, error.reason)._replace(outcome="unknown")
        answer = outcome.unwrap()
        return ExecuteReply(
            request_id=message.request_id,
            attempt_id=message.attempt_id,
            outcome="answered",
            status=answer.status,
            content_type=answer.content_type,
            digest=sha256(answer.body).hexdigest(),
            length=len(answer.body),
            body=answer.body,
            service_seconds=clock.now() - began,
        )

    def announcement(self) -> Announcement:
        """Return what this agent tells the entries now."""
        self._sequence += 1
        self._grants.expire(clock.now())
        settings = self._settings
        return Announcement(
            worker_id=settings.worker_id,
            incarnation=self._incarnation,
            address=settings.rpc_address,
            region=settings.region,
            data_centre=settings.data_centre,
            rack=settings.rack,
            position=settings.position,
            accelerators=settings.accelerators,
            slots=settings.slots,
            connections=settings.connections,
            speed_class=settings.speed_class,
            speed=settings.speed,
            sequence=self._sequence,
            config_offset=self._configuration.offset,
            leaving=self._leaving,
            open_connections=self._open_connections,
            occupants=self._grants.occupants(),
            reports=tuple(self._reports.values()),
        )

    def _announce_to(self, address: str) -> None:
        while True:
            changed = self._changed
            sent_at = clock.now()
            outcome = self._caller.call(
                address, ANNOUNCE, self.announcement(), CALL_SECONDS
            )
            if outcome.is_ok():
                self._take_reply(address, outcome.unwrap(), sent_at)
            with eventlet.Timeout(self._settings.announce_seconds, False):
                changed.wait()

    def _take_reply(
        self, address: str, reply: AnnouncementReply, sent_at: float
    ) -> None:
        for key in reply.acknowledged:
            self._reports.pop(tuple(key), None)
        if reply.config_offset > self._configuration.offset:
            self._fetch_configuration(address)
            return
        if reply.config_offset == self._configuration.offset:
            self._configuration.confirm(sent_at - reply.confirmed_age)

    def _fetch_configuration(self, address: str) -> None:
        sent_at = clock.now()
        request = ConfigurationRequest(self._configuration.offset)
        outcome = self._caller.call(address, CONFIGURATION, request, CALL_SECONDS)
        if outcome.is_err():
            return
        reply = outcome.unwrap()
        if self._configuration.adopt(
            reply.offset, reply.catalogue, reply.out_of_service
        ):
            logger.bind(config_offset=reply.offset).info("configuration in force")
        if self._configuration.offset == reply.offset:
            self._configuration.confirm(sent_at - reply.confirmed_age)

    def _refusal(self, config_offset: int) -> str:
        """Return why nothing may start here now, empty if it may."""
        if self._leaving:
            return "the backend server is leaving"
        if self._configuration.offset < config_offset:
            return "the agent's configuration is older than the sender's"
        if self._configuration.age(clock.now()) > self._settings.freshness_seconds:
            return "the agent's configuration is not confirmed as the newest"
        if not self._configuration.in_service(self._settings.data_centre):
            return "the data centre is out of service"
        return ""

    def _refusal_to_execute(self, message: Execute) -> str:
        if message.incarnation != self._incarnation:
            return "the agent has been restarted"
        if self._leaving:
            return "the backend server is leaving"
        if not self._configuration.in_service(self._settings.data_centre):
            return "the data centre is out of service"
        if self._open_connections >= self._settings.connections:
            return "no free connection"
        return ""

    def _start_member(self, message: Commit, member: GangMember) -> str:
        start = Start(
            job_id=message.job_id,
            attempt=message.attempt,
            member=member.member,
            token=member.token,
            payload=message.payload,
            run_seconds=message.run_seconds,
            done_seconds=message.done_seconds,
            first_address=self._settings.rpc_address,
        )
        if member.worker_id == self._settings.worker_id:
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
            if address == self._settings.rpc_address:
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

    def _notify(self) -> None:
        changed = self._changed
        self._changed = Event()
        changed.send(None)


def _task_id(grant: Grant) -> str:
    return f"{grant.job_id}.{grant.attempt}.{grant.member}"


def _not_run(message: Execute, reason: str) -> ExecuteReply:
    return ExecuteReply(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        outcome="not-run",
        status=0,
        content_type="",
        digest="",
        length=0,
        body=b"",
        reason=reason,
    )
