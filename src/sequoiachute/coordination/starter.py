"""Starts gangs: makes room, reserves, records the start and commits."""

from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placement import Placement
from sequoiachute.coordination.placerlease import PlacerLease
from sequoiachute.coordination.placerstate import PlacerState, PlacerStreams
from sequoiachute.coordination.settler import Settler
from sequoiachute.coordination.tasks import gather
from sequoiachute.protocol.messages import (
    COMMIT,
    RESERVE,
    Commit,
    GangMember,
    Occupant,
    Reserve,
)
from sequoiachute.state.fleet import Worker
from sequoiachute.state.health import RefusalBackoff, WorkerHealth
from sequoiachute.state.jobs import QUEUED, RUNNING, Job
from sequoiachute.transport.ports import RpcCaller

HOLD_SECONDS = 4.0
RESERVE_CALL_SECONDS = 2.0
COMMIT_CALL_SECONDS = 8.0  # a commit waits for two rounds of calls and the tasks
COMMIT_CALLS = 2
EVICT_SECONDS = 4.0
EVICT_RETRY_SECONDS = 0.1
ANNOUNCED_WITHIN_SECONDS = 3.0


class _Starting(NamedTuple):
    """A placement that is being carried out, or was until ``ended_at``."""

    placement: Placement
    attempt: int
    account: str
    ended_at: float = float("inf")


