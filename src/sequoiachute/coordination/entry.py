"""An entry instance: follows the log, hears agents, routes and places."""

from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.catchup import confirmed_age, tell_configuration
from sequoiachute.coordination.causes import WaitRecordingPolicy
from sequoiachute.coordination.follower import IDLE_WAIT_SECONDS, STATE_WAIT_SECONDS
from sequoiachute.coordination.log import StreamWriter
from sequoiachute.coordination.membership import EntryDirectory, PeerConfirmation
from sequoiachute.coordination.placement import Policy
from sequoiachute.coordination.placer import Placer, PlacerState, PlacerStreams
from sequoiachute.coordination.router import Router
from sequoiachute.coordination.service_levels import ServiceLevelRecorder
from sequoiachute.coordination.streams import StateStreams
from sequoiachute.protocol.messages import (
    ANNOUNCE,
    CONFIGURATION,
    KEEP_ALIVE,
    SILENCE,
    Announcement,
    AnnouncementReply,
    ConfigurationReply,
    ConfigurationRequest,
    KeepAlive,
    Method,
    Silence,
    SilenceReply,
)
from sequoiachute.protocol.records import (
    CONFIGURATION_STREAM,
    INTENTS_STREAM,
    JOBS_STREAM,
    LEASES_STREAM,
    SERVICE_LEVELS_STREAM,
    Position,
)
from sequoiachute.settings import EntrySettings
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.intents import KEY_SECONDS, IntentTable
from sequoiachute.state.jobs import Job, JobTable
from sequoiachute.state.leases import LeaseTable
from sequoiachute.state.run_times import RunTimes
from sequoiachute.state.service_levels import ServiceLevelTable
from sequoiachute.transport.ports import LogClient, RpcCaller

LEAVE_LINGER_SECONDS = 0.5
RECORD_WAIT_SECONDS = 5.0  # the agents know the ends, too


