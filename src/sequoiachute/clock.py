"""The runtime's clock.

All timing reads the clock of the running eventlet hub, so that a test which
installs a hub with a paused clock controls it.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
from eventlet import hubs

_EPOCH_OF_MONOTONIC_ZERO = time.time() - time.monotonic()
_simulated: Callable[[], float] | None = None


@contextmanager
def simulated(source: Callable[[], float]) -> Iterator[None]:
    """Read every time from ``source`` meanwhile; nothing may sleep."""
    global _simulated
    before, _simulated = _simulated, source
    try:
        yield
    finally:
        _simulated = before


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    if _simulated is not None:
        return _simulated()
    return hubs.get_hub().clock()


def sleep(seconds: float) -> None:
    """Let other tasks run for at least ``seconds``."""
    eventlet.sleep(seconds)


def elapsed() -> float:
    """Return monotonic seconds that also count the time of a suspension."""
    if _simulated is not None:
        return _simulated()
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return now() + suspended


def wall_time() -> float:
    """Return seconds since the epoch, for records and reports only."""
    if _simulated is not None:
        return _simulated()
    return now() + _EPOCH_OF_MONOTONIC_ZERO
