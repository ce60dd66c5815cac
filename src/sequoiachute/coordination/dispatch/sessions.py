"""What the placer hears of each agent and what it orders there."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.protocol.supervision import (
    EndReport,
    Orders,
    Report,
    RunOrder,
    RunReport,
    SettledStart,
    WorkerInfo,
)
from sequoiachute.protocol.workload import Lifetime, TaskId, parse_task_id
from sequoiachute.state.ledger import Ledger

LEASE_SECONDS = 9.0  # under the platform's longest lease of 10 s
CLOCK_ERROR = 0.02  # a worker's clock may be this much slow
LOST_MARGIN_SECONDS = 0.3  # one call in flight
CONFIRM_SECONDS = 10.0  # leases are granted this long after a look at the store
FRESH_SECONDS = 1.5  # two report intervals; an older session gets nothing new


class Session:
    """One agent as the placer knows it; ``heard_at`` counts suspensions.

    A worker in ``reserved_life`` waits for its upkeep and gets nothing new.
    ``saved`` holds the newest checkpoint of each run that was placed here, also
    once the lifetime that ran it is over.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.incarnation = ""
        self.sequence = -1
        self.worker: WorkerInfo | None = None
        self.gone: set[Lifetime] = set()
        self.heard_at = float("-inf")
        self.is_fenced = False
        self.worker_clock_ms = 0
        self.learned_clock_ms = 0
        self.runs: dict[tuple[str, int], RunReport] = {}
        self.saved: dict[tuple[str, int], str] = {}
        self.ends: tuple[EndReport, ...] = ()
        self.settled: tuple[SettledStart, ...] = ()
        self.stops: dict[TaskId, int] = {}
        self.tickets: dict[tuple[TaskId, int], str] = {}
        self.closed = False
        self.reserved_life: Lifetime | None = None
        self.version = 1
        self._sent: tuple[RunOrder, ...] = ()
        self._sent_ack = 0
        self._news = Event()

    @property
    def life(self) -> Lifetime:
        """Lifetime of the worker, empty while none is known."""
        return self.worker.life if self.worker is not None else Lifetime()

    def age(self) -> float:
        """Return seconds since the agent was heard."""
        return clock.elapsed() - self.heard_at

    def take(self, report: Report, term: int) -> bool:
        """Take a report; return whether it may change a decision.

        An older report than the last one changes nothing.
        """
        if report.incarnation == self.incarnation and report.sequence < self.sequence:
            return False
        before = self._facts()
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.heard_at = clock.elapsed()
        if report.ended_life is not None:
            self.gone.add(report.ended_life)
        self._take_worker(report.worker)
        self.is_fenced = report.term == term and report.worker is not None
        self.worker_clock_ms = report.worker_clock_ms
        self.runs = {(run.task, run.run): run for run in report.runs}
        for key, run in self.runs.items():
            if run.token:
                self.saved[key] = run.token
        self.ends = report.ends
        self.settled = report.settled
        return self._facts() != before

    def _facts(self) -> tuple:
        worker = self.worker
        leaving = worker is not None and worker.leaving
        life = (self.life, leaving, self.is_fenced, len(self.gone))
        return (life, self.runs.keys(), self.ends, self.settled)

    def _take_worker(self, worker: WorkerInfo | None) -> None:
        if worker is None:
            return
        if self.worker is not None and worker.life != self.worker.life:
            self.gone.add(self.worker.life)
            self.stops.clear()
        self.worker = worker

    def orders(self, ledger: Ledger) -> tuple[RunOrder, ...]:
        """Return every run that may be beside the agent, as orders."""
        found = []
        for task, state in ledger.tasks_on_host(self.host).items():
            if state.life != self.life:
                continue
            stop = self.stops.get(task, 0) == state.run
            job = ledger.job(task.job_id)
            payload = job.payload if job is not None else ""
            if (str(task), state.run) in self.runs:
                payload = ""
            step = job.steps[task.step] if job is not None else None
            found.append(
                RunOrder(
                    task=str(task),
                    run=state.run,
                    payload=payload,
                    token=state.token,
                    ticket=self.tickets.get((task, state.run), ""),
                    stop=stop,
                    target_ms=step.latency_target_ms if step is not None else 0,
                    filling=step is not None and step.filling,
                )
            )
        return tuple(found)

    def acknowledged(self, ledger: Ledger) -> int:
        """Return the number up to which every listed end is recorded."""
        ack = 0
        for end in sorted(self.ends):
            if needs_record(ledger, self, end):
                break
            ack = end.number
        return ack

    def refresh(self, ledger: Ledger) -> tuple[tuple[RunOrder, ...], int]:
        """Return orders and acknowledgement; tell waiters if they are news."""
        orders = self.orders(ledger)
        self._forget_saved(ledger)
        ack = self.acknowledged(ledger)
        short = tuple(order._replace(payload="") for order in orders)
        if short != self._sent or ack != self._sent_ack:
            self._sent, self._sent_ack = short, ack
            self.version += 1
            news, self._news = self._news, Event()
            news.send(None)
        return orders, ack

    def _forget_saved(self, ledger: Ledger) -> None:
        placed = ledger.tasks_on_host(self.host)
        held = {(str(task), state.run) for task, state in placed.items()}
        held.update(self.runs)
        for key in self.saved.keys() - held:
            del self.saved[key]

    def wait_news(self, version: int, seconds: float) -> None:
        """Wait until there are orders newer than ``version``."""
        if self.version != version:
            return
        news = self._news
        with eventlet.Timeout(seconds, False):
            news.wait()


