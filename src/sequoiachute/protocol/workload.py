"""Jobs as graphs of steps, and the recorded progress of their tasks.

A job runs its steps once, or once for each occurrence. A step has ``count``
tasks of the same shape; a run is one start of a task.
"""

import re
from typing import Any, NamedTuple

import msgspec

from sequoiachute.protocol.decoder import decode_msgpack

PENDING = "pending"
ACTIVE = "active"
COMPLETE = "complete"
FAILED = "failed"
CANCELLED = "cancelled"

_INDEX = re.compile(r"[0-9]{1,15}")


class Resources(NamedTuple):
    """Thousandths of a core, memory in MB and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum, field by field."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, field by field; it may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def times(self, factor: float) -> "Resources":
        """Return the product, field by field, rounded."""
        return Resources(
            round(self.cpu_millis * factor),
            round(self.memory_mb * factor),
            round(self.gpus * factor),
        )

    def covers(self, other: "Resources") -> bool:
        """Return whether ``other`` fits into these resources."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


class StepSpec(NamedTuple):
    """A step of a job: ``count`` tasks with the same requirements.

    ``after`` lists the steps that must be done first. The worker must carry
    ``label``; outside ``data_rack`` a task takes longer. At most ``per_worker``
    tasks run on one worker, zero meaning no limit. ``speculative`` is kept as
    declared; no rule depends on it. A ``lasting`` step runs until its job is
    cancelled. A ``filling`` step uses processors that other tasks leave idle and
    reserves none.
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
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: int = 0
    filling: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources that one task reserves on a worker."""
        if self.filling:
            return self.need._replace(cpu_millis=0)
        return self.need


class JobGraph(NamedTuple):
    """A job as accepted: its steps and when they may run.

    ``occurrences`` is zero for a job that runs once and may start immediately.
    Times are wall time in seconds; ``priority`` zero is the most urgent. An
    occurrence should end within ``stretch`` times its declared run time plus
    ``slo_seconds``.
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
        """Number of times that the steps run, at least once."""
        return max(1, self.occurrences)

    @property
    def tasks_per_occurrence(self) -> int:
        """Number of tasks of all steps."""
        return sum(step.count for step in self.steps)

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences."""
        return self.tasks_per_occurrence * self.occurrence_count

    def due_at(self, occurrence: int) -> float:
        """Return the wall time in seconds at which an occurrence may begin."""
        if not self.occurrences:
            return 0.0
        return self.first_due + occurrence * self.period_seconds

    @property
    def is_lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)


class TaskId(NamedTuple):
    """Identity of a task, unique across jobs."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_id(text: str) -> TaskId | None:
    """Parse the text form of a task's identity; return ``None`` if it is invalid."""
    parts = text.split(".")
    if len(parts) != 4 or not all(_INDEX.fullmatch(part) for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class Lifetime(NamedTuple):
    """One lifetime of a worker; ``started_ms`` is its start in Unix milliseconds."""

    worker_id: str = ""
    started_ms: int = 0


class Machine(NamedTuple):
    """The machine of a worker across its lifetimes.

    ``host`` is the worker's agent. A worker that returns with other ``labels`` is on a
    machine of another kind.
    """

    host: str = ""
    labels: tuple[str, ...] = ()


class MachineSpeed(NamedTuple):
    """What is known of a machine's speed relative to the typical one.

    ``error`` is the standard error of the speed's logarithm.
    """

    speed: float
    error: float


class WorkerTimes(NamedTuple):
    """What workers promise of leases and checkpoints, in seconds.

    A lease lasts ``max_lease`` at most, whatever is asked for. A stop takes up to
    ``stop``, a start from a checkpoint ``restore``.
    """

    max_lease: float = 10.0
    stop: float = 0.4
    restore: float = 0.1


TYPICAL_TIMES = WorkerTimes()


class CrashRecord(NamedTuple):
    """Crashes of workers under a task since a run of it last proved sound.

    ``count`` workers have crashed under it, ``sole`` of them with no other possible
    cause. By the time of a crash a run had worked for up to ``worked_seconds``. A
    ``suspected`` task runs apart from others. ``run`` is the last one that a crash
    ended, ``host`` where that was.
    """

    count: int = 0
    sole: int = 0
    worked_seconds: float = 0.0
    suspected: bool = False
    run: int = 0
    host: str = ""


class TaskState(NamedTuple):
    """Recorded state of a task.

    ``run`` numbers its starts. ``host`` is the agent on whose worker, in lifetime
    ``lifetime``, the run may exist; it is empty once the run has certainly ended.
    ``token`` is the newest known checkpoint. ``failed_run`` is the last run that
    failed by itself. For a gang the first member has the ``failures``.
    ``done`` is set once a run has ended done; a task that lasts runs again all the
    same, see ``is_finished``.
    """

    run: int = 0
    host: str = ""
    lifetime: Lifetime = Lifetime()
    done: bool = False
    failures: int = 0
    failed_run: int = 0
    token: str = ""
    crashes: CrashRecord | None = None

    @property
    def placed(self) -> bool:
        """Whether a run may exist on some worker."""
        return bool(self.host)


def is_finished(step: StepSpec, state: TaskState) -> bool:
    """Return whether a task of a step never runs again.

    A task that lasts runs until its job is cancelled, however its runs end.
    """
    return state.done and not step.lasting


class JobProgress(NamedTuple):
    """Recorded state of a job: its final state, if any, and that of its tasks.

    Tasks that were never placed are omitted. A task's key consists of its
    occurrence, step and index, see ``task_key``. ``begun`` is set once a worker has
    had a run of the job, which its placement does not show.
    """

    state: str = ""
    tasks: dict[str, TaskState] = {}
    ended_at: float = 0.0
    begun: bool = False


def task_key(task: TaskId) -> str:
    """Return the key of a task inside its job's progress."""
    return f"{task.occurrence}.{task.step}.{task.index}"


def is_task_key(key: str) -> bool:
    """Return whether ``key`` may be a task's key inside a job's progress."""
    return parse_task_id(f"j.{key}") is not None


def encode(value: Any) -> bytes:
    """Return ``value`` as the bytes of a store record."""
    return msgspec.msgpack.encode(value)


def decode_job(data: bytes) -> JobGraph:
    """Return the job in a store record; raise ``msgspec.DecodeError``."""
    return decode_msgpack(data, JobGraph)


def decode_progress(data: bytes) -> JobProgress:
    """Return the progress in a store record; raise ``msgspec.DecodeError``."""
    progress = decode_msgpack(data, JobProgress)
    for key in progress.tasks:
        if not is_task_key(key):
            raise msgspec.ValidationError("a task's key is not of three numbers")
    return progress
