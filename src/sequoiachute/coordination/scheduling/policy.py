"""The policy: tight work first, on fast workers; urgent work preempts.

Made for sites where gangs that take whole workers compete with many small
tasks for more room than there is.
"""

from sequoiachute.coordination.scheduling.layout import (
    Layout,
    best_layout,
    layout_slowdown,
)
from sequoiachute.coordination.scheduling.model import (
    URGENT_PRIORITY,
    SchedulingDecision,
    Host,
    TaskPlacement,
    RunStop,
    SchedulingUnit,
    SchedulingView,
)
from sequoiachute.coordination.scheduling.preemption import Room, find_room
from sequoiachute.coordination.scheduling.rescue import rescue
from sequoiachute.coordination.scheduling.capacity import FreeCapacity, slowdown
from sequoiachute.protocol.workload import TaskId

HOPELESS_FACTOR = 3.0  # past this multiple of the objective a job earns nothing
SEARCHES = 4  # for room by stopping others; each takes up to 25 ms at 670 workers
MANY = 1_000_000
NO_LIMIT = float("inf")
PREEMPTION_SECONDS = 0.5  # to stop what is there and record the start
LEAVING_MARGIN_SECONDS = 0.5  # a worker that leaves stays a little longer


def decide(view: SchedulingView) -> SchedulingDecision:
    """Return what to start and what to stop now."""
    return _Round(view).run()


def urgency(unit: SchedulingUnit, now: float) -> tuple[int, int, float]:
    """Return the key by which units are served, the smallest first.

    Guaranteed work goes first, then urgent work. Among the rest, work that can
    still earn its worth goes before work that can't, by the time left until it
    must begin.
    """
    if unit.guaranteed:
        rank = 0
    elif unit.priority == URGENT_PRIORITY:
        rank = 1
    else:
        rank = 2
    if is_past_use(unit, now):
        rank += 2
    return (rank, unit.priority, unit.deadline - unit.chain_seconds)


def is_past_use(unit: SchedulingUnit, now: float) -> bool:
    """Return whether the unit's job can earn nothing any more."""
    window = max(unit.deadline - unit.accepted_at, 1.0)
    last_use = unit.accepted_at + HOPELESS_FACTOR * window - unit.chain_seconds
    return now > last_use and not unit.guaranteed


def _shape(unit: SchedulingUnit) -> tuple:
    """Return what decides where a unit fits, but for its number of tasks."""
    step = unit.step
    place = (unit.service, step.reserved, step.label, step.per_worker)
    rules = (step.gang, step.same_rack, unit.last_attempt, unit.guaranteed)
    tickets = frozenset(unit.tickets) if unit.tickets is not None else None
    return (unit.priority, place, rules, tickets)


def _least(unit: SchedulingUnit) -> int:
    """Return how many tasks must fit at least."""
    return len(unit.tasks) if unit.step.gang else 1


