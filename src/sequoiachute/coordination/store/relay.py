"""Reaching the store through another entry where it turns this one away."""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.protocol.messages import Method
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.ports import RpcCaller
from sequoiachute.transport.store import (
    AppendError,
    HistoryLostError,
    KeyedStore,
    Membership,
    RecordPage,
    StoreUnavailableError,
    TopicSnapshot,
    Writer,
)

AVOID_SECONDS = 1.0  # peers go first for so long after the store failed this entry
CALL_SECONDS = 0.5  # a peer's call beyond what the store may wait
UNREACHABLE_SECONDS = 0.8  # one read and one relayed read have failed meanwhile
MOST_PEERS = 2  # asked for one call; one of them may be cut off as well
NO_OFFSET = -1
LOST_OFFSET = -2  # the reply's offset where the history is lost


class ReadQuery(NamedTuple):
    """Asks a peer to read; an offset of -1 asks for a snapshot."""

    topic: str
    offset: int
    wait: float


class ReadReply(NamedTuple):
    """Records as the peer has read them; ``next`` is negative if it could not."""

    next: int
    records: tuple[StoredRecord, ...] = ()


class AppendQuery(NamedTuple):
    """Asks a peer to append."""

    topic: str
    records: tuple[tuple[str, bytes | None], ...]
    at: int | None
    writer: Writer | None
    timeout: float


class AppendReply(NamedTuple):
    """The offset, or why there is none."""

    offset: int
    error: AppendError | None = None


READ = Method("/sequoiachute.Store/Read", ReadQuery, ReadReply)
APPEND = Method("/sequoiachute.Store/Append", AppendQuery, AppendReply)


class RelayedStore:
    """The store, asked directly or through a peer.

    Parameters
    ----------
    store : KeyedStore
        The store itself.
    caller : RpcCaller
    peers : callable
        Returns the addresses of other entries.
    """

    def __init__(
        self,
        store: KeyedStore,
        caller: RpcCaller,
        peers: Callable[[], tuple[str, ...]],
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._caller = caller
        self._peers = peers
        self._avoid_until = float("-inf")
        self._turn = 0
        self._failing_since: float | None = None

    @property
    def is_unreachable(self) -> bool:
        """Whether neither the store nor a peer has answered for a while."""
        since = self._failing_since
        return since is not None and clock.now() - since > UNREACHABLE_SECONDS

    def handlers(self) -> dict[Method, Callable]:
        """Return what peers may ask; their calls are never passed on."""
        return {READ: self._serve_read, APPEND: self._serve_append}

    def snapshot(self, topic: str) -> TopicSnapshot:
        """Return the newest record of every key."""
        page = self._read(topic, NO_OFFSET, 0.0)
        return TopicSnapshot(page.records, page.next)

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on."""
        return self._read(topic, offset, wait)

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None = None,
        writer: Writer | None = None,
        timeout: float = 1.0,
    ) -> Result[int, AppendError]:
        """Append; a peer repeats what had no effect or an unknown one.

        The same record twice changes nothing: it has one writer, or the same
        content whoever writes it.
        """
        began = clock.now()
        outcome = self._append(topic, records, at, writer, timeout)
        now = clock.now()
        self._metrics.observe("append_seconds", now - began, now, topic=topic)
        told = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
        self._metrics.count("appends_total", topic=topic, outcome=told)
        self._note(outcome.is_ok() or _is_verdict(outcome.unwrap_err()))
        return outcome

    def _append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None,
        writer: Writer | None,
        timeout: float,
    ) -> Result[int, AppendError]:
        deadline = clock.now() + timeout
        query = AppendQuery(topic, tuple(records), at, writer, timeout)
        if clock.now() < self._avoid_until:
            relayed = self._relay_append(query)
            if relayed is not None:
                return relayed
        outcome = self._store.append(topic, records, at, writer, timeout)
        if outcome.is_ok() or _is_verdict(outcome.unwrap_err()):
            return outcome
        self._avoid()
        error = outcome.unwrap_err()
        left = deadline - clock.now()
        if left <= 0:
            return outcome
        relayed = self._relay_append(query._replace(timeout=left))
        if relayed is None:
            return outcome
        if relayed.is_err() and error.applied is None:
            # The first try may still take effect, whatever the second says.
            return Err(relayed.unwrap_err()._replace(applied=None))
        return relayed

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group; only those that the store serves are members."""
        return self._store.join(group, member, generation, ttl)

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        self._store.leave(group, member)

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members of a group."""
        return self._store.members(group)

    def _note(self, answered: bool) -> None:
        if answered:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = clock.now()

    def _avoid(self) -> None:
        if clock.now() >= self._avoid_until + AVOID_SECONDS:
            logger.bind(peers=len(self._peers())).info("asking peers for the store")
        self._avoid_until = clock.now() + AVOID_SECONDS

    def _read(self, topic: str, offset: int, wait: float) -> RecordPage:
        if clock.now() < self._avoid_until:
            relayed = self._relay_read(ReadQuery(topic, offset, wait))
            if relayed is not None:
                self._note(True)
                return relayed
        try:
            page = _read_directly(self._store, topic, offset, wait)
        except StoreUnavailableError:
            self._avoid()
            relayed = self._relay_read(ReadQuery(topic, offset, 0.0))
            self._note(relayed is not None)
            if relayed is None:
                raise
            return relayed
        self._note(True)
        return page

    def _relay_read(self, query: ReadQuery) -> RecordPage | None:
        reply = self._ask(READ, query, query.wait)
        if reply is None or reply.next == NO_OFFSET:
            return None
        if reply.next == LOST_OFFSET:
            raise HistoryLostError(query.topic)
        return RecordPage(reply.records, reply.next)

    def _relay_append(self, query: AppendQuery) -> Result[int, AppendError] | None:
        reply = self._ask(APPEND, query, query.timeout)
        if reply is None:
            return None
        if reply.error is None:
            return Ok(reply.offset)
        return Err(reply.error)

    def _ask(self, method: Method, query: NamedTuple, wait: float) -> object | None:
        """Ask a peer; another one if that one can't be reached."""
        peers = self._peers()
        for _ in range(min(MOST_PEERS, len(peers))):
            peer = peers[self._turn % len(peers)]
            outcome = self._caller.call(peer, method, query, wait + CALL_SECONDS)
            if outcome.is_ok():
                return outcome.unwrap()
            # The next call begins with the next one, too.
            self._turn += 1
        return None

    def _serve_read(self, query: ReadQuery) -> ReadReply:
        try:
            page = _read_directly(self._store, query.topic, query.offset, query.wait)
        except StoreUnavailableError:
            return ReadReply(NO_OFFSET)
        except HistoryLostError:
            return ReadReply(LOST_OFFSET)
        return ReadReply(page.next, page.records)

    def _serve_append(self, query: AppendQuery) -> AppendReply:
        outcome = self._store.append(
            query.topic, list(query.records), query.at, query.writer, query.timeout
        )
        if outcome.is_ok():
            return AppendReply(outcome.unwrap())
        return AppendReply(NO_OFFSET, outcome.unwrap_err())


def _read_directly(
    store: KeyedStore, topic: str, offset: int, wait: float
) -> RecordPage:
    if offset == NO_OFFSET:
        snapshot = store.snapshot(topic)
        return RecordPage(snapshot.records, snapshot.end)
    return store.read(topic, offset, wait)


def _is_verdict(error: AppendError) -> bool:
    """Return whether the store has decided, so that nobody else need ask."""
    return error.fenced or error.end >= 0
