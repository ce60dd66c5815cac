"""Accepting, cancelling and showing jobs at an entry instance."""

from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.store.follower import Follower
from sequoiachute.coordination.store.relay import RelayedStore
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import JobGraph, encode
from sequoiachute.state.ledger import CANCEL_PREFIX, JOB_PREFIX, Ledger
from sequoiachute.state.metrics import Metrics

ATTEMPT_SECONDS = 0.7  # one append; the store answers in some ms
MARGIN_SECONDS = 0.25  # for the answer's way back to the caller
RETRY_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0
FRESH_SECONDS = 2.0  # a view of this age still tells that a job is unknown

ACCEPTED = "accepted"
REFUSED = "refused"
UNKNOWN = "unknown"
ABSENT = "absent"


class Outcome(NamedTuple):
    """What a caller is told; ``retry_after`` is in seconds.

    ``refused`` means that nothing was stored and nothing will be.
    """

    kind: str
    reason: str = ""
    retry_after: float = 0.0


class Intake:
    """Writes jobs and cancels; the content is the same whoever writes it."""

    def __init__(
        self,
        topic: str,
        store: RelayedStore,
        ledger: Ledger,
        follower: Follower,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._topic = topic
        self._store = store
        self._ledger = ledger
        self._follower = follower

    def submit(self, job: JobGraph, deadline: float) -> Outcome:
        """Store a job by ``deadline``, in clock time."""
        known = self._ledger.job(job.job_id)
        if known is not None:
            return self._repeat(known, job)
        outcome = self._store_record(JOB_PREFIX + job.job_id, encode(job), deadline)
        self._metrics.count("jobs_submitted_total", outcome=outcome.kind)
        log = logger.bind(job=job.job_id, account=job.account, queue=job.queue)
        tasks = sum(step.count for step in job.steps)
        log = log.bind(steps=len(job.steps), tasks=tasks, view=self._follower.next)
        log = log.bind(occurrences=job.occurrences, shapes=_shapes(job))
        log.bind(outcome=outcome.kind, reason=outcome.reason).info("job submitted")
        return outcome

    def cancel(self, job_id: str, account: str, deadline: float) -> Outcome:
        """Cancel a job by ``deadline``, in clock time."""
        if not self._is_known(job_id, account):
            return self._absent(job_id)
        if self._ledger.is_cancelled(job_id) or self._ledger.progress(job_id).state:
            return Outcome(ACCEPTED)
        outcome = self._store_record(CANCEL_PREFIX + job_id, b"1", deadline)
        log = logger.bind(job=job_id, outcome=outcome.kind, reason=outcome.reason)
        log.info("job cancelled")
        return outcome

    def state(self, job_id: str, account: str) -> tuple[Outcome, str]:
        """Return a job's state."""
        if not self._is_known(job_id, account):
            return self._absent(job_id), ""
        return Outcome(ACCEPTED), self._ledger.state(job_id)

    def _repeat(self, known: JobGraph, job: JobGraph) -> Outcome:
        if known.account != job.account:
            return Outcome(REFUSED, "the identity belongs to another account")
        return Outcome(ACCEPTED, "known already")

    def _is_known(self, job_id: str, account: str) -> bool:
        if self._ledger.job(job_id) is None:
            self._follower.read_once()
        job = self._ledger.job(job_id)
        return job is not None and account in ("", job.account)

    def _absent(self, job_id: str) -> Outcome:
        if self._follower.age() > FRESH_SECONDS:
            reason = "the store can't be read, so the job may be there"
            return Outcome(REFUSED, reason, RETRY_AFTER_SECONDS)
        logger.bind(job=job_id, view=self._follower.next).info("job is not known")
        return Outcome(ABSENT, "no such job")

    def _store_record(self, key: str, value: bytes, deadline: float) -> Outcome:
        """Append until it is known what came of it, or time is over.

        The content is the same each time, so that a late copy changes nothing.
        """
        if self._store.is_unreachable:
            return Outcome(REFUSED, "the store can't be reached", RETRY_AFTER_SECONDS)
        may_exist = False
        while True:
            left = deadline - MARGIN_SECONDS - clock.now()
            if left <= 0 and may_exist:
                return Outcome(UNKNOWN, "no answer from the store in time")
            if left <= 0:
                reason = "too little time to store it"
                return Outcome(REFUSED, reason, RETRY_AFTER_SECONDS)
            outcome = self._store.append(
                self._topic, [(key, value)], timeout=min(left, ATTEMPT_SECONDS)
            )
            if outcome.is_ok():
                record = StoredRecord(outcome.unwrap(), key, value)
                self._ledger.apply(self._topic, record)
                return Outcome(ACCEPTED)
            error = outcome.unwrap_err()
            if error.applied is False and not may_exist:
                return Outcome(REFUSED, error.reason, RETRY_AFTER_SECONDS)
            may_exist = True
            clock.sleep(RETRY_SECONDS)


def _shapes(job: JobGraph) -> list[str]:
    """Return a short text for each step: what it needs and where it may run."""
    texts = []
    for step in job.steps:
        need = ",".join(str(amount) for amount in step.need)
        words = [f"{step.count}x{need}", f"{step.estimate_seconds:g}s"]
        for name in ("gang", "same_rack", "checkpoints", "lasting", "filling"):
            if getattr(step, name):
                words.append(name)
        words.extend(text for text in (step.label, step.data_rack) if text)
        texts.append(" ".join(words))
    return texts
