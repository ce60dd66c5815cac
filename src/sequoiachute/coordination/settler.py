"""Determines how attempts of jobs ended and records it in the log."""

from typing import NamedTuple

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.concurrency import gather
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placerlease import PlacerLease
from sequoiachute.coordination.placerstate import PlacerState, PlacerStreams
from sequoiachute.coordination.silence import AgentFailureDetector
from sequoiachute.protocol.messages import (
    STOP,
    Occupant,
    Stop,
    StopReply,
    TaskReport,
)
from sequoiachute.state.health import WorkerHealth
from sequoiachute.state.jobs import QUEUED, RUNNING, Job
from sequoiachute.transport.ports import RpcCaller

# A jobs table no older than this holds every job that an agent may report.
MAX_JOBS_VIEW_AGE_SECONDS = 3.0

STOP_TIMEOUT_SECONDS = 4.0  # includes the wait for a backend server's answer
SETTLE_RETRY_INTERVAL_SECONDS = 0.5
FAILED_WORKERS_LIMIT = 3  # a job that failed on this many healthy workers is at fault
FAILURES_LIMIT = 9  # failures after which a job fails, whatever the workers' health

# An attempt that no agent has announced for this long is taken to have ended.
MISSING_ATTEMPT_SECONDS = 3.0

JobAttempt = tuple[str, int]


class AttemptVerdict(NamedTuple):
    """Why an attempt must end and what becomes of its job.

    ``outcome`` is the job's outcome, empty if the job is queued again. With
    ``skips_silent``, silent agents are sent no stop, so that their tasks go on
    if the agents announce again.
    """

    outcome: str
    reason: str
    checkpoint: bool = False
    skips_silent: bool = False
    failed_workers: tuple[str, ...] = ()


