"""Table of the workers, as their agents announce them to an entry instance."""

from collections import deque
from typing import NamedTuple

from sequoiachute.protocol.messages import Announcement, KeepAlive, Occupant

MAX_SUPERSEDED_INCARNATIONS = 16


class Worker(NamedTuple):
    """State of a worker as last announced by its agent.

    ``speed`` is relative to the declared run time of a job: a worker of speed
    2 finishes in half of it. ``last_contact_at`` is the clock time in seconds at
    which the last announcement or keep-alive arrived, and ``full_sequence`` the
    sequence number of the last full announcement.
    """

    worker_id: str
    incarnation: str
    address: str
    region: str
    data_centre: str
    rack: str
    position: int
    accelerators: int
    slots: int
    connections: int
    speed_class: str
    speed: float
    leaving: bool
    open_connections: int
    occupants: tuple[Occupant, ...]
    sequence: int
    config_offset: int
    last_contact_at: float
    agent_clock: float = 0.0
    entry_count: int = 1
    entry_addresses: tuple[str, ...] = ()
    started_at: float = 0.0
    full_sequence: int = 0

    @property
    def free_accelerators(self) -> tuple[int, ...]:
        """Indices of the accelerators that no task holds, ascending."""
        taken = set()
        for occupant in self.occupants:
            taken.update(occupant.accelerators)
        return tuple(i for i in range(self.accelerators) if i not in taken)

    @property
    def free_slots(self) -> int:
        """Number of slots that no task holds."""
        return self.slots - len(self.occupants)


class Fleet:
    """Workers by identity, and whether their agents have announced recently.

    Parameters
    ----------
    silent_after : float
        Seconds without an announcement after which a worker counts as not live.
    """

    def __init__(self, silent_after: float) -> None:
        self._workers: dict[str, Worker] = {}
        self._last_joined_at = float("-inf")
        self._superseded: dict[str, deque[str]] = {}
        self._silent_after = silent_after

    @property
    def last_joined_at(self) -> float:
        """Clock time at which a worker last joined that was unknown before."""
        return self._last_joined_at

    def announce(self, message: Announcement, now: float) -> bool:
        """Apply an announcement; return whether it was newer than the last.

        Late announcements of an incarnation that has been superseded are ignored.
        """
        current = self._workers.get(message.worker_id)
        if current is not None and not self._is_newer(message, current, now):
            return False
        if current is not None and current.incarnation != message.incarnation:
            self._mark_superseded(current)
        if current is None:
            self._last_joined_at = now
        self._drop_others_at_address(message)
        self._workers[message.worker_id] = Worker(
            worker_id=message.worker_id,
            incarnation=message.incarnation,
            address=message.address,
            region=message.region,
            data_centre=message.data_centre,
            rack=message.rack,
            position=message.position,
            accelerators=message.accelerators,
            slots=message.slots,
            connections=message.connections,
            speed_class=message.speed_class,
            speed=message.speed,
            leaving=message.leaving,
            open_connections=message.open_connections,
            occupants=message.occupants,
            sequence=message.sequence,
            config_offset=message.config_offset,
            last_contact_at=now,
            agent_clock=message.agent_clock,
            entry_addresses=message.entry_addresses,
            entry_count=message.entry_count,
            started_at=message.started_at,
            full_sequence=message.sequence,
        )
        return True

    def keep_alive(self, message: KeepAlive, now: float) -> bool:
        """Apply a keep-alive; return whether the announcement it refers to is held."""
        current = self._workers.get(message.worker_id)
        if current is None or current.incarnation != message.incarnation:
            return False
        if message.sequence <= current.sequence:
            return True
        if current.full_sequence != message.full_sequence:
            return False
        self._workers[message.worker_id] = current._replace(
            sequence=message.sequence,
            config_offset=message.config_offset,
            open_connections=message.open_connections,
            agent_clock=message.agent_clock,
            last_contact_at=now,
        )
        return True

    def is_superseded(self, worker_id: str, incarnation: str) -> bool:
        """Return whether a newer incarnation of the worker has replaced this one."""
        return incarnation in self._superseded.get(worker_id, ())

    def get(self, worker_id: str) -> Worker | None:
        """Return the worker, ``None`` if it is not known."""
        return self._workers.get(worker_id)

    def is_live(self, worker: Worker, now: float) -> bool:
        """Return whether this incarnation has announced itself recently enough."""
        current = self._workers.get(worker.worker_id)
        if current is None or current.incarnation != worker.incarnation:
            return False
        return now - current.last_contact_at <= self._silent_after

    def _is_newer(self, message: Announcement, current: Worker, now: float) -> bool:
        if current.incarnation == message.incarnation:
            return message.sequence > current.sequence
        if self.is_superseded(message.worker_id, message.incarnation):
            return False
        # ``started_at`` is wall time: after a restart the clock may be behind that
        # of the previous incarnation, so a silent one is replaced regardless.
        silent = now - current.last_contact_at > self._silent_after
        return silent or message.started_at >= current.started_at

    def _mark_superseded(self, worker: Worker) -> None:
        superseded = self._superseded.setdefault(
            worker.worker_id, deque(maxlen=MAX_SUPERSEDED_INCARNATIONS)
        )
        superseded.append(worker.incarnation)

    def _drop_others_at_address(self, message: Announcement) -> None:
        """Drop workers whose address another worker now announces."""
        for worker_id, worker in list(self._workers.items()):
            if worker_id != message.worker_id and worker.address == message.address:
                self._mark_superseded(worker)
                del self._workers[worker_id]

    def live(self, now: float) -> list[Worker]:
        """Return the live workers, ordered by identity."""
        workers = []
        for worker in self.all():
            if self.is_live(worker, now):
                workers.append(worker)
        return workers

    def all(self) -> list[Worker]:
        """Return every known worker, live or silent, ordered by identity."""
        return [self._workers[worker_id] for worker_id in sorted(self._workers)]
