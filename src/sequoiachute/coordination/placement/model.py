"""What a placement policy sees and what it decides."""

from typing import NamedTuple, Protocol

from sequoiachute.protocol.catalogue import Catalogue, Shape
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job
from sequoiachute.state.run_times import RunTimes

NO_RUN_TIMES = RunTimes()


class MemberPlacement(NamedTuple):
    """Where one member of a gang goes."""

    worker_id: str
    accelerators: tuple[int, ...]


class Eviction(NamedTuple):
    """A borrower that must make room."""

    job_id: str
    attempt: int
    reason: str


class Placement(NamedTuple):
    """A gang to start once every eviction has taken effect."""

    job_id: str
    members: tuple[MemberPlacement, ...]
    guaranteed: bool
    evictions: tuple[Eviction, ...] = ()


class Unplaceable(NamedTuple):
    """A job that can never run, with the reason for its caller."""

    job_id: str
    reason: str


class Waiting(NamedTuple):
    """A queued job that only operators can help, with what would."""

    job_id: str
    reason: str


class Shortfall(NamedTuple):
    """A guaranteed shape that the workers in service cannot hold now."""

    account: str
    shape: Shape


class Decision(NamedTuple):
    """Everything decided in one round.

    ``waiting`` and ``shortfalls`` tell how things stand; nothing is to be done
    about them but to tell operators and callers.
    """

    placements: tuple[Placement, ...] = ()
    unplaceable: tuple[Unplaceable, ...] = ()
    waiting: tuple[Waiting, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()


class PlacementView(NamedTuple):
    """What a policy decides on.

    ``workers`` are live and in service; ``running`` are started jobs and
    ``queued`` waits in order of acceptance. ``now`` is wall time in seconds,
    the time base of the jobs' stamps. ``starting`` are placements decided
    earlier that the workers do not report yet, and ``out`` the known workers
    that may not start anything: out of service, leaving or silent.
    """

    workers: tuple[Worker, ...]
    queued: tuple[Job, ...]
    running: tuple[Job, ...]
    catalogue: Catalogue
    now: float
    starting: tuple[Placement, ...] = ()
    out: tuple[Worker, ...] = ()
    run_times: RunTimes = NO_RUN_TIMES


class Policy(Protocol):
    """Decides one round of placement without side effects."""

    def decide(self, view: PlacementView) -> Decision:
        """Return what to start now."""
        ...


def domain_of(worker: Worker, within: str) -> tuple[str, ...]:
    """Return the worker, rack or data centre that ``worker`` lies in."""
    if within == "worker":
        return (worker.data_centre, worker.rack, worker.worker_id)
    if within == "rack":
        return (worker.data_centre, worker.rack)
    return (worker.data_centre,)
