"""Access to the store that falls back to peers when direct calls fail."""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

import eventlet
from eventlet.queue import LightQueue
from loguru import logger
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.coordination.loop import spawn_task
from sequoiachute.coordination.store.availability import Availability
from sequoiachute.coordination.store.group import GROUP
from sequoiachute.coordination.store.race import Race, is_conclusive, merge_errors
from sequoiachute.errors import RpcError
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
    StoreLimits,
    StoreUnavailableError,
    TopicSnapshot,
    Writer,
)

PREFER_PEERS_SECONDS = 1.0  # peers are called first this long after a failed call
# A reader learns nothing while a peer that has gone silent has its call.
RELAYED_WAIT_SECONDS = 0.25
PEER_CALL_MARGIN_SECONDS = 0.5  # of a peer call's timeout over the store's wait
PEER_TIMEOUT_SHARE = 0.8  # of the time of a relayed append, for the store
MAX_PEERS_PER_CALL = 2  # that were reached, so that one of them may be slow
SILENT_PEER_SECONDS = 3.0  # a peer that did not reply is asked last this long
PING_TIMEOUT_SECONDS = 0.5
REACHED_SECONDS = 0.7  # since a direct answer; entries join every 0.3 s
PING_INTERVAL_SECONDS = 0.25  # while direct calls fail
SUSPICION_SECONDS = 0.3  # without an answer to a join; a sound store needs 0.01
MAX_PINGED_PEERS = 8
# A process that has not looked for longer, or waited longer for replies, did not run.
MAX_LOOK_AGE_SECONDS = 1.0
WATCH_SECONDS = 3.0  # since the last call; a live entry joins more often
AWAITED_PROBE_SECONDS = 0.09  # between probes while callers wait for the store
# Before the end of a caller's wait, when a later notice of the return would be in vain.
LAST_PROBES_SECONDS = 0.05
LAST_PROBE_INTERVAL_SECONDS = 0.008  # a sound store answers in 0.004
NO_OFFSET = -1
HISTORY_LOST_OFFSET = -2  # the reply's offset where the history is lost


class ReadQuery(NamedTuple):
    """Request to a peer to read; offset -1 requests a snapshot."""

    topic: str
    offset: int
    wait: float


class ReadReply(NamedTuple):
    """Records read by the peer; a negative ``next`` says why there are none."""

    next: int
    records: tuple[StoredRecord, ...] = ()


class AppendQuery(NamedTuple):
    """Request to a peer to append."""

    topic: str
    records: tuple[tuple[str, bytes | None], ...]
    at: int | None
    writer: Writer | None
    timeout: float


class AppendReply(NamedTuple):
    """Offset of the first record, or the error."""

    offset: int
    error: AppendError | None = None


class PingQuery(NamedTuple):
    """Request to a peer for a sign of life."""


class PingReply(NamedTuple):
    """Sign of life of a peer, and whether its direct calls are answered."""

    reaches_store: bool


READ = Method("/sequoiachute.Store/Read", ReadQuery, ReadReply)
APPEND = Method("/sequoiachute.Store/Append", AppendQuery, AppendReply)
PING = Method("/sequoiachute.Store/Ping", PingQuery, PingReply)


