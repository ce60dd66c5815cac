"""An eventlet hub whose clock tests pause and advance."""

from typing import Any

from eventlet import hubs
from eventlet.hubs.hub import BaseHub


class PausedHub(BaseHub):
    """An eventlet hub whose clock stands still but for what tasks wait for.

    When every task waits, the clock jumps to the next timer. Nothing sleeps,
    so that minutes of protocol time pass in milliseconds and every run is the
    same.
    """

    def __init__(self) -> None:
        self._time = 0.0
        self.errors: list[BaseException] = []
        super().__init__(clock=lambda: self._time)

    def squelch_timer_exception(self, timer: Any, exc_info: Any) -> None:
        """Keep what a task raised, for tests to look at."""
        self.errors.append(exc_info[1])
        super().squelch_timer_exception(timer, exc_info)

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock instead of sleeping."""
        if not self.timers and not self.next_timers:
            raise RuntimeError("every task waits and no timer is set")
        if seconds is not None and seconds > 0:
            self._time += seconds


def install_paused_clock() -> None:
    """Give this thread a new hub whose clock starts at zero."""
    hubs.use_hub(PausedHub)
