"""Tracks the free capacity of hosts during a decision."""

from collections.abc import Iterable
from math import ceil, exp
from typing import NamedTuple

from sequoiachute.coordination.scheduling.model import ActiveRun, Host, SchedulingUnit
from sequoiachute.protocol.workload import Resources, StepSpec, TaskId

REMOTE_SLOWDOWN = 3.0  # for data in another rack or a split gang; the site's far_x
GPU_CORES = 8  # cores that one accelerator counts as
MAX_RECENT_FAILURES = 2  # without a success since; such a host gets no tasks
AT_WORK_PERCENT = 100  # of a lasting task that serves
MAX_TASKS_PER_HOST = 1_000_000  # more than any host takes
MIN_PROBE_DELAY_SECONDS = 1.5  # after a failure, where there is no other host

GangKey = tuple[str, int, int]  # job ID, occurrence and step


def core_seconds(need: Resources, seconds: float) -> float:
    """Return work in core-seconds; an accelerator counts as ``GPU_CORES`` cores."""
    return (need.cpu_millis / 1000 + GPU_CORES * need.gpus) * seconds


def lost_work(run: ActiveRun) -> float:
    """Return the work in core-seconds that is lost if ``run`` is stopped."""
    return core_seconds(run.need, run.unsaved_seconds)


class Gang(NamedTuple):
    """What holds for all members of a running gang.

    ``lost_work`` is lost if the gang is stopped, in core-seconds. Its members end
    together, in ``remaining_seconds``, which is ``measured`` if all members' are.
    """

    lost_work: float
    remaining_seconds: float
    measured: bool


def _running_gangs(hosts: Iterable[Host]) -> dict[GangKey, Gang]:
    gangs: dict[GangKey, Gang] = {}
    for host in hosts:
        for run in host.running:
            if not run.gang:
                continue
            key = run.task[:3]
            others = gangs.get(key, Gang(0.0, 0.0, True))
            gangs[key] = Gang(
                others.lost_work + lost_work(run),
                max(others.remaining_seconds, run.remaining_seconds),
                others.measured and run.measured,
            )
    return gangs


def _interruptible_tasks(hosts: Iterable[Host]) -> frozenset[TaskId]:
    by_step: dict[GangKey, list[ActiveRun]] = {}
    for host in hosts:
        for run in host.running:
            if run.lasting:
                by_step.setdefault(run.task[:3], []).append(run)
    found: set[TaskId] = set()
    for runs in by_step.values():
        step = runs[0].step
        at_work = []
        for run in runs:
            if run.percent >= AT_WORK_PERCENT and not run.stopping:
                at_work.append(run.task)
            else:
                found.add(run.task)
        allowance = len(at_work)
        if step.max_unavailable:
            away = step.count - len(at_work)
            allowance = max(0, step.max_unavailable - away)
        found.update(sorted(at_work)[:allowance])
    return frozenset(found)


class FreeCapacity:
    """The free resources of each host, updated as a decision is made.

    Parameters
    ----------
    hosts : tuple of Host
        Hosts with the runs that occupy them.
    """

    def __init__(self, hosts: tuple[Host, ...]) -> None:
        self._hosts = {host.name: host for host in hosts}
        self._free: dict[str, Resources] = {}
        self._soft_holds: list[tuple[Host, Resources]] = []
        self._gangs: dict[GangKey, Gang] | None = None
        self._interruptible: frozenset[TaskId] | None = None
        self._service_totals: dict[str, Resources] = {}
        self._service_free: dict[str, Resources] = {}
        for host in hosts:
            free = host.capacity
            for run in host.running:
                free = free.minus(run.need)
            self._free[host.name] = free
            if host.leaving_seconds is None:
                total = self._service_totals.get(host.service, Resources())
                self._service_totals[host.service] = total.plus(host.capacity)
                self._add_service_free(host, free)

    @property
    def hosts(self) -> dict[str, Host]:
        """Every host by name."""
        return self._hosts

    def fitting_hosts(self, unit: SchedulingUnit) -> list[Host]:
        """Return the hosts on which a task of ``unit`` fits now."""
        need = unit.step.reserved
        found = []
        for name, free in self._free.items():
            host = self._hosts[name]
            if unit.needs_empty_host and free != host.capacity:
                continue
            if free.covers(need):
                found.append(host)
        return found

    @property
    def gangs(self) -> dict[GangKey, Gang]:
        """The running gangs."""
        if self._gangs is None:
            self._gangs = _running_gangs(self._hosts.values())
        return self._gangs

    @property
    def interruptible(self) -> frozenset[TaskId]:
        """The lasting tasks that may be stopped, all of them together.

        No more of a step than its ``max_unavailable`` are away then.
        """
        if self._interruptible is None:
            self._interruptible = _interruptible_tasks(self._hosts.values())
        return self._interruptible

    def end_of(self, run: ActiveRun) -> tuple[float, bool]:
        """Return the seconds until ``run`` ends, and whether they are measured."""
        if not run.gang:
            return run.remaining_seconds, run.measured
        gang = self.gangs[run.task[:3]]
        return gang.remaining_seconds, gang.measured

    def free(self, host: Host) -> Resources:
        """Return the free resources of ``host``."""
        return self._free[host.name]

    def allocate(self, host: Host, need: Resources) -> None:
        """Subtract ``need`` from the free resources of ``host``."""
        self._free[host.name] = self._free[host.name].minus(need)
        self._add_service_free(host, Resources().minus(need))

    def close(self, host: Host) -> None:
        """Leave nothing of ``host`` free."""
        self.allocate(host, self._free[host.name])

    def hold(self, host: Host, need: Resources, count: int, is_firm: bool) -> None:
        """Withhold ``count`` times ``need`` on ``host`` from later work.

        ``end_soft_holds`` leaves what is ``is_firm`` withheld.
        """
        for _ in range(count):
            self.allocate(host, need)
            if not is_firm:
                self._soft_holds.append((host, need))

    def end_soft_holds(self) -> None:
        """Make the capacity that is withheld, but not firmly, free again."""
        for host, need in self._soft_holds:
            self.release(host, need)
        self._soft_holds.clear()

    def release(self, host: Host, need: Resources) -> None:
        """Add ``need`` to the free resources of ``host``."""
        self._free[host.name] = self._free[host.name].plus(need)
        self._add_service_free(host, need)

    def is_half_idle(self, service: str) -> bool:
        """Return whether less than half of a service is in use.

        Use is measured in cores, an accelerator counts as ``GPU_CORES``; leaving
        workers don't count.
        """
        return self._idle_beyond_half(service) > 0

    def count_until_half_used(self, unit: SchedulingUnit) -> int:
        """Return how many tasks of ``unit`` may start until its service is half used.

        The last one may go beyond the half.
        """
        idle = self._idle_beyond_half(unit.service)
        cores = core_seconds(unit.step.reserved, 1.0)
        return len(unit.tasks) if not cores else max(0, ceil(idle / cores))

    def _idle_beyond_half(self, service: str) -> float:
        """Return the cores that are free beyond half of those of a service."""
        total = self._service_totals.get(service, Resources())
        free = self._service_free.get(service, Resources())
        return core_seconds(free, 1.0) - core_seconds(total, 1.0) / 2

    def _add_service_free(self, host: Host, change: Resources) -> None:
        if host.leaving_seconds is None:
            free = self._service_free.get(host.service, Resources())
            self._service_free[host.service] = free.plus(change)


