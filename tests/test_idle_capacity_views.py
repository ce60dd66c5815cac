"""No unit waits beside idle capacity, whatever its history: generated views.

A unit that fits twice over in a service of which less than half is in use starts
within 3 s. The checks count for themselves what fits and what is in use.
"""

from collections import Counter
from math import inf
from typing import NamedTuple

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sequoiachute.coordination.dispatch.run_statistics import RunStatistics
from sequoiachute.coordination.scheduling import (
    Host,
    SchedulingUnit,
    SchedulingView,
    decide,
)
from sequoiachute.protocol.workload import Resources, StepSpec, TaskId
from tests.test_scheduling_policy import NOW, host, running, tasks_by_host, unit

OVERDUE_SECONDS = 2.0
SPARE_FACTOR = 2  # a unit that fits so many times over has no reason to wait
LEAVING_REASON = "its worker leaves"
MAX_IDLE_START_SECONDS = 3.0
TICK_SECONDS = 0.25  # of a play, between two decisions
PLAY_SECONDS = 10.0
FAILURE_SECONDS = 0.2  # from a start to its failure
STOP_SECONDS = 0.4
GANG_WORK_SECONDS = 0.5  # until the members of a gang show progress
LEAVING_SECONDS = 3.0  # for which a leaving worker stays
DONE, FAILED, REFUSED, STOPPED, LOST = "done", "failed", "refused", "stopped", "lost"

CAPACITIES = (
    Resources(32_000, 128_000, 8),
    Resources(32_000, 128_000, 4),
    Resources(16_000, 32_000, 0),
)
NEEDS = (
    Resources(1_000, 1_000, 1),
    Resources(13_000, 52_992, 4),
    Resources(1_000, 1_000, 8),
    Resources(8_000, 8_000, 0),
)
DOUBTFUL = {"recent_failures": 2, "doubt_age": 0.5}
HOST_STATES = (
    {},
    {"proof_age": 1.0},
    {"recent_failures": 1, "doubt_age": 0.5},
    {"recent_failures": 1, "doubt_age": 2.0},
    DOUBTFUL,
    {"recent_failures": 2, "doubt_age": 2.0},
    {"is_reserved": True},
    {"is_open": False},
    {"is_open": False, "leaving_seconds": 1.0},
    {"is_open": False, "leaving_seconds": 30.0},
)
ATTEMPTS = (
    {},
    {"failed_before": True, "failed_seconds": 0.1},
    {"failed_before": True, "failed_seconds": 10.0},
    {"failed_before": True, "failed_seconds": 0.1, "last_attempt": True},
    {"failed_before": True, "failed_seconds": 10.0, "last_attempt": True},
    {"last_attempt": True},
)


def free_capacity(view, decision):
    """Return what runs and the decision's placements leave of each host."""
    needs = {task: unit.step.reserved for unit in view.units for task in unit.tasks}
    free = {}
    for found in view.hosts:
        free[found.name] = found.capacity
        for run in found.running:
            free[found.name] = free[found.name].minus(run.need)
    for placement in decision.placements:
        free[placement.host] = free[placement.host].minus(needs[placement.task])
    return free


def placed_by_step(view, decision):
    """Return the tasks of each step on each host, with those of the decision."""
    counts = {}
    for waiting in view.units:
        counts[waiting.tasks[0][:3]] = Counter(waiting.placed_per_host)
    for placement in decision.placements:
        counts[placement.task[:3]][placement.host] += 1
    return counts


def may_run(waiting, found):
    """Return whether tasks of a unit can run on a host, however sound it seems."""
    if not found.is_open or found.service != waiting.service:
        return False
    if waiting.step.label and waiting.step.label not in found.labels:
        return False
    return waiting.tickets is None or found.lifetime.worker_id in waiting.tickets


