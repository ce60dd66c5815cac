"""Writing to a stream of the log: group commit and settled appends."""

from collections import deque
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event
from loguru import logger
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.coordination.breaker import AppendRateLimiter, CircuitBreaker
from sequoiachute.coordination.follower import VOID, StreamFollower
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import encode_record
from sequoiachute.transport.ports import LogClient

SETTLE_SECONDS = 3.0
VOID_AFTER_SECONDS = 1.0
VOID_LAST_SECONDS = 8.0
BATCH_RECORDS = 200
BATCH_BYTES = 512 * 1024
BATCH_SECONDS = 0.005
QUEUE_RECORDS = 2000
RETRY_AFTER_FULL_SECONDS = 1.0


def new_record_id() -> str:
    """Return a unique record identity."""
    return uuid4().hex


class _Pending:
    """A record on its way; ``outcome`` gets its offset or an error."""

    __slots__ = ("data", "outcome", "record_id", "sent", "withdrawn")

    def __init__(self, record_id: str, data: bytes) -> None:
        self.record_id = record_id
        self.data = data
        self.outcome = Event()
        self.sent = False
        self.withdrawn = False


class StreamWriter:
    """Appends records in batches and learns from the follower that they stand.

    An append counts as done only once the follower has read it back, so that
    the state its order decides is known to the caller of ``append``. A record
    whose append got no reply is settled by reading: either it shows up, or a
    ``records-voided`` record that lies before it makes sure that it never
    takes effect.

    Parameters
    ----------
    log : LogClient
    stream : str
    follower : StreamFollower
        Follows the same stream.
    rate : AppendRateLimiter, optional
        Shared by the writers of one process.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        follower: StreamFollower,
        rate: AppendRateLimiter | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._follower = follower
        self._rate = rate or AppendRateLimiter()
        self._breaker = CircuitBreaker()
        self._queue: deque[_Pending] = deque()
        self._wakened = Event()

    @property
    def is_held_off(self) -> bool:
        """Whether appends are refused at once because the log failed."""
        return self._breaker.is_open

    def append(
        self, record: Any, timeout: float = SETTLE_SECONDS
    ) -> Result[int, LogUnavailableError]:
        """Append ``record`` and return its offset once it was read back.

        An ``Err`` whose ``maybe_applied`` is false means that the record has
        no effect and never will have.
        """
        refusal = self._refusal()
        if refusal is not None:
            return Err(refusal)
        pending = _Pending(record["record_id"], encode_record(record))
        self._follower.watch(pending.record_id, pending.outcome)
        self._put(pending)
        outcome = None
        with eventlet.Timeout(timeout, False):
            outcome = pending.outcome.wait()
        return self._conclude(pending, outcome)

    def run(self) -> None:
        """Append what is queued, for ever."""
        while True:
            if not self._queue:
                self._wakened = Event()
                self._wakened.wait()
            clock.sleep(max(BATCH_SECONDS, self._breaker.remaining()))
            self._rate.take()
            batch = self._take_batch()
            if batch:
                self._append_batch(batch)

    def _refusal(self) -> LogUnavailableError | None:
        if self._breaker.is_open:
            pause = self._breaker.remaining()
            return LogUnavailableError("appends are held off", retry_after=pause)
        if len(self._queue) >= QUEUE_RECORDS:
            reason = f"{QUEUE_RECORDS} records wait already"
            return LogUnavailableError(reason, retry_after=RETRY_AFTER_FULL_SECONDS)
        return None

    def _conclude(
        self, pending: _Pending, outcome: Any
    ) -> Result[int, LogUnavailableError]:
        if outcome is None and not pending.sent:
            pending.withdrawn = True
            self._follower.unwatch(pending.record_id)
            return Err(LogUnavailableError("the append could not be sent in time"))
        if outcome is None:
            return Err(LogUnavailableError("no confirmation in time", True))
        if isinstance(outcome, LogUnavailableError):
            return Err(outcome)
        if outcome == VOID:
            return Err(LogUnavailableError("the append was lost and is void"))
        return Ok(outcome)

    def _put(self, pending: _Pending) -> None:
        self._queue.append(pending)
        if not self._wakened.ready():
            self._wakened.send(None)

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue and len(batch) < BATCH_RECORDS:
            if batch and size + len(self._queue[0].data) > BATCH_BYTES:
                break
            pending = self._queue.popleft()
            if pending.withdrawn:
                continue
            pending.sent = True
            size += len(pending.data)
            batch.append(pending)
        return batch

    def _append_batch(self, batch: list[_Pending]) -> None:
        try:
            self._log.append(self._stream, [pending.data for pending in batch])
        except LogUnavailableError as error:
            logger.warning("append to {} failed: {}", self._stream, error.reason)
            self._breaker.record_failure()
            if error.maybe_applied:
                eventlet.spawn(self._settle, batch)
            else:
                self._refuse(batch, error)
            self._refuse_queued(error)
            return
        self._breaker.record_success()

    def _refuse(self, batch: list[_Pending], error: LogUnavailableError) -> None:
        pause = self._breaker.remaining()
        refusal = LogUnavailableError(error.reason, retry_after=pause)
        for pending in batch:
            self._follower.unwatch(pending.record_id)
            if not pending.outcome.ready():
                pending.outcome.send(refusal)

    def _refuse_queued(self, error: LogUnavailableError) -> None:
        queued = list(self._queue)
        self._queue.clear()
        for pending in queued:
            pending.withdrawn = True
        self._refuse(queued, error)

    def _settle(self, batch: list[_Pending]) -> None:
        """Find out what became of records whose append got no reply."""
        pause = VOID_AFTER_SECONDS
        while True:
            clock.sleep(pause)
            doubtful = [p for p in batch if not p.outcome.ready()]
            if len(doubtful) < len(batch):
                self._breaker.record_success()
            if not doubtful:
                return
            self._void(doubtful)
            pause = min(2 * pause, VOID_LAST_SECONDS)

    def _void(self, doubtful: list[_Pending]) -> None:
        record = {
            "kind": "records-voided",
            "record_id": new_record_id(),
            "targets": [pending.record_id for pending in doubtful],
        }
        self._put(_Pending(record["record_id"], encode_record(record)))
