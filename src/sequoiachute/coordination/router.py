"""Routing of requests to backend servers."""

from sequoiachute import clock
from sequoiachute.coordination.log import StreamWriter
from sequoiachute.coordination.routing.admission import Admission
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    RAN,
    UNKNOWN,
    Answer,
    CallerRequest,
)
from sequoiachute.coordination.routing.at_most_once import AtMostOnceRunner
from sequoiachute.coordination.routing.balancing import BalancingPolicy, LeastExpected
from sequoiachute.coordination.routing.idempotent import IdempotentRunner
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.recorder import Recorder
from sequoiachute.coordination.routing.retries import RetryBudget
from sequoiachute.coordination.routing.sender import Sender
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.intents import IntentTable
from sequoiachute.transport.ports import RpcCaller

__all__ = ["ANSWERED", "NOT_RUN", "RAN", "UNKNOWN", "Answer", "CallerRequest", "Router"]


class Router:
    """Lets requests in, sends them where they finish first, and tells the end."""

    def __init__(
        self,
        fleet: Fleet,
        configuration: Configuration,
        intents: IntentTable,
        intents_writer: StreamWriter,
        caller: RpcCaller,
        choice: BalancingPolicy | None = None,
    ) -> None:
        choice = choice or LeastExpected()
        self.backend_pool = BackendPool(fleet, configuration)
        self.admission = Admission(configuration, self.backend_pool)
        self._budget = RetryBudget()
        self._recorder = Recorder(intents, intents_writer)
        sender = Sender(fleet, configuration, self.backend_pool, caller)
        self._idempotent = IdempotentRunner(
            self.backend_pool, choice, sender, self._budget
        )
        self._once = AtMostOnceRunner(
            fleet,
            intents,
            intents_writer,
            self._recorder,
            self.backend_pool,
            choice,
            sender,
            self._budget,
        )

    @property
    def pending_records(self) -> int:
        """Ends of requests that are not in the log yet."""
        return self._recorder.pending

    def serve(self, request: CallerRequest) -> Answer:
        """Run ``request`` and return its answer, or say why there is none."""
        if not request.idempotent:
            found = self._once.find(request)
            if found is not None:
                return found
        refusal = self.admission.enter(request.account, request.deadline)
        if refusal is not None:
            return refusal
        began = clock.now()
        self._budget.fill()
        try:
            if request.idempotent:
                return self._idempotent.run(request)
            return self._once.run(request)
        finally:
            self.admission.leave(request.account, clock.now() - began)