def count_room(waiting, hosts, free, placed):
    """Return how many tasks like those of a unit fit on the hosts."""
    step = waiting.step
    count = 0
    for found in hosts:
        if not may_run(waiting, found):
            continue
        limits = [
            available // needed
            for available, needed in zip(free[found.name], step.reserved, strict=True)
            if needed
        ]
        if step.per_worker:
            limits.append(step.per_worker - placed[found.name])
        count += max(0, min(limits))
    return count


def is_less_than_half_used(service, hosts, free):
    """Return whether each resource of the workers that stay is mostly free."""
    staying = [
        found
        for found in hosts
        if found.service == service and found.leaving_seconds is None
    ]
    for index in range(len(Resources())):
        total = sum(found.capacity[index] for found in staying)
        unused = sum(free[found.name][index] for found in staying)
        if total and 2 * (total - unused) >= total:
            return False
    return True


def idle_waits(view, decision, ignored=()):
    """Yield units of which tasks wait beside room for twice as many.

    Room on the ``ignored`` hosts does not count.
    """
    free = free_capacity(view, decision)
    placed = placed_by_step(view, decision)
    started = {placement.task for placement in decision.placements}
    hosts = [found for found in view.hosts if found.name not in ignored]
    for waiting in view.units:
        left = [task for task in waiting.tasks if task not in started]
        if waiting.returning or not left:
            continue
        if not is_less_than_half_used(waiting.service, view.hosts, free):
            continue
        room = count_room(waiting, hosts, free, placed[waiting.tasks[0][:3]])
        if room >= SPARE_FACTOR * len(left):
            yield waiting


def check_placements(view, decision):
    """Assert that no placement breaks a requirement."""
    hosts = {found.name: found for found in view.hosts}
    units = {
        task: waiting
        for waiting in view.units
        if not waiting.returning
        for task in waiting.tasks
    }
    for placement in decision.placements:
        waiting, found = units[placement.task], hosts[placement.host]
        assert may_run(waiting, found), placement
        assert placement.lifetime == found.lifetime
        tickets = waiting.tickets or {}
        assert placement.ticket == tickets.get(found.lifetime.worker_id, "")
    counts = Counter(placement.task for placement in decision.placements)
    assert max(counts.values(), default=0) <= 1, counts
    for name, left in free_capacity(view, decision).items():
        assert min(left) >= 0, (name, left)
    check_steps(view, decision)


def check_steps(view, decision):
    """Assert that gangs are placed whole and the limits per worker are kept."""
    placed = placed_by_step(view, decision)
    started = {placement.task for placement in decision.placements}
    for waiting in view.units:
        if waiting.step.gang:
            assert len(started & set(waiting.tasks)) in (0, len(waiting.tasks))
        if waiting.step.per_worker:
            most = max(placed[waiting.tasks[0][:3]].values(), default=0)
            assert most <= waiting.step.per_worker, placed


def check_stops(view, decision):
    """Assert that only runs of the view are stopped, lasting ones if they must be.

    That is where their worker leaves, or for guaranteed work.
    """
    guaranteed = {unit.tasks[0][:3] for unit in view.units if unit.guaranteed}
    runs = {
        (run.task, run.run, found.name): run
        for found in view.hosts
        for run in found.running
    }
    for stop in decision.stops:
        run = runs[(stop.task, stop.run, stop.host)]
        must_stop = stop.reason == LEAVING_REASON or stop.beneficiary in guaranteed
        assert must_stop or not run.lasting, stop


