"""Limits on the appends of one entry: a rate and a circuit breaker."""

import random

from sequoiachute import clock

APPENDS_PER_SECOND = 60.0
APPEND_BURST = 20
BACKOFF_FIRST_SECONDS = 0.25
BACKOFF_LAST_SECONDS = 2.0


class AppendRateLimiter:
    """Spaces appends, so that all entries together stay within the platform's.

    Parameters
    ----------
    per_second : float
        Appends a second over a long time.
    burst : int
        Appends that may follow each other at once after a pause.
    """

    def __init__(
        self, per_second: float = APPENDS_PER_SECOND, burst: int = APPEND_BURST
    ) -> None:
        self._interval = 1.0 / per_second
        self._credit = burst * self._interval
        self._next_at = float("-inf")

    def take(self) -> None:
        """Wait until the next append may be sent."""
        now = clock.now()
        slot = max(self._next_at, now - self._credit)
        self._next_at = slot + self._interval
        if slot > now:
            clock.sleep(slot - now)


class CircuitBreaker:
    """Holds calls off after failures, for longer after each one.

    While it is open no call should be made. After that one call decides: its
    success closes the breaker, its failure opens it again.
    """

    def __init__(
        self,
        first_seconds: float = BACKOFF_FIRST_SECONDS,
        last_seconds: float = BACKOFF_LAST_SECONDS,
    ) -> None:
        self._first_seconds = first_seconds
        self._last_seconds = last_seconds
        self._failures = 0
        self._open_until = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether calls are held off now."""
        return self.remaining() > 0

    def remaining(self) -> float:
        """Return the seconds until the next call may be made."""
        return max(0.0, self._open_until - clock.now())

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._open_until = float("-inf")

    def record_failure(self) -> None:
        """Open the breaker; every failure in a row doubles the time."""
        pause = min(self._last_seconds, self._first_seconds * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._open_until = clock.now() + pause * random.uniform(0.5, 1.0)
