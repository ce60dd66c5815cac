"""HTTP interface for the heartbeats of the worker on an agent's host."""

import re
from collections.abc import Iterable
from typing import Any

from loguru import logger

from sequoiachute.coordination.hosting.claims import Heartbeat
from sequoiachute.coordination.hosting.supervisor import Supervisor
from sequoiachute.platform.fields import (
    FieldError,
    fields,
    number,
    required,
    text,
    texts,
    whole,
)
from sequoiachute.platform.http import decode_object
from sequoiachute.platform.replies import HttpReply, StartResponse, write_reply
from sequoiachute.protocol.supervision import WorkerInfo
from sequoiachute.protocol.workload import Lifetime, Resources

WORKERS_PATH = "/v1/workers/"
MAX_HEARTBEAT_BYTES = 65536
WORKER_STATES = frozenset(("ready", "drain"))

_WORKER_ID = re.compile(r"[!-~]{1,128}")


class HeartbeatsApp:
    """WSGI application for one worker's heartbeats."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a heartbeat or the worker's notice that it leaves."""
        return write_reply(self._serve(environ), start_response)

    def _serve(self, environ: dict[str, Any]) -> HttpReply:
        path = environ.get("PATH_INFO", "")
        method = environ["REQUEST_METHOD"]
        if not path.startswith(WORKERS_PATH):
            return HttpReply(404, {"error": f"use {WORKERS_PATH}"})
        worker_id = path.removeprefix(WORKERS_PATH)
        if method == "DELETE":
            self._supervisor.handle_worker_leave(worker_id)
            return HttpReply(200)
        if method != "PUT":
            return HttpReply(405, {"error": "use PUT or DELETE"})
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_HEARTBEAT_BYTES:
            error = f"send at most {MAX_HEARTBEAT_BYTES} bytes"
            return HttpReply(413, {"error": error})
        body = decode_object(environ["wsgi.input"].read(length))
        try:
            heartbeat = decode_heartbeat(worker_id, body)
        except FieldError as error:
            log = logger.bind(worker=worker_id, reason=str(error))
            log.warning("invalid heartbeat ignored")
            return HttpReply(400, {"error": "the status report is invalid"})
        self._supervisor.handle_heartbeat(heartbeat)
        return HttpReply(200)


def decode_heartbeat(worker_id: str, body: dict[str, Any]) -> Heartbeat:
    """Decode a heartbeat.

    Raises
    ------
    FieldError
        If a field is missing or invalid, or the worker's ID can't be sent in a
        header.
    """
    if not _WORKER_ID.fullmatch(worker_id):
        raise FieldError("use a worker ID of 1 to 128 printable ASCII characters")
    state = required(body, "state")
    if text(state) not in WORKER_STATES:
        raise FieldError(f"use a state of {', '.join(sorted(WORKER_STATES))}")
    capacity = fields(required(body, "capacity"))
    labels = texts(body.get("labels") or [])
    return Heartbeat(
        info=WorkerInfo(
            lifetime=Lifetime(worker_id, whole(required(body, "born"))),
            service=text(required(body, "service")),
            zone=text(required(body, "zone")),
            rack=_rack(labels),
            labels=labels,
            capacity=Resources(
                whole(required(capacity, "cpu")),
                whole(required(capacity, "mem_mb")),
                whole(required(capacity, "gpus")),
            ),
            leaving=state == "drain",
            leaving_seconds=number(body.get("remaining_ms") or 0) / 1000,
        ),
        sequence=whole(required(body, "seq")),
        clock_ms=whole(body.get("clock_ms") or 0),
    )


def _rack(labels: tuple[str, ...]) -> str:
    """Return the rack: the last label; the first is the worker's kind."""
    return labels[-1] if len(labels) > 1 else ""
