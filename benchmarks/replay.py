"""Replays arrivals through a placement policy on a virtual clock.

Only the decisions are real. Stopping a borrowing job takes
``STOP_DELAY_SECONDS`` and a start ``START_DELAY_SECONDS``; agents, the log and
the network are not simulated.
"""

import heapq
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from benchmarks.samples import ReplaySamples
from sequoiachute.coordination.placement import (
    Placement,
    PlacementPolicy,
    PlacementView,
    domain_of,
)
from sequoiachute.coordination.placement.extents import mask_of, pack_extents
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.state.jobs import QUEUED, Job
from sequoiachute.state.run_times import RunTimes
from standins.fleet import FakeFleet

STOP_DELAY_SECONDS = 2.0
START_DELAY_SECONDS = 0.2
WAKE_INTERVAL_SECONDS = 10.0
SAMPLE_INTERVAL_SECONDS = 30.0
RESTART_LOSS_SECONDS = 15.0  # work that a restart from a checkpoint repeats
GUARANTEED_WAIT_SECONDS = 5.5


class ReplayedJob(NamedTuple):
    """A job, its true run time in seconds and its kind in the tables."""

    job: Job
    seconds: float
    kind: str


class DataCentreSwitch(NamedTuple):
    """A data centre taken out of service or restored at time ``at``."""

    at: float
    data_centre: str
    in_service: bool


