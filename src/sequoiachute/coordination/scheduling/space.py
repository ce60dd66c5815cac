"""Free room on hosts while a decision is being made."""

from sequoiachute.coordination.scheduling.model import Host, Unit
from sequoiachute.protocol.workload import Resources, StepSpec

FAR_FACTOR = 3.0  # work away from its data or split over racks; the site's far_x
GPU_CORES = 8  # what an accelerator counts as
SUSPECT_FAILURES = 2  # failures without a success between them


class Space:
    """What each host has left, decision by decision."""

    def __init__(self, hosts: tuple[Host, ...]) -> None:
        self._hosts = {host.name: host for host in hosts}
        self._free: dict[str, Resources] = {}
        self._placed: dict[str, int] = {}
        for host in hosts:
            free = host.capacity
            for run in host.running:
                free = free.minus(run.need)
            self._free[host.name] = free

    @property
    def hosts(self) -> dict[str, Host]:
        """Every host by name."""
        return self._hosts

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
    return host.capacity.holds(step.reserved)


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
