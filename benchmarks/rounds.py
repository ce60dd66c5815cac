"""Measures the time of one placement decision against workers and queued jobs."""

import random
import time

from benchmarks.samples import percentile
from benchmarks.workloads import draw_arrivals, large_site
from sequoiachute.coordination.placement import PlacementView, SharingPolicy
from sequoiachute.state.jobs import Job
from standins.fleet import FakeFleet

ROUNDS = 100
FILL_ROUNDS = 60
ANNOUNCED_SHARE = 0.1  # of the workers, between two rounds
MILLISECONDS_PER_SECOND = 1e3


def print_decision_times() -> None:
    """Print decision times on fleets that are nearly full."""
    print("\ntime of a round, ms; the first one binds every guarantee")
    for workers in (100, 200, 400, 700):
        _print_decision_time(workers, 100)
    for queued in (10, 300, 1000):
        _print_decision_time(670, queued)


def _print_decision_time(workers: int, queued: int) -> None:
    rng = random.Random(workers + queued)
    site = large_site(workers)
    fleet = FakeFleet(list(site.racks))
    policy = SharingPolicy(0.5)
    jobs = [arrival.job for arrival in draw_arrivals(site, 0.0, 7, jobs=6000)]
    queue = {job.job_id: job._replace(submitted_at=0.0) for job in jobs[:queued]}
    unsubmitted = jobs[queued:]
    now = 0.0
    times_ms = []
    for index in range(FILL_ROUNDS + ROUNDS):
        now += 5.0
        while len(queue) < queued and unsubmitted:
            job = unsubmitted.pop()._replace(submitted_at=now)
            queue[job.job_id] = job
        if index > FILL_ROUNDS and fleet.running:
            fleet.end(rng.choice(sorted(fleet.running)))
        _announce_workers(fleet, rng)
        view = PlacementView(
            fleet.in_service(),
            tuple(queue.values()),
            tuple(fleet.running.values()),
            site.catalogue,
            now,
        )
        began = time.perf_counter()
        decision = policy.decide(view)
        times_ms.append((time.perf_counter() - began) * MILLISECONDS_PER_SECOND)
        for placement in decision.placements:
            _apply_placement(placement, queue, fleet, now)
        for job in decision.unplaceable:
            del queue[job.job_id]
    steady = times_ms[FILL_ROUNDS:]
    print(
        f"  {workers} workers, {queued} queued: first {times_ms[0]:.1f}, filling p99 "
        f"{percentile(times_ms[1:FILL_ROUNDS], 0.99):.2f}, then p50 "
        f"{percentile(steady, 0.5):.2f} p99 {percentile(steady, 0.99):.2f}",
        flush=True,
    )


def _apply_placement(
    placement, queue: dict[str, Job], fleet: FakeFleet, now: float
) -> None:
    for eviction in placement.evictions:
        if eviction.job_id in fleet.running:
            job = fleet.end(eviction.job_id)
            queue[job.job_id] = job._replace(state="queued", workers=())
    if fleet.start(placement, queue[placement.job_id], now):
        del queue[placement.job_id]


def _announce_workers(fleet: FakeFleet, rng: random.Random) -> None:
    """Replace some workers by equal ones with a newer sequence number."""
    count = int(len(fleet.workers) * ANNOUNCED_SHARE)
    for worker_id in rng.sample(sorted(fleet.workers), count):
        worker = fleet.workers[worker_id]
        fleet.workers[worker_id] = worker._replace(sequence=worker.sequence + 1)
