"""Input and output types of the scheduling policy."""

from typing import NamedTuple

from sequoiachute.protocol.workload import Lifetime, Resources, StepSpec, TaskId

PROOF_SECONDS = 20.0  # for which a successful start shows that a worker is sound
URGENT_PRIORITY = 0  # work that guarantees cover and that preempts other work
# For a preferred host or rack, beside idle capacity. With a round and the start itself
# work starts within 3 s.
MAX_IDLE_WAIT_SECONDS = 2.0


class ActiveRun(NamedTuple):
    """A run of a task that occupies a host, or may still do so.

    Attributes
    ----------
    need : Resources
        What the run holds on the host.
    remaining_seconds : float
        Expected time to the end of the run.
    unsaved_seconds : float
        Work that is lost if the run is stopped now.
    stopping : bool
        Whether the run has been asked to stop.
    lasting : bool
        Whether the step has no end of its own.
    measured : bool
        Whether the two times rest on observed progress; else they are estimates.
    moved : bool
        Whether the task was migrated from a slow worker before; this is done
        once at most.
    stalled_seconds : float
        Time for which the run has made no progress; zero unless it should have.
    preemptions : int
        How often the task has been stopped for other work.
    percent : int
        Reported progress.
    deadline : float
        Time until which the job earns its full worth.
    downstream_seconds : float
        Expected time from the end of the run's step to the end of the job.
    stretch : float
        Seconds of the objective for each second of the job's work.
    suspected : bool
        Whether the task may have crashed a worker.
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
    stalled_seconds: float = 0.0
    preemptions: int = 0
    percent: int = 0
    step: StepSpec = StepSpec(1, Resources())
    service: str = ""
    deadline: float = 0.0
    downstream_seconds: float = 0.0
    accepted_at: float = 0.0
    stretch: float = 1.0
    suspected: bool = False


class Host(NamedTuple):
    """A worker and the runs on it.

    Attributes
    ----------
    is_open : bool
        Whether the worker accepts new tasks.
    speed : float
        Observed speed relative to the typical worker.
    speed_error : float
        Standard error of the logarithm of ``speed``.
    recent_failures : int
        Recent failures that no success has followed.
    doubt_age : float
        Seconds since the newest failure that no success has followed; infinite
        without one.
    proof_age : float
        Seconds since a run began there that has succeeded, if none has failed since;
        infinite without one.
    is_reserved : bool
        Whether the worker should run empty for its upkeep.
    leaving_seconds : float or None
        Time for which a leaving worker stays at least; ``None`` if it does not
        leave.
    has_suspect : bool
        Whether a task runs there that may have crashed a worker.
    """

    name: str
    lifetime: Lifetime
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
    speed_error: float = 0.0
    doubt_age: float = float("inf")
    proof_age: float = float("inf")
    is_reserved: bool = False
    has_suspect: bool = False

    @property
    def is_proven(self) -> bool:
        """Whether a run that began lately has succeeded."""
        return self.proof_age < PROOF_SECONDS


class SchedulingUnit(NamedTuple):
    """Pending tasks of one step: a whole gang, or tasks placed independently.

    Attributes
    ----------
    deadline : float
        Time until which the job earns its full worth, on the scale of
        ``SchedulingView.now``.
    chain_seconds : float
        Expected time from the start of this step to the end of the job.
    accepted_at : float
        Start of the job's objective, on the same scale.
    avoided_hosts : frozenset of str
        The ``tried_hosts``, and those on which others of the job have failed and
        nothing has succeeded since.
    placed_per_host : dict of str to int
        Tasks of the step already placed on each host.
    last_attempt : bool
        Whether the next failure fails the job.
    failed_before : bool
        Whether a run of one of the tasks has failed.
    failed_seconds : float
        Time since the job's newest failure.
    needs_proof : bool
        Whether only proven hosts may get the tasks.
    only_doubtful : bool
        Whether the tasks fit only if hosts in doubt take some.
    takes_any_host : bool
        Whether neither missing proof nor doubt excludes a host.
    may_split : bool
        Whether a step that prefers one rack may run on several.
    waiting_seconds : float
        Time for which the tasks could have run and none has.
    guaranteed : bool
        Whether the catalogue's guarantee to the client account covers the work.
    returning : bool
        Whether runs of the tasks still have to end, so that nothing can be placed yet.
    stretch : float
        Seconds of the objective for each second of the job's work.
    waves : int
        In how many waves the objective lets the step run.
    running : int
        Tasks of the step that run, or may still do so.
    charged_work : float
        Work of others that has been stopped for the step so far, in core-seconds.
    tickets : dict of str to str, or None
        Permits by worker ID; only these workers may run the tasks. ``None``
        means that no permit is needed.
    tried_hosts : frozenset of str
        Hosts on which the tasks have failed, were too slow or have lately not been
        started.
    needs_untried : bool
        Whether ``tried_hosts`` may not get the tasks.
    paused_hosts : frozenset of str
        Hosts that have refused to start the tasks a moment ago.
    suspected : bool
        Whether the task, or the gang, may have crashed a worker.
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
    failed_before: bool = False
    failed_seconds: float = float("inf")
    needs_proof: bool = False
    only_doubtful: bool = False
    takes_any_host: bool = False
    may_split: bool = False
    waiting_seconds: float = 0.0
    guaranteed: bool = False
    returning: bool = False
    stretch: float = 1.0
    waves: int = 1
    running: int = 0
    charged_work: float = 0.0
    queue: str = ""
    tickets: dict[str, str] | None = None
    tried_hosts: frozenset[str] = frozenset()
    needs_untried: bool = False
    paused_hosts: frozenset[str] = frozenset()
    suspected: bool = False

    @property
    def min_tasks(self) -> int:
        """The smallest number of tasks that can be placed."""
        return len(self.tasks) if self.step.gang else 1

    @property
    def is_overdue(self) -> bool:
        """Whether the tasks have waited as long as they may beside idle capacity."""
        return self.waiting_seconds >= MAX_IDLE_WAIT_SECONDS

    @property
    def needs_empty_host(self) -> bool:
        """Whether a suspected task still waits for a host on which nothing runs."""
        return self.suspected and not self.is_overdue

    @property
    def is_tight(self) -> bool:
        """Whether the objective leaves urgent work no time for a slow host."""
        return self.priority == URGENT_PRIORITY and self.waves == 1


