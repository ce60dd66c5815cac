"""An in-memory site of entries, agents and workers for the paused clock."""

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.control import ControlPlane
from sequoiachute.coordination.hosting.claims import Heartbeat
from sequoiachute.coordination.hosting.entries import EntryDirectory
from sequoiachute.coordination.hosting.supervisor import Supervisor
from sequoiachute.coordination.intake import IntakeOutcome
from sequoiachute.protocol.workload import (
    TYPICAL_TIMES,
    JobGraph,
    Resources,
    StepSpec,
    WorkerTimes,
)
from sequoiachute.state.operations import (
    Operations,
    PlatformAccount,
    PlatformCatalogue,
    Queue,
)
from standins.keyed_store import MemoryKeyedStore
from standins.machines import SiteMachines
from standins.memory import MemoryNetwork, MemoryProcess
from standins.task_worker import History, MemoryTaskWorker

HEARTBEAT_SECONDS = 0.5
TASK_NEED = Resources(1000, 1000, 1)
QUEUE = Queue("proofs", "site.example", "/p/", "render", 1, 3, 3.0, 1.0)
URGENT = Queue("urgent", "site.example", "/u/", "render", 0, 3, 1.5, 0.25)
CATALOGUE = PlatformCatalogue(
    1, (QUEUE, URGENT), (PlatformAccount("brocach", frozenset(("key-1",)), 8),)
)


class Entry:
    """An entry process with its control plane."""

    def __init__(self, site: "ControlSite", index: int) -> None:
        self.process = MemoryProcess()
        self.store = site.store.link(self.process)
        self.address = f"10.0.0.{index}:7000"
        operations = Operations()
        operations.publish(CATALOGUE)
        self.control = ControlPlane(
            f"{self.address}/{site.next_number()}",
            self.address,
            self.store,
            site.network.caller(self.address, self.process),
            lambda: site.seeds,
            operations,
            lambda records: site.apply_published(records, operations),
            machines=site.machines.link(self.process) if site.machines else None,
            times=site.times,
        )
        site.network.serve(self.address, self.control.handlers())
        self.control.run()


class Agent:
    """An agent process beside its worker."""

    def __init__(
        self, site: "ControlSite", index: int, worker: MemoryTaskWorker
    ) -> None:
        self.process = MemoryProcess()
        self.worker = worker
        self.address = f"10.0.1.{index}"
        self.store = site.store.link(self.process)
        self.supervisor = Supervisor(
            self.address,
            worker.link(self.process),
            site.network.caller(self.address, self.process),
            EntryDirectory(lambda: site.seeds, self.store),
            lambda: site.settings_services,
        )
        self.supervisor.run()
        self._sequence = 0
        eventlet.spawn(self._send_heartbeats)

    def _send_heartbeats(self) -> None:
        while not self.process.killed:
            if not (self.process.frozen or self.worker.is_down):
                self._sequence += 1
                info = self.worker.info()
                heartbeat = Heartbeat(info, self._sequence, self.worker.clock_ms)
                self.supervisor.handle_heartbeat(heartbeat)
            clock.sleep(HEARTBEAT_SECONDS)


