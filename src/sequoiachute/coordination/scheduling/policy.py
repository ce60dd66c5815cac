"""Orders pending work by urgency, places it, and preempts for urgent work.

Designed for overloaded sites where gangs that take whole workers compete with
many small tasks.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from math import log2

from sequoiachute.coordination.scheduling.capacity import (
    REMOTE_SLOWDOWN,
    FreeCapacity,
    GangKey,
    cautious_slowdown,
    count_fitting,
    count_room_now,
    is_eligible,
    slowdown,
)
from sequoiachute.coordination.scheduling.layout import (
    Layout,
    best_layout,
    could_one_rack_hold,
    group_by_rack,
    layout_slowdown,
    rack_wait_seconds,
)
from sequoiachute.coordination.scheduling.migration import select_migrations
from sequoiachute.coordination.scheduling.model import (
    URGENT_PRIORITY,
    Host,
    RunStop,
    SchedulingDecision,
    SchedulingUnit,
    SchedulingView,
    TaskPlacement,
)
from sequoiachute.coordination.scheduling.preemption import (
    MAX_LOSS_RATIO,
    PreemptionPlan,
    plan_preemption,
)
from sequoiachute.coordination.scheduling.preferences import (
    due_tasks,
    with_preferences,
    with_untried_hosts,
)
from sequoiachute.protocol.workload import StepSpec, TaskId

EXPIRY_FACTOR = 3.0  # a job later than this multiple of its objective earns nothing
# Hosts that the searches of one round examine at most; a search examines all.
MAX_SEARCHED_HOSTS = 2680
# Least time that an objective is taken for; a job declared at a fraction of a second
# may need some seconds.
MIN_WINDOW_SECONDS = 5.0
UNBOUNDED_COUNT = 1_000_000  # more tasks than any unit has
NO_LIMIT = float("inf")
PREEMPTION_SECONDS = 0.5  # to stop the victims and record the start
# Of the stretch of an objective, for the slowdown of a job that may be in time.
PLAUSIBLE_STRETCH_SHARE = 0.8
LEAVING_MARGIN_SECONDS = 0.5  # beyond the time that a leaving worker announces
SAVING_SECONDS = 1.5  # to order a stop and let it save a checkpoint
LATE_LOSS_RATIO = 0.25  # of work lost for work that is late anyway, which earns less
# Of work lost for a host that is surely in time, where another may be.
CERTAINTY_LOSS_RATIO = 0.25


def decide(view: SchedulingView) -> SchedulingDecision:
    """Return which tasks to start and which runs to stop now."""
    return _Round(view).run()


def urgency_key(unit: SchedulingUnit, now: float) -> tuple[int, int, bool, float]:
    """Return the sort key of ``unit``; the smallest is served first.

    Guaranteed work goes first, then urgent work, then the rest; expired urgent
    work ranks below the rest, and other expired work last. Ties are broken by
    priority, then by the latest time at which the unit can start and still
    meet its deadline. Urgent work that is late by its declared time comes behind
    other urgent work.
    """
    if unit.guaranteed:
        rank = 0
    elif unit.priority == URGENT_PRIORITY:
        rank = 1
    else:
        rank = 2
    if is_expired(unit, now):
        rank += 2
    window = unit.deadline - unit.accepted_at
    is_late = now > unit.accepted_at + EXPIRY_FACTOR * window - unit.chain_seconds
    return (rank, unit.priority, is_late, unit.deadline - unit.chain_seconds)


def is_expired(unit: SchedulingUnit, now: float) -> bool:
    """Return whether the job would end too late to earn anything.

    Guaranteed work never expires.
    """
    window = max(unit.deadline - unit.accepted_at, MIN_WINDOW_SECONDS)
    latest_start = unit.accepted_at + EXPIRY_FACTOR * window - unit.chain_seconds
    return now > latest_start and not unit.guaranteed


def _fit_key(unit: SchedulingUnit) -> tuple:
    """Return all that decides where ``unit`` fits except its number of tasks."""
    step = unit.step
    requirements = (unit.service, step.reserved, step.label, step.per_worker)
    constraints = (step.gang, step.same_rack, unit.last_attempt, unit.guaranteed)
    preferences = (unit.only_doubtful, unit.takes_any_host, unit.may_split)
    suspicion = (unit.suspected, unit.needs_empty_host)
    proof = unit.avoided_hosts if unit.needs_proof else None
    untried = unit.tried_hosts if unit.needs_untried else None
    tickets = frozenset(unit.tickets) if unit.tickets is not None else None
    placed = frozenset(unit.placed_per_host.items()) if step.per_worker else None
    key = (unit.priority, requirements, constraints, preferences, proof, placed)
    key = (*key, untried, tickets, unit.paused_hosts, suspicion)
    if unit.priority != URGENT_PRIORITY:
        return key
    # What urgent work may stop depends on its declared work and on what it has cost.
    work_class = round(log2(max(step.estimate_seconds, 0.1)))
    return (*key, work_class, unit.waves, bool(unit.charged_work))


def _without_placed(
    unit: SchedulingUnit, layout: Iterable[tuple[Host, int]]
) -> SchedulingUnit:
    """Return the unit without its first tasks, which go to the hosts of ``layout``."""
    placed_per_host = dict(unit.placed_per_host)
    placed = 0
    for host, count in layout:
        placed += count
        placed_per_host[host.name] = placed_per_host.get(host.name, 0) + count
    return unit._replace(
        tasks=unit.tasks[placed:],
        placed_per_host=placed_per_host,
        running=unit.running + placed,
    )


class _Round:
    """Computes one decision; capacity only shrinks while it does."""

    def __init__(self, view: SchedulingView) -> None:
        self._view = view
        self._capacity = FreeCapacity(view.hosts)
        self._placements: list[TaskPlacement] = []
        self._stops: list[RunStop] = []
        # In this round, by step.
        self._charged_work: dict[GangKey, float] = {}
        self._placed: dict[GangKey, Counter[str]] = {}
        # Fewest tasks that did not fit, by fit key. Free capacity only shrinks
        # in a round, so as many or more need not be tried again.
        self._smallest_misfit: dict[tuple, int] = {}
        self._searches_left = MAX_SEARCHED_HOSTS // max(1, len(view.hosts))
        self._rack_searches_left = self._searches_left
        self._is_truncated = False

    def run(self) -> SchedulingDecision:
        """Return the decision for all units, in order of urgency."""
        for host in self._view.hosts:
            self._drain_leaving(host)
        ordered = sorted(self._view.units, key=lambda u: urgency_key(u, self._view.now))
        others = []
        for unit in ordered:
            if self._is_urgent(unit):
                self._schedule_due(unit)
            else:
                others.append(unit)
        # Late urgent runs get a better host before lesser work takes it.
        self._migrate(urgent=True)
        for unit in others:
            if not self._view.is_gathering:
                self._schedule_due(unit)
        self._migrate(urgent=False)
        if any(unit.is_overdue for unit in ordered):
            self._place_held(ordered)
        stops = tuple(self._stops)
        return SchedulingDecision(tuple(self._placements), stops, self._is_truncated)

    def _is_urgent(self, unit: SchedulingUnit) -> bool:
        is_late = is_expired(unit, self._view.now)
        return unit.priority == URGENT_PRIORITY and not is_late

    def _schedule_due(self, unit: SchedulingUnit) -> None:
        unit = self._with_split(self._with_round(unit))
        if unit.is_overdue and not unit.returning:
            unit = self._place_overdue(unit)
        unit = due_tasks(unit, self._view)
        if unit.tasks:
            self._schedule(with_preferences(unit, self._view, self._capacity))

    def _place_overdue(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Place what has waited long enough beside idle capacity on any hosts.

        Return the unit with the remaining tasks.
        """
        anywhere = unit._replace(takes_any_host=True)
        fit_key = _fit_key(anywhere)
        if self._smallest_misfit.get(fit_key, UNBOUNDED_COUNT) <= unit.min_tasks:
            return unit
        count = self._capacity.count_until_half_used(unit)
        if not count and not unit.step.lasting:
            return unit
        fitting = count_room_now(anywhere, self._capacity)
        fits_twice = fitting >= 2 * unit.min_tasks
        if unit.step.lasting and not fits_twice:
            return unit
        if fits_twice:
            anywhere = anywhere._replace(may_split=True)
        count = len(unit.tasks) if unit.step.gang else max(1, count)
        anywhere = with_untried_hosts(anywhere, self._view.now, self._capacity)
        anywhere = anywhere._replace(tasks=unit.tasks[:count])
        placed = self._place_fitting(anywhere)
        while placed.may_split and len(placed.tasks) < len(anywhere.tasks):
            # Tasks that are placed independently take one rack after the other.
            anywhere, placed = placed, self._place_fitting(placed)
        placed_count = min(count, len(unit.tasks)) - len(placed.tasks)
        if not placed_count:
            self._smallest_misfit[fit_key] = unit.min_tasks
        return placed._replace(
            tasks=unit.tasks[placed_count:],
            takes_any_host=False,
            needs_untried=False,
            may_split=unit.may_split,
        )

    def _place_held(self, ordered: list[SchedulingUnit]) -> None:
        """Let overdue units use what is held for work that only waits.

        What is held for guaranteed work, for the stops and for the moves of this round
        stays held.
        """
        self._capacity.end_soft_holds()
        self._smallest_misfit.clear()
        placed = {placement.task for placement in self._placements}
        for unit in ordered:
            tasks = tuple(task for task in unit.tasks if task not in placed)
            has_stops = unit.tasks[0][:3] in self._charged_work
            if not tasks or has_stops or unit.returning or not unit.is_overdue:
                continue
            unit = self._with_round(unit._replace(tasks=tasks))
            self._place_overdue(self._with_split(unit))

    def _with_split(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Let a unit that prefers one rack run on several where that is better."""
        if not unit.step.same_rack:
            return unit
        if not could_one_rack_hold(unit, self._capacity):
            # While agents report, more racks may come.
            return unit._replace(may_split=not self._view.is_gathering)
        if not unit.is_overdue or not self._rack_searches_left:
            return unit
        self._rack_searches_left -= 1
        split_seconds = (REMOTE_SLOWDOWN - 1) * unit.step.estimate_seconds
        wait_seconds = rack_wait_seconds(unit, self._capacity)
        return unit._replace(may_split=wait_seconds > split_seconds)

    def _with_round(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Return the unit with the tasks of its step that this round has served."""
        placed = self._placed.get(unit.tasks[0][:3])
        if not placed:
            return unit
        return unit._replace(
            placed_per_host=dict(Counter(unit.placed_per_host) + placed),
            running=unit.running + placed.total(),
        )

    def _migrate(self, urgent: bool) -> None:
        stopped = {(stop.task, stop.run) for stop in self._stops}
        for stop in select_migrations(self._capacity, self._view.now, urgent):
            if (stop.task, stop.run) not in stopped:
                self._stops.append(stop)

    def _drain_leaving(self, host: Host) -> None:
        """Stop runs that would outlast a leaving worker where that helps.

        A stop saves the work of a run with checkpoints; it comes as late as possible,
        since the worker often stays longer than it announces. The work of other runs
        is lost either way: only urgent ones are stopped, to run elsewhere sooner, and
        gangs, whose other members would work on in vain.
        """
        if host.leaving_seconds is None:
            return
        stay = host.leaving_seconds + LEAVING_MARGIN_SECONDS
        for run in host.running:
            if run.stopping or self._capacity.end_of(run)[0] <= stay:
                continue
            if run.step.checkpoints:
                helps = host.leaving_seconds <= SAVING_SECONDS
            else:
                helps = run.gang or run.priority == URGENT_PRIORITY
            if helps:
                stop = RunStop(run.task, run.run, host.name, "its worker leaves")
                self._stops.append(stop)

    def _schedule(self, unit: SchedulingUnit) -> None:
        if unit.returning:
            self._hold_return(unit)
            return
        fit_key = _fit_key(unit)
        if self._smallest_misfit.get(fit_key, UNBOUNDED_COUNT) <= unit.min_tasks:
            return
        if not self._serve(unit):
            self._smallest_misfit[fit_key] = unit.min_tasks

    def _serve(self, unit: SchedulingUnit) -> bool:
        """Place what fits, preempt if urgent; return whether any task was served."""
        # Expired work is served last and must not preempt: its victims would be
        # placed again before it. Nothing is stopped for a task that may crash a worker.
        is_suspect = unit.suspected and not unit.guaranteed
        if is_suspect or unit.needs_empty_host:
            remaining = self._place_fitting(unit)
        elif unit.priority == URGENT_PRIORITY and not is_expired(unit, self._view.now):
            remaining = self._schedule_urgent(unit)
        else:
            remaining = self._place_fitting(unit)
        return len(remaining.tasks) < len(unit.tasks)

    def _schedule_urgent(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Place or preempt to meet the deadline, failing that to run late.

        Return the unit with the remaining tasks.
        """
        max_slowdown = self._max_slowdown(unit)
        max_loss_ratio = NO_LIMIT if unit.guaranteed else MAX_LOSS_RATIO
        remaining = self._place_fitting(unit, max_slowdown, cautious_slowdown)
        if self._view.is_gathering:
            # Agents that report in a moment may have free capacity.
            remaining = self._place_fitting(remaining, max_slowdown)
            if remaining.tasks and unit.step.gang:
                self._hold_part_of_gang(remaining, max_slowdown)
            return remaining
        remaining = self._preempt_for(remaining, CERTAINTY_LOSS_RATIO, max_slowdown)
        remaining = self._place_fitting(remaining, max_slowdown)
        remaining = self._preempt_for(remaining, max_loss_ratio, max_slowdown)
        remaining = self._place_fitting(remaining)
        if not unit.guaranteed:
            max_loss_ratio = LATE_LOSS_RATIO
        remaining = self._preempt_for(remaining, max_loss_ratio)
        if remaining.tasks:
            self._hold_awaited(remaining)
        return remaining

    def _place_fitting(
        self,
        unit: SchedulingUnit,
        max_slowdown: float = NO_LIMIT,
        estimate_slowdown: Callable[[StepSpec, Host], float] = slowdown,
    ) -> SchedulingUnit:
        """Place tasks in free capacity; return the unit with the remaining tasks."""
        count = len(unit.tasks)
        if not count:
            return unit
        now = self._view.now
        is_gang = unit.step.gang
        layout = best_layout(unit, self._capacity, count, now, is_gang)
        if layout is None:
            return unit
        if is_gang and layout_slowdown(unit, layout, estimate_slowdown) > max_slowdown:
            return unit
        layout = [
            (host, number)
            for host, number in layout
            if estimate_slowdown(unit.step, host) <= max_slowdown
        ]
        self._place(unit, layout)
        return _without_placed(unit, layout)

    def _preempt_for(
        self,
        unit: SchedulingUnit,
        max_loss_ratio: float,
        max_slowdown: float = NO_LIMIT,
    ) -> SchedulingUnit:
        """Preempt for the unit; return the unit with the remaining tasks."""
        if not unit.tasks:
            return unit
        plan = self._plan_preemption(unit, max_slowdown, max_loss_ratio)
        if plan is None:
            return unit
        self._preempt(unit, plan)
        return _without_placed(unit, plan.hosts)

    def _hold_awaited(self, unit: SchedulingUnit) -> None:
        """Hold the capacity that urgent work waits for.

        Anything placed there would be preempted again.
        """
        if not self._searches_left:
            self._hold_free(unit, self._capacity.hosts.values())
            return
        self._searches_left -= 1
        plan = plan_preemption(
            unit,
            self._capacity,
            unit.step.gang,
            max_loss_ratio=NO_LIMIT,
            now=self._view.now,
        )
        if plan is not None:
            for host, count in plan.hosts:
                self._hold(unit, host, count, is_firm=unit.guaranteed)

    def _hold_part_of_gang(self, unit: SchedulingUnit, max_slowdown: float) -> None:
        """Hold free capacity for a gang that does not fit while agents report.

        Less urgent work placed there would be stopped for it in a moment. If the gang
        prefers one rack, the one with most room for it is held.
        """
        hosts = []
        for host in self._capacity.fitting_hosts(unit):
            if is_eligible(unit, host) and slowdown(unit.step, host) <= max_slowdown:
                hosts.append(host)
        racks = group_by_rack(hosts) if unit.step.same_rack else [hosts]

        def room(rack: list[Host]) -> int:
            free = self._capacity.free
            return sum(count_fitting(unit, host, free(host)) for host in rack)

        self._hold_free(unit, max(racks, key=room, default=[]))

    def _hold_return(self, unit: SchedulingUnit) -> None:
        """Hold free capacity for tasks whose runs are about to end.

        Lesser work placed there would be preempted as soon as they have ended.
        """
        is_gang = unit.step.gang
        now = self._view.now
        layout = best_layout(unit, self._capacity, len(unit.tasks), now, is_gang)
        for host, count in layout or ():
            self._hold(unit, host, count, is_firm=unit.guaranteed)

    def _hold_free(self, unit: SchedulingUnit, hosts: Iterable[Host]) -> None:
        """Hold free capacity of hosts for as many tasks as fit, without a search."""
        count = len(unit.tasks)
        for host in hosts:
            if not count:
                return
            if not is_eligible(unit, host):
                continue
            fits = min(count, count_fitting(unit, host, self._capacity.free(host)))
            self._hold(unit, host, fits, is_firm=unit.guaranteed)
            count -= fits

    def _plan_preemption(
        self, unit: SchedulingUnit, max_slowdown: float, max_loss_ratio: float
    ) -> PreemptionPlan | None:
        """Search for victims; beyond the bound leave it to the next round."""
        if not self._searches_left:
            self._is_truncated = True
            return None
        self._searches_left -= 1
        charged_work = self._charged_work.get(unit.tasks[0][:3], 0.0)
        return plan_preemption(
            unit._replace(charged_work=unit.charged_work + charged_work),
            self._capacity,
            unit.step.gang,
            max_slowdown,
            max_loss_ratio,
            now=self._view.now,
        )

    def _max_slowdown(self, unit: SchedulingUnit) -> float:
        """Return the slowdown at which the unit just meets its deadline.

        A job that seems to be late may have been declared too short: it may be in time
        on a host that is not slow.
        """
        downstream = unit.chain_seconds - unit.step.estimate_seconds
        available = unit.deadline - self._view.now - downstream - PREEMPTION_SECONDS
        max_slowdown = available / max(unit.step.estimate_seconds, 0.1)
        return max(max_slowdown, PLAUSIBLE_STRETCH_SHARE * unit.stretch)

    def _place(self, unit: SchedulingUnit, layout: Layout) -> None:
        tasks = iter(unit.tasks)
        for host, count in layout:
            for _ in range(count):
                self._capacity.allocate(host, unit.step.reserved)
                task = next(tasks)
                self._placements.append(self._placement(unit, task, host))
                self._placed.setdefault(task[:3], Counter())[host.name] += 1
            if unit.suspected:
                self._capacity.close(host)

    def _placement(
        self, unit: SchedulingUnit, task: TaskId, host: Host
    ) -> TaskPlacement:
        expected = unit.step.estimate_seconds * slowdown(unit.step, host)
        downstream = unit.chain_seconds - unit.step.estimate_seconds
        slack = unit.deadline - self._view.now - downstream - expected
        ticket = (unit.tickets or {}).get(host.lifetime.worker_id, "")
        return TaskPlacement(task, host.name, host.lifetime, ticket, expected, slack)

    def _preempt(self, unit: SchedulingUnit, plan: PreemptionPlan) -> None:
        """Stop the victims and hold the capacity that they free."""
        stopped = {(stop.task, stop.run) for stop in self._stops}
        for stop in plan.stops:
            if (stop.task, stop.run) not in stopped:
                self._stops.append(stop)
        step = unit.tasks[0][:3]
        charged_work = self._charged_work.get(step, 0.0)
        self._charged_work[step] = charged_work + plan.lost_work
        for host, count in plan.hosts:
            self._placed.setdefault(step, Counter())[host.name] += count
            self._hold(unit, host, count, is_firm=True)

    def _hold(
        self, unit: SchedulingUnit, host: Host, count: int, is_firm: bool
    ) -> None:
        """Withhold capacity for ``count`` tasks from later units of this round."""
        self._capacity.hold(host, unit.step.reserved, count, is_firm)
