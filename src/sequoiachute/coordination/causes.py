"""Attributes the waiting time of jobs to causes over placement rounds."""

from sequoiachute.coordination.placement import (
    PlacementDecision,
    PlacementPolicy,
    PlacementView,
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

# Text in a requeued job's reason and the cause it stands for; the first match counts.
_REQUEUE_CAUSES = (
    ("out of service", DRAIN),
    ("reclaim", RECLAIM),
    ("evict", RECLAIM),
    ("quarantine", QUARANTINE),
    ("fail", QUARANTINE),
)

MAX_ROUND_GAP_SECONDS = 3.0  # a longer gap between rounds counts as a log outage


class WaitRecordingPolicy:
    """Delegates to a policy and records what every queued job waits for.

    Parameters
    ----------
    policy : PlacementPolicy
        Makes the decisions.
    configuration : Configuration
        Tells which data centres are out of service.
    """

    def __init__(self, policy: PlacementPolicy, configuration: Configuration) -> None:
        self._policy = policy
        self._configuration = configuration
        self._guaranteed_since: dict[str, float] = {}
        self._wait_seconds: dict[str, dict[str, float]] = {}
        self._fleet_uses: dict[tuple[str, ...], FleetUse] = {}
        self._last_round_at: float | None = None

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return the policy's decision and record the round."""
        decision = self._policy.decide(view)
        self._record_round(view)
        return decision

    def wait_seconds_by_cause(self, job_id: str) -> dict[str, float]:
        """Return the seconds that the job has waited, by cause."""
        return self._wait_seconds.get(job_id, {})

    def forget_job(self, job_id: str) -> None:
        """Drop the record of a job that has ended."""
        self._wait_seconds.pop(job_id, None)
        self._guaranteed_since.pop(job_id, None)

    def guaranteed_since(self, job_id: str) -> float | None:
        """Return the wall time since which a guarantee covers the queued job.

        ``None`` if no guarantee covers it.
        """
        return self._guaranteed_since.get(job_id)

    def pop_fleet_uses(self) -> list[FleetUse]:
        """Return the use of accelerators since the last call and reset it.

        There is one entry per set of data centres out of service.
        """
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
        out_of_service = self._configuration.out_of_service
        for job in view.queued:
            cause = LOG_OUTAGE if outage else waiting_cause(job, view, out_of_service)
            waited = self._wait_seconds.setdefault(job.job_id, {})
            began = max(view.now - seconds, job.submitted_at)
            waited[cause] = waited.get(cause, 0.0) + max(0.0, view.now - began)
        self._add_fleet_use(view, seconds)

    def _update_guaranteed(self, view: PlacementView) -> None:
        used: dict[str, int] = {}
        for job in view.running:
            used[job.account] = used.get(job.account, 0) + _accelerators_of(job)
        for job in view.queued:
            covered = used.get(job.account, 0) + _accelerators_of(job)
            if covered > _guarantee_of(job.account, view) or not _accelerators_of(job):
                self._guaranteed_since.pop(job.job_id, None)
                continue
            used[job.account] = covered
            self._guaranteed_since.setdefault(job.job_id, view.now)

    def _add_fleet_use(self, view: PlacementView, seconds: float) -> None:
        out_of_service = sorted(self._configuration.out_of_service)
        free, unusable = unusable_accelerators(view)
        use = self._fleet_uses.setdefault(
            tuple(out_of_service),
            {
                "seconds": 0.0,
                "free": 0.0,
                "unusable": 0.0,
                "work": {},
                "out": out_of_service,
            },
        )
        use["seconds"] += seconds
        use["free"] += free * seconds
        use["unusable"] += unusable * seconds
        for worker in view.workers:
            busy = worker.accelerators - len(worker.free_accelerators)
            total = use["work"].get(worker.data_centre, 0.0)
            use["work"][worker.data_centre] = total + busy * seconds


def waiting_cause(job: Job, view: PlacementView, out_of_service: frozenset[str]) -> str:
    """Return the cause for which ``job`` is not running in this round.

    ``out_of_service`` holds the names of data centres.
    """
    for text, cause in _REQUEUE_CAUSES:
        if text in job.reason:
            return cause
    need = _accelerators_of(job)
    free = sum(len(worker.free_accelerators) for worker in view.workers)
    if 0 < need <= free:
        return FRAGMENTATION
    return DRAIN if out_of_service else QUEUEING


def dominant_cause(waited: dict[str, float]) -> str:
    """Return the cause a job waited for longest, queueing if there is none."""
    longest = max(waited.items(), key=lambda item: (item[1], item[0]), default=None)
    return longest[0] if longest is not None else QUEUEING


def unusable_accelerators(view: PlacementView) -> tuple[int, int]:
    """Return the numbers of free accelerators and of unusable ones among them.

    An accelerator is unusable if the largest queued gang can't use it.
    """
    free = sum(len(worker.free_accelerators) for worker in view.workers)
    largest = None
    for job in view.queued:
        size = job.spec["tasks"] * job.spec["accelerators"]
        if largest is None or size > _accelerators_of(largest):
            largest = job
    if largest is None or not largest.spec["accelerators"]:
        return free, 0
    return free, free - _usable_accelerators(largest, view.workers)


def _accelerators_of(job: Job) -> int:
    return job.spec["tasks"] * job.spec["accelerators"]


def _usable_accelerators(job: Job, workers: tuple[Worker, ...]) -> int:
    """Return how many free accelerators whole gangs of ``job`` could occupy."""
    need = job.spec["accelerators"]
    members: dict[tuple[str, ...], int] = {}
    for worker in workers:
        domain = domain_of(worker, job.spec["within"])
        fitting = min(worker.free_slots, len(worker.free_accelerators) // need)
        members[domain] = members.get(domain, 0) + fitting
    usable = 0
    for fitting in members.values():
        gangs = fitting // job.spec["tasks"]
        usable += gangs * _accelerators_of(job)
    return usable


def _guarantee_of(account: str, view: PlacementView) -> int:
    """Return how many accelerators the catalogue guarantees to ``account``."""
    entry = view.catalogue["accounts"].get(account)
    if entry is None:
        return 0
    return sum(shape["accelerators"] for shape in entry.get("guarantees", []))
