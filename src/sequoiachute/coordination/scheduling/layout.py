"""Choosing hosts for the tasks of a unit."""

from sequoiachute.coordination.scheduling.model import URGENT_PRIORITY, Host, SchedulingUnit
from sequoiachute.coordination.scheduling.capacity import (
    REMOTE_SLOWDOWN,
    FreeCapacity,
    is_eligible,
    count_fitting,
    slowdown,
)

DOUBT = 0.5  # a failure that no success followed counts as this much time
AVOID_FACTOR = 4.0  # a host where the job has failed comes after slow and far ones

IN_TIME_SHARE = 0.6  # of the time left; estimates are off by up to a half

Layout = list[tuple[Host, int]]


def best_layout(
    unit: SchedulingUnit, space: FreeCapacity, count: int, now: float, whole: bool = True
) -> Layout | None:
    """Return hosts for ``count`` tasks of the unit, the soonest to finish.

    With ``whole`` all of them or none; otherwise as many as fit.
    """
    need = unit.step.reserved
    hosts = []
    for host in space.with_room(need):
        if is_eligible(unit, host):
            hosts.append(host)
    if not unit.step.same_rack:
        return _fill(unit, space, hosts, count, now, whole)
    best = None
    for layout in _rack_layouts(unit, space, hosts, count, now, whole):
        if best is None or layout_slowdown(unit, layout) < layout_slowdown(unit, best):
            best = layout
    return best


def _rack_layouts(
    unit: SchedulingUnit, space: FreeCapacity, hosts: list[Host], count: int, now: float, whole: bool
) -> list[Layout]:
    racks: dict[str, list[Host]] = {}
    for host in hosts:
        racks.setdefault(host.rack, []).append(host)
    layouts = []
    for members in racks.values():
        layout = _fill(unit, space, members, count, now, whole)
        if layout is not None:
            layouts.append(layout)
    return layouts


def _fill(
    unit: SchedulingUnit, space: FreeCapacity, hosts: list[Host], count: int, now: float, whole: bool
) -> Layout | None:
    """Fill hosts in order of preference."""
    layout: Layout = []
    left = count
    for host in sorted(hosts, key=lambda host: _preference(unit, space, host, now)):
        already = unit.placed_per_host.get(host.name, 0)
        fits = min(left, count_fitting(unit, host, space, already))
        if fits <= 0:
            continue
        layout.append((host, fits))
        left -= fits
        if not left:
            return layout
    if whole or not layout:
        return None
    return layout


def _preference(
    unit: SchedulingUnit, space: FreeCapacity, host: Host, now: float
) -> tuple[float, float, int, str]:
    """Sort hosts: those in time first, of these the slow, then the best filled.

    Fast workers are thus left to urgent work, which takes the fastest: its
    objective is tight and estimates are off.
    """
    slow = slowdown(unit.step, host) * (1 + DOUBT * host.recent_failures)
    if host.name in unit.avoided_hosts:
        slow *= AVOID_FACTOR
    left = space.free(host).minus(unit.step.reserved)
    if unit.priority == URGENT_PRIORITY:
        return (round(slow, 1), 0.0, left.gpus, host.name)
    slack = unit.deadline - now - unit.chain_seconds
    estimate = max(unit.step.estimate_seconds, 0.1)
    bearable = IN_TIME_SHARE * (1 + slack / estimate)
    if slow <= bearable:
        return (0.0, -round(slow, 1), left.gpus, host.name)
    return (round(slow, 1), 0.0, left.gpus, host.name)


def layout_slowdown(unit: SchedulingUnit, layout: Layout) -> float:
    """Return the slowdown of the slowest member."""
    slowest = max(slowdown(unit.step, host) for host, _ in layout)
    racks = {host.rack for host, _ in layout}
    if unit.step.same_rack and len(racks) > 1:
        slowest *= REMOTE_SLOWDOWN
    return slowest
