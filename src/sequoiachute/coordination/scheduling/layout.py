"""Chooses hosts for the tasks of a scheduling unit."""

from collections.abc import Callable, Iterable
from math import inf

from sequoiachute.coordination.scheduling.capacity import (
    REMOTE_SLOWDOWN,
    FreeCapacity,
    cautious_slowdown,
    count_fitting,
    is_eligible,
    lost_work,
    slowdown,
)
from sequoiachute.coordination.scheduling.model import (
    PROOF_SECONDS,
    URGENT_PRIORITY,
    Host,
    SchedulingUnit,
)
from sequoiachute.protocol.workload import Resources, StepSpec

FAILURE_PENALTY = 0.5  # of a task's time, added per recent failure of the host
FAILED_HOST_PENALTY = 4.0  # ranks hosts where the job failed after remote ones
UNKNOWN_SPEED_ERROR = 0.3  # standard error of a logarithm
PLANNED_SHARE = 0.6  # of the remaining time; estimates are off by up to a half

Layout = list[tuple[Host, int]]


def best_layout(
    unit: SchedulingUnit,
    capacity: FreeCapacity,
    count: int,
    now: float,
    all_or_nothing: bool = True,
) -> Layout | None:
    """Return the preferred hosts for ``count`` tasks of ``unit``.

    Parameters
    ----------
    unit : SchedulingUnit
        The tasks to place.
    capacity : FreeCapacity
        What is free now; it is not changed.
    count : int
        Number of tasks.
    now : float
        Time in seconds, on the scale of ``SchedulingUnit.deadline``.
    all_or_nothing : bool
        Whether to return ``None`` unless all ``count`` tasks fit. Otherwise
        as many are placed as fit.

    Returns
    -------
    list of (Host, int) or None
        Hosts and the number of tasks on each; ``None`` if nothing fits.
    """
    hosts = []
    for host in capacity.fitting_hosts(unit):
        if is_eligible(unit, host):
            hosts.append(host)
    if not unit.step.same_rack:
        return _fill_hosts(unit, capacity, hosts, count, now, all_or_nothing)
    best = None
    for layout in _rack_layouts(unit, capacity, hosts, count, now, all_or_nothing):
        if best is None or layout_slowdown(unit, layout) < layout_slowdown(unit, best):
            best = layout
    if best is None and unit.may_split:
        return _fill_hosts(unit, capacity, hosts, count, now, all_or_nothing)
    return best


def group_by_rack(hosts: Iterable[Host]) -> list[list[Host]]:
    """Return the hosts of each rack."""
    racks: dict[str, list[Host]] = {}
    for host in hosts:
        racks.setdefault(host.rack, []).append(host)
    return list(racks.values())


def could_one_rack_hold(unit: SchedulingUnit, capacity: FreeCapacity) -> bool:
    """Return whether an empty rack of the service would hold ``unit``.

    Hosts that are closed for a moment count, leaving ones don't.
    """
    count: dict[str, int] = {}
    for host in capacity.hosts.values():
        if host.service != unit.service or host.leaving_seconds is not None:
            continue
        if unit.step.label and unit.step.label not in host.labels:
            continue
        fitting = count_fitting(unit, host, host.capacity)
        count[host.rack] = count.get(host.rack, 0) + fitting
        if count[host.rack] >= unit.min_tasks:
            return True
    return False


def rack_wait_seconds(unit: SchedulingUnit, capacity: FreeCapacity) -> float:
    """Return when the ends of runs make room for ``unit`` in one rack.

    In seconds from now; infinite if no rack holds it even without its runs.
    """
    hosts = [host for host in capacity.hosts.values() if is_eligible(unit, host)]
    waits = [_rack_wait(unit, rack, capacity) for rack in group_by_rack(hosts)]
    return min(waits, default=inf)


def _rack_wait(unit: SchedulingUnit, rack: list[Host], capacity: FreeCapacity) -> float:
    free = {host.name: capacity.free(host) for host in rack}
    fitting = {host.name: count_fitting(unit, host, free[host.name]) for host in rack}
    ends = [(0.0, rack[0], Resources())]
    for host in rack:
        for run in host.running:
            if not run.lasting:
                ends.append((capacity.end_of(run)[0], host, run.need))
    for seconds, host, need in sorted(ends, key=lambda end: end[0]):
        free[host.name] = free[host.name].plus(need)
        fitting[host.name] = count_fitting(unit, host, free[host.name])
        if sum(fitting.values()) >= unit.min_tasks:
            return seconds
    return inf


def _rack_layouts(
    unit: SchedulingUnit,
    capacity: FreeCapacity,
    hosts: list[Host],
    count: int,
    now: float,
    all_or_nothing: bool,
) -> list[Layout]:
    layouts = []
    for members in group_by_rack(hosts):
        layout = _fill_hosts(unit, capacity, members, count, now, all_or_nothing)
        if layout is not None:
            layouts.append(layout)
    return layouts