def needs_record(ledger: Ledger, session: Session, end: EndReport) -> bool:
    """Return whether an end has not been recorded yet."""
    task = parse_task_id(end.task)
    if task is None:
        return False
    state = ledger.tasks_on_host(session.host).get(task)
    if state is None or state.run != end.run:
        return False
    return state.life == session.life


class Desk:
    """Takes the agents' reports while this entry is the placer.

    Parameters
    ----------
    ledger : Ledger
    wake : callable
        Called on news that may change a decision.
    confirmed_age : callable
        Returns seconds since the store last confirmed this placer.
    """

    def __init__(
        self,
        ledger: Ledger,
        term: int,
        wake: Callable[[], None],
        confirmed_age: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._wake = wake
        self._confirmed_age = confirmed_age
        self.term = term
        self.began_at = clock.elapsed()
        self.sessions: dict[str, Session] = {}

    def report(self, report: Report, reply: Orders) -> Orders:
        """Take a report and fill in the ``reply``."""
        session = self.sessions.get(report.host)
        if session is None:
            session = self.sessions[report.host] = Session(report.host)
            logger.bind(host=report.host, term=self.term).info("agent heard")
        lease_ms = self._lease_ms(report)
        if session.take(report, self.term):
            self._wake()
        if report.wait:
            session.wait_news(report.known_version, report.wait)
        orders, ack = session.refresh(self._ledger)
        return reply._replace(
            leading=True,
            version=session.version,
            life=session.life,
            lease_ms=lease_ms,
            ack=ack,
            closed=session.closed,
            runs=orders,
        )

    def _lease_ms(self, report: Report) -> int:
        """Return the lease's end; counted from before the report was sent."""
        if not report.worker_clock_ms or self._confirmed_age() > CONFIRM_SECONDS:
            return 0
        return report.worker_clock_ms + int(LEASE_SECONDS * 1000)

    def is_lost(self, host: str) -> bool:
        """Return whether every lease beside an agent has surely run out."""
        lasting = LEASE_SECONDS * (1 + CLOCK_ERROR) + LOST_MARGIN_SECONDS
        session = self.sessions.get(host)
        if session is not None and session.age() <= lasting:
            return False
        # An earlier placer may have granted until its last look at the store.
        earlier = CONFIRM_SECONDS + lasting
        if session is None or not session.is_fenced:
            return clock.elapsed() - self.began_at > earlier
        return True
