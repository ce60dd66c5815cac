"""What agents and the placer pay for each of many running tasks."""

from collections import Counter

import pytest

from sequoiachute.coordination.hosting.runs import MAX_CONCURRENT_CALLS, RunReconciler
from sequoiachute.protocol.workload import Resources
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
    large = accepted(site, 1.0, count=3000)
    small = []
    for number in range(6):
        queue = URGENT if number % 2 else control_site.QUEUE
        small.append(accepted(site, 0.5, queue=queue))
        site.run_for(0.4)
        started = {start.task.partition(".")[0] for start in site.history.starts}
        assert started.issuperset(small)
    complete(site, [large, *small], 60)
    assert len(site.history.starts) == 3006
