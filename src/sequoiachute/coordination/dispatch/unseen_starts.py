"""Withdraws starts that a worker neither carries out nor answers."""

from collections.abc import Hashable, Iterator
from typing import NamedTuple

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import (
    MAX_REPORT_AGE_SECONDS,
    MAX_WORKER_AGE_SECONDS,
    AgentSessions,
    Session,
)
from sequoiachute.coordination.dispatch.start_doubts import StartDoubts
from sequoiachute.coordination.scheduling import Host, RunStop, TaskPlacement
from sequoiachute.coordination.scheduling.capacity import (
    MAX_RECENT_FAILURES,
    FreeCapacity,
)
from sequoiachute.protocol.workload import StepSpec, TaskId, task_key
from sequoiachute.state.ledger import Ledger

# From the order of a run to a reading of the worker that does not show it.
MAX_UNSEEN_SECONDS = 1.0
# Factor after each withdrawal, so that where all orders are late one start is waited
# for: 1, 4, 16 s.
PATIENCE_FACTOR = 4
MAX_WITHDRAWALS = 4
LATE_HOST_SECONDS = 15.0  # for which a host with a late start is no place for others
MAX_STOP_SECONDS = 2.0  # in which a stop is answered, seen in a reading and settled
ANSWER_SECONDS = 5.0  # for which a host that has answered a stop is expected to
NOT_STARTED = "not started"  # reason of the stop


class _Start(NamedTuple):
    """A run that was ordered on a host."""

    host: str
    task: TaskId
    run: int


def _is_fresh(session: Session) -> bool:
    """Return whether the session shows what the worker runs now."""
    return (
        session.worker is not None
        and session.is_fenced
        and session.lifetime not in session.ended_lifetimes
        and session.age() < MAX_REPORT_AGE_SECONDS
        and session.worker_age() < MAX_WORKER_AGE_SECONDS
    )


