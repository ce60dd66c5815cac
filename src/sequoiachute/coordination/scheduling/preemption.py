"""Selects the runs to stop for urgent work so that the least work is lost.

A stopped run loses the work since its last checkpoint; stopping one member of a
gang loses that of all members.
"""

from typing import NamedTuple

from sequoiachute.coordination.scheduling.capacity import (
    REMOTE_SLOWDOWN,
    FreeCapacity,
    GangKey,
    cautious_slowdown,
    core_seconds,
    is_eligible,
    lost_work,
    slowdown,
)
from sequoiachute.coordination.scheduling.layout import group_by_rack
from sequoiachute.coordination.scheduling.model import (
    URGENT_PRIORITY,
    ActiveRun,
    Host,
    RunStop,
    SchedulingUnit,
)
from sequoiachute.protocol.workload import Resources

STOP_SECONDS = 0.8  # duration of a stop; a run that ends sooner is left to end
MAX_LOSS_RATIO = 1.0  # core-seconds lost per core-second of the preempting unit
# Least time of one task or gang of the preempting unit in that ratio; declared times
# are often far too short.
MIN_TASK_SECONDS = 5.0
# Times that an urgent run could be done again before its deadline, for it to be stopped
# for tighter work.
SPARE_RUNS = 2.0
LATE_RUN_SECONDS = 60.0  # of an urgent victim that a stop makes late, in its cost
PREEMPTED = "preempted"  # the reason of a stop, before " for "
# A task that has been stopped so often is stopped for guaranteed work only, so that
# every job gets on.
MAX_PREEMPTIONS = 2


class PreemptionPlan(NamedTuple):
    """Hosts with the number of tasks that fit once ``stops`` are done.

    ``lost_work`` is the work thrown away, in core-seconds, ``cost`` that of all tasks'
    options.
    """

    hosts: tuple[tuple[Host, int], ...]
    stops: tuple[RunStop, ...]
    lost_work: float
    cost: float


class _Option(NamedTuple):
    """The cost of one more task on a host.

    ``cost`` is ``lost_work``, the core-seconds thrown away by stopping ``victims``,
    plus the core-seconds that the task wastes if the host is slow, and those that
    urgent victims are counted for.
    """

    cost: float
    lost_work: float
    victims: tuple[ActiveRun, ...]


def plan_preemption(
    unit: SchedulingUnit,
    capacity: FreeCapacity,
    all_or_nothing: bool,
    max_slowdown: float = float("inf"),
    max_loss_ratio: float = MAX_LOSS_RATIO,
    *,
    now: float,
) -> PreemptionPlan | None:
    """Return the plan for the unit's tasks that loses least, found greedily.

    Parameters
    ----------
    unit : SchedulingUnit
        The tasks to make capacity for.
    capacity : FreeCapacity
        What is free now; it is not changed.
    all_or_nothing : bool
        Whether the plan must hold all tasks.
    max_slowdown : float
        Hosts that may be slower are not considered.
    max_loss_ratio : float
        Work that may be lost as a multiple of the unit's own work.
    now : float
        Time in seconds, on the scale of ``SchedulingUnit.deadline``.

    Returns
    -------
    PreemptionPlan or None
        ``None`` if no task can be made to fit.
    """
    hosts = []
    for host in capacity.hosts.values():
        if not is_eligible(unit, host):
            continue
        if cautious_slowdown(unit.step, host) <= max_slowdown:
            hosts.append(host)
    best = None
    for group in group_by_rack(hosts) if unit.step.same_rack else [hosts]:
        search = _PreemptionSearch(unit, capacity, group, max_loss_ratio, now)
        plan = search.run(all_or_nothing)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    if best is not None or not unit.may_split:
        return best
    hosts = [
        host
        for host in hosts
        if REMOTE_SLOWDOWN * cautious_slowdown(unit.step, host) <= max_slowdown
    ]
    search = _PreemptionSearch(unit, capacity, hosts, max_loss_ratio, now)
    return search.run(all_or_nothing)


