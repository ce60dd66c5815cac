"""``POST /v1/requests``: short work with an answer."""

from uuid import uuid4

import falcon

from sequoiachute import clock
from sequoiachute.coordination.causes import FAILURE, LOG_OUTAGE, SHED
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.router import ANSWERED, UNKNOWN, Answer, Request
from sequoiachute.http.keys import Keyring
from sequoiachute.transport.web import ProblemError, problem

MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_DEADLINE_SECONDS = 30.0
MAX_DEADLINE_SECONDS = 600.0


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
        self._entry.recorder.count_answer(
            identity.account, clock.now() - began, missed_answer(answer)
        )
        write_answer(response, work, answer)


def read_request(request: falcon.Request, account: str) -> Request:
    """Return the caller's request; raise a 4xx that names the remedy."""
    if (request.content_length or 0) > MAX_BODY_BYTES:
        remedy = f"send at most {MAX_BODY_BYTES} bytes"
        raise problem(413, "the body is too large", remedy)
    flag = request.get_header("X-Idempotent", default="false").lower()
    if flag not in ("true", "false"):
        raise problem(400, "X-Idempotent is neither true nor false", "send either")
    key = request.get_header("Idempotency-Key", default="")
    if flag == "false" and not key:
        remedy = "send Idempotency-Key, or X-Idempotent: true"
        raise problem(400, "no idempotency key", remedy)
    return Request(
        request_id=uuid4().hex,
        account=account,
        idempotent=flag == "true",
        idempotency_key=key,
        content_type=request.content_type or "application/octet-stream",
        body=request.bounded_stream.read(),
        deadline=clock.now() + _deadline_seconds(request),
    )


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
    return FAILURE if answer.outcome == UNKNOWN else SHED


def write_answer(response: falcon.Response, work: Request, answer: Answer) -> None:
    """Answer the caller; raise a refusal where there is no answer."""
    response.set_header("X-Request-Id", work.request_id)
    if answer.outcome == ANSWERED:
        response.status = answer.status
        response.content_type = answer.content_type
        response.set_header("X-Attempt-Id", answer.attempt_id)
        response.data = answer.body
        return
    ran = None if answer.outcome == UNKNOWN else False
    remedy = "come back later" if answer.retry_after else "do not repeat it unchanged"
    raise ProblemError(answer.status, answer.reason, remedy, ran, answer.retry_after)
