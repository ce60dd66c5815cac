"""In-memory stand-ins for processes, log, network and backend servers.

All run in one process on the paused clock.
"""

from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from eventlet.event import Event
from greenlet import GreenletExit
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.errors import LogUnavailableError, RpcError
from sequoiachute.protocol.messages import Method
from sequoiachute.transport.ports import (
    BackendResponse,
    BackendTask,
    LogEntry,
    LogPage,
)

MAX_PAGE_RECORDS = 1000


class MemoryProcess:
    """Faults of one process: frozen or killed.

    A frozen process waits at its next call to another one; a killed one ends
    there.
    """

    def __init__(self) -> None:
        self.frozen = False
        self.killed = False

    def apply_faults(self) -> None:
        """Wait while the process is frozen; end its greenthread if it was killed."""
        while self.frozen and not self.killed:
            clock.sleep(0.05)
        if self.killed:
            raise GreenletExit


class ProcessBackend:
    """The backend server as the process of its agent calls it."""

    def __init__(self, backend: "MemoryBackend", process: MemoryProcess) -> None:
        self._backend = backend
        self._process = process

    def __getattr__(self, name: str) -> Callable[..., Any]:
        method = getattr(self._backend, name)

        def call(*arguments: Any) -> Any:
            self._process.apply_faults()
            outcome = method(*arguments)
            self._process.apply_faults()
            return outcome

        return call


class MemoryLog:
    """The log service in memory.

    ``down`` refuses every call, ``reads_fail`` and ``appends_fail`` refuse
    one kind, ``lose_replies`` lets appends take effect and then fail,
    ``late_seconds`` lets them fail and take effect that much later, ``delay``
    slows every call, in seconds. Records are dropped after ``retention``
    seconds. ``appends`` counts the appends that took effect.
    """

    def __init__(self, delay: float = 0.001, retention: float = float("inf")) -> None:
        self.down = False
        self.reads_fail = False
        self.appends_fail = False
        self.lose_replies = False
        self.late_seconds = 0.0
        self.delay = delay
        self.retention = retention
        self.appends = 0
        self._streams: dict[str, list[LogEntry]] = {}
        self._first_offsets: dict[str, int] = {}
        self._read_waiters: dict[str, Event] = {}

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append ``records``; return the offset of the first."""
        clock.sleep(self.delay)
        if self.down or self.appends_fail:
            raise LogUnavailableError("down")
        if self.late_seconds:
            eventlet.spawn_after(self.late_seconds, self.put, stream, records)
            raise LogUnavailableError("timeout", maybe_applied=True)
        first = self.put(stream, records)
        if self.lose_replies:
            raise LogUnavailableError("the reply is lost", maybe_applied=True)
        return first

    def put(self, stream: str, records: list[bytes]) -> int:
        """Store ``records`` immediately; return the offset of the first."""
        first = self._next_offset(stream)
        entries = self._streams.setdefault(stream, [])
        for index, data in enumerate(records):
            entries.append(LogEntry(first + index, clock.wall_time(), data))
        self.appends += 1
        waiter = self._read_waiters.pop(stream, None)
        if waiter is not None:
            waiter.send(None)
        return first

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on."""
        clock.sleep(self.delay)
        if self.down or self.reads_fail:
            raise LogUnavailableError("down")
        if offset >= self._next_offset(stream) and wait > 0:
            waiter = self._read_waiters.setdefault(stream, Event())
            with eventlet.Timeout(wait, False):
                waiter.wait()
        self._expire(stream)
        first = self._first_offsets.get(stream, 0)
        entries = self._streams.get(stream, [])[max(0, offset - first) :]
        return LogPage(
            first, self._next_offset(stream), tuple(entries[:MAX_PAGE_RECORDS])
        )

    def _expire(self, stream: str) -> None:
        oldest = clock.wall_time() - self.retention
        for entry in self._streams.get(stream, [])[:]:
            if entry.appended_at >= oldest:
                break
            self.drop_before(stream, entry.offset + 1)

    def drop_before(self, stream: str, offset: int) -> None:
        """Drop the records before ``offset``, as the retention limit does."""
        first = self._first_offsets.get(stream, 0)
        self._streams[stream] = self._streams.get(stream, [])[offset - first :]
        self._first_offsets[stream] = offset

    def _next_offset(self, stream: str) -> int:
        return self._first_offsets.get(stream, 0) + len(self._streams.get(stream, []))


