"""HTTP interface for callers to submit, query, count and cancel jobs."""

import re
from collections.abc import Iterable
from typing import Any

import msgspec
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.control import ControlPlane
from sequoiachute.coordination.intake import (
    ABSENT,
    ACCEPTED,
    REPLY_MARGIN_SECONDS,
    TOO_LARGE,
    UNKNOWN,
    IntakeOutcome,
)
from sequoiachute.platform.replies import HttpReply, StartResponse, write_reply
from sequoiachute.protocol.decoder import decode_json
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from sequoiachute.state.operations import Queue
from sequoiachute.transport.webserver import ARRIVED_AT

JOB_ID_DIGITS = frozenset("0123456789abcdef")
JOB_ID_LENGTH = 16
DEFAULT_DEADLINE_SECONDS = 3.0  # for requests without X-Deadline-Ms
MAX_STEPS = 64
MAX_TASKS = 10_000
MAX_AT_ONCE = 1000  # tasks of gangs and services, which all have to run at once
MAX_PAYLOAD_BYTES = 4000
RETRY_AFTER_SECONDS = 1.0
_MILLISECONDS = re.compile(r"[0-9]{1,15}")
START_WAIT_SECONDS = 0.5  # an entry usually reads its state within 0.1 s


class InvalidJobError(ValueError):
    """A submitted job is invalid; the message names the remedy."""


class JobsApp:
    """WSGI application that serves callers' requests about jobs."""

    def __init__(self, control: ControlPlane) -> None:
        self._control = control

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        try:
            reply = self._serve(environ)
        except InvalidJobError as error:
            reply = HttpReply(400, {"error": str(error)})
        return write_reply(reply, start_response)

    def _serve(self, environ: dict[str, Any]) -> HttpReply:
        environ.setdefault(ARRIVED_AT, clock.now())
        operations = self._control.operations
        path = environ.get("PATH_INFO", "")
        remaining = _read_deadline(environ) - REPLY_MARGIN_SECONDS - clock.now()
        wait = min(START_WAIT_SECONDS, max(0.0, remaining))
        if not self._control.wait_can_serve(wait):
            _log_rejected(path, 503, "starting", operations.version)
            return HttpReply(503, {"error": "starting"}, RETRY_AFTER_SECONDS)
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        queue = operations.find_queue(host, path)
        if queue is None:
            _log_rejected(path, 404, "no such queue", operations.version)
            return HttpReply(404, {"error": "no such queue"})
        account = ""
        if not queue.public:
            scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
            key_owner = operations.account_of(key.strip())
            if key_owner is None or scheme.lower() != "token":
                _log_rejected(path, 401, "unknown key", operations.version)
                return HttpReply(401, {"error": "unknown key"})
            account = key_owner.name
        job_id = path[len(queue.prefix) :]
        return self._serve_queue(environ, queue, account, job_id)

    def _serve_queue(
        self, environ: dict[str, Any], queue: Queue, account: str, job_id: str
    ) -> HttpReply:
        method = environ["REQUEST_METHOD"]
        if not job_id:
            if method != "GET":
                return HttpReply(405, {"error": "use GET"})
            return HttpReply(
                200, {"waiting": self._control.ledger.waiting_count(queue.name)}
            )
        if len(job_id) != JOB_ID_LENGTH or not set(job_id) <= JOB_ID_DIGITS:
            error = f"a job ID is {JOB_ID_LENGTH} lower-case hexadecimal digits"
            return HttpReply(404, {"error": error})
        if method == "GET":
            outcome, state = self._control.intake.state(job_id, account)
            return _reply_to(outcome, {"state": state})
        deadline = _read_deadline(environ)
        if method == "DELETE":
            outcome = self._control.intake.cancel(job_id, account, deadline)
            return _reply_to(outcome, {})
        if method == "POST":
            job = self._read_job(environ, queue, account, job_id)
            return _reply_to(self._control.intake.submit(job, deadline), {})
        return HttpReply(405, {"error": "use GET, POST or DELETE"})

    def _read_job(
        self, environ: dict[str, Any], queue: Queue, account: str, job_id: str
    ) -> JobGraph:
        limit = self._control.operations.catalogue.body_limit
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > limit:
            raise InvalidJobError(f"send at most {limit} bytes")
        data = environ["wsgi.input"].read(length)
        return decode_job_body(data, queue, account, job_id)


