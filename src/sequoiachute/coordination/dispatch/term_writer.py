"""Appends of a placer's term to the topic that only it writes."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.store.batches import in_batches
from sequoiachute.coordination.store.election import WRITER
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.progress import job_of_key
from sequoiachute.transport.store import KeyedStore, Record, Writer

APPEND_TIMEOUT_SECONDS = 0.8  # an unanswered append is sent again after it
MAX_APPEND_TIMEOUT_SECONDS = 3.2
APPEND_RETRY_SECONDS = 0.1
MAX_CONFIRMATION_SECONDS = 1.0  # a new placer orders no upkeep for 3.5 s


class Term(NamedTuple):
    """A placer's term: its number, the topic that only it writes, and its member."""

    number: int
    topic: str
    member: str


class DeposedError(Exception):
    """Raised when another entry has become the placer."""


class TermWriter:
    """Appends records under a term's epoch and applies them to the ledger.

    Parameters
    ----------
    identity : Term
    store : KeyedStore
    ledger : Ledger
    metrics : Metrics
    on_failure : callable
        Called after each append without an acknowledgement.
    """

    def __init__(
        self,
        identity: Term,
        store: KeyedStore,
        ledger: Ledger,
        metrics: Metrics,
        on_failure: Callable[[], None],
    ) -> None:
        self._term = identity.number
        self._topic = identity.topic
        self._store = store
        self._ledger = ledger
        self._metrics = metrics
        self._on_failure = on_failure
        self._sequence = 0
        self._ended = False

    def end(self) -> None:
        """Repeat no append any more that is not acknowledged."""
        self._ended = True

    def append_groups(self, groups: Iterable[list[Record]]) -> None:
        """Append groups of records, each of them at once where the store allows it."""
        for batch in in_batches(groups, self._store.limits):
            self.append(batch)

    def append(self, records: list[Record]) -> None:
        """Append records until acknowledged, then apply them to the ledger.

        Those that the store rejects are left out, each by itself. Raises
        ``DeposedError`` if a later placer has fenced this one or the term has ended.
        """
        writer = Writer(WRITER, self._term, self._sequence + 1)
        timeout = APPEND_TIMEOUT_SECONDS
        while True:
            outcome = self._store.append(
                self._topic, records, writer=writer, timeout=timeout
            )
            if outcome.is_ok():
                break
            error = outcome.unwrap_err()
            if error.fenced or self._ended:
                raise DeposedError(error.reason)
            if error.rejected:
                self._append_parts(records, error.reason)
                return
            log = logger.bind(term=self._term, reason=error.reason)
            log.bind(records=len(records)).info("append failed, retrying")
            if error.applied is None:
                # A store slower than the timeout would never be heard.
                timeout = min(2 * timeout, MAX_APPEND_TIMEOUT_SECONDS)
            self._on_failure()
            clock.sleep(APPEND_RETRY_SECONDS)
        self._sequence += 1
        first_offset = outcome.unwrap()
        for number, (key, value) in enumerate(records):
            self._ledger.apply(
                self._topic, StoredRecord(first_offset + number, key, value)
            )

    def confirm(self, record: Record) -> None:
        """Append a record; return once no later placer has taken over until just now.

        An acknowledgement that took long, as in a process that was suspended, confirms
        nothing about now. Raises ``DeposedError`` like ``append``.
        """
        while True:
            began = clock.elapsed()
            self.append([record])
            if clock.elapsed() - began <= MAX_CONFIRMATION_SECONDS:
                return

    def _append_parts(self, records: list[Record], reason: str) -> None:
        """Append what the store has rejected in two halves; set a single record aside.

        It would be rejected again: neither its job nor any other may wait for it.
        """
        middle = len(records) // 2
        if middle:
            self.append(records[:middle])
            self.append(records[middle:])
            return
        ((key, value),) = records
        log = logger.bind(key=key, bytes=len(value or b""), reason=reason)
        log.error("record rejected by the store, its job is set aside")
        self._metrics.count("records_rejected_total")
        self._ledger.set_aside(job_of_key(key))
