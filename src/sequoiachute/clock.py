"""Clock of the process.

All timing reads the clock of the running eventlet hub, so that tests can install
a hub with a paused clock.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
from eventlet import hubs

_MONOTONIC_ZERO_EPOCH_SECONDS = time.time() - time.monotonic()
_simulated: Callable[[], float] | None = None


@contextmanager
def simulated(source: Callable[[], float]) -> Iterator[None]:
    """Take all times from ``source`` inside the block, which must not sleep."""
    global _simulated
    previous, _simulated = _simulated, source
    try:
        yield
    finally:
        _simulated = previous


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    if _simulated is not None:
        return _simulated()
    return hubs.get_hub().clock()


def sleep(seconds: float) -> None:
    """Suspend this green thread for at least ``seconds``."""
    eventlet.sleep(seconds)


def elapsed() -> float:
    """Return monotonic seconds, including time that the system was suspended."""
    if _simulated is not None:
        return _simulated()
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return now() + suspended


def wall_time() -> float:
    """Return seconds since the epoch, for records and reports only."""
    if _simulated is not None:
        return _simulated()
    return now() + _MONOTONIC_ZERO_EPOCH_SECONDS
