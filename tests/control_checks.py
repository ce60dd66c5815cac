"""Submits jobs to a control site in memory, waits for them and checks their starts."""

from collections import Counter
from io import BytesIO
from typing import NamedTuple

from sequoiachute import clock
from sequoiachute.coordination.intake import ACCEPTED
from sequoiachute.protocol.workload import (
    ACTIVE,
    COMPLETE,
    PENDING,
    Resources,
    StepSpec,
    TaskId,
    parse_task_id,
    task_key,
)
from sequoiachute.state.ledger import done_with
from standins.control_site import QUEUE
from tests.run_checks import assert_no_duplicate_runs, assert_run_numbers_increase

TAKEOVER_SECONDS = 3.5  # the membership's time to live, one join and one claim
MAX_IDLE_START_SECONDS = 3.0  # where work fits twice over in a half idle service
IDLE_CHECK_SECONDS = 0.2  # between two checks


def complete(site, jobs, seconds):
    """Wait until all jobs are complete; check that no task ran twice."""
    until = clock.now() + seconds
    alive = [i for i, e in enumerate(site.entries) if not e.process.killed]
    while clock.now() < until:
        site.run_for(0.1)
        if all(site.state(job, alive[0]) == COMPLETE for job in jobs):
            break
    assert [site.state(job, alive[0]) for job in jobs] == [COMPLETE] * len(jobs)
    assert_no_duplicate_runs(site.history)
    assert_run_numbers_increase(site.history)


def accepted(site, *args, **kwargs):
    job, outcome = site.submit(*args, **kwargs)
    assert outcome.kind == ACCEPTED, outcome
    return job


def submission_environ(spec="", deadline_ms=3000):
    """Return the WSGI environment of a submission of one task."""
    body = f'{{"spec": "{spec}", "steps": [{{"count": 1, "cpu": 100, "est_ms": 500}}]}}'
    return {
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": QUEUE.host,
        "PATH_INFO": f"{QUEUE.prefix}{'0' * 15}a",
        "HTTP_AUTHORIZATION": "Token key-1",
        "HTTP_X_DEADLINE_MS": str(deadline_ms),
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": BytesIO(body.encode()),
    }


def cut_links(site, index):
    """Cut an entry off from its peers, both ways."""
    address = site.entries[index].address
    for peer in {entry.address for entry in site.entries} - {address}:
        site.network.cut.update({(address, peer), (peer, address)})


class WaitingUnit(NamedTuple):
    """Tasks that should start together: a gang, or a single task."""

    tasks: tuple[TaskId, ...]
    step: StepSpec


class IdleWatch:
    """Asserts that no work waits beside idle workers.

    Work may wait ``MAX_IDLE_START_SECONDS`` at a time while it fits twice over in what
    the workers have free and less than half of each resource of them is in use.

    Parameters
    ----------
    site : ControlSite
        A site without faults of entries, network and store. Workers may fail.
    """

    def __init__(self, site):
        self._site = site
        self._since = {}

    def run_for(self, seconds):
        """Advance the clock, checking all the while."""
        until = clock.now() + seconds
        while clock.now() < until:
            self._site.run_for(min(IDLE_CHECK_SECONDS, until - clock.now()))
            self.check()

    def check(self):
        """Assert that nothing has waited too long by now."""
        now = clock.now()
        starts = Counter(start.task for start in self._site.history.starts)
        since = {}
        for unit in startable_units(self._site):
            # A start since the last check begins a new wait.
            key = (unit.tasks, sum(starts[str(task)] for task in unit.tasks))
            since[key] = self._since.get(key, now)
        self._since = since
        late = []
        for (tasks, _), began in since.items():
            if now - began > MAX_IDLE_START_SECONDS:
                late.append(f"{tasks[0]} of {len(tasks)} since {began:.1f}")
        assert not late, f"waiting beside idle workers at {now:.1f}: {late}"


def startable_units(site):
    """Return the waiting units that fit twice over in a service that is half idle."""
    if not _is_half_idle(site):
        return []
    return [unit for unit in _waiting_units(site) if _fits_twice(site, unit)]


