"""The agent beside a backend server: announces it and guards what starts there."""

from collections.abc import Callable, Mapping
from typing import Any
from uuid import uuid4

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.announcer import Announcer
from sequoiachute.coordination.bounds import CONTACT_SECONDS
from sequoiachute.coordination.executor import Executor
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.coordination.gangleader import GangLeader
from sequoiachute.coordination.gangs import GangKeeper
from sequoiachute.coordination.runner import TaskRunner
from sequoiachute.protocol.messages import (
    ATTEMPT,
    COMMIT,
    EXECUTE,
    GANG_HEARTBEAT,
    GANG_STOP,
    PREPARE,
    RESERVE,
    START,
    STOP,
    Announcement,
    AnnouncementReply,
    Method,
)
from sequoiachute.settings import AgentSettings
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.grants import GrantTable
from sequoiachute.transport.backend import request_connections
from sequoiachute.transport.ports import BackendServer, RpcCaller

LEAVE_POLL_SECONDS = 0.25
CONTACT_POLL_SECONDS = 0.5
TOKENS_PER_SECOND = 1000  # keeps the tokens of a later agent above an earlier one's
LEAVE_LINGER_SECONDS = 0.5


class Agent:
    """Joins the parts of an agent and announces them.

    Parameters
    ----------
    settings : AgentSettings
    caller : RpcCaller
        Reaches entry instances and other agents.
    backend : BackendServer
    """

    def __init__(
        self, settings: AgentSettings, caller: RpcCaller, backend: BackendServer
    ) -> None:
        self._settings = settings
        self._caller = caller
        self._incarnation = uuid4().hex
        self._view = ConfigurationView(
            caller, settings.data_centre, settings.freshness_seconds
        )
        self._started_at = clock.wall_time()
        self._sequence = 0
        self._leaving = False
        self._announcer = Announcer(
            settings.entries,
            settings.announce_seconds,
            caller,
            self.build_announcement,
            self._take_reply,
        )
        self._grants = GrantTable(
            settings.accelerators,
            settings.slots,
            int(clock.wall_time() * TOKENS_PER_SECOND),
        )
        self._executor = Executor(
            self._incarnation,
            request_connections(settings.connections),
            self._view,
            backend,
        )
        self._runner = TaskRunner(self._grants, backend, self._announcer.notify)
        self._gangs = GangKeeper(
            settings.rpc_address, self._grants, self._view, caller, self._runner
        )
        self._leader = GangLeader(
            settings.rpc_address, self._grants, self._gangs, caller
        )
        self._heard_at = clock.now()

    @property
    def configuration(self) -> Configuration:
        """The configuration as this agent knows it."""
        return self._view.configuration

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
            RESERVE: self._gangs.reserve,
            COMMIT: self._leader.commit,
            PREPARE: self._gangs.prepare,
            START: self._gangs.start,
            STOP: self._gangs.stop,
            GANG_HEARTBEAT: self._leader.hear,
            GANG_STOP: self._gangs.stop_gang,
            EXECUTE: self._executor.execute,
            ATTEMPT: self._executor.attempt_outcome,
        }

    def run(self) -> None:
        """Announce the backend server to every entry."""
        self._announcer.run()
        eventlet.spawn(self._keep_contact)

    def leave(self, timeout: float) -> bool:
        """Take no new work and wait for the rest; return whether all ended."""
        self._stop_taking_work()
        deadline = clock.now() + timeout
        while clock.now() < deadline:
            if self._executor.open_connections == 0 and self._gangs.is_idle:
                # The last answers are still on their way.
                clock.sleep(LEAVE_LINGER_SECONDS)
                return True
            clock.sleep(LEAVE_POLL_SECONDS)
        return False

    def build_announcement(self) -> Announcement:
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
            connections=request_connections(settings.connections),
            speed_class=settings.speed_class,
            speed=settings.speed,
            sequence=self._sequence,
            config_offset=self.configuration.offset,
            leaving=self._leaving,
            open_connections=self._executor.open_connections,
            occupants=self._grants.occupants(),
            reports=self._runner.reports,
            agent_clock=clock.now(),
            entries=max(1, len(self._announcer.addresses)),
            entry_addresses=self._announcer.addresses,
            started_at=self._started_at,
        )

    def _take_reply(
        self, address: str, reply: AnnouncementReply, sent_at: float
    ) -> None:
        if not reply.superseded:
            # An entry no longer counts this agent as heard.
            self._heard_at = max(self._heard_at, sent_at)
        self._grants.admit_term(reply.term)
        self._runner.acknowledge(reply.acknowledged)
        offset = self.configuration.offset
        self._view.take_reply(address, reply, sent_at)
        if self.configuration.offset > offset:
            self._announcer.notify()
        if reply.superseded and not self._leaving:
            logger.error(
                "another agent runs as {}; stop this one or give it a name",
                self._settings.worker_id,
            )
            self._stop_taking_work()

    def _stop_taking_work(self) -> None:
        self._leaving = True
        self._executor.leave()
        self._gangs.leave()
        self._announcer.notify()

    def _keep_contact(self) -> None:
        """Stop every task once no entry has answered for long."""
        while True:
            clock.sleep(CONTACT_POLL_SECONDS)
            if clock.now() - self._heard_at > CONTACT_SECONDS:
                self._gangs.stop_all("no entry instance answers the agent")
