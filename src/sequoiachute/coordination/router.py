"""Routing of requests to backend servers."""

from base64 import b64decode, b64encode
from hashlib import sha256
from typing import NamedTuple
from uuid import uuid4

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import StreamWriter, new_record_id
from sequoiachute.protocol.messages import EXECUTE, Execute, ExecuteReply
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet, Worker
from sequoiachute.state.intents import Intent, IntentTable
from sequoiachute.transport.ports import Caller

ATTEMPTS = 3
RETRY_AFTER_SECONDS = 1.0
UNMEASURED_SERVICE_SECONDS = 0.05
SMOOTHING = 0.2  # weight of the newest service time
RPC_MARGIN_SECONDS = 0.5

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Request(NamedTuple):
    """A caller's request; ``deadline`` is clock time in seconds."""

    request_id: str
    account: str
    idempotent: bool
    idempotency_key: str
    content_type: str
    body: bytes
    deadline: float


class Answer(NamedTuple):
    """What the caller is told.

    ``outcome`` is ``answered``, ``not-run`` (certainly nothing ran) or
    ``unknown``. ``retry_after`` is the time in seconds after which to come
    back, zero where coming back is of no use.
    """

    outcome: str
    status: int
    content_type: str
    body: bytes
    attempt_id: str
    reason: str = ""
    retry_after: float = 0.0


class Router:
    """Sends each request to the backend server expected to finish it first."""

    def __init__(
        self,
        fleet: Fleet,
        configuration: Configuration,
        intents: IntentTable,
        intents_writer: StreamWriter,
        caller: Caller,
    ) -> None:
        self._fleet = fleet
        self._configuration = configuration
        self._intents = intents
        self._intents_writer = intents_writer
        self._caller = caller
        self._outstanding: dict[str, int] = {}
        self._service_seconds: dict[str, float] = {}

    def serve(self, request: Request) -> Answer:
        """Run ``request`` and return its answer, or say why there is none."""
        if request.idempotent:
            return self._serve_idempotent(request)
        return self._serve_once(request)

    def _serve_idempotent(self, request: Request) -> Answer:
        tried: set[str] = set()
        answer = _refuse("no backend server is available")
        for _ in range(ATTEMPTS):
            worker = self._choose(tried)
            if worker is None or clock.now() >= request.deadline:
                return answer
            tried.add(worker.worker_id)
            answer = self._attempt(request, worker, uuid4().hex)
            if answer.outcome == ANSWERED and answer.status < 500:
                return answer
        return answer

    def _serve_once(self, request: Request) -> Answer:
        known = self._intents.get(request.account, request.idempotency_key)
        if known is not None and known.outcome != NOT_RUN:
            return _answer_again(request, known)
        worker = self._choose(set())
        if worker is None:
            return _refuse("no backend server is available")
        attempt_id = uuid4().hex
        record = {
            "kind": "intent-recorded",
            "record_id": new_record_id(),
            "account": request.account,
            "idempotency_key": request.idempotency_key,
            "body_digest": sha256(request.body).hexdigest(),
            "request_id": request.request_id,
            "attempt_id": attempt_id,
            "worker_id": worker.worker_id,
            "incarnation": worker.incarnation,
            "recorded_at": clock.wall_time(),
        }
        outcome = self._intents_writer.append(record)
        if outcome.is_err():
            return _refuse(outcome.unwrap_err().reason)
        winner = self._intents.get(request.account, request.idempotency_key)
        if winner is None or winner.attempt_id != attempt_id:
            return _refuse("another request with this key came first")
        answer = self._attempt(request, worker, attempt_id)
        self._record_answer(request, answer)
        return answer

    def _record_answer(self, request: Request, answer: Answer) -> None:
        self._intents_writer.append(
            {
                "kind": "intent-answered",
                "record_id": new_record_id(),
                "account": request.account,
                "idempotency_key": request.idempotency_key,
                "attempt_id": answer.attempt_id,
                "outcome": answer.outcome,
                "status": answer.status,
                "content_type": answer.content_type,
                "answer": b64encode(answer.body).decode(),
            }
        )

    def _attempt(self, request: Request, worker: Worker, attempt_id: str) -> Answer:
        left = request.deadline - clock.now()
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
        )
        name = worker.worker_id
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        try:
            outcome = self._caller.call(
                worker.address, EXECUTE, message, left + RPC_MARGIN_SECONDS
            )
        finally:
            self._outstanding[name] -= 1
        if outcome.is_err():
            error = outcome.unwrap_err()
            if not error.delivered:
                return _refuse(error.reason)._replace(attempt_id=attempt_id)
            return _unknown(attempt_id, error.reason)
        return self._check(message, worker, outcome.unwrap())

    def _check(self, message: Execute, worker: Worker, reply: ExecuteReply) -> Answer:
        """Return the answer if it is whole and belongs to the request."""
        if reply.attempt_id != message.attempt_id:
            return _unknown(message.attempt_id, "the answer is of another attempt")
        if reply.outcome == NOT_RUN:
            return _refuse(reply.reason)._replace(attempt_id=message.attempt_id)
        if reply.outcome != ANSWERED:
            return _unknown(message.attempt_id, reply.reason)
        whole = len(reply.body) == reply.length
        if not whole or sha256(reply.body).hexdigest() != reply.digest:
            logger.bind(attempt=reply.attempt_id).warning("answer is not whole")
            return _unknown(message.attempt_id, "the answer is not whole")
        self._learn(worker.worker_id, reply.service_seconds)
        return Answer(
            ANSWERED, reply.status, reply.content_type, reply.body, reply.attempt_id
        )

    def _learn(self, worker_id: str, seconds: float) -> None:
        known = self._service_seconds.get(worker_id, seconds)
        self._service_seconds[worker_id] = known + SMOOTHING * (seconds - known)

    def _choose(self, tried: set[str]) -> Worker | None:
        best = None
        best_cost = float("inf")
        for worker in self._fleet.live(clock.now()):
            if worker.leaving or worker.worker_id in tried:
                continue
            if not self._configuration.in_service(worker.data_centre):
                continue
            cost = self._expected_seconds(worker)
            if cost < best_cost:
                best = worker
                best_cost = cost
        return best

    def _expected_seconds(self, worker: Worker) -> float:
        unmeasured = UNMEASURED_SERVICE_SECONDS / worker.speed
        service = self._service_seconds.get(worker.worker_id, unmeasured)
        own = self._outstanding.get(worker.worker_id, 0)
        return service * (1 + max(own, worker.open_connections))


def _refuse(reason: str) -> Answer:
    return Answer(NOT_RUN, 503, "", b"", "", reason, RETRY_AFTER_SECONDS)


def _unknown(attempt_id: str, reason: str) -> Answer:
    return Answer(UNKNOWN, 502, "", b"", attempt_id, reason)


def _answer_again(request: Request, intent: Intent) -> Answer:
    """Return what is known of the attempt that won the key."""
    if intent.body_digest != sha256(request.body).hexdigest():
        reason = "the idempotency key was used with another body; use a new key"
        return Answer(NOT_RUN, 409, "", b"", "", reason)
    if intent.outcome == ANSWERED:
        body = b64decode(intent.answer)
        return Answer(
            ANSWERED, intent.status, intent.content_type, body, intent.attempt_id
        )
    if intent.outcome == UNKNOWN:
        reason = "the attempt's end is not known; it will not be run again"
        return _unknown(intent.attempt_id, reason)
    reason = "the request is still running; ask again with the same key"
    return _unknown(intent.attempt_id, reason)._replace(retry_after=RETRY_AFTER_SECONDS)
