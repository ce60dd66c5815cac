"""Runs non-idempotent requests at most once, with an intent logged beforehand."""

from base64 import b64decode, b64encode
from hashlib import sha256
from typing import Any
from uuid import uuid4

from sequoiachute import clock
from sequoiachute.coordination.log import StreamWriter, new_record_id
from sequoiachute.coordination.routing.answers import (
    ANSWERED,
    NOT_RUN,
    RAN,
    RETRY_AFTER_SECONDS,
    UNKNOWN,
    Answer,
    CallerRequest,
    answer_released,
    refuse,
    refuse_missed_deadline,
    unknown_outcome,
    validate_reply,
)
from sequoiachute.coordination.routing.balancing import BalancingPolicy
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.recorder import OutcomeRecorder
from sequoiachute.coordination.routing.retries import CapacityBackoff, RetryBudget
from sequoiachute.coordination.routing.sender import Sender, attempt_valid_until
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.messages import AttemptQuery, ExecuteReply
from sequoiachute.state.fleet import Fleet, Worker
from sequoiachute.state.intents import Intent, IntentTable

MAX_ATTEMPTS = 3
APPEND_TIMEOUT_SECONDS = 1.5
QUERY_WAIT_SECONDS = 1.0
MAX_RECORDED_ANSWER_BYTES = 32 * 1024
LOG_RETRY_AFTER_SECONDS = 2.0
AGENT_RETRY_AFTER_SECONDS = 5.0

_INTENT_TOO_LATE = LogUnavailableError(
    "the confirmation came too late", maybe_applied=True
)


