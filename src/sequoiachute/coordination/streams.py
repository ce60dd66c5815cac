"""The streams that an entry follows, writes and keeps snapshots of."""

from collections.abc import Callable
from typing import Any

import eventlet

from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.follower import (
    FRESH_WAIT_SECONDS,
    ApplyRecord,
    RestoreItems,
    StreamFollower,
)
from sequoiachute.coordination.snapshotkeeper import SnapshotKeeper
from sequoiachute.coordination.writer import StreamWriter
from sequoiachute.transport.ports import LogClient


class StateStreams:
    """A follower, a writer and a snapshot keeper for each stream of state.

    Parameters
    ----------
    log : LogClient
    retention_seconds : float
        Time that the log keeps a record.
    """

    def __init__(self, log: LogClient, retention_seconds: float) -> None:
        self._log = log
        self._retention_seconds = retention_seconds
        self._rate = AppendRateLimiter()
        self._followers: dict[str, StreamFollower] = {}
        self._writers: dict[str, StreamWriter] = {}
        self._keepers: list[SnapshotKeeper] = []

    @property
    def is_caught_up(self) -> bool:
        """Whether the end of every stream has been reached."""
        for follower in self._followers.values():
            if follower.confirmed_at == float("-inf"):
                return False
        return True

    def add(
        self,
        stream: str,
        apply: ApplyRecord,
        take: Callable[[], list[Any]],
        restore: RestoreItems,
        confirm: Callable[[float], None] | None = None,
        wait: float = FRESH_WAIT_SECONDS,
    ) -> None:
        """Follow ``stream``; ``take`` and ``restore`` serve its snapshots."""
        follower = StreamFollower(self._log, stream, apply, confirm, restore, wait)
        self._followers[stream] = follower
        self._writers[stream] = StreamWriter(self._log, stream, follower, self._rate)
        keeper = SnapshotKeeper(
            self._log, follower, take, self._retention_seconds, self._rate
        )
        self._keepers.append(keeper)

    def follower(self, stream: str) -> StreamFollower:
        """Return the follower of ``stream``."""
        return self._followers[stream]

    def writer(self, stream: str) -> StreamWriter:
        """Return the writer of ``stream``."""
        return self._writers[stream]

    def run(self) -> None:
        """Start following, writing and keeping snapshots."""
        for follower in self._followers.values():
            eventlet.spawn(follower.run)
        for writer in self._writers.values():
            eventlet.spawn(writer.run)
        for keeper in self._keepers:
            eventlet.spawn(keeper.run)
