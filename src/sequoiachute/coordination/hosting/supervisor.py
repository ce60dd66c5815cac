"""Polls the worker, renews its leases, reports to the placer and applies its orders."""

from typing import NamedTuple
from uuid import uuid4

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.hosting.entries import EntryDirectory
from sequoiachute.coordination.hosting.pacing import Pacer
from sequoiachute.coordination.hosting.runs import RunReconciler
from sequoiachute.protocol.supervision import REPORT, Orders, Report, WorkerInfo
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.ports import RpcCaller
from sequoiachute.transport.worker import TaskWorker, WorkerStatus

POLL_WAIT_SECONDS = 0.4  # the worker updates progress every 0.5 s
POLL_RETRY_SECONDS = 0.1
# Two reports fit into the time after which the placer holds a session for stale.
REPORT_WAIT_SECONDS = 0.7
CALL_MARGIN_SECONDS = 1.0  # of a call's timeout over the placer's longest wait
# Between asking two entries for the placer; one that is gone does not answer.
SEARCH_INTERVAL_SECONDS = 0.1
REFRESH_DELAY_SECONDS = 0.4  # of a search, before the entries are read anew
REFRESH_INTERVAL_SECONDS = 1.0
MAX_CRASHED_LIFETIMES = 8  # the newest; a placer hears of each within seconds


class Heartbeat(NamedTuple):
    """A worker's status message; ``sequence`` increases within a lifetime."""

    info: WorkerInfo
    sequence: int
    clock_ms: int


