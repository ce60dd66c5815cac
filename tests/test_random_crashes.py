"""Workers that crash at random: only what crashes have hit often enough is given up."""

from collections import Counter
from random import Random

import pytest

from sequoiachute.coordination.dispatch.crashes import MIN_OWN_CRASHES
from sequoiachute.protocol.workload import COMPLETE, FAILED
from standins.control_site import QUEUE, URGENT
from tests.control_checks import TAKEOVER_SECONDS, accepted
from tests.lasting_checks import GANG, SERVICE, GangSite, running, tasks_of
from tests.run_checks import assert_no_duplicate_runs

pytestmark = pytest.mark.usefixtures("paused_clock")

STORM_SECONDS = 50.0
CALM_SECONDS = 90.0


def submit_all(site, rng):
    """Submit gangs and single tasks; return them and a service and a lasting gang."""
    sound = []
    for _ in range(4):
        step = {"count": rng.choice((2, 3, 4)), "gang": rng.random() < 0.7}
        step["per_worker"] = rng.choice((1, 2, 4))
        queue = rng.choice((URGENT, QUEUE))
        sound.append(accepted(site, rng.choice((2.0, 5.0, 9.0)), queue=queue, **step))
        site.run_for(rng.choice((0.1, 1.0)))
    lasting = [accepted(site, 500.0, **step) for step in (SERVICE, GANG)]
    return sound, lasting


def storm(site, rng):
    """Let workers crash at random, and agents and placers restart at times."""
    odds = rng.choice((0.05, 0.15, 0.25))
    passed = 0.0
    while passed < STORM_SECONDS:
        seconds = rng.choice((1.0, 2.0, 3.0))
        site.run_for(seconds)
        passed += seconds
        for index, worker in enumerate(site.workers):
            if not worker.is_down and rng.random() < odds:
                worker.down_seconds = rng.choice((1.0, 1.5, 4.0))
                worker.crash()
            elif rng.random() < 0.02:
                site.kill_agent(index)
                site.restart_agent(index)
        placer = site.placer()
        if placer >= 0 and rng.random() < 0.05:
            site.kill_entry(placer)
            site.run_for(TAKEOVER_SECONDS)
            site.restart_entry(placer)


def assert_counts_are_of_runs_that_began(site, crashes):
    ledger = site.entries[site.placer()].control.ledger
    for job in site.jobs:
        for key, state in ledger.progress(job).tasks.items():
            counted = state.crashes.count if state.crashes is not None else 0
            assert counted <= crashes[f"{job}.{key}"]


@pytest.mark.parametrize("seed", range(10))
def test_job_is_given_up_only_for_crashes_under_one_of_its_tasks(seed):
    # Guards against a sound job shown as failed for what crashes did to other tasks.
    rng = Random(seed)
    site = GangSite(workers=8)
    for worker in site.workers:
        worker.refuses_when_down = seed % 2 == 0
        worker.answer_seconds = rng.choice((0.001, 0.02))
    jobs, lasting = submit_all(site, rng)
    storm(site, rng)
    site.run_for(CALM_SECONDS)
    assert_no_duplicate_runs(site.history)
    crashes = Counter(end.task for end in site.history.ends if end.outcome == "crashed")
    if seed % 2 == 0:
        assert_counts_are_of_runs_that_began(site, crashes)
    for job in (*jobs, *lasting):
        if site.state(job) == FAILED:
            most = max(n for task, n in crashes.items() if task.startswith(job))
            assert most >= MIN_OWN_CRASHES
        elif job in lasting:
            assert running(site, job) == tasks_of(job)
        else:
            assert site.state(job) == COMPLETE