class _PreemptionSearch:
    """Adds the unit's tasks one by one, each where it costs least."""

    def __init__(
        self,
        unit: SchedulingUnit,
        capacity: FreeCapacity,
        hosts: list[Host],
        max_loss_ratio: float,
        now: float,
    ) -> None:
        self._unit = unit
        self._now = now
        self._max_loss_ratio = max_loss_ratio
        self._hosts = hosts
        self._capacity = capacity
        self._stopped_gangs: set[GangKey] = set()
        self._free = {host.name: capacity.free(host) for host in hosts}
        self._victims = {host.name: self._stoppable_runs(host) for host in hosts}
        self._counts: dict[str, int] = {}
        self._options: dict[str, _Option | None] = {}
        self._stops: list[RunStop] = []
        self._lost_work = self._cost = 0.0
        seconds = unit.step.estimate_seconds
        self._task_work = core_seconds(unit.step.need, seconds)

    def run(self, all_or_nothing: bool) -> PreemptionPlan | None:
        task_count = len(self._unit.tasks)
        for number in range(task_count):
            if not self._add_task(number + 1):
                if all_or_nothing or not self._counts:
                    return None
                break
        by_name = {host.name: host for host in self._hosts}
        hosts = tuple((by_name[name], count) for name, count in self._counts.items())
        return PreemptionPlan(hosts, tuple(self._stops), self._lost_work, self._cost)

    def _stoppable_runs(self, host: Host) -> list[ActiveRun]:
        found = [run for run in host.running if self._may_stop(run, host)]
        found.sort(key=lambda run: (self._urgent_work(run, host), self._loss_of(run)))
        return found

    def _may_stop(self, run: ActiveRun, host: Host) -> bool:
        if run.stopping:
            return True
        if run.lasting and run.task not in self._capacity.interruptible:
            return False
        if self._unit.guaranteed:
            return not run.guaranteed
        if run.lasting:
            return False
        if run.suspected:
            return False
        if run.preemptions >= MAX_PREEMPTIONS:
            return False
        if run.task.job_id == self._unit.tasks[0].job_id:
            return False
        if run.priority > self._unit.priority:
            return True
        if not self._is_pressed or run.guaranteed:
            return False
        return self._has_spare_time(run, host)

    @property
    def _is_pressed(self) -> bool:
        unit = self._unit
        time_left = unit.deadline - self._now
        return unit.is_tight and time_left < SPARE_RUNS * unit.chain_seconds

    def _has_spare_time(self, run: ActiveRun, host: Host) -> bool:
        """Return whether an urgent run would be in time if it began anew later.

        A wide step has the time of all the waves in which it may run. Where progress
        shows less work than declared, the deadline is as much nearer.
        """
        if run.gang:
            return False
        declared = work = max(run.step.estimate_seconds, 0.1)
        seconds = declared * slowdown(run.step, host)
        if run.measured:
            seconds = run.remaining_seconds / max(0.01, 1 - run.percent / 100)
            work = seconds / slowdown(run.step, host)
        window = (run.deadline - run.accepted_at) * min(1.0, work / declared)
        time_left = run.accepted_at + window - self._now - run.downstream_seconds
        return time_left >= SPARE_RUNS * seconds

    def _urgent_work(self, run: ActiveRun, host: Host) -> float:
        """Return the core-seconds that an urgent run counts for beside its loss."""
        is_urgent = run.priority == URGENT_PRIORITY and not run.stopping
        if not is_urgent or self._ends_soon(run):
            return 0.0
        is_safe = self._has_spare_time(run, host)
        seconds = MIN_TASK_SECONDS if is_safe else LATE_RUN_SECONDS
        return core_seconds(run.need, seconds)

    def _loss_of(self, run: ActiveRun) -> float:
        if run.stopping or self._ends_soon(run):
            return 0.0
        if not run.gang:
            return lost_work(run)
        key = run.task[:3]
        return (
            0.0 if key in self._stopped_gangs else self._capacity.gangs[key].lost_work
        )

    def _ends_soon(self, run: ActiveRun) -> bool:
        """Return whether the run should end as soon as a stop would take effect."""
        if run.lasting:
            return False
        remaining_seconds, measured = self._capacity.end_of(run)
        return measured and remaining_seconds <= STOP_SECONDS

    def _add_task(self, number: int) -> bool:
        best_host, best = None, None
        for host in self._hosts:
            if host.name not in self._options:
                self._options[host.name] = self._option(host)
            option = self._options[host.name]
            if option is not None and (best is None or option.cost < best.cost):
                best_host, best = host, option
        if best_host is None or best is None:
            return False
        # What has been stopped already is waited for whatever it has cost.
        if best.lost_work and self._lost_work + best.lost_work > self._budget(number):
            return False
        self._accept(best_host, best)
        return True

    def _budget(self, number: int) -> float:
        """Return the core-seconds that may be lost for the first ``number`` tasks.

        What the step has cost others in earlier rounds counts against it.
        """
        unit = self._unit
        count = len(unit.tasks) if unit.step.gang else unit.running + number
        least_work = core_seconds(unit.step.need, MIN_TASK_SECONDS)
        if unit.step.gang:
            least_work *= count
        work = max(least_work, self._task_work * count)
        return self._max_loss_ratio * work - unit.charged_work

    def _option(self, host: Host) -> _Option | None:
        step = self._unit.step
        placed = self._counts.get(host.name, 0)
        placed += self._unit.placed_per_host.get(host.name, 0)
        if step.per_worker and placed >= step.per_worker:
            return None
        free = self._free[host.name]
        victims = []
        lost_work = late_work = 0.0
        for run in self._victims[host.name]:
            if free.covers(step.reserved):
                break
            if not _relieves_shortage(free, step.reserved, run.need):
                continue
            victims.append(run)
            lost_work += self._loss_of(run)
            late_work += self._urgent_work(run, host)
            free = free.plus(run.need)
        if not free.covers(step.reserved):
            return None
        slowness_cost = max(0.0, slowdown(step, host) - 1.0) * self._task_work
        cost = lost_work + late_work + slowness_cost
        return _Option(cost, lost_work, tuple(victims))

    def _accept(self, host: Host, option: _Option) -> None:
        self._options.pop(host.name, None)
        free = self._free[host.name]
        for run in option.victims:
            self._victims[host.name].remove(run)
            free = free.plus(run.need)
            if run.stopping or self._ends_soon(run):
                continue
            self._stops.append(self._stop(run, host))
            if run.gang:
                # Stopping the gang's other members costs nothing more on any host.
                self._stopped_gangs.add(run.task[:3])
                self._options.clear()
        self._free[host.name] = free.minus(self._unit.step.reserved)
        self._counts[host.name] = self._counts.get(host.name, 0) + 1
        self._lost_work += option.lost_work
        self._cost += option.cost

    def _stop(self, run: ActiveRun, host: Host) -> RunStop:
        beneficiary = self._unit.tasks[0]
        return RunStop(
            run.task,
            run.run,
            host.name,
            f"{PREEMPTED} for {beneficiary.job_id}",
            beneficiary=beneficiary[:3],
            lost_work=self._loss_of(run),
        )


def _relieves_shortage(free: Resources, need: Resources, gain: Resources) -> bool:
    """Return whether ``gain`` adds to a resource of which ``free`` has too little."""
    for available, needed, gained in zip(free, need, gain, strict=True):
        if available < needed and gained > 0:
            return True
    return False
