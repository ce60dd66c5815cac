"""Reading the newest complete snapshot of a stream.

The snapshots of a stream are records of a stream of their own: the parts, then
a record that completes them. A snapshot covers every record before
``through``; readers apply the records from ``through`` on, so that no record
is missed even if the process that wrote the snapshot lagged behind the log.
"""

from typing import Any, NamedTuple

from sequoiachute.protocol.records import decode_record, snapshots_of
from sequoiachute.transport.ports import LogClient

OFFSET_PAST_END = 2**62  # no stream reaches it


class SnapshotHeader(NamedTuple):
    """Contents of the record that completes a snapshot.

    ``parts`` and ``items`` are counts, ``voided`` holds the identities of
    records that must not take effect and ``appended_at`` is wall time in
    seconds.
    """

    snapshot_id: str
    through: int
    parts: int
    items: int
    voided: tuple[str, ...]
    appended_at: float


class StreamSnapshot(NamedTuple):
    """The state that results from all records before ``through``."""

    through: int
    items: list[Any]
    voided: tuple[str, ...]


class _SnapshotScan:
    """Collects the snapshot parts and headers read so far."""

    def __init__(self, stream: str) -> None:
        self.headers: list[SnapshotHeader] = []
        self._stream = stream
        self._parts: dict[str, dict[int, list[Any]]] = {}

    def add_record(self, appended_at: float, data: bytes) -> None:
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

    def newest_complete(self) -> StreamSnapshot | None:
        """Return the complete snapshot with the highest ``through``."""
        for header in sorted(self.headers, key=lambda h: h.through, reverse=True):
            parts = self._parts.get(header.snapshot_id, {})
            items: list[Any] = []
            for index in range(header.parts):
                items.extend(parts.get(index, ()))
            if len(items) != header.items or len(parts) < header.parts:
                continue
            return StreamSnapshot(header.through, items, header.voided)
        return None


def find_newest_snapshot(log: LogClient, stream: str) -> StreamSnapshot | None:
    """Return the newest complete snapshot of ``stream``, ``None`` without one.

    Reads backwards from the end, so that the time taken depends on the size of
    the snapshot and not on how many records the log keeps.

    Raises
    ------
    LogUnavailableError
        If the log can't be read.
    """
    page = log.read(snapshots_of(stream), OFFSET_PAST_END, 0)
    tail_records = 1
    while True:
        scan = _read_tail(log, stream, page.first, page.next, tail_records)
        found = scan.newest_complete()
        if found is not None:
            return found
        if page.next - tail_records <= page.first:
            return None
        parts = scan.headers[-1].parts if scan.headers else 1
        tail_records = max(2 * tail_records, tail_records + parts)


def find_last_header(log: LogClient, stream: str) -> SnapshotHeader | None:
    """Return the header of the last snapshot if its stream ends with it.

    Raises
    ------
    LogUnavailableError
        If the log can't be read.
    """
    page = log.read(snapshots_of(stream), OFFSET_PAST_END, 0)
    scan = _read_tail(log, stream, page.first, page.next, 1)
    return scan.headers[-1] if scan.headers else None


def _read_tail(
    log: LogClient, stream: str, first: int, end: int, tail_records: int
) -> _SnapshotScan:
    """Read up to ``tail_records`` records of the snapshots' stream before ``end``."""
    scan = _SnapshotScan(stream)
    offset = max(first, end - tail_records)
    while offset < end:
        page = log.read(snapshots_of(stream), offset, 0)
        if not page.entries:
            break
        for entry in page.entries:
            scan.add_record(entry.appended_at, entry.data)
        offset = page.entries[-1].offset + 1
    return scan
