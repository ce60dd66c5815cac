"""A site of entries and agents on the paused clock, with the store's faults."""

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.control import Control
from sequoiachute.coordination.hosting.supervisor import Heartbeat, Supervisor
from sequoiachute.coordination.intake import Outcome
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from sequoiachute.state.operations import (
    Operations,
    PlatformAccount,
    PlatformCatalogue,
    Queue,
)
from standins.keyed_store import MemoryKeyedStore
from standins.memory import MemoryNetwork, MemoryProcess
from standins.task_worker import History, MemoryTaskWorker

BEAT_SECONDS = 0.5
QUEUE = Queue("proofs", "site.example", "/p/", "render", 1, 3, 3.0, 1.0)
URGENT = Queue("urgent", "site.example", "/u/", "render", 0, 3, 1.5, 0.25)
CATALOGUE = PlatformCatalogue(
    1, (QUEUE, URGENT), (PlatformAccount("brocach", frozenset(("key-1",)), 8),)
)


class Entry:
    """One entry process."""

    def __init__(self, site: "ControlSite", index: int) -> None:
        self.process = MemoryProcess()
        self.store = site.store.link(self.process)
        self.address = f"10.0.0.{index}:7000"
        operations = Operations()
        operations.publish(CATALOGUE)
        self.control = Control(
            f"{self.address}/{site.next_number()}",
            self.address,
            self.store,
            site.network.caller(self.address, self.process),
            site.seeds,
            operations,
            lambda records: site.put_in_force(records, operations),
        )
        site.network.serve(self.address, self.control.handlers())
        self.control.run()


class Agent:
    """One agent process beside its worker."""

    def __init__(
        self, site: "ControlSite", index: int, worker: MemoryTaskWorker
    ) -> None:
        self.process = MemoryProcess()
        self.worker = worker
        self.address = f"10.0.1.{index}"
        self.supervisor = Supervisor(
            self.address,
            worker.link(self.process),
            site.network.caller(self.address, self.process),
            site.seeds,
        )
        self.supervisor.run()
        self._beats = 0
        eventlet.spawn(self._beat)

    def _beat(self) -> None:
        while not self.process.killed:
            if not self.process.frozen:
                self._beats += 1
                info = self.worker.info()
                beat = Heartbeat(info, self._beats, self.worker.clock_ms)
                self.supervisor.take_heartbeat(beat)
            clock.sleep(BEAT_SECONDS)


class ControlSite:
    """Entries, agents with workers, one store and one network."""

    def __init__(self, entries: int = 3, workers: int = 4, gpus: int = 4) -> None:
        self.store = MemoryKeyedStore()
        self.network = MemoryNetwork()
        self.history = History()
        self._number = 0
        self.seeds = tuple(f"10.0.0.{index}:7000" for index in range(entries))
        self.entries = [Entry(self, index) for index in range(entries)]
        capacity = Resources(64_000, 256_000, gpus)
        self.workers = []
        for index in range(workers):
            name = f"worker-{index}"
            self.workers.append(MemoryTaskWorker(name, capacity, self.history))
        self.agents = [Agent(self, i, w) for i, w in enumerate(self.workers)]
        self.run_for(4)

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        self._number += 1
        return self._number

    def put_in_force(self, records: dict[str, bytes], operations: Operations) -> None:
        """Put published records in force."""
        zones = (key.partition("/")[2] for key in records if "/" in key)
        operations.closed_zones = frozenset(zones)

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        clock.sleep(seconds)

    def submit(
        self,
        seconds: float,
        count: int = 1,
        entry: int = 0,
        queue: Queue = QUEUE,
        wait: float = 3.0,
        job_id: str = "",
        **step: object,
    ) -> tuple[str, Outcome]:
        """Hand a job in and return its identity and what came of it."""
        job_id = job_id or f"{self.next_number():016x}"
        spec = StepSpec(count, Resources(1000, 1000, 1), seconds, **step)
        job = JobGraph(
            job_id,
            "brocach",
            queue.name,
            queue.service,
            str(seconds),
            (spec,),
            accepted_at=clock.wall_time(),
            priority=queue.priority,
            attempts=queue.attempts,
            stretch=queue.stretch,
            slo_seconds=queue.slo_seconds,
        )
        control = self.entries[entry].control
        return job_id, control.intake.submit(job, clock.now() + wait)

    def state(self, job_id: str, entry: int = 0) -> str:
        """Return the state that an entry shows."""
        return self.entries[entry].control.intake.state(job_id, "brocach")[1]

    def placer(self) -> int:
        """Return the index of the entry that places."""
        for index, entry in enumerate(self.entries):
            if entry.control.is_leading and not entry.process.killed:
                return index
        return -1

    def kill_entry(self, index: int) -> None:
        """Kill an entry's process."""
        self.entries[index].process.killed = True
        self.network.remove(self.entries[index].address)

    def restart_entry(self, index: int) -> None:
        """Start an entry anew at its address."""
        self.entries[index] = Entry(self, index)

    def kill_agent(self, index: int) -> None:
        """Kill an agent's process; its worker runs on."""
        self.agents[index].process.killed = True

    def restart_agent(self, index: int) -> None:
        """Start an agent anew beside its worker."""
        self.agents[index] = Agent(self, index, self.workers[index])
