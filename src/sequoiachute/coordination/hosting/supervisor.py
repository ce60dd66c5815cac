"""Polls the worker, renews its leases, reports to the placer and applies its orders."""

from collections.abc import Callable
from math import inf
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.hosting.announcements import Announcements
from sequoiachute.coordination.hosting.claims import Heartbeat, ReceivedHeartbeat
from sequoiachute.coordination.hosting.entries import EntryDirectory
from sequoiachute.coordination.hosting.fencing import Fencing
from sequoiachute.coordination.hosting.pacing import Pacer
from sequoiachute.coordination.hosting.runs import RunReconciler
from sequoiachute.coordination.loop import spawn_loop, spawn_task
from sequoiachute.protocol.supervision import (
    REPORT,
    CrashReport,
    Orders,
    Report,
    WorkerInfo,
)
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.ports import RpcCaller
from sequoiachute.transport.worker import (
    OTHER_LIFETIME,
    TaskWorker,
    WorkerStatus,
)

POLL_WAIT_SECONDS = 0.4  # the worker updates progress every 0.5 s
POLL_RETRY_SECONDS = 0.1
# Two reports fit into the time after which the placer holds a session for stale.
REPORT_WAIT_SECONDS = 0.7
CALL_MARGIN_SECONDS = 1.0  # of a call's timeout over the placer's longest wait
# Between asking two entries for the placer; one that is gone does not answer.
SEARCH_INTERVAL_SECONDS = 0.1
REFRESH_DELAY_SECONDS = 0.4  # of a search, before the entries are read anew
REFRESH_INTERVAL_SECONDS = 1.0
MAX_CLOCK_LEAD_SECONDS = 1.0  # of a report over what the worker's answers allow
MAX_CRASHES = 8  # the newest; a placer hears of each within seconds


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
    services : callable, optional
        Returns the services that the agent's settings name.
    """

    def __init__(
        self,
        host: str,
        worker: TaskWorker,
        caller: RpcCaller,
        entries: EntryDirectory,
        services: Callable[[], frozenset[str]] = frozenset,
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
        self._announcements = Announcements(
            self._ask_for_life,
            self._apply_heartbeat,
            services,
            self._clock_limit,
            self.metrics,
        )
        self._departing_lifetime: Lifetime | None = None
        self._crashes: tuple[CrashReport, ...] = ()
        self._status: WorkerStatus | None = None
        self._status_asked_at = float("-inf")
        self._life_answered_at = float("-inf")
        self._term = 0
        self._fenced_term = 0
        self._version = 0
        self._ack = 0
        self._zone_closed = False
        self._changed = Event()
        self._pacer = Pacer()
        self._pacing: set[tuple[str, int]] = set()
        self._is_looking = False
        self._fencing = Fencing()
        self._reconciler = RunReconciler(
            worker,
            self._request_report,
            self.metrics,
            self._begin_look,
            self._fencing,
        )

    def run(self) -> None:
        """Start polling and reporting, each in its own green thread."""
        spawn_loop("polls of the worker", self._poll_worker, self.metrics)
        spawn_loop("reports of changes", self._report_changes, self.metrics)
        spawn_loop("wait for orders", self._wait_for_orders, self.metrics)

    @property
    def _info(self) -> WorkerInfo | None:
        """How the present life of the worker describes itself."""
        present = self._announcements.present
        return present.heartbeat.info if present is not None else None

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, once the worker has confirmed the life that it names."""
        self._announcements.handle(heartbeat)

    def _ask_for_life(self, lifetime: Lifetime) -> Lifetime | None:
        """Return the life that answers at the worker's address, ``None`` if none does.

        The call carries no fencing token that the worker would keep if the claim of
        ``lifetime`` were false.
        """
        present = self._announcements.lifetime
        if present.worker_id == lifetime.worker_id:
            fence = self._fencing.token(present, self._term)
            outcome = self._worker.poll(present, fence, 0, 0, 0.0)
        else:
            unfenced = Lifetime(lifetime.worker_id)
            outcome = self._worker.poll(unfenced, 0, 0, 0, 0.0)
        if outcome.is_ok():
            return outcome.unwrap().lifetime
        error = outcome.unwrap_err()
        if error.reason == OTHER_LIFETIME:
            return Lifetime()
        is_known_there = error.fenced and not error.gone
        # An earlier process of this agent has called it.
        return lifetime if is_known_there else None

    def _clock_limit(self, lifetime: Lifetime) -> float:
        """Return the highest reading in ms that the worker's clock can have by now."""
        if self._status is None or self._status.lifetime != lifetime:
            return inf
        seconds = clock.elapsed() - self._status_asked_at + MAX_CLOCK_LEAD_SECONDS
        return self._status.clock_ms + 1000 * seconds

    def _apply_heartbeat(
        self, previous: ReceivedHeartbeat | None, received: ReceivedHeartbeat
    ) -> None:
        info = received.heartbeat.info
        old = previous.heartbeat.info if previous is not None else None
        is_new_life = old is None or old.lifetime != info.lifetime
        if old is not None and is_new_life:
            self._record_crash(old)
        self._reconciler.set_capacity(info.capacity, received.at)
        if info != old:
            log = logger.bind(worker=info.lifetime.worker_id, leaving=info.leaving)
            log = log.bind(zone=info.zone, rack=info.rack, labels=info.labels)
            log = log.bind(born=info.lifetime.started_ms, service=info.service)
            log.info("worker announced")
            self._update_may_start()
            self._request_report()
        if is_new_life:
            # Until its first poll the lifetime takes calls to the one before.
            self._spawn_task("poll of the worker", self._poll_once)

    def handle_worker_leave(self, worker_id: str) -> None:
        """Take note that a worker is about to end.

        The notice names no lifetime and may come late: the lifetime is over once the
        worker, if it has said that it leaves, can't be reached any more.
        """
        info = self._info
        if info is None or info.lifetime.worker_id != worker_id:
            return
        log = logger.bind(worker=worker_id, leaving=info.leaving)
        log.info("worker left")
        self._departing_lifetime = info.lifetime

    def _is_departing(self, lifetime: Lifetime) -> bool:
        """Return whether a lifetime has announced its end and is not over yet."""
        info = self._info
        is_leaving = info.lifetime == lifetime and info.leaving
        is_over = lifetime == self._announcements.ended_lifetime
        return is_leaving and lifetime == self._departing_lifetime and not is_over

    def _end_lifetime(self, lifetime: Lifetime) -> None:
        self._announcements.ended_lifetime = lifetime
        log = logger.bind(worker=lifetime.worker_id, born=lifetime.started_ms)
        log.info("worker's lifetime ended")
        self._update_may_start()
        self._request_report()

    def _record_crash(self, last: WorkerInfo) -> None:
        """Record the end of a lifetime that has not announced it."""
        if last.leaving or last.lifetime == self._departing_lifetime:
            return
        crash = CrashReport(last.lifetime, self._reconciler.runs_of(last.lifetime))
        self._crashes = (*self._crashes, crash)[-MAX_CRASHES:]
        log = logger.bind(worker=last.lifetime.worker_id, runs=len(crash.runs))
        log.bind(born=last.lifetime.started_ms).warning("worker crashed")

    def _update_may_start(self) -> None:
        info = self._info
        is_leaving = (
            info is None
            or info.leaving
            or info.lifetime == self._announcements.ended_lifetime
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

    def _newest_lifetime(self) -> Lifetime | None:
        """Return the worker's newest lifetime known from its heartbeats and answers."""
        if self._announcements.present is None:
            return None
        announced = self._announcements.lifetime
        answered = self._status.lifetime if self._status is not None else announced
        is_newer = self._status_asked_at > self._announcements.confirmed_at
        is_same_worker = answered.worker_id == announced.worker_id
        return answered if is_newer and is_same_worker else announced

    def _begin_look(self) -> None:
        """Begin a poll without a wait, unless one is on its way."""
        if self._is_looking:
            return
        self._is_looking = True
        self._spawn_task("look at the worker", self._look)

    def _look(self) -> None:
        try:
            self._poll_once(0.0)
        finally:
            self._is_looking = False

    def _poll_once(self, max_wait: float = POLL_WAIT_SECONDS) -> bool:
        """Poll the worker; return whether the next poll may follow at once.

        The worker answers after ``max_wait`` seconds, or when a run has ended.
        """
        expected = self._newest_lifetime()
        if expected is None:
            return False
        polled_at, asked_at = clock.now(), clock.elapsed()
        term = self._term
        previous = self._status
        is_same_lifetime = previous is not None and previous.lifetime == expected
        lease_ms = self._reconciler.lease_ms if is_same_lifetime else 0
        ack = self._pending_ack() if is_same_lifetime else 0
        # The placer orders nothing before the worker has answered under its term.
        is_fenced = is_same_lifetime and term == self._fenced_term
        wait = max_wait if is_fenced else 0.0
        fence = self._fencing.token(expected, term)
        outcome = self._worker.poll(expected, fence, lease_ms, ack, wait)
        label = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
        self.metrics.count("looks_total", outcome=label)
        if outcome.is_err():
            error = outcome.unwrap_err()
            if error.gone:
                self._reconciler.record_unreachable()
            if error.gone and self._is_departing(expected):
                self._end_lifetime(expected)
            is_refused = error.fenced and not error.gone
            needed = self._fencing.record_answer(expected, is_refused, clock.elapsed())
            self._raise_fence(expected, needed)
            return False
        self._fencing.record_answer(expected, False, clock.elapsed())
        status = outcome.unwrap()
        if self._is_overtaken(status, asked_at):
            return False
        previous = self._status
        self._status, self._status_asked_at = status, asked_at
        if previous is None or previous.lifetime != status.lifetime:
            self._life_answered_at = clock.elapsed()
            self._start_lifetime(status.lifetime)
            self._pacer.begin_lifetime(status.runs)
        if status.lifetime != expected:
            # The call was meant for an earlier lifetime, and so was its fencing token.
            log = logger.bind(worker=expected.worker_id, expected=expected.started_ms)
            log.bind(born=status.lifetime.started_ms).warning("another life answered")
            self.metrics.count("other_life_answers_total")
            return self._newest_lifetime() == status.lifetime
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

    def _pending_ack(self) -> int:
        """Return the number to acknowledge, 0 if the worker lists no such end.

        An acknowledgement that comes late could hit ends of another lifetime.
        """
        is_pending = any(end.number <= self._ack for end in self._status.ends)
        return self._ack if is_pending else 0

    def _raise_fence(self, lifetime: Lifetime, base: int) -> None:
        if self._fencing.raise_base(lifetime, base):
            self._fenced_term = 0
            log = logger.bind(worker=lifetime.worker_id, born=lifetime.started_ms)
            log.bind(base=base).info("fencing token raised")

    def _is_overtaken(self, status: WorkerStatus, asked_at: float) -> bool:
        """Return whether something newer of the same worker has come before."""
        known = self._newest_lifetime()
        known_at = max(self._announcements.confirmed_at, self._life_answered_at)
        is_other = status.lifetime != known
        if is_other and status.lifetime.worker_id == known.worker_id:
            # Whoever answers a call that was sent later is a later life.
            return asked_at <= known_at
        newest = self._status
        if newest is None or newest.lifetime != status.lifetime:
            return False
        return status.clock_ms < newest.clock_ms

    def _adjust_pace(self, status: WorkerStatus) -> None:
        """Set the pace of filling tasks by the latency of serving ones.

        Polls, and the leases that they renew, don't wait for the calls.
        """
        orders = self._reconciler.orders
        for change in self._pacer.pending_changes(status.runs, orders):
            key = change[:2]
            if key not in self._pacing:
                self._pacing.add(key)
                self._spawn_task("pace of a run", self._pace, status.lifetime, *change)

    def _pace(self, lifetime: Lifetime, task: str, run: int, percent: int) -> None:
        try:
            fence = self._fencing.token(lifetime, self._term)
            outcome = self._worker.pace(lifetime, task, run, percent, fence)
        finally:
            self._pacing.discard((task, run))
        if lifetime != self._newest_lifetime():
            return
        if outcome.is_ok():
            self._pacer.acknowledge(task, run, percent)
            logger.bind(task=task, run=run, percent=percent).info("paced")
        elif outcome.unwrap_err().applied is None:
            self._pacer.record_unanswered(task, run)

    def _start_lifetime(self, lifetime: Lifetime) -> None:
        logger.bind(worker=lifetime.worker_id, born=lifetime.started_ms).info(
            "worker's lifetime"
        )
        self._reconciler.begin_lifetime(lifetime)
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
                self._spawn_task("list of entries", self._entries.refresh)
            self._search_wake = Event()
            address = self._hinted_address or self._entries.next_address()
            self._hinted_address = ""
            if address:
                self._entries.record_asked(address)
                self._spawn_task("search for the placer", self._report, address, 0.0)
            with eventlet.Timeout(SEARCH_INTERVAL_SECONDS, False):
                self._search_wake.wait()

    def _spawn_task(self, name: str, body: Callable[..., Any], *args: Any) -> None:
        spawn_task(name, body, *args, metrics=self.metrics)

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
        info = self._info
        if status is None or info is None or info.lifetime != status.lifetime:
            info = None
        if info is not None and info.lifetime == self._announcements.ended_lifetime:
            info = None
        if info is not None and info.leaving:
            elapsed = clock.elapsed() - self._announcements.present.at
            remaining = max(0.0, info.leaving_seconds - elapsed)
            info = info._replace(leaving_seconds=remaining)
        has_worker = info is not None
        late_starts = self._reconciler.late_starts()
        return Report(
            host=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            worker=info,
            # An entry of an earlier version gives up late starts with the lifetime.
            ended_lifetime=None if late_starts else self._announcements.ended_lifetime,
            term=self._fenced_term,
            worker_clock_ms=status.clock_ms if has_worker else 0,
            runs=status.runs if has_worker else (),
            ends=status.ends if has_worker else (),
            settled=tuple(self._reconciler.settled.values()) if has_worker else (),
            known_version=self._version,
            wait=wait,
            late_starts=tuple(late_starts),
            crashes=self._crashes,
            late_start_ages=tuple(late_starts.values()),
            departed_lifetime=self._announcements.ended_lifetime,
            fence_base=self._fencing.base(info.lifetime) if has_worker else 0,
        )

    def _apply_orders(self, address: str, orders: Orders) -> bool:
        self._entries.set_named(orders.entries)
        self._announcements.set_catalogue_services(orders.services)
        if orders.lifetime == self._announcements.lifetime:
            self._raise_fence(orders.lifetime, orders.fence_base)
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
            self._spawn_task("poll of the worker", self._poll_once)
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