class AtMostOnceRunner:
    """Runs a request at most once per idempotency key, across all entries.

    The first intent in the log wins the key. Only the entry that wrote it
    sends the attempt. Any entry may query the agent for the outcome; an agent
    that has not seen the attempt refuses it from then on. A new attempt may
    follow only a ``not-run``: the agent refused the attempt, or it never got
    there.
    """

    def __init__(
        self,
        fleet: Fleet,
        intents: IntentTable,
        writer: StreamWriter,
        recorder: OutcomeRecorder,
        backend_pool: BackendPool,
        policy: BalancingPolicy,
        sender: Sender,
        budget: RetryBudget,
    ) -> None:
        self._fleet = fleet
        self._intents = intents
        self._writer = writer
        self._recorder = recorder
        self._backend_pool = backend_pool
        self._policy = policy
        self._sender = sender
        self._budget = budget
        self._active_attempts: set[str] = set()

    def find_answer(self, request: CallerRequest) -> Answer | None:
        """Return the answer for a key already used, ``None`` if it may be run."""
        if not self._is_checkable(request):
            seconds = self._intents.key_seconds
            reason = f"the idempotency key is older than can be checked ({seconds:g} s)"
            return unknown_outcome(
                "", f"{reason}; the request will not be run"
            )._replace(status=410)
        known = self._intents.get(request.account, request.idempotency_key)
        if known is None:
            return None
        if known.body_digest != sha256(request.body).hexdigest():
            reason = "the idempotency key was used with another body; use a new key"
            return refuse(reason, 409, 0.0)
        if known.outcome == NOT_RUN:
            return None
        if known.outcome == ANSWERED and known.held:
            return _answer_from_log(known)
        if known.outcome == UNKNOWN:
            return _permanently_unknown(known)
        return self._resolve(request, known)

    def run(self, request: CallerRequest) -> Answer:
        """Run the request unless another intent has won its key meanwhile."""
        backoff = CapacityBackoff(request.deadline)
        answer = refuse("no backend server is available")
        attempts = 0
        while clock.now() < request.deadline and attempts < MAX_ATTEMPTS:
            candidates = self._backend_pool.candidates(set(), False)
            if not candidates:
                if self._backend_pool.fair_share() and backoff.wait():
                    continue
                return answer
            chosen = self._policy.choose(candidates)
            remaining = request.deadline - clock.now()
            if chosen.would_miss(remaining):
                return refuse_missed_deadline(chosen.recent_seconds, remaining)
            if attempts and not self._budget.spend():
                return answer
            attempts += 1
            worker = chosen.worker
            stats = self._backend_pool.begin_attempt(worker)
            try:
                answer = self._run_attempt(request, worker)
            finally:
                self._backend_pool.end_attempt(stats)
            if answer.outcome != NOT_RUN or not answer.attempt_id:
                return answer
            if answer.overloaded:
                backoff.wait()
        return answer

    def _run_attempt(self, request: CallerRequest, worker: Worker) -> Answer:
        """Return the answer of one attempt.

        A ``not-run`` answer with an ``attempt_id`` may be retried.
        """
        intent = _new_intent(request, worker)
        attempt_id = intent["attempt_id"]
        if self._intents.is_full(clock.wall_time()):
            return refuse("too many idempotency keys are in use")
        self._active_attempts.add(attempt_id)
        try:
            remaining = request.deadline - clock.now()
            outcome = self._writer.append(
                intent, min(remaining, APPEND_TIMEOUT_SECONDS)
            )
            if outcome.is_err():
                return self._abandon(intent, outcome.unwrap_err())
            winner = self._intents.get(request.account, request.idempotency_key)
            if winner is None or winner.attempt_id != attempt_id:
                found = self.find_answer(request)
                return found or refuse("another request with this key came first")
            if not self._is_checkable(request) or clock.now() >= request.deadline:
                return self._abandon(intent, _INTENT_TOO_LATE)
            return self._send(request, worker, intent)
        finally:
            self._active_attempts.discard(attempt_id)

    def _abandon(self, intent: dict[str, Any], error: LogUnavailableError) -> Answer:
        """Refuse an attempt that is never sent, and release the key for a retry."""
        if error.maybe_applied:
            self._recorder.record(_outcome_record(intent, _refusal_never_sent()))
        reason = f"the log service did not confirm the intent: {error.reason}"
        retry_after = max(LOG_RETRY_AFTER_SECONDS, error.retry_after)
        return refuse(reason, 503, retry_after)

    def _send(
        self, request: CallerRequest, worker: Worker, intent: dict[str, Any]
    ) -> Answer:
        attempt_id = intent["attempt_id"]
        answer = self._sender.attempt_until(
            request, worker, attempt_id, intent["valid_until"]
        )
        if answer.outcome == UNKNOWN:
            answer = self._await_outcome(request, intent, answer)
        if answer.outcome == NOT_RUN:
            end = self._writer.append(
                _outcome_record(intent, answer), APPEND_TIMEOUT_SECONDS
            )
            if end.is_ok():
                return answer._replace(attempt_id=attempt_id)
            self._recorder.record(_outcome_record(intent, answer))
            return answer._replace(attempt_id="")
        if answer.outcome == ANSWERED:
            self._recorder.record(_outcome_record(intent, answer))
        return answer

    def _await_outcome(
        self, request: CallerRequest, intent: dict[str, Any], answer: Answer
    ) -> Answer:
        """Query the agent for the outcome of an attempt that got no usable reply."""
        remaining = max(0.0, request.deadline - clock.now())
        wait = min(remaining, QUERY_WAIT_SECONDS)
        query = AttemptQuery(
            request.request_id,
            intent["attempt_id"],
            intent["incarnation"],
            intent["valid_until"],
            wait,
        )
        outcome = self._sender.query_attempt(
            query, intent["address"], wait + QUERY_WAIT_SECONDS
        )
        if outcome.is_ok():
            return _validate(query, outcome.unwrap())
        return answer._replace(status=503, retry_after=AGENT_RETRY_AFTER_SECONDS)

    def _resolve(self, request: CallerRequest, known: Intent) -> Answer | None:
        """Return the answer of a key's earlier attempt, ``None`` if it can't run."""
        if known.attempt_id in self._active_attempts:
            reason = "the request is still running; retry with the same key"
            return unknown_outcome(known.attempt_id, reason, RETRY_AFTER_SECONDS)
        worker = self._fleet.get(known.worker_id)
        replaced = worker is not None and worker.incarnation != known.incarnation
        if known.outcome == ANSWERED and replaced:
            return answer_released(known.attempt_id, known.answer_bytes)
        if replaced:
            self._recorder.record(
                _outcome_record(known._asdict(), _permanently_unknown(known))
            )
            return _permanently_unknown(known)
        remaining = max(0.0, request.deadline - clock.now())
        wait = min(remaining, QUERY_WAIT_SECONDS)
        query = AttemptQuery(
            known.request_id,
            known.attempt_id,
            known.incarnation,
            known.valid_until,
            wait,
        )
        outcome = self._sender.query_attempt(
            query, known.address, wait + QUERY_WAIT_SECONDS
        )
        if known.outcome == ANSWERED:
            return _answer_from_agent(known, query, outcome)
        if outcome.is_err():
            reason = "its backend server can't be reached now; retry with the same key"
            return unknown_outcome(known.attempt_id, reason, AGENT_RETRY_AFTER_SECONDS)
        return self._record_outcome(known, _validate(query, outcome.unwrap()))

    def _record_outcome(self, known: Intent, answer: Answer) -> Answer | None:
        """Record what the agent replied; return ``None`` if the request may be run."""
        record = _outcome_record(known._asdict(), answer)
        if answer.outcome == NOT_RUN:
            if self._writer.append(record, APPEND_TIMEOUT_SECONDS).is_ok():
                return None
            self._recorder.record(record)
            return refuse(answer.reason, 503, LOG_RETRY_AFTER_SECONDS)
        if answer.outcome in (ANSWERED, RAN) or not answer.retry_after:
            self._recorder.record(record)
        if answer.outcome == UNKNOWN and not answer.retry_after:
            return _permanently_unknown(known)
        return answer

    def _is_checkable(self, request: CallerRequest) -> bool:
        if not request.key_created_at:
            return True
        return self._intents.is_checkable(request.key_created_at, clock.wall_time())


