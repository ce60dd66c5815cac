"""The placer's sessions with agents: their reports, its orders and leases."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.late_starts import LateStarts
from sequoiachute.protocol.supervision import (
    EndReport,
    Orders,
    Report,
    RunOrder,
    RunReport,
    SettledStart,
    WorkerInfo,
    late_start_ages,
)
from sequoiachute.protocol.workload import (
    Lifetime,
    Machine,
    Resources,
    TaskId,
    parse_task_id,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.silences import Silence
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS

LEASE_SECONDS = 9.0  # if workers allow as much
MAX_CLOCK_DRIFT = 0.02  # share by which a worker's clock may run slow
LEASE_EXPIRY_MARGIN_SECONDS = 0.3  # for one call in flight
# No leases are granted when the store last confirmed the placer longer ago.
MAX_CONFIRMATION_AGE_SECONDS = 10.0
# Two report intervals; an agent silent for longer gets no new tasks.
MAX_REPORT_AGE_SECONDS = 1.5
# An agent polls its worker every 0.4 s and may report while the worker is silent.
MAX_WORKER_AGE_SECONDS = 2.0
# Agents find a new placer within some 0.3 s, and 1 s after a loss of power.
GATHERING_PAUSE_SECONDS = 0.25
MAX_GATHERING_SECONDS = 1.2
# Why a run on a silent host may still exist.
LEASE = "lease"
LEASE_OF_EARLIER_LIFE = "lease of an earlier life"
LEASE_OF_EARLIER_PLACER = "lease of an earlier placer"
LATE_START = "start without an answer"
RECORDED = "recorded"  # as a process of an agent, the source of recorded late starts


class Hold(NamedTuple):
    """Why a run may exist, at the latest ``until`` a time of ``clock.elapsed``."""

    reason: str
    until: float


class Session:
    """State of one agent and its worker, from its reports.

    ``reported_at`` is a time of ``clock.elapsed``, which also counts while the
    machine is suspended; so is ``newest_reading_at``, when the newest reading of the
    worker's clock came in. The worker of ``reserved_lifetime`` waits for its upkeep
    and gets only tasks that have waited too long; for that of ``upkeep_lifetime`` it
    has been ordered. ``checkpoint_tokens`` holds the newest token of each run placed
    here and outlasts the lifetime that ran it. ``left_lifetime`` is the last one that
    has announced its end. ``fence_base`` is that of the tokens of the lifetime's calls.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.incarnation = ""
        self.sequence = -1
        self.worker: WorkerInfo | None = None
        self.ended_lifetimes: set[Lifetime] = set()
        self.left_lifetime: Lifetime | None = None
        self.crashes: dict[Lifetime, frozenset[tuple[str, int]]] = {}
        self._upkeep_lifetimes: set[Lifetime] = set()
        self.reported_at = float("-inf")
        self.is_fenced = False
        self.fence_base = 0
        self._least_fence_base = 0
        self.worker_clock_ms = 0
        self.worker_answered_at = float("-inf")
        self.newest_reading_at = float("-inf")
        self._newest_reading = (Lifetime(), 0)
        self.sampled_clock_ms = 0
        self.runs: dict[tuple[str, int], RunReport] = {}
        self.checkpoint_tokens: dict[tuple[str, int], str] = {}
        self.ends: tuple[EndReport, ...] = ()
        self._late_starts = LateStarts()
        self._reporting_since = (Lifetime(), 0.0)
        self.settled: tuple[SettledStart, ...] = ()
        self.stops: dict[TaskId, int] = {}
        self.tickets: dict[tuple[TaskId, int], str] = {}
        self.zone_closed = False
        self.reserved_lifetime: Lifetime | None = None
        self.upkeep_lifetime: Lifetime | None = None
        self.version = 1
        self._sent_orders: tuple[RunOrder, ...] = ()
        self._sent_ack = 0
        self._changed = Event()

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the worker; an empty one before its first report."""
        return self.worker.lifetime if self.worker is not None else Lifetime()

    @property
    def machine(self) -> Machine:
        """Machine of the worker, whatever its lifetime."""
        return Machine(self.host, self.worker.labels if self.worker is not None else ())

    def age(self) -> float:
        """Return seconds since the agent's last report."""
        return clock.elapsed() - self.reported_at

    def worker_age(self) -> float:
        """Return seconds since a report showed a new answer of the worker."""
        return clock.elapsed() - self.worker_answered_at

    def record_reading(self, report: Report) -> None:
        """Record when the newest reading of the worker's clock came in.

        Leases count from such readings, also from one that is overtaken by a later
        report.
        """
        if report.worker is None:
            return
        lifetime, newest_ms = self._newest_reading
        if report.worker.lifetime == lifetime and report.worker_clock_ms <= newest_ms:
            return
        self._newest_reading = (report.worker.lifetime, report.worker_clock_ms)
        self.newest_reading_at = clock.elapsed()

    def apply_report(self, report: Report, term: int) -> bool:
        """Apply a report; return whether it may change a scheduling decision.

        A report that is older than the last one is ignored.
        """
        if report.incarnation == self.incarnation and report.sequence < self.sequence:
            return False
        if self.is_outdated(report):
            return False
        before = self._decision_inputs()
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.reported_at = clock.elapsed()
        departed = report.departed_lifetime or report.ended_lifetime
        if departed is not None:
            self.left_lifetime = departed
            self.ended_lifetimes.add(departed)
        if self.upkeep_lifetime is not None:
            self._upkeep_lifetimes.add(self.upkeep_lifetime)
        for lifetime, runs in report.crashes:
            if lifetime not in self._upkeep_lifetimes:
                self.crashes[lifetime] = frozenset(runs)
        is_fence_high = self._apply_fence(report)
        self._apply_worker(report.worker)
        self.is_fenced = report.term == term and is_fence_high
        if self.is_fenced and self._reporting_since[0] != self.lifetime:
            self._reporting_since = (self.lifetime, self.reported_at)
        if report.worker_clock_ms != self.worker_clock_ms:
            self.worker_answered_at = self.reported_at
        self.worker_clock_ms = report.worker_clock_ms
        self.runs = {(run.task, run.run): run for run in report.runs}
        for key, run in self.runs.items():
            if run.token:
                self.checkpoint_tokens[key] = run.token
        self.ends = report.ends
        self.settled = report.settled
        listed = self.runs.keys() | {(end.task, end.run) for end in self.ends}
        self._late_starts.record(self.incarnation, late_start_ages(report), listed)
        return self._decision_inputs() != before

    def late_start_sent_at(self, task: TaskId, run: int) -> float:
        """Return when the last call was sent that may start a run late."""
        return self._late_starts.sent_at((str(task), run))

    def adopt_late_starts(self, sent_at: dict[tuple[str, int], float]) -> None:
        """Count on late starts that an earlier placer has recorded."""
        now = clock.elapsed()
        ages = {key: now - at for key, at in sent_at.items()}
        self._late_starts.record(RECORDED, ages, ())

    def may_start_late(self, task: TaskId, run: int) -> bool:
        """Return whether a call that starts a run may yet be carried out."""
        sent_at = self.late_start_sent_at(task, run)
        return clock.elapsed() <= sent_at + MAX_CALL_DELAY_SECONDS

    def reporting_since(self) -> float:
        """Return when the present lifetime was first reported as fenced."""
        lifetime, since = self._reporting_since
        return since if lifetime == self.lifetime else clock.elapsed()

    def is_outdated(self, report: Report) -> bool:
        """Return whether a later lifetime than that of a report has been reported.

        The agent knows which life is the later one; starts of lives tell nothing if the
        time of day has gone back. An ended process of it may have known an earlier one.
        """
        if report.worker is None:
            return False
        lifetime = report.worker.lifetime
        if lifetime in self.ended_lifetimes:
            return True
        is_earlier = lifetime.started_ms < self.lifetime.started_ms
        is_same_worker = lifetime.worker_id == self.lifetime.worker_id
        is_silent = self.age() > MAX_REPORT_AGE_SECONDS
        is_other_process = report.incarnation != self.incarnation and not is_silent
        return is_earlier and is_same_worker and is_other_process

    def lists(self, task: TaskId, run: int) -> bool:
        """Return whether the worker lists a run as present or ended."""
        key = (str(task), run)
        return key in self.runs or any((end.task, end.run) == key for end in self.ends)

    def _decision_inputs(self) -> tuple:
        worker = self.worker
        leaving = worker is not None and worker.leaving
        worker_state = (
            self.lifetime,
            leaving,
            self.is_fenced,
            len(self.ended_lifetimes),
        )
        return (worker_state, self.runs.keys(), self.ends, self.settled)

    def _apply_fence(self, report: Report) -> bool:
        """Return whether the worker refuses the calls to its earlier lifetimes.

        A process of the agent that does not know of them learns from the reply what
        its tokens must exceed.
        """
        if report.worker is None:
            return False
        if report.worker.lifetime != self.lifetime and self.fence_base:
            self._least_fence_base = self.fence_base + 1
        self.fence_base = max(report.fence_base, self._least_fence_base)
        # Agents of an earlier version report none.
        return not report.fence_base or report.fence_base >= self._least_fence_base

    def _apply_worker(self, worker: WorkerInfo | None) -> None:
        if worker is None:
            return
        if self.worker is not None and worker.lifetime != self.worker.lifetime:
            self.ended_lifetimes.add(self.worker.lifetime)
            self.stops.clear()
        self.worker = worker

    def orders(self, ledger: Ledger) -> tuple[RunOrder, ...]:
        """Return an order for every run that may exist at the worker."""
        orders = []
        for task, state in ledger.tasks_on_host(self.host).items():
            if state.lifetime != self.lifetime:
                continue
            stop = self.stops.get(task, 0) == state.run
            job = ledger.job(task.job_id)
            payload = job.payload if job is not None else ""
            if (str(task), state.run) in self.runs:
                payload = ""
            step = job.steps[task.step] if job is not None else None
            orders.append(
                RunOrder(
                    task=str(task),
                    run=state.run,
                    payload=payload,
                    token=state.token,
                    ticket=self.tickets.get((task, state.run), ""),
                    stop=stop,
                    target_ms=step.latency_target_ms if step is not None else 0,
                    filling=step is not None and step.filling,
                    need=step.reserved if step is not None else Resources(),
                )
            )
        return tuple(orders)

    def acknowledged(self, ledger: Ledger) -> int:
        """Return the number up to which all reported ends are recorded."""
        ack = 0
        for end in sorted(self.ends):
            if needs_record(ledger, self, end):
                break
            ack = end.number
        return ack

    def refresh(self, ledger: Ledger) -> tuple[tuple[RunOrder, ...], int]:
        """Return orders and acknowledged end; wake waiters if either changed."""
        orders = self.orders(ledger)
        self._forget_checkpoint_tokens(ledger)
        ack = self.acknowledged(ledger)
        without_payloads = tuple(order._replace(payload="") for order in orders)
        if without_payloads != self._sent_orders or ack != self._sent_ack:
            self._sent_orders, self._sent_ack = without_payloads, ack
            self.end_wait()
        return orders, ack

    def end_wait(self) -> None:
        """Answer a waiting report now."""
        self.version += 1
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def _forget_checkpoint_tokens(self, ledger: Ledger) -> None:
        placed = ledger.tasks_on_host(self.host)
        held = {(str(task), state.run) for task, state in placed.items()}
        held.update(self.runs)
        for key in self.checkpoint_tokens.keys() - held:
            del self.checkpoint_tokens[key]

    def wait_for_change(self, version: int, seconds: float) -> None:
        """Wait up to ``seconds`` for orders newer than ``version``."""
        if self.version != version:
            return
        changed = self._changed
        with eventlet.Timeout(seconds, False):
            changed.wait()


