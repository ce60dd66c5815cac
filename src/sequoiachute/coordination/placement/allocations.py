"""Tracks which task holds which accelerators, from round to round."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiachute.coordination.placement.extents import mask_of
from sequoiachute.coordination.placement.model import (
    MemberPlacement,
    Placement,
    domain_of,
)
from sequoiachute.protocol.catalogue import Within
from sequoiachute.state.fleet import Worker

Domain = tuple[str, ...]


class AllocatedTask(NamedTuple):
    """A task on a worker; one that is ``starting`` is not yet reported by it."""

    job_id: str
    attempt: int
    account: str
    mask: int
    guaranteed: bool
    starting: bool


class GuaranteedJob(NamedTuple):
    """A job under its account's guarantee and its accelerator mask by worker ID."""

    account: str
    masks: dict[str, int]


class Node:
    """The free and allocated accelerators of one worker.

    Attributes
    ----------
    free : int
        Mask of the accelerators that no task holds.
    protected : int
        Mask of the accelerators that no eviction can free.
    slots : int
        Free slots.
    """

    __slots__ = ("free", "protected", "size", "slots", "tasks", "worker", "worker_id")

    def __init__(self, worker: Worker) -> None:
        self.load(worker)

    def load(self, worker: Worker) -> None:
        """Reset to the state that ``worker`` reports."""
        self.worker = worker
        self.worker_id = worker.worker_id
        self.size = worker.accelerators
        self.free = (1 << worker.accelerators) - 1
        self.protected = 0
        self.slots = worker.slots
        self.tasks: list[AllocatedTask] = []
        for occupant in worker.occupants:
            task = AllocatedTask(
                occupant.job_id,
                occupant.attempt,
                occupant.account,
                mask_of(occupant.accelerators),
                occupant.guaranteed,
                starting=False,
            )
            self.allocate(task)

    def allocate(self, task: AllocatedTask) -> None:
        """Allocate the accelerators and the slot of ``task``."""
        self.tasks.append(task)
        self.free &= ~task.mask
        self.slots -= 1
        if task.guaranteed or task.starting:
            self.protected |= task.mask


class AllocationTable:
    """The allocations on the workers in service.

    Only workers with a new report, or on which the last round placed something,
    are reloaded. ``version`` grows when workers come, go or change their
    accelerators, speed class or position.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.version = 0
        self._stale: set[str] = set()
        self._domains: dict[str, dict[Domain, list[Node]]] = {}

    def refresh(
        self,
        workers: Iterable[Worker],
        starting: Iterable[Placement],
        accounts: dict[str, str],
    ) -> None:
        """Update from the workers' reports and the placements under way.

        ``accounts`` maps the ID of every starting job to its client account.
        """
        nodes = {}
        changed = False
        for worker in workers:
            node = self.nodes.get(worker.worker_id)
            if node is None:
                node = Node(worker)
                changed = True
            elif node.worker is not worker:
                changed = changed or _topology(node.worker) != _topology(worker)
                node.load(worker)
            elif worker.worker_id in self._stale:
                node.load(worker)
            nodes[worker.worker_id] = node
        if changed or len(nodes) != len(self.nodes):
            self.version += 1
            self._domains.clear()
        self.nodes = nodes
        self._stale.clear()
        for placement in starting:
            account = accounts.get(placement.job_id, "")
            self._allocate_starting(placement, account)

    def domains(self, within: Within) -> dict[Domain, list[Node]]:
        """Return the workers by domain, each domain ordered by rack position."""
        domains = self._domains.get(within)
        if domains is None:
            domains = {}
            for node in self.nodes.values():
                domains.setdefault(domain_of(node.worker, within), []).append(node)
            for nodes in domains.values():
                nodes.sort(key=_rack_order)
            self._domains[within] = domains
        return domains

    def allocate(
        self,
        job_id: str,
        account: str,
        members: Iterable[MemberPlacement],
        guaranteed: bool,
    ) -> None:
        """Allocate the members of a placement decided in this round."""
        for member in members:
            node = self.nodes[member.worker_id]
            mask = mask_of(member.accelerators)
            node.allocate(
                AllocatedTask(job_id, 0, account, mask, guaranteed, starting=True)
            )
            self._stale.add(member.worker_id)

    def guaranteed_jobs(self) -> dict[str, GuaranteedJob]:
        """Return the running and starting jobs under a guarantee, by job ID."""
        jobs: dict[str, GuaranteedJob] = {}
        for node in self.nodes.values():
            if not node.protected:
                continue
            for task in node.tasks:
                if not task.guaranteed:
                    continue
                job = jobs.get(task.job_id)
                if job is None:
                    job = jobs[task.job_id] = GuaranteedJob(task.account, {})
                job.masks[node.worker_id] = job.masks.get(node.worker_id, 0) | task.mask
        return jobs

    def _allocate_starting(self, placement: Placement, account: str) -> None:
        """Allocate the members of a starting placement that are not reported yet."""
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
            self.allocate(placement.job_id, account, (member,), placement.guaranteed)


def _topology(worker: Worker) -> tuple[str, str, int, str, int]:
    return (
        worker.data_centre,
        worker.rack,
        worker.accelerators,
        worker.speed_class,
        worker.position,
    )


def _rack_order(node: Node) -> tuple[str, int, str]:
    return (node.worker.rack, node.worker.position, node.worker_id)
