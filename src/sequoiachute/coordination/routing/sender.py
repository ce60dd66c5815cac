"""Sends a request to one backend server, as one attempt."""

import eventlet
from result import Err, Result

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    Answer,
    CallerRequest,
    refuse,
    unknown_outcome,
    validate_reply,
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

RPC_MARGIN_SECONDS = 0.5  # beyond the request's deadline
LIVENESS_CHECK_SECONDS = 0.5
ATTEMPT_VALID_SECONDS = 10.0


def attempt_valid_until(worker: Worker) -> float:
    """Return the agent's clock time until which a new attempt may begin.

    It counts from the clock that the agent last reported. The time since then
    is not added, so that an entry that was paused sends attempts that are
    already invalid.
    """
    return worker.agent_clock + ATTEMPT_VALID_SECONDS


class Sender:
    """Sends attempts, records their outcomes and queries unknown ones."""

    def __init__(
        self,
        fleet: Fleet,
        configuration: Configuration,
        backend_pool: BackendPool,
        caller: RpcCaller,
    ) -> None:
        self._fleet = fleet
        self._configuration = configuration
        self._backend_pool = backend_pool
        self._caller = caller

    def attempt(
        self, request: CallerRequest, worker: Worker, attempt_id: str
    ) -> Answer:
        """Run ``request`` on ``worker`` and return its answer.

        The caller must have counted the attempt with ``begin_attempt``.
        """
        return self.attempt_until(
            request, worker, attempt_id, attempt_valid_until(worker)
        )

    def attempt_until(
        self,
        request: CallerRequest,
        worker: Worker,
        attempt_id: str,
        valid_until: float,
    ) -> Answer:
        """Run ``request`` as an attempt that may begin up to ``valid_until``.

        ``valid_until`` is on the agent's clock, in seconds.
        """
        remaining = request.deadline - clock.now()
        if remaining <= 0:
            return refuse("the deadline has passed")
        message = Execute(
            request_id=request.request_id,
            attempt_id=attempt_id,
            incarnation=worker.incarnation,
            account=request.account,
            idempotent=request.idempotent,
            deadline=remaining,
            config_offset=self._configuration.offset,
            content_type=request.content_type,
            body=request.body,
            valid_until=valid_until,
        )
        stats = self._backend_pool.stats(worker)
        outstanding = stats.outstanding
        began = clock.now()
        outcome = self._call(worker, message, remaining + RPC_MARGIN_SECONDS)
        answer = _to_answer(message, outcome)
        if outcome.is_ok():
            open_connections = outcome.unwrap().open_connections
            self._backend_pool.update_open_connections(
                worker.worker_id, open_connections, 1
            )
            is_full = open_connections >= worker.connections
            answer = answer._replace(overloaded=answer.outcome == NOT_RUN and is_full)
        self._record_outcome(stats, answer, clock.now() - began, outstanding)
        return answer

    def query_attempt(
        self, query: AttemptQuery, address: str, timeout: float
    ) -> Result[ExecuteReply, RpcError]:
        """Query the agent at ``address`` for the outcome of an attempt."""
        return self._caller.call(address, ATTEMPT, query, timeout)

    def _call(
        self, worker: Worker, message: Execute, timeout: float
    ) -> Result[ExecuteReply, RpcError]:
        """Call the agent; return an error once it no longer announces itself."""
        task = eventlet.spawn(
            self._caller.call, worker.address, EXECUTE, message, timeout
        )
        while True:
            with eventlet.Timeout(LIVENESS_CHECK_SECONDS, False):
                return task.wait()
            if not self._fleet.is_live(worker, clock.now()):
                return Err(RpcError(worker.address, "the agent is silent", True))

    def _record_outcome(
        self, stats: BackendStats, answer: Answer, seconds: float, outstanding: int
    ) -> None:
        if answer.undelivered:
            self._backend_pool.record_failure(stats, 1.0)
            return
        if answer.outcome == NOT_RUN:
            return
        if answer.outcome == ANSWERED and answer.status < 500:
            self._backend_pool.record_success(stats, seconds, outstanding)
            return
        self._backend_pool.record_failure(stats)


def _to_answer(message: Execute, outcome: Result[ExecuteReply, RpcError]) -> Answer:
    attempt_id = message.attempt_id
    if outcome.is_ok():
        return validate_reply(message.request_id, attempt_id, outcome.unwrap())
    error = outcome.unwrap_err()
    if not error.delivered:
        refusal = refuse(error.reason)
        return refusal._replace(attempt_id=attempt_id, undelivered=True)
    return unknown_outcome(attempt_id, error.reason)
