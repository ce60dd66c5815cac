"""The runtime's clock.

All timing reads the clock of the running eventlet hub, so that a test which
installs a hub with a paused clock controls it.
"""

import time

import eventlet
from eventlet import hubs

_EPOCH_OF_MONOTONIC_ZERO = time.time() - time.monotonic()


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    return hubs.get_hub().clock()


def sleep(seconds: float) -> None:
    """Let other tasks run for at least ``seconds``."""
    eventlet.sleep(seconds)


def elapsed() -> float:
    """Return monotonic seconds that also count the time of a suspension."""
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return now() + suspended


def wall_time() -> float:
    """Return seconds since the epoch, for records and reports only."""
    return now() + _EPOCH_OF_MONOTONIC_ZERO
