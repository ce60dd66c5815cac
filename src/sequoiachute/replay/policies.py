"""Policies to play side by side: ours, first-fit, and one that knows the truth."""

from collections.abc import Callable

from sequoiachute.coordination.scheduling import (
    SchedulingDecision,
    SchedulingView,
    TaskPlacement,
    decide,
)
from sequoiachute.coordination.scheduling.capacity import (
    FreeCapacity,
    count_fitting,
    is_eligible,
)
from sequoiachute.replay.engine import Policy, Replay
from sequoiachute.replay.truth import Truth

PolicyMaker = Callable[[Replay], Policy]


def first_fit(view: SchedulingView) -> SchedulingDecision:
    """Place whatever fits, in order of arrival, on the first worker with room.

    Nothing is stopped, nothing learned.
    """
    space = FreeCapacity(view.hosts)
    placements: list[TaskPlacement] = []
    for unit in sorted(view.units, key=lambda unit: unit.accepted_at):
        found = []
        for host in view.hosts:
            if not is_eligible(unit, host):
                continue
            already = unit.placed_per_host.get(host.name, 0)
            fits = count_fitting(unit, host, space, already)
            found += [host] * min(fits, len(unit.tasks) - len(found))
        if unit.step.gang and len(found) < len(unit.tasks):
            continue
        for task, host in zip(unit.tasks, found, strict=False):
            space.allocate(host, unit.step.reserved)
            placements.append(TaskPlacement(task, host.name, host.life))
    return SchedulingDecision(tuple(placements))


def with_truth(replay: Replay) -> Policy:
    """Return our policy given true times and speeds instead of guesses.

    It is no optimum: with the same knowledge a better order may exist.
    """
    truth = Truth(replay)

    def decide_knowing(view: SchedulingView) -> SchedulingDecision:
        return decide(truth.reveal(view))

    return decide_knowing


POLICIES: dict[str, PolicyMaker] = {
    "ours": lambda replay: decide,
    "first-fit": lambda replay: first_fit,
    "with truth": with_truth,
}
