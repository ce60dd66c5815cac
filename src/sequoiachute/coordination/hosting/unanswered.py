"""Starts that got no answer and may still be carried out."""

from collections.abc import Collection
from typing import NamedTuple

from sequoiachute import clock
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS


class _Calls(NamedTuple):
    """Calls to start a run: how many got no answer, when the last was sent."""

    unanswered: int
    sent_at: float
    is_answered: bool = False


class UnansweredStarts:
    """Calls to start runs that may be carried out late, by task and run.

    A call is carried out once at most. Only one call of a run that the worker lists
    has had an effect; the others may yet have one in the worker's next lifetime.
    """

    def __init__(self) -> None:
        self._calls: dict[tuple[str, int], _Calls] = {}

    def record_unanswered(self, key: tuple[str, int], sent_at: float) -> int:
        """Record a call without an answer; return their number for this run."""
        known = self._calls.get(key, _Calls(0, sent_at))
        new = known._replace(unanswered=known.unanswered + 1, sent_at=sent_at)
        self._calls[key] = new
        return new.unanswered

    def record_answered(self, key: tuple[str, int], sent_at: float) -> None:
        """Record that a call to start a run was answered."""
        known = self._calls.get(key, _Calls(0, sent_at))
        self._calls[key] = known._replace(is_answered=True)

    def record_listed(self, keys: Collection[tuple[str, int]]) -> None:
        """Forget the runs that the worker lists after a single call."""
        for key in self._calls.keys() & set(keys):
            calls = self._calls[key]
            if calls.unanswered == 1 and not calls.is_answered:
                del self._calls[key]

    def ages(self) -> dict[tuple[str, int], float]:
        """Return the seconds since the last call that may be carried out, by run."""
        now = clock.elapsed()
        ages = {}
        for key, calls in list(self._calls.items()):
            age = now - calls.sent_at
            if age > MAX_CALL_DELAY_SECONDS:
                del self._calls[key]
            elif calls.unanswered:
                ages[key] = age
        return ages
