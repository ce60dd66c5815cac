"""Placement policies: which job goes where, and who must make room."""

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


class FirstFitPolicy:
    """Takes jobs in order of acceptance and the first place that fits.

    The baseline that every other policy is measured against. It knows neither
    guarantees nor evictions and stops at the first job that does not fit.
    """

    def decide(self, view: PlacementView) -> Decision:
        """Return what to start now."""
        free = {w.worker_id: list(w.free_accelerators) for w in view.workers}
        slots = {w.worker_id: w.free_slots for w in view.workers}
        placements = []
        for job in view.queued:
            members = _first_fit(job, view.workers, free, slots)
            if members is None:
                break
            for member in members:
                slots[member.worker_id] -= 1
                for index in member.accelerators:
                    free[member.worker_id].remove(index)
            placements.append(Placement(job.job_id, members, guaranteed=False))
        return Decision(tuple(placements))


def domain_of(worker: Worker, within: str) -> tuple[str, ...]:
    """Return the worker, rack or data centre that ``worker`` lies in."""
    if within == "worker":
        return (worker.data_centre, worker.rack, worker.worker_id)
    if within == "rack":
        return (worker.data_centre, worker.rack)
    return (worker.data_centre,)


def _first_fit(
    job: Job,
    workers: tuple[Worker, ...],
    free: dict[str, list[int]],
    slots: dict[str, int],
) -> tuple[MemberPlacement, ...] | None:
    need = job.spec["accelerators"]
    domains: dict[tuple[str, ...], list[MemberPlacement]] = {}
    for worker in workers:
        if job.spec.get("speed_class", worker.speed_class) != worker.speed_class:
            continue
        members = domains.setdefault(domain_of(worker, job.spec["within"]), [])
        left = free[worker.worker_id]
        room = slots[worker.worker_id]
        if need:
            room = min(room, len(left) // need)
        for index in range(room):
            if len(members) == job.spec["tasks"]:
                break
            chosen = tuple(left[index * need : (index + 1) * need])
            members.append(MemberPlacement(worker.worker_id, chosen))
        if len(members) == job.spec["tasks"]:
            return tuple(members)
    return None
