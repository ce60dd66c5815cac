"""The policy: tight work first, on fast workers; urgent work preempts.

Made for sites where gangs that take whole workers compete with many small
tasks for more room than there is.
"""

from sequoiachute.coordination.scheduling.layout import Layout, best_layout
from sequoiachute.coordination.scheduling.model import (
    Decision,
    Placement,
    Running,
    Stop,
    Unit,
    View,
)
from sequoiachute.coordination.scheduling.space import Space, may_run
from sequoiachute.protocol.workload import Resources

URGENT_PRIORITY = 0  # guarantees hold for it, and it preempts others
HOPELESS_FACTOR = 3.0  # past this multiple of the objective a job earns nothing


def decide(view: View) -> Decision:
    """Return what to start and what to stop now."""
    return _Round(view).run()


def urgency(unit: Unit, now: float) -> tuple[int, int, float]:
    """Return the key by which units are served, the smallest first.

    Urgent work goes first. Among the rest, work that can still earn its worth
    goes before work that can't, by the time left until it must begin.
    """
    urgent = 0 if unit.priority == URGENT_PRIORITY else 1
    window = max(unit.deadline - unit.accepted_at, 1.0)
    last_use = unit.accepted_at + HOPELESS_FACTOR * window - unit.chain_seconds
    hopeless = 1 if now > last_use else 0
    return (urgent + 2 * hopeless, unit.priority, unit.deadline - unit.chain_seconds)


class _Round:
    """One decision over a view."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._space = Space(view.hosts)
        self._placements: list[Placement] = []
        self._stops: list[Stop] = []

    def run(self) -> Decision:
        """Serve the units in their order."""
        ordered = sorted(self._view.units, key=lambda u: urgency(u, self._view.now))
        for unit in ordered:
            if unit.step.gang:
                self._serve_gang(unit)
            else:
                self._serve_tasks(unit)
        return Decision(tuple(self._placements), tuple(self._stops))

    def _serve_gang(self, unit: Unit) -> None:
        layout = best_layout(unit, self._space, len(unit.tasks))
        if layout is not None:
            self._place(unit, layout)
            return
        self._make_room(unit, len(unit.tasks))

    def _serve_tasks(self, unit: Unit) -> None:
        layout = best_layout(unit, self._space, len(unit.tasks), whole=False)
        placed = 0
        if layout is not None:
            placed = self._place(unit, layout)
        left = len(unit.tasks) - placed
        if left:
            rest = unit._replace(tasks=unit.tasks[placed:])
            self._make_room(rest, left)

    def _place(self, unit: Unit, layout: Layout) -> int:
        tasks = iter(unit.tasks)
        placed = 0
        for host, count in layout:
            for _ in range(count):
                self._space.take(host, unit.step.reserved)
                self._placements.append(Placement(next(tasks), host.name, host.life))
                placed += 1
        return placed

    def _make_room(self, unit: Unit, count: int) -> None:
        """Preempt for urgent work what loses least, and hold the room."""
        if unit.priority != URGENT_PRIORITY:
            return
        freed: list[tuple[str, Resources]] = []
        victims: dict[tuple[str, object], Running] = {}
        for host in self._space.hosts.values():
            if not may_run(unit, host):
                continue
            for run in host.running:
                if run.stopping or self._may_preempt(unit, run):
                    self._space.give_back(host, run.need)
                    freed.append((host.name, run.need))
                    victims[(host.name, run.task)] = run
        layout = best_layout(unit, self._space, count, whole=unit.step.gang)
        for name, need in freed:
            self._space.take(self._space.hosts[name], need)
        if layout is None:
            return
        for host, wanted in layout:
            self._preempt(unit, host, wanted, victims)

    def _may_preempt(self, unit: Unit, run: Running) -> bool:
        return run.priority > unit.priority

    def _preempt(self, unit: Unit, host: object, count: int, victims: dict) -> None:
        """Stop runs on ``host`` until ``count`` tasks fit, the cheapest first."""
        need = Resources()
        for _ in range(count):
            need = need.plus(unit.step.reserved)
        free = self._space.free(host)
        here = [run for (name, _), run in victims.items() if name == host.name]
        here.sort(key=lambda run: (not run.stopping, loss(run)))
        for run in here:
            if free.holds(need):
                break
            if _adds_nothing(free, need, run.need):
                continue
            free = free.plus(run.need)
            if run.stopping:
                continue
            reason = f"preempted for {unit.tasks[0].job_id}"
            self._stops.append(Stop(run.task, run.run, host.name, reason))
        self._space.take(host, need)


def loss(run: Running) -> float:
    """Return the work in accelerator seconds that stopping ``run`` throws away."""
    weight = run.need.gpus * 8 + run.need.cpu_millis / 1000
    return run.unsaved_seconds * weight


def _adds_nothing(free: Resources, need: Resources, run: Resources) -> bool:
    """Return whether stopping a run of this size frees nothing that lacks."""
    for have, want, gain in zip(free, need, run, strict=True):
        if have < want and gain > 0:
            return False
    return True
