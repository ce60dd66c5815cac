"""In-memory stand-in for the platform's keyed store, with fault injection."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.transport.store import (
    AppendError,
    HistoryLostError,
    Membership,
    RecordPage,
    StoreLimits,
    StoreUnavailableError,
    TopicSnapshot,
    Writer,
    record_bytes,
)
from standins.memory import MemoryProcess

MAX_PAGE_RECORDS = 500
KEPT_RESULTS_PER_WRITER = 5
LENGTH_BYTES = 4  # of a record in an append; they count only towards the call
PARTITIONS = 12


class _WriterState:
    """A writer's newest epoch, and the results of its last appends by sequence."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.results: dict[int, int] = {}


class _Group:
    """Members of a group and the owners of its partitions.

    An owner that is alive keeps a partition that is due to another member until it
    joins with the generation that says so. With ``newest_first`` what a member leaves
    has no owner until somebody joins, and goes to the member that has joined last.
    """

    def __init__(self) -> None:
        self.newest_first = False
        self._expiry: dict[str, float] = {}
        self._generation = 0
        self._shift = 0
        self.owners: list[str] = []

    def join(self, member: str, generation: int, ttl: float) -> Membership:
        """Join or renew."""
        is_new = member not in self._expiry
        self._expiry[member] = clock.now() + ttl
        if is_new or any(owner not in self._expiry for owner in self.owners):
            self._change()
        elif generation >= self._generation:
            self._hand_over(member)
        owns_first = bool(self.owners) and self.owners[0] == member
        return Membership(self._generation, owns_first)

    def leave(self, member: str) -> None:
        """Leave the group."""
        if self._expiry.pop(member, None) is None:
            return
        if self.newest_first:
            self._generation += 1
        else:
            self._change()

    def expire(self) -> None:
        """Drop the members that have not renewed in time."""
        expired = [m for m, at in self._expiry.items() if at < clock.now()]
        for member in expired:
            self.leave(member)

    def extend_memberships(self, seconds: float) -> None:
        """Let memberships expire that much later."""
        for member in self._expiry:
            self._expiry[member] += seconds

    def reassign(self) -> None:
        """Move every partition to the next member at once."""
        self._shift += 1
        self._generation += 1
        self.owners = self._due_owners()

    def _change(self) -> None:
        self._generation += 1
        due = self._due_owners()
        if not self.owners:
            self.owners = due
            return
        for part, owner in enumerate(self.owners):
            if owner not in self._expiry and due:
                self.owners[part] = due[part]
        if not due:
            self.owners = []

    def _hand_over(self, member: str) -> None:
        for part, due in enumerate(self._due_owners()):
            if self.owners[part] == member != due:
                self.owners[part] = due

    def _due_owners(self) -> list[str]:
        members = list(self._expiry)
        if not members:
            return []
        if self.newest_first:
            members.reverse()
        else:
            members.sort()
        return [members[(p + self._shift) % len(members)] for p in range(PARTITIONS)]