class AttemptSettler:
    """Ends attempts and records their outcomes.

    An outcome is recorded only once every worker of the attempt has confirmed
    that it ended there, or is certainly lost: only then may the next attempt
    start. An unknown outcome is queried again, never guessed.
    """

    def __init__(
        self,
        lease: PlacerLease,
        state: PlacerState,
        streams: PlacerStreams,
        caller: RpcCaller,
        health: WorkerHealth,
    ) -> None:
        self._health = health
        self._lease = lease
        self._state = state
        self._streams = streams
        self._caller = caller
        self._failure_detector = AgentFailureDetector(state.fleet, caller)
        self._reports: dict[JobAttempt, dict[int, TaskReport]] = {}
        self._missing_since: dict[JobAttempt, float] = {}
        self._settling: set[str] = set()
        self._releasing_orphans: set[JobAttempt] = set()

    def add_report(self, report: TaskReport) -> None:
        """Add the report of a member's ended task, unless it is settled."""
        if self.is_settled(report):
            return
        reports = self._reports.setdefault((report.job_id, report.attempt), {})
        reports[report.member] = report

    def is_settled(self, report: TaskReport) -> bool:
        """Return whether the log has the outcome of the reported attempt."""
        job = self._state.jobs.get(report.job_id)
        if job is None:
            # A job is kept for a day after its end, so that a current table
            # lacks a reported job only if it was settled long ago.
            return (
                self._streams.jobs_follower.confirmation_age()
                <= MAX_JOBS_VIEW_AGE_SECONDS
            )
        superseded = job.attempt > report.attempt
        requeued = job.attempt == report.attempt and job.state == QUEUED
        return job.has_ended or superseded or requeued

    def forget_settled(self) -> None:
        """Drop the state of attempts whose outcome the log has."""
        for attempt in list(self._reports):
            reports = self._reports[attempt]
            if all(self.is_settled(report) for report in reports.values()):
                del self._reports[attempt]
        for job_id, attempt in list(self._missing_since):
            job = self._state.jobs.get(job_id)
            if job is None or job.state != RUNNING or job.attempt != attempt:
                del self._missing_since[(job_id, attempt)]

    def settle_attempts(self, starting: set[str]) -> None:
        """End every attempt that must end, except of jobs in ``starting``.

        Queued jobs whose cancellation was requested are ended as well.
        """
        for job in self._state.jobs.with_state(QUEUED):
            if job.cancel_asked and job.job_id not in starting:
                self.end_queued(job.job_id, "cancelled", "cancelled")
        for job in self._state.jobs.with_state(RUNNING):
            if job.job_id in starting or job.job_id in self._settling:
                continue
            verdict = self._decide(job)
            if verdict is None:
                continue
            self._settling.add(job.job_id)
            eventlet.spawn(self._settle_once, job, verdict)

    def end_queued(self, job_id: str, outcome: str, reason: str) -> None:
        """Record the end of a queued job, in a green thread of its own."""
        if job_id in self._settling:
            return
        self._settling.add(job_id)
        eventlet.spawn(self._record_end_of_queued, job_id, outcome, reason)

    def requeue(self, job_id: str, attempt: int, reason: str) -> bool:
        """Checkpoint and stop an attempt; return whether it has ended."""
        job = self._state.jobs.get(job_id)
        if job is None or job.state != RUNNING or job.attempt != attempt:
            return True
        if job_id in self._settling:
            return False
        self._settling.add(job_id)
        return self._settle_once(job, AttemptVerdict("", reason, checkpoint=True))

    def release_reservations(
        self, job_id: str, attempt: int, addresses: list[str]
    ) -> None:
        """Release the reservations of an attempt that was never committed."""
        message = Stop(job_id, attempt, False, "not started", self._lease.term)
        calls = []
        for address in sorted(set(addresses)):
            calls.append(
                lambda a=address: self._caller.call(
                    a, STOP, message, STOP_TIMEOUT_SECONDS
                )
            )
        gather(calls)

    def release_orphans(self, starting: set[str]) -> None:
        """Stop attempts that agents still hold but that are not current in the log."""
        for worker in self._state.fleet.live(clock.now()):
            for occupant in worker.occupants:
                attempt = (occupant.job_id, occupant.attempt)
                if occupant.job_id in starting or not self._is_orphan(attempt):
                    continue
                if attempt in self._releasing_orphans:
                    continue
                self._releasing_orphans.add(attempt)
                eventlet.spawn(self._release_orphan, attempt, worker.address)

    def _is_orphan(self, attempt: JobAttempt) -> bool:
        job = self._state.jobs.get(attempt[0])
        if job is None:
            return False
        if job.has_ended or attempt[1] < job.attempt:
            return True
        if attempt[1] == job.attempt:
            return job.state == QUEUED
        # A reservation of an earlier placer, which may still record the start.
        return self._lease.held_seconds() > MISSING_ATTEMPT_SECONDS

    def _release_orphan(self, attempt: JobAttempt, address: str) -> None:
        try:
            self.release_reservations(*attempt, [address])
            clock.sleep(SETTLE_RETRY_INTERVAL_SECONDS)
        finally:
            self._releasing_orphans.discard(attempt)

    def _decide(self, job: Job) -> AttemptVerdict | None:
        if job.cancel_asked:
            return AttemptVerdict("cancelled", "cancelled")
        reports = self._reports.get((job.job_id, job.attempt), {})
        if _all_finished(job, reports):
            return AttemptVerdict("finished", "")
        failed = [r for r in reports.values() if r.state == "failed"]
        if failed:
            return self._decide_on_failure(job, failed)
        for report in reports.values():
            if report.state != "finished":
                return AttemptVerdict("", report.reason, checkpoint=True)
        for worker_id in job.workers:
            worker = self._state.fleet.get(worker_id)
            if worker is None:
                continue
            if not self._state.configuration.in_service(worker.data_centre):
                reason = f"data centre {worker.data_centre} is out of service"
                return AttemptVerdict("", reason, checkpoint=True)
        if self._is_missing(job):
            return AttemptVerdict("", "no agent runs the attempt", True, True)
        return None

    def _decide_on_failure(self, job: Job, failed: list[TaskReport]) -> AttemptVerdict:
        """Requeue the job, or fail it once it has reached a failure limit."""
        workers = tuple(sorted({job.workers[report.member] for report in failed}))
        failures = job.failed_on + workers
        healthy = {w for w in failures if not self._health.is_quarantined(w)}
        reason = failed[0].reason
        if len(healthy) >= FAILED_WORKERS_LIMIT or len(failures) >= FAILURES_LIMIT:
            names = ", ".join(sorted(set(failures)))
            reason = f"{reason}; it failed on {names}"
            return AttemptVerdict("failed", reason, failed_workers=workers)
        return AttemptVerdict("", reason, failed_workers=workers)

    def _is_missing(self, job: Job) -> bool:
        """Return whether no agent has announced the attempt for too long.

        One announcing agent is enough: a gang that loses a member stops itself.
        """
        attempt = (job.job_id, job.attempt)
        now = clock.now()
        for worker in self._state.fleet.live(now):
            if _announces(worker.occupants, attempt):
                self._missing_since.pop(attempt, None)
                return False
        since = self._missing_since.setdefault(attempt, now)
        return now - since >= MISSING_ATTEMPT_SECONDS

    def _settle_once(self, job: Job, verdict: AttemptVerdict) -> bool:
        try:
            if self._settle(job, verdict):
                return True
            clock.sleep(SETTLE_RETRY_INTERVAL_SECONDS)
            return False
        finally:
            self._settling.discard(job.job_id)

    def _settle(self, job: Job, verdict: AttemptVerdict) -> bool:
        attempt = (job.job_id, job.attempt)
        reports = self._reports.setdefault(attempt, {})
        if verdict.outcome != "finished" and not self._stop_attempt(job, verdict):
            return False
        if not self._lease.is_held:
            return False
        if _all_finished(job, reports):
            self._health.note_finished(job.job_id, job.workers)
            return self._record_end(job.job_id, "finished", "", reports[0].result)
        self._note_failures(job, verdict)
        if verdict.outcome:
            self._health.forget_job(job.job_id)
            return self._record_end(job.job_id, verdict.outcome, verdict.reason, "")
        done_seconds = job.done_seconds
        if len(reports) == len(job.workers):
            done_seconds = max(
                done_seconds, min(r.done_seconds for r in reports.values())
            )
        return self._record_requeue(job, verdict, done_seconds)

    def _note_failures(self, job: Job, verdict: AttemptVerdict) -> None:
        for worker_id in verdict.failed_workers:
            if self._health.note_failed(job.job_id, worker_id, clock.now()):
                logger.bind(worker=worker_id).warning("worker quarantined")

    def _stop_attempt(self, job: Job, verdict: AttemptVerdict) -> bool:
        """Stop the attempt on all its workers; return whether it certainly ended."""
        message = Stop(
            job.job_id,
            job.attempt,
            verdict.checkpoint,
            verdict.reason,
            self._lease.term,
        )
        live = {worker.worker_id for worker in self._state.fleet.live(clock.now())}
        calls = []
        for worker_id in sorted(set(job.workers)):
            if verdict.skips_silent and worker_id not in live:
                calls.append(lambda w=worker_id: self._failure_detector.is_lost(w))
                continue
            calls.append(lambda w=worker_id: self._stop_at_worker(w, message))
        return all(gather(calls))

    def _stop_at_worker(self, worker_id: str, message: Stop) -> bool:
        worker = self._state.fleet.get(worker_id)
        if worker is None:
            return self._failure_detector.is_lost(worker_id)
        outcome = self._caller.call(worker.address, STOP, message, STOP_TIMEOUT_SECONDS)
        if outcome.is_err():
            return self._failure_detector.is_lost(worker_id)
        reply: StopReply = outcome.unwrap()
        for report in reply.reports:
            self.add_report(report)
        if not reply.ended:
            logger.bind(job=message.job_id, worker=worker_id).info(
                "attempt not ended: {}", reply.reason
            )
        return reply.ended

    def _record_end_of_queued(self, job_id: str, outcome: str, reason: str) -> None:
        try:
            job = self._state.jobs.get(job_id)
            if job is not None and job.state == QUEUED and self._lease.is_held:
                self._record_end(job_id, outcome, reason, "")
        finally:
            self._settling.discard(job_id)

    def _record_end(self, job_id: str, outcome: str, reason: str, result: str) -> bool:
        record = {
            "kind": "job-ended",
            "record_id": new_record_id(),
            "job_id": job_id,
            "outcome": outcome,
            "reason": reason,
            "result": result,
            "ended_at": clock.wall_time(),
        }
        return self._streams.jobs.append(record).is_ok()

    def _record_requeue(
        self, job: Job, verdict: AttemptVerdict, done_seconds: float
    ) -> bool:
        record = {
            "kind": "job-requeued",
            "record_id": new_record_id(),
            "job_id": job.job_id,
            "attempt": job.attempt,
            "reason": verdict.reason,
            "done_seconds": done_seconds,
            "failed_workers": list(verdict.failed_workers),
        }
        return self._streams.jobs.append(record).is_ok()


def _all_finished(job: Job, reports: dict[int, TaskReport]) -> bool:
    if len(reports) < len(job.workers):
        return False
    return all(report.state == "finished" for report in reports.values())


def _announces(occupants: tuple[Occupant, ...], attempt: JobAttempt) -> bool:
    return attempt in {(o.job_id, o.attempt) for o in occupants}