class PlacementReplay:
    """Replays one sequence of arrivals through one placement policy."""

    def __init__(
        self,
        policy: PlacementPolicy,
        fleet: FakeFleet,
        catalogue: Catalogue,
        arrivals: list[ReplayedJob],
        switches: Iterable[DataCentreSwitch] = (),
        wake_seconds: float = WAKE_INTERVAL_SECONDS,
    ) -> None:
        self._wake_seconds = wake_seconds
        self._policy = policy
        self._fleet = fleet
        self._catalogue = catalogue
        self._arrivals = {arrival.job.job_id: arrival for arrival in arrivals}
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_count = 0
        self._queued_jobs: dict[str, Job] = {}
        self._starting: dict[str, Placement] = {}
        self._run_times = RunTimes()
        self._guaranteed_jobs: dict[str, float] = {}
        self._started_work: dict[str, float] = {}
        self._wake_scheduled = False
        self._unsampled_seconds = 0.0
        self.now = 0.0
        self.samples = ReplaySamples()
        for arrival in arrivals:
            self._schedule(arrival.job.submitted_at, "arrive", arrival)
        for switch in switches:
            self._schedule(switch.at, "switch", switch)

    def run(self) -> ReplaySamples:
        """Replay all events and return the measurements."""
        while self._events:
            at, _, kind, subject = heapq.heappop(self._events)
            self._sample_fragmentation(at - self.now)
            self.now = at
            getattr(self, f"_{kind}")(subject)
            if self._events and self._events[0][0] == at:
                continue
            self._decide()
        self.samples.unfinished = len(self._queued_jobs)
        self.samples.makespan = self.now
        return self.samples

    def _schedule(self, at: float, kind: str, subject: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, kind, subject))

    def _arrive(self, arrival: ReplayedJob) -> None:
        job = arrival.job
        if self._is_guaranteed(job):
            self._guaranteed_jobs[job.job_id] = self.now
        self._queued_jobs[job.job_id] = job

    def _wake(self, subject: Any) -> None:
        self._wake_scheduled = False

    def _decide(self) -> None:
        waiting = [
            j for j in self._queued_jobs.values() if j.job_id not in self._starting
        ]
        waiting.sort(key=_submitted_at)
        view = PlacementView(
            workers=self._fleet.in_service(),
            queued=tuple(waiting),
            running=tuple(self._fleet.running.values()),
            catalogue=self._catalogue,
            now=self.now,
            starting=tuple(self._starting.values()),
            unavailable=self._fleet.out_of_service(),
            run_times=self._run_times,
        )
        began = time.perf_counter()
        decision = self._policy.decide(view)
        self.samples.decision_seconds.append(time.perf_counter() - began)
        for placement in decision.placements:
            self._starting[placement.job_id] = placement
            delay = START_DELAY_SECONDS
            if placement.evictions:
                delay += STOP_DELAY_SECONDS
                self._schedule(self.now + STOP_DELAY_SECONDS, "evict", placement)
                self.samples.reclaim_seconds.append(delay)
            self._schedule(self.now + delay, "start", placement)
        for job in decision.unplaceable:
            del self._queued_jobs[job.job_id]
            self.samples.refused += 1
        if self._queued_jobs and not self._wake_scheduled and self._events:
            self._wake_scheduled = True
            self._schedule(self.now + self._wake_seconds, "wake", None)

    def _evict(self, placement: Placement) -> None:
        for eviction in placement.evictions:
            running = self._fleet.running.get(eviction.job_id)
            if running is not None and running.attempt == eviction.attempt:
                self._requeue(eviction.job_id)
                self.samples.evictions += 1

    def _start(self, placement: Placement) -> None:
        if self._starting.pop(placement.job_id, None) is None:
            return
        job = self._queued_jobs[placement.job_id]
        if not self._fleet.start(placement, job, self.now):
            self.samples.conflicts += 1
            return
        del self._queued_jobs[job.job_id]
        running = self._fleet.running[job.job_id]
        arrival = self._arrivals[job.job_id]
        if job.attempt == 0:
            waited = self.now - job.submitted_at
            self.samples.record_wait(arrival.kind, waited)
            if job.job_id in self._guaranteed_jobs:
                self.samples.guaranteed_waits.append(waited)
                del self._guaranteed_jobs[job.job_id]
        remaining_seconds = arrival.seconds - job.done_seconds
        speed = self._fleet.speed_of(running)
        self._schedule(
            self.now + remaining_seconds / speed,
            "finish",
            (job.job_id, running.attempt),
        )

    def _finish(self, subject: tuple[str, int]) -> None:
        job_id, attempt = subject
        job = self._fleet.running.get(job_id)
        if job is None or job.attempt != attempt:
            return
        speed = self._fleet.speed_of(job)
        self._count_useful_work(job, self._arrivals[job_id].seconds - job.done_seconds)
        ended = self._fleet.end(job_id)
        ended = ended._replace(state="finished", ended_at=self.now)
        self._run_times.observe(ended, speed)
        kind = self._arrivals[job_id].kind
        self.samples.record_completion(kind, self.now - job.submitted_at)

    def _requeue(self, job_id: str) -> None:
        """Stop and requeue a job, keeping the work that a checkpoint saved."""
        job = self._fleet.running[job_id]
        run_seconds = (self.now - job.started_at) * self._fleet.speed_of(job)
        saved_seconds = 0.0
        if job.spec.get("checkpointable"):
            saved_seconds = max(0.0, run_seconds - RESTART_LOSS_SECONDS)
        accelerators = job.spec["tasks"] * job.spec["accelerators"]
        self.samples.lost_work += (run_seconds - saved_seconds) * accelerators
        self._count_useful_work(job, saved_seconds)
        self._fleet.end(job_id)
        self._queued_jobs[job_id] = job._replace(
            state=QUEUED, workers=(), done_seconds=job.done_seconds + saved_seconds
        )

    def _count_useful_work(self, job: Job, seconds: float) -> None:
        """Add the useful work that falls into the sampled window."""
        accelerators = job.spec["tasks"] * job.spec["accelerators"]
        since, until = self.samples.window
        seconds_inside = min(self.now, until) - max(job.started_at, since)
        run_seconds = max(1e-9, self.now - job.started_at)
        if seconds_inside > 0:
            self.samples.window_work += (
                seconds * accelerators * seconds_inside / run_seconds
            )

    def _switch(self, switch: DataCentreSwitch) -> None:
        if switch.in_service:
            self._fleet.unavailable.discard(switch.data_centre)
            return
        self._fleet.unavailable.add(switch.data_centre)
        withdrawn_workers = {
            worker.worker_id for worker in self._fleet.out_of_service()
        }
        for job_id, job in list(self._fleet.running.items()):
            if withdrawn_workers & set(job.workers):
                self._requeue(job_id)
                self.samples.drained += 1

    def _is_guaranteed(self, job: Job) -> bool:
        """Return whether a guarantee covers ``job``, the only one of its account."""
        account = self._catalogue["accounts"][job.account]
        size = job.spec["tasks"] * job.spec["accelerators"]
        shapes = account.get("guarantees", [])
        if not size or self._fleet.unavailable or not shapes:
            return False
        others = [*self._queued_jobs.values(), *self._fleet.running.values()]
        if any(other.account == job.account for other in others):
            return False
        return any(_shape_covers(shape, job) for shape in shapes)

    def _sample_fragmentation(self, seconds: float) -> None:
        """Add the share of free accelerators that the largest queued gang can't use."""
        self._unsampled_seconds += seconds
        if not self._queued_jobs:
            self._unsampled_seconds = 0.0
        if self._unsampled_seconds < SAMPLE_INTERVAL_SECONDS:
            return
        seconds = self._unsampled_seconds
        self._unsampled_seconds = 0.0
        largest = max(self._queued_jobs.values(), key=_accelerators_of)
        size = _accelerators_of(largest)
        if largest.spec["tasks"] * largest.spec["accelerators"] < 2:
            return
        usable_by_domain: dict[tuple[str, ...], int] = {}
        free = 0
        per_task = largest.spec["accelerators"]
        for worker in self._fleet.in_service():
            mask = mask_of(worker.free_accelerators)
            free += mask.bit_count()
            ranges = len(pack_extents(worker.accelerators, per_task, mask))
            domain = domain_of(worker, largest.spec["within"])
            usable_by_domain[domain] = usable_by_domain.get(domain, 0) + per_task * min(
                ranges, worker.free_slots
            )
        largest_usable = max(usable_by_domain.values(), default=0)
        if not free:
            return
        unusable = (
            1 - min(largest_usable, free) / free if largest_usable < size else 0.0
        )
        self.samples.unusable_share_seconds += unusable * seconds
        self.samples.gang_wait_seconds += seconds
        if free >= size and largest_usable < size:
            self.samples.fragmented_wait_seconds += seconds


def _shape_covers(shape: Any, job: Job) -> bool:
    spec = job.spec
    if spec["tasks"] * spec["accelerators"] > shape["accelerators"]:
        return False
    return spec["accelerators"] <= shape.get("per_worker", shape["accelerators"])


def _submitted_at(job: Job) -> float:
    return job.submitted_at


def _accelerators_of(job: Job) -> int:
    return job.spec["tasks"] * job.spec["accelerators"]
