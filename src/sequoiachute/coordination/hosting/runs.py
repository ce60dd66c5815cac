"""Reconciles the worker's runs with the placer's orders."""

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore
from loguru import logger
from result import Result

from sequoiachute import clock
from sequoiachute.coordination.hosting.fencing import Fencing
from sequoiachute.coordination.hosting.unanswered import UnansweredStarts
from sequoiachute.errors import describe_failure
from sequoiachute.protocol.supervision import WITHDRAWN, RunOrder, SettledStart
from sequoiachute.protocol.workload import Lifetime, Resources
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.worker import (
    ALREADY_RAN,
    TaskWorker,
    WorkerError,
    WorkerStatus,
)

MAX_CONCURRENT_CALLS = 32  # as many connections are kept open
CALL_RETRY_SECONDS = 0.05  # between two attempts of an unanswered call
# A worker describes itself every 0.5 to 1.5 s; its capacity may have shrunk since.
MAX_ANNOUNCEMENT_AGE_SECONDS = 4.0
MAX_UNORDERED_WAIT_SECONDS = 2.0  # for runs that end when they are stopped
NO_ROOM = "no room"  # reason of a start that the worker's capacity excludes
NOT_STOPPED = "a run that was not ordered does not end"
NOT_ANNOUNCED = "the worker has not described itself lately"


