"""In-memory view of the store: jobs, their progress, waves, hosts and the placer."""

from collections.abc import Iterable, Iterator
from math import ceil, inf
from typing import NamedTuple

import msgspec
from loguru import logger

from sequoiachute.protocol.decoder import decode_msgpack
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    ACTIVE,
    CANCELLED,
    COMPLETE,
    PENDING,
    JobGraph,
    JobProgress,
    Machine,
    MachineSpeed,
    TaskId,
    TaskState,
)
from sequoiachute.state.job_records import (
    CANCEL_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    JobRecords,
)
from sequoiachute.state.progress import (
    PART_PREFIX,
    PartKey,
    ProgressTable,
    StepCounts,
    parse_part_key,
)
from sequoiachute.state.silences import SILENCE_PREFIX, SilenceTable

RUNS = "runs"  # topic that only the placer writes
LEADER_KEY = "leader"
SPEEDS_KEY = "machine-speeds"
WAVE_PREFIX = "wave/"
# Of a speed of which nothing is known: 0.6, 1.0 and 1.6 are equally frequent.
UNKNOWN_SPEED_ERROR = 0.4


class Leader(NamedTuple):
    """The placer's claim: its term, its address and the entry that made it."""

    term: int
    address: str
    member: str


class _SpeedRow(NamedTuple):
    host: str
    labels: tuple[str, ...]
    speed: float
    error: float = UNKNOWN_SPEED_ERROR


def encode_leader(leader: Leader) -> bytes:
    """Return the value of the record that claims the placer's role."""
    return msgspec.msgpack.encode(leader)


def encode_speeds(speeds: dict[Machine, MachineSpeed]) -> bytes:
    """Return the value of the record of learned speeds of machines."""
    rows = [
        (*machine, round(known.speed, 2), ceil(100 * known.error) / 100)
        for machine, known in speeds.items()
    ]
    return msgspec.msgpack.encode(rows)


def decode_speeds(data: bytes) -> dict[Machine, MachineSpeed]:
    """Return learned speeds by machine; raise ``msgspec.DecodeError``."""
    rows = decode_msgpack(data, list[_SpeedRow])
    return {
        Machine(row.host, row.labels): MachineSpeed(row.speed, row.error)
        for row in rows
    }


