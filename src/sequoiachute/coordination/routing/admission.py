"""Per-account limits and the fair queue of an entry instance."""

from collections import deque
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import Answer, refuse
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.state.configuration import Configuration

DEFAULT_QUEUED_REQUESTS = 256
DEFAULT_RUNNING_REQUESTS = 1024
MAX_QUEUED = 2048
POLL_SECONDS = 0.2
SHORTEST_WAIT_SECONDS = 0.001
SMOOTHING = 0.05
WAIT_MARGIN = 1.2
DEVIATIONS = 2.0  # mean deviations above the mean
MIN_RETRY_AFTER_SECONDS = 1.0


class AccountLimits(NamedTuple):
    """An account's limits at this entry instance and its weight."""

    queued: int
    running: int
    weight: float


class Lane:
    """The requests of one account; ``tag`` orders accounts fairly."""

    def __init__(self) -> None:
        self.running = 0
        self.tag = 0.0
        self.queue: deque[Event] = deque()


class Admission:
    """Lets requests in, account by account, while there is room for them.

    Among accounts with requests waiting, the one that has had the least for
    its weight goes next. Requests that would miss their deadline are refused
    at once. Each entry instance has an equal share of an account's limits, so
    that all together never exceed them.
    """

    def __init__(self, configuration: Configuration, workload: BackendPool) -> None:
        self._configuration = configuration
        self._workload = workload
        self._lanes: dict[str, Lane] = {}
        self._running = 0
        self._queued = 0
        self._tag = 0.0
        self._held_seconds = 0.0
        self._deviation = 0.0

    @property
    def running(self) -> int:
        """Requests let in and not ended."""
        return self._running

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._queued

    def enter(self, account: str, deadline: float) -> Answer | None:
        """Wait for a turn; return a refusal, or ``None`` once let in.

        Each ``None`` must be followed by one ``leave``.
        """
        lane = self._lanes.setdefault(account, Lane())
        limits = self._limits(account)
        refusal = self._refusal(lane, limits, deadline - clock.now())
        if refusal is not None:
            self._drop_idle(account, lane)
            return refusal
        turn = Event()
        if not lane.queue:
            lane.tag = max(lane.tag, self._tag)
        lane.queue.append(turn)
        self._queued += 1
        self._dispatch()
        return self._wait(account, lane, turn, deadline)

    def leave(self, account: str, seconds: float) -> None:
        """Count a request out that was in for ``seconds``."""
        lane = self._lanes[account]
        lane.running -= 1
        self._running -= 1
        self._learn(seconds)
        self._dispatch()
        self._drop_idle(account, lane)

    @property
    def _late_seconds(self) -> float:
        """Time within which nearly every request that is let in ends."""
        return self._held_seconds + DEVIATIONS * self._deviation

    def _learn(self, seconds: float) -> None:
        known = self._held_seconds or seconds
        error = seconds - known
        self._held_seconds = known + SMOOTHING * error
        self._deviation += SMOOTHING * (abs(error) - self._deviation)

    def _wait(
        self, account: str, lane: Lane, turn: Event, deadline: float
    ) -> Answer | None:
        try:
            while not turn.ready():
                left = deadline - clock.now() - self._late_seconds
                if left < SHORTEST_WAIT_SECONDS:
                    break
                with eventlet.Timeout(min(left, POLL_SECONDS), False):
                    turn.wait()
                self._dispatch()
        except BaseException:
            self._withdraw(account, lane, turn)
            raise
        if turn.ready():
            return None
        self._withdraw(account, lane, turn)
        return refuse("the deadline passed in the queue", 503, self._retry_after(lane))

    def _withdraw(self, account: str, lane: Lane, turn: Event) -> None:
        if turn.ready():
            self.leave(account, self._held_seconds)
            return
        lane.queue.remove(turn)
        self._queued -= 1
        self._drop_idle(account, lane)

    def _refusal(self, lane: Lane, limits: AccountLimits, left: float) -> Answer | None:
        if len(lane.queue) >= limits.queued and not self._has_room(lane, limits):
            reason = f"the account has {len(lane.queue)} requests waiting, its limit"
            return refuse(reason, 429, self._retry_after(lane))
        if self._queued >= MAX_QUEUED:
            reason = "the entry's queue is full"
            return refuse(reason, 503, self._retry_after(lane))
        if self._has_room(lane, limits):
            return None
        wait = self._expected_wait(lane, limits)
        if wait * WAIT_MARGIN + self._late_seconds <= left:
            return None
        reason = f"the wait of about {wait:.1f} s would pass the deadline"
        return refuse(reason, 503, max(MIN_RETRY_AFTER_SECONDS, wait))

    def _has_room(self, lane: Lane, limits: AccountLimits) -> bool:
        if lane.queue or lane.running >= limits.running:
            return False
        return self._running < self._workload.capacity()

    def _expected_wait(self, lane: Lane, limits: AccountLimits) -> float:
        """Return the time in seconds after which one more would be let in."""
        ahead = 0.0
        turns = (len(lane.queue) + 1) / limits.weight
        for account, other in self._lanes.items():
            share = turns * self._limits(account).weight
            ahead += min(len(other.queue), share)
        capacity = max(1, self._workload.capacity(), self._workload.share())
        by_capacity = (ahead + 1) * self._held_seconds / capacity
        own = (len(lane.queue) + 1) * self._held_seconds / max(1, limits.running)
        return max(by_capacity, own if lane.running >= limits.running else 0.0)

    def _retry_after(self, lane: Lane) -> float:
        wait = (len(lane.queue) + 1) * self._held_seconds
        wait /= max(1, self._workload.capacity())
        return max(MIN_RETRY_AFTER_SECONDS, wait)

    def _dispatch(self) -> None:
        """Let in whoever's turn it is while there is room."""
        if not self._queued:
            return
        room = self._workload.capacity() - self._running
        while room > 0:
            account = self._next()
            if account is None:
                return
            lane = self._lanes[account]
            turn = lane.queue.popleft()
            self._queued -= 1
            self._running += 1
            lane.running += 1
            self._tag = max(self._tag, lane.tag)
            lane.tag += 1 / self._limits(account).weight
            room -= 1
            turn.send(None)

    def _next(self) -> str | None:
        best = None
        for account, lane in self._lanes.items():
            if not lane.queue or lane.running >= self._limits(account).running:
                continue
            if best is None or lane.tag < self._lanes[best].tag:
                best = account
        return best

    def _drop_idle(self, account: str, lane: Lane) -> None:
        if not lane.queue and not lane.running and lane.tag <= self._tag:
            self._lanes.pop(account, None)

    def _limits(self, account: str) -> AccountLimits:
        known = self._configuration.catalogue["accounts"].get(account)
        limits = known.get("limits", {}) if known else {}
        entries = self._workload.entries()
        queued = limits.get("queued_requests", DEFAULT_QUEUED_REQUESTS)
        running = limits.get("running_requests", DEFAULT_RUNNING_REQUESTS)
        weight = known.get("weight", 1.0) if known else 1.0
        return AccountLimits(
            _share(queued, entries), _share(running, entries), max(weight, 0.01)
        )


def _share(limit: int, entries: int) -> int:
    """Return this entry's part of a limit, at least one unless it is zero."""
    return max(1, limit // entries) if limit else 0
