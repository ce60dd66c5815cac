"""Finding the newest whole snapshot of a stream.

The snapshots of a stream lie in a stream of their own: parts, then a record
that completes them. A snapshot stands for every record before ``through``;
what follows is applied from ``through`` on, so that a snapshot written by a
process that had fallen behind hides nothing.
"""

from typing import Any, NamedTuple

from sequoiachute.protocol.records import decode_record, snapshots_of
from sequoiachute.transport.ports import LogClient

PAST_END = 2**62  # offset that no stream reaches


class SnapshotHeader(NamedTuple):
    """The completing record of a snapshot."""

    snapshot_id: str
    through: int
    parts: int
    items: int
    voided: tuple[str, ...]
    appended_at: float


class Snapshot(NamedTuple):
    """The state that all records before ``through`` add up to."""

    through: int
    items: list[Any]
    voided: tuple[str, ...]


class _Lookup:
    """Parts and headers read so far."""

    def __init__(self, stream: str) -> None:
        self.headers: list[SnapshotHeader] = []
        self._stream = stream
        self._parts: dict[str, dict[int, list[Any]]] = {}

    def take(self, appended_at: float, data: bytes) -> None:
        record = decode_record(data)
        if record is None:
            return
        if record["kind"] == "snapshot-part":
            parts = self._parts.setdefault(record["snapshot_id"], {})
            parts[record["part"]] = record["items"]
            return
        if record["kind"] != "snapshot-completed":
            return
        if record["stream"] != self._stream:
            return
        header = SnapshotHeader(
            record["snapshot_id"],
            record["through"],
            record["parts"],
            record["items"],
            tuple(record["voided"]),
            appended_at,
        )
        self.headers.append(header)

    def newest(self) -> Snapshot | None:
        """Return the whole snapshot that reaches furthest."""
        for header in sorted(self.headers, key=lambda h: h.through, reverse=True):
            parts = self._parts.get(header.snapshot_id, {})
            items: list[Any] = []
            for index in range(header.parts):
                items.extend(parts.get(index, ()))
            if len(items) != header.items or len(parts) < header.parts:
                continue
            return Snapshot(header.through, items, header.voided)
        return None


def find_snapshot(log: LogClient, stream: str) -> Snapshot | None:
    """Return the newest whole snapshot of ``stream``, ``None`` without one.

    Reads backwards from the end, so that the time taken depends on the size
    of the snapshot and not on what the log keeps. Raises
    ``LogUnavailableError``.
    """
    page = log.read(snapshots_of(stream), PAST_END, 0)
    reach = 1
    while True:
        lookup = _read_tail(log, stream, page.first, page.next, reach)
        found = lookup.newest()
        if found is not None:
            return found
        if page.next - reach <= page.first:
            return None
        parts = lookup.headers[-1].parts if lookup.headers else 1
        reach = max(2 * reach, reach + parts)


def find_header(log: LogClient, stream: str) -> SnapshotHeader | None:
    """Return the last completing record, if it ends the snapshots' stream."""
    page = log.read(snapshots_of(stream), PAST_END, 0)
    lookup = _read_tail(log, stream, page.first, page.next, 1)
    return lookup.headers[-1] if lookup.headers else None


def _read_tail(
    log: LogClient, stream: str, first: int, end: int, reach: int
) -> _Lookup:
    lookup = _Lookup(stream)
    offset = max(first, end - reach)
    while offset < end:
        page = log.read(snapshots_of(stream), offset, 0)
        if not page.entries:
            break
        for entry in page.entries:
            lookup.take(entry.appended_at, entry.data)
        offset = page.entries[-1].offset + 1
    return lookup
