"""An eventlet hub on simulated time, for deterministic tests."""

from itertools import count
from typing import Any

from eventlet import hubs
from eventlet.hubs.hub import BaseHub


class _TimerEntry(tuple):
    """A timer with its time; entries of the same time keep their order.

    The hub's own entries of the same time are ordered by memory address.
    """

    number: int

    def __lt__(self, other: Any) -> bool:
        return (self[0], self.number) < (other[0], other.number)


class PausedHub(BaseHub):
    """An eventlet hub whose clock advances only while every task waits.

    The clock then jumps to the next timer. Nothing sleeps, so that minutes of
    simulated time pass in milliseconds and every run is the same.
    """

    def __init__(self) -> None:
        self._now_seconds = 0.0
        self.errors: list[BaseException] = []
        self._entry_numbers = count()
        super().__init__(clock=lambda: self._now_seconds)

    def add_timer(self, timer: Any) -> float:
        """Set a timer; return its time."""
        entry = _TimerEntry((self.clock() + timer.seconds, timer))
        entry.number = next(self._entry_numbers)
        self.next_timers.append(entry)
        return entry[0]

    def squelch_timer_exception(self, timer: Any, exc_info: Any) -> None:
        """Record the exception of a task in ``errors``, for tests to check."""
        self.errors.append(exc_info[1])
        super().squelch_timer_exception(timer, exc_info)

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock instead of sleeping.

        Raises
        ------
        RuntimeError
            If no timer is set, so that nothing would ever wake a task.
        """
        if not self.timers and not self.next_timers:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        if seconds is not None and seconds > 0:
            self._now_seconds += seconds


def install_paused_clock() -> None:
    """Install a new hub for this thread, with its clock at zero."""
    hubs.use_hub(PausedHub)
