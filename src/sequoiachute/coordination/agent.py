"""Announces a backend server to the entries and guards what starts on it."""

from collections.abc import Callable, Mapping
from typing import Any
from uuid import uuid4

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.announcer import Announcer
from sequoiachute.coordination.bounds import ENTRY_CONTACT_TIMEOUT_SECONDS
from sequoiachute.coordination.executor import Executor
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.coordination.gangleader import GangLeader
from sequoiachute.coordination.gangs import GangParticipant
from sequoiachute.coordination.loop import spawn_loop
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

LEAVE_POLL_INTERVAL_SECONDS = 0.25
CONTACT_CHECK_INTERVAL_SECONDS = 0.5
# Fencing tokens start at the wall time multiplied by this, so that those of a
# later agent are above those of an earlier one.
TOKENS_PER_SECOND = 1000
ANSWER_FLUSH_SECONDS = 0.5  # lets the last answers reach their callers


class Agent:
    """Wires the components of an agent together and announces its worker.

    Parameters
    ----------
    settings : AgentSettings
    caller : RpcCaller
        Calls entry instances and other agents.
    backend : BackendServer
        Runs the requests and tasks.
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
            self._handle_reply,
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
        self._runner = TaskRunner(self._grants, backend, self._announcer.announce_now)
        self._gangs = GangParticipant(
            settings.rpc_address, self._grants, self._view, caller, self._runner
        )
        self._gang_leader = GangLeader(
            settings.rpc_address, self._grants, self._gangs, caller
        )
        self._entry_contact_at = clock.now()

    @property
    def configuration(self) -> Configuration:
        """The newest configuration that this agent has read."""
        return self._view.configuration

    @property
    def grants(self) -> GrantTable:
        """Accelerators and slots that this agent has granted."""
        return self._grants

    @property
    def incarnation(self) -> str:
        """Identity of this agent process."""
        return self._incarnation

    def handlers(self) -> Mapping[Method, Callable[[Any], Any]]:
        """Return the handlers of the RPC methods that this agent serves."""
        return {
            RESERVE: self._gangs.reserve,
            COMMIT: self._gang_leader.commit,
            PREPARE: self._gangs.prepare,
            START: self._gangs.start,
            STOP: self._gangs.stop,
            GANG_HEARTBEAT: self._gang_leader.handle_heartbeat,
            GANG_STOP: self._gangs.stop_gang,
            EXECUTE: self._executor.execute,
            ATTEMPT: self._executor.attempt_outcome,
        }

    def run(self) -> None:
        """Start announcing the backend server and monitoring contact to entries."""
        self._announcer.run()
        spawn_loop("contact to entries", self._stop_tasks_without_contact)

    def leave(self, timeout: float) -> bool:
        """Refuse new work and wait for the work in progress.

        Parameters
        ----------
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether all work ended in time.
        """
        self._refuse_new_work()
        deadline = clock.now() + timeout
        while clock.now() < deadline:
            if self._executor.open_connections == 0 and self._gangs.is_idle:
                clock.sleep(ANSWER_FLUSH_SECONDS)
                return True
            clock.sleep(LEAVE_POLL_INTERVAL_SECONDS)
        return False

    def build_announcement(self) -> Announcement:
        """Return the next announcement, after dropping expired reservations."""
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
            entry_count=max(1, len(self._announcer.addresses)),
            entry_addresses=self._announcer.addresses,
            started_at=self._started_at,
        )

    def _handle_reply(
        self, address: str, reply: AnnouncementReply, sent_at: float
    ) -> None:
        if not reply.superseded:
            # An entry that knows a newer agent does not record contact with this one.
            self._entry_contact_at = max(self._entry_contact_at, sent_at)
        self._grants.admit_term(reply.term)
        self._runner.acknowledge(reply.acknowledged)
        offset = self.configuration.offset
        self._view.handle_reply(address, reply, sent_at)
        if self.configuration.offset > offset:
            self._announcer.announce_now()
        if reply.superseded and not self._leaving:
            logger.error(
                "another agent runs as {}; stop this one or give it a name",
                self._settings.worker_id,
            )
            self._refuse_new_work()

    def _refuse_new_work(self) -> None:
        self._leaving = True
        self._executor.leave()
        self._gangs.leave()
        self._announcer.announce_now()

    def _stop_tasks_without_contact(self) -> None:
        """Stop every task while no entry answers within the contact timeout."""
        while True:
            clock.sleep(CONTACT_CHECK_INTERVAL_SECONDS)
            if clock.now() - self._entry_contact_at > ENTRY_CONTACT_TIMEOUT_SECONDS:
                self._gangs.stop_all("no entry instance answers the agent")
