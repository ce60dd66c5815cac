"""Group commit of records to a stream and resolution of unconfirmed appends."""

from collections import deque
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event
from loguru import logger
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.coordination.breaker import AppendRateLimiter, CircuitBreaker
from sequoiachute.coordination.follower import VOIDED, StreamFollower
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import encode_record
from sequoiachute.transport.ports import LogClient

CONFIRM_TIMEOUT_SECONDS = 3.0
FIRST_VOID_DELAY_SECONDS = 1.0
MAX_VOID_DELAY_SECONDS = 8.0
MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 512 * 1024
BATCH_DELAY_SECONDS = 0.005
MAX_QUEUED_RECORDS = 2000
QUEUE_FULL_RETRY_SECONDS = 1.0


def new_record_id() -> str:
    """Return a new unique ``record_id``."""
    return uuid4().hex


class _PendingRecord:
    """A record being appended; ``outcome`` receives its offset or an error."""

    __slots__ = ("data", "outcome", "record_id", "sent", "withdrawn")

    def __init__(self, record_id: str, data: bytes) -> None:
        self.record_id = record_id
        self.data = data
        self.outcome = Event()
        self.sent = False
        self.withdrawn = False


class StreamWriter:
    """Appends records in batches and confirms them through the follower.

    An append is confirmed only once the follower has read the record back, so
    that the caller of ``append`` sees the state that results from the order of
    the log. A record whose append got no reply is resolved by reading: either
    the record appears, or a ``records-voided`` record that precedes it in the
    log prevents it from ever taking effect.

    Parameters
    ----------
    log : LogClient
    stream : str
        Name of the stream.
    follower : StreamFollower
        Follows the same stream.
    rate_limiter : AppendRateLimiter, optional
        Shared by the writers of one process.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        follower: StreamFollower,
        rate_limiter: AppendRateLimiter | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._follower = follower
        self._rate_limiter = rate_limiter or AppendRateLimiter()
        self._breaker = CircuitBreaker()
        self._queue: deque[_PendingRecord] = deque()
        self._wakeup = Event()

    @property
    def is_suspended(self) -> bool:
        """Whether appends are refused immediately because the log failed."""
        return self._breaker.is_open

    def append(
        self, record: Any, timeout: float = CONFIRM_TIMEOUT_SECONDS
    ) -> Result[int, LogUnavailableError]:
        """Append ``record`` and return its offset once it has been read back.

        An ``Err`` whose ``maybe_applied`` is false means that the record has
        not taken effect and never will.

        Parameters
        ----------
        record : dict
            Record with its ``record_id``.
        timeout : float
            Longest wait for the confirmation, in seconds.
        """
        refusal = self._check_acceptance()
        if refusal is not None:
            return Err(refusal)
        pending = _PendingRecord(record["record_id"], encode_record(record))
        self._follower.watch(pending.record_id, pending.outcome)
        self._enqueue(pending)
        outcome = None
        with eventlet.Timeout(timeout, False):
            outcome = pending.outcome.wait()
        return self._to_result(pending, outcome)

    def run(self) -> None:
        """Append queued records in batches; never returns."""
        while True:
            if not self._queue:
                self._wakeup = Event()
                self._wakeup.wait()
            clock.sleep(max(BATCH_DELAY_SECONDS, self._breaker.remaining()))
            self._rate_limiter.take()
            batch = self._next_batch()
            if batch:
                self._append_batch(batch)

    def _check_acceptance(self) -> LogUnavailableError | None:
        if self._breaker.is_open:
            pause = self._breaker.remaining()
            return LogUnavailableError("appends are suspended", retry_after=pause)
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            reason = f"the append queue is full ({MAX_QUEUED_RECORDS} records)"
            return LogUnavailableError(reason, retry_after=QUEUE_FULL_RETRY_SECONDS)
        return None

    def _to_result(
        self, pending: _PendingRecord, outcome: Any
    ) -> Result[int, LogUnavailableError]:
        if outcome is None and not pending.sent:
            pending.withdrawn = True
            self._follower.unwatch(pending.record_id)
            return Err(LogUnavailableError("the append was not sent in time"))
        if outcome is None:
            return Err(
                LogUnavailableError("the append was not confirmed in time", True)
            )
        if isinstance(outcome, LogUnavailableError):
            return Err(outcome)
        if outcome == VOIDED:
            return Err(LogUnavailableError("the append was lost and has been voided"))
        return Ok(outcome)

    def _enqueue(self, pending: _PendingRecord) -> None:
        self._queue.append(pending)
        if not self._wakeup.ready():
            self._wakeup.send(None)

    def _next_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            if batch and size + len(self._queue[0].data) > MAX_BATCH_BYTES:
                break
            pending = self._queue.popleft()
            if pending.withdrawn:
                continue
            pending.sent = True
            size += len(pending.data)
            batch.append(pending)
        return batch

    def _append_batch(self, batch: list[_PendingRecord]) -> None:
        try:
            self._log.append(self._stream, [pending.data for pending in batch])
        except LogUnavailableError as error:
            logger.warning("append to {} failed: {}", self._stream, error.reason)
            self._breaker.record_failure()
            if error.maybe_applied:
                eventlet.spawn(self._resolve_unconfirmed, batch)
            else:
                self._fail_records(batch, error)
            self._fail_queued(error)
            return
        self._breaker.record_success()

    def _fail_records(
        self, batch: list[_PendingRecord], error: LogUnavailableError
    ) -> None:
        pause = self._breaker.remaining()
        refusal = LogUnavailableError(error.reason, retry_after=pause)
        for pending in batch:
            self._follower.unwatch(pending.record_id)
            if not pending.outcome.ready():
                pending.outcome.send(refusal)

    def _fail_queued(self, error: LogUnavailableError) -> None:
        queued = list(self._queue)
        self._queue.clear()
        for pending in queued:
            pending.withdrawn = True
        self._fail_records(queued, error)

    def _resolve_unconfirmed(self, batch: list[_PendingRecord]) -> None:
        """Void records whose append got no reply until each has an outcome."""
        pause = FIRST_VOID_DELAY_SECONDS
        while True:
            clock.sleep(pause)
            unconfirmed = [p for p in batch if not p.outcome.ready()]
            if len(unconfirmed) < len(batch):
                self._breaker.record_success()
            if not unconfirmed:
                return
            self._enqueue_void(unconfirmed)
            pause = min(2 * pause, MAX_VOID_DELAY_SECONDS)

    def _enqueue_void(self, unconfirmed: list[_PendingRecord]) -> None:
        record = {
            "kind": "records-voided",
            "record_id": new_record_id(),
            "targets": [pending.record_id for pending in unconfirmed],
        }
        self._enqueue(_PendingRecord(record["record_id"], encode_record(record)))
