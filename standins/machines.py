"""In-memory stand-ins for the advice service and the machines service."""

from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.transport.machines import Advice, PlatformMachine


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

    With ``lose_replies`` an upkeep begins but the reply is lost.
    """

    def __init__(self, names: dict[str, str], seconds: float = 2.0) -> None:
        self.seconds = seconds
        self.lose_replies = False
        self.begun: list[tuple[float, str, int]] = []
        self.shown: list[tuple[int, bool]] = []
        self.terms: list[int] = []
        self._names = names

    def _down_until(self, name: str) -> float:
        times = [at for at, begun, _ in self.begun if begun == name]
        return max(times, default=float("-inf")) + self.seconds

    @property
    def down(self) -> int:
        """Number of machines that are down now."""
        return sum(self._down_until(name) > clock.now() for name in self._names)

    def machines(self) -> Result[tuple[PlatformMachine, ...], str]:
        """Return every machine."""
        found = []
        for name, worker in self._names.items():
            down = self._down_until(name) > clock.now()
            found.append(PlatformMachine(name, worker, "muc-1", not down, down))
        return Ok(tuple(found))

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, str]:
        """Take a machine down; a repeat for the same wave changes nothing."""
        self.terms.append(term)
        has_begun = any(name == machine and of == wave for _, name, of in self.begun)
        if not has_begun:
            self.begun.append((clock.now(), machine, wave))
        return Err("no answer") if self.lose_replies else Ok(None)

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Record what is shown to operators."""
        self.shown.append((wave, complete))
        return True
