"""Orders queued jobs by class, fair share, run time and size."""

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from sequoiachute.coordination.placement.model import PlacementView
from sequoiachute.state.jobs import Job

AGE_SCALE_SECONDS = 150.0  # of waiting that outweigh a doubling of run time or size


class _QueueGroup(NamedTuple):
    priority: int
    account: str


class FairShares:
    """Weighted dominant resource share of each client account.

    The share is the larger of the account's fractions of all accelerators and
    of all slots, divided by its weight. Guaranteed jobs do not count.
    """

    def __init__(self, view: PlacementView, guaranteed: set[str]) -> None:
        self._accelerators = max(1, sum(w.accelerators for w in view.workers))
        self._slots = max(1, sum(w.slots for w in view.workers))
        self._weights = {}
        self._borrowed: dict[str, tuple[int, int]] = {}
        self.held_accelerators: dict[str, int] = {}
        for name, account in view.catalogue["accounts"].items():
            self._weights[name] = account.get("weight", 1.0)
        for job in view.running:
            self.add(job, job.job_id in guaranteed)

    def add(self, job: Job, guaranteed: bool) -> None:
        """Count the accelerators and slots that ``job`` holds."""
        accelerators = job.spec["tasks"] * job.spec["accelerators"]
        self.held_accelerators[job.account] = (
            self.held_accelerators.get(job.account, 0) + accelerators
        )
        if guaranteed:
            return
        borrowed, slots = self._borrowed.get(job.account, (0, 0))
        self._borrowed[job.account] = (
            borrowed + accelerators,
            slots + job.spec["tasks"],
        )

    def dominant_share(self, account: str) -> float:
        """Return the weighted dominant share of ``account``."""
        borrowed, slots = self._borrowed.get(account, (0, 0))
        dominant = max(borrowed / self._accelerators, slots / self._slots)
        return dominant / self._weights.get(account, 1.0)


class JobOrdering:
    """Orders jobs by class, then fair share, then rank.

    The rank prefers short or large jobs, by the fragmentation weight, and old
    ones. The order of two waiting jobs' ranks never changes, so each rank is
    computed once.
    """

    def __init__(self, fragmentation_weight: float) -> None:
        self._fragmentation_weight = fragmentation_weight
        self._ranks: dict[str, float] = {}

    def order(self, view: PlacementView, shares: FairShares) -> Iterator[Job]:
        """Yield the queued jobs in the order in which to try them.

        Within a class the account with the smallest share comes first. An
        account whose last job did not start moves behind the others, so that
        jobs that don't fit can't block the rest.
        """
        groups = self._sorted_groups(view)
        next_index = dict.fromkeys(groups, 0)
        heap = []
        for group in groups:
            heap.append(
                (-group.priority, 0, shares.dominant_share(group.account), group)
            )
        heapq.heapify(heap)
        while heap:
            _, misses, share_before, group = heapq.heappop(heap)
            jobs = groups[group]
            yield jobs[next_index[group]]
            next_index[group] += 1
            if next_index[group] == len(jobs):
                continue
            share = shares.dominant_share(group.account)
            if share == share_before:
                misses += 1
            heapq.heappush(heap, (-group.priority, misses, share, group))

    def _sorted_groups(self, view: PlacementView) -> dict[_QueueGroup, list[Job]]:
        classes = view.catalogue["classes"]
        ranks = {}
        groups: dict[_QueueGroup, list[Job]] = {}
        for job in view.queued:
            rank = self._ranks.get(job.job_id)
            if rank is None:
                rank = self._rank(job, view)
            ranks[job.job_id] = rank
            job_class = classes.get(job.job_class)
            priority = job_class["priority"] if job_class else 0
            if job_class and job_class.get("urgent"):
                priority += 1_000_000  # above every class that is not urgent
            groups.setdefault(_QueueGroup(priority, job.account), []).append(job)
        self._ranks = ranks
        for jobs in groups.values():
            jobs.sort(key=lambda job: ranks[job.job_id])
        return groups

    def _rank(self, job: Job, view: PlacementView) -> float:
        spec = job.spec
        seconds = spec["run_seconds"] * view.run_times.ratio(job.account, job.job_class)
        size = spec["tasks"] * max(1, spec["accelerators"])
        shorter = (1 - self._fragmentation_weight) * math.log2(1 + max(0.0, seconds))
        larger = self._fragmentation_weight * math.log2(1 + size)
        return shorter - larger + job.submitted_at / AGE_SCALE_SECONDS
