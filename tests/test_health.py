import pytest

from sequoiachute.state.health import QUARANTINE_FAILURES, WorkerHealth
from standins.site import Site, create_catalogue

pytestmark = pytest.mark.usefixtures("paused_clock")

ACCOUNT = {"owner": "Brocach", "job_class": "batch"}


def started_site(workers=3):
    site = Site(workers=workers)
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(8)
    return site


def submit_each_second(site, count):
    for index in range(count):
        site.submit(f"job-{index}", accelerators=8, run_seconds=0.5)
        site.run_for(1)
    site.run_for(20)


def states(site, count):
    return [site.entries[0].jobs.get(f"job-{i}").state for i in range(count)]


def test_worker_that_fails_every_task_is_quarantined_and_probed():
    site = started_site()
    site.backends[0].fails_tasks = True
    submit_each_second(site, 20)
    assert states(site, 20) == ["finished"] * 20
    failed = len(site.backends[0].starts)
    assert failed <= 5
    site.backends[0].fails_tasks = False
    site.run_for(60)
    submitted = 20
    for index in range(submitted, submitted + 6):
        site.submit(f"job-{index}", accelerators=8, run_seconds=4.0)
    site.run_for(30)
    assert len(site.backends[0].starts) >= failed + 2


def test_job_that_fails_everywhere_is_failed_with_the_reason():
    site = started_site()
    for backend in site.backends:
        backend.fails_tasks = True
    site.submit("job-0", accelerators=8)
    site.run_for(30)
    job = site.entries[0].jobs.get("job-0")
    assert job.state == "failed"
    assert "the worker fails it" in job.reason
    assert 1 < job.attempt <= 9


def test_failing_job_puts_no_worker_into_quarantine():
    site = started_site()
    for backend in site.backends:
        backend.fails_tasks = True
    site.submit("job-0", accelerators=8)
    site.run_for(30)
    for backend in site.backends:
        backend.fails_tasks = False
    for index in range(1, 4):
        site.submit(f"job-{index}", accelerators=8, run_seconds=3.0)
    site.run_for(2)
    assert [len(backend.running()) for backend in site.backends] == [1, 1, 1]


def test_failures_count_against_the_job_once_it_has_failed_elsewhere():
    health = WorkerHealth()
    health.note_failed("job-1", "worker-1", 0.0)
    for _ in range(QUARANTINE_FAILURES):
        assert not health.note_failed("job-1", "worker-0", 0.0)
    for index in range(2, 2 + QUARANTINE_FAILURES):
        health.note_failed(f"job-{index}", "worker-0", 0.0)
    assert health.is_quarantined("worker-0")