class UnseenStarts:
    """Ordered runs that no reading has shown yet, and the withdrawal of late ones.

    Parameters
    ----------
    ledger : Ledger
    agents : AgentSessions
    doubts : StartDoubts
    """

    def __init__(
        self, ledger: Ledger, agents: AgentSessions, doubts: StartDoubts
    ) -> None:
        self._ledger = ledger
        self._agents = agents
        self._doubts = doubts
        self._ordered_at: dict[_Start, float] = {}
        self._withdrawals: dict[Hashable, int] = {}
        self._withdrawn: dict[TaskId, int] = {}
        self._pending: dict[_Start, float] = {}
        self._late_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def update(self) -> None:
        """Take over what the newest readings show.

        Time counts only while the worker's readings are fresh.
        """
        now = clock.elapsed()
        ordered_at = {}
        for session in self._agents.sessions.values():
            if not _is_fresh(session):
                continue
            for start in self._unseen_on(session):
                ordered_at[start] = self._ordered_at.get(start, now)
        self._ordered_at = ordered_at
        for start, at in list(self._pending.items()):
            state = self._ledger.tasks_on_host(start.host).get(start.task)
            if state is not None and state.run == start.run:
                continue
            del self._pending[start]
            if now < at + MAX_STOP_SECONDS:
                self._answered_at[start.host] = now

    def _unseen_on(self, session: Session) -> Iterator[_Start]:
        known = set(session.runs)
        known.update((end.task, end.run) for end in session.ends)
        known.update((start.task, start.run) for start in session.settled)
        for task, state in self._ledger.tasks_on_host(session.host).items():
            if state.lifetime != session.lifetime:
                continue
            if session.stops.get(task, 0) == state.run:
                continue
            if (str(task), state.run) not in known:
                yield _Start(session.host, task, state.run)

    def is_withdrawn(self, task: TaskId, run: int) -> bool:
        """Return whether a run was stopped because it had not started."""
        return self._withdrawn.get(task, 0) == run

    def withdraw(
        self, hosts: tuple[Host, ...], placements: tuple[TaskPlacement, ...]
    ) -> list[RunStop]:
        """Return the stops of runs that have not started and fit on another host.

        A gang is stopped whole. A stop that is not answered leaves the task placed and
        may rule its start out for good, so that a host gets a second one only after it
        has answered the first. Where most workers are late, another is no better.

        Parameters
        ----------
        hosts : tuple of Host
            Hosts with the runs that occupied them before the round.
        placements : tuple of TaskPlacement
            What was placed in the round.
        """
        late = self._late_starts()
        if not late:
            return []
        capacity = self._remaining_capacity(hosts, placements)
        now = clock.elapsed()
        for starts in late.values():
            self._late_at.update((start.host, now) for start in starts)
        silent = {
            host for host, at in self._late_at.items() if now < at + LATE_HOST_SECONDS
        }
        stops = []
        for key, starts in late.items():
            if not all(self._is_due(key, start, now) for start in starts):
                continue
            if not self._is_exception(starts[0], hosts, silent):
                continue
            if not self._find_room(starts, capacity, silent):
                continue
            self._withdrawals[key] = self._withdrawals.get(key, 0) + 1
            for start in starts:
                self._doubts.record(start.task, start.host, now)
                self._withdrawn[start.task] = start.run
                self._pending[start] = now
            for start in self._with_gang(starts[0]):
                stops.append(RunStop(start.task, start.run, start.host, NOT_STARTED))
        return stops

    def _remaining_capacity(
        self, hosts: tuple[Host, ...], placements: tuple[TaskPlacement, ...]
    ) -> FreeCapacity:
        capacity = FreeCapacity(hosts)
        for placement in placements:
            step = self._step_of(placement.task)
            if step is not None:
                capacity.allocate(capacity.hosts[placement.host], step.reserved)
        return capacity

    def _late_starts(self) -> dict[Hashable, list[_Start]]:
        """Return the starts that are late, those of a gang together."""
        found: dict[Hashable, list[_Start]] = {}
        for start in self._ordered_at:
            step = self._step_of(start.task)
            if step is None or self._unseen_seconds(start) < MAX_UNSEEN_SECONDS:
                continue
            key = start.task[:3] if step.gang else start.task
            found.setdefault(key, []).append(start)
        return found

    def _unseen_seconds(self, start: _Start) -> float:
        session = self._agents.sessions[start.host]
        return session.worker_answered_at - self._ordered_at[start]

    def _is_due(self, key: Hashable, start: _Start, now: float) -> bool:
        if not self._answers_stops(start.host, now):
            return False
        count = min(self._withdrawals.get(key, 0), MAX_WITHDRAWALS)
        patience = MAX_UNSEEN_SECONDS * PATIENCE_FACTOR**count
        return self._unseen_seconds(start) >= patience

    def _is_exception(
        self, start: _Start, hosts: tuple[Host, ...], silent: set[str]
    ) -> bool:
        """Return whether no more than half of the service's hosts are late."""
        service = self._agents.sessions[start.host].worker.service
        names = {host.name for host in hosts if host.service == service}
        return 2 * len(names & silent) <= len(names)

    def _answers_stops(self, host: str, now: float) -> bool:
        """Return whether a host has answered the last stop, or had none to answer."""
        if now < self._answered_at.get(host, float("-inf")) + ANSWER_SECONDS:
            return True
        return all(start.host != host for start in self._pending)

    def _find_room(
        self, starts: list[_Start], capacity: FreeCapacity, silent: set[str]
    ) -> bool:
        """Allocate room for all of ``starts``; return whether there was enough."""
        allocated = []
        for start in starts:
            step = self._step_of(start.task)
            host = self._host_for(start, step, capacity, silent)
            if host is None:
                for other, need in allocated:
                    capacity.release(other, need)
                return False
            capacity.allocate(host, step.reserved)
            allocated.append((host, step.reserved))
        return True

    def _host_for(
        self, start: _Start, step: StepSpec, capacity: FreeCapacity, silent: set[str]
    ) -> Host | None:
        worker = self._agents.sessions[start.host].worker
        excluded = silent | self._doubts.doubted_hosts(start.task, clock.elapsed())
        for host in capacity.fitting_hosts(step.reserved):
            if host.name in excluded or not host.is_open or host.is_reserved:
                continue
            if host.service != worker.service:
                continue
            if step.label and step.label not in host.labels:
                continue
            if host.recent_failures >= MAX_RECENT_FAILURES:
                continue
            if step.per_worker and self._count_placed(start.task, host) >= (
                step.per_worker
            ):
                continue
            return host
        return None

    def _count_placed(self, task: TaskId, host: Host) -> int:
        placed = self._ledger.tasks_on_host(host.name)
        return sum(other[:3] == task[:3] for other in placed)

    def _with_gang(self, start: _Start) -> list[_Start]:
        """Return a start with those of the placed members of its gang."""
        step = self._step_of(start.task)
        if not step.gang:
            return [start]
        tasks = self._ledger.progress(start.task.job_id).tasks
        found = []
        for index in range(step.count):
            member = start.task._replace(index=index)
            state = tasks.get(task_key(member))
            if state is not None and state.run == start.run and state.placed:
                found.append(_Start(state.host, member, state.run))
        return found

    def _step_of(self, task: TaskId) -> StepSpec | None:
        job = self._ledger.job(task.job_id)
        return job.steps[task.step] if job is not None else None

    def forget_ended_jobs(self, live: set[str]) -> None:
        """Drop what is kept by task, but for the jobs that are ``live``."""
        for task in [task for task in self._withdrawn if task.job_id not in live]:
            del self._withdrawn[task]
        for key in [key for key in self._withdrawals if key[0] not in live]:
            del self._withdrawals[key]
