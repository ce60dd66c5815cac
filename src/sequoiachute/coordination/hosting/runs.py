"""Starting and stopping runs at the worker until their fate is known."""

from collections.abc import Callable

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.errors import describe_failure
from sequoiachute.protocol.supervision import RunOrder, SettledStart
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.worker import ALREADY_RAN, TaskWorker, WorkerStatus

RETRY_SECONDS = 0.05  # between two tries of a call that got no answer


class Runs:
    """What is ordered, what is there and what is being called.

    A start is tried until the worker answers; one that is withdrawn is settled
    by a stop, after which the worker refuses it for good.
    """

    def __init__(
        self, worker: TaskWorker, changed: Callable[[], None], metrics: Metrics
    ) -> None:
        self._worker = worker
        self._metrics = metrics
        self._changed = changed
        self.orders: dict[tuple[str, int], RunOrder] = {}
        self.settled: dict[tuple[str, int], SettledStart] = {}
        self._present: set[tuple[str, int]] = set()
        self._ended: set[tuple[str, int]] = set()
        self._asked: set[tuple[str, int]] = set()
        self._stopped_at: dict[tuple[str, int], float] = {}
        self._busy: set[tuple[str, int]] = set()
        self.worker_id = ""
        self.term = 0
        self.lease_ms = 0
        self.may_start = True

    def reset(self) -> None:
        """Forget everything of a lifetime that is over."""
        self.orders.clear()
        self.settled.clear()
        self._present.clear()
        self._ended.clear()
        self._asked.clear()
        self._stopped_at.clear()

    def set_orders(self, orders: tuple[RunOrder, ...]) -> None:
        """Take the whole list of orders and act on it."""
        known = self.orders
        self.orders = {}
        for order in orders:
            key = (order.task, order.run)
            if not order.payload and key in known:
                order = order._replace(payload=known[key].payload)
            self.orders[key] = order
        for key in list(self.settled):
            if key not in self.orders:
                del self.settled[key]
        self.act()

    def take_view(self, view: WorkerStatus, looked_at: float) -> None:
        """Take what the worker showed to a look that began at ``looked_at``."""
        self._present = {(run.task, run.run) for run in view.runs}
        self._ended = {(end.task, end.run) for end in view.ends}
        for key, stopped_at in list(self._stopped_at.items()):
            if looked_at <= stopped_at:
                continue
            if key in self._present:
                continue
            del self._stopped_at[key]
            if key not in self._ended and key in self.orders:
                self._settle(key, "withdrawn")
        self.act()

    def act(self) -> None:
        """Start what is ordered and not there, stop what is there and not ordered."""
        for key, order in self.orders.items():
            if key in self._busy or key in self._ended or key in self.settled:
                continue
            if order.stop:
                if key not in self._stopped_at:
                    self._spawn(self._stop, key)
            elif key not in self._present and key not in self._asked:
                self._spawn(self._start, key)
        for key in self._present:
            if key in self.orders or key in self._busy or key in self._stopped_at:
                continue
            if self.term:
                self._spawn(self._stop, key)

    def _spawn(self, act: Callable, key: tuple[str, int]) -> None:
        self._busy.add(key)
        eventlet.spawn(self._run, act, key)

    def _run(self, act: Callable, key: tuple[str, int]) -> None:
        try:
            act(key)
        except Exception as error:
            log = logger.bind(task=key[0], run=key[1])
            log.error("order failed: {}", describe_failure(error))
            clock.sleep(RETRY_SECONDS)
        finally:
            self._busy.discard(key)
        self.act()

    def _start(self, key: tuple[str, int]) -> None:
        worker_id = self.worker_id
        may_be_there = False
        while True:
            order = self.orders.get(key)
            if order is None or order.stop or worker_id != self.worker_id:
                return
            if not self.may_start:
                if may_be_there:
                    self._stop(key)
                else:
                    self._settle(key, "worker is closed")
                return
            if not self.lease_ms:
                clock.sleep(RETRY_SECONDS)
                continue
            outcome = self._worker.start(worker_id, order, self.term, self.lease_ms)
            told = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
            self._metrics.count("orders_total", kind="start", outcome=told)
            if outcome.is_ok():
                self._asked.add(key)
                logger.bind(task=key[0], run=key[1], term=self.term).info("started")
                return
            error = outcome.unwrap_err()
            if error.applied is False and not error.fenced:
                if error.reason == ALREADY_RAN or may_be_there:
                    # An earlier copy of this start may have run: the next look
                    # shows its end, or that there is none.
                    self._stop(key)
                else:
                    self._settle(key, error.reason)
                return
            may_be_there = may_be_there or error.applied is None
            clock.sleep(RETRY_SECONDS)

    def _stop(self, key: tuple[str, int]) -> None:
        worker_id = self.worker_id
        while worker_id == self.worker_id:
            outcome = self._worker.stop(worker_id, key[0], key[1], self.term)
            told = "ok" if outcome.is_ok() else outcome.unwrap_err().reason
            self._metrics.count("orders_total", kind="stop", outcome=told)
            if outcome.is_ok():
                self._stopped_at[key] = clock.now()
                logger.bind(task=key[0], run=key[1], term=self.term).info("stop asked")
                return
            if key not in self.orders and key not in self._present:
                return
            clock.sleep(RETRY_SECONDS)

    def _settle(self, key: tuple[str, int], reason: str) -> None:
        self.settled[key] = SettledStart(key[0], key[1], reason)
        log = logger.bind(task=key[0], run=key[1], term=self.term, reason=reason)
        log.info("start settled: it never ran")
        self._changed()
