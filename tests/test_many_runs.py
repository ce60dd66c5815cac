"""What agents and the placer pay for each of many running tasks."""

from collections import Counter

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.views import MAX_RUNS_PER_WORKER
from sequoiachute.coordination.hosting.runs import MAX_CONCURRENT_CALLS, RunReconciler
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from standins import control_site
from standins.control_site import URGENT, ControlSite
from tests.control_checks import accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")

RUNS = 600
MAX_CALLS_PER_RUN = 40  # a round looks at each run; there are some rounds


@pytest.fixture
def small_tasks(monkeypatch):
    monkeypatch.setattr(control_site, "TASK_NEED", Resources(25, 16, 0))


def count_calls(monkeypatch, owner, name, counts):
    original = getattr(owner, name)

    def counted(*args):
        counts[name] += 1
        return original(*args)

    monkeypatch.setattr(owner, name, counted)


def test_agent_looks_at_few_other_runs_for_each_start(monkeypatch, small_tasks):
    # Guards against an agent that falls behind with hundreds of runs, whose leases
    # then run out so that their work is repeated.
    counts = Counter()
    count_calls(monkeypatch, RunReconciler, "_is_missing", counts)
    count_calls(monkeypatch, Resources, "plus", counts)
    site = ControlSite(workers=1)
    job = accepted(site, 2.0, count=RUNS)
    complete(site, [job], 20)
    assert counts["_is_missing"] <= MAX_CALLS_PER_RUN * RUNS
    assert counts["plus"] <= MAX_CALLS_PER_RUN * RUNS


def test_agent_bounds_its_concurrent_calls(monkeypatch, small_tasks):
    # Guards against as many connections to a worker as it is to start runs.
    site = ControlSite(workers=1)
    worker = site.workers[0]
    start = worker.start
    open_calls = []
    most = []

    def slow_start(*args):
        open_calls.append(args)
        most.append(len(open_calls))
        site.run_for(0.01)
        open_calls.pop()
        return start(*args)

    worker.start = slow_start
    job = accepted(site, 2.0, count=200)
    complete(site, [job], 20)
    assert max(most) <= MAX_CONCURRENT_CALLS


def test_small_jobs_start_at_once_beside_a_large_one(small_tasks):
    # Guards against one client account's job that holds up another's work.
    site = ControlSite()
    large = accepted(site, 1.0, count=1000)
    small = []
    for number in range(6):
        queue = URGENT if number % 2 else control_site.QUEUE
        small.append(accepted(site, 0.5, queue=queue))
        site.run_for(0.4)
        started = {start.task.partition(".")[0] for start in site.history.starts}
        assert started.issuperset(small)
    complete(site, [large, *small], 60)
    assert len(site.history.starts) == 1006


def running_per_worker(site):
    return [len(worker.status().runs) for worker in site.workers]


@pytest.mark.parametrize("queue", [control_site.QUEUE, URGENT])
def test_large_job_takes_no_more_runs_than_agents_bear(small_tasks, queue):
    # Guards against thousands of runs piled on workers whose agents fall behind.
    site = ControlSite()
    accepted(site, 30.0, count=3000, queue=queue)
    site.run_for(5.0)
    running = running_per_worker(site)
    assert max(running) <= MAX_RUNS_PER_WORKER
    assert sum(running) >= MAX_RUNS_PER_WORKER * len(site.workers) * 0.9


@pytest.mark.parametrize("queue", [control_site.QUEUE, URGENT])
def test_jobs_start_beside_large_jobs_that_hold_all_runs(small_tasks, queue):
    # Guards against one client account's tasks that hold all runs that agents bear.
    site = ControlSite()
    for _ in range(3):
        accepted(site, 60.0, count=2000, queue=queue)
    site.run_for(3.0)
    small = [accepted(site, 60.0, count=2) for _ in range(20)]
    site.run_for(2.0)
    started = {start.task.partition(".")[0] for start in site.history.starts}
    assert started.issuperset(small)


def test_due_occurrences_by_the_hundred_hold_up_nothing(small_tasks):
    # Guards against a scheduled job of which a round looks at every occurrence.
    site = ControlSite()
    job_id, _ = site.submit(1.0, count=1)
    job = site.jobs[job_id]._replace(job_id="c" * 16, occurrences=2000)
    site.entries[0].control.intake.submit(job, clock.now() + 3)
    site.run_for(1.0)
    small = accepted(site, 0.5, queue=URGENT)
    complete(site, [job_id, small], 2)
    complete(site, [job.job_id], 60)


def test_step_that_fits_nowhere_stops_no_other_of_its_job(small_tasks):
    # Guards against a step that takes up all that a job may start.
    site = ControlSite()
    blocked = StepSpec(2000, Resources(25, 16, 0), 0.5, label="nowhere")
    job_id = "d" * 16
    job = JobGraph(
        job_id,
        "brocach",
        "proofs",
        "render",
        "0.5",
        (blocked, blocked._replace(label="")),
        accepted_at=clock.wall_time(),
        priority=1,
        attempts=3,
    )
    site.jobs[job_id] = job
    site.entries[0].control.intake.submit(job, clock.now() + 3)
    site.run_for(20.0)
    assert len(site.history.starts) == 2000


def test_gang_of_hundreds_starts_whole(small_tasks):
    # Guards against a bound on runs that keeps a gang from starting.
    site = ControlSite()
    job = accepted(site, 2.0, count=600, gang=True)
    complete(site, [job], 8)
