"""Follows one keyed topic of the store."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.loop import run_recorded
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.store import (
    HistoryLostError,
    KeyedStore,
    RecordPage,
    StoreUnavailableError,
    TopicSnapshot,
)

LONG_POLL_SECONDS = 2.0  # also the delay until a silent connection is noticed
READ_RETRY_SECONDS = 0.2  # while the store does not answer


def _pause() -> None:
    clock.sleep(READ_RETRY_SECONDS)


class Follower:
    """Applies a topic's snapshot, then every later record in order.

    Parameters
    ----------
    topic : str
    store : KeyedStore
    apply : callable
        Called with each record.
    replace : callable, optional
        Called with a snapshot instead of ``apply`` with each of its records; needed
        where keys that are absent from the snapshot must be dropped.
    pause : callable, optional
        Returns when to read again after a read that failed.
    """

    def __init__(
        self,
        topic: str,
        store: KeyedStore,
        apply: Callable[[StoredRecord], None],
        replace: Callable[[TopicSnapshot], None] | None = None,
        pause: Callable[[], None] = _pause,
        metrics: Metrics | None = None,
    ) -> None:
        self._topic = topic
        self._store = store
        self._apply = apply
        self._replace = replace
        self._pause = pause
        self._metrics = metrics
        self._caught_up = Event()
        self._unavailable_since: float | None = None
        self.next_offset = -1
        self.confirmed_at = float("-inf")

    @property
    def topic(self) -> str:
        """Topic that is followed."""
        return self._topic

    @property
    def is_caught_up(self) -> bool:
        """Whether a snapshot has been read."""
        return self.next_offset >= 0

    def age(self) -> float:
        """Return seconds since the applied state was last known to be current."""
        return clock.elapsed() - self.confirmed_at

    def wait_caught_up(self, timeout: float) -> bool:
        """Wait for the first snapshot; return whether it was read."""
        with eventlet.Timeout(timeout, False):
            self._caught_up.wait()
        return self.is_caught_up

    def run(self) -> None:
        """Follow the topic; does not return."""
        while True:
            # A long poll would show only at its end that the store is back.
            may_wait = self.is_caught_up and self._unavailable_since is None
            if not self.read_once(LONG_POLL_SECONDS if may_wait else 0.0):
                self._pause()

    def read_once(self, wait: float = 0.0) -> bool:
        """Read and apply what follows; return whether the store answered.

        Parameters
        ----------
        wait : float
            Seconds for which the store may wait for a new record.
        """
        requested_at = clock.elapsed()
        try:
            if not self.is_caught_up:
                self._read_snapshot()
            else:
                self._apply_page(self._store.read(self._topic, self.next_offset, wait))
        except HistoryLostError:
            logger.bind(topic=self._topic, offset=self.next_offset).warning(
                "history deleted, reading a snapshot"
            )
            return self._recover_from_snapshot(requested_at)
        except StoreUnavailableError as error:
            self._note_unavailable(str(error))
            return False
        self._confirm(requested_at)
        return True

    def _recover_from_snapshot(self, requested_at: float) -> bool:
        try:
            self._read_snapshot()
        except StoreUnavailableError as error:
            self._note_unavailable(str(error))
            return False
        self._confirm(requested_at)
        return True

    def _confirm(self, requested_at: float) -> None:
        since = self._unavailable_since
        if since is not None:
            self._unavailable_since = None
            log = logger.bind(topic=self._topic, offset=self.next_offset)
            seconds = round(clock.elapsed() - since, 3)
            log.bind(seconds=seconds).info("store regained")
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def _note_unavailable(self, reason: str) -> None:
        if self._unavailable_since is not None:
            return
        self._unavailable_since = clock.elapsed()
        log = logger.bind(topic=self._topic, offset=self.next_offset, reason=reason)
        log.warning("store lost")

    def _read_snapshot(self) -> None:
        snapshot = self._store.snapshot(self._topic)
        if self._replace is not None:
            self._run_recorded(self._replace, snapshot)
        else:
            for record in snapshot.records:
                self._run_recorded(self._apply, record)
        self.next_offset = max(self.next_offset, snapshot.end)
        if not self._caught_up.ready():
            self._caught_up.send(None)

    def _apply_page(self, page: RecordPage) -> None:
        for record in page.records:
            if record.offset >= self.next_offset:
                self._run_recorded(self._apply, record)
        self.next_offset = max(self.next_offset, page.next)

    def _run_recorded(self, apply: Callable[[Any], None], records: Any) -> None:
        """Apply records; one that can't be applied hides no later one."""
        name = f"records of {self._topic}"
        run_recorded(name, apply, records, metrics=self._metrics)
