"""Tells why work waits though its service has room for it: no network, no clock."""

from collections.abc import Callable
from typing import NamedTuple

from sequoiachute.coordination.scheduling.capacity import (
    MAX_RECENT_FAILURES,
    could_hold,
    count_fitting,
    is_eligible,
    meets_requirements,
)
from sequoiachute.coordination.scheduling.model import (
    Host,
    SchedulingDecision,
    SchedulingUnit,
    SchedulingView,
)
from sequoiachute.coordination.scheduling.preferences import due_tasks
from sequoiachute.protocol.workload import Resources

MIN_WAIT_SECONDS = 1.0  # shorter waits are not looked at
MAX_WAITS = 50  # that are explained in one call
MAX_ROOM_HOSTS = 6700  # examined for room in one call
MAX_EXPLAINED_HOSTS = 1340  # examined for reasons in one call

RUNS_END = "runs of the step are ending"
AGENTS_REPORT = "agents still report"
HOSTS_CLOSED = "hosts closed"
LABEL = "label"
NO_TICKET = "no ticket"
STARTS_REFUSED = "starts refused"
WAVES = "wide step starts in waves"
UPKEEP = "hosts reserved for upkeep"
DOUBT = "hosts in doubt"
CRASHES = "kept apart after a crash"
PROOF = "waits for a proven host"
NO_RACK = "no rack has room"
HELD = "held for other work"


class HostCounts(NamedTuple):
    """What there is for a unit.

    Attributes
    ----------
    hosts : int
        Hosts of its service that do not leave.
    open : int
        Those of them that accept new tasks.
    suitable : int
        Those that meet the unit's requirements.
    reserved : int
        Suitable ones that should run empty for their upkeep.
    in_doubt : int
        Suitable ones with failures that exclude them for the unit.
    doubt_age : float or None
        Seconds since the newest of these failures.
    proven : int
        Suitable ones that are proven and on which the job has not failed.
    fitting : int
        Tasks that fit on suitable hosts now.
    fitting_in_rack : int
        Tasks that fit now in the rack with most room.
    """

    hosts: int
    open: int
    suitable: int
    reserved: int
    in_doubt: int
    doubt_age: float | None
    proven: int
    fitting: int
    fitting_in_rack: int


class Wait(NamedTuple):
    """A unit that waits beside free capacity; times are in seconds."""

    job: str
    occurrence: int
    step: int
    tasks: int
    waiting_seconds: float
    reason: str
    counts: HostCounts
    last_attempt: bool
    failed_seconds: float
    unit: SchedulingUnit


class Waits(NamedTuple):
    """The units that have waited for more than ``MIN_WAIT_SECONDS``.

    ``beside_capacity`` of the ``units`` have room, of which the longest waiting are
    explained.
    """

    units: int = 0
    beside_capacity: int = 0
    explained: tuple[Wait, ...] = ()


def find_waits(view: SchedulingView, decision: SchedulingDecision) -> Waits:
    """Return the units that stay unplaced, and why those that have room do."""
    placed = {placement.task for placement in decision.placements}
    waiting = []
    for unit in view.units:
        if unit.waiting_seconds <= MIN_WAIT_SECONDS:
            continue
        if placed.isdisjoint(unit.tasks):
            waiting.append(unit)
    if not waiting:
        return Waits()
    survey = _Survey(view, decision)
    roomy = [unit for unit in waiting if survey.has_room(unit)]
    roomy.sort(key=lambda unit: unit.waiting_seconds, reverse=True)
    explained = []
    for unit in roomy[:MAX_WAITS]:
        wait = survey.explain(unit)
        if wait is not None:
            explained.append(wait)
    return Waits(len(waiting), len(roomy), tuple(explained))


