"""Following one keyed topic of the store."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.transport.store import (
    HistoryLostError,
    KeyedStore,
    RecordPage,
    StoreUnavailableError,
)

POLL_SECONDS = 2.0  # one long read; a silent connection is noticed after it
RETRY_SECONDS = 0.2  # between reads while the store answers none


class Follower:
    """Applies every record of a topic, in order, from its newest state on.

    Parameters
    ----------
    topic : str
    store : KeyedStore
    apply : callable
        Takes a record.
    replace : callable, optional
        Takes all records of a new snapshot, where dropped keys matter.
    """

    def __init__(
        self,
        topic: str,
        store: KeyedStore,
        apply: Callable[[StoredRecord], None],
        replace: Callable[[tuple[StoredRecord, ...]], None] | None = None,
    ) -> None:
        self._topic = topic
        self._store = store
        self._apply = apply
        self._replace = replace
        self._caught_up = Event()
        self._lost = False
        self.next = -1
        self.confirmed_at = float("-inf")

    @property
    def is_caught_up(self) -> bool:
        """Whether a snapshot has been read."""
        return self.next >= 0

    def age(self) -> float:
        """Return seconds since the view was known to be the newest."""
        return clock.elapsed() - self.confirmed_at

    def wait_caught_up(self, timeout: float) -> bool:
        """Wait for the first snapshot; return whether it was read."""
        with eventlet.Timeout(timeout, False):
            self._caught_up.wait()
        return self.is_caught_up

    def run(self) -> None:
        """Follow the topic, for ever."""
        while True:
            wait = POLL_SECONDS if self.is_caught_up else 0.0
            if not self.read_once(wait):
                clock.sleep(RETRY_SECONDS)

    def read_once(self, wait: float = 0.0) -> bool:
        """Read on from the last offset; return whether the store answered."""
        asked_at = clock.elapsed()
        try:
            if not self.is_caught_up:
                self._read_snapshot()
            else:
                self._take(self._store.read(self._topic, self.next, wait))
        except HistoryLostError:
            logger.bind(topic=self._topic, offset=self.next).warning(
                "history is lost, reading a snapshot"
            )
            return self._reread(asked_at)
        except StoreUnavailableError as error:
            self._note_lost(str(error))
            return False
        self._confirm(asked_at)
        return True

    def _reread(self, asked_at: float) -> bool:
        try:
            self._read_snapshot()
        except StoreUnavailableError as error:
            self._note_lost(str(error))
            return False
        self._confirm(asked_at)
        return True

    def _confirm(self, asked_at: float) -> None:
        if self._lost:
            self._lost = False
            logger.bind(topic=self._topic, offset=self.next).info("store regained")
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def _note_lost(self, reason: str) -> None:
        if self._lost:
            return
        self._lost = True
        log = logger.bind(topic=self._topic, offset=self.next, reason=reason)
        log.warning("store lost")

    def _read_snapshot(self) -> None:
        snapshot = self._store.snapshot(self._topic)
        if self._replace is not None:
            self._replace(snapshot.records)
        else:
            for record in snapshot.records:
                self._apply(record)
        self.next = max(self.next, snapshot.end)
        if not self._caught_up.ready():
            self._caught_up.send(None)

    def _take(self, page: RecordPage) -> None:
        for record in page.records:
            if record.offset >= self.next:
                self._apply(record)
        self.next = max(self.next, page.next)
