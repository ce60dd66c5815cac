"""Protocols of the platform's advice and machine services."""

from typing import NamedTuple, Protocol

from result import Result


class Advice(NamedTuple):
    """Tickets of the workers that may run a step, by worker ID."""

    tickets: dict[str, str]
    valid_seconds: float


class Advisor(Protocol):
    """Service that decides which workers a queue's policy lets run a step."""

    def advise(self, step: str, workers: tuple[str, ...]) -> Result[Advice, str]:
        """Return tickets for those of ``workers`` that may run ``step``."""
        ...


class PlatformMachine(NamedTuple):
    """A machine and its worker, if it has one.

    ``is_up`` is false while the machine is moving or in upkeep.
    """

    name: str
    worker_id: str
    zone: str
    is_up: bool
    in_upkeep: bool


class MachineListing(NamedTuple):
    """The platform's machines.

    ``is_whole`` is false if some are left out because they could not be read.
    """

    machines: tuple[PlatformMachine, ...]
    is_whole: bool = True


class UpkeepError(NamedTuple):
    """Why an upkeep was not acknowledged.

    ``refused`` is true if it has not begun and, for this order, never will.
    """

    reason: str
    refused: bool


class MachineService(Protocol):
    """Service that lists the platform's machines and carries out their upkeep."""

    def machines(self) -> Result[MachineListing, str]:
        """Return every machine that can be read."""
        ...

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, UpkeepError]:
        """Take a machine down for upkeep; its runs end at once."""
        ...

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Publish a wave's state to operators; return whether it was stored."""
        ...
