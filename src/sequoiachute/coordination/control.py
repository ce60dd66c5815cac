"""Control plane of an entry instance: ledger, election, placer and intake."""

from collections.abc import Callable
from functools import partial

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.placer import TaskPlacer
from sequoiachute.coordination.dispatch.sessions import AgentSessions
from sequoiachute.coordination.dispatch.term_writer import Term
from sequoiachute.coordination.intake import Intake
from sequoiachute.coordination.loop import run_recorded, spawn_loop, spawn_task
from sequoiachute.coordination.scheduling.waits import Waits
from sequoiachute.coordination.store.election import Election
from sequoiachute.coordination.store.follower import Follower
from sequoiachute.coordination.store.group import address_of
from sequoiachute.coordination.store.relay import RelayedStore
from sequoiachute.protocol.messages import Method
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import (
    REPORT,
    Orders,
    Report,
)
from sequoiachute.protocol.workload import TYPICAL_TIMES, WorkerTimes
from sequoiachute.state.job_records import JOB_TOPICS
from sequoiachute.state.ledger import RUNS, Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import Operations
from sequoiachute.transport.machines import Advisor, MachineService
from sequoiachute.transport.ports import RpcCaller
from sequoiachute.transport.store import KeyedStore, TopicSnapshot

PUBLISHED_TOPIC = "op"  # what operators publish


