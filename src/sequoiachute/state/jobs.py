"""Table of accepted jobs, built from the records of the jobs stream."""

from heapq import heappop, heappush
from typing import Any, NamedTuple

from sequoiachute.protocol.records import JobSpec
from sequoiachute.state.items import from_item, to_item

ENDED_JOB_HOLD_SECONDS = 86400.0  # how long a job's result can be fetched

QUEUED = "queued"
RUNNING = "running"
ENDED = ("finished", "failed", "cancelled")


class Job(NamedTuple):
    """One accepted job and its state; times are wall time in seconds."""

    job_id: str
    account: str
    job_class: str
    idempotency_key: str
    body_digest: str
    submitted_at: float
    spec: JobSpec
    state: str = QUEUED
    attempt: int = 0
    workers: tuple[str, ...] = ()
    started_at: float = 0.0
    ended_at: float = 0.0
    done_seconds: float = 0.0
    cancel_asked: bool = False
    reason: str = ""
    result: str = ""
    failed_on: tuple[str, ...] = ()

    @property
    def has_ended(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in ENDED


class JobTable:
    """Accepted jobs; ended ones are dropped after a hold time.

    When a job is dropped depends on the records alone, so that every reader of
    the same records holds the same jobs.

    Parameters
    ----------
    hold_seconds : float
        Time in seconds for which an ended job is kept.
    """

    def __init__(self, hold_seconds: float = ENDED_JOB_HOLD_SECONDS) -> None:
        self._jobs: dict[str, Job] = {}
        self._by_key: dict[tuple[str, str], str] = {}
        self._ended_heap: list[tuple[float, str]] = []
        self._live_ids: dict[str, None] = {}  # ordered set, by acceptance
        self._hold_seconds = hold_seconds

    def get(self, job_id: str) -> Job | None:
        """Return the job, ``None`` if it is not known."""
        return self._jobs.get(job_id)

    def by_key(self, account: str, key: str) -> Job | None:
        """Return the job accepted first for an idempotency key."""
        job_id = self._by_key.get((account, key))
        return self._jobs.get(job_id) if job_id else None

    def with_state(self, state: str) -> list[Job]:
        """Return the jobs in ``state``, queued or running, in order of acceptance.

        The cost is linear in the number of jobs that have not ended.
        """
        jobs = []
        for job_id in self._live_ids:
            job = self._jobs[job_id]
            if job.state == state:
                jobs.append(job)
        return jobs

    def of_account(self, account: str) -> list[Job]:
        """Return the jobs of ``account``, in order of acceptance."""
        jobs = []
        for job in self._jobs.values():
            if job.account == account:
                jobs.append(job)
        return jobs

    def snapshot(self) -> list[Any]:
        """Return every job as an item of a snapshot."""
        return [to_item(job) for job in self._jobs.values()]

    def restore(self, items: list[Any]) -> None:
        """Replace all jobs by those of a snapshot."""
        jobs = [from_item(Job, item) for item in items]
        self._jobs.clear()
        self._by_key.clear()
        self._ended_heap.clear()
        self._live_ids.clear()
        for job in jobs:
            self._jobs[job.job_id] = job
            self._by_key[(job.account, job.idempotency_key)] = job.job_id
            if job.has_ended:
                heappush(self._ended_heap, (job.ended_at, job.job_id))
                continue
            self._live_ids[job.job_id] = None

    def apply(self, record: Any, at: float = float("-inf")) -> bool:
        """Apply a record appended at wall time ``at``.

        Returns
        -------
        bool
            Whether the record took effect.
        """
        self._drop_ended(at - self._hold_seconds)
        if record["kind"] == "job-accepted":
            return self._accept(record)
        job = self._jobs.get(record.get("job_id", ""))
        if job is None or job.has_ended:
            return False
        changed = _after_record(job, record)
        if changed is None:
            return False
        self._jobs[job.job_id] = changed
        if changed.has_ended:
            heappush(self._ended_heap, (changed.ended_at, job.job_id))
            del self._live_ids[job.job_id]
        return True

    def _drop_ended(self, before: float) -> None:
        while self._ended_heap and self._ended_heap[0][0] < before:
            _, job_id = heappop(self._ended_heap)
            job = self._jobs.pop(job_id)
            del self._by_key[(job.account, job.idempotency_key)]

    def _accept(self, record: Any) -> bool:
        key = (record["account"], record["idempotency_key"])
        if record["job_id"] in self._jobs or key in self._by_key:
            return False
        self._live_ids[record["job_id"]] = None
        self._jobs[record["job_id"]] = Job(
            job_id=record["job_id"],
            account=record["account"],
            job_class=record["job_class"],
            idempotency_key=record["idempotency_key"],
            body_digest=record["body_digest"],
            submitted_at=record["submitted_at"],
            spec=record["spec"],
        )
        self._by_key[key] = record["job_id"]
        return True


def _after_record(job: Job, record: Any) -> Job | None:
    """Return the job after ``record``, ``None`` if the record is stale."""
    kind = record["kind"]
    if kind == "job-cancelled":
        return job._replace(cancel_asked=True)
    if kind == "job-started":
        if job.state != QUEUED or record["attempt"] != job.attempt + 1:
            return None
        return job._replace(
            state=RUNNING,
            attempt=record["attempt"],
            workers=tuple(record["workers"]),
            started_at=record["started_at"],
        )
    if kind == "job-requeued":
        if job.state != RUNNING or record["attempt"] != job.attempt:
            return None
        return job._replace(
            state=QUEUED,
            workers=(),
            reason=record["reason"],
            done_seconds=max(job.done_seconds, record["done_seconds"]),
            failed_on=job.failed_on + tuple(record.get("failed_workers", ())),
        )
    if kind == "job-ended":
        return job._replace(
            state=record["outcome"],
            reason=record["reason"],
            result=record["result"],
            ended_at=record["ended_at"],
        )
    return None
