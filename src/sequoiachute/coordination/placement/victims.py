"""Borrowers that can make room, and the work that is lost with each."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from sequoiachute.coordination.placement.board import HeldTask, Node
from sequoiachute.coordination.placement.model import Eviction, PlacementView
from sequoiachute.coordination.placement.extents import block_around, run_masks
from sequoiachute.state.jobs import Job

RESTART_SECONDS = 15.0  # lost by a job that stops at a checkpoint and goes on
RERUN_WORK = 1200.0  # accelerator-seconds that may be run again for a gang
MOST_RERUNS = 2
SETTLED_SECONDS = 60.0  # that a job runs before it may be moved for a gang


class Claim(Enum):
    """On what grounds borrowers are evicted.

    Any borrower yields to a guarantee; to urgent work only what is not urgent
    itself; to a gang that starves only what goes on from a checkpoint.
    """

    GUARANTEED = "guaranteed"
    URGENT = "urgent"
    STARVED = "starved"


class Victims:
    """Prices evictions during one round.

    A price is in accelerator-seconds: what the whole job loses. Jobs that an
    earlier decision already stops cost nothing more.
    """

    def __init__(self, view: PlacementView, running: dict[str, Job]) -> None:
        self._running = running
        self._now = view.now
        self._prices: dict[str, float] = {}
        self._urgent = set()
        for name, job_class in view.catalogue["classes"].items():
            if job_class.get("urgent"):
                self._urgent.add(name)
        for placement in view.starting:
            for eviction in placement.evictions:
                self._prices[eviction.job_id] = 0.0

    def settle(self, evictions: Iterable[Eviction]) -> None:
        """Note evictions decided in this round."""
        for eviction in evictions:
            self._prices[eviction.job_id] = 0.0

    def price(self, job_id: str) -> float:
        """Return the accelerator-seconds lost when ``job_id`` is evicted."""
        known = self._prices.get(job_id)
        if known is not None:
            return known
        job = self._running.get(job_id)
        price = 1.0
        if job is not None:
            spec = job.spec
            held = spec["tasks"] * max(1, spec["accelerators"])
            lost = max(0.0, self._now - job.started_at)
            if spec.get("checkpointable"):
                lost = min(lost, RESTART_SECONDS)
            price += lost * held
        self._prices[job_id] = price
        return price

    def may_evict(self, task: HeldTask, claim: Claim, size: int) -> bool:
        """Return whether ``task`` must yield to a job of ``size`` accelerators."""
        if task.guaranteed or task.starting:
            return False
        if claim is Claim.GUARANTEED:
            return True
        if claim is Claim.STARVED:
            return self.may_move(task, size)
        job = self._running.get(task.job_id)
        return job is None or job.job_class not in self._urgent

    def may_move(self, task: HeldTask, size: int) -> bool:
        """Return whether ``task`` may be stopped for a gang that starves.

        It never yields to a gang that is no larger than itself, so that gangs
        can't chase one another. What has no checkpoint is stopped only while
        little is lost, and only in its first attempts.
        """
        job = self._running.get(task.job_id)
        if job is None or task.guaranteed or task.starting:
            return False
        if job.job_class in self._urgent:
            return False
        if job.spec["tasks"] * job.spec["accelerators"] >= size:
            return False
        if job.spec.get("checkpointable"):
            return self._now - job.started_at >= SETTLED_SECONDS
        return job.attempt <= MOST_RERUNS and self.price(task.job_id) <= RERUN_WORK


class Room(NamedTuple):
    """A run on one worker and the jobs that must leave it."""

    price: float
    broken: int  # length of the free block that the run breaks
    mask: int
    victims: frozenset[str]


def rooms_on(
    node: Node,
    need: int,
    usable: int,
    victims: Victims,
    claim: Claim,
    size: int,
) -> list[Room]:
    """Return the runs of ``need`` that evictions can free, cheapest first.

    ``usable`` masks the accelerators that may be considered at all.
    """
    evictable = []
    for task in node.tasks:
        if victims.may_evict(task, claim, size):
            evictable.append(task)
    room = node.free
    for task in evictable:
        room |= task.mask & ~node.fixed
    usable &= room
    found = []
    for mask in run_masks(node.size, need):
        if mask & usable != mask:
            continue
        leaving = {task.job_id for task in evictable if task.mask & mask}
        price = sum(victims.price(job_id) for job_id in leaving)
        broken = block_around(node.size, mask, usable)
        found.append(Room(price, broken, mask, frozenset(leaving)))
    found.sort(key=lambda room: room[:3])
    return found


def take_rooms(
    node: Node,
    need: int,
    count: int,
    usable: int,
    victims: Victims,
    claim: Claim,
    size: int,
) -> list[Room]:
    """Return up to ``count`` disjoint rooms on ``node``, slots included."""
    if need == 0:
        return _take_slots(node, count, victims, claim, size)
    taken: list[Room] = []
    leaving: set[str] = set()
    for room in rooms_on(node, need, usable, victims, claim, size):
        if len(taken) == count:
            break
        if any(room.mask & other.mask for other in taken):
            continue
        slot = _free_slot(
            node, len(taken), leaving | room.victims, victims, claim, size
        )
        if slot is None:
            break
        leaving |= room.victims | slot
        price = room.price + sum(victims.price(job_id) for job_id in slot)
        taken.append(room._replace(price=price, victims=room.victims | slot))
    return taken


def _take_slots(
    node: Node, count: int, victims: Victims, claim: Claim, size: int
) -> list[Room]:
    taken: list[Room] = []
    leaving: set[str] = set()
    while len(taken) < count:
        slot = _free_slot(node, len(taken), leaving, victims, claim, size)
        if slot is None:
            break
        leaving |= slot
        price = sum(victims.price(job_id) for job_id in slot)
        taken.append(Room(price, 0, 0, slot))
    return taken


def _free_slot(
    node: Node, taken: int, leaving: set[str], victims: Victims, claim: Claim, size: int
) -> frozenset[str] | None:
    """Return who must leave besides ``leaving`` for one more slot."""
    slots = node.slots - taken
    cheapest = None
    for task in node.tasks:
        if task.job_id in leaving:
            slots += 1
            continue
        if not victims.may_evict(task, claim, size):
            continue
        if cheapest is None or victims.price(task.job_id) < victims.price(cheapest):
            cheapest = task.job_id
    if slots > 0:
        return frozenset()
    return None if cheapest is None else frozenset({cheapest})


def evictions_of(
    victims: Iterable[str], nodes: Iterable[Node], reason: str
) -> tuple[Eviction, ...]:
    """Return the evictions of ``victims`` with the attempts that run."""
    wanted = set(victims)
    attempts = {}
    for node in nodes:
        for task in node.tasks:
            if task.job_id in wanted and not task.starting:
                attempts[task.job_id] = task.attempt
    evictions = []
    for job_id in sorted(attempts):
        evictions.append(Eviction(job_id, attempts[job_id], reason))
    return tuple(evictions)