def _fill_hosts(
    unit: SchedulingUnit,
    capacity: FreeCapacity,
    hosts: list[Host],
    count: int,
    now: float,
    all_or_nothing: bool,
) -> Layout | None:
    """Assign tasks to ``hosts`` in order of preference.

    Hosts whose speed the tasks would show get one task each before any gets more.
    """
    preferred = sorted(
        hosts,
        key=lambda host: (
            _harm(unit, host),
            _preference(unit, capacity, host, now),
        ),
    )
    counts = dict.fromkeys((host.name for host in preferred), 0)
    remaining = count
    for host in preferred:
        if remaining and _shows_speed(unit, host):
            counts[host.name] = min(1, count_fitting(unit, host, capacity.free(host)))
            remaining -= counts[host.name]
    for host in preferred:
        fitting = count_fitting(unit, host, capacity.free(host))
        added = max(0, min(remaining, fitting - counts[host.name]))
        counts[host.name] += added
        remaining -= added
        if not remaining:
            break
    if remaining and (all_or_nothing or remaining == count):
        return None
    return [(host, counts[host.name]) for host in preferred if counts[host.name]]


def _harm(unit: SchedulingUnit, host: Host) -> tuple[bool, int, float]:
    """Return the sort key of ``host`` by what a crash would harm.

    Hosts with a suspect come last. For a suspect, hosts with urgent and lasting runs
    come behind others, and among these counts the work that would be lost.
    """
    if not unit.suspected:
        return (host.has_suspect, 0, 0.0)
    valued = lost = 0.0
    for run in host.running:
        valued += run.lasting or run.priority == URGENT_PRIORITY
        lost += lost_work(run)
    return (host.has_suspect, int(valued), lost)


def _shows_speed(unit: SchedulingUnit, host: Host) -> bool:
    """Return whether a task of ``unit`` would show the unknown speed of ``host``.

    Only tasks of one step on several hosts do, since declared times are far off. A
    run there that has not been measured yet may show it already.
    """
    step = unit.step
    if unit.priority == URGENT_PRIORITY or step.gang or step.lasting:
        return False
    if len(unit.tasks) == 1 or step.data_rack not in ("", host.rack):
        return False
    if host.speed_error < UNKNOWN_SPEED_ERROR or host.recent_failures:
        return False
    return all(run.measured or run.step.count == 1 for run in host.running)


def _preference(
    unit: SchedulingUnit, capacity: FreeCapacity, host: Host, now: float
) -> tuple[bool, float, int, float, int, str]:
    """Return the sort key of ``host``; the smallest is preferred.

    Hosts that should run empty come last.

    Hosts that meet the deadline come first, among them those that runs have not
    failed on, the slowest of these leading, then those with the fewest free
    accelerators. This leaves fast workers to urgent work. Work with a tight
    objective takes the host that is surely fast.
    """
    estimate_slowdown = cautious_slowdown if unit.is_tight else slowdown
    effective_slowdown = estimate_slowdown(unit.step, host) * (
        1 + FAILURE_PENALTY * host.recent_failures
    )
    if host.name in unit.avoided_hosts:
        effective_slowdown *= FAILED_HOST_PENALTY
    remaining = capacity.free(host).minus(unit.step.reserved)
    late_key = (host.is_reserved, round(effective_slowdown, 1), 0, 0.0)
    if unit.is_tight:
        return (*late_key, remaining.gpus, host.name)
    slack = unit.deadline - now - unit.chain_seconds
    estimate = max(unit.step.estimate_seconds, 0.1)
    max_slowdown = PLANNED_SHARE * (1 + slack / estimate)
    if effective_slowdown <= max_slowdown:
        doubts = host.recent_failures + (host.name in unit.avoided_hosts)
        rank = -round(estimate_slowdown(unit.step, host), 1)  # the slowest first
        if unit.failed_before:
            # Another failure may be the last: soundness goes before speed.
            rank = _soundness_rank(host)
        return (host.is_reserved, 0.0, doubts, rank, remaining.gpus, host.name)
    return (*late_key, remaining.gpus, host.name)


def _soundness_rank(host: Host) -> float:
    """Return the rank of ``host`` for a task that has failed.

    The best proven hosts come first, then those whose failure is the oldest.
    """
    if host.is_proven:
        return round(host.proof_age)
    return PROOF_SECONDS + max(0.0, PROOF_SECONDS - host.doubt_age)


def layout_slowdown(
    unit: SchedulingUnit,
    layout: Layout,
    estimate_slowdown: Callable[[StepSpec, Host], float] = slowdown,
) -> float:
    """Return the largest slowdown of any task in ``layout``."""
    slowest = max(estimate_slowdown(unit.step, host) for host, _ in layout)
    racks = {host.rack for host, _ in layout}
    if unit.step.same_rack and len(racks) > 1:
        slowest *= REMOTE_SLOWDOWN
    return slowest
