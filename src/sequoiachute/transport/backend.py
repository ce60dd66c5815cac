"""HTTP client of the backend server on the agent's host."""

from typing import Any

import eventlet
import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sequoiachute.errors import RpcError
from sequoiachute.protocol.decoder import decode_json
from sequoiachute.transport.ports import BackendResponse, BackendTask

CONNECT_TIMEOUT_SECONDS = 1.0
TASK_CALL_TIMEOUT_SECONDS = 3.0
TASK_CONNECTIONS = 2
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


def request_connections(connections: int) -> int:
    """Return how many of ``connections`` are available for requests.

    Task calls use a separate pool, so that no request waits for one, and both
    pools together stay within what the backend server accepts.
    """
    return max(0, connections - TASK_CONNECTIONS)


class BackendClient:
    """Calls the backend server at ``url``.

    Parameters
    ----------
    url : str
        Base URL of the backend server.
    connections : int
        Connections that the backend server accepts; both pools together
        stay within this number if it exceeds ``TASK_CONNECTIONS``.
    """

    def __init__(self, url: str, connections: int) -> None:
        self._url = url.rstrip("/")
        request_pool_size = max(1, request_connections(connections))
        self._pool = urllib3.PoolManager(
            maxsize=request_pool_size, block=True, retries=False
        )
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
        """Execute a request and return its complete response.

        A response that is truncated, has no length, is too large or carries
        another attempt's ID is an error: the request may have run.
        """
        headers = {
            "Content-Type": content_type,
            "X-Request-Id": request_id,
            "X-Attempt-Id": attempt_id,
        }
        timed_out = Err(RpcError(self._url, f"no answer within {timeout:.1f} s", True))
        if timeout <= 0:
            return Err(RpcError(self._url, "no time left", False))
        # urllib3's timeout covers a single read; this one the whole response.
        with eventlet.Timeout(timeout, False):
            outcome = self._send(
                self._pool, "POST", "/requests", body, headers, timeout, False
            )
            if outcome.is_err():
                return outcome
            return self._read_response(outcome.unwrap(), attempt_id)
        return timed_out

    def _read_response(
        self, response: Any, attempt_id: str
    ) -> Result[BackendResponse, RpcError]:
        reason = _find_response_fault(response, attempt_id)
        if reason:
            response.close()
            return Err(RpcError(self._url, reason, True))
        try:
            body = response.read(MAX_RESPONSE_BYTES + 1, decode_content=False)
            complete = len(body) <= MAX_RESPONSE_BYTES and not response.read(1)
        except HTTPError as error:
            response.close()
            return Err(RpcError(self._url, f"{type(error).__name__}: {error}", True))
        except BaseException:
            response.close()
            raise
        if not complete:
            response.close()
            reason = f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
            return Err(RpcError(self._url, reason, True))
        response.release_conn()
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return Ok(BackendResponse(response.status, content_type, body))

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
        """Start a task; repeating ``task_id`` and ``token`` has no effect."""
        body = {
            "task_id": task_id,
            "token": token,
            "accelerators": accelerators,
            "payload": payload,
            "run_seconds": run_seconds,
            "done_seconds": done_seconds,
            "lease_seconds": lease_seconds,
        }
        outcome = self._send_json("POST", "/tasks", body)
        if outcome.is_err():
            return outcome
        response = outcome.unwrap()
        if response.status != 200:
            reason = f"start answered {response.status}"
            return Err(RpcError(self._url, reason, response.status >= 500))
        return Ok(None)

    def renew_task(
        self, task_id: str, token: int, lease_seconds: float
    ) -> Result[BackendTask | None, RpcError]:
        """Renew a task's lease and return its state, ``None`` if unknown."""
        body = {"token": token, "lease_seconds": lease_seconds}
        return self._call_task("POST", f"/tasks/{task_id}/renew", body)

    def task(self, task_id: str) -> Result[BackendTask | None, RpcError]:
        """Return a task's state, ``None`` if it is unknown."""
        return self._call_task("GET", f"/tasks/{task_id}", None)

    def stop_task(
        self, task_id: str, checkpoint: bool
    ) -> Result[BackendTask | None, RpcError]:
        """Stop a task, after a checkpoint if requested.

        Returns its final state, ``None`` if it is unknown.
        """
        body = {"checkpoint": checkpoint}
        return self._call_task("POST", f"/tasks/{task_id}/stop", body)

    def _call_task(
        self, method: str, path: str, body: Any
    ) -> Result[BackendTask | None, RpcError]:
        outcome = self._send_json(method, path, body)
        if outcome.is_err():
            return outcome
        response = outcome.unwrap()
        if response.status == 404:
            return Ok(None)
        try:
            return Ok(decode_json(response.data, BackendTask))
        except msgspec.DecodeError as error:
            return Err(RpcError(self._url, f"invalid response: {error}", True))

    def _send_json(self, method: str, path: str, body: Any) -> Result[Any, RpcError]:
        data = msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        return self._send(
            self._task_pool,
            method,
            path,
            data,
            headers,
            TASK_CALL_TIMEOUT_SECONDS,
            True,
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
        timeouts = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, total=timeout)
        try:
            return Ok(
                pool.request(
                    method,
                    self._url + path,
                    body=body,
                    headers=headers,
                    timeout=timeouts,
                    preload_content=preload,
                    enforce_content_length=True,
                )
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(RpcError(self._url, f"no connection: {error}", False))
        except HTTPError as error:
            return Err(RpcError(self._url, f"{type(error).__name__}: {error}", True))


def _find_response_fault(response: Any, attempt_id: str) -> str:
    """Return why the response is unusable, an empty string if it is usable."""
    if response.headers.get("X-Attempt-Id", attempt_id) != attempt_id:
        return "the response belongs to another attempt"
    length = response.headers.get("Content-Length")
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "")
    if chunked:
        return ""
    if length is None or not length.isdigit():
        return "the response has no valid Content-Length"
    if int(length) > MAX_RESPONSE_BYTES:
        return f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
    return ""
