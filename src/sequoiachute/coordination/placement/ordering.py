"""The order in which queued jobs are tried."""

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from sequoiachute.coordination.placement.model import PlacementView
from sequoiachute.state.jobs import Job

AGE_SECONDS = 150.0  # of waiting outweigh a doubling of run time or size


class _Group(NamedTuple):
    priority: int
    account: str


class Shares:
    """Weighted dominant share of each client account beyond its guarantees.

    A share is the larger of the account's parts of all accelerators and of
    all slots, divided by its weight.
    """

    def __init__(self, view: PlacementView, guaranteed: set[str]) -> None:
        self._accelerators = max(1, sum(w.accelerators for w in view.workers))
        self._slots = max(1, sum(w.slots for w in view.workers))
        self._weights = {}
        self._borrowed: dict[str, tuple[int, int]] = {}
        self.held: dict[str, int] = {}
        for name, account in view.catalogue["accounts"].items():
            self._weights[name] = account.get("weight", 1.0)
        for job in view.running:
            self.add(job, job.job_id in guaranteed)

    def add(self, job: Job, guaranteed: bool) -> None:
        """Count what ``job`` holds."""
        accelerators = job.spec["tasks"] * job.spec["accelerators"]
        self.held[job.account] = self.held.get(job.account, 0) + accelerators
        if guaranteed:
            return
        held, slots = self._borrowed.get(job.account, (0, 0))
        self._borrowed[job.account] = (held + accelerators, slots + job.spec["tasks"])

    def of(self, account: str) -> float:
        """Return the weighted dominant share of ``account``."""
        held, slots = self._borrowed.get(account, (0, 0))
        dominant = max(held / self._accelerators, slots / self._slots)
        return dominant / self._weights.get(account, 1.0)


class JobQueue:
    """Orders jobs by class, fair share and what the weight prefers.

    The rank of a job never changes against others that wait, so it is worked
    out once.
    """

    def __init__(self, fragmentation_weight: float) -> None:
        self._weight = fragmentation_weight
        self._ranks: dict[str, float] = {}

    def order(self, view: PlacementView, shares: Shares) -> Iterator[Job]:
        """Yield the queued jobs in the order in which to try them.

        Within a class the account with the least share comes first; one whose
        job did not start stands behind the others, so that what waits can't
        hide the rest.
        """
        groups = self._grouped(view)
        turns = dict.fromkeys(groups, 0)
        heap = []
        for group in groups:
            heap.append((-group.priority, 0, shares.of(group.account), group))
        heapq.heapify(heap)
        while heap:
            _, failed, before, group = heapq.heappop(heap)
            jobs = groups[group]
            yield jobs[turns[group]]
            turns[group] += 1
            if turns[group] == len(jobs):
                continue
            share = shares.of(group.account)
            if share == before:
                failed += 1
            heapq.heappush(heap, (-group.priority, failed, share, group))

    def _grouped(self, view: PlacementView) -> dict[_Group, list[Job]]:
        classes = view.catalogue["classes"]
        ranks = {}
        groups: dict[_Group, list[Job]] = {}
        for job in view.queued:
            rank = self._ranks.get(job.job_id)
            if rank is None:
                rank = self._rank(job, view)
            ranks[job.job_id] = rank
            job_class = classes.get(job.job_class)
            priority = job_class["priority"] if job_class else 0
            if job_class and job_class.get("urgent"):
                priority += 1_000_000
            groups.setdefault(_Group(priority, job.account), []).append(job)
        self._ranks = ranks
        for jobs in groups.values():
            jobs.sort(key=lambda job: ranks[job.job_id])
        return groups

    def _rank(self, job: Job, view: PlacementView) -> float:
        spec = job.spec
        seconds = spec["run_seconds"] * view.run_times.ratio(job.account, job.job_class)
        size = spec["tasks"] * max(1, spec["accelerators"])
        shorter = (1 - self._weight) * math.log2(1 + max(0.0, seconds))
        larger = self._weight * math.log2(1 + size)
        return shorter - larger + job.submitted_at / AGE_SECONDS
