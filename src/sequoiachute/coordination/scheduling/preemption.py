"""Choosing what to stop so that urgent work fits, at the least loss.

A stopped run loses the work that no checkpoint holds; stopping one member of a
gang loses that of all members.
"""

from typing import NamedTuple

from sequoiachute.coordination.scheduling.model import Host, Running, Stop, Unit
from sequoiachute.coordination.scheduling.space import (
    GangKey,
    Space,
    core_seconds,
    loss,
    may_run,
    slowdown,
)
from sequoiachute.protocol.workload import Resources

ENDS_SOON_SECONDS = 0.8  # a run that ends by then is left to; a stop takes as long
LOSS_PER_WORK = 1.0  # core-seconds that may be lost for each one of urgent work


class Room(NamedTuple):
    """Hosts on which tasks fit once the victims are stopped."""

    hosts: tuple[tuple[Host, int], ...]
    stops: tuple[Stop, ...]
    loss: float


class _Offer(NamedTuple):
    """One more task on a host: what must be stopped and the cost of it."""

    cost: float
    loss: float
    victims: tuple[Running, ...]


def find_room(
    unit: Unit,
    space: Space,
    whole: bool,
    slowest: float = float("inf"),
    loss_per_work: float = LOSS_PER_WORK,
) -> Room | None:
    """Return the cheapest room for the unit's tasks, ``None`` if there is none.

    With ``whole`` for all of them; on no host slower than ``slowest``. Unless
    the unit is guaranteed, no more work is lost than ``loss_per_work`` times
    what the unit itself needs.
    """
    hosts = []
    for host in space.hosts.values():
        if may_run(unit, host) and slowdown(unit.step, host) <= slowest:
            hosts.append(host)
    groups = [hosts]
    if unit.step.same_rack:
        racks: dict[str, list[Host]] = {}
        for host in hosts:
            racks.setdefault(host.rack, []).append(host)
        groups = list(racks.values())
    best = None
    for group in groups:
        room = _Search(unit, space, group, loss_per_work).run(whole)
        if room is not None and (best is None or room.loss < best.loss):
            best = room
    return best


class _Search:
    """Adds the unit's tasks one by one where the next costs least."""

    def __init__(
        self, unit: Unit, space: Space, hosts: list[Host], loss_per_work: float
    ) -> None:
        self._unit = unit
        self._loss_per_work = loss_per_work
        self._hosts = hosts
        self._gang_losses = space.gang_losses
        self._broken: set[GangKey] = set()
        self._free = {host.name: space.free(host) for host in hosts}
        self._victims = {host.name: self._candidates(host) for host in hosts}
        self._counts: dict[str, int] = {}
        self._offers: dict[str, _Offer | None] = {}
        self._stops: list[Stop] = []
        self._loss = 0.0
        seconds = unit.step.estimate_seconds
        self._task_work = core_seconds(unit.step.need, seconds)

    def run(self, whole: bool) -> Room | None:
        wanted = len(self._unit.tasks)
        for number in range(wanted):
            if not self._add_one(number + 1):
                if whole or not self._counts:
                    return None
                break
        by_name = {host.name: host for host in self._hosts}
        hosts = tuple((by_name[name], count) for name, count in self._counts.items())
        return Room(hosts, tuple(self._stops), self._loss)

    def _candidates(self, host: Host) -> list[Running]:
        found = [run for run in host.running if self._may_stop(run)]
        found.sort(key=self._loss_of)
        return found

    def _may_stop(self, run: Running) -> bool:
        if run.stopping:
            return True
        if run.lasting:
            return False
        if self._unit.guaranteed:
            return not run.guaranteed
        return run.priority > self._unit.priority

    def _loss_of(self, run: Running) -> float:
        if run.stopping or _ends_soon(run):
            return 0.0
        if not run.gang:
            return loss(run)
        key = run.task[:3]
        return 0.0 if key in self._broken else self._gang_losses[key]

    def _add_one(self, number: int) -> bool:
        best_host, best = None, None
        for host in self._hosts:
            if host.name not in self._offers:
                self._offers[host.name] = self._offer(host)
            offer = self._offers[host.name]
            if offer is not None and (best is None or offer.cost < best.cost):
                best_host, best = host, offer
        if best_host is None or best is None:
            return False
        count = len(self._unit.tasks) if self._unit.step.gang else number
        budget = self._loss_per_work * self._task_work * count
        if not self._unit.guaranteed and self._loss + best.loss > budget:
            return False
        self._take(best_host, best)
        return True

    def _offer(self, host: Host) -> _Offer | None:
        step = self._unit.step
        placed = self._counts.get(host.name, 0)
        placed += self._unit.placed_per_host.get(host.name, 0)
        if step.per_worker and placed >= step.per_worker:
            return None
        free = self._free[host.name]
        victims = []
        lost = 0.0
        for run in self._victims[host.name]:
            if free.covers(step.reserved):
                break
            if not _helps(free, step.reserved, run.need):
                continue
            victims.append(run)
            lost += self._loss_of(run)
            free = free.plus(run.need)
        if not free.covers(step.reserved):
            return None
        slow = max(0.0, slowdown(step, host) - 1.0) * self._task_work
        return _Offer(lost + slow, lost, tuple(victims))

    def _take(self, host: Host, offer: _Offer) -> None:
        self._offers.pop(host.name, None)
        free = self._free[host.name]
        for run in offer.victims:
            self._victims[host.name].remove(run)
            free = free.plus(run.need)
            if run.stopping or _ends_soon(run):
                continue
            reason = f"preempted for {self._unit.tasks[0].job_id}"
            self._stops.append(Stop(run.task, run.run, host.name, reason))
            if run.gang:
                # Stopping its other members costs nothing more, wherever.
                self._broken.add(run.task[:3])
                self._offers.clear()
        self._free[host.name] = free.minus(self._unit.step.reserved)
        self._counts[host.name] = self._counts.get(host.name, 0) + 1
        self._loss += offer.loss


def _ends_soon(run: Running) -> bool:
    """Return whether the room comes as soon if the run is left to its end."""
    return run.measured and run.left_seconds <= ENDS_SOON_SECONDS


def _helps(free: Resources, need: Resources, gain: Resources) -> bool:
    """Return whether a run of this size frees something that lacks."""
    for have, want, more in zip(free, need, gain, strict=True):
        if have < want and more > 0:
            return True
    return False
