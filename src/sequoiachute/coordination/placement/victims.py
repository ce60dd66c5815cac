"""Selects the jobs to evict and prices the work that is lost with them."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from sequoiachute.coordination.placement.allocations import AllocatedTask, Node
from sequoiachute.coordination.placement.extents import block_around, extent_masks
from sequoiachute.coordination.placement.model import Eviction, PlacementView
from sequoiachute.state.jobs import Job

RESTART_SECONDS = 15.0  # lost by a job that resumes from a checkpoint
MAX_RERUN_WORK = 1200.0  # accelerator-seconds lost by a job without checkpoints
MAX_RERUN_ATTEMPTS = 2  # of a job without checkpoints, after which it is not evicted
MIN_RUN_SECONDS = 60.0  # before a checkpointable job may be evicted for a starved gang


class EvictionGround(Enum):
    """The reason that entitles a job to evict borrowers.

    A guarantee evicts any borrower, urgent work those that are not urgent, and
    a starved gang those that lose little, mostly by resuming from a checkpoint.
    """

    GUARANTEED = "guaranteed"
    URGENT = "urgent"
    STARVED = "starved"


class EvictionCosts:
    """Computes the costs of evictions during one round.

    A cost is the accelerator-seconds that the whole job loses. Jobs that an
    earlier decision evicts cost nothing more.
    """

    def __init__(self, view: PlacementView, running: dict[str, Job]) -> None:
        self._running = running
        self._now = view.now
        self._cost_by_job: dict[str, float] = {}
        self._urgent = set()
        for name, job_class in view.catalogue["classes"].items():
            if job_class.get("urgent"):
                self._urgent.add(name)
        for placement in view.starting:
            for eviction in placement.evictions:
                self._cost_by_job[eviction.job_id] = 0.0

    def mark_evicted(self, evictions: Iterable[Eviction]) -> None:
        """Record evictions decided in this round."""
        for eviction in evictions:
            self._cost_by_job[eviction.job_id] = 0.0

    def cost(self, job_id: str) -> float:
        """Return the accelerator-seconds lost when ``job_id`` is evicted."""
        known_cost = self._cost_by_job.get(job_id)
        if known_cost is not None:
            return known_cost
        job = self._running.get(job_id)
        cost = 1.0
        if job is not None:
            spec = job.spec
            held = spec["tasks"] * max(1, spec["accelerators"])
            lost = max(0.0, self._now - job.started_at)
            if spec.get("checkpointable"):
                lost = min(lost, RESTART_SECONDS)
            cost += lost * held
        self._cost_by_job[job_id] = cost
        return cost

    def may_evict(self, task: AllocatedTask, ground: EvictionGround, size: int) -> bool:
        """Return whether a job of ``size`` accelerators may evict ``task``."""
        if task.guaranteed or task.starting:
            return False
        if ground is EvictionGround.GUARANTEED:
            return True
        if ground is EvictionGround.STARVED:
            return self.may_evict_for_starved(task, size)
        job = self._running.get(task.job_id)
        return job is None or job.job_class not in self._urgent

    def may_evict_for_starved(self, task: AllocatedTask, size: int) -> bool:
        """Return whether a starved gang of ``size`` accelerators may evict ``task``.

        Only a larger gang may, so that two gangs can't evict each other in
        turn. A job without checkpoints is evicted only while it loses little,
        and only in its first attempts.
        """
        job = self._running.get(task.job_id)
        if job is None or task.guaranteed or task.starting:
            return False
        if job.job_class in self._urgent:
            return False
        if job.spec["tasks"] * job.spec["accelerators"] >= size:
            return False
        if job.spec.get("checkpointable"):
            return self._now - job.started_at >= MIN_RUN_SECONDS
        return (
            job.attempt <= MAX_RERUN_ATTEMPTS
            and self.cost(task.job_id) <= MAX_RERUN_WORK
        )


class EvictionOption(NamedTuple):
    """An extent on one worker and the jobs to evict from it."""

    cost: float
    split_size: int  # length of the block that the extent splits
    mask: int
    victims: frozenset[str]


def eviction_options(
    node: Node,
    need: int,
    usable: int,
    costs: EvictionCosts,
    ground: EvictionGround,
    size: int,
) -> list[EvictionOption]:
    """Return the extents of ``need`` that evictions can free, cheapest first.

    ``usable`` is the mask of the accelerators to consider.
    """
    evictable = []
    for task in node.tasks:
        if costs.may_evict(task, ground, size):
            evictable.append(task)
    reachable = node.free
    for task in evictable:
        reachable |= task.mask & ~node.protected
    usable &= reachable
    options = []
    for mask in extent_masks(node.size, need):
        if mask & usable != mask:
            continue
        leaving = {task.job_id for task in evictable if task.mask & mask}
        cost = sum(costs.cost(job_id) for job_id in leaving)
        split_size = block_around(node.size, mask, usable)
        options.append(EvictionOption(cost, split_size, mask, frozenset(leaving)))
    options.sort(key=lambda option: option[:3])
    return options


def choose_options(
    node: Node,
    need: int,
    count: int,
    usable: int,
    costs: EvictionCosts,
    ground: EvictionGround,
    size: int,
) -> list[EvictionOption]:
    """Return up to ``count`` disjoint options on ``node``, each with a slot."""
    if need == 0:
        return _choose_slots(node, count, costs, ground, size)
    chosen: list[EvictionOption] = []
    leaving: set[str] = set()
    for option in eviction_options(node, need, usable, costs, ground, size):
        if len(chosen) == count:
            break
        if any(option.mask & other.mask for other in chosen):
            continue
        slot_victims = _victims_for_slot(
            node, len(chosen), leaving | option.victims, costs, ground, size
        )
        if slot_victims is None:
            break
        leaving |= option.victims | slot_victims
        cost = option.cost + sum(costs.cost(job_id) for job_id in slot_victims)
        chosen.append(option._replace(cost=cost, victims=option.victims | slot_victims))
    return chosen


def _choose_slots(
    node: Node, count: int, costs: EvictionCosts, ground: EvictionGround, size: int
) -> list[EvictionOption]:
    chosen: list[EvictionOption] = []
    leaving: set[str] = set()
    while len(chosen) < count:
        slot_victims = _victims_for_slot(
            node, len(chosen), leaving, costs, ground, size
        )
        if slot_victims is None:
            break
        leaving |= slot_victims
        cost = sum(costs.cost(job_id) for job_id in slot_victims)
        chosen.append(EvictionOption(cost, 0, 0, slot_victims))
    return chosen


def _victims_for_slot(
    node: Node,
    chosen: int,
    leaving: set[str],
    costs: EvictionCosts,
    ground: EvictionGround,
    size: int,
) -> frozenset[str] | None:
    """Return the job to evict besides ``leaving`` for one more slot.

    The set is empty if a slot is free; ``None`` if none can be freed.
    """
    slots = node.slots - chosen
    cheapest = None
    for task in node.tasks:
        if task.job_id in leaving:
            slots += 1
            continue
        if not costs.may_evict(task, ground, size):
            continue
        if cheapest is None or costs.cost(task.job_id) < costs.cost(cheapest):
            cheapest = task.job_id
    if slots > 0:
        return frozenset()
    return None if cheapest is None else frozenset({cheapest})


def evictions_of(
    victims: Iterable[str], nodes: Iterable[Node], reason: str
) -> tuple[Eviction, ...]:
    """Return the evictions of ``victims`` with their running attempts."""
    job_ids = set(victims)
    attempts = {}
    for node in nodes:
        for task in node.tasks:
            if task.job_id in job_ids and not task.starting:
                attempts[task.job_id] = task.attempt
    evictions = []
    for job_id in sorted(attempts):
        evictions.append(Eviction(job_id, attempts[job_id], reason))
    return tuple(evictions)