class RelayedStore:
    """The store, called directly or through a peer.

    Parameters
    ----------
    store : KeyedStore
        Direct access to the store.
    caller : RpcCaller
    peers : callable
        Returns the addresses of the group's other members.
    seeds : callable
        Returns the addresses of other entries, which may be gone.
    """

    def __init__(
        self,
        store: KeyedStore,
        caller: RpcCaller,
        peers: Callable[[], tuple[str, ...]],
        seeds: Callable[[], tuple[str, ...]],
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._caller = caller
        self._peers = peers
        self._seeds = seeds
        self._prefer_peers_until = float("-inf")
        self._failed_at: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}
        self._is_isolated = False
        self._is_direct_failing = False
        self._has_no_way = False
        self._answered_at = float("-inf")
        self._is_pinging = False
        self._is_join_answered = True
        self._next_ping_at = float("-inf")
        self._awaited_until: set[float] = set()
        self._is_probing = False
        self._is_watching = False
        self._called_at = float("-inf")
        self._looked_at = float("-inf")
        self._does_peer_reach = True
        self.availability = Availability()
        self.availability.call_on_recovery(self._repeat_appends)
        self._pending: dict[Race[int], AppendQuery] = {}

    @property
    def is_isolated(self) -> bool:
        """Whether no peer answers since direct calls began to fail."""
        return self._is_isolated

    @property
    def is_cut_off(self) -> bool:
        """Whether no way to the store is left: direct calls fail, no peer answers."""
        return self._is_direct_failing and self._is_isolated

    @property
    def has_no_way(self) -> bool:
        """Whether neither direct calls are answered nor those of any peer's.

        It may be the store that is down, or this entry's side of a cut.
        """
        return self._has_no_way and not self._reaches_store

    @property
    def is_silent(self) -> bool:
        """Whether the store answers nobody, as far as this entry and its peers know.

        Unlike the topics that fail it is known before calls have ended.
        """
        is_current = clock.now() <= self._looked_at + MAX_LOOK_AGE_SECONDS
        is_unreached = is_current and not self._does_peer_reach
        return is_unreached and self.availability.is_overdue

    @property
    def _reaches_store(self) -> bool:
        """Whether direct calls are answered; in a partial outage some of them are."""
        return clock.now() < self._answered_at + REACHED_SECONDS

    def handlers(self) -> dict[Method, Callable]:
        """Return the handlers of peers' calls, which are never relayed further."""
        return {
            READ: self._serve_read,
            APPEND: self._serve_append,
            PING: lambda _: PingReply(self._reaches_store),
        }

    def snapshot(self, topic: str) -> TopicSnapshot:
        """Return the newest record of every key."""
        page = self._read(topic, NO_OFFSET, 0.0)
        return TopicSnapshot(page.records, page.next)

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on."""
        return self._read(topic, offset, wait)

    @property
    def limits(self) -> StoreLimits:
        """What one append may hold."""
        return self._store.limits

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None = None,
        writer: Writer | None = None,
        timeout: float = 1.0,
    ) -> Result[int, AppendError]:
        """Append directly; through peers if that fails or is not answered soon.

        Appending a record twice is harmless: it has a single writer, or the same
        content whoever writes it.
        """
        began = clock.now()
        self._record_call()
        outcome = self._append(topic, records, at, writer, timeout)
        now = clock.now()
        self._metrics.observe("append_seconds", now - began, now, topic=topic)
        label = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
        self._metrics.count("appends_total", topic=topic, outcome=label)
        answered = outcome.is_ok() or is_conclusive(outcome.unwrap_err())
        self.availability.record(topic, answered)
        if answered:
            self.availability.record_write(now - began)
        return outcome

    def _append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None,
        writer: Writer | None,
        timeout: float,
    ) -> Result[int, AppendError]:
        """Race the routes until one is conclusive or the time is over."""
        query = AppendQuery(topic, tuple(records), at, writer, timeout)
        routes = [self._append_directly, self._relay_append]
        if clock.now() < self._prefer_peers_until:
            routes.reverse()
        race: Race[int] = Race(self.availability.stagger_seconds)
        race.add(partial(route, query) for route in routes)
        self._pending[race] = query
        try:
            return race.run(timeout)
        finally:
            del self._pending[race]

    def _repeat_appends(self, topic: str) -> None:
        """Send the writers' appends again that wait for an answer of ``topic``.

        The connections of their calls may be dead; a writer's repeat has no effect.
        """
        for race, query in list(self._pending.items()):
            is_repeatable = query.writer is not None and query.at is None
            if is_repeatable and query.topic == topic:
                race.repeat(partial(self._append_directly, query))

    def _append_directly(self, query: AppendQuery) -> Result[int, AppendError]:
        records = list(query.records)
        outcome = self._store.append(
            query.topic, records, query.at, query.writer, query.timeout
        )
        answered = outcome.is_ok() or is_conclusive(outcome.unwrap_err())
        self._record_direct(answered)
        if not answered:
            self._prefer_peers()
        return outcome

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group, always directly: a member must reach the store itself."""
        began = clock.now()
        self._is_join_answered = False
        self._record_call()
        suspicion = eventlet.spawn_after(SUSPICION_SECONDS, self._ping_if_due)
        try:
            membership = self._store.join(group, member, generation, ttl)
        except StoreUnavailableError:
            self._record_direct(False)
            raise
        finally:
            suspicion.cancel()
        self._is_join_answered = True
        self._record_direct(True)
        self.availability.record_write(clock.now() - began)
        return membership

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        self._store.leave(group, member)

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members of a group."""
        return self._store.members(group)

    def expect_return(self, until: float) -> None:
        """Probe the store until it answers or ``until``, in clock time.

        A caller waits for it: the turns of the followers' reads are too far apart,
        and their calls to a silent store take long to end.
        """
        self._awaited_until.add(until)
        if not self._is_probing:
            self._is_probing = True
            self._spawn_task("probes of the store", self._probe_repeatedly)

    def _probe_repeatedly(self) -> None:
        began = clock.now()
        try:
            while self._awaited_until and self._answered_at < began:
                self._spawn_task("probe of the store", self._probe)
                clock.sleep(self._probe_pause())
                now = clock.now()
                self._awaited_until = {at for at in self._awaited_until if at > now}
        finally:
            self._is_probing = False
            self._awaited_until.clear()

    def _probe_pause(self) -> float:
        """Return seconds until the next probe; fewer while a caller's wait ends."""
        left = min(self._awaited_until) - clock.now() - LAST_PROBES_SECONDS
        return max(LAST_PROBE_INTERVAL_SECONDS, min(AWAITED_PROBE_SECONDS, left))

    def _spawn_task(self, name: str, body: Callable[..., None], *args: Any) -> None:
        spawn_task(name, body, *args, metrics=self._metrics)

    def _probe(self) -> None:
        self._record_call()
        try:
            self._store.members(GROUP)
        except StoreUnavailableError:
            return
        self._record_direct(True)
        self.availability.record_answer("probe")

    def _record_direct(self, answered: bool) -> None:
        """Record whether a direct call was answered; if not, have the peers pinged.

        The next call that needs them may be a caller's.
        """
        was_cut_off = self.is_cut_off
        self._is_direct_failing = not answered
        if answered:
            self._answered_at = clock.now()
            self._prefer_peers_until = float("-inf")
            self._is_isolated = self._has_no_way = False
            self.availability.end_silence()
            if was_cut_off:
                logger.info("reaching the store again")
            return
        self.availability.record_failure()
        self._ping_if_due()

    def _ping_if_due(self) -> None:
        if not self._is_pinging and clock.now() >= self._next_ping_at:
            self._is_pinging = True
            self._spawn_task("pings of peers", self._ping_peers)

    def _ping_peers(self) -> None:
        """Ask peers for a sign of life, all at once.

        A peer's reply to a read is none: it comes late while the store is silent.
        """
        try:
            replies = self._ping_all()
        finally:
            self._is_pinging = False
            self._next_ping_at = clock.now() + PING_INTERVAL_SECONDS
        was_cut_off = self.is_cut_off
        answered = [reply for reply in replies if reply is not None]
        reached = [reply for reply in answered if reply.reaches_store]
        if replies and not answered and not self._is_join_answered:
            # The end of the call would show no more.
            self._is_direct_failing = True
        self._is_isolated = self._is_direct_failing and bool(replies) and not answered
        self._has_no_way = self._is_direct_failing and bool(replies) and not reached
        if self.is_cut_off and not was_cut_off:
            logger.bind(peers=len(replies)).warning("cut off from the store and peers")

    def _ping_all(self) -> list[PingReply | None]:
        """Return the replies of the peers that are asked first, all of them pinged."""
        peers = self._candidates()[:MAX_PINGED_PEERS]
        queue: LightQueue = LightQueue()
        for peer in peers:
            self._spawn_task("ping of a peer", self._ping, peer, queue)
        return [queue.get() for _ in peers]

    def _record_call(self) -> None:
        """Note a call to the store; watch for silence until there is an answer."""
        self._called_at = clock.now()
        self.availability.record_call()
        if not self._is_watching and self.availability.has_unanswered:
            self._is_watching = True
            self._spawn_task("watch of the store", self._watch, clock.now())

    def _watch(self, ran_at: float) -> None:
        """Look for peers that reach the store while it gives this entry no answer.

        Parameters
        ----------
        ran_at : float
            Clock time at which this process is known to have run.
        """
        clock.sleep(SUSPICION_SECONDS)
        try:
            while self.availability.has_unanswered:
                if clock.now() >= self._called_at + WATCH_SECONDS:
                    break
                if self.availability.unanswered_seconds >= SUSPICION_SECONDS:
                    self._look_for_peers()
                if clock.now() > ran_at + MAX_LOOK_AGE_SECONDS:
                    # Answers may lie in the sockets of a process that was frozen.
                    self.availability.restart_silence()
                ran_at = clock.now()
                clock.sleep(PING_INTERVAL_SECONDS)
        finally:
            self._does_peer_reach = True
            self._is_watching = False

    def _look_for_peers(self) -> None:
        replies = self._ping_all()
        reached = [r for r in replies if r is not None and r.reaches_store]
        self._does_peer_reach = bool(reached)
        self._looked_at = clock.now()

    def _ping(self, peer: str, replies: LightQueue) -> None:
        """Put the peer's reply, ``None`` if there is none."""
        reply = None
        try:
            outcome = self._caller.call(peer, PING, PingQuery(), PING_TIMEOUT_SECONDS)
            reply = outcome.unwrap() if outcome.is_ok() else None
        finally:
            replies.put(reply)

    def _prefer_peers(self) -> None:
        if clock.now() >= self._prefer_peers_until + PREFER_PEERS_SECONDS:
            logger.bind(peers=len(self._peers())).info("asking peers for the store")
        self._prefer_peers_until = clock.now() + PREFER_PEERS_SECONDS

    def _read(self, topic: str, offset: int, wait: float) -> RecordPage:
        if wait == 0:
            self._record_call()
        asks_peers_first = clock.now() < self._prefer_peers_until
        if asks_peers_first:
            relayed_wait = min(wait, RELAYED_WAIT_SECONDS)
            relayed = self._relay_read(ReadQuery(topic, offset, relayed_wait))
            if relayed is not None:
                self.availability.record(topic, True)
                return relayed
        try:
            page = _read_directly(self._store, topic, offset, wait)
        except StoreUnavailableError:
            self._record_direct(False)
            self._prefer_peers()
            relayed = None
            if not asks_peers_first:
                relayed = self._relay_read(ReadQuery(topic, offset, 0.0))
            self.availability.record(topic, relayed is not None)
            if relayed is None:
                raise
            return relayed
        self._record_direct(True)
        self.availability.record(topic, True)
        return page

    def _relay_read(self, query: ReadQuery) -> RecordPage | None:
        timeout = query.wait + PEER_CALL_MARGIN_SECONDS
        for outcome in self._ask_peers(READ, lambda _: query, timeout):
            if outcome.is_err() or outcome.unwrap().next == NO_OFFSET:
                continue
            reply = outcome.unwrap()
            if reply.next == HISTORY_LOST_OFFSET:
                raise HistoryLostError(query.topic)
            return RecordPage(reply.records, reply.next)
        return None

    def _relay_append(self, query: AppendQuery) -> Result[int, AppendError]:
        deadline = clock.now() + query.timeout
        error = AppendError("", False)

        def make_query(remaining: float) -> AppendQuery:
            # The peer's answer that the store gives none should arrive in time.
            return query._replace(timeout=PEER_TIMEOUT_SHARE * remaining)

        for outcome in self._ask_peers(APPEND, make_query, query.timeout, deadline):
            if outcome.is_ok() and outcome.unwrap().error is None:
                return Ok(outcome.unwrap().offset)
            error = merge_errors(error, _peer_error(outcome))
            if is_conclusive(error):
                break
        return Err(error)

    def _ask_peers(
        self,
        method: Method,
        make_query: Callable[[float], NamedTuple],
        timeout: float,
        deadline: float = float("inf"),
    ) -> Iterator[Result[Any, RpcError]]:
        """Yield the outcomes of calls to peers, for as long as the caller asks on.

        ``make_query`` is given the seconds that a call may take. A call takes at most
        ``timeout`` seconds, all of them end by ``deadline``.
        """
        reached = 0
        deadline = min(deadline, clock.now() + MAX_PEERS_PER_CALL * timeout)
        for peer in self._candidates():
            remaining = min(timeout, deadline - clock.now())
            if reached >= MAX_PEERS_PER_CALL or remaining <= 0:
                break
            outcome = self._caller.call(peer, method, make_query(remaining), remaining)
            if outcome.is_ok():
                self._is_isolated = False
            else:
                self._silent_until[peer] = clock.now() + SILENT_PEER_SECONDS
            reached += outcome.is_ok() or outcome.unwrap_err().delivered
            yield outcome
            # The outcome did not help.
            self._failed_at[peer] = clock.now()
        known = {*self._peers(), *self._seeds()}
        for gone in self._failed_at.keys() - known:
            del self._failed_at[gone]
            self._silent_until.pop(gone, None)

    def _candidates(self) -> list[str]:
        """Return the peers to ask, those that failed last at the end.

        Seeds may be gone, and the outcome of a call to an entry that is gone is often
        unknown: they are asked only while all members of the group are silent.
        """
        members, seeds = self._peers(), self._seeds()
        for peers in (members, seeds):
            if not all(self._is_silent(peer) for peer in peers):
                return sorted(peers, key=self._rank)
        return sorted(dict.fromkeys((*members, *seeds)), key=self._rank)

    def _rank(self, peer: str) -> tuple[bool, float]:
        return self._is_silent(peer), self._failed_at.get(peer, float("-inf"))

    def _is_silent(self, peer: str) -> bool:
        return clock.now() < self._silent_until.get(peer, float("-inf"))

    def _serve_read(self, query: ReadQuery) -> ReadReply:
        try:
            page = _read_directly(self._store, query.topic, query.offset, query.wait)
        except StoreUnavailableError:
            return ReadReply(NO_OFFSET)
        except HistoryLostError:
            self.availability.end_silence()
            return ReadReply(HISTORY_LOST_OFFSET)
        self.availability.end_silence()
        return ReadReply(page.next, page.records)

    def _serve_append(self, query: AppendQuery) -> AppendReply:
        outcome = self._store.append(
            query.topic, list(query.records), query.at, query.writer, query.timeout
        )
        if outcome.is_ok() or is_conclusive(outcome.unwrap_err()):
            self.availability.end_silence()
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


def _peer_error(outcome: Result[AppendReply, RpcError]) -> AppendError:
    if outcome.is_ok():
        return outcome.unwrap().error
    # A peer that was reached may have appended although it did not reply.
    applied = None if outcome.unwrap_err().delivered else False
    return AppendError("no reply from a peer", applied)
