"""Starts that got no answer and may still be carried out."""

from collections.abc import Collection
from typing import NamedTuple

from sequoiachute import clock
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS


class _Calls(NamedTuple):
    """Calls to start a run.

    ``unanswered`` counts those without an answer, the last of which was sent at
    ``unanswered_sent_at``. The run ``is_proved`` to be of the only call if the worker
    has listed it after a single one.
    """

    sent: int = 0
    sent_at: float = float("-inf")
    unanswered: int = 0
    unanswered_sent_at: float = float("-inf")
    is_proved: bool = False


class UnansweredStarts:
    """Calls to start runs that may be carried out late, by task and run.

    A call is carried out once at most. Only one call of a run that the worker lists
    has had an effect; the others may yet have one in the worker's next lifetime.
    """

    def __init__(self) -> None:
        self._calls: dict[tuple[str, int], _Calls] = {}

    def record_sent(self, key: tuple[str, int], sent_at: float) -> None:
        """Record that a call is on its way."""
        calls = self._calls.get(key, _Calls())
        self._calls[key] = calls._replace(
            sent=calls.sent + 1, sent_at=sent_at, is_proved=False
        )

    def record_unanswered(self, key: tuple[str, int], sent_at: float) -> int:
        """Record a call without an answer; return their number for this run."""
        calls = self._calls.get(key, _Calls(1, sent_at))
        new = calls._replace(
            unanswered=calls.unanswered + 1, unanswered_sent_at=sent_at
        )
        self._calls[key] = new
        return new.unanswered

    def record_listed(self, keys: Collection[tuple[str, int]]) -> None:
        """Record the runs that the worker lists."""
        for key in self._calls.keys() & set(keys):
            calls = self._calls[key]
            if calls.sent == 1:
                self._calls[key] = calls._replace(is_proved=True)

    def ages(self) -> dict[tuple[str, int], float]:
        """Return the seconds since the last call that may be carried out, by run."""
        now = clock.elapsed()
        ages = {}
        for key, calls in list(self._calls.items()):
            if now - calls.sent_at > MAX_CALL_DELAY_SECONDS:
                del self._calls[key]
                continue
            age = now - calls.unanswered_sent_at
            if age <= MAX_CALL_DELAY_SECONDS and not calls.is_proved:
                ages[key] = age
        return ages