class Ledger:
    """State built only from records that the store has acknowledged.

    Records at or before the last applied offset of their key in their topic are
    skipped, so that a record applied on its acknowledgement may also be read back
    later.
    """

    def __init__(self) -> None:
        self._records = JobRecords()
        self._progress = ProgressTable()
        self._offsets: dict[tuple[str, str], int] = {}
        self._live: dict[str, None] = {}
        self._first_open: dict[str, int] = {}
        self._set_aside: set[str] = set()
        self._read_topics: set[str] = set()
        self.leader: Leader | None = None
        self.speeds: dict[Machine, MachineSpeed] = {}
        self._waves: dict[str, bytes] = {}
        self.silences = SilenceTable()

    def wave(self, number: int) -> bytes:
        """Return the encoded record of a wave, empty if there is none."""
        return self._waves.get(f"{WAVE_PREFIX}{number}", b"")

    @property
    def jobs(self) -> dict[str, JobGraph]:
        """Known jobs by identity."""
        return self._records.jobs

    def job(self, job_id: str) -> JobGraph | None:
        """Return a job, ``None`` if it is not known."""
        return self._records.jobs.get(job_id)

    def progress(self, job_id: str) -> JobProgress:
        """Return what is recorded of a job's tasks."""
        return self._progress.get(job_id)

    def step_counts(self, job_id: str, occurrence: int, step: int) -> StepCounts:
        """Return the counts of a step of an occurrence, which are updated in place."""
        return self._progress.step_counts(job_id, occurrence, step)

    def first_open_occurrence(self, job: JobGraph) -> int:
        """Return the first occurrence with a task that may yet run, or the count."""
        occurrence = self._first_open.get(job.job_id, 0)
        while occurrence < job.occurrence_count and self._is_done(job, occurrence):
            occurrence += 1
        self._first_open[job.job_id] = occurrence
        return occurrence

    def _is_done(self, job: JobGraph, occurrence: int) -> bool:
        for index, step in enumerate(job.steps):
            counts = self.step_counts(job.job_id, occurrence, index)
            if step.lasting or counts.done < step.count:
                return False
        return True

    def placed_count(self, job_id: str) -> int:
        """Return how many tasks of a job may be running."""
        return self._progress.placed_count(job_id)

    def version(self, job_id: str) -> tuple[int, int, bool, bool]:
        """Return what differs after each new record of a job."""
        return (
            self._progress.version(job_id),
            len(self.ends(job_id)),
            self.is_cancelled(job_id),
            job_id in self.jobs,
        )

    def part_tasks(self, job_id: str) -> dict[int, frozenset[str]]:
        """Return the keys of the tasks in each stored part of a job's progress."""
        return self._progress.part_tasks(job_id)

    def ends(self, job_id: str) -> dict[str, int]:
        """Return the runs that were recorded as done beside the progress, by task."""
        return self._records.ends(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a cancellation of the job has been accepted."""
        return self._records.is_cancelled(job_id)

    def state(self, job_id: str) -> str:
        """Return the state of the job as shown to callers."""
        progress = self.progress(job_id)
        if progress.state:
            return progress.state
        if self.ends(job_id) and self._is_complete(job_id, progress):
            return COMPLETE
        if self.is_cancelled(job_id):
            return CANCELLED
        return ACTIVE if self._has_begun(job_id) else PENDING

    def _has_begun(self, job_id: str) -> bool:
        if self.progress(job_id).begun:
            return True
        job = self.job(job_id)
        ends = self.ends(job_id)
        return job is not None and any(done_with(job, key) for key in ends)

    def _is_complete(self, job_id: str, progress: JobProgress) -> bool:
        job = self.job(job_id)
        if job is None:
            return False
        tasks = dict(progress.tasks)
        for key in self.ends(job_id):
            for member in done_with(job, key):
                tasks[member] = tasks.get(member, TaskState())._replace(done=True)
        return is_complete(job, progress._replace(tasks=tasks))

    def stored_keys(self, job_id: str) -> list[tuple[str, str]]:
        """Return topic and key of each record of a job in the jobs' topics."""
        return self._records.stored_keys(job_id)

    def ended_parts(self) -> list[str]:
        """Return the keys of the parts beyond the head of jobs that have ended."""
        keys = []
        for job_id in self.ended_before(inf):
            keys += self.progress_keys(job_id)[:-1]
        return keys

    def progress_keys(self, job_id: str) -> list[str]:
        """Return the keys of the records of a job's progress, the head last."""
        numbers = sorted(self.part_tasks(job_id), reverse=True)
        return [str(PartKey(job_id, number)) for number in numbers]

    def set_aside(self, job_id: str) -> None:
        """Leave a job out of ``live``: the store takes no records of its progress."""
        self._set_aside.add(job_id)

    def is_set_aside(self, job_id: str) -> bool:
        """Return whether ``set_aside`` was called for the job."""
        return job_id in self._set_aside

    def live(self) -> Iterator[JobGraph]:
        """Yield the jobs that have no final state."""
        for job_id in self._live:
            if job_id not in self._set_aside:
                yield self.jobs[job_id]

    def ended_with_runs(self) -> list[str]:
        """Return the jobs that have ended or been cancelled and may still have runs.

        The record of a job may not have been read.
        """
        return [
            job_id
            for job_id in self._progress.jobs_with_runs()
            if self.progress(job_id).state or self.is_cancelled(job_id)
        ]

    def open_tasks(self, account: str) -> int:
        """Return the number of tasks, done or not, of an account's open jobs."""
        return sum(job.task_count for job in self.live() if job.account == account)

    def waiting_count(self, queue: str) -> int:
        """Return the number of a queue's jobs of which no task has begun yet."""
        count = 0
        for job_id in self._live:
            job = self.jobs[job_id]
            if job.queue != queue or self.is_cancelled(job_id):
                continue
            count += not self._has_begun(job_id)
        return count

    def ended_before(self, wall: float) -> list[str]:
        """Return the jobs that ended before a wall time and have no runs left."""
        ended = []
        for job_id, progress in self._progress.progress.items():
            if not progress.state or progress.ended_at >= wall:
                continue
            if not self._progress.placed_count(job_id):
                ended.append(job_id)
        return ended

    def runs_of_ended_jobs(self) -> int:
        """Return how many runs of ended or cancelled jobs may exist."""
        return sum(map(self.placed_count, self.ended_with_runs()))

    def tasks_on_host(self, host: str) -> dict[TaskId, TaskState]:
        """Return the tasks that may be running on the worker of agent ``host``."""
        return self._progress.tasks_on_host(host)

    def placed_at(self, task: TaskId) -> float:
        """Return when the present run of a placed task was first applied.

        It is a time of ``clock.elapsed``; infinite if the task is not placed.
        """
        return self._progress.placed_at(task)

    def hosts(self) -> tuple[str, ...]:
        """Return the agents on whose workers tasks may be running."""
        return self._progress.hosts()

    def apply(self, topic: str, record: StoredRecord) -> bool:
        """Apply one record; return whether it was new.

        A record that cannot be decoded is logged and skipped.
        """
        last_offset = self._offsets.get((topic, record.key), -1)
        if record.offset <= last_offset:
            return False
        self._offsets[(topic, record.key)] = record.offset
        try:
            self._apply_value(topic, record)
        except msgspec.DecodeError as error:
            log = logger.bind(topic=topic, key=record.key, offset=record.offset)
            log.error("skipped an undecodable record: {}", type(error).__name__)
        return True

    def has_read(self, topics: Iterable[str]) -> bool:
        """Return whether a snapshot of each of these topics has been read."""
        return self._read_topics.issuperset(topics)

    def drop_absent(self, topic: str, present: set[str], end: int) -> int:
        """Drop the keys of a topic that a snapshot lacks; return how many were known.

        Their deletion may be in a history that was never read. What was stored after
        the snapshot's ``end`` stays.
        """
        self._read_topics.add(topic)
        absent = [
            key
            for (known_topic, key), offset in self._offsets.items()
            if known_topic == topic and key not in present and offset < end
        ]
        for key in absent:
            self.apply(topic, StoredRecord(end - 1, key, None))
        return len(absent)

    def _apply_value(self, topic: str, record: StoredRecord) -> None:
        key, value = record.key, record.value
        if key.startswith((JOB_PREFIX, CANCEL_PREFIX, END_PREFIX)):
            self._apply_job_record(topic, record)
        elif key == LEADER_KEY:
            if value is not None:
                self.leader = decode_msgpack(value, Leader)
        elif key == SPEEDS_KEY:
            self.speeds = decode_speeds(value or b"")
        elif key.startswith(WAVE_PREFIX):
            self._waves[key] = value or b""
        elif key.startswith(SILENCE_PREFIX):
            self.silences.apply(key, value)
        elif key.startswith(PART_PREFIX):
            part = parse_part_key(key)
            self._progress.apply_part(part, value)
            self._end_if_final(part.job_id)
        else:
            self._progress.apply_head(key, value)
            self._end_if_final(key)

    def _apply_job_record(self, topic: str, record: StoredRecord) -> None:
        job_id = self._records.apply(topic, record)
        if job_id not in self.jobs:
            self._live.pop(job_id, None)
            self._first_open.pop(job_id, None)
        elif record.key.startswith(JOB_PREFIX) and not self.progress(job_id).state:
            self._live[job_id] = None

    def _end_if_final(self, job_id: str) -> None:
        """Take note of a final state; a job is not opened again by its deletion."""
        if self.progress(job_id).state:
            self._live.pop(job_id, None)


def done_with(job: JobGraph, key: str) -> list[str]:
    """Return the keys of the tasks that are done when task ``key`` has ended done.

    One member of a gang that is done implies the others.
    """
    occurrence, step, _ = key.split(".")
    if int(step) >= len(job.steps):
        return []
    spec = job.steps[int(step)]
    if not spec.gang:
        return [key]
    return [f"{occurrence}.{step}.{index}" for index in range(spec.count)]


def is_complete(job: JobGraph, progress: JobProgress) -> bool:
    """Return whether every task of every occurrence is done."""
    if job.is_lasting:
        return False
    if len(progress.tasks) < job.task_count:
        return False
    return sum(task.done for task in progress.tasks.values()) >= job.task_count
