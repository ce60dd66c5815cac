"""Writing snapshots of a stream before the log drops the records they cover."""

import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.follower import StreamFollower
from sequoiachute.coordination.snapshots import SnapshotHeader, find_last_header
from sequoiachute.coordination.writer import new_record_id
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import encode_record, snapshots_of
from sequoiachute.transport.ports import LogClient

ITEMS_PER_PART = 100
PARTS_PER_APPEND = 8
MIN_TAIL_RECORDS = 5000  # a shorter tail after a snapshot makes no new one due
MIN_DUE_AGE_SHARE = 0.2  # of the retention
MAX_DUE_AGE_SHARE = 0.4  # of the retention
CHECKS_PER_RETENTION = 50
MAX_CHECK_INTERVAL_SECONDS = 30.0
MAX_CONFIRMATION_AGE_SECONDS = 5.0  # a follower further behind writes no snapshot


class SnapshotWriter:
    """Writes a snapshot of one stream when the newest is old or its tail long.

    Every entry runs one for each stream. The age at which a snapshot is due is
    randomised, so that usually only one of the entries writes it.

    Parameters
    ----------
    log : LogClient
    follower : StreamFollower
        Applies the records to the state that ``snapshot_items`` returns.
    snapshot_items : callable
        Returns the items of a snapshot of the state.
    retention_seconds : float
        Time for which the log keeps a record.
    rate_limiter : AppendRateLimiter
        Shared by everything that appends in this process.
    """

    def __init__(
        self,
        log: LogClient,
        follower: StreamFollower,
        snapshot_items: Callable[[], list[Any]],
        retention_seconds: float,
        rate_limiter: AppendRateLimiter,
    ) -> None:
        self._log = log
        self._follower = follower
        self._snapshot_items = snapshot_items
        self._retention_seconds = retention_seconds
        self._rate_limiter = rate_limiter
        self._check_interval_seconds = min(
            MAX_CHECK_INTERVAL_SECONDS, retention_seconds / CHECKS_PER_RETENTION
        )
        self._due_age = self._draw_due_age()

    def run(self) -> None:
        """Write snapshots when they are due; never returns."""
        while True:
            clock.sleep(self._check_interval_seconds * random.uniform(0.5, 1.0))
            try:
                self.write_if_due()
            except LogUnavailableError as error:
                logger.debug(
                    "snapshot of {} failed: {}", self._follower.stream, error.reason
                )

    def write_if_due(self) -> bool:
        """Write a snapshot if one is due; return whether it was written."""
        if self._follower.next_offset == 0:
            return False
        if self._follower.confirmation_age() > MAX_CONFIRMATION_AGE_SECONDS:
            return False
        header = find_last_header(self._log, self._follower.stream)
        if not self._is_due(header):
            return False
        self.write()
        return True

    def write(self) -> None:
        """Append a snapshot of the current state.

        Raises
        ------
        LogUnavailableError
            If an append fails; the incomplete snapshot is ignored by readers.
        """
        through = self._follower.next_offset
        voided = list(self._follower.voided)
        items = self._snapshot_items()
        snapshot_id = new_record_id()
        batch = []
        parts = 0
        for start in range(0, len(items), ITEMS_PER_PART):
            record = {
                "kind": "snapshot-part",
                "record_id": new_record_id(),
                "snapshot_id": snapshot_id,
                "part": parts,
                "items": items[start : start + ITEMS_PER_PART],
            }
            parts += 1
            batch.append(encode_record(record))
            if len(batch) == PARTS_PER_APPEND:
                self._append(batch)
                batch = []
        completed = {
            "kind": "snapshot-completed",
            "record_id": new_record_id(),
            "snapshot_id": snapshot_id,
            "stream": self._follower.stream,
            "through": through,
            "parts": parts,
            "items": len(items),
            "voided": voided,
        }
        batch.append(encode_record(completed))
        self._append(batch)
        self._due_age = self._draw_due_age()
        log = logger.bind(stream=self._follower.stream, offset=through)
        log.info("snapshot of {} items written", len(items))

    def _append(self, batch: list[bytes]) -> None:
        self._rate_limiter.take()
        self._log.append(snapshots_of(self._follower.stream), batch)

    def _is_due(self, header: SnapshotHeader | None) -> bool:
        if header is None:
            return True
        tail_records = self._follower.next_offset - header.through
        if tail_records > max(MIN_TAIL_RECORDS, header.items):
            return True
        return clock.wall_time() - header.appended_at > self._due_age

    def _draw_due_age(self) -> float:
        share = random.uniform(MIN_DUE_AGE_SHARE, MAX_DUE_AGE_SHARE)
        return share * self._retention_seconds
