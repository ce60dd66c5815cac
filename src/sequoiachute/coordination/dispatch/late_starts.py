"""Starts that got no answer, as an agent has reported them."""

from collections.abc import Collection, Mapping

from sequoiachute import clock
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS

# Beyond the delay of a call a run that it has started lasts for a lease.
RETENTION_SECONDS = 4 * MAX_CALL_DELAY_SECONDS


class LateStarts:
    """When calls without an answer were sent, by run."""

    def __init__(self) -> None:
        self._sent_at: dict[tuple[str, int], float] = {}

    def record(
        self,
        ages: Mapping[tuple[str, int], float],
        listed: Collection[tuple[str, int]],
    ) -> None:
        """Record a report; ``listed`` are the runs that the worker lists.

        A run that the worker lists and the agent reports no longer was started by its
        only call.
        """
        now = clock.elapsed()
        for key, age in ages.items():
            self._sent_at[key] = now - age
        for key in self._sent_at.keys() - ages.keys():
            if key in listed:
                del self._sent_at[key]
        self._forget_before(now - RETENTION_SECONDS)

    def sent_at(self, key: tuple[str, int]) -> float:
        """Return when the last call was sent that may start a run late."""
        return self._sent_at.get(key, float("-inf"))

    def _forget_before(self, oldest: float) -> None:
        for key in list(self._sent_at):
            if self.sent_at(key) < oldest:
                del self._sent_at[key]
