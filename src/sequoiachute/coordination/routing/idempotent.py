"""Requests that may run more than once: tried again within the budget."""

from uuid import uuid4

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Answer,
    Request,
    refuse,
)
from sequoiachute.coordination.routing.choice import Choice
from sequoiachute.coordination.routing.retries import RetryBudget
from sequoiachute.coordination.routing.sender import Sender
from sequoiachute.coordination.routing.workload import Workload

ATTEMPTS = 3


class IdempotentRunner:
    """Sends a request to one backend server after another until one answers."""

    def __init__(
        self,
        workload: Workload,
        choice: Choice,
        sender: Sender,
        budget: RetryBudget,
        attempts: int = ATTEMPTS,
    ) -> None:
        self._workload = workload
        self._choice = choice
        self._sender = sender
        self._budget = budget
        self._attempts = attempts

    def run(self, request: Request) -> Answer:
        """Return the first good answer, or the last one."""
        tried: set[str] = set()
        answer = refuse("no backend server is available")
        for number in range(self._attempts):
            candidates = self._workload.candidates(tried, number == 0)
            if not candidates or clock.now() >= request.deadline:
                return answer
            if number and not self._budget.spend():
                return answer
            worker = self._choice.choose(candidates).worker
            tried.add(worker.worker_id)
            newest = self._sender.attempt(request, worker, uuid4().hex)
            if newest.outcome == ANSWERED and newest.status < 500:
                return newest
            answer = _more_telling(answer, newest)
        return answer


def _more_telling(known: Answer, newest: Answer) -> Answer:
    """Return what to tell the caller after two attempts without a good answer.

    A refusal of the second does not unmake what the first may have run.
    """
    order = (NOT_RUN, UNKNOWN, ANSWERED)
    if order.index(newest.outcome) >= order.index(known.outcome):
        return newest
    return known
