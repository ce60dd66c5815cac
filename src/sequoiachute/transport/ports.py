"""What coordination needs of the outside, as ``Protocol`` types.

Production passes the clients of this package; tests pass in-memory fakes.
"""

from typing import Any, NamedTuple, Protocol

from result import Result

from sequoiachute.errors import RpcError
from sequoiachute.protocol.messages import Method


class RpcCaller(Protocol):
    """Calls methods of other processes."""

    def call(
        self, address: str, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        """Call ``method`` at ``address`` within ``timeout`` seconds."""
        ...


class LogEntry(NamedTuple):
    """One record as read back: offset, time of append in seconds and bytes."""

    offset: int
    appended_at: float
    data: bytes


class LogPage(NamedTuple):
    """Records from an offset on.

    ``first`` is the oldest offset still kept and ``next`` the one that the
    following append will take.
    """

    first: int
    next: int
    entries: tuple[LogEntry, ...]


class LogClient(Protocol):
    """The platform's log service. Both calls raise ``LogUnavailableError``."""

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append ``records`` in order; return the offset of the first."""
        ...

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds."""
        ...


class BackendResponse(NamedTuple):
    """A whole answer of the backend server."""

    status: int
    content_type: str
    body: bytes


class BackendTask(NamedTuple):
    """A task as the backend server reports it.

    ``state`` is ``running``, ``finished``, ``failed`` or ``stopped``.
    """

    state: str
    reason: str
    result: str
    done_seconds: float


class BackendServer(Protocol):
    """The backend server beside an agent."""

    def execute(
        self,
        request_id: str,
        attempt_id: str,
        content_type: str,
        body: bytes,
        timeout: float,
    ) -> Result[BackendResponse, RpcError]:
        """Run a request and return its whole answer."""
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
        """Start a task; the same ``task_id`` and ``token`` start it once.

        The worker stops it ``lease_seconds`` after its last renewal.
        """
        ...

    def renew_task(
        self, task_id: str, token: int, lease_seconds: float
    ) -> Result[BackendTask | None, RpcError]:
        """Renew a task's lease; return how it stands, ``None`` if unknown."""
        ...

    def task(self, task_id: str) -> Result[BackendTask | None, RpcError]:
        """Return how a task stands, ``None`` if it is not known."""
        ...

    def stop_task(
        self, task_id: str, checkpoint: bool
    ) -> Result[BackendTask | None, RpcError]:
        """Stop a task, after a checkpoint if asked, and return its end."""
        ...
