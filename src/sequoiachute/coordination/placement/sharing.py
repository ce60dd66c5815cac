"""The policy that keeps guarantees and weighs fragmentation against speed."""

from loguru import logger

from sequoiachute.coordination.placement.bindings import Bindings
from sequoiachute.coordination.placement.blocks import describe_shape
from sequoiachute.coordination.placement.board import Board
from sequoiachute.coordination.placement.feasibility import (
    Feasibility,
    Signature,
    signature_of,
)
from sequoiachute.coordination.placement.model import (
    PlacementDecision,
    Placement,
    PlacementView,
    Shortfall,
    Unplaceable,
    Waiting,
)
from sequoiachute.coordination.placement.ordering import JobQueue, Shares
from sequoiachute.coordination.placement.reclaim import Reclaim
from sequoiachute.coordination.placement.reservations import Forecast, Reservations
from sequoiachute.coordination.placement.search import Search
from sequoiachute.coordination.placement.victims import Victims
from sequoiachute.state.jobs import Job

DEFAULT_FRAGMENTATION_WEIGHT = 0.5
STARTS_PER_ROUND = 16
VISITS_PER_ROUND = 1_400  # workers looked at, over all jobs
STARVED_SECONDS = 30.0  # of waiting before a reservation, at weight 0
LEAST_STARVED_SECONDS = 5.0
MOST_RESERVATIONS = 1  # for space that is not free yet
STARVED_PER_ROUND = 3
IMMINENT_SECONDS = 30.0


class SharingPolicy:
    """Guarantees first, then classes and fair shares, with reservations.

    Parameters
    ----------
    fragmentation_weight : float
        From 0, only completion time counts, to 1, only fragmentation.
    late_binding : bool
        Whether guaranteed shapes may move while nothing uses them.
    """

    def __init__(
        self,
        fragmentation_weight: float = DEFAULT_FRAGMENTATION_WEIGHT,
        late_binding: bool = True,
    ) -> None:
        self.board = Board()
        self.bindings = Bindings()
        self._weight = fragmentation_weight
        self._late_binding = late_binding
        self._queue = JobQueue(fragmentation_weight)
        self._reservations = Reservations()
        self._feasibility = Feasibility()
        self._decided: dict[str, Job] = {}
        self._tried: set[str] = set()
        self._shortfalls: tuple[Shortfall, ...] = ()

    def decide(self, view: PlacementView) -> PlacementDecision:
        """Return what to start now, and whom to evict for it."""
        starting = {placement.job_id for placement in view.starting}
        for job_id in list(self._decided):
            if job_id not in starting:
                del self._decided[job_id]
        accounts = {job_id: job.account for job_id, job in self._decided.items()}
        version = self.board.version
        self.board.refresh(view.workers, view.starting, accounts)
        self.bindings.refresh(self.board, view.catalogue)
        self._feasibility.refresh(view, version != self.board.version)
        self._reservations.refresh(view.queued, self.board)
        self._tell_shortfalls()
        decision = PlacementDecision(shortfalls=self._shortfalls)
        if not view.queued or not view.workers:
            return decision
        return self._round(view, starting).run(decision)

    def _tell_shortfalls(self) -> None:
        """Log which guarantees yield, whenever that changes."""
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
        guaranteed = set(self.board.guaranteed_jobs())
        shares = Shares(view, guaranteed)
        for job_id, job in self._decided.items():
            if job_id not in running:
                shares.add(job, job_id in guaranteed)
        victims = Victims(view, running)
        forecast = Forecast(running, view.run_times, victims, view.now)
        return _Round(
            view,
            starting,
            shares,
            forecast,
            victims,
            Reclaim(self.board, self.bindings, victims, self._late_binding),
            Search(
                self.board,
                self.bindings,
                self._reservations,
                forecast,
                self._weight,
                _pinned(view),
            ),
            self,
        )


def _pinned(view: PlacementView) -> set[str]:
    """Return the workers with accelerators held by what can't be moved."""
    pinned: set[str] = set()
    for job in view.running:
        if job.spec["accelerators"] and not job.spec.get("checkpointable"):
            pinned.update(job.workers)
    return pinned


def _submitted_at(job: Job) -> float:
    return job.submitted_at


