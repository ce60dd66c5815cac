"""Status reports that the worker itself has yet to confirm."""

from typing import NamedTuple

from sequoiachute.protocol.supervision import WorkerInfo
from sequoiachute.protocol.workload import Lifetime

MAX_CLAIMS = 4  # the newest; a worker repeats its report every 0.5 to 1.5 s


class Heartbeat(NamedTuple):
    """A worker's status message; ``sequence`` increases within a lifetime."""

    info: WorkerInfo
    sequence: int
    clock_ms: int


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat and when it came in, on the elapsed clock."""

    heartbeat: Heartbeat
    at: float


class Claims:
    """The newest heartbeat of each of a few lifetimes, for up to ``max_age`` seconds.

    Whoever reaches the agent may send any number of them.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._received: dict[Lifetime, ReceivedHeartbeat] = {}

    def __len__(self) -> int:
        """Return how many heartbeats are kept."""
        return len(self._received)

    def put(self, heartbeat: Heartbeat, now: float) -> bool:
        """Keep a heartbeat; return whether none of its lifetime was kept."""
        lifetime = heartbeat.info.lifetime
        known = self.get(lifetime, now)
        if known is not None and heartbeat.sequence < known.heartbeat.sequence:
            return False
        self._received.pop(lifetime, None)
        self._received[lifetime] = ReceivedHeartbeat(heartbeat, now)
        while len(self._received) > MAX_CLAIMS:
            del self._received[next(iter(self._received))]
        return known is None

    def get(self, lifetime: Lifetime, now: float) -> ReceivedHeartbeat | None:
        """Return what is kept of a lifetime, ``None`` if there is nothing."""
        received = self._received.get(lifetime)
        if received is None or now > received.at + self._max_age:
            return None
        return received

    def drop(self, lifetime: Lifetime) -> None:
        """Keep nothing of a lifetime."""
        self._received.pop(lifetime, None)

    def take_all(self) -> list[Heartbeat]:
        """Return everything that is kept and keep it no more."""
        taken = [received.heartbeat for received in self._received.values()]
        self._received.clear()
        return taken