class _Survey:
    """The capacity that is free after a decision; the same question is asked once."""

    def __init__(self, view: SchedulingView, decision: SchedulingDecision) -> None:
        self._view = view
        self._services: dict[str, list[Host]] = {}
        for host in view.hosts:
            if host.leaving_seconds is None:
                self._services.setdefault(host.service, []).append(host)
        self._free = {host.name: _free(host) for host in view.hosts}
        if decision.placements:
            self._allocate(decision)
        self._rooms: dict[tuple, bool] = {}
        self._explained: dict[tuple, tuple[str, HostCounts]] = {}
        self._room_hosts_left = MAX_ROOM_HOSTS
        self._explained_hosts_left = MAX_EXPLAINED_HOSTS

    def _allocate(self, decision: SchedulingDecision) -> None:
        steps = {unit.tasks[0][:3]: unit.step for unit in self._view.units}
        for host, task in ((p.host, p.task) for p in decision.placements):
            self._free[host] = self._free[host].minus(steps[task[:3]].reserved)

    def has_room(self, unit: SchedulingUnit) -> bool:
        """Return whether hosts that meet the requirements of ``unit`` have room.

        If they would not hold it even when empty, the others of its service count.
        """
        key = _requirements(unit)
        room = self._rooms.get(key)
        if room is None:
            if self._room_hosts_left <= 0:
                return False
            room = self._rooms[key] = self._finds_room(unit)
        return room

    def _finds_room(self, unit: SchedulingUnit) -> bool:
        need = unit.step.reserved
        hosts = self._services.get(unit.service, [])
        suitable = others = 0
        for host in hosts:
            self._room_hosts_left -= 1
            free = self._free[host.name]
            if not free.covers(need):
                continue
            if meets_requirements(unit, host):
                suitable += count_fitting(unit, host, free)
            else:
                others += count_fitting(unit, host, free)
            if suitable >= unit.min_tasks:
                return True
        if suitable + others < unit.min_tasks:
            return False
        return not could_hold(unit._replace(takes_any_host=True), hosts)

    def explain(self, unit: SchedulingUnit) -> Wait | None:
        """Return why ``unit`` waits; ``None`` beyond the bound of a call."""
        key = (_requirements(unit), _preferences(unit, self._view))
        if key not in self._explained:
            hosts = self._services[unit.service]
            if self._explained_hosts_left < len(hosts):
                return None
            self._explained_hosts_left -= len(hosts)
            self._explained[key] = self._explain(unit, hosts)
        reason, counts = self._explained[key]
        return Wait(
            *unit.tasks[0][:3],
            len(unit.tasks),
            unit.waiting_seconds,
            reason,
            counts,
            unit.last_attempt,
            unit.failed_seconds,
            unit,
        )

    def _explain(
        self, unit: SchedulingUnit, hosts: list[Host]
    ) -> tuple[str, HostCounts]:
        suitable = _Room(unit)
        for host in hosts:
            if meets_requirements(unit, host):
                suitable.add(host, count_fitting(unit, host, self._free[host.name]))
        max_failures = 1 if unit.last_attempt else MAX_RECENT_FAILURES
        doubt_ages = []
        for host in suitable.hosts:
            if host.recent_failures >= max_failures:
                doubt_ages.append(host.doubt_age)
        counts = HostCounts(
            len(hosts),
            sum(host.is_open for host in hosts),
            len(suitable.hosts),
            sum(host.is_reserved for host in suitable.hosts),
            len(doubt_ages),
            min(doubt_ages, default=None),
            sum(_is_proven(unit, host) for host in suitable.hosts),
            suitable.total,
            suitable.in_rack,
        )
        return self._reason(unit, hosts, suitable), counts

    def _reason(
        self, unit: SchedulingUnit, hosts: list[Host], suitable: "_Room"
    ) -> str:
        if unit.returning:
            return RUNS_END
        if self._view.is_gathering:
            return AGENTS_REPORT
        if suitable.total < unit.min_tasks:
            return _unmet_requirement(unit, hosts)
        if not due_tasks(unit, self._view).tasks:
            return WAVES
        if not suitable.holds_unit:
            return NO_RACK
        unreserved = suitable.where(lambda host: not host.is_reserved)
        if not unreserved.holds_unit:
            return UPKEEP
        if not unreserved.where(lambda host: _is_apart(unit, host)).holds_unit:
            return CRASHES
        if not could_hold(unit, suitable.hosts):
            unit = unit._replace(only_doubtful=True)
        eligible = unreserved.where(lambda host: is_eligible(unit, host))
        if not eligible.holds_unit:
            return DOUBT
        prefers_proof = unit.last_attempt and unit.failed_before
        proven = eligible.where(lambda host: _is_proven(unit, host))
        if prefers_proof and not unit.guaranteed and not proven.holds_unit:
            return PROOF
        return HELD


