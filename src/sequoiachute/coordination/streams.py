"""Follower, writer and snapshot writer of every state stream of an entry."""

from collections.abc import Callable
from typing import Any

from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.follower import (
    SHARED_VIEW_POLL_SECONDS,
    ApplyRecord,
    RestoreItems,
    StreamFollower,
)
from sequoiachute.coordination.loop import spawn_loop
from sequoiachute.coordination.snapshot_writer import SnapshotWriter
from sequoiachute.coordination.writer import StreamWriter
from sequoiachute.transport.ports import LogClient


class StateStreams:
    """A follower, a writer and a snapshot writer for each stream of state.

    Parameters
    ----------
    log : LogClient
    retention_seconds : float
        Time for which the log keeps a record.
    """

    def __init__(self, log: LogClient, retention_seconds: float) -> None:
        self._log = log
        self._retention_seconds = retention_seconds
        self._rate_limiter = AppendRateLimiter()
        self._followers: dict[str, StreamFollower] = {}
        self._writers: dict[str, StreamWriter] = {}
        self._snapshot_writers: list[SnapshotWriter] = []

    @property
    def is_caught_up(self) -> bool:
        """Whether the end of every stream has been reached once."""
        for follower in self._followers.values():
            if follower.confirmed_at == float("-inf"):
                return False
        return True

    def add(
        self,
        stream: str,
        apply: ApplyRecord,
        snapshot_items: Callable[[], list[Any]],
        restore: RestoreItems,
        confirm: Callable[[float], None] | None = None,
        poll_seconds: float = SHARED_VIEW_POLL_SECONDS,
    ) -> None:
        """Set up a stream; call it before ``run``.

        Parameters
        ----------
        stream : str
            Name of the stream.
        apply : callable
            Takes the position and the record.
        snapshot_items : callable
            Returns the items of a snapshot of the state.
        restore : callable
            Takes the items of a snapshot and replaces the state with them.
        confirm : callable, optional
            Takes the clock time at which the stream held nothing newer.
        poll_seconds : float
            Longest time that a read waits for new records.
        """
        follower = StreamFollower(
            self._log, stream, apply, confirm, restore, poll_seconds
        )
        self._followers[stream] = follower
        self._writers[stream] = StreamWriter(
            self._log, stream, follower, self._rate_limiter
        )
        snapshot_writer = SnapshotWriter(
            self._log,
            follower,
            snapshot_items,
            self._retention_seconds,
            self._rate_limiter,
        )
        self._snapshot_writers.append(snapshot_writer)

    def follower(self, stream: str) -> StreamFollower:
        """Return the follower of ``stream``."""
        return self._followers[stream]

    def writer(self, stream: str) -> StreamWriter:
        """Return the writer of ``stream``."""
        return self._writers[stream]

    def run(self) -> None:
        """Start the tasks that follow, write and take snapshots."""
        for follower in self._followers.values():
            spawn_loop("stream follower", follower.run)
        for writer in self._writers.values():
            spawn_loop("stream writer", writer.run)
        for snapshot_writer in self._snapshot_writers:
            spawn_loop("snapshot writer", snapshot_writer.run)
