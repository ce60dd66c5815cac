"""The watch over work that waits beside idle workers, and histories that it checks."""

import pytest

from standins.control_site import QUEUE, URGENT, ControlSite
from tests.control_checks import (
    MAX_IDLE_START_SECONDS,
    TAKEOVER_SECONDS,
    IdleWatch,
    accepted,
    complete,
    failed_attempts,
    startable_units,
)

MAX_REFUSED_STARTS = 50  # of six tasks in nine seconds

pytestmark = pytest.mark.usefixtures("paused_clock")


def site_of_racks(workers=4, gpus=4):
    """Return a site whose workers stand in racks of their own."""
    site = ControlSite(workers=workers, gpus=gpus)
    for number, worker in enumerate(site.workers):
        worker.rack = f"rack-{number}"
    site.run_for(1)
    return site


def delay_orders(site):
    """Keep the workers from starting what is placed on them."""
    for worker in site.workers:
        worker.late_seconds = 60.0


@pytest.mark.parametrize("step", [{"count": 8, "gang": True}, {"count": 1}])
def test_watch_finds_work_that_does_not_start(step):
    site = site_of_racks()
    delay_orders(site)
    accepted(site, 1.0, **step)
    watch = IdleWatch(site)
    watch.run_for(MAX_IDLE_START_SECONDS)
    with pytest.raises(AssertionError, match="waiting beside idle workers"):
        watch.run_for(0.5)


def test_watch_finds_a_step_whose_turn_has_come():
    site = site_of_racks()
    accepted(site, 1.0, steps=2)
    watch = IdleWatch(site)
    watch.run_for(0.9)
    assert not startable_units(site)
    delay_orders(site)
    with pytest.raises(AssertionError, match=r"\.0\.1\.0 of 1"):
        watch.run_for(MAX_IDLE_START_SECONDS + 2)


@pytest.mark.parametrize(
    "step",
    [
        {"count": 9, "gang": True},  # of sixteen accelerators
        {"count": 3, "gang": True, "per_worker": 1},
    ],
)
def test_watch_allows_a_wait_of_work_that_does_not_fit_twice(step):
    site = site_of_racks()
    delay_orders(site)
    accepted(site, 1.0, **step)
    IdleWatch(site).run_for(2 * MAX_IDLE_START_SECONDS)


def test_watch_allows_a_wait_where_half_is_in_use():
    site = site_of_racks()
    accepted(site, 9.0, count=8)
    site.run_for(1)
    delay_orders(site)
    accepted(site, 1.0)
    IdleWatch(site).run_for(2 * MAX_IDLE_START_SECONDS)


def test_watch_counts_only_workers_that_start_what_they_are_asked_to():
    site = site_of_racks()
    site.workers[0].leaving_seconds = 20.0
    site.workers[1].refuses_starts = True
    site.kill_agent(2)
    delay_orders(site)
    accepted(site, 1.0, count=2)
    assert len(startable_units(site)) == 2
    accepted(site, 1.0, count=3, gang=True)
    assert len(startable_units(site)) == 2


@pytest.mark.parametrize("queue", [QUEUE, URGENT])
def test_split_gang_starts_after_a_change_of_placer(queue):
    site = site_of_racks()
    site.kill_entry(site.placer())
    site.run_for(2 * TAKEOVER_SECONDS)
    alive = next(i for i, e in enumerate(site.entries) if not e.process.killed)
    gang = {"count": 8, "gang": True, "same_rack": True}
    job = accepted(site, 2.0, queue=queue, entry=alive, **gang)
    watch = IdleWatch(site)
    watch.run_for(MAX_IDLE_START_SECONDS + 2.5)
    complete(site, [job], 1)


def test_work_starts_beside_workers_that_fail_and_refuse():
    site = site_of_racks()
    site.workers[0].fails_runs = True
    site.workers[1].refuses_starts = True
    watch = IdleWatch(site)
    jobs = []
    for number in range(6):
        gang = {"gang": number % 2 == 0, "same_rack": number % 3 == 0}
        jobs.append(accepted(site, 1.0, count=4, **gang))
        watch.run_for(1.5)
    watch.run_for(10)
    site.workers[0].fails_runs = site.workers[1].refuses_starts = False
    survivors = [j for j in jobs if failed_attempts(site, j) < QUEUE.attempts]
    complete(site, survivors, 10)


def test_failed_attempts_are_those_of_one_task_or_gang():
    site = site_of_racks(workers=1)
    site.workers[0].fails_runs = True
    single = accepted(site, 1.0, count=2)
    gang = accepted(site, 1.0, count=2, gang=True)
    site.run_for(30)
    for job in (single, gang):
        assert site.state(job) == "failed"
        assert failed_attempts(site, job) == QUEUE.attempts


def test_failed_work_does_not_wait_for_a_worker_that_refuses_it():
    site = site_of_racks(workers=2)
    sound, refusing = site.workers
    sound.fails_runs = refusing.refuses_starts = True
    jobs = [accepted(site, 1.0, count=3) for _ in range(2)]
    while max(failed_attempts(site, job) for job in jobs) < QUEUE.attempts - 1:
        site.run_for(0.05)
    sound.fails_runs = False
    refused_before = refusing.refused_starts
    IdleWatch(site).run_for(3 * MAX_IDLE_START_SECONDS)
    assert refusing.refused_starts - refused_before <= MAX_REFUSED_STARTS
    complete(site, jobs, 3)
