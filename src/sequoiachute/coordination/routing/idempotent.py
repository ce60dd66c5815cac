"""Runs idempotent requests, with retries within the retry budget."""

from uuid import uuid4

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Answer,
    CallerRequest,
    refuse,
    refuse_missed_deadline,
)
from sequoiachute.coordination.routing.balancing import BalancingPolicy
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.retries import CapacityBackoff, RetryBudget
from sequoiachute.coordination.routing.sender import Sender

MAX_ATTEMPTS = 3


class IdempotentRunner:
    """Tries one backend server after another until one answers."""

    def __init__(
        self,
        backend_pool: BackendPool,
        policy: BalancingPolicy,
        sender: Sender,
        budget: RetryBudget,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._backend_pool = backend_pool
        self._policy = policy
        self._sender = sender
        self._budget = budget
        self._max_attempts = max_attempts

    def run(self, request: CallerRequest) -> Answer:
        """Return the first answer below status 500, else the most conclusive one."""
        tried: set[str] = set()
        backoff = CapacityBackoff(request.deadline)
        answer = refuse("no backend server is available")
        while clock.now() < request.deadline:
            candidates = self._backend_pool.candidates(tried, not tried)
            if not candidates:
                if self._backend_pool.fair_share() and backoff.wait():
                    continue
                return answer
            chosen = self._policy.choose(candidates)
            remaining = request.deadline - clock.now()
            if chosen.would_miss(remaining):
                return _more_conclusive(
                    answer, refuse_missed_deadline(chosen.recent_seconds, remaining)
                )
            worker = chosen.worker
            stats = self._backend_pool.begin_attempt(worker)
            try:
                newest = self._sender.attempt(request, worker, uuid4().hex)
            finally:
                self._backend_pool.end_attempt(stats)
            if newest.outcome == ANSWERED and newest.status < 500:
                return newest
            answer = _more_conclusive(answer, newest)
            if newest.overloaded and backoff.wait():
                continue
            tried.add(worker.worker_id)
            if len(tried) >= self._max_attempts or not self._budget.spend():
                return answer
        return answer


def _more_conclusive(earlier: Answer, newest: Answer) -> Answer:
    """Return the more conclusive of two answers, preferably the newer one.

    A refusal of the newer attempt does not rule out that the earlier one ran.
    """
    order = (NOT_RUN, UNKNOWN, ANSWERED)
    if order.index(newest.outcome) >= order.index(earlier.outcome):
        return newest
    return earlier
