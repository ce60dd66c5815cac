"""Orders pending work by urgency, places it, and preempts for urgent work.

Designed for overloaded sites where gangs that take whole workers compete with
many small tasks.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from math import ceil, log2

from sequoiachute.coordination.scheduling.capacity import (
    REMOTE_SLOWDOWN,
    FreeCapacity,
    GangKey,
    cautious_slowdown,
    could_hold,
    count_fitting,
    count_fitting_now,
    is_eligible,
    slowdown,
)
from sequoiachute.coordination.scheduling.layout import (
    Layout,
    best_layout,
    layout_slowdown,
    rack_wait_seconds,
)
from sequoiachute.coordination.scheduling.migration import select_migrations
from sequoiachute.coordination.scheduling.model import (
    MAX_IDLE_WAIT_SECONDS,
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
# Of the waves that an objective allows: slow workers and faults take the rest.
PLANNED_WAVE_SHARE = 0.5


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


def _due_tasks(unit: SchedulingUnit, view: SchedulingView) -> SchedulingUnit:
    """Return ``unit`` with the tasks that should run by now.

    A wide urgent step starts in waves while half of its time is left, so that it does
    not keep urgent work of other jobs from every host. Guaranteed work starts whole.
    """
    planned_waves = int(PLANNED_WAVE_SHARE * unit.waves)
    is_wide = unit.priority == URGENT_PRIORITY and planned_waves > 1
    if not is_wide or unit.step.gang or unit.guaranteed or unit.returning:
        return unit
    if view.is_gathering:
        return unit
    if not _has_half_its_time(unit, view.now):
        return unit
    width = ceil(unit.step.count / planned_waves)
    return unit._replace(tasks=unit.tasks[: max(0, width - unit.running)])


def _has_half_its_time(unit: SchedulingUnit, now: float) -> bool:
    return unit.deadline - now >= (unit.deadline - unit.accepted_at) / 2


def _fit_key(unit: SchedulingUnit) -> tuple:
    """Return all that decides where ``unit`` fits except its number of tasks."""
    step = unit.step
    requirements = (unit.service, step.reserved, step.label, step.per_worker)
    constraints = (step.gang, step.same_rack, unit.last_attempt, unit.guaranteed)
    preferences = (unit.only_doubtful, unit.takes_any_host, unit.may_split)
    proof = unit.avoided_hosts if unit.needs_proof else None
    untried = unit.tried_hosts if unit.needs_untried else None
    tickets = frozenset(unit.tickets) if unit.tickets is not None else None
    placed = frozenset(unit.placed_per_host.items()) if step.per_worker else None
    key = (unit.priority, requirements, constraints, preferences, proof, placed)
    key = (*key, untried, tickets)
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
        self._place_overdue(ordered)
        stops = tuple(self._stops)
        return SchedulingDecision(tuple(self._placements), stops, self._is_truncated)

    def _is_urgent(self, unit: SchedulingUnit) -> bool:
        is_late = is_expired(unit, self._view.now)
        return unit.priority == URGENT_PRIORITY and not is_late

    def _schedule_due(self, unit: SchedulingUnit) -> None:
        unit = _due_tasks(self._with_round(unit), self._view)
        if unit.tasks:
            unit = self._with_rack(self._with_proof(unit))
            self._schedule(self._with_doubt(self._with_untried(unit)))

    def _place_overdue(self, ordered: list[SchedulingUnit]) -> None:
        """Place what has waited long enough in a service that is half idle.

        No preference for hosts excludes any now, nor does what is held for other work:
        such a wait would last as long as its cause.
        """
        overdue = [unit for unit in ordered if unit.is_overdue and not unit.returning]
        if not overdue:
            return
        self._capacity.end_holds()
        placed = {placement.task for placement in self._placements}
        for unit in overdue:
            tasks = tuple(task for task in unit.tasks if task not in placed)
            if tasks and self._capacity.is_half_idle(unit.service):
                unit = self._with_round(unit._replace(tasks=tasks))
                self._place_anywhere(unit._replace(takes_any_host=True))

    def _place_anywhere(self, unit: SchedulingUnit) -> None:
        """Place the unit on any hosts; split it over racks if it fits twice over."""
        fit_key = _fit_key(unit)
        if self._smallest_misfit.get(fit_key, UNBOUNDED_COUNT) <= unit.min_tasks:
            return
        fitting = count_fitting_now(unit, self._capacity)
        if fitting >= 2 * unit.min_tasks:
            unit = unit._replace(may_split=True)
        remaining = self._place_fitting(self._with_untried(unit))
        if len(remaining.tasks) == len(unit.tasks):
            self._smallest_misfit[fit_key] = unit.min_tasks

    def _with_round(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Return the unit with the tasks of its step that were placed in this round."""
        placed = self._placed.get(unit.tasks[0][:3])
        if not placed:
            return unit
        return unit._replace(
            placed_per_host=dict(Counter(unit.placed_per_host) + placed),
            running=unit.running + placed.total(),
        )

    def _with_untried(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Keep failed tasks off the hosts where they failed while others have room.

        Another failure there would not tell whether the host or the task is at fault.
        """
        if not unit.tried_hosts:
            return unit
        untried = unit._replace(needs_untried=True)
        count = unit.min_tasks
        if best_layout(untried, self._capacity, count, self._view.now) is None:
            return unit
        return untried

    def _with_doubt(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Let the unit try hosts in doubt again if the others can't hold it."""
        if could_hold(unit, self._view.hosts):
            return unit
        return unit._replace(only_doubtful=True)

    def _with_rack(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Let a unit that has waited for one rack run on several if that is sooner."""
        if not unit.step.same_rack or not unit.is_overdue or not self._searches_left:
            return unit
        self._searches_left -= 1
        split_seconds = (REMOTE_SLOWDOWN - 1) * unit.step.estimate_seconds
        if rack_wait_seconds(unit, self._capacity) <= split_seconds:
            return unit
        return unit._replace(may_split=True)

    def _migrate(self, urgent: bool) -> None:
        stopped = {(stop.task, stop.run) for stop in self._stops}
        for stop in select_migrations(self._capacity, self._view.now, urgent):
            if (stop.task, stop.run) not in stopped:
                self._stops.append(stop)

    def _with_proof(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Keep the last attempt of a failed task for a host that is proven.

        It waits for one while half of its time is left, in a service with idle capacity
        for a short while only.
        """
        if not (unit.last_attempt and unit.failed_before) or unit.guaranteed:
            return unit
        if not _has_half_its_time(unit, self._view.now):
            return unit
        proof = unit._replace(needs_proof=True)
        if not could_hold(proof, self._view.hosts):
            return unit
        fits = count_fitting_now(proof, self._capacity) >= unit.min_tasks
        may_wait = unit.failed_seconds < MAX_IDLE_WAIT_SECONDS
        if fits or may_wait or not self._capacity.is_half_idle(unit.service):
            return proof
        return unit

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
        # placed again before it.
        if unit.priority == URGENT_PRIORITY and not is_expired(unit, self._view.now):
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
            return self._place_fitting(remaining, max_slowdown)
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
            self._hold_free(unit)
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
            self._hold(unit, plan)

    def _hold_return(self, unit: SchedulingUnit) -> None:
        """Hold free capacity for tasks whose runs are about to end.

        Lesser work placed there would be preempted as soon as they have ended.
        """
        is_gang = unit.step.gang
        now = self._view.now
        layout = best_layout(unit, self._capacity, len(unit.tasks), now, is_gang)
        for host, count in layout or ():
            self._capacity.hold(host, unit.step.reserved, count)

    def _hold_free(self, unit: SchedulingUnit) -> None:
        """Hold free capacity for as many tasks as fit, without a search."""
        count = len(unit.tasks)
        for host in self._capacity.hosts.values():
            if not count:
                return
            if not is_eligible(unit, host):
                continue
            fits = min(count, count_fitting(unit, host, self._capacity.free(host)))
            self._capacity.hold(host, unit.step.reserved, fits)
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
        self._hold(unit, plan)

    def _hold(self, unit: SchedulingUnit, plan: PreemptionPlan) -> None:
        """Withhold the planned capacity from later units of this round."""
        for host, count in plan.hosts:
            self._capacity.hold(host, unit.step.reserved, count)