@st.composite
def runs(draw, job, need, gang=False):
    """Return a run without its place; the members of a gang differ in progress."""
    estimate = draw(st.sampled_from([2.0, 10.0]))
    lasting = draw(st.sampled_from([False, False, False, True]))
    priority = draw(st.integers(0, 2))
    step = StepSpec(
        1, need, estimate, gang=gang, checkpoints=draw(st.booleans()), lasting=lasting
    )
    return running(
        job,
        priority=priority,
        unsaved_seconds=draw(st.sampled_from([0.0, 1.0, 60.0])),
        need=need,
        step=step,
        gang=gang,
        lasting=lasting,
        remaining_seconds=draw(st.sampled_from([0.3, 5.0, 900.0])),
        stopping=draw(st.sampled_from([False, False, True])),
        measured=draw(st.booleans()),
        stalled_seconds=draw(st.sampled_from([0.0, 0.0, 6.0])),
        percent=draw(st.sampled_from([0, 40, 100])),
        guaranteed=priority == 0 and draw(st.booleans()),
        deadline=NOW + draw(st.sampled_from([-5.0, 5.0, 60.0])),
        accepted_at=NOW - 10.0,
    )


def with_run(hosts, number, run):
    """Return the hosts with one more run, if it fits."""
    found = hosts[number % len(hosts)]
    free = found.capacity
    for other in found.running:
        free = free.minus(other.need)
    if not free.covers(run.need):
        return hosts
    occupied = found._replace(running=(*found.running, run))
    return [occupied if other is found else other for other in hosts]


@st.composite
def idle_hosts(draw, name):
    """Return an open host that has not been used."""
    return host(
        name,
        draw(st.sampled_from([1.0, 0.5, 1.6])),
        rack=f"r-{draw(st.integers(1, 3))}",
        labels=frozenset(draw(st.sampled_from([("a",), ("a", "b"), ("b",)]))),
        capacity=draw(st.sampled_from(CAPACITIES)),
        service=draw(st.sampled_from(["render", "render", "other"])),
        speed_error=draw(st.sampled_from([0.0, 0.4])),
    )


@st.composite
def busy_hosts(draw):
    """Return hosts in all states, some of them with single runs and gangs."""
    hosts = []
    for number in range(draw(st.integers(1, 8))):
        found = draw(idle_hosts(f"h{number}"))
        hosts.append(found._replace(**draw(st.sampled_from(HOST_STATES))))
    for number in range(draw(st.integers(0, 4))):
        need = draw(st.sampled_from(NEEDS))
        gang = draw(st.booleans())
        for index in range(draw(st.integers(1, 3)) if gang else 1):
            run = draw(runs(f"old-{number}", need, gang))
            run = run._replace(task=run.task._replace(index=index))
            hosts = with_run(hosts, draw(st.integers(0, 7)), run)
    return tuple(hosts)


@st.composite
def steps(draw):
    """Return the fields of a step beside its number of tasks."""
    gang = draw(st.booleans())
    return {
        "estimate_seconds": draw(st.sampled_from([5.0, 0.5, 20.0])),
        "gang": gang,
        "same_rack": draw(st.booleans()),
        "label": draw(st.sampled_from(["", "", "a", "b"])),
        "data_rack": draw(st.sampled_from(["", "", "r-1"])),
        "per_worker": draw(st.sampled_from([0, 0, 1, 2])),
        "lasting": draw(st.sampled_from([False, False, True])),
        "filling": draw(st.sampled_from([False, False, False, True])),
    }


@st.composite
def tickets(draw, hosts):
    """Return permits for some workers, or ``None`` where no permit is needed."""
    if draw(st.sampled_from([True, True, False])):
        return None
    advised = draw(st.sets(st.sampled_from([found.name for found in hosts])))
    return {f"w-{name}": f"t-{name}" for name in sorted(advised)}


@st.composite
def new_units(draw, job, hosts):
    """Return all tasks of a step of which none has been placed."""
    priority = draw(st.integers(0, 2))
    fields = draw(steps())
    fresh = unit(
        draw(st.integers(1, 6)),
        job=job,
        priority=priority,
        deadline_in=draw(st.sampled_from([60.0, 2.0, -8.0, -300.0, 600.0])),
        accepted_at=NOW - draw(st.sampled_from([0.0, 3.0, 30.0, 310.0])),
        chain_seconds=fields["estimate_seconds"] + draw(st.sampled_from([0.0, 20.0])),
        step=fields,
        service=draw(st.sampled_from(["render", "render", "other"])),
        guaranteed=priority == 0 and draw(st.booleans()),
        stretch=draw(st.sampled_from([1.0, 1.5, 3.0])),
        waves=draw(st.sampled_from([1, 1, 4, 8])),
        tickets=draw(tickets(hosts)),
    )
    need = draw(st.sampled_from(NEEDS))
    return fresh._replace(step=fresh.step._replace(need=need))


