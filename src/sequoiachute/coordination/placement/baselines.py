"""Simple policies that serve as baselines in benchmarks.

They respect placements under way but know neither guarantees nor evictions.
"""

from collections.abc import Callable, Sequence

from sequoiachute.coordination.placement.allocations import AllocationTable, Node
from sequoiachute.coordination.placement.extents import (
    extent_masks,
    indices_of,
    pack_extents,
)
from sequoiachute.coordination.placement.model import (
    MemberPlacement,
    Placement,
    PlacementDecision,
    PlacementView,
)
from sequoiachute.state.jobs import Job

FindMembers = Callable[[Job, AllocationTable], tuple[MemberPlacement, ...] | None]


class FirstFitPolicy:
    """Places jobs in order of acceptance on the first workers that fit.

    A round ends at the first job that does not fit.
    """

    def __init__(self) -> None:
        self._allocations = AllocationTable()

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return the placements to start now."""
        return _decide(self._allocations, view, _first_fit, skip_misfits=False)


class BestFitPolicy:
    """Places every job that fits where the fewest accelerators are free.

    Jobs that do not fit are skipped, so that large gangs may starve.
    """

    def __init__(self) -> None:
        self._allocations = AllocationTable()

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return the placements to start now."""
        return _decide(self._allocations, view, _best_fit, skip_misfits=True)


def _decide(
    allocations: AllocationTable,
    view: PlacementView,
    find: FindMembers,
    skip_misfits: bool,
) -> PlacementDecision:
    """Place jobs in order of acceptance where ``find`` puts them."""
    allocations.refresh(view.workers, view.starting, {})
    placements = []
    for job in view.queued:
        members = find(job, allocations)
        if members is None:
            if skip_misfits:
                continue
            break
        allocations.allocate(job.job_id, job.account, members, guaranteed=False)
        placements.append(Placement(job.job_id, members, guaranteed=False))
    return PlacementDecision(tuple(placements))


def _first_fit(
    job: Job, allocations: AllocationTable
) -> tuple[MemberPlacement, ...] | None:
    for nodes in allocations.domains(job.spec["within"]).values():
        members = _fill(job, nodes, best_fit=False)
        if members is not None:
            return members
    return None


def _best_fit(
    job: Job, allocations: AllocationTable
) -> tuple[MemberPlacement, ...] | None:
    domains = allocations.domains(job.spec["within"]).values()
    for nodes in sorted(domains, key=_total_free):
        members = _fill(job, sorted(nodes, key=_free_count), best_fit=True)
        if members is not None:
            return members
    return None


def _fill(
    job: Job, nodes: Sequence[Node], best_fit: bool
) -> tuple[MemberPlacement, ...] | None:
    """Return the gang on the first ``nodes`` that fit, or ``None``."""
    tasks = job.spec["tasks"]
    members: list[MemberPlacement] = []
    for node in nodes:
        if job.spec.get("speed_class", node.worker.speed_class) != (
            node.worker.speed_class
        ):
            continue
        limit = min(tasks - len(members), max(0, node.slots))
        for extent in _free_extents(node, job.spec["accelerators"], best_fit)[:limit]:
            members.append(MemberPlacement(node.worker_id, indices_of(extent)))
        if len(members) == tasks:
            return tuple(members)
    return None


def _free_extents(node: Node, need: int, best_fit: bool) -> Sequence[int]:
    if not need:
        return (0,) * max(0, node.slots)
    if best_fit:
        return pack_extents(node.size, need, node.free)
    return [
        extent
        for extent in extent_masks(node.size, need)
        if extent & node.free == extent
    ]


def _free_count(node: Node) -> int:
    return node.free.bit_count()


def _total_free(nodes: Sequence[Node]) -> int:
    return sum(_free_count(node) for node in nodes)
