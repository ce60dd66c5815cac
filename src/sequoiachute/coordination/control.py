"""The part of an entry instance that keeps jobs: ledger, election, placer."""

from collections.abc import Callable

import eventlet
from loguru import logger

from sequoiachute.coordination.dispatch.placer import Placer, Term
from sequoiachute.coordination.dispatch.sessions import AgentSessions
from sequoiachute.coordination.intake import Intake
from sequoiachute.coordination.store.election import Election
from sequoiachute.coordination.store.follower import Follower
from sequoiachute.coordination.store.relay import RelayedStore
from sequoiachute.errors import describe_failure
from sequoiachute.protocol.messages import Method
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import (
    REPORT,
    Orders,
    Report,
)
from sequoiachute.state.ledger import JOBS, RUNS, Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import Operations
from sequoiachute.transport.machines import Advisor, MachineService
from sequoiachute.transport.ports import RpcCaller
from sequoiachute.transport.store import KeyedStore

PUBLISHED = "op"


class ControlPlane:
    """Follows the store, stands for election and serves agents and peers.

    Parameters
    ----------
    member : str
        Identity of this lifetime of the entry, ``address/name``.
    address : str
        Where agents and peers reach this entry.
    store : KeyedStore
    caller : RpcCaller
    seeds : tuple of str
        Other entries' addresses; they may be stale.
    publish : callable
        Takes the published records by key and puts them in force.
    advisor : Advisor, optional
        Asked where steps of an advised queue may run.
    machines : MachineService, optional
        Takes workers' machines through their upkeep.
    """

    def __init__(
        self,
        member: str,
        address: str,
        store: KeyedStore,
        caller: RpcCaller,
        seeds: tuple[str, ...],
        operations: Operations,
        publish: Callable[[dict[str, bytes]], None],
        advisor: Advisor | None = None,
        machines: MachineService | None = None,
    ) -> None:
        self._member = member
        self._advisor = advisor
        self._machines = machines
        self._address = address
        self.metrics = Metrics()
        self._store = RelayedStore(store, caller, self._peers, self.metrics)
        store = self._store
        self._seeds = seeds
        self._publish = publish
        self.operations = operations
        self.ledger = Ledger()
        self._published: dict[str, bytes] = {}
        self._published_end = -1
        self._jobs = Follower(JOBS, store, self._apply_job)
        self._runs = Follower(RUNS, store, self._apply_run)
        self._op = Follower(PUBLISHED, store, self._take_published, self._replace)
        self.intake = Intake(JOBS, store, self.ledger, self._jobs, self.metrics)
        self._election = Election(
            member, address, RUNS, store, self.ledger, self._runs, self._lead
        )
        self._placer: Placer | None = None
        self._desk: AgentSessions | None = None
        self._ended = False
        self._add_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        if self._ended or self._store.is_unreachable:
            return False
        return self.can_serve

    @property
    def can_serve(self) -> bool:
        """Whether a request that comes all the same can be answered."""
        caught_up = self._jobs.is_caught_up and self._runs.is_caught_up
        return caught_up and self.operations.version > 0

    @property
    def is_leading(self) -> bool:
        """Whether this entry is the placer."""
        return self._desk is not None

    def run(self) -> None:
        """Do everything, in tasks of their own."""
        for follower in (self._op, self._jobs, self._runs):
            eventlet.spawn(follower.run)
        eventlet.spawn(self._election.run)

    def _add_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge("leading", lambda: self.is_leading)
        metrics.gauge("ready", lambda: self.is_ready)
        metrics.gauge("jobs_live", lambda: sum(1 for _ in self.ledger.live()))
        metrics.gauge("agents", lambda: len(self._desk.sessions) if self._desk else 0)
        metrics.gauge("store_age_seconds", self._runs.age)

    def leave(self) -> None:
        """Let another entry place; go on serving callers."""
        self._ended = True
        if self._placer is not None:
            self._placer.end()
        self._desk = None
        self._election.leave()

    def handlers(self) -> dict[Method, Callable]:
        """Return what agents and peers may call."""
        return {REPORT: self._report, **self._store.handlers()}

    # The store.

    def _apply_job(self, record: StoredRecord) -> None:
        if self.ledger.apply(JOBS, record) and self._placer is not None:
            self._placer.wake()

    def _apply_run(self, record: StoredRecord) -> None:
        self.ledger.apply(RUNS, record)
        leader = self.ledger.leader
        desk = self._desk
        if desk is None or leader is None or leader.term <= desk.term:
            return
        logger.bind(term=desk.term, newer=leader.term).warning("deposed")
        self._stop_leading()

    def _take_published(self, record: StoredRecord) -> None:
        if record.value is None:
            self._published.pop(record.key, None)
        else:
            self._published[record.key] = record.value
        self._put_in_force(record.offset + 1)

    def _replace(self, records: tuple[StoredRecord, ...]) -> None:
        self._published = {
            record.key: record.value for record in records if record.value is not None
        }
        newest = max((record.offset + 1 for record in records), default=0)
        self._put_in_force(newest)

    def _put_in_force(self, end: int) -> None:
        if end < self._published_end:
            return
        self._published_end = end
        self._publish(self._published)
        if self._placer is not None:
            self._placer.wake()

    # Placing.

    def _lead(self, term: int) -> None:
        if self._ended:
            return
        if self._placer is not None:
            self._placer.end()
        desk = AgentSessions(self.ledger, term, self._wake, self._runs.age)
        placer = Placer(
            Term(term, RUNS, self._member),
            self._store,
            self.ledger,
            self.operations,
            desk,
            self.metrics,
            self._advisor,
            self._machines,
        )
        self._desk, self._placer = desk, placer
        eventlet.spawn(self._place, placer)

    def _place(self, placer: Placer) -> None:
        try:
            placer.run()
        except Exception as error:
            log = logger.bind(term=placer.term)
            log.error("placing failed: {}", describe_failure(error))
        if self._placer is placer:
            self._stop_leading()

    def _stop_leading(self) -> None:
        if self._placer is not None:
            self._placer.end()
        self._placer = self._desk = None
        self._election.resign()

    def _wake(self) -> None:
        if self._placer is not None:
            self._placer.wake()

    # Agents and peers.

    def _report(self, report: Report) -> Orders:
        leader = self.ledger.leader
        desk = self._desk
        term = leader.term if leader is not None else 0
        address = leader.address if leader is not None else ""
        reply = Orders(False, address, term, self._entries())
        if desk is None:
            return reply
        if report.term > desk.term:
            # The agent has met a newer placer.
            return reply._replace(leader="")
        return desk.handle_report(report, reply._replace(term=desk.term))

    def _entries(self) -> tuple[str, ...]:
        found = [member.partition("/")[0] for member in self._election.others]
        return tuple(dict.fromkeys((*found, self._address)))

    def _peers(self) -> tuple[str, ...]:
        known = dict.fromkeys((*self._entries(), *self._seeds))
        return tuple(address for address in known if address != self._address)
