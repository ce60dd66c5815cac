"""Replays arrivals through a placement policy on a virtual clock.

Only decisions are real. Stopping a borrower takes ``STOP_SECONDS`` and a
start ``START_SECONDS``; agents, the log and the network are left out.
"""

import heapq
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from benchmarks.samples import Samples
from sequoiachute.coordination.placement import (
    Placement,
    PlacementView,
    Policy,
    domain_of,
)
from sequoiachute.coordination.placement.runs import mask_of, pack_runs
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.state.jobs import QUEUED, Job
from sequoiachute.state.run_times import RunTimes
from standins.fleet import FakeFleet

STOP_SECONDS = 2.0
START_SECONDS = 0.2
WAKE_SECONDS = 10.0
SAMPLE_SECONDS = 30.0
RESTART_SECONDS = 15.0
COVERED_SECONDS = 5.5


class Arrival(NamedTuple):
    """A job, the seconds that it really needs, and its kind in the tables."""

    job: Job
    seconds: float
    kind: str


class Switch(NamedTuple):
    """A data centre taken out or brought back."""

    at: float
    data_centre: str
    in_service: bool


class Replay:
    """One policy against one sequence of arrivals."""

    def __init__(
        self,
        policy: Policy,
        fleet: FakeFleet,
        catalogue: Catalogue,
        arrivals: list[Arrival],
        switches: Iterable[Switch] = (),
        wake_seconds: float = WAKE_SECONDS,
    ) -> None:
        self._wake_seconds = wake_seconds
        self._policy = policy
        self._fleet = fleet
        self._catalogue = catalogue
        self._arrivals = {arrival.job.job_id: arrival for arrival in arrivals}
        self._events: list[tuple[float, int, str, Any]] = []
        self._count = 0
        self._queue: dict[str, Job] = {}
        self._starting: dict[str, Placement] = {}
        self._run_times = RunTimes()
        self._covered: dict[str, float] = {}
        self._started_work: dict[str, float] = {}
        self._woken = False
        self._unsampled = 0.0
        self.now = 0.0
        self.samples = Samples()
        for arrival in arrivals:
            self._at(arrival.job.submitted_at, "arrive", arrival)
        for switch in switches:
            self._at(switch.at, "switch", switch)

    def run(self) -> Samples:
        """Replay everything and return what was measured."""
        while self._events:
            at, _, kind, subject = heapq.heappop(self._events)
            self._sample_fragmentation(at - self.now)
            self.now = at
            getattr(self, f"_{kind}")(subject)
            if self._events and self._events[0][0] == at:
                continue
            self._decide()
        self.samples.unfinished = len(self._queue)
        self.samples.makespan = self.now
        return self.samples

    def _at(self, at: float, kind: str, subject: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, kind, subject))

    def _arrive(self, arrival: Arrival) -> None:
        job = arrival.job
        if self._is_covered(job):
            self._covered[job.job_id] = self.now
        self._queue[job.job_id] = job

    def _wake(self, subject: Any) -> None:
        self._woken = False

    def _decide(self) -> None:
        waiting = [j for j in self._queue.values() if j.job_id not in self._starting]
        waiting.sort(key=_submitted_at)
        view = PlacementView(
            workers=self._fleet.in_service(),
            queued=tuple(waiting),
            running=tuple(self._fleet.running.values()),
            catalogue=self._catalogue,
            now=self.now,
            starting=tuple(self._starting.values()),
            out=self._fleet.out_of_service(),
            run_times=self._run_times,
        )
        began = time.perf_counter()
        decision = self._policy.decide(view)
        self.samples.decisions.append(time.perf_counter() - began)
        for placement in decision.placements:
            self._starting[placement.job_id] = placement
            delay = START_SECONDS
            if placement.evictions:
                delay += STOP_SECONDS
                self._at(self.now + STOP_SECONDS, "evict", placement)
                self.samples.reclaims.append(delay)
            self._at(self.now + delay, "start", placement)
        for job in decision.unplaceable:
            del self._queue[job.job_id]
            self.samples.refused += 1
        if self._queue and not self._woken and self._events:
            self._woken = True
            self._at(self.now + self._wake_seconds, "wake", None)

    def _evict(self, placement: Placement) -> None:
        for eviction in placement.evictions:
            running = self._fleet.running.get(eviction.job_id)
            if running is not None and running.attempt == eviction.attempt:
                self._requeue(eviction.job_id)
                self.samples.evictions += 1

    def _start(self, placement: Placement) -> None:
        if self._starting.pop(placement.job_id, None) is None:
            return
        job = self._queue[placement.job_id]
        if not self._fleet.start(placement, job, self.now):
            self.samples.conflicts += 1
            return
        del self._queue[job.job_id]
        running = self._fleet.running[job.job_id]
        arrival = self._arrivals[job.job_id]
        if job.attempt == 0:
            waited = self.now - job.submitted_at
            self.samples.wait(arrival.kind, waited)
            if job.job_id in self._covered:
                self.samples.covered.append(waited)
                del self._covered[job.job_id]
        left = arrival.seconds - job.done_seconds
        speed = self._fleet.speed_of(running)
        self._at(self.now + left / speed, "finish", (job.job_id, running.attempt))

    def _finish(self, subject: tuple[str, int]) -> None:
        job_id, attempt = subject
        job = self._fleet.running.get(job_id)
        if job is None or job.attempt != attempt:
            return
        speed = self._fleet.speed_of(job)
        self._credit(job, self._arrivals[job_id].seconds - job.done_seconds)
        ended = self._fleet.end(job_id)
        ended = ended._replace(state="finished", ended_at=self.now)
        self._run_times.observe(ended, speed)
        kind = self._arrivals[job_id].kind
        self.samples.complete(kind, self.now - job.submitted_at)

    def _requeue(self, job_id: str) -> None:
        """Take a job off, keeping what a checkpoint saves."""
        job = self._fleet.running[job_id]
        ran = (self.now - job.started_at) * self._fleet.speed_of(job)
        kept = 0.0
        if job.spec.get("checkpointable"):
            kept = max(0.0, ran - RESTART_SECONDS)
        held = job.spec["tasks"] * job.spec["accelerators"]
        self.samples.lost_work += (ran - kept) * held
        self._credit(job, kept)
        self._fleet.end(job_id)
        self._queue[job_id] = job._replace(
            state=QUEUED, workers=(), done_seconds=job.done_seconds + kept
        )

    def _credit(self, job: Job, seconds: float) -> None:
        """Count useful work, the part inside the time of a drain as well."""
        held = job.spec["tasks"] * job.spec["accelerators"]
        since, until = self.samples.window
        inside = min(self.now, until) - max(job.started_at, since)
        lasted = max(1e-9, self.now - job.started_at)
        if inside > 0:
            self.samples.window_work += seconds * held * inside / lasted

    def _switch(self, switch: Switch) -> None:
        if switch.in_service:
            self._fleet.out.discard(switch.data_centre)
            return
        self._fleet.out.add(switch.data_centre)
        gone = {worker.worker_id for worker in self._fleet.out_of_service()}
        for job_id, job in list(self._fleet.running.items()):
            if gone & set(job.workers):
                self._requeue(job_id)
                self.samples.drained += 1

    def _is_covered(self, job: Job) -> bool:
        """Return whether a guarantee covers ``job`` besides all its account has."""
        account = self._catalogue["accounts"][job.account]
        size = job.spec["tasks"] * job.spec["accelerators"]
        shapes = account.get("guarantees", [])
        if not size or self._fleet.out or not shapes:
            return False
        others = [*self._queue.values(), *self._fleet.running.values()]
        if any(other.account == job.account for other in others):
            return False
        return any(_covers(shape, job) for shape in shapes)

    def _sample_fragmentation(self, seconds: float) -> None:
        """Weigh by time what the largest waiting gang can't use."""
        self._unsampled += seconds
        if not self._queue:
            self._unsampled = 0.0
        if self._unsampled < SAMPLE_SECONDS:
            return
        seconds = self._unsampled
        self._unsampled = 0.0
        largest = max(self._queue.values(), key=_size)
        size = _size(largest)
        if largest.spec["tasks"] * largest.spec["accelerators"] < 2:
            return
        usable: dict[tuple[str, ...], int] = {}
        free = 0
        need = largest.spec["accelerators"]
        for worker in self._fleet.in_service():
            mask = mask_of(worker.free_accelerators)
            free += mask.bit_count()
            runs = len(pack_runs(worker.accelerators, need, mask))
            domain = domain_of(worker, largest.spec["within"])
            usable[domain] = usable.get(domain, 0) + need * min(runs, worker.free_slots)
        best = max(usable.values(), default=0)
        if not free:
            return
        unusable = 1 - min(best, free) / free if best < size else 0.0
        self.samples.fragmentation += unusable * seconds
        self.samples.gang_waiting += seconds
        if free >= size and best < size:
            self.samples.fragmented_waiting += seconds


def _covers(shape: Any, job: Job) -> bool:
    spec = job.spec
    if spec["tasks"] * spec["accelerators"] > shape["accelerators"]:
        return False
    return spec["accelerators"] <= shape.get("per_worker", shape["accelerators"])


def _submitted_at(job: Job) -> float:
    return job.submitted_at


def _size(job: Job) -> int:
    return job.spec["tasks"] * job.spec["accelerators"]
