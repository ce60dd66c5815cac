"""Starts that got no answer, as an agent's processes have reported them."""

from collections.abc import Collection, Mapping

from sequoiachute import clock
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS

# Beyond the delay of a call a run that it has started lasts for a lease.
RETENTION_SECONDS = 4 * MAX_CALL_DELAY_SECONDS


class LateStarts:
    """When calls without an answer were sent, by run and process of the agent."""

    def __init__(self) -> None:
        self._sent_at: dict[tuple[str, int], dict[str, float]] = {}

    def record(
        self,
        incarnation: str,
        ages: Mapping[tuple[str, int], float],
        listed: Collection[tuple[str, int]],
    ) -> None:
        """Record a report of a process; ``listed`` are the runs that its worker lists.

        A run that the worker lists and the process reports no longer was started by
        its only call. A new process knows nothing of the calls of the one before.
        """
        now = clock.elapsed()
        for key, age in ages.items():
            self._sent_at.setdefault(key, {})[incarnation] = now - age
        for key in self._sent_at.keys() - ages.keys():
            if key in listed:
                self._sent_at[key].pop(incarnation, None)
        self._forget_before(now - RETENTION_SECONDS)

    def sent_at(self, key: tuple[str, int]) -> float:
        """Return when the last call was sent that may start a run late."""
        return max(self._sent_at.get(key, {}).values(), default=float("-inf"))

    def _forget_before(self, oldest: float) -> None:
        for key in list(self._sent_at):
            if self.sent_at(key) < oldest:
                del self._sent_at[key]