def decode_job_body(data: bytes, queue: Queue, account: str, job_id: str) -> JobGraph:
    """Decode a submitted job.

    Raises
    ------
    InvalidJobError
        If the body is not a valid job; the message names the field.
    """
    try:
        body = decode_json(data)
    except msgspec.DecodeError as error:
        raise InvalidJobError("send a JSON object") from error
    if not isinstance(body, dict):
        raise InvalidJobError("send a JSON object")
    payload = body.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        reason = f"spec: send a string of at most {MAX_PAYLOAD_BYTES} bytes"
        raise InvalidJobError(reason)
    steps = body.get("steps")
    if not isinstance(steps, list) or not 0 < len(steps) <= MAX_STEPS:
        raise InvalidJobError(f"steps: send a list of 1 to {MAX_STEPS} steps")
    decoded = tuple(_decode_step(step, index) for index, step in enumerate(steps))
    job = JobGraph(
        job_id=job_id,
        account=account,
        queue=queue.name,
        service=queue.service,
        payload=payload,
        steps=decoded,
        accepted_at=clock.wall_time(),
        occurrences=_number(body, "times"),
        first_due=_number(body, "initial_ms") / 1000,
        period_seconds=_number(body, "period_ms") / 1000,
        priority=queue.priority,
        attempts=queue.attempts,
        stretch=queue.stretch,
        slo_seconds=queue.slo_seconds,
    )
    if job.task_count > MAX_TASKS:
        reason = f"send at most {MAX_TASKS} tasks, those of all occurrences together"
        raise InvalidJobError(f"steps and times: {reason}")
    if sum(step.count for step in decoded if step.gang or step.lasting) > MAX_AT_ONCE:
        reason = f"send at most {MAX_AT_ONCE} tasks that run at the same time"
        raise InvalidJobError(f"steps: {reason}")
    return job


def _decode_step(step: Any, index: int) -> StepSpec:
    if not isinstance(step, dict):
        raise InvalidJobError(f"steps.{index}: send an object")
    after = step.get("deps", [])
    valid = isinstance(after, list) and all(
        type(item) is int and 0 <= item < index for item in after
    )
    if not valid:
        raise InvalidJobError(f"steps.{index}.deps: send indices of earlier steps")
    count = _number(step, "count", 1)
    if count < 1:
        raise InvalidJobError(f"steps.{index}.count: send 1 or more")
    need = Resources(
        _number(step, "cpu"), _number(step, "mem_mb"), _number(step, "gpus")
    )
    return StepSpec(
        count=count,
        need=need,
        estimate_seconds=_number(step, "est_ms") / 1000,
        after=tuple(after),
        checkpoints=bool(step.get("checkpoints", False)),
        gang=bool(step.get("gang", False)),
        same_rack=bool(step.get("same_rack", False)),
        label=_text(step, "requires"),
        data_rack=_text(step, "affinity"),
        per_worker=_number(step, "anti_affinity"),
        speculative=bool(step.get("speculative", False)),
        lasting=bool(step.get("persistent", False)),
        image=_text(step, "image"),
        latency_target_ms=_number(step, "target_ms"),
        filling=bool(step.get("fills", False)),
        max_unavailable=_number(step, "max_unavailable"),
    )


def _number(fields: dict[str, Any], name: str, default: int = 0) -> int:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidJobError(f"{name}: send a number")
    if not 0 <= value < 2**53:
        raise InvalidJobError(f"{name}: send a number from 0 to 2**53")
    return int(value)


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name, "")
    if not isinstance(value, str):
        raise InvalidJobError(f"{name}: send a string")
    return value


def _read_deadline(environ: dict[str, Any]) -> float:
    text = environ.get("HTTP_X_DEADLINE_MS", "")
    is_valid = _MILLISECONDS.fullmatch(text) is not None
    seconds = int(text) / 1000 if is_valid else DEFAULT_DEADLINE_SECONDS
    return environ[ARRIVED_AT] + seconds


def _reply_to(outcome: IntakeOutcome, body: dict[str, Any]) -> HttpReply:
    if outcome.kind == ACCEPTED:
        return HttpReply(200, body)
    error_body = {"error": outcome.reason}
    if outcome.kind == TOO_LARGE:
        return HttpReply(413, error_body)
    if outcome.kind == ABSENT:
        return HttpReply(410, error_body)
    if outcome.kind == UNKNOWN:
        return HttpReply(504, error_body)
    if not outcome.retry_after:
        return HttpReply(409, error_body)
    return HttpReply(503, error_body, outcome.retry_after)


def _log_rejected(path: str, status: int, reason: str, version: int) -> None:
    log = logger.bind(path=path, status=status, catalogue=version)
    log.info("request rejected: {}", reason)
