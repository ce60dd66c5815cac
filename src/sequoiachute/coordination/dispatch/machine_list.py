"""The platform's list of machines, read at a bounded rate."""

from typing import NamedTuple

from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.transport.machines import MachineService, PlatformMachine

READ_INTERVAL_SECONDS = 1.0  # between the beginnings of two readings


class ListReading(NamedTuple):
    """Machines by name, as listed after ``began_at``, a time of ``clock.elapsed``.

    ``is_whole`` is false if the list has machines that could not be read.
    """

    machines: dict[str, PlatformMachine]
    is_whole: bool
    began_at: float

    @property
    def worker_ids(self) -> frozenset[str]:
        """The IDs of the workers that the machines have."""
        ids = {machine.worker_id for machine in self.machines.values()}
        return frozenset(ids - {""})


class MachineList:
    """Reads the list of machines for all who need it, one reading at a time.

    Parameters
    ----------
    service : MachineService

    Attributes
    ----------
    newest : ListReading
        The last reading that succeeded; without machines before the first.
    """

    def __init__(self, service: MachineService) -> None:
        self._service = service
        self._is_reading = False
        self._began_at = float("-inf")
        self.newest = ListReading({}, False, float("-inf"))

    @property
    def service(self) -> MachineService:
        """The service that is asked."""
        return self._service

    @property
    def is_reading(self) -> bool:
        """Whether a reading is in progress."""
        return self._is_reading

    @property
    def is_due(self) -> bool:
        """Whether the last reading, of whatever outcome, is old enough for another."""
        if self._is_reading:
            return False
        return clock.elapsed() - self._began_at >= READ_INTERVAL_SECONDS

    def read(self) -> Result[ListReading, str]:
        """Read the list and keep it; an error leaves the last one."""
        self._is_reading = True
        self._began_at = began_at = clock.elapsed()
        try:
            listed = self._service.machines()
        finally:
            self._is_reading = False
        if listed.is_err():
            return Err(listed.unwrap_err())
        machines, is_whole = listed.unwrap()
        by_name = {machine.name: machine for machine in machines}
        self.newest = ListReading(by_name, is_whole, began_at)
        return Ok(self.newest)
