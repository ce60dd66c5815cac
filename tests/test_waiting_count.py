"""What callers are shown of jobs that are placed but have not begun."""

import pytest
from result import Err

from sequoiachute.protocol.workload import ACTIVE, COMPLETE, PENDING
from sequoiachute.transport.worker import UNHEALTHY, WorkerError
from standins.control_site import QUEUE, ControlSite
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")

SHAPES = [{}, {"count": 3}, {"steps": 2}, {"count": 3, "gang": True}]
MAX_COUNT_AGE_SECONDS = 2.0  # users' page
REFUSED = WorkerError(UNHEALTHY, False)
UNANSWERED = WorkerError("no answer", None)


def answer_starts(worker, error):
    """Let a worker answer every start with an error; return its start method."""
    start = worker.start
    worker.start = lambda *_: Err(error)
    return start


def counts(site):
    ledgers = [entry.control.ledger for entry in site.entries]
    return [ledger.waiting_count(QUEUE.name) for ledger in ledgers]


@pytest.mark.parametrize("error", [REFUSED, UNANSWERED])
@pytest.mark.parametrize("shape", SHAPES)
def test_jobs_whose_starts_come_to_nothing_are_counted_as_waiting(shape, error):
    # Guards against counting a job as begun once it has been placed.
    site = ControlSite(workers=1)
    start = answer_starts(site.workers[0], error)
    jobs = [accepted(site, 1.0, entry=number, **shape) for number in range(3)]
    for _ in range(40):
        site.run_for(0.15)
        assert counts(site) == [3] * 3
    assert {site.state(job, n) for job in jobs for n in range(3)} == {PENDING}
    site.workers[0].start = start
    complete(site, jobs, 40)
    assert counts(site) == [0] * 3


@pytest.mark.parametrize("shape", SHAPES)
def test_job_that_has_begun_is_no_longer_counted(shape):
    # Guards against a begun job that stays in the count of what waits.
    site = ControlSite(workers=2)
    job = accepted(site, 8.0, **shape)
    site.run_for(MAX_COUNT_AGE_SECONDS)
    assert len(site.history.starts) == shape.get("count", 1)
    assert counts(site) == [0] * 3
    assert {site.state(job, number) for number in range(3)} == {ACTIVE}


def test_begun_job_is_not_counted_after_its_run_is_lost():
    # Guards against a lost run or a new placer that makes a job wait again.
    site = ControlSite(workers=1)
    job = accepted(site, 30.0)
    site.run_for(1.0)
    site.kill_entry(site.placer())
    site.run_for(TAKEOVER_SECONDS)
    site.workers[0].restart()
    answer_starts(site.workers[0], REFUSED)
    site.run_for(3.0)
    alive = [entry for entry in site.entries if not entry.process.killed]
    shown = [entry.control.ledger.waiting_count(QUEUE.name) for entry in alive]
    assert shown == [0, 0]
    assert site.state(job, site.placer()) == ACTIVE


def test_short_jobs_need_no_record_of_their_own_to_begin():
    # Guards against one more append to the store for each job.
    site = ControlSite(workers=2)
    before = site.store.end("runs")
    jobs = [accepted(site, 0.3) for _ in range(4)]
    complete(site, jobs, 3)
    assert site.state(jobs[0]) == COMPLETE
    assert site.store.end("runs") - before <= 2 * len(jobs) + 2
