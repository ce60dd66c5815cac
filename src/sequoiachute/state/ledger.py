"""Jobs, their progress and the current placer, as the store has them."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from loguru import logger

from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    ACTIVE,
    CANCELLED,
    PENDING,
    JobGraph,
    JobProgress,
    Lifetime,
    TaskId,
    TaskState,
    decode_job,
    decode_progress,
)

JOBS = "jobs"  # topic of jobs and cancels, written by any entry
RUNS = "runs"  # topic that only the placer writes
LEADER_KEY = "leader"
SPEEDS_KEY = "speeds"
WAVE_PREFIX = "wave/"
CANCEL_PREFIX = "cancel/"
JOB_PREFIX = "job/"
NO_PROGRESS = JobProgress()


class Leader(NamedTuple):
    """The placer's claim: its term, where it is reached and who it is."""

    term: int
    address: str
    member: str


def encode_leader(leader: Leader) -> bytes:
    """Return the record of a claim."""
    return msgspec.msgpack.encode(leader)


def encode_speeds(speeds: dict[Lifetime, float]) -> bytes:
    """Return the record of learned speeds."""
    rows = [(*life, round(speed, 2)) for life, speed in speeds.items()]
    return msgspec.msgpack.encode(rows)


def decode_speeds(data: bytes) -> dict[Lifetime, float]:
    """Return learned speeds by lifetime; raise ``msgspec.DecodeError``."""
    rows = msgspec.msgpack.decode(data, type=list[tuple[str, int, float]])
    return {Lifetime(name, born): speed for name, born, speed in rows}


class Ledger:
    """Tables of what the store has acknowledged, and nothing else.

    A record is applied once: older ones of the same key are passed over, so
    that what was applied on an acknowledgement may be read back later.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, JobGraph] = {}
        self._cancelled: dict[str, float] = {}
        self._progress: dict[str, JobProgress] = {}
        self._offsets: dict[tuple[str, str], int] = {}
        self._by_host: dict[str, dict[TaskId, TaskState]] = {}
        self._live: dict[str, None] = {}
        self.leader: Leader | None = None
        self.speeds: dict[Lifetime, float] = {}
        self._waves: dict[str, bytes] = {}

    def wave(self, number: int) -> bytes:
        """Return the record of a wave, empty if there is none."""
        return self._waves.get(f"{WAVE_PREFIX}{number}", b"")

    @property
    def jobs(self) -> dict[str, JobGraph]:
        """Every known job by its identity."""
        return self._jobs

    def job(self, job_id: str) -> JobGraph | None:
        """Return a job, ``None`` if it is not known."""
        return self._jobs.get(job_id)

    def progress(self, job_id: str) -> JobProgress:
        """Return what is recorded of a job's tasks."""
        return self._progress.get(job_id, NO_PROGRESS)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether the job's cancelling was accepted."""
        return job_id in self._cancelled

    def state(self, job_id: str) -> str:
        """Return the state that callers are shown."""
        progress = self.progress(job_id)
        if progress.state:
            return progress.state
        if job_id in self._cancelled:
            return CANCELLED
        return ACTIVE if progress.tasks else PENDING

    def live(self) -> Iterator[JobGraph]:
        """Yield the jobs that have not reached their final record."""
        for job_id in self._live:
            yield self._jobs[job_id]

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have had no start yet."""
        count = 0
        for job_id in self._live:
            job = self._jobs[job_id]
            if job.queue != queue or job_id in self._cancelled:
                continue
            count += not self.progress(job_id).tasks
        return count

    def ended_before(self, wall: float) -> list[str]:
        """Return the jobs that ended before a wall time and run nothing."""
        found = []
        for job_id, progress in self._progress.items():
            if not progress.state or progress.ended_at >= wall:
                continue
            if not any(task.placed for task in progress.tasks.values()):
                found.append(job_id)
        return found

    def placed_at(self, host: str) -> dict[TaskId, TaskState]:
        """Return the tasks that may be running beside an agent."""
        return self._by_host.get(host, {})

    def hosts(self) -> tuple[str, ...]:
        """Return the agents beside which something may be running."""
        return tuple(host for host, tasks in self._by_host.items() if tasks)

    def apply(self, topic: str, record: StoredRecord) -> bool:
        """Apply one record; return whether it was news."""
        known = self._offsets.get((topic, record.key), -1)
        if record.offset <= known:
            return False
        self._offsets[(topic, record.key)] = record.offset
        try:
            self._take(record)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log = logger.bind(topic=topic, key=record.key, offset=record.offset)
            log.error("unreadable record passed over: {}", type(error).__name__)
        return True

    def _take(self, record: StoredRecord) -> None:
        key, value = record.key, record.value
        if key == LEADER_KEY:
            if value is not None:
                self.leader = msgspec.msgpack.decode(value, type=Leader)
        elif key == SPEEDS_KEY:
            self.speeds = decode_speeds(value or b"")
        elif key.startswith(WAVE_PREFIX):
            self._waves[key] = value or b""
        elif key.startswith(JOB_PREFIX):
            self._take_job(key.removeprefix(JOB_PREFIX), value)
        elif key.startswith(CANCEL_PREFIX):
            job_id = key.removeprefix(CANCEL_PREFIX)
            if value is None:
                self._cancelled.pop(job_id, None)
            else:
                self._cancelled.setdefault(job_id, record.offset)
        else:
            self._take_progress(key, value)

    def _take_job(self, job_id: str, value: bytes | None) -> None:
        if value is None:
            self._jobs.pop(job_id, None)
            self._live.pop(job_id, None)
            return
        job = decode_job(value)
        # The first acceptance counts: a repeat tells the same later.
        self._jobs.setdefault(job_id, job)
        if not self.progress(job_id).state:
            self._live[job_id] = None

    def _take_progress(self, job_id: str, value: bytes | None) -> None:
        known = self._progress.pop(job_id, NO_PROGRESS)
        if value is None:
            new = NO_PROGRESS
        else:
            new = self._progress[job_id] = decode_progress(value)
        self._index(job_id, known, new)
        if new.state and not any(task.placed for task in new.tasks.values()):
            self._live.pop(job_id, None)

    def _index(self, job_id: str, known: JobProgress, new: JobProgress) -> None:
        for key, task in known.tasks.items():
            if task.host and new.tasks.get(key) != task:
                self._by_host[task.host].pop(task_id_of(job_id, key), None)
        for key, task in new.tasks.items():
            if task.host:
                tasks = self._by_host.setdefault(task.host, {})
                tasks[task_id_of(job_id, key)] = task


def task_id_of(job_id: str, key: str) -> TaskId:
    """Return the identity of the task with ``key`` in a job's progress."""
    occurrence, step, index = key.split(".")
    return TaskId(job_id, int(occurrence), int(step), int(index))
