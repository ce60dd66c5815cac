"""Routes callers' requests to backend servers."""

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
from sequoiachute.coordination.routing.balancing import (
    BalancingPolicy,
    LeastExpectedTime,
)
from sequoiachute.coordination.routing.idempotent import IdempotentRunner
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.recorder import OutcomeRecorder
from sequoiachute.coordination.routing.retries import RetryBudget
from sequoiachute.coordination.routing.sender import Sender
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.intents import IntentTable
from sequoiachute.transport.ports import RpcCaller

__all__ = ["ANSWERED", "NOT_RUN", "RAN", "UNKNOWN", "Answer", "CallerRequest", "Router"]


class Router:
    """Admits requests, sends each where it should finish first, and returns answers."""

    def __init__(
        self,
        fleet: Fleet,
        configuration: Configuration,
        intents: IntentTable,
        intents_writer: StreamWriter,
        caller: RpcCaller,
        policy: BalancingPolicy | None = None,
    ) -> None:
        policy = policy or LeastExpectedTime()
        self.backend_pool = BackendPool(fleet, configuration)
        self.admission = Admission(configuration, self.backend_pool)
        self._budget = RetryBudget()
        self._recorder = OutcomeRecorder(intents, intents_writer)
        sender = Sender(fleet, configuration, self.backend_pool, caller)
        self._idempotent = IdempotentRunner(
            self.backend_pool, policy, sender, self._budget
        )
        self._at_most_once = AtMostOnceRunner(
            fleet,
            intents,
            intents_writer,
            self._recorder,
            self.backend_pool,
            policy,
            sender,
            self._budget,
        )

    @property
    def pending_records(self) -> int:
        """Number of request outcomes that are not in the log yet."""
        return self._recorder.pending

    def serve(self, request: CallerRequest) -> Answer:
        """Run ``request`` and return its answer, or a refusal with its reason."""
        if not request.idempotent:
            found = self._at_most_once.find_answer(request)
            if found is not None:
                return found
        refusal = self.admission.admit(request.account, request.deadline)
        if refusal is not None:
            return refusal
        began = clock.now()
        self._budget.fill()
        try:
            if request.idempotent:
                return self._idempotent.run(request)
            return self._at_most_once.run(request)
        finally:
            self.admission.release(request.account, clock.now() - began)
