"""Non-idempotent requests: an intent in the log before the one attempt."""

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
    check_reply,
    ran,
    refuse,
    refuse_late,
    unknown,
)
from sequoiachute.coordination.routing.balancing import BalancingPolicy
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.recorder import Recorder
from sequoiachute.coordination.routing.retries import Patience, RetryBudget
from sequoiachute.coordination.routing.sender import Sender, valid_until
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.messages import AttemptQuery, ExecuteReply
from sequoiachute.state.fleet import Fleet, Worker
from sequoiachute.state.intents import Intent, IntentTable

ATTEMPTS = 3
INTENT_SECONDS = 1.5
ASK_SECONDS = 1.0
RECORDED_ANSWER_BYTES = 32 * 1024
LOG_RETRY_AFTER_SECONDS = 2.0
AGENT_RETRY_AFTER_SECONDS = 5.0

_TOO_LATE = LogUnavailableError("it came too late", maybe_applied=True)


class AtMostOnceRunner:
    """Runs a request at most once for its key, whichever entry is asked.

    The winner of a key is the first intent in the log. Only the entry that
    wrote it sends the attempt; any entry may ask the agent what became of it,
    and an agent that has not seen the attempt refuses it from then on. A new
    attempt may follow only a ``not-run`` that the agent vouches for.
    """

    def __init__(
        self,
        fleet: Fleet,
        intents: IntentTable,
        writer: StreamWriter,
        recorder: Recorder,
        workload: BackendPool,
        choice: BalancingPolicy,
        sender: Sender,
        budget: RetryBudget,
    ) -> None:
        self._fleet = fleet
        self._intents = intents
        self._writer = writer
        self._recorder = recorder
        self._workload = workload
        self._choice = choice
        self._sender = sender
        self._budget = budget
        self._active: set[str] = set()

    def find(self, request: CallerRequest) -> Answer | None:
        """Return what is known for the key, ``None`` if it may be run."""
        if not self._is_checkable(request):
            seconds = self._intents.key_seconds
            reason = f"the idempotency key is older than can be checked ({seconds:g} s)"
            return unknown("", f"{reason}; it will not be run")._replace(status=410)
        known = self._intents.get(request.account, request.idempotency_key)
        if known is None:
            return None
        if known.body_digest != sha256(request.body).hexdigest():
            reason = "the idempotency key was used with another body; use a new key"
            return refuse(reason, 409, 0.0)
        if known.outcome == NOT_RUN:
            return None
        if known.outcome == ANSWERED and known.held:
            return _recorded_answer(known)
        if known.outcome == UNKNOWN:
            return _never_again(known)
        return self._ask(request, known)

    def run(self, request: CallerRequest) -> Answer:
        """Run the request unless its key turns out to be taken."""
        patience = Patience(request.deadline)
        answer = refuse("no backend server is available")
        tries = 0
        while clock.now() < request.deadline and tries < ATTEMPTS:
            candidates = self._workload.candidates(set(), False)
            if not candidates:
                if self._workload.share() and patience.wait():
                    continue
                return answer
            chosen = self._choice.choose(candidates)
            left = request.deadline - clock.now()
            if chosen.is_late(left):
                return refuse_late(chosen.recent, left)
            if tries and not self._budget.spend():
                return answer
            tries += 1
            worker = chosen.worker
            observed = self._workload.begin_attempt(worker)
            try:
                answer = self._run_on(request, worker)
            finally:
                self._workload.end_attempt(observed)
            if answer.outcome != NOT_RUN or not answer.attempt_id:
                return answer
            if answer.overloaded:
                patience.wait()
        return answer

    def _run_on(self, request: CallerRequest, worker: Worker) -> Answer:
        """Return the end of one attempt; a refusal with its id may be retried."""
        intent = _new_intent(request, worker)
        attempt_id = intent["attempt_id"]
        if self._intents.is_full(clock.wall_time()):
            return refuse("too many idempotency keys are in use")
        self._active.add(attempt_id)
        try:
            left = request.deadline - clock.now()
            outcome = self._writer.append(intent, min(left, INTENT_SECONDS))
            if outcome.is_err():
                return self._give_up(intent, outcome.unwrap_err())
            winner = self._intents.get(request.account, request.idempotency_key)
            if winner is None or winner.attempt_id != attempt_id:
                found = self.find(request)
                return found or refuse("another request with this key came first")
            if not self._is_checkable(request) or clock.now() >= request.deadline:
                return self._give_up(intent, _TOO_LATE)
            return self._send(request, worker, intent)
        finally:
            self._active.discard(attempt_id)

    def _give_up(self, intent: dict[str, Any], error: LogUnavailableError) -> Answer:
        """Refuse an attempt that is never sent, and let the key be tried again."""
        if error.maybe_applied:
            self._recorder.record(_end_record(intent, _not_sent()))
        reason = f"the log service did not confirm the request: {error.reason}"
        pause = max(LOG_RETRY_AFTER_SECONDS, error.retry_after)
        return refuse(reason, 503, pause)

    def _send(
        self, request: CallerRequest, worker: Worker, intent: dict[str, Any]
    ) -> Answer:
        attempt_id = intent["attempt_id"]
        answer = self._sender.attempt_until(
            request, worker, attempt_id, intent["valid_until"]
        )
        if answer.outcome == UNKNOWN:
            answer = self._settle(request, intent, answer)
        if answer.outcome == NOT_RUN:
            end = self._writer.append(_end_record(intent, answer), INTENT_SECONDS)
            if end.is_ok():
                return answer._replace(attempt_id=attempt_id)
            self._recorder.record(_end_record(intent, answer))
            return answer._replace(attempt_id="")
        if answer.outcome == ANSWERED:
            self._recorder.record(_end_record(intent, answer))
        return answer

    def _settle(
        self, request: CallerRequest, intent: dict[str, Any], answer: Answer
    ) -> Answer:
        """Ask the agent for the end of an attempt whose reply did not come."""
        left = max(0.0, request.deadline - clock.now())
        wait = min(left, ASK_SECONDS)
        query = AttemptQuery(
            request.request_id,
            intent["attempt_id"],
            intent["incarnation"],
            intent["valid_until"],
            wait,
        )
        outcome = self._sender.ask(query, intent["address"], wait + ASK_SECONDS)
        if outcome.is_ok():
            return _checked(query, outcome.unwrap())
        return answer._replace(status=503, retry_after=AGENT_RETRY_AFTER_SECONDS)

    def _ask(self, request: CallerRequest, known: Intent) -> Answer | None:
        """Find out what became of the key's attempt."""
        if known.attempt_id in self._active:
            reason = "the request is still running; ask again with the same key"
            return unknown(known.attempt_id, reason, RETRY_AFTER_SECONDS)
        worker = self._fleet.get(known.worker_id)
        replaced = worker is not None and worker.incarnation != known.incarnation
        if known.outcome == ANSWERED and replaced:
            return ran(known.attempt_id, known.answer_bytes)
        if replaced:
            self._recorder.record(_end_record(known._asdict(), _never_again(known)))
            return _never_again(known)
        left = max(0.0, request.deadline - clock.now())
        wait = min(left, ASK_SECONDS)
        query = AttemptQuery(
            known.request_id,
            known.attempt_id,
            known.incarnation,
            known.valid_until,
            wait,
        )
        outcome = self._sender.ask(query, known.address, wait + ASK_SECONDS)
        if known.outcome == ANSWERED:
            return _held_answer(known, query, outcome)
        if outcome.is_err():
            reason = "its backend server can't be asked now; use the same key again"
            return unknown(known.attempt_id, reason, AGENT_RETRY_AFTER_SECONDS)
        return self._take_end(known, _checked(query, outcome.unwrap()))

    def _take_end(self, known: Intent, answer: Answer) -> Answer | None:
        record = _end_record(known._asdict(), answer)
        if answer.outcome == NOT_RUN:
            if self._writer.append(record, INTENT_SECONDS).is_ok():
                return None
            self._recorder.record(record)
            return refuse(answer.reason, 503, LOG_RETRY_AFTER_SECONDS)
        if answer.outcome in (ANSWERED, RAN) or not answer.retry_after:
            self._recorder.record(record)
        if answer.outcome == UNKNOWN and not answer.retry_after:
            return _never_again(known)
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
        "valid_until": valid_until(worker),
    }