def _waiting_units(site):
    """Return the units whose turn has come and of which nothing runs."""
    running = {task for worker in site.workers for task in worker.running}
    ledger = site.entries[max(0, site.placer())].control.ledger
    units = []
    for job in site.jobs.values():
        if ledger.job(job.job_id) is None:
            continue
        if ledger.state(job.job_id) not in (PENDING, ACTIVE):
            continue
        done = _done_tasks(ledger, job)
        for index, step in enumerate(job.steps):
            tasks = _tasks_of(job, index)
            before = [
                task for earlier in step.after for task in _tasks_of(job, earlier)
            ]
            if not done.issuperset(before):
                continue
            for group in [tasks] if step.gang else [(task,) for task in tasks]:
                is_open = step.lasting or done.isdisjoint(group)
                if is_open and running.isdisjoint(map(str, group)):
                    units.append(WaitingUnit(group, step))
    return units


def _done_tasks(ledger, job):
    ended = {key for end in ledger.ends(job.job_id) for key in done_with(job, end)}
    progress = ledger.progress(job.job_id)
    done = set()
    for index in range(len(job.steps)):
        for task in _tasks_of(job, index):
            state = progress.tasks.get(task_key(task))
            if task_key(task) in ended or (state is not None and state.done):
                done.add(task)
    return done


def _tasks_of(job, index):
    count = job.steps[index].count
    return tuple(TaskId(job.job_id, 0, index, number) for number in range(count))


def _need(site, task):
    parsed = parse_task_id(task)
    return site.jobs[parsed.job_id].steps[parsed.step].reserved


def _used(site, worker):
    used = Resources()
    for task in worker.running:
        used = used.plus(_need(site, task))
    return used


def _is_half_idle(site):
    """Return whether less than half of each resource is in use.

    What runs on workers that start nothing counts against the others.
    """
    total, used = Resources(), Resources()
    for index, worker in enumerate(site.workers):
        used = used.plus(_used(site, worker))
        if site.can_start(index):
            total = total.plus(worker.capacity)
    return all(u < t / 2 for u, t in zip(used, total, strict=True))


def _fits_twice(site, unit):
    fitting = 0
    for index, worker in enumerate(site.workers):
        if site.can_start(index):
            fitting += _count_fitting(site, worker, unit)
    return fitting >= 2 * len(unit.tasks)


def _count_fitting(site, worker, unit):
    free = worker.capacity.minus(_used(site, worker))
    need = unit.step.reserved
    counts = [f // n for f, n in zip(free, need, strict=True) if n]
    if unit.step.per_worker:
        step = ".".join(str(part) for part in unit.tasks[0][:3])
        placed = sum(task.rpartition(".")[0] == step for task in worker.running)
        counts.append(unit.step.per_worker - placed)
    return max(0, min(counts))


def assert_room_kept(site):
    """Assert that no start has brought a worker over its capacity (LIMIT).

    Except by an order to an earlier life, which the placer can't know of.
    """
    for start in site.history.starts:
        if start.late and start.in_other_life:
            continue
        used = _need(site, start.task)
        for task in start.beside:
            used = used.plus(_need(site, task))
        assert start.room.covers(used), (start, used)


def failed_attempts(site, job_id):
    """Return the most runs that failed of any task of a job, or of any gang."""
    return _most_ends(site, job_id, "failed")


def crash_count(site, job_id):
    """Return the most runs that crashes of workers ended of any task, or any gang."""
    return _most_ends(site, job_id, "crashed")


def _most_ends(site, job_id, outcome):
    runs = set()
    for end in site.history.ends:
        task = parse_task_id(end.task)
        if task.job_id != job_id or end.outcome != outcome:
            continue
        is_gang = site.jobs[job_id].steps[task.step].gang
        runs.add((task.step, -1 if is_gang else task.index, end.run))
    counts = Counter(key[:2] for key in runs)
    return max(counts.values(), default=0)
