"""Progress of jobs in memory and the records that hold it in the store.

The head record of a job, whose key is the job ID, has its state and the first tasks.
Each further record has the next ``TASKS_PER_RECORD`` tasks, in the order of
occurrences, steps and indices, so that no record grows with the job.
"""

from collections import Counter
from math import inf
from typing import NamedTuple

import msgspec

from sequoiachute import clock
from sequoiachute.protocol.decoder import decode_msgpack
from sequoiachute.protocol.workload import (
    JobGraph,
    JobProgress,
    TaskId,
    TaskState,
    decode_progress,
    encode,
    is_task_key,
)

PART_PREFIX = "tasks/"
# Some 90 bytes a task and 1 kB with the longest checkpoint token.
TASKS_PER_RECORD = 64
HEAD = 0  # number of the part that the head record holds
NO_PROGRESS = JobProgress()


class PartKey(NamedTuple):
    """A job and the number of one of the records of its progress."""

    job_id: str
    number: int

    def __str__(self) -> str:
        if self.number == HEAD:
            return self.job_id
        return f"{PART_PREFIX}{self.job_id}/{self.number}"


def parse_part_key(key: str) -> PartKey:
    """Return what a key after ``PART_PREFIX`` names.

    Raises ``msgspec.ValidationError`` if it names no part.
    """
    job_id, _, number = key.removeprefix(PART_PREFIX).rpartition("/")
    if not job_id or not number.isascii() or not number.isdigit():
        raise msgspec.ValidationError("the key of a part names none")
    return PartKey(job_id, int(number))


def job_of_key(key: str) -> str:
    """Return the job of a record of its progress."""
    return parse_part_key(key).job_id if key.startswith(PART_PREFIX) else key


def part_of(job: JobGraph, key: str) -> int:
    """Return the number of the part that holds the task with ``key``."""
    occurrence, step, index = map(int, key.split("."))
    counts = [spec.count for spec in job.steps]
    position = occurrence * sum(counts) + sum(counts[:step]) + index
    return position // TASKS_PER_RECORD


def part_record(
    job_id: str, number: int, progress: JobProgress, tasks: dict[str, TaskState]
) -> tuple[str, bytes]:
    """Return key and value of the record of one part, which holds ``tasks``."""
    value = progress._replace(tasks=tasks) if number == HEAD else tasks
    return str(PartKey(job_id, number)), encode(value)


class StepCounts:
    """Tasks of one step of one occurrence: how many are done, and where runs may be.

    ``first_open`` is an index before which all tasks are done.
    """

    def __init__(self) -> None:
        self.done = 0
        self.placed = 0
        self.per_host: Counter[str] = Counter()
        self.first_open = 0

    def add(self, state: TaskState, sign: int) -> None:
        """Count a task in, or out if ``sign`` is -1."""
        self.done += sign * state.done
        if state.placed:
            self.placed += sign
            self.per_host[state.host] += sign
            if not self.per_host[state.host]:
                del self.per_host[state.host]