@st.composite
def waiting_units(draw, job, hosts):
    """Return the units of one step: a gang, or failed tasks and the others."""
    fresh = draw(new_units(job, hosts))
    names = st.sampled_from([found.name for found in hosts])
    placed = {}
    if not fresh.step.gang and draw(st.booleans()):
        placed = {draw(names): 1}
    is_returning = draw(st.sampled_from([False, False, True]))
    attempt = draw(st.sampled_from(ATTEMPTS))
    tried = frozenset()
    if "failed_before" in attempt:
        tried = frozenset(draw(st.sets(names, max_size=3)))
    waiting = fresh._replace(
        avoided_hosts=tried | draw(st.sets(names, max_size=2)),
        tried_hosts=tried,
        placed_per_host=placed,
        running=sum(placed.values()),
        returning=fresh.priority == 0 and is_returning,
        charged_work=draw(st.sampled_from([0.0, 200.0])),
        waiting_seconds=draw(st.sampled_from([2.0, 60.0, 1.9, 0.0])),
        **attempt,
    )
    if waiting.step.gang or len(waiting.tasks) < 2 or draw(st.booleans()):
        return [waiting]
    retry = waiting._replace(tasks=waiting.tasks[:1], failed_before=True)
    others = waiting._replace(
        tasks=waiting.tasks[1:],
        last_attempt=False,
        failed_before=False,
        tried_hosts=frozenset(),
    )
    return [retry, others]


@st.composite
def views(draw):
    """Return a view of some hosts and of units that compete for them."""
    hosts = draw(busy_hosts())
    units = []
    for number in range(draw(st.integers(1, 4))):
        units += draw(waiting_units(f"job-{number}", hosts))
    is_gathering = draw(st.sampled_from([False, False, True]))
    return SchedulingView(NOW, hosts, tuple(units), is_gathering)


def idle_view(hosts, waiting, **fields):
    """Return a view of idle hosts, each in a rack of its own."""
    found = [
        host(f"h{number}", rack=f"r-{number}", **fields) for number in range(hosts)
    ]
    return SchedulingView(NOW, tuple(found), (waiting,))


def overdue_unit(count, **fields):
    return unit(count, waiting_seconds=OVERDUE_SECONDS, **fields)


@settings(max_examples=300)
@example(idle_view(5, overdue_unit(12, step={"gang": True, "same_rack": True})))
@example(idle_view(6, overdue_unit(3, step={"same_rack": True, "per_worker": 1})))
@example(idle_view(1, overdue_unit(1, step={"lasting": True}), is_reserved=True))
@example(idle_view(1, overdue_unit(1, step={"lasting": True}), **DOUBTFUL))
@example(idle_view(14, overdue_unit(4, step={"same_rack": True, "per_worker": 1})))
@given(view=views())
def test_overdue_work_starts_beside_idle_capacity(view):
    found = [
        waiting
        for waiting in idle_waits(view, decide(view))
        if waiting.waiting_seconds >= OVERDUE_SECONDS
    ]
    assert not found


@settings(max_examples=300)
@example(idle_view(1, unit(3, priority=0, step={"per_worker": 1})))
@given(view=views())
def test_placements_keep_every_requirement(view):
    decision = decide(view)
    check_placements(view, decision)
    check_stops(view, decision)


class Worker(NamedTuple):
    """A worker of a play, and from when on it fails runs, refuses starts or leaves.

    ``host`` is as it is without runs. Once the worker has left it is started again.
    """

    host: Host
    fails_from: float
    refuses_from: float
    leaves_at: float


