"""Records the outcomes of intents in the log, in the background."""

from typing import Any

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import StreamWriter
from sequoiachute.state.intents import IntentTable

MAX_PENDING = 2000
MAX_PENDING_BYTES = 8 * 1024 * 1024
RECORD_TIMEOUT_SECONDS = 300.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0


class OutcomeRecorder:
    """Appends ``intent-answered`` records, with retries during a log outage.

    If a record is lost, the agent still knows the outcome and is queried for
    it when the key is used again.
    """

    def __init__(self, intents: IntentTable, writer: StreamWriter) -> None:
        self._intents = intents
        self._writer = writer
        self._pending = 0
        self._pending_bytes = 0

    @property
    def pending(self) -> int:
        """Number of records that are not in the log yet."""
        return self._pending

    def record(self, record: Any) -> None:
        """Append ``record`` in the background.

        The answer is left out if too many bytes are pending, and the whole
        record is dropped if too many records are.
        """
        if self._pending >= MAX_PENDING:
            logger.warning(
                "dropped an outcome: {} are waiting for the log", self._pending
            )
            return
        size = len(record["answer"])
        if self._pending_bytes + size > MAX_PENDING_BYTES:
            record = {**record, "answer": "", "held": False}
            size = 0
        self._pending += 1
        self._pending_bytes += size
        eventlet.spawn(self._append_until_known, record, size)

    def _append_until_known(self, record: Any, size: int) -> None:
        deadline = clock.now() + RECORD_TIMEOUT_SECONDS
        backoff = FIRST_BACKOFF_SECONDS
        try:
            while clock.now() < deadline:
                self._writer.append(record)
                if self._is_known(record):
                    return
                clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        finally:
            self._pending -= 1
            self._pending_bytes -= size

    def _is_known(self, record: Any) -> bool:
        """Return whether the log holds the attempt's outcome or has superseded it."""
        known = self._intents.get(record["account"], record["idempotency_key"])
        if known is None:
            return False
        return known.attempt_id != record["attempt_id"] or bool(known.outcome)