class MemoryKeyedStore:
    """Keyed topics, conditional appends, writers' epochs and groups.

    ``down`` makes every call fail. With ``lose_replies`` appends take effect but
    time out; with ``late_seconds`` they time out and take effect that much later
    if their condition still holds. ``delay`` is the duration of a call in seconds.
    While the store is down, memberships of groups expire unless
    ``pauses_memberships`` is set. Calls on ``down_topics`` fail, others do not;
    With ``newest_first`` the next member that joins becomes the candidate of a group.
    A snapshot of a topic takes ``snapshot_seconds`` longer, where that is set.
    ``reads`` counts the reads of all processes, ``group_reads`` those of members.
    """

    def __init__(self, delay: float = 0.004) -> None:
        self.delay = delay
        self.pauses_memberships = False
        self.newest_first = False
        self._down_since: float | None = None
        self.lose_replies = False
        self.late_seconds = 0.0
        self.appends = 0
        self.reads = 0
        self.group_reads = 0
        self.down_topics: set[str] = set()
        self.snapshot_seconds: dict[str, float] = {}
        self.limits = StoreLimits()
        self.rejected_appends = 0
        self._records: dict[str, list[StoredRecord]] = {}
        self._first_offsets: dict[str, int] = {}
        self._writers: dict[tuple[str, str], _WriterState] = {}
        self._waiters: dict[str, Event] = {}
        self._groups: dict[str, _Group] = {}
        self._discarded_newest: dict[str, dict[str, StoredRecord]] = {}

    @property
    def down(self) -> bool:
        """Whether every call fails."""
        return self._down_since is not None

    @down.setter
    def down(self, down: bool) -> None:
        since = self._down_since
        if since is not None and not down and self.pauses_memberships:
            for group in self._groups.values():
                group.extend_memberships(clock.now() - since)
        if down and since is None:
            self._down_since = clock.now()
        if not down:
            self._down_since = None

    def link(self, process: MemoryProcess | None = None) -> "StoreLink":
        """Return a client of the store for one process."""
        return StoreLink(self, process or MemoryProcess())

    def publish(self, key: str, value: bytes | None) -> None:
        """Write an operator's record; ``None`` deletes the key."""
        self.put("op", [(key, value)])

    def end(self, topic: str) -> int:
        """Return the offset that the next record will get."""
        return self._first_offsets.get(topic, 0) + len(self._records.get(topic, []))

    def history(self, topic: str) -> list[StoredRecord]:
        """Return every retained record."""
        return list(self._records.get(topic, []))

    def discard_history(self, topic: str) -> None:
        """Delete all records; only snapshots still return the newest of each key."""
        newest = self.newest(topic)
        self._first_offsets[topic] = self.end(topic)
        self._records[topic] = []
        self._discarded_newest[topic] = newest

    def newest(self, topic: str) -> dict[str, StoredRecord]:
        """Return the newest record of each key that has a value."""
        newest = dict(self._discarded_newest.get(topic, {}))
        for record in self._records.get(topic, []):
            if record.value is None:
                newest.pop(record.key, None)
            else:
                newest[record.key] = record
        return newest

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds."""
        if offset >= self.end(topic) and wait > 0:
            waiter = self._waiters.setdefault(topic, Event())
            with eventlet.Timeout(wait, False):
                waiter.wait()
        first = self._first_offsets.get(topic, 0)
        if offset < first:
            raise HistoryLostError(topic)
        records = self._records.get(topic, [])[offset - first :][:MAX_PAGE_RECORDS]
        return RecordPage(tuple(records), offset + len(records))

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None,
        writer: Writer | None,
    ) -> Result[int, AppendError]:
        """Append if ``at`` is the topic's end and ``writer`` is not fenced."""
        sizes = [record_bytes(record) for record in records]
        largest = max(sizes, default=0) - LENGTH_BYTES
        if largest > self.limits.record_bytes or sum(sizes) > self.limits.call_bytes:
            self.rejected_appends += 1
            return Err(AppendError("size", False, rejected=True))
        state = None
        if writer is not None:
            state = self._writers.setdefault((topic, writer.name), _WriterState())
            if writer.epoch < state.epoch:
                return Err(AppendError("fenced", False, fenced=True))
            if writer.epoch == state.epoch:
                if writer.sequence in state.results:
                    return Ok(state.results[writer.sequence])
                if writer.sequence != state.sequence + 1:
                    return Err(AppendError("seq", False, fenced=True))
        if at is not None and at != self.end(topic):
            return Err(AppendError("elsewhere", False, end=self.end(topic)))
        offset = self.put(topic, records)
        if state is not None:
            if writer.epoch > state.epoch:
                state.results.clear()
            state.epoch, state.sequence = writer.epoch, writer.sequence
            state.results[writer.sequence] = offset
            for old in sorted(state.results)[:-KEPT_RESULTS_PER_WRITER]:
                del state.results[old]
        return Ok(offset)

    def put(self, topic: str, records: list[tuple[str, bytes | None]]) -> int:
        """Append records unconditionally; return the offset of the first."""
        first = self.end(topic)
        kept = self._records.setdefault(topic, [])
        for number, (key, value) in enumerate(records):
            kept.append(StoredRecord(first + number, key, value))
        self.appends += 1
        waiter = self._waiters.pop(topic, None)
        if waiter is not None:
            waiter.send(None)
        return first

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join or renew; a change of members may reassign partition 0."""
        return self._group(group).join(member, generation, ttl)

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        self._group(group).leave(member)

    def members(self, group: str) -> tuple[str, ...]:
        """Return the owners of partitions."""
        return tuple(dict.fromkeys(self._group(group).owners))

    def reassign_partitions(self) -> None:
        """Move every partition to the next member at once."""
        for group in self._groups.values():
            group.reassign()

    def _group(self, name: str) -> _Group:
        group = self._groups.setdefault(name, _Group())
        group.newest_first = self.newest_first
        if not self.down:
            group.expire()
        return group


class StoreLink:
    """Client of the store for one process.

    ``rejecting`` makes the store reject its calls, ``unresponsive`` lets them time
    out, reads and joins after ``silent_seconds``.
    """

    def __init__(self, store: MemoryKeyedStore, process: MemoryProcess) -> None:
        self._store = store
        self._process = process
        self.rejecting = False
        self.unresponsive = False
        self.silent_seconds = 0.0

    @property
    def limits(self) -> StoreLimits:
        """What one append may hold."""
        return self._store.limits

    def snapshot(self, topic: str) -> TopicSnapshot:
        """Return the newest record of every key."""
        clock.sleep(self._store.snapshot_seconds.get(topic, 0.0))
        records = tuple(self._call(lambda: self._store.newest(topic), topic).values())
        return TopicSnapshot(records, self._store.end(topic))

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds."""
        return self._call(lambda: self._store.read(topic, offset, wait), topic)

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None = None,
        writer: Writer | None = None,
        timeout: float = 1.0,
    ) -> Result[int, AppendError]:
        """Append, with the injected faults."""
        self._process.apply_faults()
        store = self._store
        clock.sleep(store.delay)
        if self.rejecting:
            return Err(AppendError("the store answered 503", False))
        if store.down or topic in store.down_topics or self.unresponsive:
            clock.sleep(timeout)
            return Err(AppendError("no answer", None))
        if store.late_seconds:
            eventlet.spawn_after(
                store.late_seconds, store.append, topic, records, at, writer
            )
            clock.sleep(timeout)
            return Err(AppendError("no answer", None))
        outcome = store.append(topic, records, at, writer)
        self._process.apply_faults()
        if store.lose_replies:
            clock.sleep(timeout)
            return Err(AppendError("no answer", None))
        return outcome

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group or renew the membership."""
        return self._call(lambda: self._store.join(group, member, generation, ttl))

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        self._call(lambda: self._store.leave(group, member))

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members of a group."""
        self._store.group_reads += 1
        return self._call(lambda: self._store.members(group))

    def _call(self, operation: Callable[[], Any], topic: str = "") -> Any:
        self._process.apply_faults()
        self._store.reads += bool(topic)
        clock.sleep(self._store.delay)
        if self._is_failing(topic):
            clock.sleep(self.silent_seconds)
            raise StoreUnavailableError("the store doesn't answer")
        result = operation()
        self._process.apply_faults()
        if self._is_failing(topic):
            raise StoreUnavailableError("the answer is lost")
        return result

    def _is_failing(self, topic: str) -> bool:
        store = self._store
        is_down = store.down or topic in store.down_topics
        return is_down or self.rejecting or self.unresponsive
