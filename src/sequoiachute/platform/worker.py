"""HTTP client of the worker on an agent's host: the product's ``TaskWorker``."""

from typing import Any

import msgspec
from loguru import logger
from result import Err, Ok, Result

from sequoiachute.platform.fields import items, number, required, text, whole
from sequoiachute.platform.http import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    decode_object,
    json_headers,
    read_reason,
)
from sequoiachute.protocol.supervision import EndReport, RunOrder, RunReport
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.transport.worker import (
    ALREADY_RAN,
    OTHER_LIFETIME,
    UNHEALTHY,
    WorkerError,
    WorkerStatus,
)

POLL_TIMEOUT_SECONDS = 0.5  # beyond the requested wait
ORDER_TIMEOUT_SECONDS = 0.4  # the worker is local and answers in a few ms
MAX_TOKEN_BYTES = 1024  # a record of progress has 64 of them


class RpcWorker:
    """Calls the worker; long polls have their own connection pool."""

    def __init__(self, address: str) -> None:
        self._poll_client = HttpClient(address, 2)
        self._order_client = HttpClient(address)

    def poll(
        self, lifetime: Lifetime, fence: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew the run leases, acknowledge ends and return the worker's status."""
        body: dict[str, Any] = {
            "fence": fence,
            "ack_cursor": ack,
            "wait_ms": int(wait * 1000),
        }
        if lease_ms:
            body["due_ms"] = lease_ms
        outcome = self._call(self._poll_client, "/v1/hold", lifetime, body, wait)
        if outcome.is_err():
            return outcome
        response = outcome.unwrap()
        try:
            return Ok(_decode_status(response, lifetime))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            reason = f"unreadable answer: {type(error).__name__}"
            return Err(WorkerError(reason, None))

    def start(
        self, lifetime: Lifetime, order: RunOrder, fence: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Start a run; repeating the call has no effect."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "due_ms": lease_ms,
            "fence": fence,
        }
        if order.token:
            body["checkpoint_token"] = order.token
        if order.ticket:
            body["ticket"] = order.ticket
        return self._send_order("/v1/run-start", lifetime, body)

    def stop(
        self, lifetime: Lifetime, task: str, run: int, fence: int
    ) -> Result[None, WorkerError]:
        """Stop a run; after success, a run not started yet never will be."""
        body = {"task": task, "run": run, "fence": fence}
        return self._send_order("/v1/run-stop", lifetime, body)

    def pace(
        self, lifetime: Lifetime, task: str, run: int, percent: int, fence: int
    ) -> Result[None, WorkerError]:
        """Limit a run to ``percent`` of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fence": fence}
        return self._send_order("/v1/pace", lifetime, body)

    def _send_order(
        self, path: str, lifetime: Lifetime, body: dict[str, Any]
    ) -> Result[None, WorkerError]:
        outcome = self._call(self._order_client, path, lifetime, body, 0.0)
        return outcome if outcome.is_err() else Ok(None)

    def _call(
        self,
        client: HttpClient,
        path: str,
        lifetime: Lifetime,
        body: dict[str, Any],
        wait: float,
    ) -> Result[HttpResponse, WorkerError]:
        headers = json_headers()
        if lifetime.worker_id:
            headers["X-Expect-Worker"] = lifetime.worker_id
        timeout = wait + POLL_TIMEOUT_SECONDS if wait else ORDER_TIMEOUT_SECONDS
        data = msgspec.json.encode(body)
        response = client.call("POST", path, timeout, data, headers)
        if isinstance(response, HttpFailure):
            is_sent = response.sent
            applied = None if is_sent else False
            # A failed connection says nothing about the run: as after a fence,
            # the order is not settled but sent again.
            return Err(WorkerError(response.reason, applied, not is_sent, not is_sent))
        if response.status == 200:
            return Ok(response)
        return Err(_decode_error(response))


def _decode_error(response: HttpResponse) -> WorkerError:
    if response.status == 421:
        return WorkerError(OTHER_LIFETIME, False, gone=True)
    if response.status == 409:
        reason = read_reason(response.body) or "conflict"
        if reason == "old":
            return WorkerError(ALREADY_RAN, False)
        return WorkerError(reason, False, fenced=reason == "fence")
    if response.status in (429, 503):
        return WorkerError(UNHEALTHY, False)
    if response.status == 400:
        return WorkerError(f"worker answered {response.status}", False)
    return WorkerError(f"worker answered {response.status}", None)


def _decode_status(response: HttpResponse, expected: Lifetime) -> WorkerStatus:
    body = decode_object(response.body)
    born = whole(body.get("born", expected.started_ms))
    runs = tuple(_decode_run(items(row)) for row in items(required(body, "running")))
    ends = tuple(_decode_end(items(row)) for row in items(required(body, "ended")))
    lifetime = expected._replace(started_ms=born)
    return WorkerStatus(lifetime, whole(required(body, "clock_ms")), runs, ends)


def _decode_run(row: list[Any]) -> RunReport:
    usage = int(number(row[4])) if len(row) > 4 and row[4] is not None else 0
    percent = int(number(row[3]))
    return RunReport(text(row[0]), whole(row[1]), _token(row[2]), percent, usage)


def _decode_end(row: list[Any]) -> EndReport:
    return EndReport(
        whole(row[0]), text(row[1]), whole(row[2]), text(row[3]), _token(row[4])
    )


def _token(value: Any) -> str:
    """Return a checkpoint token, empty if it is longer than a record bears."""
    token = text(value)
    if len(token.encode()) <= MAX_TOKEN_BYTES:
        return token
    logger.bind(bytes=len(token)).warning("checkpoint token too long, left out")
    return ""