class _Round:
    """One call of ``decide``."""

    def __init__(
        self,
        view: PlacementView,
        starting: set[str],
        shares: Shares,
        forecast: Forecast,
        victims: Victims,
        reclaim: Reclaim,
        search: Search,
        policy: SharingPolicy,
    ) -> None:
        self._view = view
        self._starting = starting
        self._shares = shares
        self._forecast = forecast
        self._victims = victims
        self._reclaim = reclaim
        self._search = search
        self._policy = policy
        self._board = policy.board
        self._visits = 0
        self._placements: list[Placement] = []
        self._unplaceable: list[Unplaceable] = []
        self._waiting: list[Waiting] = []
        self._hopeless: dict[tuple[bool, Signature], float] = {}
        self._settled: set[str] = set(starting)
        self._starved: list[Job] = []

    def run(self, decision: PlacementDecision) -> PlacementDecision:
        """Try the queued jobs until the round's bounds are reached."""
        self._start_guaranteed()
        self._start_reserved()
        self._start_others()
        self._reserve()
        return decision._replace(
            placements=tuple(self._placements),
            unplaceable=tuple(self._unplaceable),
            waiting=tuple(self._waiting),
        )

    @property
    def _is_over(self) -> bool:
        if len(self._placements) >= STARTS_PER_ROUND:
            return True
        return self._visits >= VISITS_PER_ROUND

    def _start_guaranteed(self) -> None:
        holders = {key.account for key in self._policy.bindings.blocks}
        if not holders:
            return
        covered = [job for job in self._view.queued if job.account in holders]
        covered.sort(key=self._priority)
        failed: set[tuple[str, Signature]] = set()
        for job in covered:
            if self._is_over:
                return
            if job.job_id in self._settled:
                continue
            attempt = (job.account, signature_of(job.spec))
            if attempt in failed:
                continue
            placement = self._reclaim.guaranteed(job)
            if placement is None:
                failed.add(attempt)
                self._visits += 1
                continue
            self._visits += len(self._board.nodes)
            self._take(job, placement)

    def _start_reserved(self) -> None:
        for job in self._view.queued:
            if self._is_over:
                return
            if job.job_id in self._settled:
                continue
            reservation = self._policy._reservations.get(job.job_id)
            if reservation is None or self._try(job):
                continue
            placement = self._reclaim.starved(job, reservation.block)
            if placement is not None:
                self._take(job, placement)
                continue
            self._policy._reservations.review(job, self._board, self._forecast)

    def _start_others(self) -> None:
        """Try the rest, half of the bound from the front of the queue.

        The other half goes on where the last round stopped, so that a long
        queue starves nobody.
        """
        tried = self._policy._tried
        front = (self._visits + VISITS_PER_ROUND) / 2
        for job in self._policy._queue.order(self._view, self._shares):
            if self._is_over:
                return
            if job.job_id in self._settled:
                continue
            if self._visits >= front and job.job_id in tried:
                continue
            if not self._try(job):
                tried.add(job.job_id)
        tried.clear()

    def _try(self, job: Job) -> bool:
        if self._over_limit(job):
            return False
        signature = signature_of(job.spec)
        urgent = self._is_urgent(job)
        kind = (urgent, signature)
        if self._is_hopeless(kind, job):
            if not self._explain(job) and self._starves(job):
                self._note_starved(job)
            return False
        self._visits += len(self._board.nodes)
        placement = None
        members = self._search.find(job)
        if members is not None:
            placement = Placement(job.job_id, members, guaranteed=False)
        elif urgent:
            self._visits += 2 * len(self._board.nodes)
            placement = self._reclaim.urgent(job)
        if placement is not None:
            self._take(job, placement)
            return True
        self._hopeless[kind] = job.spec["run_seconds"]
        if not self._explain(job) and self._starves(job):
            self._note_starved(job)
        return False

    def _note_starved(self, job: Job) -> None:
        self._starved.append(job)

    def _reserve(self) -> None:
        """Reserve for those that have starved longest.

        Beyond the first reservations only space that should be free at once
        is reserved, so that little of it stands idle.
        """
        reservations = self._policy._reservations
        self._starved.sort(key=_submitted_at)
        for job in self._starved[:STARVED_PER_ROUND]:
            until = float("inf")
            if len(reservations) >= MOST_RESERVATIONS:
                until = self._view.now + IMMINENT_SECONDS
            reservations.reserve(job, self._board, self._forecast, until)

    def _is_hopeless(self, kind: tuple[bool, Signature], job: Job) -> bool:
        """Return whether a job like this one found no place in this round.

        A shorter one may still fit behind a reservation.
        """
        failed = self._hopeless.get(kind)
        reservations = self._policy._reservations
        if failed is None or job.job_id in reservations:
            return False
        return not len(reservations) or job.spec["run_seconds"] >= failed

    def _explain(self, job: Job) -> bool:
        """Say why the job could not even run on an empty fleet, if so."""
        verdict = self._policy._feasibility.judge(job, self._view.now)
        if verdict is not None and verdict.never:
            self._unplaceable.append(Unplaceable(job.job_id, verdict.reason))
            self._settled.add(job.job_id)
        elif verdict is not None:
            self._waiting.append(Waiting(job.job_id, verdict.reason))
        return verdict is not None

    def _starves(self, job: Job) -> bool:
        reservations = self._policy._reservations
        if not job.spec["accelerators"] or job.job_id in reservations:
            return False
        weight = self._policy._weight
        patience = max(LEAST_STARVED_SECONDS, STARVED_SECONDS * (1 - weight))
        return self._view.now - job.submitted_at >= patience

    def _over_limit(self, job: Job) -> bool:
        account = self._view.catalogue["accounts"].get(job.account)
        limit = account.get("limits", {}).get("accelerators") if account else None
        if limit is None:
            return False
        asked = job.spec["tasks"] * job.spec["accelerators"]
        if self._shares.held.get(job.account, 0) + asked <= limit:
            return False
        if asked > limit:
            reason = f"it asks for {asked} accelerators, its account's limit is {limit}"
            self._waiting.append(Waiting(job.job_id, reason))
        return True

    def _take(self, job: Job, placement: Placement) -> None:
        self._board.hold(
            job.job_id, job.account, placement.members, placement.guaranteed
        )
        self._shares.add(job, placement.guaranteed)
        self._policy._reservations.drop(job.job_id)
        self._policy._decided[job.job_id] = job
        self._settled.add(job.job_id)
        self._placements.append(placement)

    def _is_urgent(self, job: Job) -> bool:
        job_class = self._view.catalogue["classes"].get(job.job_class)
        return bool(job_class and job_class.get("urgent"))

    def _priority(self, job: Job) -> tuple[bool, int, float]:
        job_class = self._view.catalogue["classes"].get(job.job_class)
        priority = job_class["priority"] if job_class else 0
        return (not self._is_urgent(job), -priority, job.submitted_at)
