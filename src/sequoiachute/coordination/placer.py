"""Places queued jobs on the one entry instance that holds the placer's lease."""

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.loop import spawn_loop
from sequoiachute.coordination.placement import (
    Placement,
    PlacementDecision,
    PlacementPolicy,
    PlacementView,
)
from sequoiachute.coordination.placerlease import PlacerLease
from sequoiachute.coordination.placerstate import PlacerState, PlacerStreams
from sequoiachute.coordination.settler import AttemptSettler
from sequoiachute.coordination.starter import GangStarter
from sequoiachute.protocol.messages import TaskReport
from sequoiachute.state.fleet import Worker
from sequoiachute.state.health import RefusalBackoff, WorkerHealth
from sequoiachute.state.jobs import QUEUED, RUNNING
from sequoiachute.transport.ports import RpcCaller

ROUND_INTERVAL_SECONDS = 0.1
IDLE_ROUND_INTERVAL_SECONDS = 0.3
MAX_STARTING_MEMBERS = 32  # per data centre, however many accelerators are free

__all__ = ["JobPlacer", "PlacerState", "PlacerStreams"]


class JobPlacer:
    """Places queued jobs while it holds the placer's lease.

    Parameters
    ----------
    entry_id, address : str
        Identity and RPC address of this entry.
    lease_seconds : float
        Length of the lease; it is renewed after a third of it.
    freshness_seconds : float
        Greatest age, in seconds, of a view of the log that may be acted upon.
    state : PlacerState
    streams : PlacerStreams
    policy : PlacementPolicy
        Decides where queued jobs are placed.
    """

    def __init__(
        self,
        entry_id: str,
        address: str,
        lease_seconds: float,
        freshness_seconds: float,
        state: PlacerState,
        streams: PlacerStreams,
        caller: RpcCaller,
        policy: PlacementPolicy,
    ) -> None:
        self._freshness_seconds = freshness_seconds
        self._state = state
        self._streams = streams
        self._policy = policy
        self._refusal_backoff = RefusalBackoff()
        self._lease = PlacerLease(
            entry_id, address, lease_seconds, freshness_seconds, state.leases, streams
        )
        self._health = WorkerHealth()
        self._settler = AttemptSettler(
            self._lease, state, streams, caller, self._health
        )
        self._starter = GangStarter(
            self._lease,
            state,
            streams,
            caller,
            self._settler,
            self._refusal_backoff,
            self._health,
        )

    @property
    def holds_lease(self) -> bool:
        """Whether this entry may place now."""
        return self._lease.is_held

    @property
    def known_term(self) -> int:
        """The highest placer's term that this entry has read from the log."""
        return self._lease.known_term

    def run(self) -> None:
        """Start claiming the lease and running placement rounds."""
        spawn_loop("placer lease", self._lease.run)
        spawn_loop("placement rounds", self._run_rounds)

    def _run_rounds(self) -> None:
        while True:
            clock.sleep(
                ROUND_INTERVAL_SECONDS
                if self._has_live_jobs()
                else IDLE_ROUND_INTERVAL_SECONDS
            )
            self._settler.forget_settled()
            self._starter.forget_announced()
            if not self._may_place():
                continue
            starting = self._starter.starting_jobs
            self._settler.settle_attempts(starting)
            self._settler.release_orphans(starting)
            self._apply(self._policy.decide(self._build_view()))

    def add_report(self, report: TaskReport) -> None:
        """Add the report of a member's ended task from an announcement."""
        self._settler.add_report(report)

    def is_settled(self, report: TaskReport) -> bool:
        """Return whether the log has the outcome of the reported attempt."""
        return self._settler.is_settled(report)

    def _has_live_jobs(self) -> bool:
        jobs = self._state.jobs
        return bool(jobs.with_state(QUEUED) or jobs.with_state(RUNNING))

    def _may_place(self) -> bool:
        if not self.holds_lease:
            return False
        if self._streams.jobs_follower.confirmation_age() > self._freshness_seconds:
            return False
        return self._state.configuration.age(clock.now()) <= self._freshness_seconds

    def _build_view(self) -> PlacementView:
        now = clock.now()
        workers = []
        unusable = []
        for worker in self._state.fleet.all():
            if self._is_usable(worker, now):
                workers.append(self._starter.with_starting_occupants(worker))
            else:
                unusable.append(worker)
        starting = self._starter.starting_jobs
        queued = []
        for job in self._state.jobs.with_state(QUEUED):
            if job.job_id in starting or job.cancel_asked:
                continue
            queued.append(job)
        running = self._state.jobs.with_state(RUNNING)
        return PlacementView(
            tuple(workers),
            tuple(queued),
            tuple(running),
            self._state.configuration.catalogue,
            clock.wall_time(),
            unavailable=tuple(unusable),
            run_times=self._state.run_times,
        )

    def _is_usable(self, worker: Worker, now: float) -> bool:
        if worker.leaving or not self._state.fleet.is_live(worker, now):
            return False
        if not self._state.configuration.in_service(worker.data_centre):
            return False
        if self._health.is_excluded(worker.worker_id, now):
            return False
        return not self._refusal_backoff.is_backing_off(worker.worker_id, now)

    def _apply(self, decision: PlacementDecision) -> None:
        for placement in decision.placements:
            if self._exceeds_start_limit(placement):
                continue
            eventlet.spawn(self._starter.start, placement)
            # Lets the spawned start begin, so that the next limit check counts it.
            clock.sleep(0)
        for job in decision.unplaceable:
            self._settler.end_queued(job.job_id, "failed", job.reason)

    def _exceeds_start_limit(self, placement: Placement) -> bool:
        """Return whether ``placement`` exceeds a data centre's limit of starts.

        A gang larger than the limit may start where no other start is in progress.
        """
        added: dict[str, int] = {}
        for member in placement.members:
            worker = self._state.fleet.get(member.worker_id)
            if worker is not None:
                added[worker.data_centre] = added.get(worker.data_centre, 0) + 1
        for data_centre, count in added.items():
            starting = self._starter.count_starting_members(data_centre)
            if starting and starting + count > MAX_STARTING_MEMBERS:
                return True
        return False