class Job(NamedTuple):
    """A job of one step: ``unit`` holds all its tasks.

    ``seconds`` is the duration of its runs; the first ``faults`` runs of each task fail
    by themselves.
    """

    unit: SchedulingUnit
    accepted_at: float
    seconds: float
    attempts: int
    faults: int


class Run(NamedTuple):
    """A run of a play; ``outcome`` is what it comes to at ``ends_at``."""

    task: TaskId
    number: int
    worker: int
    began: float
    ends_at: float
    outcome: str


class Play:
    """Decisions in turn on workers that run, fail and refuse what is placed."""

    def __init__(self, workers, jobs):
        self.now = 0.0
        self.workers = list(workers)
        self.jobs = {job.unit.tasks[0].job_id: job for job in jobs}
        self.numbers = {worker.host.name: n for n, worker in enumerate(workers)}
        self.runs = {}
        self.started = Counter()
        self.failures = Counter()
        self.failed_gangs = set()
        self.failed_jobs = set()
        self.done = set()
        self.statistics = RunStatistics({})
        self.idle_seconds = Counter()

    def run(self):
        while self.now < PLAY_SECONDS:
            self._restart_workers()
            self._end_runs()
            view = self.view()
            decision = decide(view)
            check_placements(view, decision)
            check_stops(view, decision)
            self._check_waits(view, decision)
            self._start(decision)
            self._stop(decision)
            self.now += TICK_SECONDS

    def view(self):
        """Return the view as ``build_view`` does."""
        hosts = tuple(self._host(worker) for worker in self.workers)
        units = []
        for job in self.jobs.values():
            if job.accepted_at <= self.now:
                units += self._units(job)
        return SchedulingView(NOW + self.now, hosts, tuple(units))

    def _host(self, worker):
        life = worker.host.lifetime
        is_leaving = self.now >= worker.leaves_at
        here = self.numbers[worker.host.name]
        runs = [run for run in self.runs.values() if run.worker == here]
        return worker.host._replace(
            is_open=not is_leaving,
            leaving_seconds=self._restart_at(worker) - self.now if is_leaving else None,
            recent_failures=self.statistics.recent_failures(life, self.now),
            doubt_age=self.statistics.doubt_age(life, self.now),
            proof_age=self.statistics.proof_age(life, self.now),
            running=tuple(self._active(run) for run in runs),
        )

    def _restart_at(self, worker):
        return worker.leaves_at + LEAVING_SECONDS

    def _active(self, run):
        job = self.jobs[run.task.job_id]
        step = job.unit.step
        worked = self.now - run.began
        return running(
            task=run.task,
            run=run.number,
            need=step.reserved,
            priority=job.unit.priority,
            gang=step.gang,
            lasting=step.lasting,
            guaranteed=job.unit.guaranteed,
            unsaved_seconds=worked,
            remaining_seconds=max(0.1, step.estimate_seconds - worked),
            measured=worked >= 1.0,
            stopping=run.outcome == STOPPED,
            step=step,
            deadline=job.unit.deadline,
            accepted_at=job.unit.accepted_at,
            preemptions=self.statistics.preemptions.get(run.task, 0),
            moved=run.task in self.statistics.moved_tasks,
        )

    def _units(self, job):
        units = []
        for seconds, tasks in self._groups(job, self._waiting_tasks(job)):
            units.append(self._unit(job, tasks, waiting_seconds=seconds))
        returning = self._returning_tasks(job)
        if returning:
            units.append(self._unit(job, returning, returning=True))
        return units

    def _unit(self, job, tasks, **fields):
        failures = max(self.failures[task] for task in tasks)
        tried = frozenset().union(*map(self.statistics.tried_hosts, tasks))
        doubted = self.statistics.doubted_hosts(tasks[0].job_id)
        placed = Counter(self._name(run) for run in self._runs_of(job))
        return job.unit._replace(
            tasks=tasks,
            placed_per_host=dict(placed),
            running=placed.total(),
            avoided_hosts=tried | doubted,
            tried_hosts=tried,
            failed_before=failures > 0,
            failed_seconds=self.statistics.failed_seconds(tasks[0].job_id, self.now),
            last_attempt=failures >= job.attempts - 1 and not job.unit.step.lasting,
            charged_work=self.statistics.charged_work.get(tasks[0][:3], 0.0),
            **fields,
        )

    def _runs_of(self, job):
        return [self.runs[task] for task in job.unit.tasks if task in self.runs]

    def _waiting_tasks(self, job):
        if job.unit.tasks[0].job_id in self.failed_jobs:
            return []
        if job.unit.step.gang and self._runs_of(job):
            return []
        return [
            task
            for task in job.unit.tasks
            if task not in self.done and task not in self.runs
        ]

    def _groups(self, job, tasks):
        groups = {}
        for task in tasks:
            seconds = self.statistics.wait_times.seconds(task, self.now)
            tried = sorted(self.statistics.tried_hosts(task))
            key = (seconds < OVERDUE_SECONDS, not self.failures[task], tuple(tried))
            group = groups.setdefault(() if job.unit.step.gang else key, [])
            group.append((seconds, task))
        for _, group in sorted(groups.items()):
            yield min(group)[0], tuple(task for _, task in group)

    def _returning_tasks(self, job):
        if job.unit.priority != 0 or job.unit.tasks[0].job_id in self.failed_jobs:
            return ()
        runs = self._runs_of(job)
        stopping = tuple(run.task for run in runs if run.outcome == STOPPED)
        if not job.unit.step.gang:
            return stopping
        left = tuple(task for task in job.unit.tasks if task not in self.done)
        return left if stopping or 0 < len(runs) < len(left) else ()

    def _check_waits(self, view, decision):
        """Assert that no task has waited too long beside room on sound workers."""
        refusing = [w.host.name for w in self.workers if self.now >= w.refuses_from]
        waits = list(idle_waits(view, decision, refusing))
        overdue = [unit for unit in waits if unit.waiting_seconds >= OVERDUE_SECONDS]
        assert not overdue, (self.now, view)
        idle = {task for unit in waits for task in unit.tasks}
        begun = {placement.task for placement in decision.placements}
        begun |= {run.task for run in self.runs.values() if run.outcome == REFUSED}
        idle -= begun
        for task in self.idle_seconds.keys() - idle - begun:
            del self.idle_seconds[task]
        for task in idle:
            self.idle_seconds[task] += TICK_SECONDS
            assert self.idle_seconds[task] <= MAX_IDLE_START_SECONDS, (self.now, view)

    def _start(self, decision):
        for placement in decision.placements:
            task, job = placement.task, self.jobs[placement.task.job_id]
            number = self.numbers[placement.host]
            seconds, outcome = self._fate(job, task, self.workers[number])
            self.started[task] += 1
            self.runs[task] = Run(
                task, self.started[task], number, self.now, self.now + seconds, outcome
            )

    def _fate(self, job, task, worker):
        """Return how long a run that starts now lasts and what it comes to."""
        if self.now >= worker.refuses_from:
            return TICK_SECONDS, REFUSED
        if self.started[task] < job.faults or self.now >= worker.fails_from:
            return FAILURE_SECONDS, FAILED
        return inf if job.unit.step.lasting else job.seconds, DONE

    def _stop(self, decision):
        for stop in decision.stops:
            if self.runs[stop.task].outcome == STOPPED:
                continue
            if stop.is_migration:
                left_host = stop.host if stop.leaves_host else ""
                self.statistics.record_move(stop.task, left_host)
            elif stop.beneficiary is not None:
                preemptions = self.statistics.preemptions
                preemptions[stop.task] = preemptions.get(stop.task, 0) + 1
                self.statistics.charged_work[stop.beneficiary] += stop.lost_work
            self._stop_run(stop.task)

    def _stop_run(self, task):
        """Stop a run, and the other members of its gang."""
        job = self.jobs[task.job_id]
        members = job.unit.tasks if job.unit.step.gang else (task,)
        for member in members:
            run = self.runs.get(member)
            if run is None or run.outcome == STOPPED:
                continue
            ends_at = self.now + STOP_SECONDS
            self.runs[member] = run._replace(outcome=STOPPED, ends_at=ends_at)

    def _end_runs(self):
        for run in list(self.runs.values()):
            is_gang = self.jobs[run.task.job_id].unit.step.gang
            delay = GANG_WORK_SECONDS if is_gang else TICK_SECONDS
            if run.outcome != REFUSED and self.now >= run.began + delay:
                self._end_wait(run.task)
            if run.ends_at <= self.now and run.task in self.runs:
                del self.runs[run.task]
                self._settle(run, is_gang)
        for job_id in [job_id for job_id in self.jobs if self._is_over(job_id)]:
            if not self._runs_of(self.jobs[job_id]):
                del self.jobs[job_id]

    def _end_wait(self, task):
        self.statistics.wait_times.end(task)
        self.idle_seconds.pop(task, None)

    def _settle(self, run, is_gang):
        life = self.workers[run.worker].host.lifetime
        if run.outcome == DONE:
            self.done.add(run.task)
            self.statistics.record_success(life, run.began)
            return
        if run.outcome == REFUSED:
            self.statistics.record_doubt(life, self.now)
        if run.outcome == FAILED:
            self._end_wait(run.task)
            name, suitable = self._name(run), self._count_suitable(run.task)
            self.statistics.record_failure(run.task, name, life, self.now, suitable)
            self._count_failure(run, is_gang)
        if is_gang:
            self._stop_run(run.task)

    def _name(self, run):
        return self.workers[run.worker].host.name

    def _count_suitable(self, task):
        waiting = self.jobs[task.job_id].unit
        count = 0
        for worker in self.workers:
            if worker.host.service != waiting.service:
                continue
            if waiting.step.label and waiting.step.label not in worker.host.labels:
                continue
            count += worker.host.capacity.covers(waiting.step.reserved)
        return count

    def _count_failure(self, run, is_gang):
        """Count a failed run, that of a gang once."""
        task = run.task
        if is_gang:
            task = self.jobs[task.job_id].unit.tasks[0]
            if (task, run.number) in self.failed_gangs:
                return
            self.failed_gangs.add((task, run.number))
        self.failures[task] += 1

    def _is_over(self, job_id):
        """Return whether a job is complete or has failed; stop its runs if so."""
        job = self.jobs[job_id]
        most = max(self.failures[task] for task in job.unit.tasks)
        has_failed = most >= job.attempts and not job.unit.step.lasting
        if has_failed:
            for run in self._runs_of(job):
                self._stop_run(run.task)
            self.failed_jobs.add(job_id)
        return has_failed or self.done.issuperset(job.unit.tasks)

    def _restart_workers(self):
        """Give workers that have left a new lifetime; their runs are lost."""
        for number, worker in enumerate(self.workers):
            if self.now < self._restart_at(worker):
                continue
            life = worker.host.lifetime
            life = life._replace(started_ms=life.started_ms + 1)
            found = worker.host._replace(lifetime=life)
            self.workers[number] = worker._replace(host=found, leaves_at=inf)
            for run in list(self.runs.values()):
                if run.worker == number:
                    lost = run._replace(outcome=LOST, ends_at=self.now)
                    self.runs[run.task] = lost


