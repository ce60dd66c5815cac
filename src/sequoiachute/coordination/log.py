"""Following and writing the log's streams."""

from collections.abc import Callable
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event
from eventlet.queue import LightQueue
from loguru import logger
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import decode_record, encode_record
from sequoiachute.transport.ports import LogStream

READ_WAIT_SECONDS = 0.5
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_LAST_SECONDS = 1.0
SETTLE_SECONDS = 3.0
BATCH_RECORDS = 200
BATCH_SECONDS = 0.005

ApplyRecord = Callable[[int, Any], None]


def new_record_id() -> str:
    """Return a unique record identity."""
    return uuid4().hex


class StreamFollower:
    """Reads one stream in order and hands every record to ``apply``.

    Parameters
    ----------
    log : LogStream
        The log service.
    stream : str
        Name of the stream.
    apply : callable
        Takes the offset and the record.
    confirm : callable, optional
        Takes the clock time at which nothing newer was in the stream.
    """

    def __init__(
        self,
        log: LogStream,
        stream: str,
        apply: ApplyRecord,
        confirm: Callable[[float], None] | None = None,
    ) -> None:
        self._log = log
        self._confirm = confirm
        self._stream = stream
        self._apply = apply
        self._next = 0
        self._confirmed_at = float("-inf")
        self._watched: dict[str, Event] = {}
        self._caught_up = Event()

    @property
    def next_offset(self) -> int:
        """Offset of the first record not read yet."""
        return self._next

    @property
    def confirmed_at(self) -> float:
        """Clock time at which nothing newer was in the stream."""
        return self._confirmed_at

    def age(self) -> float:
        """Return the seconds since the end of the stream was confirmed."""
        return clock.now() - self._confirmed_at

    def wait_caught_up(self, timeout: float) -> bool:
        """Wait until the end was reached once; return whether it was."""
        with eventlet.Timeout(timeout, False):
            self._caught_up.wait()
        return self._caught_up.ready()

    def watch(self, record_id: str) -> Event:
        """Return an event that gets the offset when the record is read."""
        return self._watched.setdefault(record_id, Event())

    def unwatch(self, record_id: str) -> None:
        """Forget a watch."""
        self._watched.pop(record_id, None)

    def run(self) -> None:
        """Follow the stream for ever."""
        backoff = BACKOFF_FIRST_SECONDS
        while True:
            try:
                self.read_once(READ_WAIT_SECONDS)
            except LogUnavailableError as error:
                logger.debug("reading {} failed: {}", self._stream, error.reason)
                clock.sleep(backoff)
                backoff = min(2 * backoff, BACKOFF_LAST_SECONDS)
                continue
            backoff = BACKOFF_FIRST_SECONDS

    def read_once(self, wait: float) -> None:
        """Read one page; raise ``LogUnavailableError``."""
        asked_at = clock.now()
        page = self._log.read(self._stream, self._next, wait)
        for entry in page.entries:
            if entry.offset < self._next:
                continue
            self._next = entry.offset + 1
            self._take(entry.offset, entry.data)
        if self._next < page.next and not page.entries:
            self._next = page.next
        if self._next >= page.next:
            self._confirmed_at = max(self._confirmed_at, asked_at)
            if self._confirm is not None:
                self._confirm(asked_at)
            if not self._caught_up.ready():
                self._caught_up.send(None)

    def _take(self, offset: int, data: bytes) -> None:
        record = decode_record(data)
        if record is None:
            logger.warning("skipped record {} of {}", offset, self._stream)
            return
        self._apply(offset, record)
        watcher = self._watched.pop(record["record_id"], None)
        if watcher is not None:
            watcher.send(offset)


class StreamWriter:
    """Appends records in batches and learns from the follower that they stand.

    An append counts as done only once the follower has read it back, so that
    the state its order decides is known to the caller of ``append``.
    """

    def __init__(self, log: LogStream, stream: str, follower: StreamFollower) -> None:
        self._log = log
        self._stream = stream
        self._follower = follower
        self._queue: LightQueue = LightQueue()

    def append(
        self, record: Any, timeout: float = SETTLE_SECONDS
    ) -> Result[int, LogUnavailableError]:
        """Append ``record`` and return its offset once it was read back.

        An ``Err`` whose ``maybe_applied`` is false means that the record is
        not in the log and never will be.
        """
        seen = self._follower.watch(record["record_id"])
        failed = Event()
        self._queue.put((encode_record(record), failed))
        offset = None
        with eventlet.Timeout(timeout, False):
            offset = _first_of(seen, failed)
        if isinstance(offset, int):
            return Ok(offset)
        self._follower.unwatch(record["record_id"])
        if isinstance(offset, LogUnavailableError):
            return Err(offset)
        return Err(LogUnavailableError("no confirmation in time", maybe_applied=True))

    def run(self) -> None:
        """Append what is queued, for ever."""
        while True:
            batch = [self._queue.get()]
            clock.sleep(BATCH_SECONDS)
            while len(batch) < BATCH_RECORDS and not self._queue.empty():
                batch.append(self._queue.get())
            self._append_batch(batch)

    def _append_batch(self, batch: list[tuple[bytes, Event]]) -> None:
        try:
            self._log.append(self._stream, [data for data, _ in batch])
        except LogUnavailableError as error:
            logger.warning("append to {} failed: {}", self._stream, error.reason)
            if error.maybe_applied:
                return
            for _, failed in batch:
                failed.send(error)


def _first_of(seen: Event, failed: Event) -> Any:
    """Return the value of whichever event comes first."""
    first = Event()

    def relay(event: Event) -> None:
        value = event.wait()
        if not first.ready():
            first.send(value)

    tasks = [eventlet.spawn(relay, seen), eventlet.spawn(relay, failed)]
    try:
        return first.wait()
    finally:
        for task in tasks:
            task.kill()
