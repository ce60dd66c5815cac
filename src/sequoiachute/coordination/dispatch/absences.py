"""Workers of silent hosts that the platform's list of machines no longer has."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from sequoiachute.coordination.dispatch.machine_list import (
    READ_INTERVAL_SECONDS,
    ListReading,
    MachineList,
)
from sequoiachute.coordination.dispatch.sessions import AgentSessions
from sequoiachute.coordination.loop import spawn_task
from sequoiachute.protocol.workload import Lifetime, TaskId
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS

READINGS = 2  # that must lack a worker, one after the other
MIN_GAP_SECONDS = 0.9 * READ_INTERVAL_SECONDS  # between them
# Outcomes of a reading.
WHOLE = "whole"
INCOMPLETE = "incomplete"
EMPTY = "empty"
NO_KNOWN_WORKER = "no known worker"
FAILED = "failed"


class _Roll(NamedTuple):
    """The workers that a list names, which was read from ``began_at`` on."""

    worker_ids: frozenset[str]
    began_at: float


class Absences:
    """Reads the list of machines while runs are placed on silent hosts.

    A life whose worker is on no machine is over. Only whole lists are evidence, and
    only those that name a worker which is heard of.

    Parameters
    ----------
    machine_list : MachineList or None
        Without a list no worker is ever found absent.
    ledger : Ledger
    agents : AgentSessions
    metrics : Metrics
    wake : callable
        Called when a list has been read.
    """

    def __init__(
        self,
        machine_list: MachineList | None,
        ledger: Ledger,
        agents: AgentSessions,
        metrics: Metrics,
        wake: Callable[[], None],
    ) -> None:
        self._list = machine_list
        self._ledger = ledger
        self._agents = agents
        self._metrics = metrics
        self._wake = wake
        self._rolls: deque[_Roll] = deque(maxlen=READINGS)
        self._seen: ListReading | None = None
        self._outcome = WHOLE
        self._logged: set[Lifetime] = set()

    def read_if_needed(self) -> None:
        """Begin to read the list if a silent host has tasks and it is time."""
        if self._list is None or not self._list.is_due:
            return
        if self._silent_hosts():
            spawn_task("list of machines", self._read, metrics=self._metrics)

    def absent_at(self, host: str, lifetime: Lifetime) -> float:
        """Return when the newest list that lacks the worker of a life began to be read.

        Two lists in a row must lack it, both read while ``host`` was silent; infinite
        in the past if they do not.
        """
        if not lifetime.worker_id or len(self._rolls) < READINGS:
            return float("-inf")
        silent_since = self._agents.silent_since(host)
        for roll in self._rolls:
            if roll.began_at <= silent_since or lifetime.worker_id in roll.worker_ids:
                return float("-inf")
        return self._rolls[-1].began_at

    def last_late_call(self, host: str, task: TaskId, run: int) -> float:
        """Return until when the next life of an absent worker may carry out a start.

        Of the calls for a run that no report lists, this placer may know nothing.
        """
        last_call = self._agents.last_late_call(host, task, run)
        session = self._agents.sessions.get(host)
        if session is not None and session.lists(task, run):
            return last_call
        placed_at = self._ledger.placed_at(task)
        return max(last_call, placed_at + MAX_CALL_DELAY_SECONDS)

    def take_reading(self) -> None:
        """Take the newest reading of the list into account, whoever has read it."""
        if self._list is None or self._list.newest is self._seen:
            return
        reading = self._seen = self._list.newest
        roll = _Roll(reading.worker_ids, reading.began_at)
        if self._outcome_of(reading) != WHOLE or self._is_early(reading):
            # What it names is there all the same.
            self._add_to_last(roll.worker_ids)
            return
        self._rolls.append(roll)
        self._log_absent(roll)

    def _read(self) -> None:
        listed = self._list.read()
        reason = ""
        if listed.is_ok():
            outcome = self._outcome_of(listed.unwrap())
        else:
            outcome, reason = FAILED, listed.unwrap_err()
        self._metrics.count("machine_list_readings_total", outcome=outcome)
        if outcome != self._outcome:
            self._outcome = outcome
            log = logger.bind(term=self._agents.term, outcome=outcome, reason=reason)
            log.info("reading of machines for silent hosts")
        self._wake()

    def _outcome_of(self, reading: ListReading) -> str:
        if not reading.machines:
            return EMPTY
        has_unknown = any(
            m.is_up and not m.worker_id for m in reading.machines.values()
        )
        if not reading.is_whole or has_unknown:
            return INCOMPLETE
        sessions = self._agents.sessions
        heard_of = {
            session.lifetime.worker_id
            for host, session in sessions.items()
            if not self._agents.is_silent(host)
        }
        return WHOLE if heard_of & reading.worker_ids else NO_KNOWN_WORKER

    def _is_early(self, reading: ListReading) -> bool:
        if not self._rolls:
            return False
        return reading.began_at - self._rolls[-1].began_at < MIN_GAP_SECONDS

    def _add_to_last(self, worker_ids: frozenset[str]) -> None:
        if self._rolls:
            last = self._rolls[-1]
            ids = last.worker_ids | worker_ids
            self._rolls[-1] = last._replace(worker_ids=ids)

    def _silent_hosts(self) -> list[str]:
        """Return the silent hosts on which tasks are placed."""
        return [host for host in self._ledger.hosts() if self._agents.is_silent(host)]

    def _log_absent(self, roll: _Roll) -> None:
        """Log each life of a silent host that a list lacks, once."""
        silent = set()
        for host in self._silent_hosts():
            states = self._ledger.tasks_on_host(host).values()
            for lifetime in {state.lifetime for state in states}:
                silent.add(lifetime)
                if lifetime in self._logged or not lifetime.worker_id:
                    continue
                if roll.began_at <= self._agents.silent_since(host):
                    continue
                if lifetime.worker_id in roll.worker_ids:
                    continue
                self._logged.add(lifetime)
                log = logger.bind(host=host, life=lifetime.worker_id)
                log = log.bind(born=lifetime.started_ms)
                silent_seconds = self._agents.silent_seconds(host)
                log = log.bind(silent=round(silent_seconds, 3))
                log.info("worker of silent host on no machine")
        self._logged &= silent
