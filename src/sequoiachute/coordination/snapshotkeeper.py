"""Writing snapshots before the log forgets what they stand for."""

import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.follower import StreamFollower
from sequoiachute.coordination.snapshots import SnapshotHeader, find_header
from sequoiachute.coordination.writer import new_record_id
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import encode_record, snapshots_of
from sequoiachute.transport.ports import LogClient

PART_ITEMS = 100
PARTS_PER_APPEND = 8
TAIL_RECORDS = 5000
EARLIEST_SHARE = 0.2  # of the retention
LATEST_SHARE = 0.4  # of the retention
CHECKS_PER_RETENTION = 50
LONGEST_CHECK_SECONDS = 30.0
CURRENT_SECONDS = 5.0


class SnapshotKeeper:
    """Writes a snapshot of one stream when the newest grows old or far away.

    Every entry runs one for each stream; a random part in the age at which
    it is due lets one of them write.

    Parameters
    ----------
    log : LogClient
    follower : StreamFollower
        Its state is what ``take`` returns.
    take : callable
        Returns the items of the state.
    retention_seconds : float
        Time that the log keeps a record.
    rate : AppendRateLimiter
        Shared by everything that appends in this process.
    """

    def __init__(
        self,
        log: LogClient,
        follower: StreamFollower,
        take: Callable[[], list[Any]],
        retention_seconds: float,
        rate: AppendRateLimiter,
    ) -> None:
        self._log = log
        self._follower = follower
        self._take = take
        self._retention_seconds = retention_seconds
        self._rate = rate
        self._check_seconds = min(
            LONGEST_CHECK_SECONDS, retention_seconds / CHECKS_PER_RETENTION
        )
        self._due_age = self._draw_due_age()

    def run(self) -> None:
        """Write snapshots when they are due, for ever."""
        while True:
            clock.sleep(self._check_seconds * random.uniform(0.5, 1.0))
            try:
                self.write_if_due()
            except LogUnavailableError as error:
                logger.debug("no snapshot now: {}", error.reason)

    def write_if_due(self) -> bool:
        """Write a snapshot if one is due; return whether it was written."""
        if self._follower.next_offset == 0:
            return False
        if self._follower.age() > CURRENT_SECONDS:
            return False
        header = find_header(self._log, self._follower.stream)
        if not self._is_due(header):
            return False
        self.write()
        return True

    def write(self) -> None:
        """Append a snapshot; raise ``LogUnavailableError``."""
        through = self._follower.next_offset
        voided = list(self._follower.voided)
        items = self._take()
        snapshot_id = new_record_id()
        batch = []
        parts = 0
        for start in range(0, len(items), PART_ITEMS):
            record = {
                "kind": "snapshot-part",
                "record_id": new_record_id(),
                "snapshot_id": snapshot_id,
                "part": parts,
                "items": items[start : start + PART_ITEMS],
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
        self._rate.take()
        self._log.append(snapshots_of(self._follower.stream), batch)

    def _is_due(self, header: SnapshotHeader | None) -> bool:
        if header is None:
            return True
        tail = self._follower.next_offset - header.through
        if tail > max(TAIL_RECORDS, header.items):
            return True
        return clock.wall_time() - header.appended_at > self._due_age

    def _draw_due_age(self) -> float:
        share = random.uniform(EARLIEST_SHARE, LATEST_SHARE)
        return share * self._retention_seconds
