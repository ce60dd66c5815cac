"""Space kept free for gangs that have waited too long."""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.board import Board, HeldTask, Node
from sequoiachute.coordination.placement.runs import run_masks
from sequoiachute.coordination.placement.victims import Victims
from sequoiachute.state.jobs import Job
from sequoiachute.state.run_times import RunTimes

UNKNOWN_SECONDS = 60.0  # until the end of a job that the log doesn't tell of yet
REVIEWS = 4
NO_MASK = 0


class Reservation(NamedTuple):
    """Accelerators kept for one gang, which should be free at ``ready_at``.

    Others may use them only for work that is expected to end by then.
    """

    job_id: str
    ready_at: float
    block: dict[str, int]
    reviews: int


class _Opening(NamedTuple):
    ready_at: float
    worker_id: str
    mask: int


class Reservations:
    """The reservations of the gangs that starve now, kept between rounds."""

    def __init__(self) -> None:
        self._held: dict[str, Reservation] = {}
        self._on: dict[str, list[Reservation]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._held

    def refresh(self, queued: Sequence[Job], board: Board) -> None:
        """Drop what is no longer wanted or lies on a lost worker."""
        if not self._held:
            return
        waiting = {job.job_id for job in queued}
        for job_id, reservation in list(self._held.items()):
            lost = any(name not in board.nodes for name in reservation.block)
            if lost or job_id not in waiting:
                self.drop(job_id)

    def review(self, job: Job, board: Board, forecast: "Forecast") -> None:
        """Make the reservation of ``job`` anew if its time has passed.

        Jobs that outlive their estimates move it, ``REVIEWS`` times at most:
        then it stands, and nothing more starts behind it.
        """
        held = self._held.get(job.job_id)
        if held is None or held.ready_at > forecast.now or not held.reviews:
            return
        self.drop(job.job_id)
        self.reserve(job, board, forecast, float("inf"), held.reviews - 1)

    def get(self, job_id: str) -> Reservation | None:
        """Return the reservation of ``job_id``, if it has one."""
        return self._held.get(job_id)

    def drop(self, job_id: str) -> None:
        """Give up the reservation of ``job_id``, if it has one."""
        reservation = self._held.pop(job_id, None)
        if reservation is None:
            return
        for worker_id in reservation.block:
            self._on[worker_id].remove(reservation)
            if not self._on[worker_id]:
                del self._on[worker_id]

    def reserve(
        self,
        job: Job,
        board: Board,
        forecast: "Forecast",
        until: float,
        reviews: int = REVIEWS,
    ) -> bool:
        """Reserve where the gang should fit first, if that is before ``until``."""
        block = None
        ready_at = until
        for nodes in board.domains(job.spec["within"]).values():
            openings = self._openings(job, nodes, forecast)
            tasks = job.spec["tasks"]
            if len(openings) < tasks or openings[tasks - 1].ready_at >= ready_at:
                continue
            ready_at = openings[tasks - 1].ready_at
            block = _block_of(openings[:tasks])
        if block is None:
            return False
        reservation = Reservation(job.job_id, ready_at, block, reviews)
        self._held[job.job_id] = reservation
        for worker_id in block:
            self._on.setdefault(worker_id, []).append(reservation)
        return True

    def keeps_on(self, node: Node) -> bool:
        """Return whether anything is kept on ``node``."""
        return node.worker_id in self._on

    def kept_from(self, job_id: str, ends_at: float, node: Node) -> int:
        """Return what is kept on ``node`` from a job that ends at ``ends_at``."""
        held = self._on.get(node.worker_id)
        if held is None:
            return NO_MASK
        mask = NO_MASK
        for reservation in held:
            if reservation.job_id != job_id and ends_at > reservation.ready_at:
                mask |= reservation.block[node.worker_id]
        return mask

    def _openings(
        self, job: Job, nodes: Sequence[Node], forecast: "Forecast"
    ) -> list[_Opening]:
        wanted = job.spec.get("speed_class")
        need = job.spec["accelerators"]
        tasks = job.spec["tasks"]
        found: list[_Opening] = []
        for node in nodes:
            if wanted not in (None, node.worker.speed_class):
                continue
            kept = self.kept_from(job.job_id, float("inf"), node)
            found.extend(_openings_on(node, need, need * tasks, kept, forecast))
        found.sort()
        return found


class Forecast:
    """When running tasks are expected to leave, during one round."""

    def __init__(
        self,
        running: dict[str, Job],
        run_times: RunTimes,
        victims: Victims,
        now: float,
    ) -> None:
        self.now = now
        self._running = running
        self._run_times = run_times
        self._victims = victims

    def leaves_at(self, task: HeldTask, node: Node, size: int) -> float:
        """Return when ``task`` should leave for a gang of ``size`` accelerators."""
        job = self._running.get(task.job_id)
        if job is None:
            return self.now + UNKNOWN_SECONDS
        if self._victims.may_move(task, size):
            return self.now
        speed = node.worker.speed
        return self.now + self._run_times.remaining(job, speed, self.now)

    def ends_if_started(self, job: Job, speed: float) -> float:
        """Return the time at which ``job`` should end if it starts now."""
        return self.now + self._run_times.remaining(job, speed, self.now)


def _openings_on(
    node: Node, need: int, size: int, kept: int, forecast: Forecast
) -> list[_Opening]:
    """Return disjoint runs of ``need`` and when each should be free."""
    ends = []
    for task in node.tasks:
        if not task.mask:
            continue
        ends.append((forecast.leaves_at(task, node, size), task.mask))
    runs = []
    for mask in run_masks(node.size, need):
        if mask & kept:
            continue
        ready = max((at for at, held in ends if held & mask), default=forecast.now)
        runs.append(_Opening(ready, node.worker_id, mask))
    runs.sort()
    taken = 0
    openings = []
    for opening in runs:
        if not opening.mask & taken:
            openings.append(opening)
            taken |= opening.mask
    return openings


def _block_of(openings: Sequence[_Opening]) -> dict[str, int]:
    block: dict[str, int] = {}
    for opening in openings:
        block[opening.worker_id] = block.get(opening.worker_id, 0) | opening.mask
    return block
