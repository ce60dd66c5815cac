"""Policies that every other policy is measured against."""

from sequoiachute.coordination.placement.model import (
    Decision,
    MemberPlacement,
    Placement,
    PlacementView,
    domain_of,
)
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job


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