class SchedulingView(NamedTuple):
    """The input of one decision.

    Attributes
    ----------
    now : float
        Wall time in seconds.
    is_gathering : bool
        Whether more agents are expected to report to a new placer at any moment.
    """

    now: float
    hosts: tuple[Host, ...]
    units: tuple[SchedulingUnit, ...]
    is_gathering: bool = False


class TaskPlacement(NamedTuple):
    """A task to start on a host.

    ``expected_seconds`` is its expected run time there, ``slack_seconds`` the
    time that then remains until the job's deadline.
    """

    task: TaskId
    host: str
    lifetime: Lifetime
    ticket: str = ""
    expected_seconds: float = 0.0
    slack_seconds: float = 0.0


class RunStop(NamedTuple):
    """A run to stop; ``is_migration`` if it should run again on a faster worker.

    ``leaves_host`` says that it should not start on the same worker again. The part of
    ``reason`` before " for " is a label of the metric ``runs_stopped_total``.
    ``beneficiary`` is the job ID, occurrence and step that it makes room for,
    ``lost_work`` the core-seconds that it throws away.
    """

    task: TaskId
    run: int
    host: str
    reason: str
    is_migration: bool = False
    leaves_host: bool = False
    beneficiary: tuple[str, int, int] | None = None
    lost_work: float = 0.0


class SchedulingDecision(NamedTuple):
    """Runs to start and to stop.

    ``is_truncated`` says that the bound on searches ended the round early and
    another round may decide more at once.
    """

    placements: tuple[TaskPlacement, ...] = ()
    stops: tuple[RunStop, ...] = ()
    is_truncated: bool = False
