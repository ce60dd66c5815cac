"""Services whose tasks last, and ends of their runs."""

from collections import Counter

from sequoiachute import clock
from sequoiachute.protocol.workload import TaskId, parse_task_id
from standins.control_site import ControlSite
from tests.control_checks import accepted

GANG_CHECK_SECONDS = 0.05
GANG_SECONDS = 3.0  # the users' gang_ms
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


class GangSite(ControlSite):
    """A site whose gangs work only together, as the users' workers have it.

    A member that ends takes the others along; members end alone if some are missing
    for ``GANG_SECONDS``.
    """

    def __init__(self, **kwargs):
        self._seen_ends = 0
        self._incomplete_since = {}
        super().__init__(**kwargs)

    def run_for(self, seconds):
        """Advance the paused clock."""
        until = clock.now() + seconds
        while clock.now() < until:
            super().run_for(min(GANG_CHECK_SECONDS, until - clock.now()))
            self._end_others()
            self._end_incomplete()

    def _end_others(self):
        ends = self.history.ends[self._seen_ends :]
        self._seen_ends = len(self.history.ends)
        for end in ends:
            outcome = "done" if end.outcome == "done" else "broken"
            self._end_gang(parse_task_id(end.task), end.run, outcome)

    def _end_incomplete(self):
        present = Counter()
        for worker in self.workers:
            for report in worker.status().runs:
                present[parse_task_id(report.task)[:3], report.run] += 1
        since = {}
        for (step, run), count in present.items():
            if count < self.jobs[step[0]].steps[step[2]].count:
                since[step, run] = self._incomplete_since.get((step, run), clock.now())
        self._incomplete_since = since
        for (step, run), began in since.items():
            if clock.now() - began > GANG_SECONDS:
                self._end_gang(TaskId(*step, 0), run, "alone")

    def _end_gang(self, member, run, outcome):
        step = self.jobs[member.job_id].steps[member.step]
        if not step.gang:
            return
        tasks = {str(member._replace(index=index)) for index in range(step.count)}
        for worker in self.workers:
            for report in worker.status().runs:
                if report.task in tasks and report.run == run:
                    worker.end_run(report.task, outcome)
