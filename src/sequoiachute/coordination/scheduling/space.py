"""Free room on hosts while a decision is being made."""

from collections.abc import Iterable

from sequoiachute.coordination.scheduling.model import Host, Running, Unit
from sequoiachute.protocol.workload import Resources, StepSpec

FAR_FACTOR = 3.0  # work away from its data or split over racks; the site's far_x
GPU_CORES = 8  # what an accelerator counts as
SUSPECT_FAILURES = 2  # failures without a success between them


GangKey = tuple[str, int, int]


def core_seconds(need: Resources, seconds: float) -> float:
    """Return work in core-seconds; an accelerator counts as several cores."""
    return (need.cpu_millis / 1000 + GPU_CORES * need.gpus) * seconds


def loss(run: Running) -> float:
    """Return the work in core-seconds that stopping ``run`` throws away."""
    return core_seconds(run.need, run.unsaved_seconds)


def _gang_losses(hosts: Iterable[Host]) -> dict[GangKey, float]:
    losses: dict[GangKey, float] = {}
    for host in hosts:
        for run in host.running:
            if run.gang:
                key = run.task[:3]
                losses[key] = losses.get(key, 0.0) + loss(run)
    return losses


class Space:
    """What each host has left, decision by decision."""

    def __init__(self, hosts: tuple[Host, ...]) -> None:
        self._hosts = {host.name: host for host in hosts}
        self._free: dict[str, Resources] = {}
        self._gang_losses: dict[GangKey, float] | None = None
        for host in hosts:
            free = host.capacity
            for run in host.running:
                free = free.minus(run.need)
            self._free[host.name] = free

    @property
    def hosts(self) -> dict[str, Host]:
        """Every host by name."""
        return self._hosts

    def with_room(self, need: Resources) -> list[Host]:
        """Return the hosts on which one task of this size fits now."""
        found = []
        for name, free in self._free.items():
            if free.covers(need):
                found.append(self._hosts[name])
        return found

    @property
    def gang_losses(self) -> dict[GangKey, float]:
        """Work in core-seconds that breaking each running gang throws away."""
        if self._gang_losses is None:
            self._gang_losses = _gang_losses(self._hosts.values())
        return self._gang_losses

    def free(self, host: Host) -> Resources:
        """Return what is left on ``host``."""
        return self._free[host.name]

    def take(self, host: Host, need: Resources) -> None:
        """Take room."""
        self._free[host.name] = self._free[host.name].minus(need)

    def give_back(self, host: Host, need: Resources) -> None:
        """Give room back."""
        self._free[host.name] = self._free[host.name].plus(need)


def may_run(unit: Unit, host: Host) -> bool:
    """Return whether the unit's tasks are allowed on ``host`` at all."""
    step = unit.step
    if not host.is_open or host.service != unit.service:
        return False
    if step.label and step.label not in host.labels:
        return False
    if unit.tickets is not None and host.life.worker_id not in unit.tickets:
        return False
    trusted = 1 if unit.last_attempt else SUSPECT_FAILURES
    if host.suspicion >= trusted:
        return False
    return host.capacity.covers(step.reserved)


def room_for(unit: Unit, host: Host, space: Space, already: int) -> int:
    """Return how many more tasks of the unit fit on ``host`` now."""
    step = unit.step
    most = len(unit.tasks)
    if step.per_worker:
        most = min(most, step.per_worker - already)
    free = space.free(host)
    need = step.reserved
    for have, want in zip(free, need, strict=True):
        if want > 0:
            most = min(most, have // want)
    return max(0, most)


def slowdown(step: StepSpec, host: Host) -> float:
    """Return how many times as long as declared a task takes on ``host``."""
    far = step.data_rack and step.data_rack != host.rack
    return (FAR_FACTOR if far else 1.0) / max(host.speed, 0.05)
