"""In-memory stand-ins that run on the paused clock, all in one process."""

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

READ_RECORDS = 1000  # most in one page


class MemoryProcess:
    """Faults of one process: paused or killed.

    A paused process waits wherever it calls out; a killed one ends there.
    """

    def __init__(self) -> None:
        self.frozen = False
        self.killed = False

    def check(self) -> None:
        """Wait while the process is paused; end its task if it was killed."""
        while self.frozen and not self.killed:
            clock.sleep(0.05)
        if self.killed:
            raise GreenletExit


class ProcessBackend:
    """A backend server as the agent beside it reaches it."""

    def __init__(self, backend: "MemoryBackend", process: MemoryProcess) -> None:
        self._backend = backend
        self._process = process

    def __getattr__(self, name: str) -> Callable[..., Any]:
        method = getattr(self._backend, name)

        def call(*arguments: Any) -> Any:
            self._process.check()
            outcome = method(*arguments)
            self._process.check()
            return outcome

        return call


class MemoryLog:
    """The log service in memory.

    ``down`` refuses every call, ``reads_fail`` and ``appends_fail`` refuse
    one kind, ``lose_replies`` lets appends take effect and then fail,
    ``late_seconds`` lets them fail and take effect that much later, ``delay``
    slows every call. Records are forgotten after ``retention`` seconds.
    ``appends`` counts the calls.
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
        self._firsts: dict[str, int] = {}
        self._waiters: dict[str, Event] = {}

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
        """Let ``records`` take effect now; return the offset of the first."""
        first = self._next(stream)
        entries = self._streams.setdefault(stream, [])
        for index, data in enumerate(records):
            entries.append(LogEntry(first + index, clock.wall_time(), data))
        self.appends += 1
        waiter = self._waiters.pop(stream, None)
        if waiter is not None:
            waiter.send(None)
        return first

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on."""
        clock.sleep(self.delay)
        if self.down or self.reads_fail:
            raise LogUnavailableError("down")
        if offset >= self._next(stream) and wait > 0:
            waiter = self._waiters.setdefault(stream, Event())
            with eventlet.Timeout(wait, False):
                waiter.wait()
        self._expire(stream)
        first = self._firsts.get(stream, 0)
        entries = self._streams.get(stream, [])[max(0, offset - first) :]
        return LogPage(first, self._next(stream), tuple(entries[:READ_RECORDS]))

    def _expire(self, stream: str) -> None:
        oldest = clock.wall_time() - self.retention
        for entry in self._streams.get(stream, [])[:]:
            if entry.appended_at >= oldest:
                break
            self.drop_before(stream, entry.offset + 1)

    def drop_before(self, stream: str, offset: int) -> None:
        """Forget the records before ``offset``, as limited retention does."""
        first = self._firsts.get(stream, 0)
        self._streams[stream] = self._streams.get(stream, [])[offset - first :]
        self._firsts[stream] = offset

    def _next(self, stream: str) -> int:
        return self._firsts.get(stream, 0) + len(self._streams.get(stream, []))


class MemoryLogLink:
    """One process's way to a ``MemoryLog``.

    ``cut`` refuses every call, ``reads_fail`` refuses reads, ``lose_replies``
    loses the replies of appends and ``delay`` slows every call.
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
        self._process.check()
        clock.sleep(self.delay)
        if self.cut:
            raise LogUnavailableError("no connection")
        first = self._log.append(stream, records)
        self._process.check()
        if self.lose_replies:
            raise LogUnavailableError("the reply is lost", maybe_applied=True)
        return first

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on."""
        self._process.check()
        if self.cut or self.reads_fail:
            clock.sleep(self.delay)
            raise LogUnavailableError("no connection")
        page = self._log.read(stream, offset, wait)
        self._process.check()
        clock.sleep(self.delay)
        return page


class MemoryNetwork:
    """Carries calls between processes by address, with faults.

    ``cut`` and ``lose_replies`` hold (source, destination) pairs; ``frozen``
    holds addresses whose calls wait until they are thawed.
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
        """Let nothing listen at ``address`` any more."""
        self._handlers.pop(address, None)

    def caller(
        self, source: str, process: MemoryProcess | None = None
    ) -> "MemoryCaller":
        """Return the caller that the process at ``source`` uses."""
        return MemoryCaller(self, source, process or MemoryProcess())

    def deliver(
        self, source: str, address: str, method: Method, message: Any
    ) -> Result[Any, RpcError]:
        """Carry one call there and back."""
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
    """Calls through a ``MemoryNetwork`` from one source address."""

    def __init__(
        self, network: MemoryNetwork, source: str, process: MemoryProcess
    ) -> None:
        self._network = network
        self._source = source
        self._process = process

    def call(
        self, address: str, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        """Call ``method``; the handler goes on after a timeout."""
        self._process.check()
        task = eventlet.spawn(
            self._network.deliver, self._source, address, method, message
        )
        outcome = Err(RpcError(address, "timeout", True))
        with eventlet.Timeout(timeout, False):
            outcome = task.wait()
        self._process.check()
        return outcome


class MemoryBackend:
    """A backend server in memory; ``starts`` and ``runs`` tell what ran."""

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
        """Answer with the body."""
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
        """Start a task once."""
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
        """Renew a running task's lease."""
        if self.unreachable:
            return Err(RpcError("backend", "unreachable", True))
        if task_id not in self._tasks:
            return Ok(None)
        state = self._state(task_id)
        if state.state == "running":
            self._leases[task_id] = clock.now() + lease_seconds
        return Ok(state)

    def task(self, task_id: str) -> Result[BackendTask | None, RpcError]:
        """Return how a task stands."""
        if self.unreachable:
            return Err(RpcError("backend", "unreachable", True))
        if task_id not in self._tasks:
            return Ok(None)
        return Ok(self._state(task_id))

    def stop_task(
        self, task_id: str, checkpoint: bool
    ) -> Result[BackendTask | None, RpcError]:
        """Stop a task and return its end."""
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
        """Return the tasks that run now."""
        running = []
        for task_id in self._tasks:
            if self._state(task_id).state == "running":
                running.append(task_id)
        return running

    def task_state(self, task_id: str) -> str:
        """Return the state of a task that was started."""
        return self._state(task_id).state

    def accelerators_of(self, task_id: str) -> tuple[int, ...]:
        """Return the accelerators that a task was started on."""
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
        ran = (clock.now() - started_at) * self.speed
        if done_seconds + ran >= run_seconds:
            return BackendTask("finished", "", "done", run_seconds)
        return BackendTask("running", "", "", done_seconds + ran)
