"""Jobs that can never run, told from those that must wait for workers."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.model import PlacementView, domain_of
from sequoiachute.coordination.placement.extents import run_masks
from sequoiachute.protocol.records import JobSpec
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job

SETTLE_SECONDS = 30.0  # without a new worker before "never" is said


class Signature(NamedTuple):
    """What decides where a job fits."""

    tasks: int
    accelerators: int
    within: str
    speed_class: str


class Verdict(NamedTuple):
    """Why a job does not fit; ``never`` if no known worker could change it."""

    never: bool
    reason: str


def signature_of(spec: JobSpec) -> Signature:
    """Return the signature of ``spec``."""
    speed_class = spec.get("speed_class", "")
    return Signature(spec["tasks"], spec["accelerators"], spec["within"], speed_class)


class Feasibility:
    """Judges jobs against the whole fleet ever seen, in service or out."""

    def __init__(self) -> None:
        self._known: dict[str, Worker] = {}
        self._in_service: frozenset[str] = frozenset()
        self._out: frozenset[str] = frozenset()
        self._settled_at = float("inf")
        self._verdicts: dict[Signature, Verdict | None] = {}

    def refresh(self, view: PlacementView, changed: bool) -> None:
        """Take over which workers there are; ``changed`` if any in service did."""
        out = frozenset(worker.worker_id for worker in view.unavailable)
        if not changed and out == self._out:
            return
        self._out = out
        in_service = frozenset(worker.worker_id for worker in view.workers)
        known = {}
        for worker in (*view.workers, *view.unavailable):
            known[worker.worker_id] = worker
        if set(known) - set(self._known):
            self._settled_at = view.now + SETTLE_SECONDS
        if set(known) != set(self._known) or in_service != self._in_service:
            self._verdicts.clear()
        self._known = known
        self._in_service = in_service

    def judge(self, job: Job, now: float) -> Verdict | None:
        """Return why ``job`` can't run on an empty fleet; ``None`` if it can.

        While workers are still being announced nothing is judged never.
        """
        signature = signature_of(job.spec)
        if signature not in self._verdicts:
            self._verdicts[signature] = self._verdict(signature)
        verdict = self._verdicts[signature]
        if verdict is not None and verdict.never and now < self._settled_at:
            return None
        return verdict

    def _verdict(self, signature: Signature) -> Verdict | None:
        serving = []
        for worker_id in self._in_service:
            serving.append(self._known[worker_id])
        if fits_empty(signature, serving):
            return None
        known = list(self._known.values())
        if fits_empty(signature, known):
            reason = "no place while data centres or workers are out"
            return Verdict(False, f"{reason}; restore them or wait")
        return Verdict(True, _why_never(signature, known))


def fits_empty(signature: Signature, workers: Sequence[Worker]) -> bool:
    """Return whether the gang fits on ``workers`` when nothing else runs."""
    room: dict[tuple[str, ...], int] = {}
    for worker in workers:
        if signature.speed_class not in ("", worker.speed_class):
            continue
        domain = domain_of(worker, signature.within)
        room[domain] = room.get(domain, 0) + _capacity(signature, worker)
        if room[domain] >= signature.tasks:
            return True
    return False


def _capacity(signature: Signature, worker: Worker) -> int:
    if not signature.accelerators:
        return worker.slots
    runs = run_masks(worker.accelerators, signature.accelerators)
    return min(worker.slots, len(runs))


def _why_never(signature: Signature, workers: Iterable[Worker]) -> str:
    classes = {worker.speed_class for worker in workers}
    wanted = signature.speed_class
    if wanted and wanted not in classes:
        return f"no worker is of speed class {wanted!r}; use {sorted(classes)}"
    sizes = []
    for worker in workers:
        if wanted in ("", worker.speed_class):
            sizes.append(worker.accelerators)
    largest = max(sizes, default=0)
    if signature.accelerators > largest:
        asked = signature.accelerators
        return f"a task asks for {asked} accelerators, the largest worker has {largest}"
    within = signature.within.replace("_", " ")
    return (
        f"no {within} holds {signature.tasks} tasks of "
        f"{signature.accelerators} accelerators; ask for fewer or a wider place"
    )
