"""Services around the workers, as ``Protocol`` types."""

from typing import NamedTuple, Protocol

from result import Result


class Advice(NamedTuple):
    """Tickets by worker for those that may run a step."""

    tickets: dict[str, str]
    valid_seconds: float


class Advisor(Protocol):
    """Knows which workers a queue's policy allows to run a step."""

    def advise(self, step: str, workers: tuple[str, ...]) -> Result[Advice, str]:
        """Return advice on ``workers``; an error says what happened."""
        ...


class PlatformMachine(NamedTuple):
    """A machine of a worker; ``is_up`` is false while it moves or is serviced."""

    name: str
    worker_id: str
    zone: str
    is_up: bool
    in_upkeep: bool


class MachineService(Protocol):
    """The machines and their upkeep."""

    def machines(self) -> Result[tuple[PlatformMachine, ...], str]:
        """Return every machine."""
        ...

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, str]:
        """Take a machine down; all that runs there ends at once."""
        ...

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Show operators how a wave stands; return whether that was stored."""
        ...
