"""Admits requests to an entry instance: account limits and weighted fair queueing."""

from collections import deque
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import Answer, refuse
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.state.configuration import Configuration

DEFAULT_QUEUED_REQUESTS = 256  # per account, over all entries
DEFAULT_RUNNING_REQUESTS = 1024
MAX_QUEUED_REQUESTS = 2048  # of all accounts, at one entry
POLL_SECONDS = 0.2  # capacity also grows without a request ending
MIN_WAIT_SECONDS = 0.001
SMOOTHING = 0.05  # weight of the newest sample in moving averages
WAIT_MARGIN = 1.2
SERVICE_TIME_DEVIATIONS = 2.0  # mean deviations above the mean
MIN_RETRY_AFTER_SECONDS = 1.0


class AccountLimits(NamedTuple):
    """An account's share of its limits at this entry instance, and its weight."""

    queued: int
    running: int
    weight: float


class AccountQueue:
    """The requests of one account.

    ``virtual_time`` grows by 1 / weight with each admitted request; the
    account with the least is served next.
    """

    def __init__(self) -> None:
        self.running = 0
        self.virtual_time = 0.0
        self.waiting: deque[Event] = deque()


class Admission:
    """Admits requests by weighted fair queueing while there is capacity.

    Among accounts with requests waiting, the one that has been served least
    for its weight goes next. Requests that would miss their deadline are
    refused at once. Each entry instance has an equal share of an account's
    limits, so that all together never exceed them.
    """

    def __init__(self, configuration: Configuration, backend_pool: BackendPool) -> None:
        self._configuration = configuration
        self._backend_pool = backend_pool
        self._queues: dict[str, AccountQueue] = {}
        self._running = 0
        self._queued = 0
        self._virtual_time = 0.0
        self._mean_service_seconds = 0.0
        self._mean_deviation = 0.0

    @property
    def running(self) -> int:
        """Number of requests admitted and not yet released."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of requests waiting for admission."""
        return self._queued

    def admit(self, account: str, deadline: float) -> Answer | None:
        """Wait for admission; return a refusal, or ``None`` once admitted.

        ``deadline`` is clock time in seconds. Each ``None`` must be followed by
        one call of ``release``.
        """
        queue = self._queues.setdefault(account, AccountQueue())
        limits = self._limits(account)
        refusal = self._refusal(queue, limits, deadline - clock.now())
        if refusal is not None:
            self._drop_if_idle(account, queue)
            return refusal
        admitted = Event()
        if not queue.waiting:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.waiting.append(admitted)
        self._queued += 1
        self._admit_waiting()
        return self._await_admission(account, queue, admitted, deadline)

    def release(self, account: str, seconds: float) -> None:
        """Release the place of a request that ended ``seconds`` after admission."""
        queue = self._queues[account]
        queue.running -= 1
        self._running -= 1
        self._update_service_time(seconds)
        self._admit_waiting()
        self._drop_if_idle(account, queue)

    @property
    def _service_time_bound(self) -> float:
        """Time in seconds within which nearly every admitted request ends."""
        return (
            self._mean_service_seconds + SERVICE_TIME_DEVIATIONS * self._mean_deviation
        )

    def _update_service_time(self, seconds: float) -> None:
        mean = self._mean_service_seconds or seconds
        error = seconds - mean
        self._mean_service_seconds = mean + SMOOTHING * error
        self._mean_deviation += SMOOTHING * (abs(error) - self._mean_deviation)

    def _await_admission(
        self, account: str, queue: AccountQueue, admitted: Event, deadline: float
    ) -> Answer | None:
        try:
            while not admitted.ready():
                remaining = deadline - clock.now() - self._service_time_bound
                if remaining < MIN_WAIT_SECONDS:
                    break
                with eventlet.Timeout(min(remaining, POLL_SECONDS), False):
                    admitted.wait()
                self._admit_waiting()
        except BaseException:
            self._withdraw(account, queue, admitted)
            raise
        if admitted.ready():
            return None
        self._withdraw(account, queue, admitted)
        return refuse(
            "the request would miss its deadline in the queue",
            503,
            self._retry_after(queue),
        )

    def _withdraw(self, account: str, queue: AccountQueue, admitted: Event) -> None:
        if admitted.ready():
            self.release(account, self._mean_service_seconds)
            return
        queue.waiting.remove(admitted)
        self._queued -= 1
        self._drop_if_idle(account, queue)

    def _refusal(
        self, queue: AccountQueue, limits: AccountLimits, remaining: float
    ) -> Answer | None:
        if len(queue.waiting) >= limits.queued and not self._has_capacity(
            queue, limits
        ):
            reason = f"the account has {len(queue.waiting)} requests waiting, its limit"
            return refuse(reason, 429, self._retry_after(queue))
        if self._queued >= MAX_QUEUED_REQUESTS:
            reason = f"the entry has {self._queued} requests waiting, its limit"
            return refuse(reason, 503, self._retry_after(queue))
        if self._has_capacity(queue, limits):
            return None
        wait = self._expected_wait(queue, limits)
        if wait * WAIT_MARGIN + self._service_time_bound <= remaining:
            return None
        reason = f"the wait of about {wait:.1f} s would pass the deadline"
        return refuse(reason, 503, max(MIN_RETRY_AFTER_SECONDS, wait))

    def _has_capacity(self, queue: AccountQueue, limits: AccountLimits) -> bool:
        if queue.waiting or queue.running >= limits.running:
            return False
        return self._running < self._backend_pool.capacity()

    def _expected_wait(self, queue: AccountQueue, limits: AccountLimits) -> float:
        """Return the seconds after which one more request would be admitted."""
        requests_ahead = 0.0
        virtual_time_needed = (len(queue.waiting) + 1) / limits.weight
        for account, other in self._queues.items():
            share = virtual_time_needed * self._limits(account).weight
            requests_ahead += min(len(other.waiting), share)
        capacity = max(
            1, self._backend_pool.capacity(), self._backend_pool.fair_share()
        )
        capacity_wait = (requests_ahead + 1) * self._mean_service_seconds / capacity
        limit_wait = (
            (len(queue.waiting) + 1)
            * self._mean_service_seconds
            / max(1, limits.running)
        )
        return max(
            capacity_wait, limit_wait if queue.running >= limits.running else 0.0
        )

    def _retry_after(self, queue: AccountQueue) -> float:
        wait = (len(queue.waiting) + 1) * self._mean_service_seconds
        wait /= max(1, self._backend_pool.capacity())
        return max(MIN_RETRY_AFTER_SECONDS, wait)

    def _admit_waiting(self) -> None:
        """Admit waiting requests in fair order while there is capacity."""
        if not self._queued:
            return
        free = self._backend_pool.capacity() - self._running
        while free > 0:
            account = self._next_account()
            if account is None:
                return
            queue = self._queues[account]
            admitted = queue.waiting.popleft()
            self._queued -= 1
            self._running += 1
            queue.running += 1
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
            queue.virtual_time += 1 / self._limits(account).weight
            free -= 1
            admitted.send(None)

    def _next_account(self) -> str | None:
        best = None
        for account, queue in self._queues.items():
            if not queue.waiting or queue.running >= self._limits(account).running:
                continue
            if best is None or queue.virtual_time < self._queues[best].virtual_time:
                best = account
        return best

    def _drop_if_idle(self, account: str, queue: AccountQueue) -> None:
        if (
            not queue.waiting
            and not queue.running
            and queue.virtual_time <= self._virtual_time
        ):
            self._queues.pop(account, None)

    def _limits(self, account: str) -> AccountLimits:
        settings = self._configuration.catalogue["accounts"].get(account)
        limits = settings.get("limits", {}) if settings else {}
        entries = self._backend_pool.entry_count()
        queued = limits.get("queued_requests", DEFAULT_QUEUED_REQUESTS)
        running = limits.get("running_requests", DEFAULT_RUNNING_REQUESTS)
        weight = settings.get("weight", 1.0) if settings else 1.0
        return AccountLimits(
            _entry_share(queued, entries),
            _entry_share(running, entries),
            max(weight, 0.01),
        )


def _entry_share(limit: int, entries: int) -> int:
    """Return one entry's part of a limit, at least one unless the limit is zero."""
    return max(1, limit // entries) if limit else 0
