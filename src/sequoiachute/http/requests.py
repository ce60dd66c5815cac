"""``POST /v1/requests``: short requests answered by a backend server."""

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
TIMESTAMPED_UUID_VERSION = 7
REUSED_KEY_STATUSES = (409, 410)  # report what an earlier request did with the key
UUID_TIME_SHIFT = 80  # bits after the timestamp in a version 7 UUID
MILLISECONDS_PER_SECOND = 1000


class RequestsResource:
    """Forwards callers' requests to backend servers."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Run a request and return the backend server's complete answer."""
        identity = self._keyring.require_caller(request)
        caller_request = read_request(request, identity.account)
        if not self._entry.begin_request():
            raise ProblemError(503, "the entry is shutting down", "retry", False, 1.0)
        started_at = clock.now()
        try:
            answer = self._entry.router.serve(caller_request)
        finally:
            self._entry.end_request()
        if answer.status not in REUSED_KEY_STATUSES:
            self._entry.recorder.count_answer(
                identity.account, clock.now() - started_at, get_failure_cause(answer)
            )
        write_answer(response, caller_request, answer)


def read_request(request: falcon.Request, account: str) -> CallerRequest:
    """Return the caller's request; raise a 4xx if a header or the body is invalid."""
    flag = request.get_header("X-Idempotent", default="false").lower()
    if flag not in ("true", "false"):
        raise problem(400, f"X-Idempotent {flag!r} is not valid", "send true or false")
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
        deadline=clock.now() + _read_deadline_seconds(request),
        key_created_at=_read_key_created_at(request, key),
    )


def _read_key_created_at(request: falcon.Request, key: str) -> float:
    """Return when the caller created its key, in seconds since the epoch.

    Taken from the header, else from a version 7 UUID, else zero.
    """
    text = request.get_header("Idempotency-Key-Created")
    if text is None:
        return _uuid_created_at(key)
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < MAX_EPOCH_SECONDS:
        remedy = "send seconds since the epoch"
        raise problem(400, f"Idempotency-Key-Created {text!r} is not valid", remedy)
    return seconds


def _uuid_created_at(key: str) -> float:
    try:
        parsed = UUID(key)
    except ValueError:
        return 0.0
    if parsed.version != TIMESTAMPED_UUID_VERSION:
        return 0.0
    return (parsed.int >> UUID_TIME_SHIFT) / MILLISECONDS_PER_SECOND


def _read_deadline_seconds(request: falcon.Request) -> float:
    text = request.get_header("X-Deadline-Seconds")
    if text is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        remedy = f"send seconds above 0 and up to {MAX_DEADLINE_SECONDS:g}"
        raise problem(400, f"X-Deadline-Seconds {text!r} is not valid", remedy)
    return seconds


def get_failure_cause(answer: Answer) -> str:
    """Return why the caller got no complete answer, empty if it got one."""
    if answer.outcome == ANSWERED:
        return ""
    if "log service" in answer.reason:
        return LOG_OUTAGE
    return SHED if answer.outcome == NOT_RUN else FAILURE


def write_answer(
    response: falcon.Response, caller_request: CallerRequest, answer: Answer
) -> None:
    """Write the answer to ``response``; raise a problem if there is none."""
    response.set_header("X-Request-Id", caller_request.request_id)
    if answer.outcome == ANSWERED:
        response.status = answer.status
        response.content_type = answer.content_type
        response.set_header("X-Attempt-Id", answer.attempt_id)
        response.data = answer.body
        return
    raise ProblemError(
        answer.status,
        answer.reason,
        _describe_remedy(answer),
        {NOT_RUN: False, RAN: True}.get(answer.outcome),
        answer.retry_after,
    )


def _describe_remedy(answer: Answer) -> str:
    if answer.outcome == RAN:
        return "do not retry; the request has been run"
    if not answer.retry_after:
        return "do not retry unchanged"
    seconds = f"{answer.retry_after:.0f}"
    return f"retry in {seconds} s, with the same idempotency key if there is one"