class ControlPlane:
    """Follows the store, takes part in the election, serves agents and peers.

    Parameters
    ----------
    member : str
        Identity of this lifetime of the entry, ``address/name``.
    address : str
        Address at which agents and peers reach this entry.
    store : KeyedStore
    caller : RpcCaller
    seeds : callable
        Returns addresses of entries, which may be stale.
    operations : Operations
    on_published : callable
        Called with the published records by key, to put them in force.
    advisor : Advisor, optional
        Asked where steps of an advised queue may run.
    machines : MachineService, optional
        Carries out the upkeep of workers' machines.
    times : WorkerTimes, optional
        What workers promise.
    """

    def __init__(
        self,
        member: str,
        address: str,
        store: KeyedStore,
        caller: RpcCaller,
        seeds: Callable[[], tuple[str, ...]],
        operations: Operations,
        on_published: Callable[[dict[str, bytes]], None],
        advisor: Advisor | None = None,
        machines: MachineService | None = None,
        times: WorkerTimes = TYPICAL_TIMES,
    ) -> None:
        self._times = times
        self._member = member
        self._advisor = advisor
        self._machines = machines
        self._address = address
        self.metrics = Metrics()
        self._seeds = seeds
        self._store = RelayedStore(
            store, caller, self._other_members, self._other_seeds, self.metrics
        )
        store = self._store
        self._on_published = on_published
        self.operations = operations
        self.ledger = Ledger()
        self._published: dict[str, bytes] = {}
        self._published_end = -1
        pause = store.availability.wait_for_probe
        self._jobs_followers = tuple(
            Follower(
                topic,
                store,
                partial(self._apply_job, topic),
                partial(self._replace_ledger, topic, partial(self._apply_job, topic)),
                pause=pause,
                metrics=self.metrics,
            )
            for topic in JOB_TOPICS
        )
        self._runs_follower = Follower(
            RUNS,
            store,
            self._apply_run,
            partial(self._replace_ledger, RUNS, self._apply_run),
            pause,
            self.metrics,
        )
        self._published_follower = Follower(
            PUBLISHED_TOPIC,
            store,
            self._apply_published,
            self._replace_published,
            pause,
            self.metrics,
        )
        self.intake = Intake(store, self.ledger, self._jobs_followers, self.metrics)
        self._election = Election(
            member,
            address,
            RUNS,
            store,
            self.ledger,
            self._runs_follower,
            self._start_placer,
        )
        self._placer: TaskPlacer | None = None
        self._agents: AgentSessions | None = None
        self._ended = False
        self._add_gauges()

    @property
    def store(self) -> RelayedStore:
        """The store as this entry reaches it."""
        return self._store

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        if self._ended or not self._has_way_to_store():
            return False
        return self.can_serve

    @property
    def can_serve(self) -> bool:
        """Whether requests can be answered: jobs, runs and catalogue are read.

        Some topics of jobs may be missing in an outage of a part of the store; a job
        that is not found is then not said to be unknown.
        """
        has_jobs = any(follower.is_caught_up for follower in self._jobs_followers)
        is_read = has_jobs and self._runs_follower.is_caught_up
        return is_read and self.operations.version > 0

    @property
    def is_leading(self) -> bool:
        """Whether this entry is the placer."""
        return self._agents is not None

    def wait_can_serve(self, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds for ``can_serve``; return its value."""
        if self.can_serve:
            return True
        deadline = clock.now() + timeout
        for follower in self._followers():
            if not self.can_serve:
                follower.wait_caught_up(max(0.0, deadline - clock.now()))
        return self.can_serve

    def run(self) -> None:
        """Start the followers and the election, each in its own green thread."""
        for follower in self._followers():
            spawn_loop(f"follower of {follower.topic}", follower.run, self.metrics)
        spawn_loop("election", self._election.run, self.metrics)

    def _followers(self) -> tuple[Follower, ...]:
        return (self._published_follower, self._runs_follower, *self._jobs_followers)

    def _has_way_to_store(self) -> bool:
        if self._store.is_cut_off or self._store.has_no_way:
            return False
        return not self._is_store_unreachable()

    def _is_store_unreachable(self) -> bool:
        return self._store.availability.is_unreachable(JOB_TOPICS)

    def _add_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge("leading", lambda: self.is_leading)
        metrics.gauge("ready", lambda: self.is_ready)
        metrics.gauge("store_reachable", lambda: not self._is_store_unreachable())
        metrics.gauge("cut_off", lambda: self._store.is_cut_off)
        metrics.gauge("jobs_live", lambda: sum(1 for _ in self.ledger.live()))
        metrics.gauge("runs_of_ended_jobs", self.ledger.runs_of_ended_jobs)
        metrics.gauge(
            "agents", lambda: len(self._agents.sessions) if self._agents else 0
        )
        metrics.gauge("store_age_seconds", self._runs_follower.age)
        metrics.gauge("units_waiting", lambda: self._waits.units)
        metrics.gauge(
            "units_waiting_beside_capacity", lambda: self._waits.beside_capacity
        )
        metrics.gauge("losses_withheld", lambda: self._withheld_losses)

    @property
    def _waits(self) -> Waits:
        """What waits at this placer; nothing while another entry is the placer."""
        if self._placer is None or not self.is_leading:
            return Waits()
        return self._placer.wait_log.waits

    @property
    def _withheld_losses(self) -> int:
        if self._placer is None or not self.is_leading:
            return 0
        return self._placer.withheld_losses

    def leave(self) -> None:
        """Give up the placer's role and report not ready; go on serving callers."""
        self._ended = True
        if self._placer is not None:
            self._placer.end()
        self._agents = None
        self._election.leave()

    def handlers(self) -> dict[Method, Callable]:
        """Return the handlers of calls from agents and peers."""
        return {REPORT: self._handle_report, **self._store.handlers()}

    # Records from the store.

    def _apply_job(self, topic: str, record: StoredRecord) -> None:
        is_new = self.ledger.apply(topic, record)
        self.intake.record_applied(topic, record)
        if is_new and self._placer is not None:
            self._placer.wake()

    def _apply_run(self, record: StoredRecord) -> None:
        self.ledger.apply(RUNS, record)
        leader = self.ledger.leader
        agents = self._agents
        if agents is None or leader is None or leader.term <= agents.term:
            return
        logger.bind(term=agents.term, newer=leader.term).warning("deposed")
        self._stop_leading()

    def _apply_published(self, record: StoredRecord) -> None:
        if record.value is None:
            self._published.pop(record.key, None)
        else:
            self._published[record.key] = record.value
        if record.offset + 1 < self._published_end:
            # Read again after a snapshot that holds newer records.
            return
        self._published_end = record.offset + 1
        self._put_published_in_force()

    def _replace_ledger(
        self,
        topic: str,
        apply: Callable[[StoredRecord], None],
        snapshot: TopicSnapshot,
    ) -> None:
        present = {record.key for record in snapshot.records}
        dropped = self.ledger.drop_absent(topic, present, snapshot.end)
        if dropped:
            log = logger.bind(topic=topic, end=snapshot.end, keys=dropped)
            log.info("keys dropped that the snapshot lacks")
        for record in snapshot.records:
            run_recorded(f"records of {topic}", apply, record, metrics=self.metrics)

    def _replace_published(self, snapshot: TopicSnapshot) -> None:
        records = snapshot.records
        self._published = {
            record.key: record.value for record in records if record.value is not None
        }
        # Lower than before if the newest keys have been deleted since.
        self._published_end = max((record.offset + 1 for record in records), default=0)
        log = logger.bind(keys=len(self._published), end=self._published_end)
        log.info("published records replaced by a snapshot")
        self._put_published_in_force()

    def _put_published_in_force(self) -> None:
        self._on_published(self._published)
        if self._placer is not None:
            self._placer.wake()

    # Running the placer.

    def _start_placer(self, term: int) -> None:
        if self._ended:
            return
        if self._placer is not None:
            self._placer.end()
        agents = AgentSessions(
            self.ledger,
            term,
            self._wake,
            self._runs_follower.age,
            self._times.max_lease,
            lambda: self.operations.closed_zones,
        )
        placer = TaskPlacer(
            Term(term, RUNS, self._member),
            self._store,
            self.ledger,
            self.operations,
            agents,
            self.metrics,
            self._advisor,
            self._machines,
            times=self._times,
            is_store_away=partial(self._store.availability.is_away, RUNS),
        )
        self._agents, self._placer = agents, placer
        spawn_task("placer's end", self._run_placer, placer, metrics=self.metrics)

    def _run_placer(self, placer: TaskPlacer) -> None:
        if not run_recorded("placer", placer.run, metrics=self.metrics):
            logger.bind(term=placer.term).error("placer failed")
        if self._placer is placer:
            self._stop_leading()

    def _stop_leading(self) -> None:
        if self._placer is not None:
            self._placer.end()
        self._placer = self._agents = None
        self._election.resign()

    def _wake(self) -> None:
        if self._placer is not None:
            self._placer.wake()

    # Calls from agents, and the addresses of entries.

    def _handle_report(self, report: Report) -> Orders:
        leader = self.ledger.leader
        agents = self._agents
        term = leader.term if leader is not None else 0
        address = leader.address if leader is not None else ""
        reply = Orders(
            False,
            address,
            term,
            self._entry_addresses(),
            services=self.operations.services,
        )
        if agents is None:
            return reply
        if report.term > agents.term:
            # The agent knows a newer placer.
            return reply._replace(leader="")
        return agents.handle_report(report, reply._replace(term=agents.term))

    def _entry_addresses(self) -> tuple[str, ...]:
        listed = [address_of(member) for member in self._election.group_members]
        return tuple(dict.fromkeys((*listed, self._address)))

    def _other_seeds(self) -> tuple[str, ...]:
        return tuple(seed for seed in self._seeds() if seed != self._address)

    def _other_members(self) -> tuple[str, ...]:
        return tuple(a for a in self._entry_addresses() if a != self._address)
