"""Where the attempts of a failed task go, by what its failures tell."""

import random
from itertools import combinations

import eventlet
import pytest

from sequoiachute.coordination.scheduling import SchedulingView, decide
from sequoiachute.protocol.workload import COMPLETE, FAILED
from standins.control_site import QUEUE, ControlSite
from tests.control_checks import accepted, complete
from tests.run_checks import assert_no_duplicate_runs
from tests.test_scheduling_policy import NOW, host, running, tasks_by_host, unit

pytestmark = pytest.mark.usefixtures("paused_clock")

POISON_SECONDS = 0.1  # from the start of a run of a poison job to its failure


def queue(attempts):
    return QUEUE._replace(attempts=attempts)


def add_poison(site):
    """Return a set; each run of a job that is added to it fails by its own fault."""
    jobs = set()
    for worker in site.workers:
        _fail_runs_of(worker, jobs)
    return jobs


def _fail_runs_of(worker, jobs):
    start = worker.start

    def fail(run):
        if worker._runs.get((run.task, run.run)) is run:
            worker._end(run, "failed")

    def start_and_fail(lifetime, order, term, lease_ms):
        outcome = start(lifetime, order, term, lease_ms)
        run = worker._runs.get((order.task, order.run))
        if order.task.partition(".")[0] in jobs and run is not None:
            eventlet.spawn_after(POISON_SECONDS, fail, run)
        return outcome

    worker.start = start_and_fail


def repeated_attempts(site):
    """Return tasks and workers where a task started again after it had failed there."""
    failed = {}
    for end in site.history.ends:
        if end.outcome == "failed":
            failed.setdefault((end.task, end.worker_id), end.at)
    found = []
    for start in site.history.starts:
        key = (start.task, start.worker_id)
        if start.at > failed.get(key, float("inf")):
            found.append(key)
    return found


def finish(site, jobs, seconds):
    """Let time pass until all jobs have ended; return their states."""
    for _ in range(round(10 * seconds)):
        site.run_for(0.1)
        if all(site.state(job) in (COMPLETE, FAILED) for job in jobs):
            break
    assert_no_duplicate_runs(site.history)
    return [site.state(job) for job in jobs]


@pytest.mark.parametrize("failing", list(combinations(range(5), 2)))
def test_two_of_five_workers_that_fail_everything_do_not_fail_a_job(failing):
    """As 0d5031a35904826d: runs 2 to 4 went to one worker within 0.25 s."""
    site = ControlSite(workers=5, gpus=1)
    complete(site, [accepted(site, 1.0, count=5)], 4)
    # The last success of these is the newest, so that they are the best proven.
    complete(site, [accepted(site, 0.6, count=5)], 4)
    for index in failing:
        site.workers[index].fails_runs = True
    job = accepted(site, 2.0, queue=queue(3))
    assert finish(site, [job], 7) == [COMPLETE]
    assert not repeated_attempts(site)


def test_worker_that_is_best_proven_and_fails_does_not_get_all_attempts():
    site = ControlSite(workers=5, gpus=1)
    complete(site, [accepted(site, 1.0, count=5)], 4)
    complete(site, [accepted(site, 1.0, count=2)], 4)
    failing = {end.worker_id for end in site.history.ends[-2:]}
    for worker in site.workers:
        worker.fails_runs = worker.lifetime.worker_id in failing
    job = accepted(site, 2.0, queue=queue(4))
    assert finish(site, [job], 7) == [COMPLETE]
    assert not repeated_attempts(site)


