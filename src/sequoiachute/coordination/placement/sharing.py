"""The placement policy: guarantees, fair shares and reservations."""

from loguru import logger

from sequoiachute.coordination.placement.allocations import AllocationTable
from sequoiachute.coordination.placement.bindings import GuaranteeBindings
from sequoiachute.coordination.placement.blocks import describe_shape
from sequoiachute.coordination.placement.feasibility import (
    FeasibilityChecker,
    GangRequirements,
    requirements_of,
)
from sequoiachute.coordination.placement.model import (
    BlockedJob,
    Placement,
    PlacementDecision,
    PlacementView,
    Shortfall,
    Unplaceable,
)
from sequoiachute.coordination.placement.ordering import FairShares, JobOrdering
from sequoiachute.coordination.placement.reclaim import EvictionPlanner
from sequoiachute.coordination.placement.reservations import (
    DepartureForecast,
    Reservations,
)
from sequoiachute.coordination.placement.search import FreePlacementSearch
from sequoiachute.coordination.placement.victims import EvictionCosts
from sequoiachute.state.jobs import Job

DEFAULT_FRAGMENTATION_WEIGHT = 0.5
MAX_STARTS = 16  # per round
MAX_NODE_VISITS = 1_400  # workers examined per round, over all jobs
STARVATION_SECONDS = 30.0  # of waiting before a reservation at fragmentation weight 0
MIN_STARVATION_SECONDS = 5.0
MAX_DISTANT_RESERVATIONS = 1  # for accelerators that are not free soon
RESERVATIONS_PER_ROUND = 3
IMMINENT_SECONDS = 30.0  # until accelerators that are free soon are free


class SharingPolicy:
    """Serves guarantees first, then classes by fair share, with reservations.

    Parameters
    ----------
    fragmentation_weight : float
        From 0, only completion time counts, to 1, only fragmentation.
    late_binding : bool
        Whether idle guaranteed shapes may be bound to other accelerators.
    """

    def __init__(
        self,
        fragmentation_weight: float = DEFAULT_FRAGMENTATION_WEIGHT,
        late_binding: bool = True,
    ) -> None:
        self.allocations = AllocationTable()
        self.bindings = GuaranteeBindings()
        self._fragmentation_weight = fragmentation_weight
        self._late_binding = late_binding
        self._ordering = JobOrdering(fragmentation_weight)
        self._reservations = Reservations()
        self._feasibility = FeasibilityChecker()
        self._starting_jobs: dict[str, Job] = {}
        self._tried: set[str] = set()
        self._shortfalls: tuple[Shortfall, ...] = ()

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return the placements to start now, with the evictions they need."""
        starting = {placement.job_id for placement in view.starting}
        for job_id in list(self._starting_jobs):
            if job_id not in starting:
                del self._starting_jobs[job_id]
        accounts = {job_id: job.account for job_id, job in self._starting_jobs.items()}
        version = self.allocations.version
        self.allocations.refresh(view.workers, view.starting, accounts)
        self.bindings.refresh(self.allocations, view.catalogue)
        self._feasibility.refresh(view, version != self.allocations.version)
        self._reservations.refresh(view.queued, self.allocations)
        self._log_shortfalls()
        decision = PlacementDecision(shortfalls=self._shortfalls)
        if not view.queued or not view.workers:
            return decision
        return self._round(view, starting).run(decision)

    def _log_shortfalls(self) -> None:
        """Log the guarantees that cannot be met whenever they change."""
        shortfalls = self.bindings.shortfalls
        if shortfalls == self._shortfalls:
            return
        for shortfall in shortfalls:
            if shortfall not in self._shortfalls:
                shape = describe_shape(shortfall.shape)
                logger.bind(account=shortfall.account).warning(
                    "a guarantee yields for want of workers in service: {}", shape
                )
        if not shortfalls:
            logger.info("every guarantee can be reclaimed again")
        self._shortfalls = shortfalls

    def _round(self, view: PlacementView, starting: set[str]) -> "_Round":
        running = {job.job_id: job for job in view.running}
        guaranteed = set(self.allocations.guaranteed_jobs())
        shares = FairShares(view, guaranteed)
        for job_id, job in self._starting_jobs.items():
            if job_id not in running:
                shares.add(job, job_id in guaranteed)
        costs = EvictionCosts(view, running)
        forecast = DepartureForecast(running, view.run_times, costs, view.now)
        return _Round(
            view,
            starting,
            shares,
            forecast,
            costs,
            EvictionPlanner(self.allocations, self.bindings, costs, self._late_binding),
            FreePlacementSearch(
                self.allocations,
                self.bindings,
                self._reservations,
                forecast,
                self._fragmentation_weight,
                _pinned(view),
            ),
            self,
        )


def _pinned(view: PlacementView) -> set[str]:
    """Return the workers with accelerators of jobs that can't resume."""
    pinned: set[str] = set()
    for job in view.running:
        if job.spec["accelerators"] and not job.spec.get("checkpointable"):
            pinned.update(job.workers)
    return pinned


