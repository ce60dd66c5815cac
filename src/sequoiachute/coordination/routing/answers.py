"""Requests, what their callers are told, and checks on agents' replies."""

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

    ``key_created_at`` is the wall time at which the caller made the
    idempotency key, zero where the caller did not say.
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
    """What the caller is told.

    ``outcome`` is ``answered``, ``not-run`` (certainly nothing ran for this
    call), ``ran`` (it ran, its answer is no longer held) or ``unknown``.
    ``retry_after`` is the time in seconds after which to come back, zero
    where coming back is of no use. ``overloaded`` says that the backend
    server had no room, which is not its failure. ``undelivered`` says that
    the backend server's agent was not reached.
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
    """Return a refusal: nothing ran for this call and nothing will."""
    return Answer(NOT_RUN, status, "", b"", "", reason, retry_after)


def refuse_late(expected: float, left: float) -> Answer:
    """Return the refusal of a request that would miss its deadline."""
    reason = f"an answer would take about {expected:.1f} s, past the deadline"
    return refuse(reason, 503, max(RETRY_AFTER_SECONDS, expected - left))


def unknown(attempt_id: str, reason: str, retry_after: float = 0.0) -> Answer:
    """Return that the attempt may have run."""
    status = 503 if retry_after else 502
    return Answer(UNKNOWN, status, "", b"", attempt_id, reason, retry_after)


def ran(attempt_id: str, size: int) -> Answer:
    """Return that the request ran once and its answer is gone."""
    reason = f"the request ran; its answer of {size} bytes is no longer held"
    return Answer(RAN, 410, "", b"", attempt_id, reason)


def check_reply(request_id: str, attempt_id: str, reply: ExecuteReply) -> Answer:
    """Return the answer if it is whole and belongs to the attempt.

    Anything else is ``unknown``: a late, crossed or broken reply says nothing
    about what the attempt did.
    """
    if reply.attempt_id != attempt_id or reply.request_id != request_id:
        logger.bind(attempt=reply.attempt_id).warning("dropped a crossed answer")
        return unknown(attempt_id, "the answer is of another attempt")
    if reply.outcome == NOT_RUN:
        refusal = refuse(reply.reason)
        return refusal._replace(attempt_id=attempt_id)
    if reply.outcome == RUNNING:
        return unknown(attempt_id, "the attempt is still running", RETRY_AFTER_SECONDS)
    if reply.outcome != ANSWERED:
        return unknown(attempt_id, reply.reason or "the agent does not know")
    if not reply.held:
        return ran(attempt_id, reply.length)
    whole = len(reply.body) == reply.length
    if not whole or sha256(reply.body).hexdigest() != reply.digest:
        logger.bind(attempt=attempt_id).warning("answer is not whole")
        return unknown(attempt_id, "the answer is not whole")
    return Answer(ANSWERED, reply.status, reply.content_type, reply.body, attempt_id)
