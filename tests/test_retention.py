"""Ended jobs are dropped from the store in an order that starts none of them again."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.placer import RETENTION_INTERVAL_SECONDS
from sequoiachute.coordination.dispatch.retention import ENDED_JOB_RETENTION_SECONDS
from sequoiachute.protocol.workload import COMPLETE
from sequoiachute.state.job_records import JOBS
from sequoiachute.state.ledger import RUNS
from standins.control_site import ControlSite
from tests.control_checks import accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")


def restart(site):
    for index in range(3):
        site.kill_entry(index)
    site.run_for(0.3)
    for index in range(3):
        site.restart_entry(index)


def test_job_that_has_ended_does_not_run_again_once_its_record_can_be_read():
    # Guards against progress that is dropped while a topic with its job is not read.
    site = ControlSite()
    job = accepted(site, 0.5)
    complete(site, [job], 3)
    site.run_for(ENDED_JOB_RETENTION_SECONDS - RETENTION_INTERVAL_SECONDS)
    site.store.down_topics.add(JOBS)
    restart(site)
    site.run_for(3 * RETENTION_INTERVAL_SECONDS)
    site.store.down_topics.clear()
    site.run_for(3.0)
    assert len(site.history.starts) == 1
    assert site.state(job) == COMPLETE


def test_progress_of_a_job_outlasts_its_record_in_the_store():
    # Guards against entries that read a job before its deletion, its progress after.
    site = ControlSite()
    job = accepted(site, 0.5)
    complete(site, [job], 3)
    until = clock.now() + ENDED_JOB_RETENTION_SECONDS + 4 * RETENTION_INTERVAL_SECONDS
    outlasted_at = None
    while clock.now() < until and job in site.store.newest(RUNS):
        site.run_for(0.5)
        if f"job/{job}" not in site.store.newest(JOBS) and outlasted_at is None:
            outlasted_at = clock.now()
    assert job not in site.store.newest(RUNS)
    assert clock.now() - outlasted_at >= RETENTION_INTERVAL_SECONDS - 1.0
