"""One attempt at one backend server."""

import eventlet
from result import Err, Result

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    Answer,
    CallerRequest,
    check_reply,
    refuse,
    unknown,
)
from sequoiachute.coordination.routing.pool import BackendPool, BackendStats
from sequoiachute.errors import RpcError
from sequoiachute.protocol.messages import (
    ATTEMPT,
    EXECUTE,
    AttemptQuery,
    Execute,
    ExecuteReply,
)
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet, Worker
from sequoiachute.transport.ports import RpcCaller

RPC_MARGIN_SECONDS = 0.5
WATCH_SECONDS = 0.5
VALID_SECONDS = 10.0


def valid_until(worker: Worker) -> float:
    """Return until when, on the agent's own clock, an attempt may begin.

    Nothing is added for the time since the agent told its clock: an entry
    that was paused sends attempts that are already invalid.
    """
    return worker.agent_clock + VALID_SECONDS


class Sender:
    """Sends attempts, learns from their ends and asks what became of them."""

    def __init__(
        self,
        fleet: Fleet,
        configuration: Configuration,
        workload: BackendPool,
        caller: RpcCaller,
    ) -> None:
        self._fleet = fleet
        self._configuration = configuration
        self._workload = workload
        self._caller = caller

    def attempt(
        self, request: CallerRequest, worker: Worker, attempt_id: str
    ) -> Answer:
        """Run ``request`` on ``worker``, counted in there, and return its answer."""
        return self.attempt_until(request, worker, attempt_id, valid_until(worker))

    def attempt_until(
        self, request: CallerRequest, worker: Worker, attempt_id: str, valid: float
    ) -> Answer:
        """Run ``request`` as an attempt that may begin up to ``valid``."""
        left = request.deadline - clock.now()
        if left <= 0:
            return refuse("the deadline has passed")
        message = Execute(
            request_id=request.request_id,
            attempt_id=attempt_id,
            incarnation=worker.incarnation,
            account=request.account,
            idempotent=request.idempotent,
            deadline=left,
            config_offset=self._configuration.offset,
            content_type=request.content_type,
            body=request.body,
            valid_until=valid,
        )
        observed = self._workload.stats(worker)
        outstanding = observed.outstanding
        began = clock.now()
        outcome = self._call(worker, message, left + RPC_MARGIN_SECONDS)
        answer = _answer_of(message, outcome)
        if outcome.is_ok():
            open_connections = outcome.unwrap().open_connections
            self._workload.update_open_connections(
                worker.worker_id, open_connections, 1
            )
            full = open_connections >= worker.connections
            answer = answer._replace(overloaded=answer.outcome == NOT_RUN and full)
        self._learn(observed, answer, clock.now() - began, outstanding)
        return answer

    def ask(
        self, query: AttemptQuery, address: str, timeout: float
    ) -> Result[ExecuteReply, RpcError]:
        """Ask the agent at ``address`` what became of an attempt."""
        return self._caller.call(address, ATTEMPT, query, timeout)

    def _call(
        self, worker: Worker, message: Execute, timeout: float
    ) -> Result[ExecuteReply, RpcError]:
        """Call the agent; give up as soon as it has fallen silent."""
        task = eventlet.spawn(
            self._caller.call, worker.address, EXECUTE, message, timeout
        )
        while True:
            with eventlet.Timeout(WATCH_SECONDS, False):
                return task.wait()
            if not self._fleet.is_live(worker, clock.now()):
                return Err(RpcError(worker.address, "the agent is silent", True))

    def _learn(
        self, observed: BackendStats, answer: Answer, seconds: float, outstanding: int
    ) -> None:
        if answer.undelivered:
            self._workload.fail(observed, 1.0)
            return
        if answer.outcome == NOT_RUN:
            return
        if answer.outcome == ANSWERED and answer.status < 500:
            self._workload.succeed(observed, seconds, outstanding)
            return
        self._workload.fail(observed)


def _answer_of(message: Execute, outcome: Result[ExecuteReply, RpcError]) -> Answer:
    attempt_id = message.attempt_id
    if outcome.is_ok():
        return check_reply(message.request_id, attempt_id, outcome.unwrap())
    error = outcome.unwrap_err()
    if not error.delivered:
        refusal = refuse(error.reason)
        return refusal._replace(attempt_id=attempt_id, undelivered=True)
    return unknown(attempt_id, error.reason)
