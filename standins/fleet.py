"""A simulated fleet that executes placements, for tests and benchmarks."""

from typing import NamedTuple

from sequoiachute.coordination.placement import Placement
from sequoiachute.protocol.messages import Occupant
from sequoiachute.protocol.records import JobSpec
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import RUNNING, Job


class Rack(NamedTuple):
    """Identical workers at adjacent positions of one rack."""

    data_centre: str
    rack: str
    workers: int
    accelerators: int
    speed: float = 1.0
    speed_class: str = "standard"


class FakeFleet:
    """Workers and the jobs that run on them.

    Parameters
    ----------
    racks : list of Rack
        The racks to create workers for.
    slots : int
        Task slots of each worker.

    Attributes
    ----------
    unavailable : set of str
        IDs of the workers and data centres that may start nothing.
    """

    def __init__(self, racks: list[Rack], slots: int = 8) -> None:
        self.workers: dict[str, Worker] = {}
        self.unavailable: set[str] = set()
        self.running: dict[str, Job] = {}
        for rack in racks:
            for index in range(rack.workers):
                worker = new_worker(rack, len(self.workers), index, slots)
                self.workers[worker.worker_id] = worker

    def in_service(self) -> tuple[Worker, ...]:
        """Return the workers that may start tasks."""
        return tuple(
            worker
            for worker in self.workers.values()
            if not self._is_unavailable(worker)
        )

    def out_of_service(self) -> tuple[Worker, ...]:
        """Return the workers that may not start tasks."""
        return tuple(
            worker for worker in self.workers.values() if self._is_unavailable(worker)
        )

    def start(self, placement: Placement, job: Job, now: float) -> bool:
        """Start the gang; return false if an accelerator or a slot is not free."""
        needed: dict[str, set[int]] = {}
        slots: dict[str, int] = {}
        for member in placement.members:
            worker = self.workers[member.worker_id]
            indices = needed.setdefault(member.worker_id, set())
            slots[member.worker_id] = slots.get(member.worker_id, 0) + 1
            free = set(worker.free_accelerators) - indices
            if self._is_unavailable(worker) or not free.issuperset(member.accelerators):
                return False
            if slots[member.worker_id] > worker.free_slots:
                return False
            indices.update(member.accelerators)
        attempt = job.attempt + 1
        for member in placement.members:
            worker = self.workers[member.worker_id]
            occupant = Occupant(
                job.job_id,
                attempt,
                job.account,
                member.accelerators,
                placement.guaranteed,
                started=True,
            )
            self._set_occupants(worker, (*worker.occupants, occupant))
        workers = tuple(member.worker_id for member in placement.members)
        self.running[job.job_id] = job._replace(
            state=RUNNING, attempt=attempt, workers=workers, started_at=now
        )
        return True

    def end(self, job_id: str) -> Job:
        """Remove the job from its workers and return it."""
        job = self.running.pop(job_id)
        for worker_id in set(job.workers):
            worker = self.workers.get(worker_id)
            if worker is None:
                continue
            remaining = tuple(
                occupant for occupant in worker.occupants if occupant.job_id != job_id
            )
            self._set_occupants(worker, remaining)
        return job

    def speed_of(self, job: Job) -> float:
        """Return the speed of the slowest worker of ``job``."""
        return min(self.workers[worker_id].speed for worker_id in job.workers)

    def _is_unavailable(self, worker: Worker) -> bool:
        return (
            worker.data_centre in self.unavailable
            or worker.worker_id in self.unavailable
        )

    def _set_occupants(self, worker: Worker, occupants: tuple[Occupant, ...]) -> None:
        self.workers[worker.worker_id] = worker._replace(occupants=occupants)


def new_worker(rack: Rack, index: int, position: int, slots: int = 8) -> Worker:
    """Return an empty worker of ``rack`` with the ID number ``index``."""
    return Worker(
        worker_id=f"w{index:03}",
        incarnation="1",
        address=f"10.2.{index // 250}.{index % 250}:7001",
        region="region",
        data_centre=rack.data_centre,
        rack=rack.rack,
        position=position,
        accelerators=rack.accelerators,
        slots=slots,
        connections=64,
        speed_class=rack.speed_class,
        speed=rack.speed,
        leaving=False,
        open_connections=0,
        occupants=(),
        sequence=1,
        config_offset=0,
        last_contact_at=0.0,
    )


def new_job(
    job_id: str,
    account: str,
    spec: JobSpec,
    job_class: str = "batch",
    submitted_at: float = 0.0,
) -> Job:
    """Return a queued job."""
    return Job(job_id, account, job_class, job_id, "", submitted_at, spec)