class MemoryLogLink:
    """The connection of one process to a ``MemoryLog``.

    ``cut`` refuses every call, ``reads_fail`` refuses reads, ``lose_replies``
    loses the replies of appends and ``delay`` slows every call, in seconds.
    """

    def __init__(self, log: MemoryLog, process: MemoryProcess) -> None:
        self._process = process
        self.cut = False
        self.reads_fail = False
        self.lose_replies = False
        self.delay = 0.0
        self._log = log

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append ``records``; return the offset of the first."""
        self._process.apply_faults()
        clock.sleep(self.delay)
        if self.cut:
            raise LogUnavailableError("no connection")
        first = self._log.append(stream, records)
        self._process.apply_faults()
        if self.lose_replies:
            raise LogUnavailableError("the reply is lost", maybe_applied=True)
        return first

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on."""
        self._process.apply_faults()
        if self.cut or self.reads_fail:
            clock.sleep(self.delay)
            raise LogUnavailableError("no connection")
        page = self._log.read(stream, offset, wait)
        self._process.apply_faults()
        clock.sleep(self.delay)
        return page


class MemoryNetwork:
    """Carries calls between processes by address and injects faults.

    ``cut`` and ``lose_replies`` hold (source, destination) pairs. Calls to an
    address in ``frozen`` wait until it is removed from there.
    """

    def __init__(self, delay: float = 0.001) -> None:
        self.delay = delay
        self.cut: set[tuple[str, str]] = set()
        self.lose_replies: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self._handlers: dict[str, Mapping[Method, Callable[[Any], Any]]] = {}

    def serve(
        self, address: str, handlers: Mapping[Method, Callable[[Any], Any]]
    ) -> None:
        """Serve ``handlers`` at ``address``."""
        self._handlers[address] = handlers

    def remove(self, address: str) -> None:
        """Stop serving at ``address``."""
        self._handlers.pop(address, None)

    def caller(
        self, source: str, process: MemoryProcess | None = None
    ) -> "MemoryCaller":
        """Return the caller that the process at ``source`` uses."""
        return MemoryCaller(self, source, process or MemoryProcess())

    def deliver(
        self, source: str, address: str, method: Method, message: Any
    ) -> Result[Any, RpcError]:
        """Deliver a call to its handler and return the reply."""
        clock.sleep(self.delay)
        handlers = self._handlers.get(address)
        if handlers is None or (source, address) in self.cut:
            return Err(RpcError(address, "no connection", False))
        while address in self.frozen:
            clock.sleep(0.05)
            if address not in self._handlers:
                return Err(RpcError(address, "the peer has ended", True))
            handlers = self._handlers[address]
        try:
            reply = handlers[method](message)
        except GreenletExit:
            return Err(RpcError(address, "the peer has ended", True))
        clock.sleep(self.delay)
        if (source, address) in self.lose_replies:
            return Err(RpcError(address, "the reply is lost", True))
        return Ok(reply)


