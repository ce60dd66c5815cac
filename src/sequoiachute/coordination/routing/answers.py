"""Requests, the answers to their callers, and the validation of agents' replies."""

from hashlib import sha256
from typing import NamedTuple

from loguru import logger

from sequoiachute.protocol.messages import ExecuteReply

RETRY_AFTER_SECONDS = 1.0

ANSWERED = "answered"
NOT_RUN = "not-run"
RAN = "ran"
RUNNING = "running"
UNKNOWN = "unknown"


class CallerRequest(NamedTuple):
    """A caller's request; ``deadline`` is clock time in seconds.

    ``key_created_at`` is the wall time in seconds at which the caller created
    the idempotency key, zero if the caller did not state it.
    """

    request_id: str
    account: str
    idempotent: bool
    idempotency_key: str
    content_type: str
    body: bytes
    deadline: float
    key_created_at: float = 0.0


class Answer(NamedTuple):
    """The result of a request as its caller receives it.

    ``outcome`` is ``answered``, ``not-run`` (nothing ran for this call, for
    certain), ``ran`` (it ran, but its answer is no longer held) or
    ``unknown``. ``retry_after`` is the time in seconds after which the caller
    should retry, zero where a retry is of no use. ``overloaded`` is set if
    the backend server had no free connection, which does not count as a
    failure. ``undelivered`` is set if its agent was not reached.
    """

    outcome: str
    status: int
    content_type: str
    body: bytes
    attempt_id: str
    reason: str = ""
    retry_after: float = 0.0
    overloaded: bool = False
    undelivered: bool = False


def refuse(
    reason: str, status: int = 503, retry_after: float = RETRY_AFTER_SECONDS
) -> Answer:
    """Return a refusal: nothing ran for this call and nothing will run."""
    return Answer(NOT_RUN, status, "", b"", "", reason, retry_after)


def refuse_missed_deadline(expected_seconds: float, remaining_seconds: float) -> Answer:
    """Return the refusal of a request that would miss its deadline."""
    reason = f"an answer would take about {expected_seconds:.1f} s, past the deadline"
    return refuse(
        reason, 503, max(RETRY_AFTER_SECONDS, expected_seconds - remaining_seconds)
    )


def unknown_outcome(attempt_id: str, reason: str, retry_after: float = 0.0) -> Answer:
    """Return the answer for an attempt that may have run.

    Its status is 503 if the caller may retry, else 502.
    """
    status = 503 if retry_after else 502
    return Answer(UNKNOWN, status, "", b"", attempt_id, reason, retry_after)


def answer_released(attempt_id: str, size: int) -> Answer:
    """Return the answer for a request that ran, whose body is no longer held."""
    reason = f"the request ran; its answer of {size} bytes is no longer held"
    return Answer(RAN, 410, "", b"", attempt_id, reason)


def validate_reply(request_id: str, attempt_id: str, reply: ExecuteReply) -> Answer:
    """Return the answer of an agent's reply if the reply is complete and matches.

    A reply that belongs to another attempt or is corrupt yields ``unknown``,
    because it says nothing about what this attempt did.
    """
    if reply.attempt_id != attempt_id or reply.request_id != request_id:
        logger.bind(attempt=reply.attempt_id).warning(
            "ignored the reply of another attempt; expected {}", attempt_id
        )
        return unknown_outcome(attempt_id, "the reply belongs to another attempt")
    if reply.outcome == NOT_RUN:
        refusal = refuse(reply.reason)
        return refusal._replace(attempt_id=attempt_id)
    if reply.outcome == RUNNING:
        return unknown_outcome(
            attempt_id, "the attempt is still running", RETRY_AFTER_SECONDS
        )
    if reply.outcome != ANSWERED:
        return unknown_outcome(
            attempt_id, reply.reason or "the agent does not know the outcome"
        )
    if not reply.held:
        return answer_released(attempt_id, reply.length)
    is_complete = len(reply.body) == reply.length
    if not is_complete or sha256(reply.body).hexdigest() != reply.digest:
        logger.bind(attempt=attempt_id).warning(
            "incomplete or corrupt answer: {} of {} bytes",
            len(reply.body),
            reply.length,
        )
        return unknown_outcome(attempt_id, "the answer is incomplete or corrupt")
    return Answer(ANSWERED, reply.status, reply.content_type, reply.body, attempt_id)
