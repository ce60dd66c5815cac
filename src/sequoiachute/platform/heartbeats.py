"""HTTP that the worker beside an agent calls with its heartbeats."""

from collections.abc import Iterable
from typing import Any

from loguru import logger

from sequoiachute.coordination.hosting.supervisor import Heartbeat, Supervisor
from sequoiachute.platform.http import decode_object
from sequoiachute.platform.jobs import HttpReply, StartResponse, write_reply
from sequoiachute.protocol.supervision import WorkerInfo
from sequoiachute.protocol.workload import Lifetime, Resources

PREFIX = "/v1/workers/"
MAX_BYTES = 65536
STATES = frozenset(("ready", "drain"))


class HeartbeatsApp:
    """WSGI application for one worker's heartbeats."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one heartbeat, or the worker's leave."""
        return write_reply(self._serve(environ), start_response)

    def _serve(self, environ: dict[str, Any]) -> HttpReply:
        path = environ.get("PATH_INFO", "")
        method = environ["REQUEST_METHOD"]
        if not path.startswith(PREFIX):
            return HttpReply(404, {"error": f"use {PREFIX}"})
        worker_id = path.removeprefix(PREFIX)
        if method == "DELETE":
            self._supervisor.handle_worker_leave(worker_id)
            return HttpReply(200)
        if method != "PUT":
            return HttpReply(405, {"error": "use PUT or DELETE"})
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_BYTES:
            return HttpReply(413, {"error": f"send at most {MAX_BYTES} bytes"})
        body = decode_object(environ["wsgi.input"].read(length))
        try:
            heartbeat = decode_heartbeat(worker_id, body)
        except (KeyError, TypeError, ValueError) as error:
            log = logger.bind(worker=worker_id, reason=type(error).__name__)
            log.warning("unreadable heartbeat passed over")
            return HttpReply(400, {"error": "the status report can't be read"})
        self._supervisor.handle_heartbeat(heartbeat)
        return HttpReply(200)


def decode_heartbeat(worker_id: str, body: dict[str, Any]) -> Heartbeat:
    """Return a worker's heartbeat.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is none.
    """
    state = body["state"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    capacity = body["capacity"]
    labels = tuple(body.get("labels") or ())
    if not all(isinstance(label, str) for label in labels):
        raise TypeError("labels are strings")
    return Heartbeat(
        info=WorkerInfo(
            life=Lifetime(worker_id, int(body.get("born", 0))),
            service=_text(body["service"]),
            zone=_text(body["zone"]),
            rack=_rack(labels),
            labels=labels,
            capacity=Resources(
                int(capacity["cpu"]), int(capacity["mem_mb"]), int(capacity["gpus"])
            ),
            leaving=state == "drain",
            leaving_seconds=float(body.get("remaining_ms") or 0) / 1000,
        ),
        sequence=int(body["seq"]),
        clock_ms=int(body.get("clock_ms") or 0),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("expected a string")
    return value


def _rack(labels: tuple[str, ...]) -> str:
    """Return the rack's label: a worker's kind is the first, its rack the last."""
    return labels[-1] if len(labels) > 1 else ""
