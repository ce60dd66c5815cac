"""Limits on retries: a budget for all requests and a backoff for each."""

from sequoiachute import clock

RETRIES_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.2
MAX_WAIT_SHARE = 0.5  # of the time until the deadline


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Parameters
    ----------
    share : float
        Tokens that each request adds; a retry costs one.
    capacity : float
        Largest number of tokens, which bounds a burst of retries.
    """

    def __init__(
        self, share: float = RETRIES_PER_REQUEST, capacity: float = MAX_RETRY_TOKENS
    ) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def fill(self) -> None:
        """Add the share of one request."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CapacityBackoff:
    """Exponential backoff while every backend server is at capacity.

    Parameters
    ----------
    deadline : float
        Clock time in seconds of the request's deadline. Waits end after half
        of the time until then, so that a refused caller can still try another
        entry instance.
    """

    def __init__(self, deadline: float) -> None:
        self._wait_until = clock.now() + (deadline - clock.now()) * MAX_WAIT_SHARE
        self._waits = 0

    def wait(self) -> bool:
        """Sleep, twice as long each time; return false once the time is used up."""
        delay = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**self._waits)
        if clock.now() + delay > self._wait_until:
            return False
        clock.sleep(delay)
        self._waits += 1
        return True
