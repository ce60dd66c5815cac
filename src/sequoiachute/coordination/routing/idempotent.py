"""Requests that may run more than once: tried again within the budget."""

from uuid import uuid4

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Answer,
    CallerRequest,
    refuse,
    refuse_late,
)
from sequoiachute.coordination.routing.balancing import BalancingPolicy
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.retries import Patience, RetryBudget
from sequoiachute.coordination.routing.sender import Sender

ATTEMPTS = 3


class IdempotentRunner:
    """Sends a request to one backend server after another until one answers."""

    def __init__(
        self,
        workload: BackendPool,
        choice: BalancingPolicy,
        sender: Sender,
        budget: RetryBudget,
        attempts: int = ATTEMPTS,
    ) -> None:
        self._workload = workload
        self._choice = choice
        self._sender = sender
        self._budget = budget
        self._attempts = attempts

    def run(self, request: CallerRequest) -> Answer:
        """Return the first good answer, or the most telling one."""
        tried: set[str] = set()
        patience = Patience(request.deadline)
        answer = refuse("no backend server is available")
        while clock.now() < request.deadline:
            candidates = self._workload.candidates(tried, not tried)
            if not candidates:
                if self._workload.share() and patience.wait():
                    continue
                return answer
            chosen = self._choice.choose(candidates)
            left = request.deadline - clock.now()
            if chosen.is_late(left):
                return _more_telling(answer, refuse_late(chosen.recent, left))
            worker = chosen.worker
            observed = self._workload.begin_attempt(worker)
            try:
                newest = self._sender.attempt(request, worker, uuid4().hex)
            finally:
                self._workload.end_attempt(observed)
            if newest.outcome == ANSWERED and newest.status < 500:
                return newest
            answer = _more_telling(answer, newest)
            if newest.overloaded and patience.wait():
                continue
            tried.add(worker.worker_id)
            if len(tried) >= self._attempts or not self._budget.spend():
                return answer
        return answer


def _more_telling(known: Answer, newest: Answer) -> Answer:
    """Return what to tell the caller after two attempts without a good answer.

    A refusal of the second does not unmake what the first may have run.
    """
    order = (NOT_RUN, UNKNOWN, ANSWERED)
    if order.index(newest.outcome) >= order.index(known.outcome):
        return newest
    return known
