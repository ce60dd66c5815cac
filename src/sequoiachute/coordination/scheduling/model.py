"""What a scheduling decision sees and says."""

from typing import NamedTuple

from sequoiachute.protocol.workload import Lifetime, Resources, StepSpec, TaskId

URGENT_PRIORITY = 0  # guarantees hold for it, and it preempts others


class Running(NamedTuple):
    """A run that may be on a host.

    ``left_seconds`` is the expected time to its end, ``unsaved_seconds`` the
    work that would be lost if it were stopped now; both are guesses until the
    run's progress was ``measured``. A ``stalled`` run makes no progress; a task
    that was ``moved`` once for a worker's slowness is not moved again.
    ``rest_seconds`` is the expected time from the end of its step to the end of
    the job.
    """

    task: TaskId
    run: int
    need: Resources
    priority: int
    account: str
    gang: bool
    left_seconds: float
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
    rest_seconds: float = 0.0
    accepted_at: float = 0.0


class Host(NamedTuple):
    """A worker that may be given tasks.

    ``speed`` is its learned speed against the typical worker. ``suspicion``
    counts its recent failures that no success has followed. A worker that
    leaves stays for ``leaving_seconds`` at least.
    """

    name: str
    life: Lifetime
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_open: bool
    speed: float
    suspicion: int
    running: tuple[Running, ...]
    leaving_seconds: float | None = None


class Unit(NamedTuple):
    """Tasks of one step that wait: a whole gang, or tasks placed one by one.

    ``deadline`` is the time until which the job earns its full worth, on the
    scale of ``View.now``; ``chain_seconds`` is the expected time from the
    start of this step to the end of the job. ``avoid`` names hosts per task
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
    avoid: frozenset[str]
    placed_per_host: dict[str, int]
    last_attempt: bool = False
    guaranteed: bool = False
    queue: str = ""
    tickets: dict[str, str] | None = None


class View(NamedTuple):
    """Everything that a decision rests on; ``now`` is in seconds."""

    now: float
    hosts: tuple[Host, ...]
    units: tuple[Unit, ...]


class Placement(NamedTuple):
    """A task that is to run on a host.

    ``expected_seconds`` is the time it should take there; ``slack_seconds``
    what would be left until the job's objective if that were so.
    """

    task: TaskId
    host: str
    life: Lifetime
    ticket: str = ""
    expected_seconds: float = 0.0
    slack_seconds: float = 0.0


class Stop(NamedTuple):
    """A run that is to be stopped, and why; ``moves`` if it is too slow there."""

    task: TaskId
    run: int
    host: str
    reason: str
    moves: bool = False


class Decision(NamedTuple):
    """Placements and stops; if ``is_cut`` more would follow at once."""

    placements: tuple[Placement, ...] = ()
    stops: tuple[Stop, ...] = ()
    is_cut: bool = False
