"""Reserves accelerators for gangs that have waited too long."""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.allocations import (
    AllocatedTask,
    AllocationTable,
    Node,
)
from sequoiachute.coordination.placement.extents import extent_masks
from sequoiachute.coordination.placement.victims import EvictionCosts
from sequoiachute.state.jobs import Job
from sequoiachute.state.run_times import RunTimes

UNKNOWN_JOB_SECONDS = 60.0  # assumed until a job ends that is not in the log yet
MAX_REVISIONS = 4
EMPTY_MASK = 0


class Reservation(NamedTuple):
    """Accelerators reserved for one gang, expected to be free at ``ready_at``.

    Other jobs may use them only if they are expected to end by then.
    ``ready_at`` is wall time in seconds.
    """

    job_id: str
    ready_at: float
    block: dict[str, int]
    revisions_left: int


class _Opening(NamedTuple):
    """An extent and the wall time, in seconds, at which it should be free."""

    ready_at: float
    worker_id: str
    mask: int


class Reservations:
    """The reservations of starved gangs, kept from round to round."""

    def __init__(self) -> None:
        self._by_job: dict[str, Reservation] = {}
        self._by_worker: dict[str, list[Reservation]] = {}

    def __len__(self) -> int:
        return len(self._by_job)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._by_job

    def refresh(self, queued: Sequence[Job], allocations: AllocationTable) -> None:
        """Release reservations of jobs that left the queue or on lost workers."""
        if not self._by_job:
            return
        waiting = {job.job_id for job in queued}
        for job_id, reservation in list(self._by_job.items()):
            lost = any(name not in allocations.nodes for name in reservation.block)
            if lost or job_id not in waiting:
                self.release(job_id)

    def revise(
        self, job: Job, allocations: AllocationTable, forecast: "DepartureForecast"
    ) -> None:
        """Renew the reservation of ``job`` if its ``ready_at`` has passed.

        This happens when jobs outlive their estimates. After ``MAX_REVISIONS``
        the reservation is final, and no other job may start inside it.
        """
        reservation = self._by_job.get(job.job_id)
        if (
            reservation is None
            or reservation.ready_at > forecast.now
            or not reservation.revisions_left
        ):
            return
        self.release(job.job_id)
        self.reserve(
            job, allocations, forecast, float("inf"), reservation.revisions_left - 1
        )

    def get(self, job_id: str) -> Reservation | None:
        """Return the reservation of ``job_id``, if it has one."""
        return self._by_job.get(job_id)

    def release(self, job_id: str) -> None:
        """Release the reservation of ``job_id``, if it has one."""
        reservation = self._by_job.pop(job_id, None)
        if reservation is None:
            return
        for worker_id in reservation.block:
            self._by_worker[worker_id].remove(reservation)
            if not self._by_worker[worker_id]:
                del self._by_worker[worker_id]

    def reserve(
        self,
        job: Job,
        allocations: AllocationTable,
        forecast: "DepartureForecast",
        ready_by: float,
        revisions_left: int = MAX_REVISIONS,
    ) -> bool:
        """Reserve the domain where the gang fits soonest, if before ``ready_by``.

        Return whether a reservation was made.
        """
        block = None
        ready_at = ready_by
        for nodes in allocations.domains(job.spec["within"]).values():
            openings = self._openings(job, nodes, forecast)
            tasks = job.spec["tasks"]
            if len(openings) < tasks or openings[tasks - 1].ready_at >= ready_at:
                continue
            ready_at = openings[tasks - 1].ready_at
            block = _block_of(openings[:tasks])
        if block is None:
            return False
        reservation = Reservation(job.job_id, ready_at, block, revisions_left)
        self._by_job[job.job_id] = reservation
        for worker_id in block:
            self._by_worker.setdefault(worker_id, []).append(reservation)
        return True

    def has_on(self, node: Node) -> bool:
        """Return whether ``node`` has reserved accelerators."""
        return node.worker_id in self._by_worker

    def withheld_mask(self, job_id: str, ends_at: float, node: Node) -> int:
        """Return the reserved mask of ``node`` for a job that ends at ``ends_at``."""
        reservations = self._by_worker.get(node.worker_id)
        if reservations is None:
            return EMPTY_MASK
        mask = EMPTY_MASK
        for reservation in reservations:
            if reservation.job_id != job_id and ends_at > reservation.ready_at:
                mask |= reservation.block[node.worker_id]
        return mask

    def _openings(
        self, job: Job, nodes: Sequence[Node], forecast: "DepartureForecast"
    ) -> list[_Opening]:
        speed_class = job.spec.get("speed_class")
        need = job.spec["accelerators"]
        tasks = job.spec["tasks"]
        openings: list[_Opening] = []
        for node in nodes:
            if speed_class not in (None, node.worker.speed_class):
                continue
            withheld = self.withheld_mask(job.job_id, float("inf"), node)
            openings.extend(_openings_on(node, need, need * tasks, withheld, forecast))
        openings.sort()
        return openings


class DepartureForecast:
    """Predicts when running tasks leave their workers, during one round.

    Times are wall time in seconds.
    """

    def __init__(
        self,
        running: dict[str, Job],
        run_times: RunTimes,
        costs: EvictionCosts,
        now: float,
    ) -> None:
        self.now = now
        self._running = running
        self._run_times = run_times
        self._costs = costs

    def departure_time(self, task: AllocatedTask, node: Node, size: int) -> float:
        """Return when ``task`` should have left for a gang of ``size`` accelerators.

        That is now if the gang may evict it.
        """
        job = self._running.get(task.job_id)
        if job is None:
            return self.now + UNKNOWN_JOB_SECONDS
        if self._costs.may_evict_for_starved(task, size):
            return self.now
        speed = node.worker.speed
        return self.now + self._run_times.remaining(job, speed, self.now)

    def expected_end(self, job: Job, speed: float) -> float:
        """Return when ``job`` is expected to end if it starts now."""
        return self.now + self._run_times.remaining(job, speed, self.now)


def _openings_on(
    node: Node, need: int, size: int, withheld: int, forecast: DepartureForecast
) -> list[_Opening]:
    """Return disjoint extents of ``need`` and when each should be free."""
    ends = []
    for task in node.tasks:
        if not task.mask:
            continue
        ends.append((forecast.departure_time(task, node, size), task.mask))
    openings = []
    for mask in extent_masks(node.size, need):
        if mask & withheld:
            continue
        ready_at = max(
            (ends_at for ends_at, held_mask in ends if held_mask & mask),
            default=forecast.now,
        )
        openings.append(_Opening(ready_at, node.worker_id, mask))
    openings.sort()
    taken = 0
    disjoint = []
    for opening in openings:
        if not opening.mask & taken:
            disjoint.append(opening)
            taken |= opening.mask
    return disjoint


def _block_of(openings: Sequence[_Opening]) -> dict[str, int]:
    block: dict[str, int] = {}
    for opening in openings:
        block[opening.worker_id] = block.get(opening.worker_id, 0) | opening.mask
    return block
