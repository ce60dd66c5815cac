"""Settles attempts: finds out how they ended and records it in the log."""

from typing import NamedTuple

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placerlease import PlacerLease
from sequoiachute.coordination.placerstate import PlacerState, PlacerStreams
from sequoiachute.coordination.silence import SilenceSurvey
from sequoiachute.coordination.tasks import gather
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

CURRENT_SECONDS = 3.0  # age up to which the jobs table lacks nothing reported
CALL_SECONDS = 4.0  # a stop waits for a backend server's answer
RETRY_SECONDS = 0.5
FAILED_WORKERS = 3  # a job that failed on so many healthy workers is at fault
FAILURES = 9  # in all, after which a job is given up wherever it failed
MISSING_SECONDS = 3.0  # an attempt that no agent announces for this long has ended

Attempt = tuple[str, int]


class Verdict(NamedTuple):
    """Why an attempt must end and what becomes of its job then.

    ``outcome`` is that of the job, empty if the job is queued again. Agents
    that are silent are sent no stop where ``spares_silent``: their tasks go on
    if they come back.
    """

    outcome: str
    reason: str
    checkpoint: bool = False
    spares_silent: bool = False
    failed_workers: tuple[str, ...] = ()


class Settler:
    """Ends attempts and records what became of them.

    Nothing is recorded about an attempt before every one of its workers has
    said that it ended there, or is certainly lost: only then may the next
    attempt start. An unknown outcome is asked for again, never guessed.
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
        self._silences = SilenceSurvey(state.fleet, caller)
        self._reports: dict[Attempt, dict[int, TaskReport]] = {}
        self._missing_since: dict[Attempt, float] = {}
        self._settling: set[str] = set()
        self._releasing: set[Attempt] = set()

    def add_report(self, report: TaskReport) -> None:
        """Take the end of a member's task."""
        if self.is_settled(report):
            return
        reports = self._reports.setdefault((report.job_id, report.attempt), {})
        reports[report.member] = report

    def is_settled(self, report: TaskReport) -> bool:
        """Return whether the log tells what became of the reported attempt."""
        job = self._state.jobs.get(report.job_id)
        if job is None:
            # A job is held for a day after its end; only a table that may lag
            # can lack one that an agent still reports of.
            return self._streams.jobs_follower.age() <= CURRENT_SECONDS
        moved_on = job.attempt > report.attempt
        requeued = job.attempt == report.attempt and job.state == QUEUED
        return job.has_ended or moved_on or requeued

    def forget_settled(self) -> None:
        """Drop what is known of attempts that the log has settled."""
        for attempt in list(self._reports):
            reports = self._reports[attempt]
            if all(self.is_settled(report) for report in reports.values()):
                del self._reports[attempt]
        for job_id, attempt in list(self._missing_since):
            job = self._state.jobs.get(job_id)
            if job is None or job.state != RUNNING or job.attempt != attempt:
                del self._missing_since[(job_id, attempt)]

    def settle_round(self, starting: set[str]) -> None:
        """Look at every job that is not being started."""
        for job in self._state.jobs.with_state(QUEUED):
            if job.cancel_asked and job.job_id not in starting:
                self.fail_queued(job.job_id, "cancelled", "cancelled")
        for job in self._state.jobs.with_state(RUNNING):
            if job.job_id in starting or job.job_id in self._settling:
                continue
            verdict = self._verdict(job)
            if verdict is None:
                continue
            self._settling.add(job.job_id)
            eventlet.spawn(self._settle_once, job, verdict)

    def fail_queued(self, job_id: str, outcome: str, reason: str) -> None:
        """End a job of which nothing runs."""
        if job_id in self._settling:
            return
        self._settling.add(job_id)
        eventlet.spawn(self._end_queued, job_id, outcome, reason)

    def requeue(self, job_id: str, attempt: int, reason: str) -> bool:
        """Checkpoint and stop an attempt; return whether its job is queued."""
        job = self._state.jobs.get(job_id)
        if job is None or job.state != RUNNING or job.attempt != attempt:
            return True
        if job_id in self._settling:
            return False
        self._settling.add(job_id)
        return self._settle_once(job, Verdict("", reason, checkpoint=True))

    def release(self, job_id: str, attempt: int, addresses: list[str]) -> None:
        """Drop reservations of an attempt that was never committed."""
        message = Stop(job_id, attempt, False, "not started", self._lease.term)
        calls = []
        for address in sorted(set(addresses)):
            calls.append(
                lambda a=address: self._caller.call(a, STOP, message, CALL_SECONDS)
            )
        gather(calls)

    def release_strays(self, starting: set[str]) -> None:
        """Stop what agents hold for attempts that the log has passed over."""
        for worker in self._state.fleet.live(clock.now()):
            for occupant in worker.occupants:
                attempt = (occupant.job_id, occupant.attempt)
                if occupant.job_id in starting or not self._is_stray(attempt):
                    continue
                if attempt in self._releasing:
                    continue
                self._releasing.add(attempt)
                eventlet.spawn(self._release_stray, attempt, worker.address)

    def _is_stray(self, attempt: Attempt) -> bool:
        job = self._state.jobs.get(attempt[0])
        if job is None:
            return False
        if job.has_ended or attempt[1] < job.attempt:
            return True
        if attempt[1] == job.attempt:
            return job.state == QUEUED
        # A reservation of an earlier placer, which it may be recording now.
        return self._lease.held_seconds() > MISSING_SECONDS

    def _release_stray(self, attempt: Attempt, address: str) -> None:
        try:
            self.release(*attempt, [address])
            clock.sleep(RETRY_SECONDS)
        finally:
            self._releasing.discard(attempt)

    def _verdict(self, job: Job) -> Verdict | None:
        if job.cancel_asked:
            return Verdict("cancelled", "cancelled")
        reports = self._reports.get((job.job_id, job.attempt), {})
        if _all_finished(job, reports):
            return Verdict("finished", "")
        failed = [r for r in reports.values() if r.state == "failed"]
        if failed:
            return self._verdict_on_failure(job, failed)
        for report in reports.values():
            if report.state != "finished":
                return Verdict("", report.reason, checkpoint=True)
        for worker_id in job.workers:
            worker = self._state.fleet.get(worker_id)
            if worker is None:
                continue
            if not self._state.configuration.in_service(worker.data_centre):
                reason = f"data centre {worker.data_centre} is out of service"
                return Verdict("", reason, checkpoint=True)
        if self._is_missing(job):
            return Verdict("", "no agent runs the attempt", True, True)
        return None

    def _verdict_on_failure(self, job: Job, failed: list[TaskReport]) -> Verdict:
        """Retry elsewhere, unless the job has failed often enough."""
        workers = tuple(sorted({job.workers[report.member] for report in failed}))
        failures = job.failed_on + workers
        healthy = {w for w in failures if not self._health.is_quarantined(w)}
        reason = failed[0].reason
        if len(healthy) >= FAILED_WORKERS or len(failures) >= FAILURES:
            names = ", ".join(sorted(set(failures)))
            reason = f"{reason}; it failed on {names}"
            return Verdict("failed", reason, failed_workers=workers)
        return Verdict("", reason, failed_workers=workers)

    def _is_missing(self, job: Job) -> bool:
        """Return whether no agent has announced the attempt for long.

        One that announces it is enough: a gang stops by itself when it has
        lost a member.
        """
        attempt = (job.job_id, job.attempt)
        now = clock.now()
        for worker in self._state.fleet.live(now):
            if _announces(worker.occupants, attempt):
                self._missing_since.pop(attempt, None)
                return False
        since = self._missing_since.setdefault(attempt, now)
        return now - since >= MISSING_SECONDS

    def _settle_once(self, job: Job, verdict: Verdict) -> bool:
        try:
            if self._settle(job, verdict):
                return True
            clock.sleep(RETRY_SECONDS)
            return False
        finally:
            self._settling.discard(job.job_id)

    def _settle(self, job: Job, verdict: Verdict) -> bool:
        attempt = (job.job_id, job.attempt)
        reports = self._reports.setdefault(attempt, {})
        if verdict.outcome != "finished" and not self._end_attempt(job, verdict):
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
        done = job.done_seconds
        if len(reports) == len(job.workers):
            done = max(done, min(r.done_seconds for r in reports.values()))
        return self._record_requeue(job, verdict, done)

    def _note_failures(self, job: Job, verdict: Verdict) -> None:
        for worker_id in verdict.failed_workers:
            if self._health.note_failed(job.job_id, worker_id, clock.now()):
                logger.bind(worker=worker_id).warning("worker quarantined")

    def _end_attempt(self, job: Job, verdict: Verdict) -> bool:
        """Stop the attempt everywhere; return whether it has surely ended."""
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
            if verdict.spares_silent and worker_id not in live:
                calls.append(lambda w=worker_id: self._silences.is_lost(w))
                continue
            calls.append(lambda w=worker_id: self._end_at(w, message))
        return all(gather(calls))

    def _end_at(self, worker_id: str, message: Stop) -> bool:
        worker = self._state.fleet.get(worker_id)
        if worker is None:
            return self._silences.is_lost(worker_id)
        outcome = self._caller.call(worker.address, STOP, message, CALL_SECONDS)
        if outcome.is_err():
            return self._silences.is_lost(worker_id)
        reply: StopReply = outcome.unwrap()
        for report in reply.reports:
            self.add_report(report)
        if not reply.ended:
            logger.bind(job=message.job_id, worker=worker_id).info(
                "attempt not ended: {}", reply.reason
            )
        return reply.ended

    def _end_queued(self, job_id: str, outcome: str, reason: str) -> None:
        try:
            job = self._state.jobs.get(job_id)
            if job is not None and job.state == QUEUED and self._lease.is_held:
                self._record_end(job_id, outcome, reason, "")
        finally:
            self._settling.discard(job_id)

    def _record_end(self, job_id: str, outcome: str, reason: str, text: str) -> bool:
        record = {
            "kind": "job-ended",
            "record_id": new_record_id(),
            "job_id": job_id,
            "outcome": outcome,
            "reason": reason,
            "result": text,
            "ended_at": clock.wall_time(),
        }
        return self._streams.jobs.append(record).is_ok()

    def _record_requeue(self, job: Job, verdict: Verdict, done: float) -> bool:
        record = {
            "kind": "job-requeued",
            "record_id": new_record_id(),
            "job_id": job.job_id,
            "attempt": job.attempt,
            "reason": verdict.reason,
            "done_seconds": done,
            "failed_workers": list(verdict.failed_workers),
        }
        return self._streams.jobs.append(record).is_ok()


def _all_finished(job: Job, reports: dict[int, TaskReport]) -> bool:
    if len(reports) < len(job.workers):
        return False
    return all(report.state == "finished" for report in reports.values())


def _announces(occupants: tuple[Occupant, ...], attempt: Attempt) -> bool:
    return attempt in {(o.job_id, o.attempt) for o in occupants}