class Entry:
    """State and tasks of one entry instance."""

    def __init__(
        self,
        settings: EntrySettings,
        log: LogClient,
        caller: RpcCaller,
        policy: Policy,
    ) -> None:
        self.settings = settings
        self.configuration = Configuration()
        self.jobs = JobTable()
        # A key is checked for less time than the log keeps its intent.
        key_seconds = min(KEY_SECONDS, settings.log_retention_seconds / 2)
        self.intents = IntentTable(key_seconds)
        self.leases = LeaseTable()
        self.service_levels = ServiceLevelTable()
        self.run_times = RunTimes()
        self.fleet = Fleet(settings.worker_silent_seconds)
        self._streams = StateStreams(log, settings.log_retention_seconds)
        self._follow_streams()
        self.directory = EntryDirectory(
            settings,
            self.leases,
            self._streams.follower(LEASES_STREAM),
            self._streams.writer(LEASES_STREAM),
        )
        self._peer_confirmation = PeerConfirmation(
            self.configuration, self.directory.peers, caller
        )
        self.router = Router(
            self.fleet,
            self.configuration,
            self.intents,
            self._streams.writer(INTENTS_STREAM),
            caller,
        )
        observed = WaitRecordingPolicy(policy, self.configuration)
        self.placer = Placer(
            settings.entry_id,
            settings.rpc_address,
            settings.placer_lease_seconds,
            settings.freshness_seconds,
            PlacerState(
                self.configuration,
                self.jobs,
                self.fleet,
                self.leases,
                self.run_times,
            ),
            PlacerStreams(
                self._streams.writer(JOBS_STREAM),
                self._streams.writer(LEASES_STREAM),
                self._streams.follower(JOBS_STREAM),
                self._streams.follower(LEASES_STREAM),
            ),
            caller,
            observed,
        )
        self.recorder = ServiceLevelRecorder(
            settings.entry_id,
            settings.service_level_seconds,
            self.service_levels,
            self.configuration,
            observed,
            self._streams.writer(SERVICE_LEVELS_STREAM),
            lambda: self.placer.holds_lease,
        )
        self._started_at = clock.now()
        self._unready = False
        self._leaving = False
        self._open_requests = 0

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests here."""
        if self._unready or self._leaving:
            return False
        return self._streams.is_caught_up

    def handlers(self) -> Mapping[Method, Callable[[Any], Any]]:
        """Return the methods that this entry serves to agents."""
        return {
            ANNOUNCE: self.announce,
            KEEP_ALIVE: self.keep_alive,
            CONFIGURATION: self.tell_configuration,
            SILENCE: self.tell_silence,
        }

    def run(self) -> None:
        """Start following the log and placing."""
        self._streams.run()
        eventlet.spawn(self.directory.run)
        eventlet.spawn(self._peer_confirmation.run)
        eventlet.spawn(self.placer.run)
        eventlet.spawn(self.recorder.run)

    def writer(self, stream: str) -> StreamWriter:
        """Return the writer of ``stream``."""
        return self._streams.writer(stream)

    def begin_leaving(self) -> None:
        """Tell the balancer to send nothing more; requests are still served."""
        self._unready = True

    def begin_request(self) -> bool:
        """Count a caller's request in; return whether it may be served."""
        if self._leaving:
            return False
        self._open_requests += 1
        return True

    def end_request(self) -> None:
        """Count a caller's request out."""
        self._open_requests -= 1

    def leave(self, timeout: float) -> bool:
        """Take no new requests and wait for those in progress."""
        self._leaving = True
        self.directory.leave()
        began = clock.now()
        deadline = began + timeout
        while self._open_requests or self._records_wait(began):
            if clock.now() >= deadline:
                return False
            clock.sleep(0.05)
        self.recorder.flush()
        # The last answers are still on their way.
        clock.sleep(LEAVE_LINGER_SECONDS)
        return True

    def announce(self, message: Announcement) -> AnnouncementReply:
        """Take an agent's announcement."""
        if self.fleet.announce(message, clock.now()):
            self.router.backend_pool.update_open_connections(
                message.worker_id, message.open_connections
            )
        acknowledged = []
        for report in message.reports:
            self.placer.add_report(report)
            if self.placer.is_settled(report):
                acknowledged.append((report.job_id, report.attempt, report.member))
        return self._reply_to(message)._replace(acknowledged=tuple(acknowledged))

    def keep_alive(self, message: KeepAlive) -> AnnouncementReply:
        """Take an agent's word that little has changed."""
        known = self.fleet.keep_alive(message, clock.now())
        if known:
            self.router.backend_pool.update_open_connections(
                message.worker_id, message.open_connections
            )
        return self._reply_to(message)._replace(full_wanted=not known)

    def _reply_to(self, message: Announcement | KeepAlive) -> AnnouncementReply:
        return AnnouncementReply(
            entry_id=self.settings.entry_id,
            config_offset=self.configuration.offset,
            confirmed_age=confirmed_age(self.configuration),
            entries=self.directory.addresses(),
            acknowledged=(),
            term=self.placer.known_term,
            superseded=self.fleet.is_superseded(message.worker_id, message.incarnation),
        )

    def tell_configuration(self, message: ConfigurationRequest) -> ConfigurationReply:
        """Return the configuration in force."""
        return tell_configuration(self.configuration, message)

    def tell_silence(self, message: Silence) -> SilenceReply:
        """Return for how long this entry has not heard an agent."""
        now = clock.now()
        worker = self.fleet.get(message.worker_id)
        if worker is None:
            return SilenceReply(now - self._started_at)
        return SilenceReply(now - worker.heard_at)

    def _follow_streams(self) -> None:
        self._streams.add(
            CONFIGURATION_STREAM,
            self._apply_configuration,
            self.configuration.snapshot,
            self.configuration.restore,
            self.configuration.confirm,
        )
        self._streams.add(
            JOBS_STREAM,
            self._apply_job,
            self.jobs.snapshot,
            self.jobs.restore,
            wait=STATE_WAIT_SECONDS,
        )
        self._streams.add(
            INTENTS_STREAM,
            self._apply_intent,
            self.intents.snapshot,
            self.intents.restore,
            wait=IDLE_WAIT_SECONDS,
        )
        self._streams.add(
            LEASES_STREAM,
            self._apply_lease,
            self.leases.snapshot,
            lambda items: self.leases.restore(items, clock.now()),
            wait=STATE_WAIT_SECONDS,
        )
        self._streams.add(
            SERVICE_LEVELS_STREAM,
            self._apply_service_level,
            self.service_levels.snapshot,
            self.service_levels.restore,
            wait=IDLE_WAIT_SECONDS,
        )

    def _records_wait(self, began: float) -> bool:
        """Whether to wait for ends of requests that the log has not taken yet."""
        if not self.router.pending_records:
            return False
        return clock.now() - began < RECORD_WAIT_SECONDS

    def _apply_configuration(self, position: Position, record: Any) -> None:
        if self.configuration.apply(position.offset, record):
            log = logger.bind(config_offset=position.offset)
            log.info("configuration in force")

    def _apply_job(self, position: Position, record: Any) -> None:
        if not self.jobs.apply(record, position.appended_at):
            return
        job = self.jobs.get(record["job_id"])
        if record["kind"] == "job-started":
            self.recorder.note_start(job)
        elif record["kind"] == "job-ended":
            self.recorder.note_end(position.offset, job)
            self.run_times.observe(job, self._slowest_speed(job))

    def _slowest_speed(self, job: Job) -> float:
        speeds = []
        for worker_id in job.workers:
            worker = self.fleet.get(worker_id)
            if worker is not None:
                speeds.append(worker.speed)
        return min(speeds, default=1.0)

    def _apply_service_level(self, position: Position, record: Any) -> None:
        self.service_levels.apply(position.offset, record)

    def _apply_intent(self, position: Position, record: Any) -> None:
        self.intents.apply(record)

    def _apply_lease(self, position: Position, record: Any) -> None:
        at = position.appended_at
        self.leases.apply(position.offset, record, clock.now(), at)
