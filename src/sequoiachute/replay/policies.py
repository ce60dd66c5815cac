"""Lists the compared policies: ours, first-fit and ours with true run times."""

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
from sequoiachute.replay.truth import Oracle

PolicyFactory = Callable[[Replay], Policy]


def first_fit(view: SchedulingView) -> SchedulingDecision:
    """Place units by age, each task on the first host with free capacity.

    It stops no runs and uses no estimates.
    """
    free_capacity = FreeCapacity(view.hosts)
    placements: list[TaskPlacement] = []
    for unit in sorted(view.units, key=lambda unit: unit.accepted_at):
        chosen_hosts = []
        for host in view.hosts:
            if not is_eligible(unit, host):
                continue
            fits = count_fitting(unit, host, free_capacity.free(host))
            chosen_hosts += [host] * min(fits, len(unit.tasks) - len(chosen_hosts))
        if unit.step.gang and len(chosen_hosts) < len(unit.tasks):
            continue
        for task, host in zip(unit.tasks, chosen_hosts, strict=False):
            free_capacity.allocate(host, unit.step.reserved)
            placements.append(TaskPlacement(task, host.name, host.lifetime))
    return SchedulingDecision(tuple(placements))


def oracle_policy(replay: Replay) -> Policy:
    """Return our policy with true run times and speeds instead of estimates.

    It is not an optimum: with the same knowledge a better schedule may exist.
    """
    oracle = Oracle(replay)

    def decide_with_truth(view: SchedulingView) -> SchedulingDecision:
        return decide(oracle.correct_view(view))

    return decide_with_truth


POLICIES: dict[str, PolicyFactory] = {
    "ours": lambda replay: decide,
    "first-fit": lambda replay: first_fit,
    "with truth": oracle_policy,
}
