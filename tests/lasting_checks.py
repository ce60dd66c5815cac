"""Services whose tasks last, and ends of their runs."""

from sequoiachute import clock
from tests.control_checks import accepted

LONG_SECONDS = 500.0
OUTCOMES = ("done", "failed", "stopped", "lapsed", "broken", "alone")
# From the end of its last run a task may have none for 6 s and then 3 s more.
MAX_ABSENCE_SECONDS = 9.0
RESTART_SECONDS = 3.0  # where there is room on every worker
SERVICE = {"count": 3, "per_worker": 1, "lasting": True}
GANG = {"count": 3, "per_worker": 1, "lasting": True, "gang": True}


def running(site, job):
    """Return the tasks of a job that run, each as often as it does."""
    tasks = [task for worker in site.workers for task in worker.running]
    return sorted(task for task in tasks if task.startswith(job))


def tasks_of(job, count=3, step=0):
    return [f"{job}.0.{step}.{index}" for index in range(count)]


def start_service(site, step=SERVICE, **fields):
    job = accepted(site, LONG_SECONDS, **step, **fields)
    site.run_for(2.0)
    assert running(site, job) == tasks_of(job)
    return job


def end_runs(site, tasks, outcome):
    for worker in site.workers:
        for task in tasks:
            worker.end_run(task, outcome)


def starts_of(site, task):
    return [start for start in site.history.starts if start.task == task]


def end_at_once(site, outcome, step, seconds):
    """Let the runs of a service end as soon as they begin; return its job."""
    for worker in site.workers:
        worker.seconds_of = lambda payload: 0.05 if outcome == "done" else LONG_SECONDS
        worker.fails_runs = outcome == "failed"
    job = accepted(site, LONG_SECONDS, **step)
    until = clock.now() + seconds
    while clock.now() < until:
        site.run_for(0.05)
        if outcome not in ("done", "failed"):
            end_runs(site, running(site, job), outcome)
    return job