def needs_record(ledger: Ledger, session: Session, end: EndReport) -> bool:
    """Return whether the store has yet to record an end."""
    task = parse_task_id(end.task)
    if task is None:
        return False
    # Whichever lifetime the run was ordered for, the one that lists its end had it.
    state = ledger.tasks_on_host(session.host).get(task)
    return state is not None and state.run == end.run


class AgentSessions:
    """Answers agents' reports while this entry is the placer.

    Parameters
    ----------
    ledger : Ledger
    wake : callable
        Called on a report that may change a scheduling decision.
    confirmation_age : callable
        Returns seconds since the store last confirmed this placer.
    max_lease_seconds : float
        Longest lease that workers grant.
    closed_zones : callable
        Returns the zones in which nothing may start.
    """

    def __init__(
        self,
        ledger: Ledger,
        term: int,
        wake: Callable[[], None],
        confirmation_age: Callable[[], float],
        max_lease_seconds: float = LEASE_SECONDS,
        closed_zones: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._ledger = ledger
        self._wake = wake
        self._confirmation_age = confirmation_age
        self._lease_seconds = min(LEASE_SECONDS, max_lease_seconds)
        self._max_lease_seconds = max_lease_seconds
        self._closed_zones = closed_zones
        self.term = term
        self.began_at = clock.elapsed()
        self._newest_agent_at = self.began_at
        self.sessions: dict[str, Session] = {}
        self._unacknowledged_silences: set[str] = set()

    @property
    def is_gathering(self) -> bool:
        """Whether agents still report to this placer for the first time."""
        now = clock.elapsed()
        if now > self.began_at + MAX_GATHERING_SECONDS:
            return False
        return now < self._newest_agent_at + GATHERING_PAUSE_SECONDS

    def handle_report(self, report: Report, reply: Orders) -> Orders:
        """Apply a report and return ``reply`` with the agent's orders.

        Waits for a change of the orders for as long as the report allows, but not at
        an agent's first report: the agent learns the term from its reply.
        """
        session = self.sessions.get(report.host)
        is_first = session is None
        if session is None:
            session = self.sessions[report.host] = Session(report.host)
            self._newest_agent_at = clock.elapsed()
            logger.bind(host=report.host, term=self.term).info("first report of agent")
            self._adopt_late_starts(session)
        elif report.incarnation != session.incarnation and session.is_fenced:
            self._doubt_unlisted_runs(session)
        if not session.is_outdated(report):
            session.record_reading(report)
        lease_ms = self._lease_ms(report)
        is_changed = session.apply_report(report, self.term)
        if is_changed or self._is_recorded_silent(report.host):
            self._wake()
        if report.wait and not is_first:
            session.wait_for_change(report.known_version, report.wait)
        orders, ack = session.refresh(self._ledger)
        if session.worker is not None and session.worker.zone in self._closed_zones():
            # Before the first round of a placer nothing else says so.
            session.zone_closed = True
        # The lease counts on the clock of the lifetime that the report is about.
        is_of_lifetime = (
            report.worker is not None and report.worker.lifetime == session.lifetime
        )
        may_grant = is_of_lifetime and not self._is_recorded_silent(report.host)
        return reply._replace(
            leading=True,
            version=session.version,
            lifetime=session.lifetime,
            lease_ms=lease_ms if may_grant else 0,
            ack=ack,
            zone_closed=session.zone_closed,
            runs=orders,
            fence_base=session.fence_base,
        )

    def _is_recorded_silent(self, host: str) -> bool:
        """Return whether later placers may count on no lease being granted to a host.

        The store may have a record that it has not acknowledged.
        """
        is_recorded = self._ledger.silences.get(host) is not None
        return is_recorded or host in self._unacknowledged_silences

    def _lease_ms(self, report: Report) -> int:
        """Return the lease's end on the worker's clock, zero to grant none.

        It counts from the reading in the report, so the report's delay shortens it.
        """
        if (
            not report.worker_clock_ms
            or self._confirmation_age() > MAX_CONFIRMATION_AGE_SECONDS
        ):
            return 0
        return report.worker_clock_ms + int(self._lease_seconds * 1000)

    @property
    def _lease_lifetime(self) -> float:
        """Seconds from a reading of a worker's clock until its lease is over."""
        seconds = self._lease_seconds * (1 + MAX_CLOCK_DRIFT)
        return seconds + LEASE_EXPIRY_MARGIN_SECONDS

    @property
    def _longest_lease(self) -> float:
        """Seconds that the longest lease lasts, whoever has granted it."""
        seconds = self._max_lease_seconds * (1 + MAX_CLOCK_DRIFT)
        return seconds + LEASE_EXPIRY_MARGIN_SECONDS

    def is_silent(self, host: str) -> bool:
        """Return whether an agent or its worker has not been heard of lately."""
        session = self.sessions.get(host)
        if session is None:
            return True
        if session.age() > MAX_REPORT_AGE_SECONDS:
            return True
        return session.worker_age() > MAX_WORKER_AGE_SECONDS

    def silent_since(self, host: str) -> float:
        """Return since when a host has counted as silent, if it does now."""
        session = self.sessions.get(host)
        if session is None:
            return self.began_at
        since = min(
            session.reported_at + MAX_REPORT_AGE_SECONDS,
            session.worker_answered_at + MAX_WORKER_AGE_SECONDS,
        )
        return max(self.began_at, since)

    def silent_seconds(self, host: str) -> float:
        """Return seconds since a worker's newest reading, or since this term began."""
        session = self.sessions.get(host)
        began_at = self.began_at
        if session is not None:
            began_at = max(began_at, session.newest_reading_at)
        return clock.elapsed() - began_at

    def hold(self, host: str, task: TaskId, run: int) -> Hold:
        """Return what may still keep a run on a silent host, and until when."""
        holds = (self._lease_hold(host), self._late_start_hold(host, task, run))
        return max(holds, key=lambda hold: hold.until)

    def is_lost(self, host: str) -> bool:
        """Return whether every lease of an agent's worker has certainly expired."""
        return self._lease_hold(host).until < clock.elapsed()

    def _late_start_hold(self, host: str, task: TaskId, run: int) -> Hold:
        """Return until when a lost worker may yet begin a run, or run it.

        A call without an answer may be carried out late by the worker's next lifetime,
        on whose clock the longest lease then counts. An agent repeats the call while
        its lease lasts, unless it has reported the run as begun.
        """
        until = self.last_late_call(host, task, run) + self._longest_lease
        return Hold(LATE_START, until)

    def last_late_call(self, host: str, task: TaskId, run: int) -> float:
        """Return until when a call without an answer may yet start a run."""
        return self.late_start_sent_at(host, task, run) + MAX_CALL_DELAY_SECONDS

    def late_start_sent_at(self, host: str, task: TaskId, run: int) -> float:
        """Return when the last call that may start a run late can have been sent."""
        sent_at = float("-inf")
        silence = self._ledger.silences.get(host)
        if silence is not None:
            sent_at = silence.late_starts_sent_at().get((str(task), run), sent_at)
        session = self.sessions.get(host)
        if session is None:
            return sent_at
        reported = session.late_start_sent_at(task, run)
        if reported > float("-inf") and not session.lists(task, run):
            reported = max(reported, session.newest_reading_at + self._lease_lifetime)
        return max(sent_at, reported)

    def silence(self, host: str) -> Silence:
        """Return what is known now of a host that is to be recorded as silent.

        It is granted no lease from now on.
        """
        self._unacknowledged_silences.add(host)
        now = clock.elapsed()
        late_starts = []
        for task, state in self._ledger.tasks_on_host(host).items():
            seconds = now - self.late_start_sent_at(host, task, state.run)
            if seconds <= MAX_CALL_DELAY_SECONDS + self._longest_lease:
                late_starts.append((str(task), state.run, round(seconds, 3)))
        lease_seconds = self._lease_hold(host).until - now
        return Silence(max(0.0, round(lease_seconds, 3)), tuple(late_starts))

    def acknowledge_silences(self) -> None:
        """Take note that the store has answered for all silences up to now."""
        self._unacknowledged_silences.clear()

    def _adopt_late_starts(self, session: Session) -> None:
        """Take over the late starts of a host's record before it is deleted."""
        silence = self._ledger.silences.get(session.host)
        if silence is not None:
            session.adopt_late_starts(silence.late_starts_sent_at())

    def _doubt_unlisted_runs(self, session: Session) -> None:
        """Count on late starts of an ended process that it has not reported.

        What it had listed it had reported together with its calls. It had sent none if
        its worker had not answered under this term.
        """
        now = clock.elapsed()
        sent_at = {
            (str(task), state.run): now
            for task, state in self._ledger.tasks_on_host(session.host).items()
            if not session.lists(task, state.run)
        }
        session.adopt_late_starts(sent_at)

    def _lease_hold(self, host: str) -> Hold:
        """Return until when the last lease of an agent's worker may last.

        No lease ends later than the longest one from the newest reading of the
        worker's clock, however often its agent reports that reading again.
        """
        session = self.sessions.get(host)
        holds = []
        if session is not None:
            until = session.newest_reading_at + self._lease_lifetime
            holds.append(Hold(LEASE, until))
        if session is not None and session.is_fenced:
            # A call to an earlier lifetime may have granted the longest lease.
            until = session.reporting_since() + self._longest_lease
            holds.append(Hold(LEASE_OF_EARLIER_LIFE, until))
        else:
            # An earlier placer may have granted leases until its confirmation expired.
            handover = MAX_CONFIRMATION_AGE_SECONDS + self._lease_lifetime
            until = self.began_at + handover
            silence = self._ledger.silences.get(host)
            if silence is not None:
                until = min(until, silence.lease_until)
            holds.append(Hold(LEASE_OF_EARLIER_PLACER, until))
        return max(holds, key=lambda hold: hold.until)
