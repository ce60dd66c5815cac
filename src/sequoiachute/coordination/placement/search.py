"""Finds the cheapest place for a gang without evictions."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.allocations import AllocationTable, Node
from sequoiachute.coordination.placement.bindings import GuaranteeBindings
from sequoiachute.coordination.placement.extents import indices_of, pack_extents
from sequoiachute.coordination.placement.model import MemberPlacement
from sequoiachute.coordination.placement.reservations import (
    DepartureForecast,
    Reservations,
)
from sequoiachute.state.jobs import Job

PINNING_COST = 0.5  # of placing the first job without checkpoints on a worker
CLAIMED_COST = 0.5  # of using accelerators that a guarantee may reclaim
MIN_FRAGMENTATION_WEIGHT = 0.05  # breaks ties between equal workers by fragmentation


class WorkerOption(NamedTuple):
    """The extents that one worker offers to a gang and their cost per task."""

    cost: float
    position: int
    node: Node
    extents: tuple[int, ...]


class FreePlacementSearch:
    """Finds free accelerators for gangs during one round.

    Parameters
    ----------
    fragmentation_weight : float
        From 0, only the expected completion time counts, to 1, only the
        fragmentation that a placement causes.
    pinned : set of str
        Workers with jobs that can't resume from a checkpoint. More such jobs
        go there first, so that the other workers can be cleared for gangs.
    """

    def __init__(
        self,
        allocations: AllocationTable,
        bindings: GuaranteeBindings,
        reservations: Reservations,
        forecast: DepartureForecast,
        fragmentation_weight: float,
        pinned: set[str],
    ) -> None:
        self._allocations = allocations
        self._bindings = bindings
        self._reservations = reservations
        self._forecast = forecast
        self._fragmentation_weight = (
            MIN_FRAGMENTATION_WEIGHT
            + (1 - MIN_FRAGMENTATION_WEIGHT) * fragmentation_weight
        )
        self._pinned = pinned
        speeds = [node.worker.speed for node in allocations.nodes.values()]
        self._top_speed = max(speeds, default=1.0)

    def find(self, job: Job) -> tuple[MemberPlacement, ...] | None:
        """Return the cheapest free placement of the whole gang, or ``None``."""
        tasks = job.spec["tasks"]
        if tasks == 1:
            option = self._cheapest_option(job, self._allocations.nodes.values())
            return (
                None
                if option is None
                else members_of([(option.node, option.extents[:1])])
            )
        best = None
        least_cost = float("inf")
        for nodes in self._allocations.domains(job.spec["within"]).values():
            chosen, cost = self._cheapest_in_domain(job, nodes)
            if chosen and cost < least_cost:
                best = chosen
                least_cost = cost
        return None if best is None else members_of(best)

    def _cheapest_in_domain(
        self, job: Job, nodes: Sequence[Node]
    ) -> tuple[list[tuple[Node, tuple[int, ...]]], float]:
        """Return the cheapest extents of one domain for the gang and their cost.

        The list is empty if the gang doesn't fit.
        """
        remaining = job.spec["tasks"]
        options = []
        fitting = 0
        for position, node in enumerate(nodes):
            option = self._option(job, node, position, remaining)
            if option is not None:
                options.append(option)
                fitting += len(option.extents)
        if fitting < remaining:
            return [], 0.0
        options.sort(key=_by_cost)
        chosen = []
        cost = 0.0
        for option in options:
            extents = option.extents[:remaining]
            chosen.append((option.node, extents))
            cost += option.cost * len(extents)
            remaining -= len(extents)
            if not remaining:
                break
        slowest = min(node.worker.speed for node, _ in chosen)
        speed_penalty = (1 - self._fragmentation_weight) * (
            1 - slowest / self._top_speed
        )
        return chosen, cost / job.spec["tasks"] + speed_penalty

    def _cheapest_option(self, job: Job, nodes: Iterable[Node]) -> WorkerOption | None:
        best = None
        for node in nodes:
            if node.slots <= 0:
                continue
            option = self._option(job, node, 0, 1)
            if option is not None and (best is None or option.cost < best.cost):
                best = option
        return best

    def _option(
        self, job: Job, node: Node, position: int, limit: int
    ) -> WorkerOption | None:
        need = job.spec["accelerators"]
        if node.slots <= 0 or node.free.bit_count() < need:
            return None
        worker = node.worker
        if job.spec.get("speed_class", worker.speed_class) != worker.speed_class:
            return None
        limit = min(limit, node.slots)
        withheld = 0
        if self._reservations.has_on(node):
            ends_at = self._forecast.expected_end(job, worker.speed)
            withheld = self._reservations.withheld_mask(job.job_id, ends_at, node)
        speed_penalty = (1 - self._fragmentation_weight) * (
            1 - worker.speed / self._top_speed
        )
        if need == 0:
            if withheld:
                return None
            fragmentation = min(1.0, node.free.bit_count() / node.slots)
            return WorkerOption(
                self._fragmentation_weight * fragmentation + speed_penalty,
                position,
                node,
                (0,) * limit,
            )
        usable = node.free & ~withheld
        extents = self._extents(node, need, usable, limit)
        if not extents:
            return None
        leftover_share = (usable.bit_count() - need * len(extents)) / node.size
        cost = self._fragmentation_weight * leftover_share + speed_penalty
        claims = self._bindings.claimed_on(node)
        if claims and any(extent & claims for extent in extents):
            cost += CLAIMED_COST
        is_resumable = job.spec.get("checkpointable")
        if not is_resumable and node.size > need and node.worker_id not in self._pinned:
            cost += PINNING_COST * self._fragmentation_weight
        return WorkerOption(cost, position, node, extents)

    def _extents(
        self, node: Node, need: int, usable: int, limit: int
    ) -> tuple[int, ...]:
        """Return up to ``limit`` extents, unclaimed by guarantees if possible."""
        unclaimed = usable & ~self._bindings.claimed_on(node)
        if unclaimed != usable:
            extents = pack_extents(node.size, need, unclaimed)
            if len(extents) >= limit:
                return extents[:limit]
        return pack_extents(node.size, need, usable)[:limit]


def members_of(
    chosen: Iterable[tuple[Node, Sequence[int]]],
) -> tuple[MemberPlacement, ...]:
    """Return the members that hold the masks on each node."""
    members = []
    for node, masks in chosen:
        for mask in masks:
            members.append(MemberPlacement(node.worker_id, indices_of(mask)))
    return tuple(members)


def _by_cost(option: WorkerOption) -> tuple[float, int]:
    return (option.cost, option.position)