def _end_record(intent: dict[str, Any], answer: Answer) -> dict[str, Any]:
    """Return the record of how the attempt of ``intent`` ended."""
    size = len(answer.body)
    held = answer.outcome != RAN and size <= RECORDED_ANSWER_BYTES
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


def _not_sent() -> Answer:
    return refuse("the attempt was never sent")


def _never_again(known: Intent) -> Answer:
    reason = "whether the request ran is not known; it will not be run again"
    return unknown(known.attempt_id, reason)


def _recorded_answer(known: Intent) -> Answer:
    body = b64decode(known.answer)
    return Answer(ANSWERED, known.status, known.content_type, body, known.attempt_id)


def _held_answer(known: Intent, query: AttemptQuery, outcome: Any) -> Answer:
    """Return the answer that the agent may still hold."""
    if outcome.is_ok():
        answer = _checked(query, outcome.unwrap())
        if answer.outcome == ANSWERED:
            return answer
    return ran(known.attempt_id, known.answer_bytes)


def _checked(query: AttemptQuery, reply: ExecuteReply) -> Answer:
    answer = check_reply(query.request_id, query.attempt_id, reply)
    crossed = reply.attempt_id != query.attempt_id
    broken = answer.outcome == UNKNOWN and reply.outcome == ANSWERED
    if crossed or broken:
        # Says nothing final about the attempt.
        return answer._replace(status=503, retry_after=RETRY_AFTER_SECONDS)
    return answer
