"""Moving runs that are too slow where they are, while it still helps.

For workers that turn slow or stand still: the load is light enough that room
is free elsewhere, and the run's own progress tells when it will end.
"""

from collections.abc import Iterator

from sequoiachute.coordination.scheduling.layout import best_layout, layout_slowdown
from sequoiachute.coordination.scheduling.model import (
    URGENT_PRIORITY,
    Host,
    ActiveRun,
    RunStop,
    SchedulingUnit,
)
from sequoiachute.coordination.scheduling.capacity import FreeCapacity, slowdown

RESTART_SECONDS = 0.6  # stopping, recording and starting again
DOUBT_FACTOR = 1.2  # the other worker's speed is a guess too
LEAST_GAIN = 0.7  # of the time left here, at most, that the move may take

Group = list[tuple[Host, ActiveRun]]


def rescue(space: FreeCapacity, now: float) -> Iterator[RunStop]:
    """Yield runs to stop, keeping the room where they should start again."""
    for group in _groups(space):
        if any(run.stopping or run.lasting or run.moved for _, run in group):
            continue
        if not _is_slow(group):
            continue
        if _should_move(group, space, now):
            for host, run in group:
                yield RunStop(run.task, run.run, host.name, "too slow here", True)


def _is_slow(group: Group) -> bool:
    """Return whether a run stands still, or urgent work can be told to be slow."""
    urgent = all(run.priority == URGENT_PRIORITY and run.measured for _, run in group)
    return urgent or _is_stalled(group)


def _is_stalled(group: Group) -> bool:
    """Return whether nothing in the group works any more.

    Members of a gang whose work is done wait for the others.
    """
    working = [run for _, run in group if run.percent < 100]
    return bool(working) and all(run.stalled for run in working)


def _groups(space: FreeCapacity) -> list[Group]:
    """Return single runs, and gangs as a whole, the most urgent first."""
    groups: dict[tuple, Group] = {}
    for host in space.hosts.values():
        for run in host.running:
            key = run.task[:3] if run.gang else run.task
            groups.setdefault(key, []).append((host, run))
    return sorted(groups.values(), key=lambda group: group[0][1].priority)


def _should_move(group: Group, space: FreeCapacity, now: float) -> bool:
    left = max(run.remaining_seconds for _, run in group)
    first = group[0][1]
    if now + left + first.downstream_seconds <= first.deadline:
        return False
    unit = _as_unit(group)
    for host, run in group:
        space.give_back(host, run.need)
    layout = best_layout(unit, space, len(group), now)
    for host, run in group:
        space.allocate(host, run.need)
    if layout is None:
        return False
    work = max(_work_left(host, run) for host, run in group)
    again = RESTART_SECONDS + DOUBT_FACTOR * work * layout_slowdown(unit, layout)
    in_time = now + again + first.downstream_seconds <= first.deadline
    worthwhile = in_time and again <= LEAST_GAIN * left
    if not worthwhile and not _is_stalled(group):
        return False
    for host, count in layout:
        for _ in range(count):
            space.allocate(host, first.need)
    return True


def _work_left(host: Host, run: ActiveRun) -> float:
    """Return seconds of work on the typical worker if the run starts again.

    The run's progress tells how long it takes here, the worker's speed, learned
    from other runs too, how much of that is the worker's doing.
    """
    if run.stalled:
        return run.step.estimate_seconds
    share_left = max(0.01, 1 - run.percent / 100)
    whole = run.remaining_seconds / share_left / slowdown(run.step, host)
    return whole * share_left if run.step.checkpoints else whole


def _as_unit(group: Group) -> SchedulingUnit:
    first = group[0][1]
    return SchedulingUnit(
        account=first.account,
        priority=first.priority,
        deadline=first.deadline,
        chain_seconds=first.step.estimate_seconds + first.downstream_seconds,
        accepted_at=first.accepted_at,
        service=first.service,
        step=first.step,
        tasks=tuple(run.task for _, run in group),
        avoided_hosts=frozenset(),
        placed_per_host={},
    )
