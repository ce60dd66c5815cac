"""What a scheduling decision sees and says."""

from typing import NamedTuple

from sequoiachute.protocol.workload import Life, Resources, StepSpec, TaskId

URGENT_PRIORITY = 0  # guarantees hold for it, and it preempts others


class ActiveRun(NamedTuple):
    """A run that may be on a host.

    ``remaining_seconds`` is the expected time to its end, ``unsaved_seconds`` the
    work that would be lost if it were stopped now; both are guesses until the
    run's progress was ``measured``. A ``stalled`` run makes no progress; a task
    that was ``moved`` once for a worker's slowness is not moved again.
    ``downstream_seconds`` is the expected time from the end of its step to the end of
    the job.
    """

    task: TaskId
    run: int
    need: Resources
    priority: int
    account: str
    gang: bool
    remaining_seconds: float
    unsaved_seconds: float
    stopping: bool
    lasting: bool = False
    guaranteed: bool = False
    measured: bool = False
    moved: bool = False
    stalled: bool = False
    percent: int = 0
    step: StepSpec = StepSpec(1, Resources())
    service: str = ""
    deadline: float = 0.0
    downstream_seconds: float = 0.0
    accepted_at: float = 0.0


class Host(NamedTuple):
    """A worker that may be given tasks.

    ``speed`` is its learned speed against the typical worker. ``recent_failures``
    counts its recent failures that no success has followed. A worker that
    leaves stays for ``leaving_seconds`` at least.
    """

    name: str
    life: Life
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_open: bool
    speed: float
    recent_failures: int
    running: tuple[ActiveRun, ...]
    leaving_seconds: float | None = None


class SchedulingUnit(NamedTuple):
    """Tasks of one step that wait: a whole gang, or tasks placed one by one.

    ``deadline`` is the time until which the job earns its full worth, on the
    scale of ``SchedulingView.now``; ``chain_seconds`` is the expected time from the
    start of this step to the end of the job. ``avoided_hosts`` names hosts per task
    where it has failed. ``guaranteed`` work is within what the catalogue
    guarantees its account. With ``tickets`` only the workers that have one may
    run it.
    """

    account: str
    priority: int
    deadline: float
    chain_seconds: float
    accepted_at: float
    service: str
    step: StepSpec
    tasks: tuple[TaskId, ...]
    avoided_hosts: frozenset[str]
    placed_per_host: dict[str, int]
    last_attempt: bool = False
    guaranteed: bool = False
    queue: str = ""
    tickets: dict[str, str] | None = None


class SchedulingView(NamedTuple):
    """Everything that a decision rests on; ``now`` is in seconds."""

    now: float
    hosts: tuple[Host, ...]
    units: tuple[SchedulingUnit, ...]


class TaskPlacement(NamedTuple):
    """A task that is to run on a host.

    ``expected_seconds`` is the time it should take there; ``slack_seconds``
    what would be left until the job's objective if that were so.
    """

    task: TaskId
    host: str
    life: Life
    ticket: str = ""
    expected_seconds: float = 0.0
    slack_seconds: float = 0.0


class RunStop(NamedTuple):
    """A run that is to be stopped, and why; ``is_migration`` if it is too slow there."""

    task: TaskId
    run: int
    host: str
    reason: str
    is_migration: bool = False


class SchedulingDecision(NamedTuple):
    """Placements and stops; if ``is_truncated`` more would follow at once."""

    placements: tuple[TaskPlacement, ...] = ()
    stops: tuple[RunStop, ...] = ()
    is_truncated: bool = False