def meets_requirements(unit: SchedulingUnit, host: Host) -> bool:
    """Return whether tasks of ``unit`` can run on ``host`` when it is empty."""
    step = unit.step
    if not host.is_open or host.service != unit.service:
        return False
    if host.name in unit.paused_hosts:
        return False
    if step.label and step.label not in host.labels:
        return False
    if unit.tickets is not None and host.lifetime.worker_id not in unit.tickets:
        return False
    return host.capacity.covers(step.reserved)


def is_eligible(unit: SchedulingUnit, host: Host) -> bool:
    """Return whether tasks of ``unit`` may run on ``host`` when it is empty.

    Beside what the tasks require, this takes into account how sound the host is and
    what it is reserved for.
    """
    if not meets_requirements(unit, host):
        return False
    if unit.needs_untried and host.name in unit.tried_hosts:
        return False
    if unit.suspected and host.has_suspect:
        # The next crash would not tell which of them is the cause.
        return False
    if unit.takes_any_host:
        return True
    if host.is_reserved or host.has_suspect:
        return False
    if unit.needs_empty_host and host.running:
        return False
    if unit.needs_proof and (not host.is_proven or host.name in unit.avoided_hosts):
        return False
    max_failures = 1 if unit.last_attempt else MAX_RECENT_FAILURES
    if host.recent_failures < max_failures:
        return True
    may_probe = host.doubt_age >= MIN_PROBE_DELAY_SECONDS or unit.is_overdue
    return unit.only_doubtful and may_probe


def count_fitting(unit: SchedulingUnit, host: Host, free: Resources) -> int:
    """Return how many more tasks of ``unit`` fit in the ``free`` part of ``host``."""
    return min(len(unit.tasks), _count_room(unit, host, free))


def _count_room(unit: SchedulingUnit, host: Host, free: Resources) -> int:
    """Return for how many tasks like those of ``unit`` there is room on ``host``."""
    step = unit.step
    fitting = MAX_TASKS_PER_HOST
    if step.per_worker:
        placed = unit.placed_per_host.get(host.name, 0)
        fitting = min(fitting, step.per_worker - placed)
    for available, needed in zip(free, step.reserved, strict=True):
        if available < 0:
            return 0
        if needed > 0:
            fitting = min(fitting, available // needed)
    return max(0, fitting)


def count_room_now(unit: SchedulingUnit, capacity: FreeCapacity) -> int:
    """Return for how many tasks like those of ``unit`` its hosts have room."""
    count = 0
    for host in capacity.hosts.values():
        if is_eligible(unit, host):
            count += _count_room(unit, host, capacity.free(host))
    return count


def has_room(unit: SchedulingUnit, capacity: FreeCapacity) -> bool:
    """Return whether ``unit`` fits now on the hosts that it may run on.

    Of tasks that are placed independently one must fit; racks are not considered.
    """
    count = 0
    for host in capacity.fitting_hosts(unit):
        if is_eligible(unit, host):
            count += count_fitting(unit, host, capacity.free(host))
        if count >= unit.min_tasks:
            return True
    return False


def could_hold(unit: SchedulingUnit, hosts: Iterable[Host]) -> bool:
    """Return whether the hosts that ``unit`` may run on would hold it if empty.

    Of tasks that are placed independently they must hold one.
    """
    count = 0
    for host in hosts:
        if is_eligible(unit, host):
            count += count_fitting(unit, host, host.capacity)
        if count >= unit.min_tasks:
            return True
    return False


def slowdown(step: StepSpec, host: Host) -> float:
    """Return the run time of a task on ``host`` as a multiple of its estimate."""
    is_remote = step.data_rack and step.data_rack != host.rack
    return (REMOTE_SLOWDOWN if is_remote else 1.0) / max(host.speed, 0.05)


def cautious_slowdown(step: StepSpec, host: Host) -> float:
    """Return the slowdown on ``host`` if its speed is overrated by a standard error."""
    return slowdown(step, host) * exp(host.speed_error)
