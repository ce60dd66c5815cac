"""The worker beside an agent as the product's ``TaskWorker``."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from sequoiachute.platform.http import (
    HttpAnswer,
    HttpCaller,
    HttpFailure,
    decode_object,
    json_headers,
)
from sequoiachute.protocol.supervision import EndReport, RunOrder, RunReport
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.transport.worker import ALREADY_RAN, WorkerError, WorkerStatus

LOOK_SECONDS = 0.5  # beyond the wait that was asked for
ORDER_SECONDS = 0.4  # the worker is on this machine and answers in some ms
OTHER_LIFE = "other lifetime"


class RpcWorker:
    """Calls the worker; looks have connections of their own."""

    def __init__(self, address: str) -> None:
        self._looks = HttpCaller(address, 2)
        self._orders = HttpCaller(address)

    def poll(
        self, life: Lifetime, term: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew the leases, acknowledge ends and return what is there."""
        body: dict[str, Any] = {
            "fence": term,
            "ack_cursor": ack,
            "wait_ms": int(wait * 1000),
        }
        if lease_ms:
            body["due_ms"] = lease_ms
        answer = self._call(self._looks, "/v1/hold", life.worker_id, body, wait)
        if answer.is_err():
            return answer
        found = answer.unwrap()
        try:
            return Ok(_decode_view(found, life))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            reason = f"unreadable answer: {type(error).__name__}"
            return Err(WorkerError(reason, None))

    def start(
        self, worker_id: str, order: RunOrder, term: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Start a run; the same run is started once."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "due_ms": lease_ms,
            "fence": term,
        }
        if order.token:
            body["checkpoint_token"] = order.token
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order("/v1/run-start", worker_id, body)

    def stop(
        self, worker_id: str, task: str, run: int, term: int
    ) -> Result[None, WorkerError]:
        """Stop a run; once answered, a run that isn't there never will be."""
        body = {"task": task, "run": run, "fence": term}
        return self._order("/v1/run-stop", worker_id, body)

    def pace(
        self, worker_id: str, task: str, run: int, percent: int, term: int
    ) -> Result[None, WorkerError]:
        """Let a run work at a share of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fence": term}
        return self._order("/v1/pace", worker_id, body)

    def _order(
        self, path: str, worker_id: str, body: dict[str, Any]
    ) -> Result[None, WorkerError]:
        answer = self._call(self._orders, path, worker_id, body, 0.0)
        return answer if answer.is_err() else Ok(None)

    def _call(
        self,
        http: HttpCaller,
        path: str,
        worker_id: str,
        body: dict[str, Any],
        wait: float,
    ) -> Result[HttpAnswer, WorkerError]:
        headers = json_headers()
        if worker_id:
            headers["X-Expect-Worker"] = worker_id
        timeout = wait + LOOK_SECONDS if wait else ORDER_SECONDS
        data = msgspec.json.encode(body)
        answer = http.call("POST", path, timeout, data, headers)
        if isinstance(answer, HttpFailure):
            done = None if answer.sent else False
            # A refused connection is no word of the worker on this run.
            return Err(WorkerError(answer.reason, done, fenced=not answer.sent))
        if answer.status == 200:
            return Ok(answer)
        return Err(_refusal(answer))


def _refusal(answer: HttpAnswer) -> WorkerError:
    if answer.status == 421:
        return WorkerError(OTHER_LIFE, False)
    if answer.status == 409:
        reason = str(decode_object(answer.body).get("reason", "conflict"))
        if reason == "old":
            return WorkerError(ALREADY_RAN, False)
        return WorkerError(reason, False, fenced=reason == "fence")
    if answer.status in (400, 429, 503):
        return WorkerError(f"worker answered {answer.status}", False)
    return WorkerError(f"worker answered {answer.status}", None)


def _decode_view(answer: HttpAnswer, expected: Lifetime) -> WorkerStatus:
    body = decode_object(answer.body)
    life = expected._replace(started_ms=int(body.get("born", expected.started_ms)))
    runs = tuple(_decode_run(row) for row in body["running"])
    ends = tuple(EndReport(*row[:5]) for row in body["ended"])
    return WorkerStatus(life, int(body["clock_ms"]), runs, ends)


def _decode_run(row: list[Any]) -> RunReport:
    usage = int(row[4]) if len(row) > 4 and row[4] is not None else 0
    return RunReport(str(row[0]), int(row[1]), str(row[2]), int(row[3]), usage)
