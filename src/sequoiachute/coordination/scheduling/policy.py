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
    Decision,
    Host,
    Placement,
    Stop,
    Unit,
    View,
)
from sequoiachute.coordination.scheduling.preemption import Room, find_room
from sequoiachute.coordination.scheduling.rescue import rescue
from sequoiachute.coordination.scheduling.space import Space, slowdown
from sequoiachute.protocol.workload import Resources, TaskId

URGENT_PRIORITY = 0  # guarantees hold for it, and it preempts others
HOPELESS_FACTOR = 3.0  # past this multiple of the objective a job earns nothing
PREEMPTION_SECONDS = 0.5  # to stop what is there and record the start
LEAVING_MARGIN_SECONDS = 0.5  # a worker that leaves stays a little longer


def decide(view: View) -> Decision:
    """Return what to start and what to stop now."""
    return _Round(view).run()


def urgency(unit: Unit, now: float) -> tuple[int, int, float]:
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
    window = max(unit.deadline - unit.accepted_at, 1.0)
    last_use = unit.accepted_at + HOPELESS_FACTOR * window - unit.chain_seconds
    if now > last_use and not unit.guaranteed:
        rank += 2
    return (rank, unit.priority, unit.deadline - unit.chain_seconds)


class _Round:
    """One decision over a view."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._space = Space(view.hosts)
        self._placements: list[Placement] = []
        self._stops: list[Stop] = []

    def run(self) -> Decision:
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
        return Decision(tuple(self._placements), tuple(self._stops))

    def _empty_leaving(self, host: Host) -> None:
        """Stop what would be lost with the worker, while it can be saved."""
        if host.leaving_seconds is None:
            return
        left = host.leaving_seconds + LEAVING_MARGIN_SECONDS
        for run in host.running:
            if not run.stopping and run.left_seconds > left:
                stop = Stop(run.task, run.run, host.name, "its worker leaves")
                self._stops.append(stop)

    def _serve(self, unit: Unit) -> None:
        whole = unit.step.gang
        now = self._view.now
        urgent = unit.priority == URGENT_PRIORITY
        layout = best_layout(unit, self._space, len(unit.tasks), now, whole)
        if urgent and layout is not None and self._is_late(unit, layout):
            room = find_room(unit, self._space, whole, self._bearable(unit))
            if room is not None:
                self._make_room(unit, room)
                return
        placed = 0 if layout is None else self._place(unit, layout)
        if urgent and placed < len(unit.tasks):
            rest = unit._replace(tasks=unit.tasks[placed:])
            room = find_room(rest, self._space, whole)
            if room is not None:
                self._make_room(rest, room)

    def _bearable(self, unit: Unit) -> float:
        """Return the slowdown at which the unit just ends in time."""
        rest = unit.chain_seconds - unit.step.estimate_seconds
        left = unit.deadline - self._view.now - rest - PREEMPTION_SECONDS
        return left / max(unit.step.estimate_seconds, 0.1)

    def _is_late(self, unit: Unit, layout: Layout) -> bool:
        return layout_slowdown(unit, layout) > self._bearable(unit)

    def _place(self, unit: Unit, layout: Layout) -> int:
        tasks = iter(unit.tasks)
        placed = 0
        for host, count in layout:
            for _ in range(count):
                self._space.take(host, unit.step.reserved)
                self._placements.append(self._placement(unit, next(tasks), host))
                placed += 1
        return placed

    def _placement(self, unit: Unit, task: TaskId, host: Host) -> Placement:
        expected = unit.step.estimate_seconds * slowdown(unit.step, host)
        rest = unit.chain_seconds - unit.step.estimate_seconds
        slack = unit.deadline - self._view.now - rest - expected
        ticket = (unit.tickets or {}).get(host.life.worker_id, "")
        return Placement(task, host.name, host.life, ticket, expected, slack)

    def _make_room(self, unit: Unit, room: Room) -> None:
        """Preempt, and keep the room from later units."""
        stopped = {(stop.task, stop.run) for stop in self._stops}
        for stop in room.stops:
            if (stop.task, stop.run) not in stopped:
                self._stops.append(stop)
        for host, count in room.hosts:
            need = Resources()
            for _ in range(count):
                need = need.plus(unit.step.reserved)
            self._space.take(host, need)
