"""What jobs wait for, seen from round to round of placement."""

from sequoiachute.coordination.placement import (
    Decision,
    PlacementView,
    Policy,
    domain_of,
)
from sequoiachute.protocol.service_levels import FleetUse
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Worker
from sequoiachute.state.jobs import Job

QUEUEING = "queueing"
FRAGMENTATION = "fragmentation"
DRAIN = "drain"
QUARANTINE = "quarantine"
LOG_OUTAGE = "log-outage"
RECLAIM = "reclaim"
SHED = "shed"
FAILURE = "failure"
RUN_TIME = "run-time"

# What a requeued job's reason says, in the order of looking.
_REQUEUE_CAUSES = (
    ("out of service", DRAIN),
    ("reclaim", RECLAIM),
    ("evict", RECLAIM),
    ("quarantine", QUARANTINE),
    ("fail", QUARANTINE),
)

MAX_ROUND_GAP_SECONDS = 3.0  # a longer gap between rounds is an outage


class WaitRecordingPolicy:
    """Passes rounds on to a policy and notes what every queued job waits for.

    Parameters
    ----------
    policy : Policy
        Decides.
    configuration : Configuration
        Tells which data centres are out of service.
    """

    def __init__(self, policy: Policy, configuration: Configuration) -> None:
        self._policy = policy
        self._configuration = configuration
        self._guaranteed_since: dict[str, float] = {}
        self._wait_seconds: dict[str, dict[str, float]] = {}
        self._fleet_uses: dict[tuple[str, ...], FleetUse] = {}
        self._last_round_at: float | None = None

    def decide(self, view: PlacementView) -> Decision:
        """Return what the policy decides."""
        decision = self._policy.decide(view)
        self._record_round(view)
        return decision

    def wait_seconds_by_cause(self, job_id: str) -> dict[str, float]:
        """Return the seconds that the job has waited, by cause."""
        return self._wait_seconds.get(job_id, {})

    def forget_job(self, job_id: str) -> None:
        """Drop what is known of a job that has ended."""
        self._wait_seconds.pop(job_id, None)
        self._guaranteed_since.pop(job_id, None)

    def guaranteed_since(self, job_id: str) -> float | None:
        """Return the wall time since which a guarantee covers the waiting job."""
        return self._guaranteed_since.get(job_id)

    def pop_fleet_uses(self) -> list[FleetUse]:
        """Return the accelerators' use since the last call."""
        uses = list(self._fleet_uses.values())
        self._fleet_uses = {}
        return uses

    def _record_round(self, view: PlacementView) -> None:
        if self._last_round_at is None:
            self._last_round_at = view.now
            return
        seconds = max(0.0, view.now - self._last_round_at)
        self._last_round_at = view.now
        outage = seconds > MAX_ROUND_GAP_SECONDS
        self._update_guaranteed(view)
        out = self._configuration.out_of_service
        for job in view.queued:
            cause = LOG_OUTAGE if outage else waiting_cause(job, view, out)
            waited = self._wait_seconds.setdefault(job.job_id, {})
            began = max(view.now - seconds, job.submitted_at)
            waited[cause] = waited.get(cause, 0.0) + max(0.0, view.now - began)
        self._add_fleet_use(view, seconds)

    def _update_guaranteed(self, view: PlacementView) -> None:
        used: dict[str, int] = {}
        for job in view.running:
            used[job.account] = used.get(job.account, 0) + _gang_accelerators(job)
        for job in view.queued:
            covered = used.get(job.account, 0) + _gang_accelerators(job)
            if covered > _guaranteed_accelerators(
                job.account, view
            ) or not _gang_accelerators(job):
                self._guaranteed_since.pop(job.job_id, None)
                continue
            used[job.account] = covered
            self._guaranteed_since.setdefault(job.job_id, view.now)

    def _add_fleet_use(self, view: PlacementView, seconds: float) -> None:
        out = sorted(self._configuration.out_of_service)
        free, unusable = unusable_accelerators(view)
        use = self._fleet_uses.setdefault(
            tuple(out),
            {"seconds": 0.0, "free": 0.0, "unusable": 0.0, "work": {}, "out": out},
        )
        use["seconds"] += seconds
        use["free"] += free * seconds
        use["unusable"] += unusable * seconds
        for worker in view.workers:
            busy = worker.accelerators - len(worker.free_accelerators)
            known = use["work"].get(worker.data_centre, 0.0)
            use["work"][worker.data_centre] = known + busy * seconds


def waiting_cause(job: Job, view: PlacementView, out: frozenset[str]) -> str:
    """Return why ``job`` is not running in this round.

    ``out`` are the data centres that are out of service.
    """
    for text, cause in _REQUEUE_CAUSES:
        if text in job.reason:
            return cause
    need = _gang_accelerators(job)
    free = sum(len(worker.free_accelerators) for worker in view.workers)
    if 0 < need <= free:
        return FRAGMENTATION
    return DRAIN if out else QUEUEING


def dominant_cause(waited: dict[str, float]) -> str:
    """Return what a job waited for longest; queueing if nothing is known."""
    longest = max(waited.items(), key=lambda item: (item[1], item[0]), default=None)
    return longest[0] if longest is not None else QUEUEING


def unusable_accelerators(view: PlacementView) -> tuple[int, int]:
    """Return the free accelerators, and those the largest waiting gang can't use."""
    free = sum(len(worker.free_accelerators) for worker in view.workers)
    largest = None
    for job in view.queued:
        size = job.spec["tasks"] * job.spec["accelerators"]
        if largest is None or size > _gang_accelerators(largest):
            largest = job
    if largest is None or not largest.spec["accelerators"]:
        return free, 0
    return free, free - _usable_accelerators(largest, view.workers)


def _gang_accelerators(job: Job) -> int:
    return job.spec["tasks"] * job.spec["accelerators"]


def _usable_accelerators(job: Job, workers: tuple[Worker, ...]) -> int:
    """Return the free accelerators in domains that could hold the whole gang."""
    need = job.spec["accelerators"]
    members: dict[tuple[str, ...], int] = {}
    for worker in workers:
        domain = domain_of(worker, job.spec["within"])
        members_that_fit = min(worker.free_slots, len(worker.free_accelerators) // need)
        members[domain] = members.get(domain, 0) + members_that_fit
    usable = 0
    for members_that_fit in members.values():
        gangs = members_that_fit // job.spec["tasks"]
        usable += gangs * _gang_accelerators(job)
    return usable


def _guaranteed_accelerators(account: str, view: PlacementView) -> int:
    """Return the accelerators that the catalogue guarantees to ``account``."""
    entry = view.catalogue["accounts"].get(account)
    if entry is None:
        return 0
    return sum(shape["accelerators"] for shape in entry.get("guarantees", []))
