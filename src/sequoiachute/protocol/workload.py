"""Jobs as graphs of steps, and the runs of their tasks.

A job runs its steps once, or once for each occurrence. A step has ``count``
tasks of the same shape; a run is one start of a task.
"""

from typing import Any, NamedTuple

import msgspec

PENDING = "pending"
ACTIVE = "active"
COMPLETE = "complete"
FAILED = "failed"
CANCELLED = "cancelled"


class Resources(NamedTuple):
    """Thousandths of a core, memory in MB and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other: "Resources") -> bool:
        """Return whether ``other`` fits in."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


class StepSpec(NamedTuple):
    """Tasks of one shape.

    ``after`` lists the steps that must be done first. ``label`` must be on the
    worker; on another rack than ``data_rack`` a task takes longer. At most
    ``per_worker`` tasks run on one worker, zero for no limit. A ``lasting``
    step runs until its job is cancelled. A ``filling`` step uses processors
    that others leave; it counts no processor of its own.
    """

    count: int
    need: Resources
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: int = 0
    filling: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """What one task takes of a worker's capacity."""
        if self.filling:
            return self.need._replace(cpu_millis=0)
        return self.need


class JobGraph(NamedTuple):
    """A job as accepted.

    ``occurrences`` is zero for a job that runs once, at once. Times are wall
    time in seconds; ``priority`` zero comes first.
    """

    job_id: str
    account: str
    queue: str
    service: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at: float = 0.0
    occurrences: int = 0
    first_due: float = 0.0
    period_seconds: float = 0.0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slo_seconds: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """How many times the steps run."""
        return max(1, self.occurrences)

    def due_at(self, occurrence: int) -> float:
        """Return the wall time in seconds at which an occurrence may begin."""
        if not self.occurrences:
            return 0.0
        return self.first_due + occurrence * self.period_seconds

    @property
    def is_lasting(self) -> bool:
        """Whether the job ends only by being cancelled."""
        return any(step.lasting for step in self.steps)


class TaskId(NamedTuple):
    """Identity of a task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_id(text: str) -> TaskId | None:
    """Return the identity that ``text`` spells, ``None`` if it spells none."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class Lifetime(NamedTuple):
    """One lifetime of a worker: its name and its start in Unix milliseconds."""

    worker_id: str = ""
    started_ms: int = 0


class TaskState(NamedTuple):
    """What is recorded of a task.

    ``run`` numbers its starts. ``host`` is the agent beside whose worker, in
    ``life``, the run may be; empty once the run has surely ended. ``token`` is
    the newest checkpoint known. ``failed_run`` is the last run that failed by
    itself.
    """

    run: int = 0
    host: str = ""
    life: Lifetime = Lifetime()
    done: bool = False
    failures: int = 0
    failed_run: int = 0
    token: str = ""

    @property
    def placed(self) -> bool:
        """Whether a run may be somewhere."""
        return bool(self.host)


class JobProgress(NamedTuple):
    """What is recorded of a job: its final state, if any, and its tasks.

    Tasks that were never placed are left out. The key of a task is its
    occurrence, step and index.
    """

    state: str = ""
    tasks: dict[str, TaskState] = {}
    ended_at: float = 0.0


def task_key(task: TaskId) -> str:
    """Return the key of a task inside its job's progress."""
    return f"{task.occurrence}.{task.step}.{task.index}"


def encode(value: Any) -> bytes:
    """Return a record's bytes."""
    return msgspec.msgpack.encode(value)


def decode_job(data: bytes) -> JobGraph:
    """Return the job in a record; raise ``msgspec.DecodeError``."""
    return msgspec.msgpack.decode(data, type=JobGraph)


def decode_progress(data: bytes) -> JobProgress:
    """Return the progress in a record; raise ``msgspec.DecodeError``."""
    return msgspec.msgpack.decode(data, type=JobProgress)