def _new_intent(request: CallerRequest, worker: Worker) -> dict[str, Any]:
    return {
        "kind": "intent-recorded",
        "record_id": new_record_id(),
        "account": request.account,
        "idempotency_key": request.idempotency_key,
        "body_digest": sha256(request.body).hexdigest(),
        "request_id": request.request_id,
        "attempt_id": uuid4().hex,
        "worker_id": worker.worker_id,
        "incarnation": worker.incarnation,
        "recorded_at": clock.wall_time(),
        "address": worker.address,
        "valid_until": attempt_valid_until(worker),
    }


def _outcome_record(intent: dict[str, Any], answer: Answer) -> dict[str, Any]:
    """Return the record of the outcome of an intent's attempt."""
    size = len(answer.body)
    held = answer.outcome != RAN and size <= MAX_RECORDED_ANSWER_BYTES
    outcome = ANSWERED if answer.outcome == RAN else answer.outcome
    return {
        "kind": "intent-answered",
        "record_id": new_record_id(),
        "account": intent["account"],
        "idempotency_key": intent["idempotency_key"],
        "attempt_id": intent["attempt_id"],
        "outcome": outcome,
        "status": answer.status,
        "content_type": answer.content_type,
        "answer": b64encode(answer.body).decode() if held else "",
        "held": held,
        "answer_bytes": size,
    }


def _refusal_never_sent() -> Answer:
    return refuse("the attempt was never sent")


def _permanently_unknown(known: Intent) -> Answer:
    reason = "whether the request ran is not known; it will not be run again"
    return unknown_outcome(known.attempt_id, reason)


def _answer_from_log(known: Intent) -> Answer:
    body = b64decode(known.answer)
    return Answer(ANSWERED, known.status, known.content_type, body, known.attempt_id)


def _answer_from_agent(known: Intent, query: AttemptQuery, outcome: Any) -> Answer:
    """Return the answer if the agent still holds it, else that it ran."""
    if outcome.is_ok():
        answer = _validate(query, outcome.unwrap())
        if answer.outcome == ANSWERED:
            return answer
    return answer_released(known.attempt_id, known.answer_bytes)


def _validate(query: AttemptQuery, reply: ExecuteReply) -> Answer:
    answer = validate_reply(query.request_id, query.attempt_id, reply)
    is_mismatched = reply.attempt_id != query.attempt_id
    is_corrupt = answer.outcome == UNKNOWN and reply.outcome == ANSWERED
    if is_mismatched or is_corrupt:
        # The reply says nothing final about the attempt: let the caller retry.
        return answer._replace(status=503, retry_after=RETRY_AFTER_SECONDS)
    return answer
