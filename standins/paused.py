"""An eventlet hub on simulated time, for deterministic tests."""

from typing import Any

from eventlet import hubs
from eventlet.hubs.hub import BaseHub


class PausedHub(BaseHub):
    """An eventlet hub whose clock advances only while every task waits.

    The clock then jumps to the next timer. Nothing sleeps, so that minutes of
    simulated time pass in milliseconds and every run is the same.
    """

    def __init__(self) -> None:
        self._now_seconds = 0.0
        self.errors: list[BaseException] = []
        super().__init__(clock=lambda: self._now_seconds)

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