class RunReconciler:
    """Starts ordered runs that are missing and stops those not ordered.

    A start is repeated until the worker answers, each time only if a later reading
    does not list the run. A withdrawn start is settled by a stop, after which the
    worker refuses the run for good.

    Parameters
    ----------
    worker : TaskWorker
    on_settled : callable
        Called when it is certain that an ordered run never ran.
    metrics : Metrics
    look : callable
        Begins a poll that is answered at once.
    fencing : Fencing, optional
        Shared with all who call the worker.
    """

    def __init__(
        self,
        worker: TaskWorker,
        on_settled: Callable[[], None],
        metrics: Metrics,
        look: Callable[[], None] = lambda: None,
        fencing: Fencing | None = None,
    ) -> None:
        self._fencing = fencing or Fencing()
        self._worker = worker
        self._metrics = metrics
        self._on_settled = on_settled
        self._look = look
        self.orders: dict[tuple[str, int], RunOrder] = {}
        self.settled: dict[tuple[str, int], SettledStart] = {}
        self._present: set[tuple[str, int]] = set()
        self._ended: set[tuple[str, int]] = set()
        self._attempted: set[tuple[str, int]] = set()
        # Those attempted of which a call may have reached the present lifetime.
        self._delivered: set[tuple[str, int]] = set()
        self._is_listening = True
        self._started: set[tuple[str, int]] = set()
        self._stopped_at: dict[tuple[str, int], float] = {}
        self._unanswered = UnansweredStarts()
        self._has_had_orders = False
        self._reading = (0, 0.0)
        self._in_flight: set[tuple[str, int]] = set()
        self._calls = Semaphore(MAX_CONCURRENT_CALLS)
        self._held: dict[tuple[str, int], Resources] = {}
        self._used = Resources()
        self.lifetime = Lifetime()
        self._previous: tuple[Lifetime, tuple[tuple[str, int], ...]] = (Lifetime(), ())
        self.term = 0
        self.lease_ms = 0
        self.may_start = True
        self._capacity = Resources()
        self._announced_at = float("-inf")

    def begin_lifetime(self, lifetime: Lifetime) -> None:
        """Call the worker in ``lifetime`` from now on, without any earlier state."""
        self._previous = (self.lifetime, self.runs_of(self.lifetime))
        self.lifetime = lifetime
        self.lease_ms = 0
        self.orders.clear()
        self.settled.clear()
        self._present.clear()
        self._ended.clear()
        self._attempted.clear()
        self._delivered.clear()
        self._is_listening = True
        self._started.clear()
        self._stopped_at.clear()
        self._recount()

    def runs_of(self, lifetime: Lifetime) -> tuple[tuple[str, int], ...]:
        """Return the runs that the present or previous lifetime may last have had.

        They include all starts that may have reached it, answered or not, but for the
        runs that it has listed as ended.
        """
        previous, runs = self._previous
        if lifetime == self.lifetime:
            return tuple(sorted((self._delivered | self._present) - self._ended))
        return runs if lifetime == previous else ()

    def record_unreachable(self) -> None:
        """Record that a call has found nothing that listens at the worker's address.

        The present lifetime is over, unless it answers once more.
        """
        self._is_listening = False

    def set_capacity(self, capacity: Resources, announced_at: float) -> None:
        """Set the capacity that the worker has announced, on the elapsed clock."""
        self._capacity = capacity
        self._announced_at = announced_at

    def late_starts(self) -> dict[tuple[str, int], float]:
        """Return the starts that may be carried out late, by seconds since sent."""
        return self._unanswered.ages()

    def set_orders(self, orders: tuple[RunOrder, ...]) -> None:
        """Replace all orders and reconcile.

        An order without a payload keeps the payload of its earlier copy.
        """
        previous = self.orders
        self.orders = {}
        for order in orders:
            key = (order.task, order.run)
            if not order.payload and key in previous:
                order = order._replace(payload=previous[key].payload)
            self.orders[key] = order
        if not self._has_had_orders:
            self._has_had_orders = True
            for key in self.orders:
                # An earlier process of the agent may have sent a call.
                self._unanswered.record_sent(key, clock.elapsed())
        self._attempted &= self.orders.keys()
        self._delivered &= self.orders.keys()
        self._started &= self.orders.keys()
        for key in list(self.settled):
            if key not in self.orders:
                del self.settled[key]
        self._recount()
        self.reconcile()

    def apply_status(self, status: WorkerStatus, polled_at: float) -> None:
        """Apply a status requested at ``polled_at`` in clock time, and reconcile."""
        self._reading = (status.clock_ms, polled_at)
        self._is_listening = True
        self._present = {(run.task, run.run) for run in status.runs}
        self._ended = {(end.task, end.run) for end in status.ends}
        self._unanswered.record_listed(self._present | self._ended)
        for key, stopped_at in list(self._stopped_at.items()):
            if polled_at <= stopped_at:
                continue
            if key in self._present:
                continue
            del self._stopped_at[key]
            if key not in self._ended and key in self.orders:
                self._settle(key, WITHDRAWN)
        self._recount()
        self.reconcile()

    def reconcile(self) -> None:
        """Start ordered runs that are missing; stop present ones not ordered."""
        for key in self.orders:
            self._reconcile_run(key)
        for key in self._present - self.orders.keys():
            self._reconcile_run(key)

    def _reconcile_run(self, key: tuple[str, int]) -> None:
        order = self.orders.get(key)
        if key in self._in_flight:
            return
        if order is None:
            is_unordered = key in self._present and key not in self._stopped_at
            if is_unordered and self.term:
                log = logger.bind(task=key[0], run=key[1], term=self.term)
                log.bind(life=self.lifetime.worker_id).warning("unordered run found")
                self._spawn_call(self._stop, key)
            return
        if key in self._ended or key in self.settled:
            return
        if order.stop:
            if key not in self._stopped_at:
                self._spawn_call(self._stop, key)
        elif self._is_missing(key):
            self._spawn_call(self._start, key)

    def _is_missing(self, key: tuple[str, int]) -> bool:
        """Return whether a run was neither started nor ruled out by a stop."""
        is_known = key in self._present or key in self._started
        return not is_known and key not in self._stopped_at

    def _spawn_call(self, call: Callable, key: tuple[str, int]) -> None:
        self._in_flight.add(key)
        eventlet.spawn(self._run_call, call, key)

    def _run_call(self, call: Callable, key: tuple[str, int]) -> None:
        try:
            call(key)
        except Exception as error:
            log = logger.bind(task=key[0], run=key[1])
            log.error("order failed: {}", describe_failure(error))
            clock.sleep(CALL_RETRY_SECONDS)
        finally:
            self._in_flight.discard(key)
        self._reconcile_run(key)

    def _start(self, key: tuple[str, int]) -> None:
        lifetime = self.lifetime
        began_at = clock.now()
        may_exist = False
        unanswered_at = float("-inf")
        while True:
            order = self.orders.get(key)
            if order is None or order.stop or lifetime != self.lifetime:
                return
            if key in self._present or key in self._ended:
                self._record_started(key)
                return
            obstacle = self._obstacle(key, order, began_at)
            if obstacle:
                self._rule_out(key, obstacle, may_exist)
                return
            if self._must_wait(unanswered_at):
                clock.sleep(CALL_RETRY_SECONDS)
                continue
            if self._calls.locked():
                with self._calls:
                    # What is checked above may have changed.
                    continue
            self._attempt(key, order.need)
            with self._calls:
                sent_at = clock.elapsed()
                self._unanswered.record_sent(key, sent_at)
                fence = self._fencing.token(lifetime, self.term)
                outcome = self._worker.start(lifetime, order, fence, self.lease_ms)
            self._record_answer(key, sent_at, outcome)
            if lifetime != self.lifetime:
                return
            self._record_delivery(key, outcome)
            if outcome.is_ok():
                self._record_started(key)
                return
            error = outcome.unwrap_err()
            if error.applied is None:
                may_exist = True
                unanswered_at = clock.now()
            elif not may_exist:
                self._attempted.discard(key)
                self._delivered.discard(key)
                self._release(key)
            if error.applied is False and not error.fenced:
                may_exist = may_exist or error.reason == ALREADY_RAN
                self._rule_out(key, error.reason, may_exist)
                return
            clock.sleep(CALL_RETRY_SECONDS)

    def _attempt(self, key: tuple[str, int], need: Resources) -> None:
        """Take a run that is about to be asked for as one that may exist."""
        self._attempted.add(key)
        if self._is_listening:
            self._delivered.add(key)
        self._hold(key, need)

    def _record_delivery(
        self, key: tuple[str, int], outcome: Result[None, WorkerError]
    ) -> None:
        """Record whether a call to start a run may have reached the present life."""
        if outcome.is_ok() or outcome.unwrap_err().applied is None:
            self._delivered.add(key)
        elif outcome.unwrap_err().gone:
            self.record_unreachable()

    def _must_wait(self, unanswered_at: float) -> bool:
        """Return whether no start may be sent now; look if a newer reading is needed.

        A call without an answer may have been carried out by ``unanswered_at``.
        """
        if self._has_unordered_runs() or not self._has_lease():
            return True
        _, read_at = self._reading
        if read_at < unanswered_at:
            self._look()
            return True
        return False

    def _record_started(self, key: tuple[str, int]) -> None:
        self._started.add(key)
        logger.bind(task=key[0], run=key[1], term=self.term).info("started")

    def _record_answer(
        self, key: tuple[str, int], sent_at: float, outcome: Result[None, WorkerError]
    ) -> None:
        """Record the outcome of a call to start a run, also if the life has changed."""
        if outcome.is_ok():
            self._metrics.count("orders_total", kind="start", outcome="ok")
            return
        error = outcome.unwrap_err()
        self._metrics.count("orders_total", kind="start", outcome=error.reason)
        if error.applied is None:
            calls = self._unanswered.record_unanswered(key, sent_at)
            self._log_unanswered(key, calls, error.reason)

    def _log_unanswered(self, key: tuple[str, int], calls: int, reason: str) -> None:
        """Log the first, second, fourth... call without an answer."""
        if calls & (calls - 1):
            return
        log = logger.bind(task=key[0], run=key[1], term=self.term, calls=calls)
        log = log.bind(life=self.lifetime.worker_id, reason=reason)
        log.info("start not answered")

    def _rule_out(self, key: tuple[str, int], reason: str, may_exist: bool) -> None:
        """Settle a start that is not tried again.

        If a copy of it may have run, a stop settles it: the next status shows an end,
        or that there is none.
        """
        if may_exist:
            self._stop(key)
        else:
            self._settle(key, reason)

    def _obstacle(self, key: tuple[str, int], order: RunOrder, began_at: float) -> str:
        """Return why a start that began at ``began_at`` must end, else empty."""
        if not self.may_start:
            return "worker accepts no new runs"
        is_waiting_long = clock.now() - began_at > MAX_UNORDERED_WAIT_SECONDS
        if is_waiting_long and self._has_unordered_runs():
            return NOT_STOPPED
        if clock.elapsed() - self._announced_at > MAX_ANNOUNCEMENT_AGE_SECONDS:
            return NOT_ANNOUNCED
        held = self._held.get(key, Resources())
        used = self._used.minus(held).plus(order.need)
        return "" if self._capacity.covers(used) else NO_ROOM

    def _recount(self) -> None:
        """Sum up what the runs hold that exist or may exist."""
        self._held = {
            key: order.need for key, order in self.orders.items() if self._may_run(key)
        }
        self._used = Resources(*map(sum, zip(*self._held.values(), strict=True)))

    def _hold(self, key: tuple[str, int], need: Resources) -> None:
        self._release(key)
        self._held[key] = need
        self._used = self._used.plus(need)

    def _release(self, key: tuple[str, int]) -> None:
        self._used = self._used.minus(self._held.pop(key, Resources()))

    def _has_lease(self) -> bool:
        """Return whether the lease to start under lasts, by the worker's clock."""
        clock_ms, read_at = self._reading
        return self.lease_ms > clock_ms + 1000 * (clock.now() - read_at)

    def _may_run(self, key: tuple[str, int]) -> bool:
        if key in self._ended or key in self.settled:
            return False
        return key in self._present or key in self._attempted

    def _has_unordered_runs(self) -> bool:
        """Return whether the worker runs something that is not ordered.

        It is being stopped, and holds room of unknown size until it has ended.
        """
        return any(key not in self.orders for key in self._present)

    def _stop(self, key: tuple[str, int]) -> None:
        lifetime = self.lifetime
        while lifetime == self.lifetime:
            with self._calls:
                fence = self._fencing.token(lifetime, self.term)
                outcome = self._worker.stop(lifetime, key[0], key[1], fence)
            label = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
            self._metrics.count("orders_total", kind="stop", outcome=label)
            if lifetime != self.lifetime:
                return
            if outcome.is_ok():
                self._stopped_at[key] = clock.now()
                logger.bind(task=key[0], run=key[1], term=self.term).info("stop asked")
                return
            if key not in self.orders and key not in self._present:
                return
            clock.sleep(CALL_RETRY_SECONDS)

    def _settle(self, key: tuple[str, int], reason: str) -> None:
        self.settled[key] = SettledStart(key[0], key[1], reason)
        self._release(key)
        log = logger.bind(task=key[0], run=key[1], term=self.term, reason=reason)
        log.bind(life=self.lifetime.worker_id).info("start settled: it never ran")
        self._on_settled()
