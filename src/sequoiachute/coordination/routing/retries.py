"""How often requests may be tried again."""

from sequoiachute import clock

RETRY_SHARE = 0.1  # retries for each request
MAX_TOKENS = 20.0
FIRST_WAIT_SECONDS = 0.02
LAST_WAIT_SECONDS = 0.2
PATIENT_SHARE = 0.5  # of the time left until the deadline


class RetryBudget:
    """A token bucket filled by requests and emptied by their retries.

    Parameters
    ----------
    share : float
        Retries that each request pays for.
    capacity : float
        Most tokens kept for a burst.
    """

    def __init__(
        self, share: float = RETRY_SHARE, capacity: float = MAX_TOKENS
    ) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def fill(self) -> None:
        """Count a request."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Patience:
    """Waits for room at backend servers that were all full.

    Parameters
    ----------
    deadline : float
        Clock time in seconds of the request's deadline. Half of what is left
        may be waited, so that a refused caller has time to ask elsewhere.
    """

    def __init__(self, deadline: float) -> None:
        self._until = clock.now() + (deadline - clock.now()) * PATIENT_SHARE
        self._waits = 0

    def wait(self) -> bool:
        """Wait a little longer each time; return false once it is enough."""
        pause = min(LAST_WAIT_SECONDS, FIRST_WAIT_SECONDS * 2**self._waits)
        if clock.now() + pause > self._until:
            return False
        clock.sleep(pause)
        self._waits += 1
        return True
