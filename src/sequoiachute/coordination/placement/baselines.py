"""Policies that every other policy is measured against.

They take the placements under way into account, but know neither guarantees
nor evictions.
"""

from collections.abc import Callable, Sequence

from sequoiachute.coordination.placement.board import Board, Node
from sequoiachute.coordination.placement.model import (
    PlacementDecision,
    MemberPlacement,
    Placement,
    PlacementView,
)
from sequoiachute.coordination.placement.extents import indices_of, pack_extents, run_masks
from sequoiachute.state.jobs import Job

Find = Callable[[Job, Board], tuple[MemberPlacement, ...] | None]


class FirstFitPolicy:
    """Takes jobs in order of acceptance and the first place that fits.

    It stops at the first job that does not fit.
    """

    def __init__(self) -> None:
        self._board = Board()

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return what to start now."""
        return _decide(self._board, view, _first_fit, passes_over=False)


class BestFitPolicy:
    """Takes every job that fits, where it leaves the fewest accelerators over.

    Jobs that do not fit are passed over, so that large gangs may starve.
    """

    def __init__(self) -> None:
        self._board = Board()

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return what to start now."""
        return _decide(self._board, view, _best_fit, passes_over=True)


def _decide(
    board: Board, view: PlacementView, find: Find, passes_over: bool
) -> PlacementDecision:
    """Take jobs in order of acceptance wherever ``find`` puts them."""
    board.refresh(view.workers, view.starting, {})
    placements = []
    for job in view.queued:
        members = find(job, board)
        if members is None:
            if passes_over:
                continue
            break
        board.hold(job.job_id, job.account, members, guaranteed=False)
        placements.append(Placement(job.job_id, members, guaranteed=False))
    return PlacementDecision(tuple(placements))


def _first_fit(job: Job, board: Board) -> tuple[MemberPlacement, ...] | None:
    for nodes in board.domains(job.spec["within"]).values():
        members = _fill(job, nodes, tight=False)
        if members is not None:
            return members
    return None


def _best_fit(job: Job, board: Board) -> tuple[MemberPlacement, ...] | None:
    domains = board.domains(job.spec["within"]).values()
    for nodes in sorted(domains, key=_free_accelerators):
        members = _fill(job, sorted(nodes, key=_free_on), tight=True)
        if members is not None:
            return members
    return None


def _fill(
    job: Job, nodes: Sequence[Node], tight: bool
) -> tuple[MemberPlacement, ...] | None:
    """Return the gang on the first of ``nodes``, ``None`` if it doesn't fit."""
    tasks = job.spec["tasks"]
    members: list[MemberPlacement] = []
    for node in nodes:
        if job.spec.get("speed_class", node.worker.speed_class) != (
            node.worker.speed_class
        ):
            continue
        room = min(tasks - len(members), max(0, node.slots))
        for run in _runs(node, job.spec["accelerators"], tight)[:room]:
            members.append(MemberPlacement(node.worker_id, indices_of(run)))
        if len(members) == tasks:
            return tuple(members)
    return None


def _runs(node: Node, need: int, tight: bool) -> Sequence[int]:
    if not need:
        return (0,) * max(0, node.slots)
    if tight:
        return pack_extents(node.size, need, node.free)
    return [run for run in run_masks(node.size, need) if run & node.free == run]


def _free_on(node: Node) -> int:
    return node.free.bit_count()


def _free_accelerators(nodes: Sequence[Node]) -> int:
    return sum(_free_on(node) for node in nodes)