class Supervisor:
    """Supervises the worker beside this agent.

    Parameters
    ----------
    host : str
        Name of this agent in reports and placements.
    worker : TaskWorker
    caller : RpcCaller
    entries : EntryDirectory
        Entries that may know the placer.
    """

    def __init__(
        self, host: str, worker: TaskWorker, caller: RpcCaller, entries: EntryDirectory
    ) -> None:
        self.metrics = Metrics()
        self._host = host
        self._worker = worker
        self._caller = caller
        self._entries = entries
        self._placer_address = ""
        self._hinted_address = ""
        self._search_wake = Event()
        self._incarnation = uuid4().hex
        self._sequence = 0
        self._heartbeat: Heartbeat | None = None
        self._announced_at = 0.0
        self._ended_lifetime: Lifetime | None = None
        self._crashed_lifetimes: tuple[Lifetime, ...] = ()
        self._status: WorkerStatus | None = None
        self._term = 0
        self._fenced_term = 0
        self._version = 0
        self._ack = 0
        self._zone_closed = False
        self._changed = Event()
        self._pacer = Pacer()
        self._reconciler = RunReconciler(worker, self._request_report, self.metrics)

    def run(self) -> None:
        """Start polling and reporting, each in its own green thread."""
        eventlet.spawn(self._poll_worker)
        eventlet.spawn(self._report_changes)
        eventlet.spawn(self._wait_for_orders)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat; ignore an older one or one of an ended lifetime."""
        previous = self._heartbeat
        if previous is not None:
            old, new = previous.info.lifetime, heartbeat.info.lifetime
            if new.started_ms < old.started_ms or new == self._ended_lifetime:
                return
            if new == old and heartbeat.sequence <= previous.sequence:
                return
            if new != old:
                self._record_crash(previous.info)
        self._heartbeat = heartbeat
        self._announced_at = clock.now()
        changed = previous is None or previous.info != heartbeat.info
        if changed:
            info = heartbeat.info
            log = logger.bind(worker=info.lifetime.worker_id, leaving=info.leaving)
            log = log.bind(zone=info.zone, rack=info.rack, labels=info.labels)
            log.info("worker announced")
            self._update_may_start()
            self._request_report()

    def handle_worker_leave(self, worker_id: str) -> None:
        """Treat the worker's lifetime as over; ignore any other worker."""
        heartbeat = self._heartbeat
        if heartbeat is None or heartbeat.info.lifetime.worker_id != worker_id:
            return
        self._ended_lifetime = heartbeat.info.lifetime
        logger.bind(worker=worker_id).info("worker left")
        self._update_may_start()
        self._request_report()

    def _record_crash(self, last: WorkerInfo) -> None:
        """Record the end of a lifetime that has not announced it."""
        if last.leaving or last.lifetime == self._ended_lifetime:
            return
        lifetimes = (*self._crashed_lifetimes, last.lifetime)
        self._crashed_lifetimes = lifetimes[-MAX_CRASHED_LIFETIMES:]
        logger.bind(worker=last.lifetime.worker_id).warning("worker crashed")

    def _update_may_start(self) -> None:
        heartbeat = self._heartbeat
        is_leaving = (
            heartbeat is None
            or heartbeat.info.leaving
            or heartbeat.info.lifetime == self._ended_lifetime
        )
        self._reconciler.may_start = not is_leaving and not self._zone_closed

    def _request_report(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send(None)

    # Polling the worker.

    def _poll_worker(self) -> None:
        while True:
            # The worker answers at once while it has unacknowledged ends.
            if not self._poll_once() or self._status.ends:
                clock.sleep(POLL_RETRY_SECONDS)

    def _poll_once(self) -> bool:
        heartbeat = self._heartbeat
        if heartbeat is None:
            return False
        polled_at = clock.now()
        term = self._term
        previous = self._status
        is_same_lifetime = (
            previous is not None and previous.lifetime == heartbeat.info.lifetime
        )
        lease_ms, ack = (
            (self._reconciler.lease_ms, self._ack) if is_same_lifetime else (0, 0)
        )
        # The placer orders nothing before the worker has answered under its term.
        is_fenced = is_same_lifetime and term == self._fenced_term
        wait = POLL_WAIT_SECONDS if is_fenced else 0.0
        expected = heartbeat.info.lifetime
        outcome = self._worker.poll(expected, term, lease_ms, ack, wait)
        label = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
        self.metrics.count("looks_total", outcome=label)
        if outcome.is_err():
            return False
        status = outcome.unwrap()
        self._status = status
        if previous is None or previous.lifetime != status.lifetime:
            self._start_lifetime(status.lifetime)
        self._fenced_term = max(self._fenced_term, term)
        ends_changed = previous is None or previous.ends != status.ends
        present = {(run.task, run.run) for run in status.runs}
        previously_present = (
            {(run.task, run.run) for run in previous.runs} if previous else None
        )
        self._reconciler.apply_status(status, polled_at)
        self._adjust_pace(status)
        if ends_changed or present != previously_present or not is_fenced:
            self._request_report()
        return True

    def _adjust_pace(self, status: WorkerStatus) -> None:
        """Set the pace of filling tasks by the latency of serving ones."""
        worker_id = status.lifetime.worker_id
        for task, run, percent in self._pacer.pending_changes(
            status.runs, self._reconciler.orders
        ):
            outcome = self._worker.pace(worker_id, task, run, percent, self._term)
            if outcome.is_ok():
                self._pacer.acknowledge(task, run, percent)
                logger.bind(task=task, run=run, percent=percent).info("paced")

    def _start_lifetime(self, lifetime: Lifetime) -> None:
        logger.bind(worker=lifetime.worker_id, born=lifetime.started_ms).info(
            "worker's lifetime"
        )
        self._reconciler.reset()
        self._reconciler.worker_id = lifetime.worker_id
        self._reconciler.lease_ms = 0
        self._fenced_term = 0
        self._ack = 0
        self._version = 0
        self._update_may_start()

    # Reporting to the placer.

    def _report_changes(self) -> None:
        """Report each change at once; ``_wait_for_orders`` reports periodically."""
        while True:
            if not self._placer_address:
                self._search()
            changed = self._changed
            if not self._report(self._placer_address, wait=0.0):
                clock.sleep(SEARCH_INTERVAL_SECONDS)
                continue
            changed.wait()

    def _wait_for_orders(self) -> None:
        """Keep a long poll open at the placer, so that orders arrive at once."""
        while True:
            if not self._report(self._placer_address, wait=REPORT_WAIT_SECONDS):
                clock.sleep(SEARCH_INTERVAL_SECONDS)

    def _search(self) -> None:
        """Ask entries for the placer until one says that it is the placer.

        Does not wait for an answer before it asks the next one.
        """
        refresh_at = clock.now() + REFRESH_DELAY_SECONDS
        while not self._placer_address:
            if clock.now() >= refresh_at:
                refresh_at = clock.now() + REFRESH_INTERVAL_SECONDS
                eventlet.spawn(self._entries.refresh)
            self._search_wake = Event()
            address = self._hinted_address or self._entries.next_address()
            self._hinted_address = ""
            if address:
                self._entries.record_asked(address)
                eventlet.spawn(self._report, address, 0.0)
            with eventlet.Timeout(SEARCH_INTERVAL_SECONDS, False):
                self._search_wake.wait()

    def _end_pause(self) -> None:
        if not self._search_wake.ready():
            self._search_wake.send(None)

    def _report(self, address: str, wait: float) -> bool:
        if not address:
            return False
        self._sequence += 1
        report = self._create_report(wait)
        outcome = self._caller.call(address, REPORT, report, wait + CALL_MARGIN_SECONDS)
        if outcome.is_err():
            if self._placer_address == address:
                reason = outcome.unwrap_err().reason
                logger.bind(entry=address, reason=reason).warning("placer lost")
                self.metrics.count("placer_lost_total")
                self._placer_address = ""
                self._request_report()
            return False
        return self._apply_orders(address, outcome.unwrap())

    def _create_report(self, wait: float) -> Report:
        status = self._status
        info = self._heartbeat.info if self._heartbeat else None
        if status is None or info is None or info.lifetime != status.lifetime:
            info = None
        if info is not None and info.lifetime == self._ended_lifetime:
            info = None
        if info is not None and info.leaving:
            elapsed = clock.now() - self._announced_at
            remaining = max(0.0, info.leaving_seconds - elapsed)
            info = info._replace(leaving_seconds=remaining)
        has_worker = info is not None
        return Report(
            host=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            worker=info,
            ended_lifetime=self._ended_lifetime,
            term=self._fenced_term,
            worker_clock_ms=status.clock_ms if has_worker else 0,
            runs=status.runs if has_worker else (),
            ends=status.ends if has_worker else (),
            settled=tuple(self._reconciler.settled.values()) if has_worker else (),
            known_version=self._version,
            wait=wait,
            crashed_lifetimes=self._crashed_lifetimes,
        )

    def _apply_orders(self, address: str, orders: Orders) -> bool:
        self._entries.set_named(orders.entries)
        if orders.term < self._term or not orders.leading:
            if self._placer_address == address:
                self._placer_address = ""
                self._request_report()
            if not self._placer_address and orders.term >= self._term:
                self._take_hint(orders.leader)
            return False
        if orders.term > self._term:
            logger.bind(term=orders.term, entry=address).info("placer followed")
            self._term = orders.term
            self._version = 0
            eventlet.spawn(self._poll_once)
        self._placer_address = address
        self._end_pause()
        status = self._status
        if status is None or orders.lifetime != status.lifetime:
            return False
        if orders.version >= self._version:
            self._version = orders.version
            self._ack = max(self._ack, orders.ack)
            self._zone_closed = orders.zone_closed
            self._update_may_start()
            self._reconciler.term = self._term
            self._reconciler.lease_ms = max(self._reconciler.lease_ms, orders.lease_ms)
            self._reconciler.set_orders(orders.runs)
        return True

    def _take_hint(self, address: str) -> None:
        """Ask an entry next that another one has named as the placer."""
        if address and self._entries.may_ask(address, SEARCH_INTERVAL_SECONDS):
            self._hinted_address = address
            self._end_pause()
