"""The workers as their agents announce them."""

from collections import deque
from typing import NamedTuple

from sequoiachute.protocol.messages import Announcement, KeepAlive, Occupant

REMEMBERED_INCARNATIONS = 16


class Worker(NamedTuple):
    """A worker as placement and routing see it.

    ``speed`` is relative to the declared run time of a job: a worker of speed
    2 finishes in half of it. ``heard_at`` is clock time in seconds.
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
    heard_at: float
    agent_clock: float = 0.0
    entries: int = 1
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
        """Slots that no task holds."""
        return self.slots - len(self.occupants)


class Fleet:
    """Every worker heard of lately, by the identity of its agent."""

    def __init__(self, silent_after: float) -> None:
        self._workers: dict[str, Worker] = {}
        self._last_joined_at = float("-inf")
        self._retired: dict[str, deque[str]] = {}
        self._silent_after = silent_after

    @property
    def last_joined_at(self) -> float:
        """Clock time at which a worker was first heard of, for the last time."""
        return self._last_joined_at

    def announce(self, message: Announcement, now: float) -> bool:
        """Take an announcement; return whether it was newer than the last.

        Once an agent has been replaced, what its process sent late is ignored.
        """
        known = self._workers.get(message.worker_id)
        if known is not None and not self._is_newer(message, known, now):
            return False
        if known is not None and known.incarnation != message.incarnation:
            self._retire(known)
        if known is None:
            self._last_joined_at = now
        self._drop_others_at(message)
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
            heard_at=now,
            agent_clock=message.agent_clock,
            entry_addresses=message.entry_addresses,
            entries=message.entries,
            started_at=message.started_at,
            full_sequence=message.sequence,
        )
        return True

    def keep_alive(self, message: KeepAlive, now: float) -> bool:
        """Take a keep-alive; return whether its announcement is the one held."""
        known = self._workers.get(message.worker_id)
        if known is None or known.incarnation != message.incarnation:
            return False
        if message.sequence <= known.sequence:
            return True
        if known.full_sequence != message.full_sequence:
            return False
        self._workers[message.worker_id] = known._replace(
            sequence=message.sequence,
            config_offset=message.config_offset,
            open_connections=message.open_connections,
            agent_clock=message.agent_clock,
            heard_at=now,
        )
        return True

    def is_superseded(self, worker_id: str, incarnation: str) -> bool:
        """Return whether a newer incarnation has taken its worker's place."""
        return incarnation in self._retired.get(worker_id, ())

    def get(self, worker_id: str) -> Worker | None:
        """Return the worker, ``None`` if it was never heard of."""
        return self._workers.get(worker_id)

    def is_live(self, worker: Worker, now: float) -> bool:
        """Return whether this incarnation of a worker was heard of lately."""
        known = self._workers.get(worker.worker_id)
        if known is None or known.incarnation != worker.incarnation:
            return False
        return now - known.heard_at <= self._silent_after

    def _is_newer(self, message: Announcement, known: Worker, now: float) -> bool:
        if known.incarnation == message.incarnation:
            return message.sequence > known.sequence
        if self.is_superseded(message.worker_id, message.incarnation):
            return False
        # A restarted instance's wall clock may be behind the one before.
        silent = now - known.heard_at > self._silent_after
        return silent or message.started_at >= known.started_at

    def _retire(self, worker: Worker) -> None:
        retired = self._retired.setdefault(
            worker.worker_id, deque(maxlen=REMEMBERED_INCARNATIONS)
        )
        retired.append(worker.incarnation)

    def _drop_others_at(self, message: Announcement) -> None:
        """Forget workers whose address another worker has taken."""
        for worker_id, worker in list(self._workers.items()):
            if worker_id != message.worker_id and worker.address == message.address:
                self._retire(worker)
                del self._workers[worker_id]

    def live(self, now: float) -> list[Worker]:
        """Return the workers heard of lately, ordered by identity."""
        workers = []
        for worker in self.all():
            if self.is_live(worker, now):
                workers.append(worker)
        return workers

    def all(self) -> list[Worker]:
        """Return every worker ever heard of, ordered by identity."""
        return [self._workers[worker_id] for worker_id in sorted(self._workers)]
