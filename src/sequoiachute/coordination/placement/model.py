"""Input and output types of the placement policies."""

from typing import NamedTuple, Protocol

from sequoiachute.protocol.catalogue import Catalogue, Shape
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job
from sequoiachute.state.run_times import RunTimes

NO_RUN_TIMES = RunTimes()


class MemberPlacement(NamedTuple):
    """The worker and the accelerator indices of one gang member."""

    worker_id: str
    accelerators: tuple[int, ...]


class Eviction(NamedTuple):
    """A running attempt of a job to stop.

    ``coordination.causes`` derives the cause of the job's next wait from words
    in ``reason``.
    """

    job_id: str
    attempt: int
    reason: str


class Placement(NamedTuple):
    """A gang to start once all of ``evictions`` have taken effect."""

    job_id: str
    members: tuple[MemberPlacement, ...]
    guaranteed: bool
    evictions: tuple[Eviction, ...] = ()


class Unplaceable(NamedTuple):
    """A job that can never run; ``reason`` is for its caller."""

    job_id: str
    reason: str


class BlockedJob(NamedTuple):
    """A queued job that cannot run until operators act; ``reason`` says why."""

    job_id: str
    reason: str


class Shortfall(NamedTuple):
    """A guaranteed shape that does not fit on the workers in service."""

    account: str
    shape: Shape


class PlacementDecision(NamedTuple):
    """The result of one placement round.

    ``blocked`` and ``shortfalls`` are for operators and callers only; the placer
    takes no action on them.
    """

    placements: tuple[Placement, ...] = ()
    unplaceable: tuple[Unplaceable, ...] = ()
    blocked: tuple[BlockedJob, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()


class PlacementView(NamedTuple):
    """The input of one placement round.

    Attributes
    ----------
    workers : tuple of Worker
        Workers that are live and in service.
    queued : tuple of Job
        Queued jobs in order of acceptance.
    running : tuple of Job
        Started jobs.
    catalogue : Catalogue
        The catalogue in force.
    now : float
        Wall time in seconds, the time base of the jobs' timestamps.
    starting : tuple of Placement
        Placements of earlier rounds that the workers do not report yet.
    unavailable : tuple of Worker
        Known workers that may start nothing: out of service, leaving or silent.
    run_times : RunTimes
        Observed against declared run times.
    """

    workers: tuple[Worker, ...]
    queued: tuple[Job, ...]
    running: tuple[Job, ...]
    catalogue: Catalogue
    now: float
    starting: tuple[Placement, ...] = ()
    unavailable: tuple[Worker, ...] = ()
    run_times: RunTimes = NO_RUN_TIMES


class PlacementPolicy(Protocol):
    """Decides placement rounds without side effects outside itself."""

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return the placements to start now."""
        ...


def domain_of(worker: Worker, within: str) -> tuple[str, ...]:
    """Return the key of the ``within`` domain that ``worker`` belongs to."""
    if within == "worker":
        return (worker.data_centre, worker.rack, worker.worker_id)
    if within == "rack":
        return (worker.data_centre, worker.rack)
    return (worker.data_centre,)
