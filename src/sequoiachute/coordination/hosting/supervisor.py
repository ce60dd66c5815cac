"""Keeps a worker's leases, tells the placer what runs and does as it orders."""

from typing import NamedTuple
from uuid import uuid4

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.hosting.pacing import Pacer
from sequoiachute.coordination.hosting.runs import Runs
from sequoiachute.protocol.supervision import REPORT, Orders, Report, WorkerInfo
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.ports import RpcCaller
from sequoiachute.transport.worker import TaskWorker, WorkerStatus

LOOK_SECONDS = 0.4  # progress is renewed each half second by the worker
LOOK_RETRY_SECONDS = 0.1
REPORT_SECONDS = 0.7  # two reports in the time after which a session is stale
CALL_SECONDS = 1.0  # beyond what the placer may hold a reply
SEARCH_SECONDS = 0.1  # between two entries asked for the placer


class Heartbeat(NamedTuple):
    """A worker's announcement of itself; ``sequence`` increases in a lifetime."""

    info: WorkerInfo
    sequence: int
    clock_ms: int


class Supervisor:
    """Supervises the worker beside this agent.

    Parameters
    ----------
    host : str
        Name under which placers know this agent.
    worker : TaskWorker
    caller : RpcCaller
    seeds : tuple of str
        Addresses of entries to ask first; they may be stale.
    """

    def __init__(
        self, host: str, worker: TaskWorker, caller: RpcCaller, seeds: tuple[str, ...]
    ) -> None:
        self.metrics = Metrics()
        self._host = host
        self._worker = worker
        self._caller = caller
        self._seeds = seeds
        self._entries: tuple[str, ...] = ()
        self._leader = ""
        self._incarnation = uuid4().hex
        self._sequence = 0
        self._heartbeat: Heartbeat | None = None
        self._announced_at = 0.0
        self._gone: Lifetime | None = None
        self._view: WorkerStatus | None = None
        self._term = 0
        self._fenced_term = 0
        self._version = 0
        self._ack = 0
        self._closed = False
        self._news = Event()
        self._pacer = Pacer()
        self._runs = Runs(worker, self._notify, self.metrics)

    def run(self) -> None:
        """Look, report and obey, in tasks of their own."""
        eventlet.spawn(self._look_for_ever)
        eventlet.spawn(self._report_for_ever)
        eventlet.spawn(self._listen_for_ever)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the worker's announcement, unless it is an older one."""
        known = self._heartbeat
        if known is not None:
            old, new = known.info.life, heartbeat.info.life
            if new.started_ms < old.started_ms or new == self._gone:
                return
            if new == old and heartbeat.sequence <= known.sequence:
                return
        self._heartbeat = heartbeat
        self._announced_at = clock.now()
        changed = known is None or known.info != heartbeat.info
        if changed:
            info = heartbeat.info
            log = logger.bind(worker=info.life.worker_id, leaving=info.leaving)
            log.info("worker announced")
            self._update_may_start()
            self._notify()

    def handle_worker_leave(self, worker_id: str) -> None:
        """Take that the worker is about to end."""
        known = self._heartbeat
        if known is None or known.info.life.worker_id != worker_id:
            return
        self._gone = known.info.life
        logger.bind(worker=worker_id).info("worker left")
        self._update_may_start()
        self._notify()

    def _update_may_start(self) -> None:
        known = self._heartbeat
        is_leaving = (
            known is None or known.info.leaving or known.info.life == self._gone
        )
        self._runs.may_start = not is_leaving and not self._closed

    def _notify(self) -> None:
        news, self._news = self._news, Event()
        news.send(None)

    # Looking at the worker.

    def _look_for_ever(self) -> None:
        while True:
            # A look returns at once while an end waits for its acknowledgement.
            if not self._look() or self._view.ends:
                clock.sleep(LOOK_RETRY_SECONDS)

    def _look(self) -> bool:
        heartbeat = self._heartbeat
        if heartbeat is None:
            return False
        looked_at = clock.now()
        term = self._term
        known = self._view
        same = known is not None and known.life == heartbeat.info.life
        lease_ms, ack = (self._runs.lease_ms, self._ack) if same else (0, 0)
        expected = heartbeat.info.life
        outcome = self._worker.poll(expected, term, lease_ms, ack, LOOK_SECONDS)
        told = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
        self.metrics.count("looks_total", outcome=told)
        if outcome.is_err():
            return False
        view = outcome.unwrap()
        self._view = view
        if known is None or known.life != view.life:
            self._begin_life(view.life)
        self._fenced_term = term
        ends_changed = known is None or known.ends != view.ends
        present = {(run.task, run.run) for run in view.runs}
        known_present = {(run.task, run.run) for run in known.runs} if known else None
        self._runs.take_view(view, looked_at)
        self._pace(view)
        if ends_changed or present != known_present:
            self._notify()
        return True

    def _pace(self, view: WorkerStatus) -> None:
        """Let filling tasks give way to those that serve."""
        life = view.life.worker_id
        for task, run, percent in self._pacer.changes(view.runs, self._runs.orders):
            outcome = self._worker.pace(life, task, run, percent, self._term)
            if outcome.is_ok():
                self._pacer.note_told(task, run, percent)
                logger.bind(task=task, run=run, percent=percent).info("paced")

    def _begin_life(self, life: Lifetime) -> None:
        logger.bind(worker=life.worker_id, born=life.started_ms).info(
            "worker's lifetime"
        )
        self._runs.reset()
        self._runs.worker_id = life.worker_id
        self._runs.lease_ms = 0
        self._ack = 0
        self._version = 0
        self._update_may_start()

    # Reporting to the placer.

    def _report_for_ever(self) -> None:
        """Report news at once; the listening task reports in each interval."""
        while True:
            news = self._news
            if not self._report(wait=0.0):
                clock.sleep(SEARCH_SECONDS)
                continue
            news.wait()

    def _listen_for_ever(self) -> None:
        """Keep one report waiting at the placer, so that orders come at once."""
        while True:
            if not self._leader or not self._report(wait=REPORT_SECONDS):
                clock.sleep(SEARCH_SECONDS)

    def _report(self, wait: float) -> bool:
        address = self._leader or self._search()
        if not address:
            return False
        self._sequence += 1
        report = self._create_report(wait)
        outcome = self._caller.call(address, REPORT, report, wait + CALL_SECONDS)
        if outcome.is_err():
            if self._leader == address:
                reason = outcome.unwrap_err().reason
                logger.bind(entry=address, reason=reason).warning("placer lost")
                self.metrics.count("placer_lost_total")
                self._leader = ""
                self._notify()
            return False
        return self._take_orders(address, outcome.unwrap())

    def _create_report(self, wait: float) -> Report:
        view = self._view
        info = self._heartbeat.info if self._heartbeat else None
        if view is None or info is None or info.life != view.life:
            info = None
        if info is not None and info.life == self._gone:
            info = None
        if info is not None and info.leaving:
            passed = clock.now() - self._announced_at
            left = max(0.0, info.leaving_seconds - passed)
            info = info._replace(leaving_seconds=left)
        shown = info is not None
        return Report(
            host=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            worker=info,
            gone=self._gone,
            term=self._fenced_term,
            worker_clock_ms=view.clock_ms if shown else 0,
            runs=view.runs if shown else (),
            ends=view.ends if shown else (),
            settled=tuple(self._runs.settled.values()) if shown else (),
            known_version=self._version,
            wait=wait,
        )

    def _take_orders(self, address: str, orders: Orders) -> bool:
        if orders.entries:
            self._entries = orders.entries
        if orders.term < self._term or not orders.leading:
            known = orders.leader if orders.term >= self._term else ""
            if self._leader in ("", address):
                self._leader = known if known != address else ""
                self._notify()
            return False
        if orders.term > self._term:
            logger.bind(term=orders.term, entry=address).info("placer followed")
            self._term = orders.term
            self._version = 0
        self._leader = address
        view = self._view
        if view is None or orders.life != view.life:
            return False
        if orders.version >= self._version:
            self._version = orders.version
            self._ack = max(self._ack, orders.ack)
            self._closed = orders.closed
            self._update_may_start()
            self._runs.term = self._term
            self._runs.lease_ms = max(self._runs.lease_ms, orders.lease_ms)
            self._runs.set_orders(orders.runs)
        return True

    def _search(self) -> str:
        """Return the next entry to ask for the placer."""
        addresses = tuple(dict.fromkeys((*self._entries, *self._seeds)))
        if not addresses:
            return ""
        self._sequence += 1
        return addresses[self._sequence % len(addresses)]
