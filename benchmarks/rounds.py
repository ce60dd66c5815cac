"""Time of one decision against the number of workers and of queued jobs."""

import random
import time

from benchmarks.samples import percentile
from benchmarks.workloads import arrivals_of, large_site
from sequoiachute.coordination.placement import PlacementView, SharingPolicy
from sequoiachute.state.jobs import Job
from standins.fleet import FakeFleet

ROUNDS = 100
FILL_ROUNDS = 60
REPORTED_SHARE = 0.1  # of the workers that announce between two rounds
MILLISECONDS = 1e3


def print_rounds() -> None:
    """Print the time of a round, on fleets that are nearly full."""
    print("\ntime of a round, ms; the first one binds every guarantee")
    for workers in (100, 200, 400, 700):
        _print_round(workers, 100)
    for queued in (10, 300, 1000):
        _print_round(670, queued)


def _print_round(workers: int, queued: int) -> None:
    rng = random.Random(workers + queued)
    site = large_site(workers)
    fleet = FakeFleet(list(site.racks))
    policy = SharingPolicy(0.5)
    jobs = [arrival.job for arrival in arrivals_of(site, 0.0, 7, jobs=6000)]
    queue = {job.job_id: job._replace(submitted_at=0.0) for job in jobs[:queued]}
    spare = jobs[queued:]
    now = 0.0
    taken = []
    for index in range(FILL_ROUNDS + ROUNDS):
        now += 5.0
        while len(queue) < queued and spare:
            job = spare.pop()._replace(submitted_at=now)
            queue[job.job_id] = job
        if index > FILL_ROUNDS and fleet.running:
            fleet.end(rng.choice(sorted(fleet.running)))
        _announce(fleet, rng)
        view = PlacementView(
            fleet.in_service(),
            tuple(queue.values()),
            tuple(fleet.running.values()),
            site.catalogue,
            now,
        )
        began = time.perf_counter()
        decision = policy.decide(view)
        taken.append((time.perf_counter() - began) * MILLISECONDS)
        for placement in decision.placements:
            _obey(placement, queue, fleet, now)
        for job in decision.unplaceable:
            del queue[job.job_id]
    steady = taken[FILL_ROUNDS:]
    print(
        f"  {workers} workers, {queued} queued: first {taken[0]:.1f}, filling p99 "
        f"{percentile(taken[1:FILL_ROUNDS], 0.99):.2f}, then p50 "
        f"{percentile(steady, 0.5):.2f} p99 {percentile(steady, 0.99):.2f}",
        flush=True,
    )


def _obey(placement, queue: dict[str, Job], fleet: FakeFleet, now: float) -> None:
    for eviction in placement.evictions:
        if eviction.job_id in fleet.running:
            job = fleet.end(eviction.job_id)
            queue[job.job_id] = job._replace(state="queued", workers=())
    if fleet.start(placement, queue[placement.job_id], now):
        del queue[placement.job_id]


def _announce(fleet: FakeFleet, rng: random.Random) -> None:
    """Replace some workers by equal ones, as announcements do."""
    count = int(len(fleet.workers) * REPORTED_SHARE)
    for worker_id in rng.sample(sorted(fleet.workers), count):
        worker = fleet.workers[worker_id]
        fleet.workers[worker_id] = worker._replace(sequence=worker.sequence + 1)
