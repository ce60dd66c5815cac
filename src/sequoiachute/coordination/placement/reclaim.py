"""Plans evictions for guaranteed work, urgent work and starved gangs."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.allocations import AllocationTable, Node
from sequoiachute.coordination.placement.bindings import GuaranteeBindings
from sequoiachute.coordination.placement.blocks import (
    Block,
    Guarantee,
    ShapeKey,
    has_speed_class,
    multi_worker_block,
    single_worker_extents,
)
from sequoiachute.coordination.placement.extents import indices_of
from sequoiachute.coordination.placement.model import (
    MemberPlacement,
    Placement,
    domain_of,
)
from sequoiachute.coordination.placement.victims import (
    EvictionCosts,
    EvictionGround,
    EvictionOption,
    choose_options,
    evictions_of,
)
from sequoiachute.protocol.catalogue import Within
from sequoiachute.state.jobs import Job

MAX_LOSS_SHARE = 0.1  # of a starved gang's own work that its evictions may lose
MAX_COSTED_BLOCKS = 6  # blocks whose eviction cost is computed per guaranteed start


class EvictionPlan(NamedTuple):
    """A placement of a gang, the jobs to evict for it and what they lose."""

    cost: float
    members: tuple[MemberPlacement, ...]
    victims: frozenset[str]


class _CandidateBlock(NamedTuple):
    """A block that a shape may be bound to, in order of preference."""

    held: int  # accelerators that tasks hold
    is_rebinding: bool
    claimed: int  # accelerators that other guarantees are bound to
    slowness: float
    block: Block


class EvictionPlanner:
    """Plans the cheapest evictions during one round.

    Parameters
    ----------
    late_binding : bool
        Whether an idle shape may be bound to a cheaper block when it is used.
    """

    def __init__(
        self,
        allocations: AllocationTable,
        bindings: GuaranteeBindings,
        costs: EvictionCosts,
        late_binding: bool,
    ) -> None:
        self._allocations = allocations
        self._bindings = bindings
        self._costs = costs
        self._late_binding = late_binding

    def place_guaranteed(self, job: Job) -> Placement | None:
        """Return a placement under the guarantee of the job's account, or ``None``."""
        for key in self._bindings.bound_shapes(job.account):
            if not self._may_fit(key, job):
                continue
            plan = self._plan_for_shape(key, job)
            if plan is None:
                continue
            self._bindings.assign(key, job.job_id, masks_of(plan.members))
            reason = f"client account {job.account} reclaims its guarantee"
            return self._placement(job, plan, True, reason)
        return None

    def place_urgent(self, job: Job) -> Placement | None:
        """Return a placement that may evict jobs that are not urgent, or ``None``."""
        best = None
        for nodes in self._domains(job):
            places = [(node, (1 << node.size) - 1) for node in nodes]
            plan = self._plan(job, places, EvictionGround.URGENT)
            if plan is not None and (best is None or plan.cost < best.cost):
                best = plan
                if not best.victims:
                    break
        if best is None:
            return None
        return self._placement(job, best, False, "preempted by urgent work")

    def place_starved(self, job: Job, block: Block) -> Placement | None:
        """Return a placement inside the reservation ``block``, or ``None``.

        Its evictions may lose ``MAX_LOSS_SHARE`` of the gang's own work.
        """
        places = [(self._allocations.nodes[name], mask) for name, mask in block.items()]
        plan = self._plan(job, places, EvictionGround.STARVED)
        if plan is None:
            return None
        if (
            plan.cost
            > MAX_LOSS_SHARE * _gang_accelerators(job) * job.spec["run_seconds"]
        ):
            return None
        return self._placement(
            job, plan, False, "preempted by a gang that has waited too long"
        )

    def _domains(self, job: Job) -> Iterable[Sequence[Node]]:
        if job.spec["tasks"] == 1:
            return [list(self._allocations.nodes.values())]
        return self._allocations.domains(job.spec["within"]).values()

    def _may_fit(self, key: ShapeKey, job: Job) -> bool:
        """Return whether enough of the shape is unprotected; cheap first check."""
        spec = job.spec
        size = spec["tasks"] * spec["accelerators"]
        if not spec["accelerators"]:
            return False
        remaining = self._bindings.guarantees[key].shape["accelerators"]
        if not self._bindings.is_idle(key):
            remaining = 0
            for worker_id, mask in self._bindings.blocks[key].items():
                remaining += (
                    mask & ~self._allocations.nodes[worker_id].protected
                ).bit_count()
        return size <= remaining

    def _plan_for_shape(self, key: ShapeKey, job: Job) -> EvictionPlan | None:
        block = self._bindings.blocks[key]
        if not self._late_binding or not self._bindings.is_idle(key):
            return self._plan_in_block(job, block)
        costed = []
        for rank, candidate in enumerate(self._ranked_blocks(key, job)):
            plan = self._plan_in_block(job, candidate.block)
            if plan is not None:
                costed.append((plan.cost, rank, plan, candidate.block))
        costed.sort(key=lambda entry: entry[:2])
        for _, _, plan, target in costed:
            if self._bindings.rebind(key, target, self._allocations):
                return plan
        return None

    def _ranked_blocks(self, key: ShapeKey, job: Job) -> list[_CandidateBlock]:
        """Return the most promising blocks, always including the current one."""
        guarantee = self._bindings.guarantees[key]
        current = self._bindings.blocks[key]
        found = [self._candidate(current, current)]
        for block in self._possible_blocks(key, guarantee):
            if block == current:
                continue
            node = self._allocations.nodes[next(iter(block))]
            if not has_speed_class(node, job.spec.get("speed_class")):
                continue
            found.append(self._candidate(block, current))
        found.sort(key=lambda candidate: candidate[:4])
        chosen = found[:MAX_COSTED_BLOCKS]
        if all(candidate.is_rebinding for candidate in chosen):
            chosen.append(self._candidate(current, current))
        return chosen

    def _possible_blocks(self, key: ShapeKey, guarantee: Guarantee) -> Iterator[Block]:
        blocked = self._bindings.blocked_for_rebinding(key)
        shape = guarantee.shape
        if shape["within"] == "worker":
            for node, mask in single_worker_extents(self._allocations, shape, blocked):
                yield {node.worker_id: mask}
            return
        for nodes in self._allocations.domains(shape["within"]).values():
            block = multi_worker_block(sorted(nodes, key=_occupancy), shape, blocked)
            if block is not None:
                yield block

    def _candidate(self, block: Block, current: Block) -> _CandidateBlock:
        held = 0
        claimed = 0
        slowness = 0.0
        for worker_id, mask in block.items():
            node = self._allocations.nodes[worker_id]
            held += (mask & ~node.free).bit_count()
            claims = self._bindings.claims.get(worker_id, 0)
            claimed += (mask & claims & ~current.get(worker_id, 0)).bit_count()
            slowness = max(slowness, 1 / node.worker.speed)
        return _CandidateBlock(held, block is not current, claimed, slowness, block)

    def _plan_in_block(self, job: Job, block: Block) -> EvictionPlan | None:
        speed_class = job.spec.get("speed_class")
        groups: dict[tuple[str, ...], list[tuple[Node, int]]] = {}
        for worker_id, mask in block.items():
            node = self._allocations.nodes[worker_id]
            if not has_speed_class(node, speed_class):
                continue
            domain = domain_of(node.worker, _gang_domain(job))
            groups.setdefault(domain, []).append((node, mask))
        best = None
        for places in groups.values():
            plan = self._plan(job, places, EvictionGround.GUARANTEED)
            if plan is not None and (best is None or plan.cost < best.cost):
                best = plan
        return best

    def _plan(
        self, job: Job, places: Sequence[tuple[Node, int]], ground: EvictionGround
    ) -> EvictionPlan | None:
        """Return the cheapest plan inside the masks of ``places``."""
        spec = job.spec
        remaining = spec["tasks"]
        node_options: list[tuple[float, Node, list[EvictionOption]]] = []
        total = 0
        for node, mask in places:
            if spec.get("speed_class", node.worker.speed_class) != (
                node.worker.speed_class
            ):
                continue
            options = choose_options(
                node,
                spec["accelerators"],
                remaining,
                mask,
                self._costs,
                ground,
                _gang_accelerators(job),
            )
            if not options:
                continue
            node_options.append(
                (sum(option.cost for option in options) / len(options), node, options)
            )
            total += len(options)
            if remaining == 1 and not options[0].victims:
                node_options = node_options[-1:]
                break
        if total < remaining:
            return None
        node_options.sort(key=lambda entry: entry[0])
        members = []
        victims: set[str] = set()
        for _, node, options in node_options:
            for option in options[:remaining]:
                members.append(MemberPlacement(node.worker_id, indices_of(option.mask)))
                victims |= option.victims
            remaining -= min(remaining, len(options))
            if not remaining:
                break
        cost = sum(self._costs.cost(job_id) for job_id in victims)
        return EvictionPlan(cost, tuple(members), frozenset(victims))

    def _placement(
        self, job: Job, plan: EvictionPlan, is_guaranteed: bool, reason: str
    ) -> Placement:
        nodes = [self._allocations.nodes[member.worker_id] for member in plan.members]
        evictions = evictions_of(plan.victims, nodes, reason)
        self._costs.mark_evicted(evictions)
        return Placement(job.job_id, plan.members, is_guaranteed, evictions)


def masks_of(members: Iterable[MemberPlacement]) -> dict[str, int]:
    """Return the accelerator mask of ``members`` by worker ID."""
    masks: dict[str, int] = {}
    for member in members:
        mask = masks.get(member.worker_id, 0)
        for index in member.accelerators:
            mask |= 1 << index
        masks[member.worker_id] = mask
    return masks


def _gang_accelerators(job: Job) -> int:
    return job.spec["tasks"] * job.spec["accelerators"]


def _gang_domain(job: Job) -> Within:
    return "data_centre" if job.spec["tasks"] == 1 else job.spec["within"]


def _occupancy(node: Node) -> tuple[int, int]:
    return (node.size - node.free.bit_count(), node.worker.position)
