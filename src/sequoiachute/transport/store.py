"""Protocol of the platform's store of keyed records, with its types and errors.

Production passes the platform adapter's client; tests pass an in-memory stand-in.
"""

from typing import NamedTuple, Protocol

from result import Result

from sequoiachute.protocol.stored import StoredRecord

RECORD_OVERHEAD_BYTES = 5  # lengths of the record and of its key


class TopicSnapshot(NamedTuple):
    """The newest record of every key, and the offset to continue reading from."""

    records: tuple[StoredRecord, ...]
    end: int


Record = tuple[str, bytes | None]  # key and value


class StoreLimits(NamedTuple):
    """Largest record, with its key, and largest total of one append, in bytes."""

    record_bytes: int = 262144
    call_bytes: int = 2097152


def record_bytes(record: Record) -> int:
    """Return the size of a record in an append: length, key and value."""
    key, value = record
    return RECORD_OVERHEAD_BYTES + len(key.encode()) + len(value or b"")


class RecordPage(NamedTuple):
    """Consecutive records of a topic, and the offset after the last of them."""

    records: tuple[StoredRecord, ...]
    next: int


class Writer(NamedTuple):
    """An exclusive writer's name, epoch and sequence number of the append."""

    name: str
    epoch: int
    sequence: int


class AppendError(NamedTuple):
    """Why an append returned no offset.

    ``applied`` is false if the append has not taken effect and never will, and
    ``None`` if that is unknown. ``fenced`` is true if a writer with a higher
    epoch has taken over, ``rejected`` if the store takes no such records, now or
    later. ``end`` is the topic's end offset if the condition on
    it failed, -1 otherwise.
    """

    reason: str
    applied: bool | None
    fenced: bool = False
    end: int = -1
    rejected: bool = False


class Membership(NamedTuple):
    """A member's state in its group.

    ``candidate`` is true for at most one member at a time: the one that may
    stand for election.
    """

    generation: int
    candidate: bool


class StoreUnavailableError(Exception):
    """The store rejected a call or did not reply; retry later."""


class HistoryLostError(Exception):
    """The requested records are deleted; read a snapshot instead."""


class KeyedStore(Protocol):
    """Topics of keyed records, and groups of processes.

    Every method except ``append`` raises ``StoreUnavailableError``.
    """

    @property
    def limits(self) -> StoreLimits:
        """What one append may hold."""
        ...

    def snapshot(self, topic: str) -> TopicSnapshot:
        """Return the newest record of every key."""
        ...

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on.

        If there are none yet, wait up to ``wait`` seconds for one. Raises
        ``HistoryLostError`` if the records are deleted.
        """
        ...

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None = None,
        writer: Writer | None = None,
        timeout: float = 1.0,
    ) -> Result[int, AppendError]:
        """Append all records or none; return the offset of the first.

        If ``at`` is given, append only if it is the topic's end offset. An
        append repeated with the same ``writer`` returns the first result
        again. A ``None`` value deletes its key. The call fails after
        ``timeout`` seconds.
        """
        ...

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group, or renew the membership, for ``ttl`` seconds."""
        ...

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        ...

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members of a group."""
        ...
