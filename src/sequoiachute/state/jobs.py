"""Jobs as the log tells them."""

from typing import Any, NamedTuple

from sequoiachute.protocol.records import JobSpec

QUEUED = "queued"
RUNNING = "running"
ENDED = ("finished", "failed", "cancelled")


class Job(NamedTuple):
    """One accepted job and how it stands."""

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

    @property
    def has_ended(self) -> bool:
        """Whether nothing of the job will run any more."""
        return self.state in ENDED


class JobTable:
    """Every job that the log still tells of."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}
        self._by_key: dict[tuple[str, str], str] = {}

    def get(self, job_id: str) -> Job | None:
        """Return the job, ``None`` if it is not known."""
        return self._jobs.get(job_id)

    def by_key(self, account: str, key: str) -> Job | None:
        """Return the job accepted first for an idempotency key."""
        job_id = self._by_key.get((account, key))
        return self._jobs.get(job_id) if job_id else None

    def with_state(self, state: str) -> list[Job]:
        """Return the jobs in ``state``, in order of acceptance."""
        jobs = []
        for job in self._jobs.values():
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

    def apply(self, record: Any) -> bool:
        """Apply one record; return whether it took effect."""
        if record["kind"] == "job-accepted":
            return self._accept(record)
        job = self._jobs.get(record.get("job_id", ""))
        if job is None or job.has_ended:
            return False
        changed = _changed(job, record)
        if changed is None:
            return False
        self._jobs[job.job_id] = changed
        return True

    def _accept(self, record: Any) -> bool:
        key = (record["account"], record["idempotency_key"])
        if record["job_id"] in self._jobs or key in self._by_key:
            return False
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


def _changed(job: Job, record: Any) -> Job | None:
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
        )
    if kind == "job-ended":
        return job._replace(
            state=record["outcome"],
            reason=record["reason"],
            result=record["result"],
            ended_at=record["ended_at"],
        )
    return None
