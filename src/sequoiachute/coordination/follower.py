"""Reading a stream of the log in order, starting from its newest snapshot."""

from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.snapshots import find_newest_snapshot
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import Position, decode_record
from sequoiachute.transport.ports import LogClient, LogEntry

# Long-poll times of reads: the shorter, the fresher the confirmation.
SHARED_VIEW_POLL_SECONDS = 0.5  # confirms a view for other processes
LOCAL_VIEW_POLL_SECONDS = 1.0  # confirms a view for this process
IDLE_POLL_SECONDS = 10.0  # only waits for new records
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
SNAPSHOT_WAIT_SECONDS = 30.0  # for another process to write the missing snapshot
VOIDED_ID_HOLD_SECONDS = 86400.0
VOIDED = -1  # sent to a watcher in place of an offset

ApplyRecord = Callable[[Position, Any], Any]
RestoreItems = Callable[[list[Any]], None]


class StreamFollower:
    """Reads one stream in order and passes every record to ``apply``.

    Parameters
    ----------
    log : LogClient
        The log service.
    stream : str
        Name of the stream.
    apply : callable
        Takes the position and the record.
    confirm : callable, optional
        Takes the clock time at which the stream held nothing newer.
    restore : callable, optional
        Takes the items of a snapshot and replaces the state with them.
    poll_seconds : float
        Longest time that a read waits for new records; the confirmation of the
        stream's end can be up to twice as old.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        apply: ApplyRecord,
        confirm: Callable[[float], None] | None = None,
        restore: RestoreItems | None = None,
        poll_seconds: float = SHARED_VIEW_POLL_SECONDS,
    ) -> None:
        self._log = log
        self._poll_seconds = poll_seconds
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
        """Offset of the first record that has not been read yet."""
        return self._next

    @property
    def confirmed_at(self) -> float:
        """Clock time at which the stream was last known to hold nothing newer."""
        return self._confirmed_at

    @property
    def voided(self) -> tuple[str, ...]:
        """Identities of the records that must not take effect."""
        return tuple(self._voided)

    def confirmation_age(self) -> float:
        """Return the seconds since the end of the stream was last reached."""
        return clock.now() - self._confirmed_at

    def wait_caught_up(self, timeout: float) -> bool:
        """Wait until the end has been reached once; return whether it was.

        Parameters
        ----------
        timeout : float
            Longest wait in seconds.
        """
        with eventlet.Timeout(timeout, False):
            self._caught_up.wait()
        return self._caught_up.ready()

    def watch(self, record_id: str, outcome: Event) -> None:
        """Send the record's offset to ``outcome``, or ``VOIDED`` if voided first."""
        self._watched[record_id] = outcome

    def unwatch(self, record_id: str) -> None:
        """Stop watching for the record."""
        self._watched.pop(record_id, None)

    def run(self) -> None:
        """Follow the stream; never returns."""
        backoff = FIRST_BACKOFF_SECONDS
        wait = 0.0
        while True:
            try:
                self.read_once(wait)
            except LogUnavailableError as error:
                logger.debug("reading {} failed: {}", self._stream, error.reason)
                clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                # A long poll would confirm the log's return only at its end.
                wait = 0.0
                continue
            backoff = FIRST_BACKOFF_SECONDS
            wait = self._poll_seconds if self._caught_up.ready() else 0.0

    def read_once(self, wait: float) -> None:
        """Read one page and apply its records.

        Parameters
        ----------
        wait : float
            Longest time in seconds that the log waits for new records.

        Raises
        ------
        LogUnavailableError
            If the log can't be read, or no snapshot covers expired records yet.
        """
        if not self._started:
            self._start_from_snapshot()
        asked_at = clock.now()
        page = self._log.read(self._stream, self._next, wait)
        first = page.entries[0].offset if page.entries else page.first
        if max(first, page.first) > self._next:
            self._handle_expired_records(page.first)
            return
        for entry in page.entries:
            if entry.offset < self._next:
                continue
            self._process_entry(entry)
        if page.next < self._next:
            raise LogUnavailableError(
                "the end of the log precedes records that were read"
            )
        if self._next == page.next:
            self._mark_confirmed(asked_at)

    def _mark_confirmed(self, at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, at)
        if self._confirm is not None:
            self._confirm(at)
        if not self._caught_up.ready():
            self._caught_up.send(None)

    def _start_from_snapshot(self) -> None:
        self._restore_newest_snapshot(self._next)
        self._started = True

    def _restore_newest_snapshot(self, min_offset: int) -> bool:
        """Restore a snapshot that covers every record before ``min_offset``.

        Return whether there is one.
        """
        if self._restore is None:
            return False
        snapshot = find_newest_snapshot(self._log, self._stream)
        if snapshot is None or snapshot.through < min_offset:
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

    def _handle_expired_records(self, first_retained: int) -> None:
        """Restore a snapshot in place of expired records, or skip them.

        They are skipped only after ``SNAPSHOT_WAIT_SECONDS``, even by a process
        that has just started: another process may still hold the resulting
        state and be about to write a snapshot.
        """
        if self._restore_newest_snapshot(first_retained):
            self._gap_since = float("inf")
            return
        self._gap_since = min(self._gap_since, clock.now())
        waited_seconds = clock.now() - self._gap_since
        if waited_seconds < SNAPSHOT_WAIT_SECONDS:
            raise LogUnavailableError("no snapshot covers the expired records")
        log = logger.bind(stream=self._stream)
        log.error("records {} to {} are lost", self._next, first_retained - 1)
        self._gap_since = float("inf")
        self._next = first_retained

    def _process_entry(self, entry: LogEntry) -> None:
        record = decode_record(entry.data)
        if record is None:
            logger.warning("skipped record {} of {}", entry.offset, self._stream)
        elif record["kind"] == "records-voided":
            self._mark_voided(record["targets"], entry.appended_at)
        elif record["record_id"] in self._voided:
            logger.info("skipped voided record {} of {}", entry.offset, self._stream)
        else:
            self._apply_record(Position(entry.offset, entry.appended_at), record)
        self._next = entry.offset + 1

    def _apply_record(self, position: Position, record: Any) -> None:
        try:
            self._apply(position, record)
        except Exception:
            logger.exception(
                "applying record {} of {} failed", position.offset, self._stream
            )
        self._notify_watcher(record["record_id"], position.offset)

    def _mark_voided(self, targets: list[str], at: float) -> None:
        for record_id, voided_at in list(self._voided.items()):
            if voided_at < at - VOIDED_ID_HOLD_SECONDS:
                del self._voided[record_id]
        for record_id in targets:
            self._voided[record_id] = at
            self._notify_watcher(record_id, VOIDED)

    def _notify_watcher(self, record_id: str, outcome: int) -> None:
        watcher = self._watched.pop(record_id, None)
        if watcher is not None and not watcher.ready():
            watcher.send(outcome)
