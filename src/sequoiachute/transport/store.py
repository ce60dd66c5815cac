"""The platform's store of keyed records, as ``Protocol`` types.

Production passes the adapter's client; tests pass an in-memory stand-in.
"""

from typing import NamedTuple, Protocol

from result import Result

from sequoiachute.protocol.stored import StoredRecord


class TopicSnapshot(NamedTuple):
    """The newest record of every key, and an offset to go on reading from."""

    records: tuple[StoredRecord, ...]
    end: int


class RecordPage(NamedTuple):
    """Records from an offset on, and the offset that follows them."""

    records: tuple[StoredRecord, ...]
    next: int


class Writer(NamedTuple):
    """Identity of an exclusive writer: its name, epoch and append number."""

    name: str
    epoch: int
    sequence: int


class AppendError(NamedTuple):
    """Why an append gave no offset.

    ``applied`` is false if it certainly did not and will not take effect, and
    ``None`` if that is unknown. ``fenced`` says that a writer with a higher
    epoch has taken over; ``end`` is the topic's end where a condition failed.
    """

    reason: str
    applied: bool | None
    fenced: bool = False
    end: int = -1


class Membership(NamedTuple):
    """A member's place in its group; ``candidate`` for one member at a time."""

    generation: int
    candidate: bool


class StoreUnavailableError(Exception):
    """The store did not answer a read, or refused it; try again later."""


class HistoryLostError(Exception):
    """The records asked for are deleted; read a snapshot instead."""


class KeyedStore(Protocol):
    """Topics of keyed records. Reads raise ``StoreUnavailableError``."""

    def snapshot(self, topic: str) -> TopicSnapshot:
        """Return the newest record of every key."""
        ...

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds.

        Raises ``HistoryLostError`` if they are deleted.
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
        """Append all or nothing; return the offset of the first record.

        With ``at`` only if the topic ends there. A repeat by the same
        ``writer`` gets the first answer again.
        """
        ...

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group or stay in it for ``ttl`` seconds."""
        ...

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        ...

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members of a group."""
        ...
