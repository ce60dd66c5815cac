"""An entry instance: state from the log, agents' messages, routing and placement."""

from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.causes import WaitRecordingPolicy
from sequoiachute.coordination.configuration_sync import (
    build_configuration_reply,
    finite_confirmation_age,
)
from sequoiachute.coordination.follower import (
    IDLE_POLL_SECONDS,
    LOCAL_VIEW_POLL_SECONDS,
)
from sequoiachute.coordination.log import StreamWriter
from sequoiachute.coordination.loop import spawn_loop
from sequoiachute.coordination.membership import EntryDirectory, PeerConfirmer
from sequoiachute.coordination.placement import PlacementPolicy
from sequoiachute.coordination.placer import JobPlacer, PlacerState, PlacerStreams
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
    SilenceReply,
    SilenceRequest,
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

RESPONSE_FLUSH_SECONDS = 0.5
# Request outcomes not in the log by then can still be asked of the agents.
PENDING_RECORDS_WAIT_SECONDS = 5.0


class Entry:
    """State and background threads of one entry instance."""

    def __init__(
        self,
        settings: EntrySettings,
        log: LogClient,
        caller: RpcCaller,
        policy: PlacementPolicy,
    ) -> None:
        self.settings = settings
        self.configuration = Configuration()
        self.jobs = JobTable()
        # Keys are checked for less time than the log keeps their intents.
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
        self._peer_confirmer = PeerConfirmer(
            self.configuration, self.directory.peers, caller
        )
        self.router = Router(
            self.fleet,
            self.configuration,
            self.intents,
            self._streams.writer(INTENTS_STREAM),
            caller,
        )
        recording_policy = WaitRecordingPolicy(policy, self.configuration)
        self.placer = JobPlacer(
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
            recording_policy,
        )
        self.recorder = ServiceLevelRecorder(
            settings.entry_id,
            settings.service_level_seconds,
            self.service_levels,
            self.configuration,
            recording_policy,
            self._streams.writer(SERVICE_LEVELS_STREAM),
            lambda: self.placer.holds_lease,
        )
        self._started_at = clock.now()
        self._unready = False
        self._leaving = False
        self._open_requests = 0

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this entry."""
        if self._unready or self._leaving:
            return False
        return self._streams.is_caught_up

    def handlers(self) -> Mapping[Method, Callable[[Any], Any]]:
        """Return the handlers of the RPC methods that this entry serves."""
        return {
            ANNOUNCE: self.handle_announcement,
            KEEP_ALIVE: self.handle_keep_alive,
            CONFIGURATION: self.handle_configuration_request,
            SILENCE: self.handle_silence_request,
        }

    def run(self) -> None:
        """Start following the log, placing jobs and recording service levels."""
        self._streams.run()
        spawn_loop("membership", self.directory.run)
        spawn_loop("confirmation by peers", self._peer_confirmer.run)
        self.placer.run()
        spawn_loop("service levels", self.recorder.run)

    def writer(self, stream: str) -> StreamWriter:
        """Return the writer of ``stream``."""
        return self._streams.writer(stream)

    def mark_unready(self) -> None:
        """Make ``is_ready`` false; requests that still arrive are served."""
        self._unready = True

    def begin_request(self) -> bool:
        """Count a request as open; return false if the entry takes none any more."""
        if self._leaving:
            return False
        self._open_requests += 1
        return True

    def end_request(self) -> None:
        """Count a request as ended."""
        self._open_requests -= 1

    def leave(self, timeout: float) -> bool:
        """Take no new requests and wait for those in progress.

        Parameters
        ----------
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether every request ended in time.
        """
        self._leaving = True
        self.directory.leave()
        started_at = clock.now()
        deadline = started_at + timeout
        while self._open_requests or self._must_await_records(started_at):
            if clock.now() >= deadline:
                return False
            clock.sleep(0.05)
        self.recorder.flush()
        # The last responses may still be in transmission.
        clock.sleep(RESPONSE_FLUSH_SECONDS)
        return True

    def handle_announcement(self, message: Announcement) -> AnnouncementReply:
        """Update an agent's worker and pass its run reports to the placer."""
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

    def handle_keep_alive(self, message: KeepAlive) -> AnnouncementReply:
        """Update an agent's worker, or ask for the full announcement if missing."""
        is_known = self.fleet.keep_alive(message, clock.now())
        if is_known:
            self.router.backend_pool.update_open_connections(
                message.worker_id, message.open_connections
            )
        return self._reply_to(message)._replace(full_requested=not is_known)

    def _reply_to(self, message: Announcement | KeepAlive) -> AnnouncementReply:
        return AnnouncementReply(
            entry_id=self.settings.entry_id,
            config_offset=self.configuration.offset,
            confirmation_age=finite_confirmation_age(self.configuration),
            entries=self.directory.addresses(),
            acknowledged=(),
            term=self.placer.known_term,
            superseded=self.fleet.is_superseded(message.worker_id, message.incarnation),
        )

    def handle_configuration_request(
        self, message: ConfigurationRequest
    ) -> ConfigurationReply:
        """Return the configuration in force."""
        return build_configuration_reply(self.configuration, message)

    def handle_silence_request(self, message: SilenceRequest) -> SilenceReply:
        """Return how long ago this entry last received a message of an agent.

        An agent that is not known counts as silent since this entry started.
        """
        now = clock.now()
        worker = self.fleet.get(message.worker_id)
        if worker is None:
            return SilenceReply(now - self._started_at)
        return SilenceReply(now - worker.last_contact_at)

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
            poll_seconds=LOCAL_VIEW_POLL_SECONDS,
        )
        self._streams.add(
            INTENTS_STREAM,
            self._apply_intent,
            self.intents.snapshot,
            self.intents.restore,
            poll_seconds=IDLE_POLL_SECONDS,
        )
        self._streams.add(
            LEASES_STREAM,
            self._apply_lease,
            self.leases.snapshot,
            lambda items: self.leases.restore(items, clock.now()),
            poll_seconds=LOCAL_VIEW_POLL_SECONDS,
        )
        self._streams.add(
            SERVICE_LEVELS_STREAM,
            self._apply_service_level,
            self.service_levels.snapshot,
            self.service_levels.restore,
            poll_seconds=IDLE_POLL_SECONDS,
        )

    def _must_await_records(self, started_at: float) -> bool:
        """Return whether to wait on for request outcomes not in the log yet."""
        if not self.router.pending_records:
            return False
        return clock.now() - started_at < PENDING_RECORDS_WAIT_SECONDS

    def _apply_configuration(self, position: Position, record: Any) -> None:
        if self.configuration.apply(position.offset, record):
            log = logger.bind(config_offset=position.offset)
            log.info("configuration in force")

    def _apply_job(self, position: Position, record: Any) -> None:
        if not self.jobs.apply(record, position.appended_at):
            return
        job = self.jobs.get(record["job_id"])
        if record["kind"] == "job-started":
            self.recorder.count_start(job)
        elif record["kind"] == "job-ended":
            self.recorder.enqueue_end(position.offset, job)
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