class _Round:
    """One decision over a view."""

    def __init__(self, view: SchedulingView) -> None:
        self._view = view
        self._space = FreeCapacity(view.hosts)
        self._placements: list[TaskPlacement] = []
        self._stops: list[RunStop] = []
        # Room only shrinks in a round: what did not fit need not be tried again.
        self._too_large: dict[tuple, int] = {}
        self._searches_left = SEARCHES
        self._is_cut = False

    def run(self) -> SchedulingDecision:
        """Serve the units in their order."""
        for host in self._view.hosts:
            self._empty_leaving(host)
        ordered = sorted(self._view.units, key=lambda u: urgency(u, self._view.now))
        for unit in ordered:
            self._serve(unit)
        known = {(stop.task, stop.run) for stop in self._stops}
        for stop in rescue(self._space, self._view.now):
            if (stop.task, stop.run) not in known:
                self._stops.append(stop)
        stops = tuple(self._stops)
        return SchedulingDecision(tuple(self._placements), stops, self._is_cut)

    def _empty_leaving(self, host: Host) -> None:
        """Stop what would be lost with the worker, while it can be saved."""
        if host.leaving_seconds is None:
            return
        left = host.leaving_seconds + LEAVING_MARGIN_SECONDS
        for run in host.running:
            if not run.stopping and run.remaining_seconds > left:
                stop = RunStop(run.task, run.run, host.name, "its worker leaves")
                self._stops.append(stop)

    def _serve(self, unit: SchedulingUnit) -> None:
        shape = _shape(unit)
        if self._too_large.get(shape, MANY) <= _least(unit):
            return
        if not self._try_to_place(unit):
            self._too_large[shape] = _least(unit)

    def _try_to_place(self, unit: SchedulingUnit) -> bool:
        """Place what fits, make room if urgent; return whether anything was done."""
        # What comes last must stop nothing: it would be placed again before it.
        if unit.priority == URGENT_PRIORITY and not is_past_use(unit, self._view.now):
            rest = self._serve_urgent(unit)
        else:
            rest = self._place_some(unit)
        return len(rest.tasks) < len(unit.tasks)

    def _serve_urgent(self, unit: SchedulingUnit) -> SchedulingUnit:
        """Place in time if there is room or others can be stopped, else late."""
        bearable = self._bearable(unit)
        rest = self._place_some(unit, bearable)
        rest = self._reserve(rest, bearable)
        rest = self._place_some(rest)
        rest = self._reserve(rest)
        if rest.tasks:
            self._hold_room(rest)
        return rest

    def _place_some(self, unit: SchedulingUnit, slowest: float = NO_LIMIT) -> SchedulingUnit:
        """Place tasks where there is room now; return the unit that is left."""
        count = len(unit.tasks)
        if not count:
            return unit
        now = self._view.now
        whole = unit.step.gang
        layout = best_layout(unit, self._space, count, now, whole)
        if layout is None:
            return unit
        if whole and layout_slowdown(unit, layout) > slowest:
            return unit
        layout = [row for row in layout if slowdown(unit.step, row[0]) <= slowest]
        placed = self._place(unit, layout)
        return unit._replace(tasks=unit.tasks[placed:])

    def _reserve(self, unit: SchedulingUnit, slowest: float = NO_LIMIT) -> SchedulingUnit:
        """Stop others so that tasks fit; return the unit that is left."""
        if not unit.tasks:
            return unit
        room = self._find_room(unit, slowest)
        if room is None:
            return unit
        self._make_room(unit, room)
        count = sum(number for _, number in room.hosts)
        return unit._replace(tasks=unit.tasks[count:])

    def _hold_room(self, unit: SchedulingUnit) -> None:
        """Leave free what urgent work waits for.

        Whatever were placed there would be stopped again for it.
        """
        if not self._searches_left:
            return
        self._searches_left -= 1
        room = find_room(unit, self._space, unit.step.gang, loss_per_work=NO_LIMIT)
        if room is not None:
            self._keep(unit, room)

    def _find_room(self, unit: SchedulingUnit, slowest: float = NO_LIMIT) -> Room | None:
        """Search for room; the searches left over are made in the next round."""
        if not self._searches_left:
            self._is_cut = True
            return None
        self._searches_left -= 1
        return find_room(unit, self._space, unit.step.gang, slowest)

    def _bearable(self, unit: SchedulingUnit) -> float:
        """Return the slowdown at which the unit just ends in time."""
        rest = unit.chain_seconds - unit.step.estimate_seconds
        left = unit.deadline - self._view.now - rest - PREEMPTION_SECONDS
        return left / max(unit.step.estimate_seconds, 0.1)

    def _place(self, unit: SchedulingUnit, layout: Layout) -> int:
        tasks = iter(unit.tasks)
        placed = 0
        for host, count in layout:
            for _ in range(count):
                self._space.allocate(host, unit.step.reserved)
                self._placements.append(self._placement(unit, next(tasks), host))
                placed += 1
        return placed

    def _placement(self, unit: SchedulingUnit, task: TaskId, host: Host) -> TaskPlacement:
        expected = unit.step.estimate_seconds * slowdown(unit.step, host)
        rest = unit.chain_seconds - unit.step.estimate_seconds
        slack = unit.deadline - self._view.now - rest - expected
        ticket = (unit.tickets or {}).get(host.life.worker_id, "")
        return TaskPlacement(task, host.name, host.life, ticket, expected, slack)

    def _make_room(self, unit: SchedulingUnit, room: Room) -> None:
        """Preempt, and keep the room."""
        stopped = {(stop.task, stop.run) for stop in self._stops}
        for stop in room.stops:
            if (stop.task, stop.run) not in stopped:
                self._stops.append(stop)
        self._keep(unit, room)

    def _keep(self, unit: SchedulingUnit, room: Room) -> None:
        """Keep the room from later units of this round."""
        for host, count in room.hosts:
            for _ in range(count):
                self._space.allocate(host, unit.step.reserved)
