"""Tells jobs that can never run from those that must wait for workers."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.extents import extent_masks
from sequoiachute.coordination.placement.model import PlacementView, domain_of
from sequoiachute.protocol.records import JobSpec
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job

FLEET_STABLE_SECONDS = 30.0  # without a new worker before a job is refused


class GangRequirements(NamedTuple):
    """The properties of a job that decide where it fits."""

    tasks: int
    accelerators: int
    within: str
    speed_class: str


class Infeasibility(NamedTuple):
    """Why a job does not fit.

    ``is_permanent`` says that it would not fit on all known workers either.
    """

    is_permanent: bool
    reason: str


def requirements_of(spec: JobSpec) -> GangRequirements:
    """Return the requirements that ``spec`` states."""
    speed_class = spec.get("speed_class", "")
    return GangRequirements(
        spec["tasks"], spec["accelerators"], spec["within"], speed_class
    )


class FeasibilityChecker:
    """Checks jobs against all known workers, available or not."""

    def __init__(self) -> None:
        self._known: dict[str, Worker] = {}
        self._in_service: frozenset[str] = frozenset()
        self._unavailable: frozenset[str] = frozenset()
        self._stable_at = float("inf")
        self._results: dict[GangRequirements, Infeasibility | None] = {}

    def refresh(self, view: PlacementView, changed: bool) -> None:
        """Update the known workers; ``changed`` if those in service have changed."""
        unavailable = frozenset(worker.worker_id for worker in view.unavailable)
        if not changed and unavailable == self._unavailable:
            return
        self._unavailable = unavailable
        in_service = frozenset(worker.worker_id for worker in view.workers)
        known = {}
        for worker in (*view.workers, *view.unavailable):
            known[worker.worker_id] = worker
        if set(known) - set(self._known):
            self._stable_at = view.now + FLEET_STABLE_SECONDS
        if set(known) != set(self._known) or in_service != self._in_service:
            self._results.clear()
        self._known = known
        self._in_service = in_service

    def check(self, job: Job, now: float) -> Infeasibility | None:
        """Return why ``job`` can't run on an empty fleet; ``None`` if it can.

        No job is found permanently infeasible within ``FLEET_STABLE_SECONDS`` of
        a new worker's announcement: more workers may follow.
        """
        requirements = requirements_of(job.spec)
        if requirements not in self._results:
            self._results[requirements] = self._evaluate(requirements)
        infeasibility = self._results[requirements]
        if (
            infeasibility is not None
            and infeasibility.is_permanent
            and now < self._stable_at
        ):
            return None
        return infeasibility

    def _evaluate(self, requirements: GangRequirements) -> Infeasibility | None:
        in_service = []
        for worker_id in self._in_service:
            in_service.append(self._known[worker_id])
        if fits_empty(requirements, in_service):
            return None
        known = list(self._known.values())
        if fits_empty(requirements, known):
            reason = "does not fit while data centres or workers are out of service"
            return Infeasibility(False, f"{reason}; restore them or wait")
        return Infeasibility(True, _explain_permanent(requirements, known))


def fits_empty(requirements: GangRequirements, workers: Sequence[Worker]) -> bool:
    """Return whether the gang fits on ``workers`` if nothing else runs there."""
    capacity: dict[tuple[str, ...], int] = {}
    for worker in workers:
        if requirements.speed_class not in ("", worker.speed_class):
            continue
        domain = domain_of(worker, requirements.within)
        capacity[domain] = capacity.get(domain, 0) + _capacity(requirements, worker)
        if capacity[domain] >= requirements.tasks:
            return True
    return False


def _capacity(requirements: GangRequirements, worker: Worker) -> int:
    if not requirements.accelerators:
        return worker.slots
    extents = extent_masks(worker.accelerators, requirements.accelerators)
    return min(worker.slots, len(extents))


def _explain_permanent(
    requirements: GangRequirements, workers: Iterable[Worker]
) -> str:
    speed_classes = {worker.speed_class for worker in workers}
    speed_class = requirements.speed_class
    if speed_class and speed_class not in speed_classes:
        return (
            f"no worker is of speed class {speed_class!r}; use {sorted(speed_classes)}"
        )
    sizes = []
    for worker in workers:
        if speed_class in ("", worker.speed_class):
            sizes.append(worker.accelerators)
    largest = max(sizes, default=0)
    if requirements.accelerators > largest:
        requested = requirements.accelerators
        return (
            f"a task asks for {requested} accelerators, the largest worker has "
            f"{largest}"
        )
    within = requirements.within.replace("_", " ")
    return (
        f"no {within} holds {requirements.tasks} tasks of "
        f"{requirements.accelerators} accelerators; ask for fewer or widen 'within'"
    )
