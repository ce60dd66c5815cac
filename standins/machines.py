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
