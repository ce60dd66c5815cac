"""A site in one process on the paused clock: entries, agents and stand-ins."""

from collections.abc import Callable
from typing import Any

from sequoiachute import clock
from sequoiachute.coordination.agent import Agent
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placement import PlacementPolicy, SharingPolicy
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.protocol.records import (
    CONFIGURATION_STREAM,
    JOBS_STREAM,
    encode_record,
)
from sequoiachute.settings import AgentSettings, EntrySettings
from standins.memory import (
    MemoryBackend,
    MemoryLog,
    MemoryLogLink,
    MemoryNetwork,
    MemoryProcess,
    ProcessBackend,
)

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
WORKERS_PER_RACK = 3
REGION = "bavaria"


def create_catalogue(**accounts: Any) -> Catalogue:
    """Return a catalogue of ``accounts`` with one job class and three data centres."""
    return {
        "classes": {"batch": {"priority": 1, "objective_seconds": 60.0}},
        "accounts": accounts,
        "data_centres": {name: {"region": REGION} for name in DATA_CENTRES},
    }


class Site:
    """Entries and agents connected by a ``MemoryNetwork`` and a ``MemoryLog``.

    The paused clock must be installed before.
    """

    def __init__(
        self,
        workers: int = 3,
        entries: int = 2,
        policy: PlacementPolicy | None = None,
        create_backend: Callable[[], MemoryBackend] = MemoryBackend,
    ) -> None:
        self.log = MemoryLog()
        self.log_links: dict[int, MemoryLogLink] = {}
        self.network = MemoryNetwork()
        self.policy = policy or SharingPolicy()
        self.entries: list[Entry] = []
        self.agents: list[Agent] = []
        self.backends: list[MemoryBackend] = []
        self.processes: dict[str, MemoryProcess] = {}
        self._entry_addresses = tuple(entry_address(i) for i in range(entries))
        for index in range(entries):
            self.entries.append(self.start_entry(index))
        for index in range(workers):
            self.backends.append(create_backend())
            self.agents.append(self.start_agent(index))

    def start_entry(self, index: int) -> Entry:
        """Start an entry instance and return it."""
        address = entry_address(index)
        process = self.processes[address] = MemoryProcess()
        settings = EntrySettings(
            entry_id=f"entry-{index}",
            region=REGION,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            http_address=f"10.0.1.{index}:80",
            rpc_address=address,
            log_service="http://10.0.2.1:80",
            keys=(),
            entries=self._entry_addresses,
        )
        caller = self.network.caller(address, process)
        link = self.log_links[index] = MemoryLogLink(self.log, process)
        entry = Entry(settings, link, caller, self.policy)
        self.network.serve(address, entry.handlers())
        entry.run()
        return entry

    def kill_entry(self, index: int) -> None:
        """End an entry instance without warning."""
        self.kill(entry_address(index))

    def replace_entry(self, index: int) -> None:
        """Kill an entry instance and start another in its place."""
        self.kill_entry(index)
        self.entries[index] = self.start_entry(index)

    def start_agent(self, index: int) -> Agent:
        """Start an agent beside backend server ``index`` and return it."""
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        index_in_data_centre = index // len(DATA_CENTRES)
        address = agent_address(index)
        process = self.processes[address] = MemoryProcess()
        settings = AgentSettings(
            worker_id=f"worker-{index}",
            region=REGION,
            data_centre=data_centre,
            rack=f"{data_centre}-rack-{index_in_data_centre // WORKERS_PER_RACK}",
            position=index_in_data_centre % WORKERS_PER_RACK,
            rpc_address=address,
            backend_server="http://10.0.3.1:80",
            entries=self._entry_addresses,
            accelerators=8,
            slots=8,
            connections=64,
        )
        caller = self.network.caller(address, process)
        agent = Agent(settings, caller, ProcessBackend(self.backends[index], process))
        self.network.serve(address, agent.handlers())
        agent.run()
        return agent

    def kill(self, address: str) -> None:
        """End the process at ``address`` without warning."""
        self.processes[address].killed = True
        self.network.frozen.discard(address)
        self.network.remove(address)

    def freeze(self, address: str) -> None:
        """Pause the process at ``address``, as SIGSTOP does."""
        self.processes[address].frozen = True
        self.network.frozen.add(address)

    def thaw(self, address: str) -> None:
        """Resume a paused process."""
        self.processes[address].frozen = False
        self.network.frozen.discard(address)

    def cut(self, one: str, other: str) -> None:
        """Drop all calls between two processes."""
        self.network.cut |= {(one, other), (other, one)}

    def heal(self, one: str, other: str) -> None:
        """Restore the connection between two processes."""
        self.network.cut -= {(one, other), (other, one)}

    def cancel(self, job_id: str) -> None:
        """Append a caller's cancellation to the jobs stream."""
        record = {
            "kind": "job-cancelled",
            "record_id": new_record_id(),
            "job_id": job_id,
        }
        self.log.append(JOBS_STREAM, [encode_record(record)])

    def publish(self, catalogue: Catalogue, base: int = -1) -> None:
        """Append a catalogue, based on offset ``base``, to the configuration stream."""
        record = {
            "kind": "catalogue-published",
            "record_id": new_record_id(),
            "base": base,
            "operator": "test",
            "catalogue": catalogue,
        }
        self.log.append(CONFIGURATION_STREAM, [encode_record(record)])

    def switch(self, data_centre: str, in_service: bool) -> None:
        """Append a record that takes a data centre out of service or restores it."""
        record = {
            "kind": "data-centre-switched",
            "record_id": new_record_id(),
            "operator": "test",
            "data_centre": data_centre,
            "in_service": in_service,
        }
        self.log.append(CONFIGURATION_STREAM, [encode_record(record)])

    def submit(self, job_id: str, account: str = "brocach", **spec: Any) -> None:
        """Append an accepted job to the jobs stream."""
        record = {
            "kind": "job-accepted",
            "record_id": new_record_id(),
            "job_id": job_id,
            "account": account,
            "job_class": "batch",
            "idempotency_key": job_id,
            "body_digest": "",
            "submitted_at": clock.wall_time(),
            "spec": {
                "tasks": 1,
                "accelerators": 1,
                "within": "rack",
                "run_seconds": 1.0,
                "payload": "",
                **spec,
            },
        }
        self.log.append(JOBS_STREAM, [encode_record(record)])

    def try_append(self, append: Callable[[], None]) -> bool:
        """Call ``append``; return whether its record is or may be in the log."""
        try:
            append()
        except LogUnavailableError as error:
            return error.maybe_applied
        return True

    def data_centre_of(self, index: int) -> str:
        """Return the data centre of worker ``index``."""
        return DATA_CENTRES[index % len(DATA_CENTRES)]

    def run_for(self, seconds: float) -> None:
        """Run the site until the clock has advanced by ``seconds``."""
        clock.sleep(seconds)


def entry_address(index: int) -> str:
    """Return the address of an entry instance."""
    return f"10.1.0.{index}:7000"


def agent_address(index: int) -> str:
    """Return the address of an agent."""
    return f"10.2.{index // 250}.{index % 250}:7001"
