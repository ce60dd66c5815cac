"""Who holds which accelerators, kept from round to round."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiachute.coordination.placement.model import (
    MemberPlacement,
    Placement,
    domain_of,
)
from sequoiachute.coordination.placement.extents import mask_of
from sequoiachute.protocol.catalogue import Within
from sequoiachute.state.fleet import Worker

Domain = tuple[str, ...]


class HeldTask(NamedTuple):
    """A task on a worker; ``starting`` ones are not reported by it yet."""

    job_id: str
    attempt: int
    account: str
    mask: int
    guaranteed: bool
    starting: bool


class GuaranteedJob(NamedTuple):
    """A job that runs under its account's guarantee, by worker and mask."""

    account: str
    parts: dict[str, int]


class Node:
    """One worker during a round.

    Attributes
    ----------
    free, fixed : int
        Masks of the accelerators that nobody holds and of those that no
        eviction can free.
    slots : int
        Slots left.
    """

    __slots__ = ("fixed", "free", "size", "slots", "tasks", "worker", "worker_id")

    def __init__(self, worker: Worker) -> None:
        self.read(worker)

    def read(self, worker: Worker) -> None:
        """Take over the report of ``worker``, and only that."""
        self.worker = worker
        self.worker_id = worker.worker_id
        self.size = worker.accelerators
        self.free = (1 << worker.accelerators) - 1
        self.fixed = 0
        self.slots = worker.slots
        self.tasks: list[HeldTask] = []
        for occupant in worker.occupants:
            task = HeldTask(
                occupant.job_id,
                occupant.attempt,
                occupant.account,
                mask_of(occupant.accelerators),
                occupant.guaranteed,
                starting=False,
            )
            self.hold(task)

    def hold(self, task: HeldTask) -> None:
        """Take the accelerators and the slot of ``task``."""
        self.tasks.append(task)
        self.free &= ~task.mask
        self.slots -= 1
        if task.guaranteed or task.starting:
            self.fixed |= task.mask


class Board:
    """The workers in service and what they hold.

    Only workers whose report changed, or that a decision touched, are read
    anew. ``version`` grows when workers come, go or change their shape.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.version = 0
        self._touched: set[str] = set()
        self._domains: dict[str, dict[Domain, list[Node]]] = {}

    def refresh(
        self,
        workers: Iterable[Worker],
        starting: Iterable[Placement],
        accounts: dict[str, str],
    ) -> None:
        """Take over the workers' reports and the placements under way.

        ``accounts`` names the client account of every job that is starting.
        """
        nodes = {}
        changed = False
        for worker in workers:
            node = self.nodes.get(worker.worker_id)
            if node is None:
                node = Node(worker)
                changed = True
            elif node.worker is not worker:
                changed = changed or _shape(node.worker) != _shape(worker)
                node.read(worker)
            elif worker.worker_id in self._touched:
                node.read(worker)
            nodes[worker.worker_id] = node
        if changed or len(nodes) != len(self.nodes):
            self.version += 1
            self._domains.clear()
        self.nodes = nodes
        self._touched.clear()
        for placement in starting:
            account = accounts.get(placement.job_id, "")
            self._overlay(placement, account)

    def domains(self, within: Within) -> dict[Domain, list[Node]]:
        """Return the workers by the ``within`` that they lie in."""
        domains = self._domains.get(within)
        if domains is None:
            domains = {}
            for node in self.nodes.values():
                domains.setdefault(domain_of(node.worker, within), []).append(node)
            for nodes in domains.values():
                nodes.sort(key=_position)
            self._domains[within] = domains
        return domains

    def hold(
        self,
        job_id: str,
        account: str,
        members: Iterable[MemberPlacement],
        guaranteed: bool,
    ) -> None:
        """Note a placement decided in this round."""
        for member in members:
            node = self.nodes[member.worker_id]
            mask = mask_of(member.accelerators)
            node.hold(HeldTask(job_id, 0, account, mask, guaranteed, starting=True))
            self._touched.add(member.worker_id)

    def guaranteed_jobs(self) -> dict[str, GuaranteedJob]:
        """Return the jobs that run or start under a guarantee."""
        jobs: dict[str, GuaranteedJob] = {}
        for node in self.nodes.values():
            if not node.fixed:
                continue
            for task in node.tasks:
                if not task.guaranteed:
                    continue
                job = jobs.get(task.job_id)
                if job is None:
                    job = jobs[task.job_id] = GuaranteedJob(task.account, {})
                job.parts[node.worker_id] = job.parts.get(node.worker_id, 0) | task.mask
        return jobs

    def _overlay(self, placement: Placement, account: str) -> None:
        """Hold what a placement under way needs and no worker reports yet."""
        reported = set()
        for member in placement.members:
            node = self.nodes.get(member.worker_id)
            if node is None:
                continue
            for task in node.tasks:
                if task.job_id == placement.job_id and not task.starting:
                    reported.add(member.worker_id)
        for member in placement.members:
            if member.worker_id in reported or member.worker_id not in self.nodes:
                continue
            self.hold(placement.job_id, account, (member,), placement.guaranteed)


def _shape(worker: Worker) -> tuple[str, str, int, str, int]:
    return (
        worker.data_centre,
        worker.rack,
        worker.accelerators,
        worker.speed_class,
        worker.position,
    )


def _position(node: Node) -> tuple[str, int, str]:
    return (node.worker.rack, node.worker.position, node.worker_id)
