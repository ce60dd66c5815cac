"""Protocols of the external services that coordination depends on.

Production passes the clients of this package; tests pass in-memory fakes.
"""

from typing import Any, NamedTuple, Protocol

from result import Result

from sequoiachute.errors import RpcError
from sequoiachute.protocol.messages import Method


class RpcCaller(Protocol):
    """Calls RPC methods of other processes."""

    def call(
        self, address: str, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        """Call ``method`` at ``address`` and return its reply.

        The call fails after ``timeout`` seconds.
        """
        ...


class LogEntry(NamedTuple):
    """A log record: its offset, append time in Unix seconds and content."""

    offset: int
    appended_at: float
    data: bytes


class LogPage(NamedTuple):
    """Consecutive log records, starting at the requested offset.

    ``first`` is the oldest offset still retained and ``next`` the one that the
    next append will get.
    """

    first: int
    next: int
    entries: tuple[LogEntry, ...]


class LogClient(Protocol):
    """Client of the platform's log service.

    Both methods raise ``LogUnavailableError``.
    """

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append ``records`` in order; return the offset of the first."""
        ...

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on.

        If there are none yet, wait up to ``wait`` seconds for one.
        """
        ...


class BackendResponse(NamedTuple):
    """A complete response of the backend server."""

    status: int
    content_type: str
    body: bytes


class BackendTask(NamedTuple):
    """State of a task as reported by the backend server.

    ``state`` is ``running``, ``finished``, ``failed`` or ``stopped``;
    ``done_seconds`` is the work completed, in seconds at speed 1.
    """

    state: str
    reason: str
    result: str
    done_seconds: float


class BackendServer(Protocol):
    """The backend server on the agent's host."""

    def execute(
        self,
        request_id: str,
        attempt_id: str,
        content_type: str,
        body: bytes,
        timeout: float,
    ) -> Result[BackendResponse, RpcError]:
        """Execute a request and return its complete response."""
        ...

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
        """Start a task; repeating ``task_id`` and ``token`` has no effect.

        The worker stops it ``lease_seconds`` after its last renewal.
        """
        ...

    def renew_task(
        self, task_id: str, token: int, lease_seconds: float
    ) -> Result[BackendTask | None, RpcError]:
        """Renew a task's lease and return its state, ``None`` if unknown."""
        ...

    def task(self, task_id: str) -> Result[BackendTask | None, RpcError]:
        """Return a task's state, ``None`` if it is unknown."""
        ...

    def stop_task(
        self, task_id: str, checkpoint: bool
    ) -> Result[BackendTask | None, RpcError]:
        """Stop a task, after a checkpoint if requested.

        Returns its final state, ``None`` if it is unknown.
        """
        ...