class _Room:
    """How many tasks of a unit fit on each of some hosts."""

    def __init__(self, unit: SchedulingUnit) -> None:
        self._unit = unit
        self._fitting: list[int] = []
        self._racks: dict[str, int] = {}
        self.hosts: list[Host] = []
        self.total = 0

    def add(self, host: Host, fitting: int) -> None:
        """Add a host on which ``fitting`` tasks fit."""
        self.hosts.append(host)
        self._fitting.append(fitting)
        self._racks[host.rack] = self._racks.get(host.rack, 0) + fitting
        self.total += fitting

    def where(self, condition: Callable[[Host], bool]) -> "_Room":
        """Return the room on the hosts that meet a condition."""
        if all(condition(host) for host in self.hosts):
            return self
        found = _Room(self._unit)
        for host, fitting in zip(self.hosts, self._fitting, strict=True):
            if condition(host):
                found.add(host, fitting)
        return found

    @property
    def in_rack(self) -> int:
        """Tasks that fit in the rack with most room."""
        return max(self._racks.values(), default=0)

    @property
    def holds_unit(self) -> bool:
        """Whether the unit fits, in one rack if it asks for that."""
        fitting = self.in_rack if self._unit.step.same_rack else self.total
        return fitting >= self._unit.min_tasks


def _free(host: Host) -> Resources:
    """Return what the runs on ``host`` leave free."""
    cpu_millis, memory_mb, gpus = host.capacity
    for run in host.running:
        need = run.need
        cpu_millis -= need.cpu_millis
        memory_mb -= need.memory_mb
        gpus -= need.gpus
    return Resources(cpu_millis, memory_mb, gpus)


def _is_proven(unit: SchedulingUnit, host: Host) -> bool:
    return host.is_proven and host.name not in unit.avoided_hosts


def _is_apart(unit: SchedulingUnit, host: Host) -> bool:
    """Return whether ``host`` is open to ``unit`` as to crashes of workers."""
    return not host.has_suspect and not (unit.needs_empty_host and host.running)


def _requirements(unit: SchedulingUnit) -> tuple:
    """Return all that decides whether a service has room for ``unit``."""
    step = unit.step
    key = (unit.service, step.reserved, step.label, unit.min_tasks, unit.paused_hosts)
    if unit.tickets is None and not step.per_worker:
        return key
    tickets = frozenset(unit.tickets) if unit.tickets is not None else None
    placed = frozenset(unit.placed_per_host.items()) if step.per_worker else None
    return (*key, step.per_worker, tickets, placed)


def _preferences(unit: SchedulingUnit, view: SchedulingView) -> tuple:
    """Return all that decides the reason of a wait beside the requirements."""
    is_due = bool(due_tasks(unit, view).tasks)
    attempts = (unit.last_attempt, unit.failed_before, unit.guaranteed)
    sizes = (len(unit.tasks), unit.step.same_rack, unit.needs_empty_host)
    return (unit.returning, is_due, attempts, unit.avoided_hosts, sizes)


def _unmet_requirement(unit: SchedulingUnit, hosts: list[Host]) -> str:
    """Return which requirement leaves too few hosts for ``unit``, even empty ones."""
    unit = unit._replace(takes_any_host=True)
    unpaused = unit._replace(paused_hosts=frozenset())
    if unit.paused_hosts and could_hold(unpaused, hosts):
        return STARTS_REFUSED
    unit = unpaused
    anywhere = unit._replace(step=unit.step._replace(label=""), tickets=None)
    if not could_hold(anywhere, hosts):
        return HOSTS_CLOSED
    if not could_hold(unit._replace(tickets=None), hosts):
        return LABEL
    return NO_TICKET
