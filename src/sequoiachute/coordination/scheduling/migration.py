"""Selects runs on slow or stalled workers to restart on other workers.

It helps when capacity is free elsewhere; the run's own progress tells when it
would end where it is.
"""

from collections.abc import Iterator

from sequoiachute.coordination.scheduling.capacity import (
    REMOTE_SLOWDOWN,
    FreeCapacity,
    cautious_slowdown,
    slowdown,
)
from sequoiachute.coordination.scheduling.layout import best_layout, layout_slowdown
from sequoiachute.coordination.scheduling.model import (
    URGENT_PRIORITY,
    ActiveRun,
    Host,
    RunStop,
    SchedulingUnit,
)

RESTART_SECONDS = 0.6  # to stop, record and start the run again
MAX_TIME_RATIO = 0.8  # a migration must cut the remaining time to this share

RunGroup = list[tuple[Host, ActiveRun]]


def select_migrations(
    capacity: FreeCapacity, now: float, urgent: bool
) -> Iterator[RunStop]:
    """Yield the urgent or other runs to stop; allocate the capacity for their restart.

    ``now`` is in seconds, on the scale of ``ActiveRun.deadline``.
    """
    for group in _group_runs(capacity):
        if (group[0][1].priority == URGENT_PRIORITY) != urgent:
            continue
        if any(run.stopping or run.lasting or run.moved for _, run in group):
            continue
        if any(run.suspected for _, run in group):
            continue
        if not _is_candidate(group):
            continue
        if _should_migrate(group, capacity, now):
            left_hosts = _left_hosts(group)
            for host, run in group:
                yield RunStop(
                    run.task,
                    run.run,
                    host.name,
                    "too slow here",
                    is_migration=True,
                    leaves_host=host.name in left_hosts,
                )


def _is_candidate(group: RunGroup) -> bool:
    """Return whether ``group`` is stalled, or urgent or split and measured."""
    is_measured = all(run.measured for _, run in group)
    urgent = all(run.priority == URGENT_PRIORITY for _, run in group)
    return (is_measured and (urgent or _is_split(group))) or _is_stalled(group)


def _is_split(group: RunGroup) -> bool:
    """Return whether a gang that prefers one rack runs on several."""
    racks = {host.rack for host, _ in group}
    return group[0][1].step.same_rack and len(racks) > 1


def _distance_factor(group: RunGroup) -> float:
    return REMOTE_SLOWDOWN if _is_split(group) else 1.0


def _is_stalled(group: RunGroup) -> bool:
    """Return whether every run that is not yet complete is stalled.

    Gang members that have completed wait for the others and don't count.
    """
    working = [run for _, run in group if run.percent < 100]
    return bool(working) and all(run.stalled_seconds > 0 for run in working)


def _has_waited_enough(group: RunGroup) -> bool:
    """Return whether a stalled group has stood still for as long as it would lose.

    The stall may end at any moment, so that an earlier restart could lose more work
    than the stall, and a later one more time than the restart.
    """
    stalled_seconds = min(run.stalled_seconds for _, run in group if run.percent < 100)
    lost_seconds = max(run.unsaved_seconds for _, run in group) - stalled_seconds
    return stalled_seconds >= lost_seconds


def _left_hosts(group: RunGroup) -> frozenset[str]:
    """Return the hosts on which ``group`` must not start again.

    The members of a gang that works are as slow as the slowest of them, so that its
    progress does not tell which of its hosts is too slow.
    """
    if len(group) > 1 and not _is_stalled(group):
        return frozenset()
    return frozenset(host.name for host, _ in group)


def _group_runs(capacity: FreeCapacity) -> list[RunGroup]:
    """Return single runs and whole gangs, the most urgent first."""
    groups: dict[tuple, RunGroup] = {}
    for host in capacity.hosts.values():
        for run in host.running:
            key = run.task[:3] if run.gang else run.task
            groups.setdefault(key, []).append((host, run))
    return sorted(groups.values(), key=lambda group: group[0][1].priority)


def _should_migrate(group: RunGroup, capacity: FreeCapacity, now: float) -> bool:
    """Return whether to restart ``group`` elsewhere; if so allocate for it."""
    remaining_seconds = max(run.remaining_seconds for _, run in group)
    first = group[0][1]
    if now + remaining_seconds + first.downstream_seconds <= first.deadline:
        return False
    unit = _unit_of(group)._replace(tried_hosts=_left_hosts(group), needs_untried=True)
    for host, run in group:
        capacity.release(host, run.need)
    layout = best_layout(unit, capacity, len(group), now)
    for host, run in group:
        capacity.allocate(host, run.need)
    if layout is None:
        return False
    factor = _distance_factor(group)
    work_seconds = max(_remaining_work(host, run, factor) for host, run in group)
    # A worker that is little known is as likely to be slow as this one.
    slowdown_there = layout_slowdown(unit, layout, cautious_slowdown)
    restarted_seconds = RESTART_SECONDS + work_seconds * slowdown_there
    ends_at = now + restarted_seconds + first.downstream_seconds
    in_time = ends_at <= first.deadline + _objective_growth(group)
    worthwhile = in_time and restarted_seconds <= MAX_TIME_RATIO * remaining_seconds
    if _is_stalled(group):
        is_urgent = first.priority == URGENT_PRIORITY
        if not _has_waited_enough(group) and not (is_urgent and worthwhile):
            return False
    elif not worthwhile:
        return False
    for host, count in layout:
        capacity.hold(host, first.need, count, is_firm=True)
    return True


def _objective_growth(group: RunGroup) -> float:
    """Return the seconds by which the work that runs have shown moves the deadline.

    The objective is a multiple of a job's true work, its deadline one of the declared
    time.
    """
    first = group[0][1]
    factor = _distance_factor(group)
    excess = max(_full_work(host, run, factor) for host, run in group)
    return first.stretch * max(0.0, excess - first.step.estimate_seconds)


def _remaining_work(host: Host, run: ActiveRun, distance_factor: float) -> float:
    """Return the seconds that a restarted run takes on the typical worker."""
    full_seconds = _full_work(host, run, distance_factor)
    if run.stalled_seconds or not run.step.checkpoints:
        return full_seconds
    return full_seconds * _remaining_share(run)


def _full_work(host: Host, run: ActiveRun, distance_factor: float) -> float:
    """Return the seconds that the whole run takes on the typical worker.

    The run's progress gives its time on this host. Dividing by the slowdown of
    the host, which is learned from other runs too, removes the host's share;
    ``distance_factor`` is that of a gang that is split over racks.
    """
    if run.stalled_seconds:
        return run.step.estimate_seconds
    seconds = run.remaining_seconds / _remaining_share(run)
    return seconds / slowdown(run.step, host) / distance_factor


def _remaining_share(run: ActiveRun) -> float:
    return max(0.01, 1 - run.percent / 100)


def _unit_of(group: RunGroup) -> SchedulingUnit:
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