def _submitted_at(job: Job) -> float:
    return job.submitted_at


class _Round:
    """Computes one placement round within its bounds."""

    def __init__(
        self,
        view: PlacementView,
        starting: set[str],
        shares: FairShares,
        forecast: DepartureForecast,
        costs: EvictionCosts,
        evictions: EvictionPlanner,
        search: FreePlacementSearch,
        policy: SharingPolicy,
    ) -> None:
        self._view = view
        self._starting = starting
        self._shares = shares
        self._forecast = forecast
        self._costs = costs
        self._evictions = evictions
        self._search = search
        self._policy = policy
        self._allocations = policy.allocations
        self._visits = 0
        self._placements: list[Placement] = []
        self._unplaceable: list[Unplaceable] = []
        self._blocked: list[BlockedJob] = []
        self._misfit_seconds: dict[tuple[bool, GangRequirements], float] = {}
        self._handled: set[str] = set(starting)
        self._starved: list[Job] = []

    def run(self, decision: PlacementDecision) -> PlacementDecision:
        """Return ``decision`` with the queued jobs tried until a bound is reached."""
        self._start_guaranteed()
        self._start_reserved()
        self._start_others()
        self._reserve()
        return decision._replace(
            placements=tuple(self._placements),
            unplaceable=tuple(self._unplaceable),
            blocked=tuple(self._blocked),
        )

    @property
    def _is_exhausted(self) -> bool:
        if len(self._placements) >= MAX_STARTS:
            return True
        return self._visits >= MAX_NODE_VISITS

    def _start_guaranteed(self) -> None:
        guaranteed_accounts = {key.account for key in self._policy.bindings.blocks}
        if not guaranteed_accounts:
            return
        covered = [
            job for job in self._view.queued if job.account in guaranteed_accounts
        ]
        covered.sort(key=self._urgency_key)
        failed_keys: set[tuple[str, GangRequirements]] = set()
        for job in covered:
            if self._is_exhausted:
                return
            if job.job_id in self._handled:
                continue
            fit_key = (job.account, requirements_of(job.spec))
            if fit_key in failed_keys:
                continue
            placement = self._evictions.place_guaranteed(job)
            if placement is None:
                failed_keys.add(fit_key)
                self._visits += 1
                continue
            self._visits += len(self._allocations.nodes)
            self._accept(job, placement)

    def _start_reserved(self) -> None:
        for job in self._view.queued:
            if self._is_exhausted:
                return
            if job.job_id in self._handled:
                continue
            reservation = self._policy._reservations.get(job.job_id)
            if reservation is None or self._try_place(job):
                continue
            placement = self._evictions.place_starved(job, reservation.block)
            if placement is not None:
                self._accept(job, placement)
                continue
            self._policy._reservations.revise(job, self._allocations, self._forecast)

    def _start_others(self) -> None:
        """Try the other jobs in order until the round's bound is reached.

        Half of the bound goes to the front of the queue. The other half skips
        jobs that earlier rounds have tried, so that a long queue starves nobody.
        """
        tried = self._policy._tried
        front_bound = (self._visits + MAX_NODE_VISITS) / 2
        for job in self._policy._ordering.order(self._view, self._shares):
            if self._is_exhausted:
                return
            if job.job_id in self._handled:
                continue
            if self._visits >= front_bound and job.job_id in tried:
                continue
            if not self._try_place(job):
                tried.add(job.job_id)
        tried.clear()

    def _try_place(self, job: Job) -> bool:
        if self._exceeds_limit(job):
            return False
        requirements = requirements_of(job.spec)
        urgent = self._is_urgent(job)
        misfit_key = (urgent, requirements)
        if self._is_known_misfit(misfit_key, job):
            if not self._report_infeasible(job) and self._is_starved(job):
                self._note_starved(job)
            return False
        self._visits += len(self._allocations.nodes)
        placement = None
        members = self._search.find(job)
        if members is not None:
            placement = Placement(job.job_id, members, guaranteed=False)
        elif urgent:
            self._visits += 2 * len(self._allocations.nodes)
            placement = self._evictions.place_urgent(job)
        if placement is not None:
            self._accept(job, placement)
            return True
        self._misfit_seconds[misfit_key] = job.spec["run_seconds"]
        if not self._report_infeasible(job) and self._is_starved(job):
            self._note_starved(job)
        return False

    def _note_starved(self, job: Job) -> None:
        self._starved.append(job)

    def _reserve(self) -> None:
        """Reserve accelerators for the jobs that have waited longest.

        Beyond the first reservations only accelerators that should be free soon
        are reserved, so that few stand idle.
        """
        reservations = self._policy._reservations
        self._starved.sort(key=_submitted_at)
        for job in self._starved[:RESERVATIONS_PER_ROUND]:
            ready_by = float("inf")
            if len(reservations) >= MAX_DISTANT_RESERVATIONS:
                ready_by = self._view.now + IMMINENT_SECONDS
            reservations.reserve(job, self._allocations, self._forecast, ready_by)

    def _is_known_misfit(
        self, misfit_key: tuple[bool, GangRequirements], job: Job
    ) -> bool:
        """Return whether an equal job did not fit in this round.

        A shorter job may still end before a reservation is due.
        """
        misfit_seconds = self._misfit_seconds.get(misfit_key)
        reservations = self._policy._reservations
        if misfit_seconds is None or job.job_id in reservations:
            return False
        return not len(reservations) or job.spec["run_seconds"] >= misfit_seconds

    def _report_infeasible(self, job: Job) -> bool:
        """Report the job if it would not fit on an empty fleet; return whether so."""
        infeasibility = self._policy._feasibility.check(job, self._view.now)
        if infeasibility is not None and infeasibility.is_permanent:
            self._unplaceable.append(Unplaceable(job.job_id, infeasibility.reason))
            self._handled.add(job.job_id)
        elif infeasibility is not None:
            self._blocked.append(BlockedJob(job.job_id, infeasibility.reason))
        return infeasibility is not None

    def _is_starved(self, job: Job) -> bool:
        reservations = self._policy._reservations
        if not job.spec["accelerators"] or job.job_id in reservations:
            return False
        weight = self._policy._fragmentation_weight
        threshold = max(MIN_STARVATION_SECONDS, STARVATION_SECONDS * (1 - weight))
        return self._view.now - job.submitted_at >= threshold

    def _exceeds_limit(self, job: Job) -> bool:
        account = self._view.catalogue["accounts"].get(job.account)
        limit = account.get("limits", {}).get("accelerators") if account else None
        if limit is None:
            return False
        requested = job.spec["tasks"] * job.spec["accelerators"]
        if self._shares.held_accelerators.get(job.account, 0) + requested <= limit:
            return False
        if requested > limit:
            reason = (
                f"the job asks for {requested} accelerators, but the limit of client "
                f"account {job.account} is {limit}"
            )
            self._blocked.append(BlockedJob(job.job_id, reason))
        return True

    def _accept(self, job: Job, placement: Placement) -> None:
        self._allocations.allocate(
            job.job_id, job.account, placement.members, placement.guaranteed
        )
        self._shares.add(job, placement.guaranteed)
        self._policy._reservations.release(job.job_id)
        self._policy._starting_jobs[job.job_id] = job
        self._handled.add(job.job_id)
        self._placements.append(placement)

    def _is_urgent(self, job: Job) -> bool:
        job_class = self._view.catalogue["classes"].get(job.job_class)
        return bool(job_class and job_class.get("urgent"))

    def _urgency_key(self, job: Job) -> tuple[bool, int, float]:
        job_class = self._view.catalogue["classes"].get(job.job_class)
        priority = job_class["priority"] if job_class else 0
        return (not self._is_urgent(job), -priority, job.submitted_at)
