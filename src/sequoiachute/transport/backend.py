"""Client of the backend server beside an agent."""

from typing import Any

import eventlet
import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sequoiachute.errors import RpcError
from sequoiachute.transport.ports import BackendResponse, BackendTask

CONNECT_SECONDS = 1.0
TASK_CALL_SECONDS = 3.0
TASK_CONNECTIONS = 2
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


def request_connections(connections: int) -> int:
    """Return how many of ``connections`` are left for requests.

    Calls about tasks have connections of their own, so that no request waits
    for one and both together stay within what the backend server accepts.
    """
    return max(0, connections - TASK_CONNECTIONS)


class BackendClient:
    """Calls the backend server at ``url``.

    Parameters
    ----------
    url : str
        Base URL of the backend server.
    connections : int
        Connections that the backend server accepts; never exceeded.
    """

    def __init__(self, url: str, connections: int) -> None:
        self._url = url.rstrip("/")
        own = max(1, request_connections(connections))
        self._pool = urllib3.PoolManager(maxsize=own, block=True, retries=False)
        self._task_pool = urllib3.PoolManager(
            maxsize=TASK_CONNECTIONS, block=True, retries=False
        )

    def execute(
        self,
        request_id: str,
        attempt_id: str,
        content_type: str,
        body: bytes,
        timeout: float,
    ) -> Result[BackendResponse, RpcError]:
        """Run a request and return its whole answer.

        An answer that is cut short, has no length, is too large or carries
        another attempt's identity is an error: the request may have run.
        """
        headers = {
            "Content-Type": content_type,
            "X-Request-Id": request_id,
            "X-Attempt-Id": attempt_id,
        }
        late = Err(RpcError(self._url, f"no answer within {timeout:.1f} s", True))
        if timeout <= 0:
            return Err(RpcError(self._url, "no time left", False))
        # The library's timeout covers one read; this one the whole answer.
        with eventlet.Timeout(timeout, False):
            answered = self._send(
                self._pool, "POST", "/requests", body, headers, timeout, False
            )
            if answered.is_err():
                return answered
            return self._read_answer(answered.unwrap(), attempt_id)
        return late

    def _read_answer(
        self, response: Any, attempt_id: str
    ) -> Result[BackendResponse, RpcError]:
        reason = _fault_of(response, attempt_id)
        if reason:
            response.close()
            return Err(RpcError(self._url, reason, True))
        try:
            body = response.read(MAX_RESPONSE_BYTES + 1, decode_content=False)
            whole = len(body) <= MAX_RESPONSE_BYTES and not response.read(1)
        except HTTPError as error:
            response.close()
            return Err(RpcError(self._url, f"{type(error).__name__}: {error}", True))
        except BaseException:
            response.close()
            raise
        if not whole:
            response.close()
            return Err(RpcError(self._url, "the answer is too large", True))
        response.release_conn()
        kind = response.headers.get("Content-Type", "application/octet-stream")
        return Ok(BackendResponse(response.status, kind, body))

    def start_task(
        self,
        task_id: str,
        token: int,
        accelerators: tuple[int, ...],
        payload: str,
        run_seconds: float,
        done_seconds: float,
        lease_seconds: float,
    ) -> Result[None, RpcError]:
        """Start a task; the same ``task_id`` and ``token`` start it once."""
        body = {
            "task_id": task_id,
            "token": token,
            "accelerators": accelerators,
            "payload": payload,
            "run_seconds": run_seconds,
            "done_seconds": done_seconds,
            "lease_seconds": lease_seconds,
        }
        answered = self._send_json("POST", "/tasks", body)
        if answered.is_err():
            return answered
        response = answered.unwrap()
        if response.status != 200:
            reason = f"start answered {response.status}"
            return Err(RpcError(self._url, reason, response.status >= 500))
        return Ok(None)

    def renew_task(
        self, task_id: str, token: int, lease_seconds: float
    ) -> Result[BackendTask | None, RpcError]:
        """Renew a task's lease; return how it stands, ``None`` if unknown."""
        body = {"token": token, "lease_seconds": lease_seconds}
        return self._task_call("POST", f"/tasks/{task_id}/renew", body)

    def task(self, task_id: str) -> Result[BackendTask | None, RpcError]:
        """Return how a task stands, ``None`` if it is not known."""
        return self._task_call("GET", f"/tasks/{task_id}", None)

    def stop_task(
        self, task_id: str, checkpoint: bool
    ) -> Result[BackendTask | None, RpcError]:
        """Stop a task, after a checkpoint if asked, and return its end."""
        body = {"checkpoint": checkpoint}
        return self._task_call("POST", f"/tasks/{task_id}/stop", body)

    def _task_call(
        self, method: str, path: str, body: Any
    ) -> Result[BackendTask | None, RpcError]:
        answered = self._send_json(method, path, body)
        if answered.is_err():
            return answered
        response = answered.unwrap()
        if response.status == 404:
            return Ok(None)
        try:
            return Ok(msgspec.json.decode(response.data, type=BackendTask))
        except msgspec.DecodeError as error:
            return Err(RpcError(self._url, f"broken reply: {error}", True))

    def _send_json(self, method: str, path: str, body: Any) -> Result[Any, RpcError]:
        data = msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        return self._send(
            self._task_pool, method, path, data, headers, TASK_CALL_SECONDS, True
        )

    def _send(
        self,
        pool: urllib3.PoolManager,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout: float,
        preload: bool,
    ) -> Result[Any, RpcError]:
        limits = urllib3.Timeout(connect=CONNECT_SECONDS, total=timeout)
        try:
            return Ok(
                pool.request(
                    method,
                    self._url + path,
                    body=body,
                    headers=headers,
                    timeout=limits,
                    preload_content=preload,
                    enforce_content_length=True,
                )
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(RpcError(self._url, f"no connection: {error}", False))
        except HTTPError as error:
            return Err(RpcError(self._url, f"{type(error).__name__}: {error}", True))


def _fault_of(response: Any, attempt_id: str) -> str:
    """Return why the answer can't be taken, empty if it can."""
    if response.headers.get("X-Attempt-Id", attempt_id) != attempt_id:
        return "the answer belongs to another attempt"
    length = response.headers.get("Content-Length")
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "")
    if chunked:
        return ""
    if length is None or not length.isdigit():
        return "the answer has no length"
    if int(length) > MAX_RESPONSE_BYTES:
        return "the answer is too large"
    return ""