@st.composite
def plays(draw):
    """Return the workers of a play, some unsound, and its jobs."""
    workers = []
    for number in range(draw(st.integers(2, 8))):
        times = {
            name: draw(st.sampled_from([inf, inf, inf, 0.0, 3.0]))
            for name in ("fails_from", "refuses_from", "leaves_at")
        }
        workers.append(Worker(draw(idle_hosts(f"h{number}")), **times))
    hosts = [worker.host for worker in workers]
    jobs = []
    for number in range(draw(st.integers(1, 4))):
        jobs.append(
            Job(
                draw(new_units(f"job-{number}", hosts)),
                accepted_at=draw(st.sampled_from([0.0, 1.0, 4.0])),
                seconds=draw(st.sampled_from([0.5, 2.0, 20.0])),
                attempts=draw(st.integers(1, 4)),
                faults=draw(st.sampled_from([0, 0, 1, 2])),
            )
        )
    return workers, jobs


@settings(max_examples=150)
@given(workers_and_jobs=plays())
def test_work_starts_beside_idle_capacity_as_time_passes(workers_and_jobs):
    Play(*workers_and_jobs).run()


PROVEN = {"proof_age": 1.0}
FAILED_ONCE = {"recent_failures": 1, "doubt_age": 2.0}
FAILED_TWICE = {"recent_failures": 2, "doubt_age": 2.0}
LAST_ATTEMPT = {"last_attempt": True, "failed_before": True, "failed_seconds": 10.0}
LATE = {"accepted_at": NOW - 200.0}  # less than half of the time is left
ONE_PROVEN = (PROVEN, {}, {}, {}, {}, {})


