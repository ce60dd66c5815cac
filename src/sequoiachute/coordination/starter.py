"""Starts gangs: evicts, reserves, records the start and commits."""

from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.concurrency import gather
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placement import Placement
from sequoiachute.coordination.placerlease import PlacerLease
from sequoiachute.coordination.placerstate import PlacerState, PlacerStreams
from sequoiachute.coordination.settler import AttemptSettler
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

RESERVATION_HOLD_SECONDS = 4.0
RESERVE_TIMEOUT_SECONDS = 2.0
COMMIT_TIMEOUT_SECONDS = 8.0  # a commit waits for two rounds of calls and the tasks
MAX_COMMIT_CALLS = 2
EVICTION_TIMEOUT_SECONDS = 4.0
EVICTION_RETRY_INTERVAL_SECONDS = 0.1
MAX_ANNOUNCEMENT_DELAY_SECONDS = 3.0  # until an agent announces a started member


class _GangStart(NamedTuple):
    """The start of a placed gang.

    ``ended_at`` is clock time in seconds, infinite while it is in progress.
    """

    placement: Placement
    attempt: int
    account: str
    ended_at: float = float("inf")


class GangStarter:
    """Carries out placements, each in a green thread of its own.

    A start goes on only while this entry holds the placer's lease and the job
    is queued and not cancelled; both are checked again after every wait.

    Parameters
    ----------
    settler : AttemptSettler
        Releases reservations and requeues jobs that did not start.
    refusal_backoff : RefusalBackoff
        Records which workers refused or accepted a member.
    health : WorkerHealth
        Records which workers started a member.
    """

    def __init__(
        self,
        lease: PlacerLease,
        state: PlacerState,
        streams: PlacerStreams,
        caller: RpcCaller,
        settler: AttemptSettler,
        refusal_backoff: RefusalBackoff,
        health: WorkerHealth,
    ) -> None:
        self._health = health
        self._lease = lease
        self._state = state
        self._streams = streams
        self._caller = caller
        self._settler = settler
        self._refusal_backoff = refusal_backoff
        self._starts: dict[str, _GangStart] = {}

    @property
    def starting_jobs(self) -> set[str]:
        """Identities of the jobs whose start is in progress."""
        jobs = set()
        for job_id, gang_start in self._starts.items():
            if gang_start.ended_at == float("inf"):
                jobs.add(job_id)
        return jobs

    def count_starting_members(self, data_centre: str) -> int:
        """Return the number of members being started in ``data_centre``."""
        count = 0
        for job_id in self.starting_jobs:
            for member in self._starts[job_id].placement.members:
                worker = self._state.fleet.get(member.worker_id)
                if worker is not None and worker.data_centre == data_centre:
                    count += 1
        return count

    def with_starting_occupants(self, worker: Worker) -> Worker:
        """Return ``worker`` with the members starting there added as occupants.

        Members that its agent has announced are occupants already.
        """
        added = []
        announced = {(o.job_id, o.attempt) for o in worker.occupants}
        for gang_start in list(self._starts.values()):
            placement = gang_start.placement
            if (placement.job_id, gang_start.attempt) in announced:
                continue
            for member in placement.members:
                if member.worker_id != worker.worker_id:
                    continue
                added.append(
                    Occupant(
                        job_id=placement.job_id,
                        attempt=gang_start.attempt,
                        account=gang_start.account,
                        accelerators=member.accelerators,
                        guaranteed=placement.guaranteed,
                        started=False,
                    )
                )
        if not added:
            return worker
        return worker._replace(occupants=worker.occupants + tuple(added))

    def forget_announced(self) -> None:
        """Drop ended starts that agents have had time to announce."""
        now = clock.now()
        for job_id, gang_start in list(self._starts.items()):
            if gang_start.ended_at == float("inf"):
                continue
            job = self._state.jobs.get(job_id)
            runs = job is not None and job.state == RUNNING
            if not runs or now - gang_start.ended_at >= MAX_ANNOUNCEMENT_DELAY_SECONDS:
                del self._starts[job_id]

    def start(self, placement: Placement) -> None:
        """Carry out ``placement``: start every member of its gang, or none."""
        job = self._state.jobs.get(placement.job_id)
        if job is None or job.state != QUEUED:
            return
        attempt = job.attempt + 1
        gang_start = _GangStart(placement, attempt, job.account)
        self._starts[job.job_id] = gang_start
        started = False
        try:
            started = self._start(job, attempt, placement)
        finally:
            if started:
                self._starts[job.job_id] = gang_start._replace(ended_at=clock.now())
            else:
                del self._starts[job.job_id]

    def _start(self, job: Job, attempt: int, placement: Placement) -> bool:
        workers = []
        for member in placement.members:
            worker = self._state.fleet.get(member.worker_id)
            if worker is None:
                return False
            workers.append(worker)
        if not self._evict(placement) or not self._may_continue(job):
            return False
        tokens = self._reserve_all(job, attempt, placement, workers)
        addresses = [worker.address for worker in workers]
        if not all(tokens) or not self._may_continue(job):
            self._settler.release_reservations(job.job_id, attempt, addresses)
            return False
        if not self._record_start(job, attempt, workers):
            self._settler.release_reservations(job.job_id, attempt, addresses)
            return False
        return self._commit(job, attempt, workers, tokens)

    def _may_continue(self, job: Job) -> bool:
        """Return whether the start of ``job`` may still go on."""
        current = self._state.jobs.get(job.job_id)
        if current is None or current.state != QUEUED or current.cancel_asked:
            return False
        return current.attempt == job.attempt and self._lease.is_held

    def _evict(self, placement: Placement) -> bool:
        """Checkpoint and stop the jobs to evict; return whether all have ended."""
        deadline = clock.now() + EVICTION_TIMEOUT_SECONDS
        remaining = list(placement.evictions)
        while remaining and clock.now() < deadline and self._lease.is_held:
            calls = []
            for eviction in remaining:
                calls.append(
                    lambda e=eviction: self._settler.requeue(
                        e.job_id, e.attempt, e.reason
                    )
                )
            outcomes = gather(calls)
            remaining = [
                e for e, ended in zip(remaining, outcomes, strict=True) if not ended
            ]
            if remaining:
                clock.sleep(EVICTION_RETRY_INTERVAL_SECONDS)
        return not remaining

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
                hold_seconds=RESERVATION_HOLD_SECONDS,
            )
            calls.append(lambda w=worker, m=message: self._reserve(w, m))
        return gather(calls)

    def _reserve(self, worker: Worker, message: Reserve) -> int:
        """Return the fencing token of the reservation, zero if it was refused."""
        outcome = self._caller.call(
            worker.address, RESERVE, message, RESERVE_TIMEOUT_SECONDS
        )
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
        elif not outcome.unwrap().token:
            reason = outcome.unwrap().reason
        else:
            return outcome.unwrap().token
        self._refusal_backoff.note_refused(worker.worker_id, clock.now())
        logger.bind(job=message.job_id, worker=worker.worker_id).info(
            "reservation refused: {}", reason
        )
        return 0

    def _record_start(self, job: Job, attempt: int, workers: list[Worker]) -> bool:
        """Record the start; return whether the record took effect."""
        worker_ids = [worker.worker_id for worker in workers]
        record = {
            "kind": "job-started",
            "record_id": new_record_id(),
            "job_id": job.job_id,
            "attempt": attempt,
            "started_at": clock.wall_time(),
            "workers": worker_ids,
        }
        if self._streams.jobs.append(record).is_err():
            return False
        current = self._state.jobs.get(job.job_id)
        if current is None or current.state != RUNNING:
            return False
        if (current.attempt, current.started_at) != (attempt, record["started_at"]):
            return False
        return list(current.workers) == worker_ids

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
        for _ in range(MAX_COMMIT_CALLS):
            current = self._state.jobs.get(job.job_id)
            if not self._lease.is_held or current is None or current.cancel_asked:
                break
            outcome = self._caller.call(
                workers[0].address, COMMIT, message, COMMIT_TIMEOUT_SECONDS
            )
            if outcome.is_err():
                # The outcome is unknown, the gang may run: repeat the commit.
                log.warning("commit not answered: {}", outcome.unwrap_err().reason)
                continue
            if outcome.unwrap().committed:
                log.info("gang started on {}", [w.worker_id for w in workers])
                for worker in workers:
                    self._refusal_backoff.note_accepted(worker.worker_id)
                    self._health.note_started(worker.worker_id, clock.now())
                return True
            log.warning("gang not started: {}", outcome.unwrap().reason)
            for worker in workers:
                self._refusal_backoff.note_refused(worker.worker_id, clock.now())
            self._settler.requeue(job.job_id, attempt, outcome.unwrap().reason)
            return False
        # The settler determines the outcome from the agents.
        return True