class ProgressTable:
    """Progress of all jobs, and the tasks that may be running by agent.

    The tasks of a job's ``JobProgress`` are updated in place.
    """

    def __init__(self) -> None:
        self._progress: dict[str, JobProgress] = {}
        self._part_tasks: dict[str, dict[int, frozenset[str]]] = {}
        self._placed: Counter[str] = Counter()
        self._steps: dict[str, dict[str, StepCounts]] = {}
        self._versions: Counter[str] = Counter()
        self._tasks_by_host: dict[str, dict[TaskId, TaskState]] = {}
        self._placed_at: dict[TaskId, float] = {}

    @property
    def progress(self) -> dict[str, JobProgress]:
        """Progress by job."""
        return self._progress

    def get(self, job_id: str) -> JobProgress:
        """Return a job's progress; without records an empty one."""
        return self._progress.get(job_id, NO_PROGRESS)

    def part_tasks(self, job_id: str) -> dict[int, frozenset[str]]:
        """Return the keys of the tasks in each stored part of a job's progress."""
        return self._part_tasks.get(job_id, {})

    def placed_count(self, job_id: str) -> int:
        """Return how many tasks of a job may be running."""
        return self._placed[job_id]

    def jobs_with_runs(self) -> tuple[str, ...]:
        """Return the jobs of which tasks may be running."""
        return tuple(self._placed)

    def step_counts(self, job_id: str, occurrence: int, step: int) -> StepCounts:
        """Return the counts of a step of an occurrence, which are updated in place."""
        return self._steps.get(job_id, {}).get(f"{occurrence}.{step}") or StepCounts()

    def version(self, job_id: str) -> int:
        """Return a number that grows with each record of a job's progress."""
        return self._versions[job_id]

    def tasks_on_host(self, host: str) -> dict[TaskId, TaskState]:
        """Return the tasks that may be running on the worker of agent ``host``."""
        return self._tasks_by_host.get(host, {})

    def placed_at(self, task: TaskId) -> float:
        """Return when the present run of a placed task was first applied.

        It is a time of ``clock.elapsed``; infinite if the task is not placed.
        """
        return self._placed_at.get(task, inf)

    def hosts(self) -> tuple[str, ...]:
        """Return the agents on whose workers tasks may be running."""
        return tuple(host for host, tasks in self._tasks_by_host.items() if tasks)

    def apply_head(self, job_id: str, value: bytes | None) -> None:
        """Apply a head record; raise ``msgspec.DecodeError`` if it can't be read."""
        head = NO_PROGRESS if value is None else decode_progress(value)
        tasks = self.get(job_id).tasks or {}
        self._progress[job_id] = head._replace(tasks=tasks)
        self._replace_part(PartKey(job_id, HEAD), head.tasks, value is None)

    def apply_part(self, part: PartKey, value: bytes | None) -> None:
        """Apply a further record; raise ``msgspec.DecodeError`` if it can't be read."""
        new = {} if value is None else _decode_part(value)
        if part.job_id not in self._progress:
            self._progress[part.job_id] = JobProgress(tasks={})
        self._replace_part(part, new, value is None)

    def _replace_part(
        self, part: PartKey, new: dict[str, TaskState], is_deleted: bool
    ) -> None:
        job_id = part.job_id
        self._versions[job_id] += 1
        tasks = self._progress[job_id].tasks
        stored = self._part_tasks.setdefault(job_id, {})
        for key in stored.pop(part.number, frozenset()):
            if key in new or (part.number == HEAD and _is_in_a_part(key, stored)):
                continue
            self._set_task(job_id, tasks, key, None)
        for key, state in new.items():
            self._set_task(job_id, tasks, key, state)
        if not is_deleted:
            stored[part.number] = frozenset(new)
        if not stored:
            del self._part_tasks[job_id], self._progress[job_id]
            del self._versions[job_id]
            self._steps.pop(job_id, None)

    def _set_task(
        self, job_id: str, tasks: dict[str, TaskState], key: str, new: TaskState | None
    ) -> None:
        old = tasks.pop(key, None) if new is None else tasks.get(key)
        if new is not None:
            tasks[key] = new
        if old == new:
            return
        steps = self._steps.setdefault(job_id, {})
        counts = steps.setdefault(key.rpartition(".")[0], StepCounts())
        task = task_id_of(job_id, key)
        self._set_placed_at(task, old, new)
        if old is not None:
            counts.add(old, -1)
            if old.placed:
                self._placed[job_id] -= 1
                if not self._placed[job_id]:
                    del self._placed[job_id]
                self._tasks_by_host[old.host].pop(task, None)
        if new is None:
            counts.first_open = 0
            return
        counts.add(new, 1)
        if new.placed:
            self._placed[job_id] += 1
            on_host = self._tasks_by_host.setdefault(new.host, {})
            on_host[task] = new

    def _set_placed_at(
        self, task: TaskId, old: TaskState | None, new: TaskState | None
    ) -> None:
        if new is None or not new.placed:
            self._placed_at.pop(task, None)
            return
        if old is None or not old.placed or old.run != new.run:
            self._placed_at[task] = clock.elapsed()


def _is_in_a_part(key: str, stored: dict[int, frozenset[str]]) -> bool:
    """Return whether a part has a task that the head has had, as it did earlier."""
    return any(key in tasks for tasks in stored.values())


def _decode_part(data: bytes) -> dict[str, TaskState]:
    tasks = decode_msgpack(data, dict[str, TaskState])
    for key in tasks:
        if not is_task_key(key):
            raise msgspec.ValidationError("a task's key is not of three numbers")
    return tasks


def task_id_of(job_id: str, key: str) -> TaskId:
    """Return the identity of the task with ``key`` in a job's progress."""
    occurrence, step, index = key.split(".")
    return TaskId(job_id, int(occurrence), int(step), int(index))