class GangStarter:
    """Carries out placements, each in a task of its own.

    A start goes on only while this entry holds the placer's lease and the
    job is still wanted; both are looked at again after every wait.
    """

    def __init__(
        self,
        lease: PlacerLease,
        state: PlacerState,
        streams: PlacerStreams,
        caller: RpcCaller,
        settler: Settler,
        reluctance: RefusalBackoff,
        health: WorkerHealth,
    ) -> None:
        self._health = health
        self._lease = lease
        self._state = state
        self._streams = streams
        self._caller = caller
        self._settler = settler
        self._reluctance = reluctance
        self._starting: dict[str, _Starting] = {}

    @property
    def starting(self) -> set[str]:
        """Jobs whose start is in progress."""
        jobs = set()
        for job_id, starting in self._starting.items():
            if starting.ended_at == float("inf"):
                jobs.add(job_id)
        return jobs

    def members_starting(self, data_centre: str) -> int:
        """Return how many members are being started in ``data_centre``."""
        count = 0
        for job_id in self.starting:
            for member in self._starting[job_id].placement.members:
                worker = self._state.fleet.get(member.worker_id)
                if worker is not None and worker.data_centre == data_centre:
                    count += 1
        return count

    def with_starting(self, worker: Worker) -> Worker:
        """Return ``worker`` with what is being started there as occupants."""
        added = []
        announced = {(o.job_id, o.attempt) for o in worker.occupants}
        for starting in list(self._starting.values()):
            placement = starting.placement
            if (placement.job_id, starting.attempt) in announced:
                continue
            for member in placement.members:
                if member.worker_id != worker.worker_id:
                    continue
                added.append(
                    Occupant(
                        job_id=placement.job_id,
                        attempt=starting.attempt,
                        account=starting.account,
                        accelerators=member.accelerators,
                        guaranteed=placement.guaranteed,
                        started=False,
                    )
                )
        if not added:
            return worker
        return worker._replace(occupants=worker.occupants + tuple(added))

    def forget_announced(self) -> None:
        """Drop the starts that ended long enough ago to have been announced."""
        now = clock.now()
        for job_id, starting in list(self._starting.items()):
            if starting.ended_at == float("inf"):
                continue
            job = self._state.jobs.get(job_id)
            runs = job is not None and job.state == RUNNING
            if not runs or now - starting.ended_at >= ANNOUNCED_WITHIN_SECONDS:
                del self._starting[job_id]

    def start(self, placement: Placement) -> None:
        """Carry out ``placement``: its gang starts whole or not at all."""
        job = self._state.jobs.get(placement.job_id)
        if job is None or job.state != QUEUED:
            return
        attempt = job.attempt + 1
        begun = _Starting(placement, attempt, job.account)
        self._starting[job.job_id] = begun
        started = False
        try:
            started = self._start(job, attempt, placement)
        finally:
            if started:
                self._starting[job.job_id] = begun._replace(ended_at=clock.now())
            else:
                del self._starting[job.job_id]

    def _start(self, job: Job, attempt: int, placement: Placement) -> bool:
        workers = []
        for member in placement.members:
            worker = self._state.fleet.get(member.worker_id)
            if worker is None:
                return False
            workers.append(worker)
        if not self._evict(placement) or not self._is_wanted(job):
            return False
        tokens = self._reserve_all(job, attempt, placement, workers)
        addresses = [worker.address for worker in workers]
        if not all(tokens) or not self._is_wanted(job):
            self._settler.release(job.job_id, attempt, addresses)
            return False
        if not self._record_start(job, attempt, workers):
            self._settler.release(job.job_id, attempt, addresses)
            return False
        return self._commit(job, attempt, workers, tokens)

    def _is_wanted(self, job: Job) -> bool:
        """Return whether the start of ``job`` may still go on."""
        current = self._state.jobs.get(job.job_id)
        if current is None or current.state != QUEUED or current.cancel_asked:
            return False
        return current.attempt == job.attempt and self._lease.is_held

    def _evict(self, placement: Placement) -> bool:
        """Checkpoint and stop the borrowers; return whether all have ended."""
        deadline = clock.now() + EVICT_SECONDS
        left = list(placement.evictions)
        while left and clock.now() < deadline and self._lease.is_held:
            calls = []
            for eviction in left:
                calls.append(
                    lambda e=eviction: self._settler.requeue(
                        e.job_id, e.attempt, e.reason
                    )
                )
            outcomes = gather(calls)
            left = [e for e, ended in zip(left, outcomes, strict=True) if not ended]
            if left:
                clock.sleep(EVICT_RETRY_SECONDS)
        return not left

    def _reserve_all(
        self, job: Job, attempt: int, placement: Placement, workers: list[Worker]
    ) -> list[int]:
        calls = []
        for index, worker in enumerate(workers):
            message = Reserve(
                job_id=job.job_id,
                attempt=attempt,
                member=index,
                account=job.account,
                guaranteed=placement.guaranteed,
                accelerators=placement.members[index].accelerators,
                term=self._lease.term,
                config_offset=self._state.configuration.offset,
                hold_seconds=HOLD_SECONDS,
            )
            calls.append(lambda w=worker, m=message: self._reserve(w, m))
        return gather(calls)

    def _reserve(self, worker: Worker, message: Reserve) -> int:
        """Return the token of the reservation, zero if there is none."""
        outcome = self._caller.call(
            worker.address, RESERVE, message, RESERVE_CALL_SECONDS
        )
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
        elif not outcome.unwrap().token:
            reason = outcome.unwrap().reason
        else:
            return outcome.unwrap().token
        self._reluctance.note_refused(worker.worker_id, clock.now())
        logger.bind(job=message.job_id, worker=worker.worker_id).info(
            "reservation refused: {}", reason
        )
        return 0

    def _record_start(self, job: Job, attempt: int, workers: list[Worker]) -> bool:
        """Record the start; return whether the record took effect."""
        names = [worker.worker_id for worker in workers]
        record = {
            "kind": "job-started",
            "record_id": new_record_id(),
            "job_id": job.job_id,
            "attempt": attempt,
            "started_at": clock.wall_time(),
            "workers": names,
        }
        if self._streams.jobs.append(record).is_err():
            return False
        current = self._state.jobs.get(job.job_id)
        if current is None or current.state != RUNNING:
            return False
        if (current.attempt, current.started_at) != (attempt, record["started_at"]):
            return False
        return list(current.workers) == names

    def _commit(
        self, job: Job, attempt: int, workers: list[Worker], tokens: list[int]
    ) -> bool:
        """Commit at the first member; return whether the gang may run."""
        members = []
        for index, worker in enumerate(workers):
            members.append(
                GangMember(index, worker.worker_id, worker.address, tokens[index])
            )
        message = Commit(
            job_id=job.job_id,
            attempt=attempt,
            term=self._lease.term,
            config_offset=self._state.configuration.offset,
            payload=job.spec["payload"],
            run_seconds=job.spec["run_seconds"],
            done_seconds=job.done_seconds,
            members=tuple(members),
        )
        log = logger.bind(job=job.job_id, attempt=attempt)
        for _ in range(COMMIT_CALLS):
            current = self._state.jobs.get(job.job_id)
            if not self._lease.is_held or current is None or current.cancel_asked:
                break
            outcome = self._caller.call(
                workers[0].address, COMMIT, message, COMMIT_CALL_SECONDS
            )
            if outcome.is_err():
                # The gang may run: ask its first member again, never guess.
                log.warning("commit not answered: {}", outcome.unwrap_err().reason)
                continue
            if outcome.unwrap().committed:
                log.info("gang started on {}", [w.worker_id for w in workers])
                for worker in workers:
                    self._reluctance.note_accepted(worker.worker_id)
                    self._health.note_started(worker.worker_id, clock.now())
                return True
            log.warning("gang not started: {}", outcome.unwrap().reason)
            for worker in workers:
                self._reluctance.note_refused(worker.worker_id, clock.now())
            self._settler.requeue(job.job_id, attempt, outcome.unwrap().reason)
            return False
        # What became of it is found out from the agents by the settler.
        return True