class ControlSite:
    """Entries, agents with workers, one store and one network.

    The constructor lets time pass until a placer is elected. ``jobs`` holds every job
    submitted by its job id, whether it was accepted or not. Agents' settings name the
    ``settings_services``, workers are of the first queue's service. The tasks of
    ``deadly_jobs`` crash the workers that start them. Entries can read a list of the
    ``machines`` only if ``lists_machines``.
    """

    def __init__(
        self,
        entries: int = 3,
        workers: int = 4,
        gpus: int = 4,
        times: WorkerTimes = TYPICAL_TIMES,
        lists_machines: bool = False,
    ) -> None:
        self.times = times
        self.settings_services = frozenset((QUEUE.service,))
        self.store = MemoryKeyedStore()
        self.network = MemoryNetwork()
        self.history = History()
        self.jobs: dict[str, JobGraph] = {}
        self.deadly_jobs: set[str] = set()
        self._last_number = 0
        self.seeds = tuple(f"10.0.0.{index}:7000" for index in range(entries))
        capacity = Resources(64_000, 256_000, gpus)
        self.workers: list[MemoryTaskWorker] = []
        self.machines = SiteMachines(self.workers) if lists_machines else None
        self.entries = [Entry(self, index) for index in range(entries)]
        for index in range(workers):
            name = f"worker-{index}"
            worker = MemoryTaskWorker(name, capacity, self.history)
            worker.max_lease_seconds = times.max_lease
            worker.deadly_jobs = self.deadly_jobs
            self.workers.append(worker)
        self.agents = [Agent(self, i, w) for i, w in enumerate(self.workers)]
        self.run_for(4)

    def next_number(self) -> int:
        """Return a number that is unique within the site."""
        self._last_number += 1
        return self._last_number

    def apply_published(
        self, records: dict[str, bytes], operations: Operations
    ) -> None:
        """Close the zones that the published records evacuate."""
        zones = (key.partition("/")[2] for key in records if "/" in key)
        operations.closed_zones = frozenset(zones)

    def can_start(self, worker: int) -> bool:
        """Return whether a worker and its agent start what the placer orders."""
        process = self.agents[worker].process
        is_stuck = process.killed or process.frozen
        return self.workers[worker].can_start and not is_stuck

    def run_for(self, seconds: float) -> None:
        """Advance the paused clock."""
        clock.sleep(seconds)

    def submit(
        self,
        seconds: float,
        count: int = 1,
        entry: int = 0,
        queue: Queue = QUEUE,
        wait: float = 3.0,
        job_id: str = "",
        steps: int = 1,
        **step: object,
    ) -> tuple[str, IntakeOutcome]:
        """Submit a job of equal steps in a chain; return its job id and the outcome."""
        first = StepSpec(count, TASK_NEED, seconds, **step)
        chain = [first]
        for number in range(1, steps):
            chain.append(first._replace(after=(number - 1,)))
        return self.submit_steps(seconds, chain, entry, queue, wait, job_id)

    def submit_steps(
        self,
        seconds: float,
        steps: list[StepSpec],
        entry: int = 0,
        queue: Queue = QUEUE,
        wait: float = 3.0,
        job_id: str = "",
    ) -> tuple[str, IntakeOutcome]:
        """Submit a job whose tasks run for ``seconds`` each, as ``submit`` does."""
        job_id = job_id or f"{self.next_number():016x}"
        job = JobGraph(
            job_id,
            "brocach",
            queue.name,
            queue.service,
            str(seconds),
            tuple(steps),
            accepted_at=clock.wall_time(),
            priority=queue.priority,
            attempts=queue.attempts,
            stretch=queue.stretch,
            slo_seconds=queue.slo_seconds,
        )
        self.jobs.setdefault(job_id, job)
        control = self.entries[entry].control
        return job_id, control.intake.submit(job, clock.now() + wait)

    def cancel(self, job_id: str, entry: int = 0, wait: float = 3.0) -> IntakeOutcome:
        """Cancel a job at an entry."""
        intake = self.entries[entry].control.intake
        return intake.cancel(job_id, "brocach", clock.now() + wait)

    def state(self, job_id: str, entry: int = 0) -> str:
        """Return a job's state as an entry shows it."""
        return self.entries[entry].control.intake.state(job_id, "brocach")[1]

    def placer(self) -> int:
        """Return the index of the entry that is the placer, -1 if there is none."""
        for index, entry in enumerate(self.entries):
            if entry.control.is_leading and not entry.process.killed:
                return index
        return -1

    def kill_entry(self, index: int) -> None:
        """Kill an entry's process and drop its address."""
        self.entries[index].process.killed = True
        self.network.remove(self.entries[index].address)

    def restart_entry(self, index: int) -> None:
        """Start a new entry process at the same address."""
        self.entries[index] = Entry(self, index)

    def kill_agent(self, index: int) -> None:
        """Kill an agent's process; its worker keeps running."""
        self.agents[index].process.killed = True

    def restart_agent(self, index: int) -> None:
        """Start a new agent process beside the same worker."""
        self.agents[index] = Agent(self, index, self.workers[index])

    def lose_power(self, index: int) -> None:
        """Cut the power of a worker's machine, on which its agent runs too."""
        self.workers[index].lose_power()
        self.kill_agent(index)
        if self.machines is not None:
            self.machines.without_power.add(index)

    def restore_power(self, index: int, same_id: bool = False) -> None:
        """Start a worker's machine again."""
        if self.machines is not None:
            self.machines.without_power.discard(index)
        self.workers[index].restore_power(same_id)
        self.restart_agent(index)
