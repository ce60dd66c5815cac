"""Says which of a unit's preferences exclude hosts from it, and when they end."""

from math import ceil

from sequoiachute.coordination.scheduling.capacity import (
    FreeCapacity,
    could_hold,
    has_room,
)
from sequoiachute.coordination.scheduling.layout import best_layout
from sequoiachute.coordination.scheduling.model import (
    MAX_IDLE_WAIT_SECONDS,
    URGENT_PRIORITY,
    SchedulingUnit,
    SchedulingView,
)

# Of the waves that an objective allows: slow workers and faults take the rest.
PLANNED_WAVE_SHARE = 0.5


def due_tasks(unit: SchedulingUnit, view: SchedulingView) -> SchedulingUnit:
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


def with_preferences(
    unit: SchedulingUnit, view: SchedulingView, capacity: FreeCapacity
) -> SchedulingUnit:
    """Return the unit with what excludes hosts from it in this round."""
    unit = with_untried_hosts(_with_proof(unit, view, capacity), view.now, capacity)
    return _with_doubt(unit, view)


def with_untried_hosts(
    unit: SchedulingUnit, now: float, capacity: FreeCapacity
) -> SchedulingUnit:
    """Keep failed tasks off the hosts where they failed while others have room.

    Another failure there would not tell whether the host or the task is at fault.
    """
    if not unit.tried_hosts:
        return unit
    untried = unit._replace(needs_untried=True)
    if not has_room(untried, capacity):
        return unit
    in_one_rack = unit.step.same_rack and not unit.may_split
    if in_one_rack and not best_layout(untried, capacity, unit.min_tasks, now):
        return unit
    return untried


def _with_doubt(unit: SchedulingUnit, view: SchedulingView) -> SchedulingUnit:
    """Let the unit try hosts in doubt again if the others can't hold it."""
    if could_hold(unit, view.hosts):
        return unit
    return unit._replace(only_doubtful=True)


def _with_proof(
    unit: SchedulingUnit, view: SchedulingView, capacity: FreeCapacity
) -> SchedulingUnit:
    """Keep the last attempt of a failed task for a host that is proven.

    It waits for one while half of its time is left, in a service with idle capacity
    for a short while only.
    """
    if not (unit.last_attempt and unit.failed_before) or unit.guaranteed:
        return unit
    if not _has_half_its_time(unit, view.now):
        return unit
    proof = unit._replace(needs_proof=True)
    if not could_hold(proof, view.hosts):
        return unit
    fits = has_room(proof, capacity)
    may_wait = unit.failed_seconds < MAX_IDLE_WAIT_SECONDS
    if fits or may_wait or not capacity.is_half_idle(unit.service):
        return proof
    return unit
