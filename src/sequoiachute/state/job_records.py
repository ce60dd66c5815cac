"""Records of the jobs' topics: jobs, their cancellations and ends of their tasks.

A record may be in several topics, since each writer appends to the first that answers.
"""

from typing import Generic, TypeVar

import msgspec

from sequoiachute.protocol.decoder import decode_msgpack
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import JobGraph, TaskId, decode_job, is_task_key

# Topics of records that never change: jobs, cancellations and ends of tasks. Each
# record is in the first topic that took it, since an outage may hit some topics only.
JOB_TOPICS = ("jobs", "jobs-2", "jobs-3")
JOBS = JOB_TOPICS[0]
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
END_PREFIX = "end/"

Value = TypeVar("Value")


def end_record(task: TaskId, run: int) -> tuple[str, bytes]:
    """Return key and value of the record that a run of a task has ended done."""
    return END_PREFIX + str(task), msgspec.msgpack.encode(run)


class _Copies(Generic[Value]):
    """The values of one kind of record, by key and by the topic that holds them."""

    def __init__(self) -> None:
        self._by_key: dict[str, dict[str, Value]] = {}

    def put(self, topic: str, key: str, value: Value) -> None:
        """Set the value of a key in a topic."""
        self._by_key.setdefault(key, {})[topic] = value

    def drop(self, topic: str, key: str) -> None:
        """Drop a key from a topic."""
        copies = self._by_key.get(key, {})
        copies.pop(topic, None)
        if not copies:
            self._by_key.pop(key, None)

    def values(self, key: str) -> list[Value]:
        """Return the values of a key, in the order of the topics."""
        copies = self._by_key.get(key, {})
        return [copies[topic] for topic in sorted(copies)]

    def topics(self, key: str) -> list[str]:
        """Return the topics that hold a key."""
        return sorted(self._by_key.get(key, {}))


class JobRecords:
    """What the newest record of each key in each of the jobs' topics says.

    In whatever order the topics are read, and whether or not a record was read that a
    later one of its key has replaced, the result is the same.
    """

    def __init__(self) -> None:
        self._accepted: _Copies[JobGraph] = _Copies()
        self._cancellations: _Copies[bool] = _Copies()
        self._recorded_ends: _Copies[int] = _Copies()
        self._jobs: dict[str, JobGraph] = {}
        self._cancelled: set[str] = set()
        self._ends: dict[str, dict[str, int]] = {}

    @property
    def jobs(self) -> dict[str, JobGraph]:
        """Known jobs by identity."""
        return self._jobs

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a cancellation of the job has been accepted."""
        return job_id in self._cancelled

    def ends(self, job_id: str) -> dict[str, int]:
        """Return the runs that were recorded as done, by task."""
        return self._ends.get(job_id, {})

    def stored_keys(self, job_id: str) -> list[tuple[str, str]]:
        """Return topic and key of each record of a job."""
        found = [
            (topic, JOB_PREFIX + job_id) for topic in self._accepted.topics(job_id)
        ]
        for topic in self._cancellations.topics(job_id):
            found.append((topic, CANCEL_PREFIX + job_id))
        for task in self.ends(job_id):
            key = f"{job_id}.{task}"
            for topic in self._recorded_ends.topics(key):
                found.append((topic, END_PREFIX + key))
        return found

    def apply(self, topic: str, record: StoredRecord) -> str:
        """Apply a record of the jobs' topics; return the job that it is about.

        Raises ``msgspec.DecodeError`` if it can't be read.
        """
        key, value = record.key, record.value
        if key.startswith(JOB_PREFIX):
            job_id = key.removeprefix(JOB_PREFIX)
            self._apply_job(topic, job_id, value)
            return job_id
        if key.startswith(CANCEL_PREFIX):
            job_id = key.removeprefix(CANCEL_PREFIX)
            self._apply_cancellation(topic, job_id, value)
            return job_id
        return self._apply_end(topic, key.removeprefix(END_PREFIX), value)

    def _apply_job(self, topic: str, job_id: str, value: bytes | None) -> None:
        if value is None:
            self._accepted.drop(topic, job_id)
        else:
            self._accepted.put(topic, job_id, decode_job(value))
        copies = self._accepted.values(job_id)
        if not copies:
            self._jobs.pop(job_id, None)
            return
        # Of repeated acceptances of a job the first one counts.
        self._jobs[job_id] = min(copies, key=lambda job: job.accepted_at)

    def _apply_cancellation(self, topic: str, job_id: str, value: bytes | None) -> None:
        if value is None:
            self._cancellations.drop(topic, job_id)
        else:
            self._cancellations.put(topic, job_id, True)
        if self._cancellations.values(job_id):
            self._cancelled.add(job_id)
        else:
            self._cancelled.discard(job_id)

    def _apply_end(self, topic: str, key: str, value: bytes | None) -> str:
        job_id, _, task = key.partition(".")
        if not is_task_key(task):
            raise msgspec.ValidationError("the key of an end names no task")
        if value is None:
            self._recorded_ends.drop(topic, key)
        else:
            self._recorded_ends.put(topic, key, decode_msgpack(value, int))
        runs = self._recorded_ends.values(key)
        ends = self._ends.setdefault(job_id, {})
        if runs:
            ends[task] = max(runs)
        else:
            ends.pop(task, None)
        if not ends:
            del self._ends[job_id]
        return job_id
