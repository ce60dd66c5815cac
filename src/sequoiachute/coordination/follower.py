"""Following a stream of the log from its newest snapshot on."""

from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.snapshots import find_snapshot
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import Position, decode_record
from sequoiachute.transport.ports import LogClient, LogEntry

FRESH_WAIT_SECONDS = 0.5  # of a read that confirms a view for other processes
STATE_WAIT_SECONDS = 1.0  # of a read that confirms a view for this process
IDLE_WAIT_SECONDS = 10.0  # of a read that only waits for news
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_LAST_SECONDS = 1.0
GAP_WAIT_SECONDS = 30.0
VOID_HOLD_SECONDS = 86400.0
VOID = -1  # told to a watcher in place of an offset

ApplyRecord = Callable[[Position, Any], Any]
RestoreItems = Callable[[list[Any]], None]


class StreamFollower:
    """Reads one stream in order and hands every record to ``apply``.

    Parameters
    ----------
    log : LogClient
        The log service.
    stream : str
        Name of the stream.
    apply : callable
        Takes the position and the record.
    confirm : callable, optional
        Takes the clock time at which nothing newer was in the stream.
    restore : callable, optional
        Takes the items of a snapshot and replaces the state by them.
    wait : float
        Longest time in seconds that a read waits for news; the confirmation
        of the stream's end grows up to twice as old.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        apply: ApplyRecord,
        confirm: Callable[[float], None] | None = None,
        restore: RestoreItems | None = None,
        wait: float = FRESH_WAIT_SECONDS,
    ) -> None:
        self._log = log
        self._wait = wait
        self._confirm = confirm
        self._stream = stream
        self._apply = apply
        self._restore = restore
        self._next = 0
        self._started = False
        self._gap_since = float("inf")
        self._confirmed_at = float("-inf")
        self._watched: dict[str, Event] = {}
        self._voided: dict[str, float] = {}
        self._caught_up = Event()

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def next_offset(self) -> int:
        """Offset of the first record not read yet."""
        return self._next

    @property
    def confirmed_at(self) -> float:
        """Clock time at which nothing newer was in the stream."""
        return self._confirmed_at

    @property
    def voided(self) -> tuple[str, ...]:
        """Identities of the records that must not take effect any more."""
        return tuple(self._voided)

    def age(self) -> float:
        """Return the seconds since the end of the stream was confirmed."""
        return clock.now() - self._confirmed_at

    def wait_caught_up(self, timeout: float) -> bool:
        """Wait until the end was reached once; return whether it was."""
        with eventlet.Timeout(timeout, False):
            self._caught_up.wait()
        return self._caught_up.ready()

    def watch(self, record_id: str, outcome: Event) -> None:
        """Send the record's offset to ``outcome``, or ``VOID`` if voided first."""
        self._watched[record_id] = outcome

    def unwatch(self, record_id: str) -> None:
        """Forget a watch."""
        self._watched.pop(record_id, None)

    def run(self) -> None:
        """Follow the stream for ever."""
        backoff = BACKOFF_FIRST_SECONDS
        while True:
            try:
                self.read_once(self._wait if self._caught_up.ready() else 0.0)
            except LogUnavailableError as error:
                logger.debug("reading {} failed: {}", self._stream, error.reason)
                clock.sleep(backoff)
                backoff = min(2 * backoff, BACKOFF_LAST_SECONDS)
                continue
            backoff = BACKOFF_FIRST_SECONDS

    def read_once(self, wait: float) -> None:
        """Read one page; raise ``LogUnavailableError``."""
        if not self._started:
            self._start_from_snapshot()
        asked_at = clock.now()
        page = self._log.read(self._stream, self._next, wait)
        first = page.entries[0].offset if page.entries else page.first
        if max(first, page.first) > self._next:
            self._cross_gap(page.first)
            return
        for entry in page.entries:
            if entry.offset < self._next:
                continue
            self._take(entry)
        if page.next < self._next:
            raise LogUnavailableError("the log's end lies before what was read")
        if self._next == page.next:
            self._note_confirmed(asked_at)

    def _note_confirmed(self, at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, at)
        if self._confirm is not None:
            self._confirm(at)
        if not self._caught_up.ready():
            self._caught_up.send(None)

    def _start_from_snapshot(self) -> None:
        self._restore_newest(self._next)
        self._started = True

    def _restore_newest(self, least: int) -> bool:
        """Restore a snapshot that reaches ``least``; return whether there is one."""
        if self._restore is None:
            return False
        snapshot = find_snapshot(self._log, self._stream)
        if snapshot is None or snapshot.through < least:
            return False
        try:
            self._restore(snapshot.items)
        except msgspec.ValidationError as error:
            logger.error("snapshot of {} is not readable: {}", self._stream, error)
            return False
        self._next = snapshot.through
        for record_id in snapshot.voided:
            self._voided[record_id] = clock.wall_time()
        log = logger.bind(stream=self._stream, offset=self._next)
        log.info("started from a snapshot")
        return True

    def _cross_gap(self, first: int) -> None:
        """Get over records that the log no longer keeps.

        Another process may still have the state they led to and is then about
        to write a snapshot, so that a process which has just started waits too.
        """
        if self._restore_newest(first):
            self._gap_since = float("inf")
            return
        self._gap_since = min(self._gap_since, clock.now())
        waited = clock.now() - self._gap_since
        if waited < GAP_WAIT_SECONDS:
            raise LogUnavailableError("records expired and no snapshot covers them")
        log = logger.bind(stream=self._stream)
        log.error("records {} to {} are lost", self._next, first - 1)
        self._gap_since = float("inf")
        self._next = first

    def _take(self, entry: LogEntry) -> None:
        record = decode_record(entry.data)
        if record is None:
            logger.warning("skipped record {} of {}", entry.offset, self._stream)
        elif record["kind"] == "records-voided":
            self._void(record["targets"], entry.appended_at)
        elif record["record_id"] in self._voided:
            logger.info("record {} of {} is void", entry.offset, self._stream)
        else:
            self._hand_on(Position(entry.offset, entry.appended_at), record)
        self._next = entry.offset + 1

    def _hand_on(self, position: Position, record: Any) -> None:
        try:
            self._apply(position, record)
        except Exception:
            logger.exception("record {} of {} failed", position.offset, self._stream)
        self._tell(record["record_id"], position.offset)

    def _void(self, targets: list[str], at: float) -> None:
        for record_id, voided_at in list(self._voided.items()):
            if voided_at < at - VOID_HOLD_SECONDS:
                del self._voided[record_id]
        for record_id in targets:
            self._voided[record_id] = at
            self._tell(record_id, VOID)

    def _tell(self, record_id: str, outcome: int) -> None:
        watcher = self._watched.pop(record_id, None)
        if watcher is not None and not watcher.ready():
            watcher.send(outcome)
