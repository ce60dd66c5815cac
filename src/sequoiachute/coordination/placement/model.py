"""What a placement policy sees and what it decides."""

from typing import NamedTuple, Protocol

from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job


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


class Decision(NamedTuple):
    """Everything decided in one round."""

    placements: tuple[Placement, ...] = ()
    unplaceable: tuple[Unplaceable, ...] = ()


class PlacementView(NamedTuple):
    """What a policy decides on.

    ``workers`` are live and in service; ``running`` are started jobs and
    ``queued`` waits in order of acceptance. ``now`` is wall time in seconds,
    the time base of the jobs' stamps.
    """

    workers: tuple[Worker, ...]
    queued: tuple[Job, ...]
    running: tuple[Job, ...]
    catalogue: Catalogue
    now: float


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
