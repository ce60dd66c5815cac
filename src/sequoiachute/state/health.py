"""Which workers are spared for a while: those that refuse, those that fail."""

from typing import NamedTuple

REFUSED_FIRST_SECONDS = 0.25
REFUSED_LAST_SECONDS = 2.0


class _Refusal(NamedTuple):
    until: float
    seconds: float


class Reluctance:
    """Workers that refused a reservation lately, left alone with back-off."""

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusal] = {}

    def note_refused(self, worker_id: str, now: float) -> None:
        """Spare a worker for a while, longer each time."""
        known = self._refusals.get(worker_id)
        if known is not None and now < known.until:
            return
        seconds = REFUSED_FIRST_SECONDS
        if known is not None:
            seconds = min(2 * known.seconds, REFUSED_LAST_SECONDS)
        self._refusals[worker_id] = _Refusal(now + seconds, seconds)

    def note_agreed(self, worker_id: str) -> None:
        """Take a worker back."""
        self._refusals.pop(worker_id, None)

    def is_spared(self, worker_id: str, now: float) -> bool:
        """Return whether the worker is to be left alone now."""
        known = self._refusals.get(worker_id)
        return known is not None and now < known.until
