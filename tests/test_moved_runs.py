"""Runs that are stopped to start again on a faster worker."""

import pytest

from sequoiachute.coordination.dispatch.run_statistics import RunProgress
from sequoiachute.coordination.scheduling import SchedulingView, decide
from standins.control_site import URGENT, ControlSite
from tests.control_checks import accepted, complete
from tests.test_scheduling_policy import NOW, host, running, urgent_run


def stalled_run(**fields):
    """Return an urgent run that stands still and would be in time elsewhere."""
    values = {"stalled_seconds": 2.5, "unsaved_seconds": 2.5}
    return urgent_run(2.0, 9.0, remaining_seconds=400.0, **{**values, **fields})


def test_run_that_stands_still_is_not_stopped_to_start_on_the_same_worker():
    """As b561719aad4f3643 of trouble-1, seed 90305: stopped and started again there."""
    quick = host("quick", 1.4, running=[stalled_run()])
    busy = host("busy", running=[running("busy", gpus=8)])
    assert not decide(SchedulingView(NOW, (quick, busy), ())).stops
    other = host("other", 0.9)
    stops = decide(SchedulingView(NOW, (quick, busy, other), ())).stops
    assert [(stop.host, stop.leaves_host) for stop in stops] == [("quick", True)]


def test_gang_that_is_moved_to_one_rack_may_use_its_hosts_again():
    step = {"gang": True, "percent": 40, "remaining_seconds": 12.0}
    runs = [urgent_run(6.0, 8.0, index=n, **step) for n in range(2)]
    split = [
        run._replace(step=run.step._replace(gang=True, same_rack=True)) for run in runs
    ]
    hosts = (
        host("a", rack="r-1", running=[split[0]]),
        host("b", rack="r-2", running=[split[1]]),
    )
    stops = decide(SchedulingView(NOW, hosts, ())).stops
    assert [stop.leaves_host for stop in stops] == [False, False]


@pytest.mark.usefixtures("paused_clock")
def test_task_that_was_moved_does_not_start_on_the_worker_that_it_left():
    """The placement after the stop took the same worker, which still stood still."""
    site = ControlSite(workers=3)
    stalled = site.workers[0]
    stalled.stands_still = True
    job = accepted(site, 3.0, queue=URGENT)
    site.run_for(5)
    first, second = site.history.starts
    assert first.worker_id == stalled.lifetime.worker_id != second.worker_id
    complete(site, [job], 4)


@pytest.mark.parametrize("seen_at", [0, 4, 30])
def test_stall_does_not_count_as_slow_work_before_the_first_reading(seen_at):
    """What a move would lose seemed to be minutes of work, so that it never came."""
    progress = RunProgress(0.0, seen_at)
    for number in range(1, 5):
        progress.add(number * 0.5, seen_at + 5 * number)
    for number in range(5, 15):
        progress.add(number * 0.5, seen_at + 20)
    assert progress.stalled_seconds(10.0) == 5.0
    assert progress.worked_seconds(10.0) == pytest.approx(7.0 + seen_at / 10)


@pytest.mark.usefixtures("paused_clock")
def test_run_that_stands_still_midway_is_moved_soon():
    """It stood still for 14 s before it had «waited as long as it would lose»."""
    site = ControlSite(workers=3)
    job = accepted(site, 3.0, queue=URGENT)
    site.run_for(0.5)
    (worker,) = [worker for worker in site.workers if worker.running]
    worker.stands_still = True
    complete(site, [job], 8)
