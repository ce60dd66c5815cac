"""In-memory stand-ins for the advice service and the machines service."""

import eventlet
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.transport.machines import (
    Advice,
    MachineListing,
    PlatformMachine,
    UpkeepError,
)
from standins.memory import MemoryProcess
from standins.task_worker import MemoryTaskWorker

LIST_DELAY_SECONDS = 0.02
NO_ANSWER = UpkeepError("no answer", False)


class MemoryAdvisor:
    """Issues tickets for the workers in ``allowed`` and records its requests."""

    def __init__(self, allowed: set[str], valid_seconds: float = 3.0) -> None:
        self.allowed = allowed
        self.valid_seconds = valid_seconds
        self.refuses = False
        self.asked: list[tuple[str, int]] = []
        self.open_calls = 0
        self.max_open_calls = 0

    def advise(self, step: str, workers: tuple[str, ...]) -> Result[Advice, str]:
        """Return a ticket for each allowed worker."""
        self.asked.append((step, len(workers)))
        self.open_calls += 1
        self.max_open_calls = max(self.max_open_calls, self.open_calls)
        clock.sleep(0.005 * len(workers))
        self.open_calls -= 1
        if self.refuses:
            return Err("answered 429")
        tickets = {name: f"{step}@{name}" for name in workers if name in self.allowed}
        return Ok(Advice(tickets, self.valid_seconds))


class MemoryMachines:
    """Machines whose upkeep takes ``seconds``.

    With ``lose_replies`` an upkeep begins but the reply is lost; with a ``refusal``
    none begins. With ``late_seconds`` there is no reply and the upkeep begins that much
    later. With ``cannot_list`` the list can't be read. ``workers`` holds each machine's
    worker.
    """

    def __init__(self, workers: dict[str, str], seconds: float = 2.0) -> None:
        self.seconds = seconds
        self.lose_replies = False
        self.refusal = ""
        self.late_seconds = 0.0
        self.cannot_list = False
        self.begun: list[tuple[float, str, int]] = []
        self.shown: list[tuple[int, bool]] = []
        self.terms: list[int] = []
        self.workers = workers
        self._renewed: set[str] = set()

    def _down_until(self, name: str) -> float:
        times = [at for at, begun, _ in self.begun if begun == name]
        return max(times, default=float("-inf")) + self.seconds

    @property
    def down(self) -> int:
        """Number of machines that are down now."""
        return sum(self._down_until(name) > clock.now() for name in self.workers)

    def renew_workers(self) -> dict[str, str]:
        """Give machines whose upkeep is over a new worker; return these."""
        found = {}
        for name in {begun for _, begun, _ in self.begun} - self._renewed:
            if self._down_until(name) <= clock.now():
                found[name] = self.workers[name] = f"{self.workers[name]}-new"
        self._renewed.update(found)
        return found

    def machines(self) -> Result[MachineListing, str]:
        """Return every machine."""
        if self.cannot_list:
            return Err("no answer")
        found = []
        for name, worker in self.workers.items():
            down = self._down_until(name) > clock.now()
            found.append(PlatformMachine(name, worker, "muc-1", not down, down))
        return Ok(MachineListing(tuple(found)))

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, UpkeepError]:
        """Take a machine down; a repeat for the same wave changes nothing."""
        self.terms.append(term)
        if self.refusal:
            return Err(UpkeepError(self.refusal, self.refusal != NO_ANSWER.reason))
        if self.late_seconds:
            eventlet.spawn_after(self.late_seconds, self._begin, machine, wave)
            return Err(NO_ANSWER)
        self._begin(machine, wave)
        return Err(NO_ANSWER) if self.lose_replies else Ok(None)

    def _begin(self, machine: str, wave: int) -> None:
        has_begun = any(name == machine and of == wave for _, name, of in self.begun)
        if not has_begun:
            self.begun.append((clock.now(), machine, wave))

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Record what is shown to operators."""
        self.shown.append((wave, complete))
        return True


class SiteMachines:
    """The machines of a site's workers, one each, as the platform lists them.

    A machine without power is down and has no worker; one that is ``taken_away`` is not
    listed. ``without_power`` and ``taken_away`` hold the indices of workers. With
    ``cannot_list`` the list can't be read; ``left_out`` are the indices of those that
    can't be; with ``is_empty`` it has no rows, with ``has_no_ids`` no workers, and none
    of the machines ``without_id``.
    ``delay`` is how long a reading takes; ``read_at`` holds when each began.
    """

    def __init__(self, workers: list[MemoryTaskWorker]) -> None:
        self._workers = workers
        self.without_power: set[int] = set()
        self.taken_away: set[int] = set()
        self.left_out: set[int] = set()
        self.without_id: set[int] = set()
        self.cannot_list = False
        self.is_empty = False
        self.has_no_ids = False
        self.delay = LIST_DELAY_SECONDS
        self.read_at: list[float] = []

    def listing(self) -> MachineListing:
        """Return the machines as they are now."""
        if self.is_empty:
            return MachineListing(())
        machines = []
        for index, worker in enumerate(self._workers):
            if index in self.taken_away | self.left_out:
                continue
            is_up = index not in self.without_power
            has_id = is_up and not self.has_no_ids and index not in self.without_id
            worker_id = worker.lifetime.worker_id if has_id else ""
            name = f"m-{index}"
            machines.append(PlatformMachine(name, worker_id, worker.zone, is_up, False))
        return MachineListing(tuple(machines), not self.left_out)

    def link(self, process: MemoryProcess) -> "SiteMachinesLink":
        """Return a client of the service for an entry."""
        return SiteMachinesLink(self, process)


class SiteMachinesLink:
    """Client of a site's machines for one process."""

    def __init__(self, machines: SiteMachines, process: MemoryProcess) -> None:
        self._machines = machines
        self._process = process

    def machines(self) -> Result[MachineListing, str]:
        """Return every machine that can be read."""
        self._process.apply_faults()
        self._machines.read_at.append(clock.now())
        clock.sleep(self._machines.delay)
        self._process.apply_faults()
        if self._machines.cannot_list:
            return Err("no answer")
        return Ok(self._machines.listing())

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, UpkeepError]:
        """Refuse the upkeep."""
        return Err(UpkeepError("no such wave", True))

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Show nothing."""
        return True
