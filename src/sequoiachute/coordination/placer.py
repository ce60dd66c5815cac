"""The placer: the one entry instance that places jobs, by a lease in the log."""

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.placement import (
    Decision,
    Placement,
    PlacementView,
    Policy,
)
from sequoiachute.coordination.placerlease import PlacerLease
from sequoiachute.coordination.placerstate import PlacerState, PlacerStreams
from sequoiachute.coordination.settler import Settler
from sequoiachute.coordination.starter import GangStarter
from sequoiachute.protocol.messages import TaskReport
from sequoiachute.state.fleet import Worker
from sequoiachute.state.health import RefusalBackoff, WorkerHealth
from sequoiachute.state.jobs import QUEUED, RUNNING
from sequoiachute.transport.ports import RpcCaller

ROUND_SECONDS = 0.1
IDLE_ROUND_SECONDS = 0.3
MEMBERS_STARTING = 32  # of a data centre at the same time, however many are free

__all__ = ["Placer", "PlacerState", "PlacerStreams"]


class Placer:
    """Places queued jobs while it holds the placer's lease.

    Parameters
    ----------
    entry_id, address : str
        Identity and RPC address of this entry.
    lease_seconds : float
        Length of the lease; it is renewed after a third of it.
    freshness_seconds : float
        Oldest view of the log, in seconds, that may still be acted upon.
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
        policy: Policy,
    ) -> None:
        self._freshness_seconds = freshness_seconds
        self._state = state
        self._streams = streams
        self._policy = policy
        self._reluctance = RefusalBackoff()
        self._lease = PlacerLease(
            entry_id, address, lease_seconds, freshness_seconds, state.leases, streams
        )
        self._health = WorkerHealth()
        self._settler = Settler(self._lease, state, streams, caller, self._health)
        self._starter = GangStarter(
            self._lease,
            state,
            streams,
            caller,
            self._settler,
            self._reluctance,
            self._health,
        )

    @property
    def holds_lease(self) -> bool:
        """Whether this entry may place now."""
        return self._lease.is_held

    @property
    def known_term(self) -> int:
        """The newest placer's term in the log, as far as known."""
        return self._lease.known_term

    def run(self) -> None:
        """Claim the lease and place, for ever."""
        eventlet.spawn(self._lease.run)
        while True:
            clock.sleep(ROUND_SECONDS if self._has_work() else IDLE_ROUND_SECONDS)
            self._settler.forget_settled()
            self._starter.forget_announced()
            if not self._may_place():
                continue
            starting = self._starter.starting
            self._settler.settle_round(starting)
            self._settler.release_strays(starting)
            self._apply(self._policy.decide(self._view()))

    def add_report(self, report: TaskReport) -> None:
        """Take the end of a member's task from an agent's announcement."""
        self._settler.add_report(report)

    def is_settled(self, report: TaskReport) -> bool:
        """Return whether the log tells what became of the reported attempt."""
        return self._settler.is_settled(report)

    def _has_work(self) -> bool:
        jobs = self._state.jobs
        return bool(jobs.with_state(QUEUED) or jobs.with_state(RUNNING))

    def _may_place(self) -> bool:
        if not self.holds_lease:
            return False
        if self._streams.jobs_follower.age() > self._freshness_seconds:
            return False
        return self._state.configuration.age(clock.now()) <= self._freshness_seconds

    def _view(self) -> PlacementView:
        now = clock.now()
        workers = []
        out = []
        for worker in self._state.fleet.all():
            if self._may_use(worker, now):
                workers.append(self._starter.with_starting(worker))
            else:
                out.append(worker)
        starting = self._starter.starting
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
            out=tuple(out),
            run_times=self._state.run_times,
        )

    def _may_use(self, worker: Worker, now: float) -> bool:
        if worker.leaving or not self._state.fleet.is_live(worker, now):
            return False
        if not self._state.configuration.in_service(worker.data_centre):
            return False
        if self._health.is_excluded(worker.worker_id, now):
            return False
        return not self._reluctance.is_backing_off(worker.worker_id, now)

    def _apply(self, decision: Decision) -> None:
        for placement in decision.placements:
            if self._is_too_much(placement):
                continue
            # Spawned tasks run later: count this one in at once.
            eventlet.spawn(self._starter.start, placement)
            clock.sleep(0)
        for job in decision.unplaceable:
            self._settler.fail_queued(job.job_id, "failed", job.reason)

    def _is_too_much(self, placement: Placement) -> bool:
        """Return whether a data centre has enough starts in progress."""
        new: dict[str, int] = {}
        for member in placement.members:
            worker = self._state.fleet.get(member.worker_id)
            if worker is not None:
                new[worker.data_centre] = new.get(worker.data_centre, 0) + 1
        for data_centre, count in new.items():
            starting = self._starter.members_starting(data_centre)
            if starting and starting + count > MEMBERS_STARTING:
                return True
        return False
