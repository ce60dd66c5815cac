"""Records how intents ended, behind the caller's back."""

from typing import Any

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import StreamWriter
from sequoiachute.state.intents import IntentTable

MAX_PENDING = 2000
MAX_PENDING_BYTES = 8 * 1024 * 1024
RECORD_SECONDS = 300.0
FIRST_BACKOFF_SECONDS = 0.25
LAST_BACKOFF_SECONDS = 5.0


class Recorder:
    """Appends ``intent-answered`` records, again after an outage.

    What is lost here is only the record: the agent still knows the end and
    is asked for it when the key comes again.
    """

    def __init__(self, intents: IntentTable, writer: StreamWriter) -> None:
        self._intents = intents
        self._writer = writer
        self._pending = 0
        self._pending_bytes = 0

    @property
    def pending(self) -> int:
        """Records not in the log yet."""
        return self._pending

    def record(self, record: Any) -> None:
        """Append ``record`` in a task of its own."""
        if self._pending >= MAX_PENDING:
            logger.warning("too many ends wait for the log; one is not recorded")
            return
        size = len(record["answer"])
        if self._pending_bytes + size > MAX_PENDING_BYTES:
            record = {**record, "answer": "", "held": False}
            size = 0
        self._pending += 1
        self._pending_bytes += size
        eventlet.spawn(self._run, record, size)

    def _run(self, record: Any, size: int) -> None:
        deadline = clock.now() + RECORD_SECONDS
        backoff = FIRST_BACKOFF_SECONDS
        try:
            while clock.now() < deadline:
                self._writer.append(record)
                if self._stands(record):
                    return
                clock.sleep(backoff)
                backoff = min(2 * backoff, LAST_BACKOFF_SECONDS)
        finally:
            self._pending -= 1
            self._pending_bytes -= size

    def _stands(self, record: Any) -> bool:
        """Whether the attempt's end is known, by this record or another."""
        known = self._intents.get(record["account"], record["idempotency_key"])
        if known is None:
            return False
        return known.attempt_id != record["attempt_id"] or bool(known.outcome)