@pytest.mark.parametrize("seed", range(40))
def test_half_of_the_workers_may_fail_without_failing_a_job(seed):
    rng = random.Random(seed)
    workers, gpus = rng.randint(2, 9), rng.randint(1, 4)
    site = ControlSite(workers=workers, gpus=gpus)
    failing = rng.sample(range(workers), rng.randint(1, workers // 2))
    early = []
    for _ in range(rng.randint(0, 4)):
        count = rng.randint(1, workers * gpus)
        early.append(accepted(site, rng.choice((0.5, 1.0, 2.0)), count=count))
        site.run_for(rng.choice((0.1, 0.5, 1.5)))
    assert finish(site, early, 20) == [COMPLETE] * len(early)
    for index in failing:
        site.workers[index].fails_runs = True
    # The sound workers have room for all tasks, so that there is always a host left.
    room = (workers - len(failing)) * gpus
    jobs = []
    while room:
        count = rng.randint(1, min(room, 6))
        room -= count
        jobs.append(
            accepted(site, 2.0, count=count, queue=queue(len(failing) + 1), wait=3.0)
        )
        site.run_for(rng.choice((0.0, 0.1, 0.3)))
    assert finish(site, jobs, 12) == [COMPLETE] * len(jobs)
    assert not repeated_attempts(site)


def play_beside_poison(site, rng, poison_count, seconds=8.0):
    """Play small jobs beside poison jobs; return both, the first with their lateness.

    The small jobs take a third of the room.
    """
    room = sum(worker.capacity.gpus for worker in site.workers)
    poisons, others, late = [], {}, {}
    failing = add_poison(site)
    for tick in range(round(10 * seconds)):
        if tick % 20 == 5:
            job_id = f"b{len(poisons):015x}"
            failing.add(job_id)
            poisons.append(accepted(site, 1.0, count=poison_count, job_id=job_id))
        if rng.random() < 0.1 * room / 3:
            deadline = 0.1 * tick + QUEUE.stretch * 1.0 + QUEUE.slo_seconds
            others[accepted(site, 1.0)] = deadline
        site.run_for(0.1)
        for job, deadline in others.items():
            if site.state(job) != COMPLETE and 0.1 * (tick + 1) > deadline:
                late[job] = deadline
    return poisons, list(others), late


@pytest.mark.parametrize("poison_count", [1, 4])
@pytest.mark.parametrize("workers", [3, 5, 8])
@pytest.mark.parametrize("seed", range(3))
def test_poison_jobs_do_not_close_hosts_to_other_jobs(seed, workers, poison_count):
    site = ControlSite(workers=workers, gpus=4)
    complete(site, [accepted(site, 1.0, count=4 * workers)], 4)
    rng = random.Random(seed)
    poisons, others, late = play_beside_poison(site, rng, poison_count)
    assert finish(site, poisons, 5) == [FAILED] * len(poisons)
    assert finish(site, others, 5) == [COMPLETE] * len(others)
    assert not late
    complete(site, [accepted(site, 1.0, count=4 * workers)], 2.5)


@pytest.mark.parametrize("seed", range(10))
def test_poison_jobs_beside_workers_that_fail_everything(seed):
    rng = random.Random(seed)
    workers = rng.randint(4, 8)
    site = ControlSite(workers=workers, gpus=4)
    complete(site, [accepted(site, 1.0, count=4 * workers)], 4)
    for index in rng.sample(range(workers), rng.randint(1, min(2, workers // 3))):
        site.workers[index].fails_runs = True
    poisons, others, late = play_beside_poison(site, rng, rng.choice((1, 2)))
    assert finish(site, poisons, 5) == [FAILED] * len(poisons)
    assert finish(site, others, 5) == [COMPLETE] * len(others)
    assert not late


@pytest.mark.parametrize("last_attempt", [False, True])
@pytest.mark.parametrize("priority", [0, 1])
def test_unproven_slow_host_goes_before_one_where_the_task_has_failed(
    priority, last_attempt
):
    hosts = (host("tried", proof_age=1.0), host("slow", speed=0.5))
    retry = unit(
        priority=priority,
        tried_hosts=frozenset(("tried",)),
        avoided_hosts=frozenset(("tried",)),
        failed_before=True,
        last_attempt=last_attempt,
    )
    decision = decide(SchedulingView(NOW, hosts, (retry,)))
    assert tasks_by_host(decision) == {"slow": 1}
    busy = host("slow", running=[running(gpus=8)])
    decision = decide(SchedulingView(NOW, (hosts[0], busy), (retry,)))
    assert tasks_by_host(decision) == {"tried": 1}


def test_oldest_failure_goes_first_where_a_task_has_failed_everywhere():
    hosts = (
        host("newer", recent_failures=1, doubt_age=1.6, running=[running()]),
        host("older", recent_failures=1, doubt_age=2.0),
    )
    names = frozenset(("newer", "older"))
    retry = unit(tried_hosts=names, avoided_hosts=names, failed_before=True)
    decision = decide(SchedulingView(NOW, hosts, (retry,)))
    assert tasks_by_host(decision) == {"older": 1}


@pytest.mark.parametrize(
    ("racks", "expected"), [("1122", {"c": 1, "d": 1}), ("112", {"a": 1, "b": 1})]
)
def test_gang_of_one_rack_takes_a_rack_where_it_has_not_failed(racks, expected):
    hosts = tuple(
        host(name, rack=rack) for name, rack in zip("abcd", racks, strict=False)
    )
    tried = frozenset("a")
    step = {"gang": True, "same_rack": True}
    fields = {"tried_hosts": tried, "avoided_hosts": tried, "failed_before": True}
    gang = unit(2, gpus=8, step=step, **fields)
    decision = decide(SchedulingView(NOW, hosts, (gang,)))
    assert tasks_by_host(decision) == expected
