"""An entry instance: follows the log, hears agents, routes and places."""

from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.causes import ObservedPolicy
from sequoiachute.coordination.log import StreamFollower, StreamWriter
from sequoiachute.coordination.placement import Policy
from sequoiachute.coordination.placer import Placer, PlacerState, PlacerStreams
from sequoiachute.coordination.router import Router
from sequoiachute.coordination.service_levels import ServiceLevelRecorder
from sequoiachute.protocol.messages import (
    ANNOUNCE,
    CONFIGURATION,
    SILENCE,
    Announcement,
    AnnouncementReply,
    ConfigurationReply,
    ConfigurationRequest,
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
)
from sequoiachute.settings import EntrySettings
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.intents import IntentTable
from sequoiachute.state.jobs import JobTable
from sequoiachute.state.leases import LeaseTable
from sequoiachute.state.service_levels import ServiceLevelTable
from sequoiachute.transport.ports import Caller, LogStream


class Entry:
    """State and tasks of one entry instance."""

    def __init__(
        self,
        settings: EntrySettings,
        log: LogStream,
        caller: Caller,
        policy: Policy,
    ) -> None:
        self.settings = settings
        self.configuration = Configuration()
        self.jobs = JobTable()
        self.intents = IntentTable()
        self.leases = LeaseTable()
        self.service_levels = ServiceLevelTable()
        self.fleet = Fleet(settings.worker_silent_seconds)
        self._followers = {
            CONFIGURATION_STREAM: StreamFollower(
                log,
                CONFIGURATION_STREAM,
                self._apply_configuration,
                self.configuration.confirm,
            ),
            JOBS_STREAM: StreamFollower(log, JOBS_STREAM, self._apply_job),
            INTENTS_STREAM: StreamFollower(log, INTENTS_STREAM, self._apply_intent),
            LEASES_STREAM: StreamFollower(log, LEASES_STREAM, self._apply_lease),
            SERVICE_LEVELS_STREAM: StreamFollower(
                log, SERVICE_LEVELS_STREAM, self._apply_service_level
            ),
        }
        self._writers = {}
        for stream, follower in self._followers.items():
            self._writers[stream] = StreamWriter(log, stream, follower)
        self.router = Router(
            self.fleet,
            self.configuration,
            self.intents,
            self._writers[INTENTS_STREAM],
            caller,
        )
        observed = ObservedPolicy(policy, self.configuration)
        self.placer = Placer(
            settings.entry_id,
            settings.rpc_address,
            settings.placer_lease_seconds,
            settings.freshness_seconds,
            PlacerState(self.configuration, self.jobs, self.fleet, self.leases),
            PlacerStreams(
                self._writers[JOBS_STREAM],
                self._writers[LEASES_STREAM],
                self._followers[JOBS_STREAM],
                self._followers[LEASES_STREAM],
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
            self._writers[SERVICE_LEVELS_STREAM],
            lambda: self.placer.holds_lease,
        )
        self._started_at = clock.now()
        self._leaving = False
        self._open_requests = 0

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests here."""
        if self._leaving:
            return False
        for follower in self._followers.values():
            if follower.confirmed_at == float("-inf"):
                return False
        return True

    def handlers(self) -> Mapping[Method, Callable[[Any], Any]]:
        """Return the methods that this entry serves to agents."""
        return {
            ANNOUNCE: self.announce,
            CONFIGURATION: self.tell_configuration,
            SILENCE: self.tell_silence,
        }

    def run(self) -> None:
        """Start following the log and placing."""
        for follower in self._followers.values():
            eventlet.spawn(follower.run)
        for writer in self._writers.values():
            eventlet.spawn(writer.run)
        eventlet.spawn(self.placer.run)
        eventlet.spawn(self.recorder.run)

    def writer(self, stream: str) -> StreamWriter:
        """Return the writer of ``stream``."""
        return self._writers[stream]

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
        deadline = clock.now() + timeout
        while clock.now() < deadline:
            if self._open_requests == 0:
                self.recorder.flush()
                return True
            clock.sleep(0.05)
        return False

    def announce(self, message: Announcement) -> AnnouncementReply:
        """Take an agent's announcement."""
        self.fleet.announce(message, clock.now())
        acknowledged = []
        for report in message.reports:
            self.placer.take_report(report)
            if self.placer.is_settled(report):
                acknowledged.append((report.job_id, report.attempt, report.member))
        return AnnouncementReply(
            entry_id=self.settings.entry_id,
            config_offset=self.configuration.offset,
            confirmed_age=self._confirmed_age(),
            entries=(),
            acknowledged=tuple(acknowledged),
            term=self.placer.known_term,
        )

    def tell_configuration(self, message: ConfigurationRequest) -> ConfigurationReply:
        """Return the configuration in force."""
        return ConfigurationReply(
            offset=self.configuration.offset,
            confirmed_age=self._confirmed_age(),
            catalogue=self.configuration.catalogue,
            out_of_service=tuple(sorted(self.configuration.out_of_service)),
        )

    def tell_silence(self, message: Silence) -> SilenceReply:
        """Return for how long this entry has not heard an agent."""
        now = clock.now()
        worker = self.fleet.get(message.worker_id)
        if worker is None:
            return SilenceReply(now - self._started_at)
        return SilenceReply(now - worker.heard_at)

    def _confirmed_age(self) -> float:
        return min(self.configuration.age(clock.now()), 1e9)

    def _apply_configuration(self, offset: int, record: Any) -> None:
        if self.configuration.apply(offset, record):
            logger.bind(config_offset=offset).info("configuration in force")

    def _apply_job(self, offset: int, record: Any) -> None:
        if not self.jobs.apply(record):
            return
        job = self.jobs.get(record["job_id"])
        if record["kind"] == "job-started":
            self.recorder.note_start(job)
        elif record["kind"] == "job-ended":
            self.recorder.note_end(offset, job)

    def _apply_service_level(self, offset: int, record: Any) -> None:
        self.service_levels.apply(offset, record)

    def _apply_intent(self, offset: int, record: Any) -> None:
        self.intents.apply(record)

    def _apply_lease(self, offset: int, record: Any) -> None:
        self.leases.apply(offset, record, clock.now())
