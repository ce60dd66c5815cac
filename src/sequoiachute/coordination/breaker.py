"""Limits the appends of one entry to the log: rate limiter and circuit breaker."""

import random

from sequoiachute import clock

APPENDS_PER_SECOND = 60.0
MAX_APPEND_BURST = 20
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


class AppendRateLimiter:
    """Spaces appends so that all entries together stay within the platform's limit.

    Parameters
    ----------
    per_second : float
        Sustained rate of appends.
    burst : int
        Number of appends that may follow a pause without spacing.
    """

    def __init__(
        self, per_second: float = APPENDS_PER_SECOND, burst: int = MAX_APPEND_BURST
    ) -> None:
        self._interval = 1.0 / per_second
        self._burst_seconds = burst * self._interval
        self._next_at = float("-inf")

    def take(self) -> None:
        """Sleep until the next append may be sent."""
        now = clock.now()
        send_at = max(self._next_at, now - self._burst_seconds)
        self._next_at = send_at + self._interval
        if send_at > now:
            clock.sleep(send_at - now)


class CircuitBreaker:
    """Suspends calls after a failure, for longer after each further one.

    While the breaker is open no call should be made. After that, the outcome
    of one call decides: success closes the breaker, failure opens it again.

    Parameters
    ----------
    first_seconds : float
        Longest suspension after a first failure.
    max_seconds : float
        Longest suspension after any number of failures.
    """

    def __init__(
        self,
        first_seconds: float = FIRST_BACKOFF_SECONDS,
        max_seconds: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._failures = 0
        self._open_until = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether calls are suspended now."""
        return self.remaining() > 0

    def remaining(self) -> float:
        """Return the seconds until the next call may be made."""
        return max(0.0, self._open_until - clock.now())

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._open_until = float("-inf")

    def record_failure(self) -> None:
        """Open the breaker; each consecutive failure doubles the time.

        The time is shortened by a random factor between 0.5 and 1.
        """
        delay = min(self._max_seconds, self._first_seconds * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._open_until = clock.now() + delay * random.uniform(0.5, 1.0)
