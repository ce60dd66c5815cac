"""Leases of a worker that answers no call while its agent keeps reporting."""

import pytest

from sequoiachute.coordination.dispatch.sessions import (
    LEASE_EXPIRY_MARGIN_SECONDS,
    LEASE_SECONDS,
    MAX_CLOCK_DRIFT,
)
from standins.control_site import ControlSite
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete
from tests.run_checks import assert_no_duplicate_runs

pytestmark = pytest.mark.usefixtures("paused_clock")

# From the newest reading of the worker's clock until its leases have expired.
LEASE_LIFETIME_SECONDS = (
    LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_SECONDS
)
RESTART_SECONDS = LEASE_LIFETIME_SECONDS + 1.0  # a poll, a round and a start


def silence(site):
    """Silence the worker of the first start for good; return its index."""
    worker_id = site.history.starts[0].worker_id
    for index, worker in enumerate(site.workers):
        if worker.lifetime.worker_id != worker_id:
            continue
        worker.silent = True
        site.agents[index].supervisor.handle_heartbeat = lambda heartbeat: None
        return index
    raise AssertionError(worker_id)


@pytest.mark.parametrize(("count", "gang"), [(1, False), (4, True)])
def test_runs_of_a_silent_worker_restart_after_their_leases_expire(count, gang):
    site = ControlSite()
    accepted(site, 500.0, count=count, gang=gang)
    site.run_for(1)
    before = len(site.history.starts)
    silence(site)
    site.run_for(RESTART_SECONDS)
    assert before == count
    assert len(site.history.starts) >= before + 1
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("seconds", [6.0, 8.5, 9.0, 9.25, 9.5, 9.75, 10.0, 12.0, 20.0])
def test_worker_that_answers_again_has_no_run_that_has_started_elsewhere(seconds):
    site = ControlSite()
    job = accepted(site, 20.0)
    site.run_for(1)
    index = silence(site)
    site.run_for(seconds)
    del site.agents[index].supervisor.handle_heartbeat
    site.workers[index].silent = False
    complete(site, [job], 40)


def test_run_on_a_silent_worker_has_lapsed_before_its_task_starts_elsewhere():
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(1)
    silence(site)
    site.run_for(20)
    first, second = site.history.starts
    [lapse] = site.history.ends
    assert lapse.outcome == "lapsed"
    assert lapse.worker_id == first.worker_id != second.worker_id
    assert lapse.at < second.at


@pytest.mark.parametrize("pause", [0.5, 2.0, 4.0, 6.0])
def test_runs_of_a_silent_worker_restart_once_whenever_the_placer_is_lost(pause):
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(1)
    index = silence(site)
    site.run_for(pause)
    site.kill_entry(site.placer())
    site.run_for(TAKEOVER_SECONDS + 10.0 + RESTART_SECONDS)
    assert len(site.history.starts) == 2
    site.workers[index].silent = False
    site.run_for(10)
    assert len(site.history.starts) == 2
    assert_no_duplicate_runs(site.history)


def test_runs_of_a_lost_machine_restart_although_the_placer_changes():
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(1)
    worker_id = site.history.starts[0].worker_id
    for index, worker in enumerate(site.workers):
        if worker.lifetime.worker_id == worker_id:
            site.kill_agent(index)
    for _ in range(4):
        placer = site.placer()
        site.kill_entry(placer)
        site.run_for(0.25)
        site.restart_entry(placer)
        site.run_for(15)
    assert len(site.history.starts) == 2
    assert_no_duplicate_runs(site.history)
