"""The placer: the one entry instance that places jobs, by a lease in the log."""

from typing import NamedTuple

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import StreamFollower, StreamWriter, new_record_id
from sequoiachute.coordination.placement import (
    Decision,
    Placement,
    PlacementView,
    Policy,
)
from sequoiachute.coordination.tasks import gather
from sequoiachute.protocol.messages import (
    COMMIT,
    RESERVE,
    STOP,
    Commit,
    GangMember,
    Reserve,
    Stop,
    TaskReport,
)
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet, Worker
from sequoiachute.state.jobs import QUEUED, RUNNING, Job, JobTable
from sequoiachute.state.leases import NO_CLAIM, LeaseTable
from sequoiachute.transport.ports import Caller

PLACER_LEASE = "placer"
ROUND_SECONDS = 0.1
HOLD_SECONDS = 4.0
CALL_SECONDS = 2.0


class PlacerState(NamedTuple):
    """The entry's state that placement reads."""

    configuration: Configuration
    jobs: JobTable
    fleet: Fleet
    leases: LeaseTable


class PlacerStreams(NamedTuple):
    """The streams that placement follows and writes."""

    jobs: StreamWriter
    leases: StreamWriter
    jobs_follower: StreamFollower
    leases_follower: StreamFollower


class Placer:
    """Places queued jobs while it holds the placer's lease.

    Parameters
    ----------
    entry_id, address : str
        Identity and RPC address of this entry.
    lease_seconds : float
        Length of the lease; it is renewed after a third of it.
    freshness_seconds : float
        Oldest view of the log, in seconds, that may still be acted upon.
    """

    def __init__(
        self,
        entry_id: str,
        address: str,
        lease_seconds: float,
        freshness_seconds: float,
        state: PlacerState,
        streams: PlacerStreams,
        caller: Caller,
        policy: Policy,
    ) -> None:
        self._entry_id = entry_id
        self._address = address
        self._lease_seconds = lease_seconds
        self._freshness_seconds = freshness_seconds
        self._state = state
        self._streams = streams
        self._caller = caller
        self._policy = policy
        self._held_until = float("-inf")
        self._term = NO_CLAIM
        self._starting: set[str] = set()
        self._reports: dict[tuple[str, int], dict[int, TaskReport]] = {}
        self._settling: set[str] = set()
        self._draining: set[str] = set()

    @property
    def holds_lease(self) -> bool:
        """Whether this entry may place now."""
        return clock.now() < self._held_until

    def run(self) -> None:
        """Claim the lease and place, for ever."""
        eventlet.spawn(self._keep_lease)
        while True:
            clock.sleep(ROUND_SECONDS)
            if not self._may_place():
                continue
            self._settle_reports()
            self._settle_cancellations()
            self._drain()
            self._apply(self._policy.decide(self._view()))

    def take_report(self, report: TaskReport) -> None:
        """Take the end of a member's task from an agent's announcement."""
        reports = self._reports.setdefault((report.job_id, report.attempt), {})
        reports[report.member] = report

    def is_settled(self, report: TaskReport) -> bool:
        """Return whether the log tells what became of the reported attempt."""
        job = self._state.jobs.get(report.job_id)
        if job is None:
            return False
        moved_on = job.attempt > report.attempt
        requeued = job.attempt == report.attempt and job.state == QUEUED
        return job.has_ended or moved_on or requeued

    def _keep_lease(self) -> None:
        while True:
            clock.sleep(self._lease_seconds / 3)
            lease = self._state.leases.get(PLACER_LEASE)
            if lease is not None and lease.holder != self._entry_id:
                silent = clock.now() - lease.seen_at
                if silent < lease.duration + HOLD_SECONDS / 2:
                    continue
            if self._streams.leases_follower.age() > self._freshness_seconds:
                continue
            self._claim(lease.offset if lease else NO_CLAIM)

    def _claim(self, base: int) -> None:
        asked_at = clock.now()
        record = {
            "kind": "lease-claimed",
            "record_id": new_record_id(),
            "name": PLACER_LEASE,
            "base": base,
            "holder": self._entry_id,
            "address": self._address,
            "duration": self._lease_seconds,
        }
        outcome = self._streams.leases.append(record)
        if outcome.is_err():
            return
        lease = self._state.leases.get(PLACER_LEASE)
        if lease is None or lease.offset != outcome.unwrap():
            return
        if not self.holds_lease:
            self._term = lease.offset
            logger.bind(term=self._term).info("placer lease taken")
        self._held_until = asked_at + self._lease_seconds

    def _may_place(self) -> bool:
        if not self.holds_lease:
            return False
        if self._streams.jobs_follower.age() > self._freshness_seconds:
            return False
        return self._state.configuration.age(clock.now()) <= self._freshness_seconds

    def _view(self) -> PlacementView:
        workers = []
        for worker in self._state.fleet.live(clock.now()):
            if worker.leaving:
                continue
            if not self._state.configuration.in_service(worker.data_centre):
                continue
            workers.append(worker)
        queued = []
        for job in self._state.jobs.with_state(QUEUED):
            if job.job_id in self._starting or job.cancel_asked:
                continue
            queued.append(job)
        running = self._state.jobs.with_state(RUNNING)
        return PlacementView(
            tuple(workers),
            tuple(queued),
            tuple(running),
            self._state.configuration.catalogue,
            clock.wall_time(),
        )

    def _apply(self, decision: Decision) -> None:
        for placement in decision.placements:
            self._starting.add(placement.job_id)
            eventlet.spawn(self._start, placement)
        for job in decision.unplaceable:
            self._settle_once(job.job_id, "failed", job.reason, "")

    def _start(self, placement: Placement) -> None:
        try:
            job = self._state.jobs.get(placement.job_id)
            if job is not None:
                self._start_gang(job, placement)
        finally:
            self._starting.discard(placement.job_id)

    def _start_gang(self, job: Job, placement: Placement) -> None:
        attempt = job.attempt + 1
        workers = []
        for member in placement.members:
            worker = self._state.fleet.get(member.worker_id)
            if worker is None:
                return
            workers.append(worker)
        calls = []
        for index, worker in enumerate(workers):
            message = Reserve(
                job_id=job.job_id,
                attempt=attempt,
                member=index,
                account=job.account,
                guaranteed=placement.guaranteed,
                accelerators=placement.members[index].accelerators,
                term=self._term,
                config_offset=self._state.configuration.offset,
                hold_seconds=HOLD_SECONDS,
            )
            calls.append(lambda w=worker, m=message: self._reserve(w, m))
        tokens = gather(calls)
        if not all(tokens) or not self._record_start(job, attempt, workers):
            self._stop(job.job_id, attempt, workers, False, "not every member is free")
            return
        self._commit(job, attempt, workers, tokens)

    def _reserve(self, worker: Worker, message: Reserve) -> int:
        outcome = self._caller.call(worker.address, RESERVE, message, CALL_SECONDS)
        if outcome.is_err():
            return 0
        reply = outcome.unwrap()
        if not reply.token:
            logger.bind(job=message.job_id, worker=worker.worker_id).info(
                "reservation refused: {}", reply.reason
            )
        return reply.token

    def _record_start(self, job: Job, attempt: int, workers: list[Worker]) -> bool:
        record = {
            "kind": "job-started",
            "record_id": new_record_id(),
            "job_id": job.job_id,
            "attempt": attempt,
            "started_at": clock.wall_time(),
            "workers": [worker.worker_id for worker in workers],
        }
        return self._streams.jobs.append(record).is_ok()

    def _commit(
        self, job: Job, attempt: int, workers: list[Worker], tokens: list[int]
    ) -> None:
        members = []
        for index, worker in enumerate(workers):
            members.append(
                GangMember(index, worker.worker_id, worker.address, tokens[index])
            )
        message = Commit(
            job_id=job.job_id,
            attempt=attempt,
            term=self._term,
            config_offset=self._state.configuration.offset,
            payload=job.spec["payload"],
            run_seconds=job.spec["run_seconds"],
            done_seconds=job.done_seconds,
            members=tuple(members),
        )
        if not self.holds_lease:
            return
        outcome = self._caller.call(workers[0].address, COMMIT, message, CALL_SECONDS)
        log = logger.bind(job=job.job_id, attempt=attempt)
        if outcome.is_ok() and outcome.unwrap().committed:
            log.info("gang started on {}", [worker.worker_id for worker in workers])
            return
        reason = str(outcome.unwrap_err()) if outcome.is_err() else outcome.unwrap()
        log.warning("gang not started: {}", reason)
        self._stop(job.job_id, attempt, workers, False, "the gang was not committed")
        self._requeue(job.job_id, attempt, "the gang was not committed", 0.0)

    def _stop(
        self,
        job_id: str,
        attempt: int,
        workers: list[Worker],
        checkpoint: bool,
        reason: str,
    ) -> None:
        message = Stop(job_id, attempt, checkpoint, reason)
        calls = []
        for address in sorted({worker.address for worker in workers}):
            calls.append(
                lambda a=address: self._caller.call(a, STOP, message, CALL_SECONDS)
            )
        gather(calls)

    def _settle_reports(self) -> None:
        for (job_id, attempt), reports in list(self._reports.items()):
            job = self._state.jobs.get(job_id)
            if job is None:
                continue
            if job.has_ended or job.attempt != attempt or job.state != RUNNING:
                del self._reports[(job_id, attempt)]
                continue
            states = {report.state for report in reports.values()}
            failures = [r for r in reports.values() if r.state == "failed"]
            if failures:
                self._settle_once(job_id, "failed", failures[0].reason, "")
                continue
            if len(reports) < len(job.workers):
                continue
            if states == {"finished"}:
                self._settle_once(job_id, "finished", "", reports[0].result)
                continue
            done = min(report.done_seconds for report in reports.values())
            outcome = reports[0].reason
            eventlet.spawn(self._requeue, job_id, attempt, outcome, done)

    def _settle_cancellations(self) -> None:
        for job in self._state.jobs.with_state(QUEUED):
            if job.cancel_asked and job.job_id not in self._starting:
                self._settle_once(job.job_id, "cancelled", "cancelled", "")
        for job in self._state.jobs.with_state(RUNNING):
            if job.cancel_asked:
                self._settle_once(job.job_id, "cancelled", "cancelled", "")

    def _drain(self) -> None:
        for job in self._state.jobs.with_state(RUNNING):
            workers = self._workers_of(job)
            if not self._lies_out_of_service(workers):
                continue
            if job.job_id in self._draining:
                continue
            self._draining.add(job.job_id)
            eventlet.spawn(self._drain_job, job, workers)

    def _drain_job(self, job: Job, workers: list[Worker]) -> None:
        reason = "the data centre is out of service"
        try:
            self._stop(job.job_id, job.attempt, workers, True, reason)
            clock.sleep(CALL_SECONDS)
        finally:
            self._draining.discard(job.job_id)

    def _lies_out_of_service(self, workers: list[Worker]) -> bool:
        for worker in workers:
            if not self._state.configuration.in_service(worker.data_centre):
                return True
        return False

    def _workers_of(self, job: Job) -> list[Worker]:
        workers = []
        for worker_id in job.workers:
            worker = self._state.fleet.get(worker_id)
            if worker is not None:
                workers.append(worker)
        return workers

    def _settle_once(self, job_id: str, outcome: str, reason: str, text: str) -> None:
        if job_id in self._settling:
            return
        self._settling.add(job_id)
        eventlet.spawn(self._settle, job_id, outcome, reason, text)

    def _settle(self, job_id: str, outcome: str, reason: str, text: str) -> None:
        try:
            job = self._state.jobs.get(job_id)
            if job is None or job.has_ended:
                return
            workers = self._workers_of(job)
            if outcome != "finished":
                self._stop(job_id, job.attempt, workers, False, reason)
            self._end(job_id, outcome, reason, text)
        finally:
            self._settling.discard(job_id)

    def _end(self, job_id: str, outcome: str, reason: str, text: str) -> None:
        self._streams.jobs.append(
            {
                "kind": "job-ended",
                "record_id": new_record_id(),
                "job_id": job_id,
                "outcome": outcome,
                "reason": reason,
                "result": text,
                "ended_at": clock.wall_time(),
            }
        )

    def _requeue(self, job_id: str, attempt: int, reason: str, done: float) -> None:
        self._streams.jobs.append(
            {
                "kind": "job-requeued",
                "record_id": new_record_id(),
                "job_id": job_id,
                "attempt": attempt,
                "reason": reason,
                "done_seconds": done,
            }
        )