class MemoryCaller:
    """Makes calls through a ``MemoryNetwork`` from one source address."""

    def __init__(
        self, network: MemoryNetwork, source: str, process: MemoryProcess
    ) -> None:
        self._network = network
        self._source = source
        self._process = process

    def call(
        self, address: str, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        """Call ``method``; the handler keeps running after a timeout."""
        self._process.apply_faults()
        task = eventlet.spawn(
            self._network.deliver, self._source, address, method, message
        )
        outcome = Err(RpcError(address, "timeout", True))
        with eventlet.Timeout(timeout, False):
            outcome = task.wait()
        self._process.apply_faults()
        return outcome


class MemoryBackend:
    """A backend server in memory.

    ``starts`` records the tasks that were started, as task identity, token and
    clock time, and ``runs`` the request and attempt identities of what ran.
    """

    def __init__(self, speed: float = 1.0) -> None:
        self.speed = speed
        self.fails_tasks = False
        self.fails_starts = False
        self.unreachable = False
        self.delay = 0.0
        self.service_seconds = 0.01
        self.starts: list[tuple[str, int, float]] = []
        self.runs: list[tuple[str, str]] = []
        self._tasks: dict[str, tuple[float, float, float]] = {}
        self._ended: dict[str, BackendTask] = {}
        self._leases: dict[str, float] = {}
        self._accelerators: dict[str, tuple[int, ...]] = {}

    def execute(
        self,
        request_id: str,
        attempt_id: str,
        content_type: str,
        body: bytes,
        timeout: float,
    ) -> Result[BackendResponse, RpcError]:
        """Run a request; the answer is its body."""
        self.runs.append((request_id, attempt_id))
        clock.sleep(min(timeout, self.service_seconds / self.speed))
        return Ok(BackendResponse(200, content_type, body))

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
        """Start a task unless it has been started already."""
        clock.sleep(self.delay)
        if self.fails_starts:
            return Err(RpcError("backend", "start refused", False))
        if self.unreachable:
            return Err(RpcError("backend", "unreachable", True))
        if task_id not in self._tasks:
            self._tasks[task_id] = (clock.now(), run_seconds, done_seconds)
            self._leases[task_id] = clock.now() + lease_seconds
            self._accelerators[task_id] = accelerators
            self.starts.append((task_id, token, clock.now()))
        return Ok(None)

    def renew_task(
        self, task_id: str, token: int, lease_seconds: float
    ) -> Result[BackendTask | None, RpcError]:
        """Renew a running task's lease and return the task's state."""
        if self.unreachable:
            return Err(RpcError("backend", "unreachable", True))
        if task_id not in self._tasks:
            return Ok(None)
        state = self._state(task_id)
        if state.state == "running":
            self._leases[task_id] = clock.now() + lease_seconds
        return Ok(state)

    def task(self, task_id: str) -> Result[BackendTask | None, RpcError]:
        """Return the state of a task, ``None`` if it is not known."""
        if self.unreachable:
            return Err(RpcError("backend", "unreachable", True))
        if task_id not in self._tasks:
            return Ok(None)
        return Ok(self._state(task_id))

    def stop_task(
        self, task_id: str, checkpoint: bool
    ) -> Result[BackendTask | None, RpcError]:
        """Stop a task and return its final state, ``None`` if it is not known."""
        if self.unreachable:
            return Err(RpcError("backend", "unreachable", True))
        if task_id not in self._tasks:
            return Ok(None)
        state = self._state(task_id)
        if state.state == "running":
            done = state.done_seconds if checkpoint else self._tasks[task_id][2]
            self._ended[task_id] = BackendTask("stopped", "stopped", "", done)
        return Ok(self._state(task_id))

    def running(self) -> list[str]:
        """Return the identities of the running tasks."""
        task_ids = []
        for task_id in self._tasks:
            if self._state(task_id).state == "running":
                task_ids.append(task_id)
        return task_ids

    def task_state(self, task_id: str) -> str:
        """Return the state of a task that was started."""
        return self._state(task_id).state

    def accelerators_of(self, task_id: str) -> tuple[int, ...]:
        """Return the numbers of the accelerators that a task was started on."""
        return self._accelerators[task_id]

    def _state(self, task_id: str) -> BackendTask:
        if task_id in self._ended:
            return self._ended[task_id]
        started_at, run_seconds, done_seconds = self._tasks[task_id]
        finishes_at = started_at + (run_seconds - done_seconds) / self.speed
        if min(clock.now(), finishes_at) > self._leases[task_id]:
            ended = BackendTask("stopped", "the lease ended", "", done_seconds)
            self._ended[task_id] = ended
            return ended
        if self.fails_tasks:
            return BackendTask("failed", "the worker fails it", "", done_seconds)
        progress = (clock.now() - started_at) * self.speed
        if done_seconds + progress >= run_seconds:
            return BackendTask("finished", "", "done", run_seconds)
        return BackendTask("running", "", "", done_seconds + progress)
