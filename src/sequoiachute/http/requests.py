"""``POST /v1/requests``: short work with an answer."""

from uuid import UUID

import falcon

from sequoiachute import clock
from sequoiachute.coordination.causes import FAILURE, LOG_OUTAGE, SHED
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.router import (
    ANSWERED,
    NOT_RUN,
    RAN,
    Answer,
    CallerRequest,
)
from sequoiachute.http.context import request_id_of
from sequoiachute.http.inputs import read_idempotency_key
from sequoiachute.http.keys import Keyring
from sequoiachute.transport.web import ProblemError, problem, read_body

MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_DEADLINE_SECONDS = 30.0
MAX_DEADLINE_SECONDS = 600.0
MAX_EPOCH_SECONDS = 1e11
TIMED_UUID_VERSION = 7
REPEAT_STATUSES = (409, 410)  # say of a key what an earlier request did with it
UUID_TIME_SHIFT = 80  # bits below the time in a version 7 UUID
MILLISECONDS = 1000


class RequestsResource:
    """Serves callers' requests."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Run a request and answer with the backend server's whole answer."""
        identity = self._keyring.require_caller(request)
        work = read_request(request, identity.account)
        if not self._entry.begin_request():
            raise ProblemError(503, "the entry is leaving", "retry", False, 1.0)
        began = clock.now()
        try:
            answer = self._entry.router.serve(work)
        finally:
            self._entry.end_request()
        if answer.status not in REPEAT_STATUSES:
            self._entry.recorder.count_answer(
                identity.account, clock.now() - began, missed_answer(answer)
            )
        write_answer(response, work, answer)


def read_request(request: falcon.Request, account: str) -> CallerRequest:
    """Return the caller's request; raise a 4xx that names the remedy."""
    flag = request.get_header("X-Idempotent", default="false").lower()
    if flag not in ("true", "false"):
        raise problem(400, "X-Idempotent is neither true nor false", "send either")
    key = read_idempotency_key(request)
    if flag == "false" and not key:
        remedy = "send Idempotency-Key, or X-Idempotent: true"
        raise problem(400, "no idempotency key", remedy)
    return CallerRequest(
        request_id=request_id_of(request),
        account=account,
        idempotent=flag == "true",
        idempotency_key=key,
        content_type=request.content_type or "application/octet-stream",
        body=read_body(request, MAX_BODY_BYTES),
        deadline=clock.now() + _deadline_seconds(request),
        key_created_at=_key_created_at(request, key),
    )


def _key_created_at(request: falcon.Request, key: str) -> float:
    """Return when the caller made its key, in seconds since the epoch.

    It is the header's, else that inside a version 7 UUID, else zero.
    """
    text = request.get_header("Idempotency-Key-Created")
    if text is None:
        return _uuid_time(key)
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < MAX_EPOCH_SECONDS:
        remedy = "send seconds since the epoch"
        raise problem(400, f"Idempotency-Key-Created {text!r} is refused", remedy)
    return seconds


def _uuid_time(key: str) -> float:
    try:
        parsed = UUID(key)
    except ValueError:
        return 0.0
    if parsed.version != TIMED_UUID_VERSION:
        return 0.0
    return (parsed.int >> UUID_TIME_SHIFT) / MILLISECONDS


def _deadline_seconds(request: falcon.Request) -> float:
    text = request.get_header("X-Deadline-Seconds")
    if text is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        remedy = f"send seconds above 0 and up to {MAX_DEADLINE_SECONDS:g}"
        raise problem(400, f"X-Deadline-Seconds {text!r} is refused", remedy)
    return seconds


def missed_answer(answer: Answer) -> str:
    """Return what kept the caller from a whole answer, empty if nothing did."""
    if answer.outcome == ANSWERED:
        return ""
    if "log service" in answer.reason:
        return LOG_OUTAGE
    return SHED if answer.outcome == NOT_RUN else FAILURE


def write_answer(
    response: falcon.Response, work: CallerRequest, answer: Answer
) -> None:
    """Answer the caller; raise a refusal where there is no answer."""
    response.set_header("X-Request-Id", work.request_id)
    if answer.outcome == ANSWERED:
        response.status = answer.status
        response.content_type = answer.content_type
        response.set_header("X-Attempt-Id", answer.attempt_id)
        response.data = answer.body
        return
    raise ProblemError(
        answer.status,
        answer.reason,
        _remedy(answer),
        {NOT_RUN: False, RAN: True}.get(answer.outcome),
        answer.retry_after,
    )


def _remedy(answer: Answer) -> str:
    if answer.outcome == RAN:
        return "do not send it again; it has been run"
    if not answer.retry_after:
        return "do not repeat it unchanged"
    seconds = f"{answer.retry_after:.0f}"
    return f"come back in {seconds} s, with the same idempotency key if there is one"