def small_view(states, waiting_seconds, racks=1, **fields):
    """Return idle hosts of 8 accelerators and a gang of 3 with 4 each."""
    hosts = []
    for number, state in enumerate(states):
        hosts.append(host(f"h{number}", rack=f"r-{number % racks}", **state))
    step = {"gang": True, "same_rack": racks > 1}
    gang = unit(3, 4, step=step, waiting_seconds=waiting_seconds, **fields)
    return SchedulingView(NOW, tuple(hosts), (gang,))


@pytest.mark.parametrize("waiting_seconds", [0.0, OVERDUE_SECONDS])
@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize(
    ("states", "fields"),
    [
        (ONE_PROVEN, {}),
        (ONE_PROVEN, LAST_ATTEMPT),
        ((*ONE_PROVEN, {}, {}, {}, {}, {}), LAST_ATTEMPT),
        (ONE_PROVEN, {**LAST_ATTEMPT, **LATE}),
        (({},) * 6, LAST_ATTEMPT),
        (({}, *(FAILED_TWICE,) * 5), {}),
        ((FAILED_TWICE,) * 6, {}),
        (({}, *(FAILED_ONCE,) * 5), LAST_ATTEMPT),
        (({}, *(FAILED_ONCE,) * 5), {**LAST_ATTEMPT, **LATE}),
    ],
)
def test_gang_does_not_wait_for_hosts_that_cannot_hold_it(
    states, fields, priority, waiting_seconds
):
    view = small_view(states, waiting_seconds, priority=priority, **fields)
    assert sum(tasks_by_host(decide(view)).values()) == 3


@pytest.mark.parametrize("waiting_seconds", [0.0, OVERDUE_SECONDS])
def test_guaranteed_gang_does_not_wait_for_hosts_that_cannot_hold_it(waiting_seconds):
    states = ({}, *(FAILED_ONCE,) * 5)
    fields = {"priority": 0, "guaranteed": True, **LAST_ATTEMPT}
    view = small_view(states, waiting_seconds, **fields)
    assert sum(tasks_by_host(decide(view)).values()) == 3


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_overdue_gang_does_not_wait_for_proof_in_one_rack(priority):
    states = (*(PROVEN,) * 3, {}, {}, {})
    fields = {"priority": priority, **LAST_ATTEMPT}
    view = small_view(states, OVERDUE_SECONDS, racks=3, **fields)
    assert sum(tasks_by_host(decide(view)).values()) == 3
