"""Builds the scheduler's view from ledger, agents' reports and run statistics."""

from math import ceil
from typing import NamedTuple

from sequoiachute import clock
from sequoiachute.coordination.dispatch.advice import TicketCache
from sequoiachute.coordination.dispatch.crashes import NO_CRASHES
from sequoiachute.coordination.dispatch.objectives import (
    DEFAULT_ESTIMATE_SECONDS,
    chain_seconds,
    count_waves,
    objective,
)
from sequoiachute.coordination.dispatch.run_statistics import RunStatistics
from sequoiachute.coordination.dispatch.sessions import (
    MAX_REPORT_AGE_SECONDS,
    MAX_WORKER_AGE_SECONDS,
    AgentSessions,
    Session,
)
from sequoiachute.coordination.scheduling import (
    ActiveRun,
    Host,
    SchedulingUnit,
    SchedulingView,
)
from sequoiachute.coordination.scheduling.capacity import (
    is_eligible,
    meets_requirements,
)
from sequoiachute.coordination.scheduling.model import (
    MAX_IDLE_WAIT_SECONDS,
    URGENT_PRIORITY,
)
from sequoiachute.protocol.workload import (
    TYPICAL_TIMES,
    CrashRecord,
    JobGraph,
    JobProgress,
    Resources,
    StepSpec,
    TaskId,
    TaskState,
    WorkerTimes,
    is_finished,
    task_key,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.operations import Operations
from sequoiachute.state.progress import StepCounts

# With a few hundred runs that each take a second an agent uses a fifth of a core.
MAX_RUNS_PER_WORKER = 128
MAX_READY_STEPS = 64  # of one job that a round looks at; a job has as many steps
# Whether tasks may wait, whether none has failed, the hosts that others are preferred
# to, those on which they are not tried for now, and the number of a suspected task,
# which runs apart from others.
_WaitKey = tuple[bool, bool, tuple[str, ...], tuple[str, ...], int]


class _ViewContext(NamedTuple):
    """Inputs of a view.

    ``guaranteed`` holds the accounts within their guarantee, ``capacity`` the expected
    total by service. ``restart_seconds`` are lost when a run with checkpoints is
    stopped, which saves its work, and started again. ``stopping`` holds the tasks whose
    runs have been asked to stop. ``runs_left`` is how many more runs the workers'
    agents bear. The placer's term began at ``began_at``, in wall time.
    """

    ledger: Ledger
    operations: Operations
    statistics: RunStatistics
    guaranteed: frozenset[str]
    capacity: dict[str, Resources]
    restart_seconds: float
    stopping: frozenset[TaskId]
    runs_left: int
    began_at: float
    is_gathering: bool


def build_view(
    ledger: Ledger,
    agents: AgentSessions,
    operations: Operations,
    statistics: RunStatistics,
    ticket_cache: TicketCache,
    wall_time: float,
    times: WorkerTimes = TYPICAL_TIMES,
) -> SchedulingView:
    """Return the scheduler's view.

    Parameters
    ----------
    ledger : Ledger
    agents : AgentSessions
        Each session's ``zone_closed`` is updated from the closed zones.
    operations : Operations
    statistics : RunStatistics
    ticket_cache : TicketCache
    wall_time : float
        Time of the view in seconds since the epoch.
    times : WorkerTimes
    """
    hosts = []
    guaranteed = guaranteed_accounts(ledger, operations)
    context = _ViewContext(
        ledger,
        operations,
        statistics,
        guaranteed,
        _capacity_by_service(ledger, agents),
        times.restore + times.stop / 2,
        _stopping_tasks(ledger, agents),
        _runs_left(ledger, agents),
        wall_time - (clock.elapsed() - agents.began_at),
        agents.is_gathering,
    )
    for session in agents.sessions.values():
        host = _build_host(session, context)
        if host is not None:
            hosts.append(host)
    units: list[SchedulingUnit] = []
    for job in ledger.live():
        progress = ledger.progress(job.job_id)
        if progress.state or ledger.is_cancelled(job.job_id):
            continue
        _add_units(job, progress, context, wall_time, units)
    return SchedulingView(
        wall_time,
        tuple(hosts),
        _with_tickets(units, hosts, operations, ticket_cache),
        agents.is_gathering,
    )


def _runs_left(ledger: Ledger, agents: AgentSessions) -> int:
    """Return how many more runs the agents bear, all of them together."""
    placed = sum(len(ledger.tasks_on_host(host)) for host in agents.sessions)
    return max(0, MAX_RUNS_PER_WORKER * len(agents.sessions) - placed)


def _stopping_tasks(ledger: Ledger, agents: AgentSessions) -> frozenset[TaskId]:
    found = set()
    for session in agents.sessions.values():
        for task, state in ledger.tasks_on_host(session.host).items():
            if session.stops.get(task, 0) == state.run:
                found.add(task)
    return frozenset(found)


def _capacity_by_service(ledger: Ledger, agents: AgentSessions) -> dict[str, Resources]:
    """Return the total capacity of the live workers by service.

    While agents report, the machines that earlier placers knew count too, as large as
    those that have reported: by these alone each step would seem to fill its service.
    """
    capacity: dict[str, Resources] = {}
    reported = set()
    for session in agents.sessions.values():
        worker = session.worker
        if worker is not None and worker.lifetime not in session.ended_lifetimes:
            total = capacity.get(worker.service, Resources())
            capacity[worker.service] = total.plus(worker.capacity)
            reported.add(session.host)
    if not agents.is_gathering or not reported:
        return capacity
    known = reported | {machine.host for machine in ledger.speeds}
    scale = len(known) / len(reported)
    return {service: total.times(scale) for service, total in capacity.items()}


def _with_tickets(
    units: list[SchedulingUnit],
    hosts: list[Host],
    operations: Operations,
    ticket_cache: TicketCache,
) -> tuple[SchedulingUnit, ...]:
    """Return the units, with tickets added to those of advised queues.

    Hosts in doubt are asked about last: they may be all that there is in the end.
    """
    fastest_first = sorted(hosts, key=lambda host: host.speed, reverse=True)
    found = []
    for unit in units:
        queue = operations.queue(unit.queue)
        if queue is None or not queue.advised:
            found.append(unit)
            continue
        # Tickets are asked for also for hosts that are tried again in a moment.
        asking = unit._replace(paused_hosts=frozenset())
        usable = [host for host in fastest_first if meets_requirements(asking, host)]
        usable.sort(key=lambda host: not is_eligible(unit, host))
        workers = tuple(host.lifetime.worker_id for host in usable)
        step = str(unit.tasks[0]).rpartition(".")[0]
        tickets = ticket_cache.tickets(step, workers, unit.is_overdue)
        found.append(unit._replace(tickets=tickets))
    return tuple(found)


def guaranteed_accounts(ledger: Ledger, operations: Operations) -> frozenset[str]:
    """Return the accounts whose urgent jobs together fit their guarantee."""
    requested: dict[str, int] = {}
    for job in ledger.live():
        if job.priority != URGENT_PRIORITY or ledger.is_cancelled(job.job_id):
            continue
        gpus = sum(step.count * step.need.gpus for step in job.steps)
        requested[job.account] = requested.get(job.account, 0) + gpus
    found = set()
    for name, gpus in requested.items():
        account = operations.account(name)
        if account is not None and gpus <= account.guaranteed_gpus:
            found.add(name)
    return frozenset(found)


def _build_host(session: Session, context: _ViewContext) -> Host | None:
    worker = session.worker
    if worker is None or worker.lifetime in session.ended_lifetimes:
        return None
    running = []
    knows_runs = True
    now = clock.elapsed()
    for task, state in context.ledger.tasks_on_host(session.host).items():
        job = context.ledger.job(task.job_id)
        if job is None:
            # Its record is in a topic that can't be read yet.
            knows_runs = False
            continue
        running.append(_build_running(task, state, job, session, context))
    session.zone_closed = worker.zone in context.operations.closed_zones
    is_open = (
        session.is_fenced
        and session.age() < MAX_REPORT_AGE_SECONDS
        and session.worker_age() < MAX_WORKER_AGE_SECONDS
        and not worker.leaving
        and not session.zone_closed
        and knows_runs
        and session.upkeep_lifetime != worker.lifetime
    )
    return Host(
        name=session.host,
        lifetime=worker.lifetime,
        service=worker.service,
        zone=worker.zone,
        rack=worker.rack,
        labels=frozenset(worker.labels),
        capacity=worker.capacity,
        is_open=is_open,
        is_reserved=session.reserved_lifetime == worker.lifetime,
        speed=context.statistics.speed(session.machine, now),
        speed_error=context.statistics.speed_error(session.machine, now),
        recent_failures=context.statistics.recent_failures(worker.lifetime, now),
        running=tuple(running),
        leaving_seconds=worker.leaving_seconds if worker.leaving else None,
        has_suspect=any(run.suspected for run in running),
        doubt_age=context.statistics.doubt_age(worker.lifetime, now),
        proof_age=context.statistics.proof_age(worker.lifetime, now),
    )


def _build_running(
    task: TaskId,
    state: TaskState,
    job: JobGraph,
    session: Session,
    context: _ViewContext,
) -> ActiveRun:
    step = job.steps[task.step]
    estimate = step.estimate_seconds or DEFAULT_ESTIMATE_SECONDS
    unsaved_seconds = stalled_seconds = 0.0
    remaining_seconds = estimate
    rate = None
    run_progress = context.statistics.progress_of(task, state.run)
    if run_progress is not None:
        worked_seconds = run_progress.worked_seconds(estimate)
        rate = run_progress.rate()
        stalled_seconds = run_progress.stalled_seconds(estimate)
        remaining_seconds = (100 - run_progress.percent) / (rate or 100 / estimate)
        unsaved_seconds = (
            min(worked_seconds, context.restart_seconds)
            if step.checkpoints
            else worked_seconds
        )
    capacity = context.capacity.get(session.worker.service, Resources())
    progress = context.ledger.progress(task.job_id)
    starts_at, deadline = objective(job, task.occurrence, capacity)
    return ActiveRun(
        task=task,
        run=state.run,
        need=step.reserved,
        priority=job.priority,
        account=job.account,
        gang=step.gang,
        remaining_seconds=remaining_seconds,
        unsaved_seconds=unsaved_seconds,
        stopping=session.stops.get(task, 0) == state.run,
        lasting=step.lasting,
        guaranteed=_is_guaranteed(job, context),
        measured=rate is not None,
        moved=task in context.statistics.moved_tasks,
        stalled_seconds=stalled_seconds,
        preemptions=context.statistics.preemptions.get(task, 0),
        percent=run_progress.percent if run_progress is not None else 0,
        step=step,
        service=session.worker.service,
        deadline=deadline,
        downstream_seconds=chain_seconds(job, task.step) - estimate,
        accepted_at=starts_at,
        stretch=job.stretch,
        suspected=_crashes(progress, task).suspected,
    )


def _add_units(
    job: JobGraph,
    progress: JobProgress,
    context: _ViewContext,
    wall_time: float,
    units: list[SchedulingUnit],
) -> None:
    ready = _ready_steps(job, context.ledger, wall_time)
    allowance = _allowance(job, len(ready), context)
    for number, (occurrence, index) in enumerate(ready):
        # Each step gets its share, so that one that fits nowhere stops no other.
        share = ceil(allowance / (len(ready) - number))
        placed = context.ledger.step_counts(job.job_id, occurrence, index)
        waiting = _waiting_tasks(job, progress, placed, occurrence, index, share)
        if job.steps[index].lasting:
            waiting = _unpaused(waiting, job.steps[index].gang, context)
        allowance = max(0, allowance - len(waiting))
        for seconds, tasks in _group_waiting(job, progress, waiting, context):
            unit = _build_unit(job, progress, placed, tasks, context)
            units.append(unit._replace(waiting_seconds=seconds))
        returning = _returning_tasks(job, progress, occurrence, index, context)
        if returning:
            unit = _build_unit(job, progress, placed, returning, context)
            units.append(unit._replace(returning=True))


def _allowance(job: JobGraph, ready_steps: int, context: _ViewContext) -> int:
    """Return how many more tasks of a job the scheduler may place.

    Half of the runs that are left beside those of all jobs, so that large jobs leave
    room to others, and one task of each step where none is placed. The accelerators
    that a guarantee covers are used at once.
    """
    if _is_exempt(job, context):
        return job.task_count
    is_idle = not context.ledger.placed_count(job.job_id)
    return max(ready_steps if is_idle else 0, context.runs_left // 2)


def _is_exempt(job: JobGraph, context: _ViewContext) -> bool:
    """Return whether all tasks of a job start at once, as a guarantee covers them.

    It bounds only tasks that need accelerators.
    """
    needs_gpus = all(step.need.gpus for step in job.steps)
    return needs_gpus and _is_guaranteed(job, context)


def _ready_steps(
    job: JobGraph, ledger: Ledger, wall_time: float
) -> list[tuple[int, int]]:
    """Return occurrence and index of the first steps whose turn has come."""
    found = []
    for occurrence in range(ledger.first_open_occurrence(job), job.occurrence_count):
        if job.due_at(occurrence) > wall_time or len(found) >= MAX_READY_STEPS:
            break
        for index, step in enumerate(job.steps):
            counts = ledger.step_counts(job.job_id, occurrence, index)
            if counts.done >= step.count and not step.lasting:
                continue
            if all(
                ledger.step_counts(job.job_id, occurrence, earlier).done
                >= job.steps[earlier].count
                for earlier in step.after
            ):
                found.append((occurrence, index))
    return found


def _is_guaranteed(job: JobGraph, context: _ViewContext) -> bool:
    return job.account in context.guaranteed and job.priority == URGENT_PRIORITY


def _waiting_tasks(
    job: JobGraph,
    progress: JobProgress,
    placed: StepCounts,
    occurrence: int,
    index: int,
    limit: int,
) -> tuple[TaskId, ...]:
    """Return the first ``limit`` waiting tasks of a step, all of a gang or a service.

    Nothing is returned of a gang of which members are placed.
    """
    step = job.steps[index]
    if step.gang and placed.placed:
        return ()
    if step.gang or step.lasting:
        limit = step.count
    waiting: list[TaskId] = []
    for number in range(placed.first_open, step.count):
        if len(waiting) >= limit:
            break
        state = progress.tasks.get(f"{occurrence}.{index}.{number}")
        if state is not None and is_finished(step, state):
            if number == placed.first_open:
                placed.first_open += 1
        elif state is None or not state.placed:
            waiting.append(TaskId(job.job_id, occurrence, index, number))
    return tuple(waiting)


def _unpaused(
    tasks: tuple[TaskId, ...], is_gang: bool, context: _ViewContext
) -> tuple[TaskId, ...]:
    """Return the tasks that may run again by now, all of a gang or none."""
    now = clock.elapsed()
    pauses = context.statistics.restart_pauses
    ready = tuple(task for task in tasks if not pauses.is_paused(task, now))
    return () if is_gang and len(ready) < len(tasks) else ready


def _group_waiting(
    job: JobGraph,
    progress: JobProgress,
    tasks: tuple[TaskId, ...],
    context: _ViewContext,
) -> list[tuple[float, tuple[TaskId, ...]]]:
    """Return the tasks in groups, each with the seconds for which it has waited.

    Tasks that have tried hosts in vain are apart from the others, by these hosts, and
    so are those that have waited as long as they may; these come
    first. A gang stays together, a suspected task is by itself.
    """
    now = clock.elapsed()
    start_doubts = context.statistics.start_doubts
    is_gang = bool(tasks) and job.steps[tasks[0].step].gang
    groups: dict[_WaitKey, list[TaskId]] = {}
    waits: dict[_WaitKey, float] = {}
    for task in tasks:
        seconds = context.statistics.wait_times.seconds(task, now)
        seconds += _earlier_wait(job, progress, task, context)
        record = _crashes(progress, task)
        tried = tuple(sorted(_tried_hosts(task, record, context)))
        paused = tuple(sorted(start_doubts.paused_hosts(task, now)))
        may_wait = seconds < MAX_IDLE_WAIT_SECONDS
        apart = task.index if record.suspected else -1
        key = (may_wait, not _failures(progress, task), tried, paused, apart)
        if is_gang:
            key = (False, False, (), (), -1)
        groups.setdefault(key, []).append(task)
        waits[key] = min(seconds, waits.get(key, seconds))
    return [(waits[key], tuple(groups[key])) for key in sorted(groups)]


def _earlier_wait(
    job: JobGraph, progress: JobProgress, task: TaskId, context: _ViewContext
) -> float:
    """Return for how long a task had waited before this placer's term.

    Zero if its turn is not known to have come by then, and while agents report: what
    has waited too long takes any host.
    """
    state = progress.tasks.get(task_key(task))
    has_run = state is not None and state.run > 0
    if context.is_gathering or has_run or job.steps[task.step].after:
        return 0.0
    turn_at = max(job.accepted_at, job.due_at(task.occurrence))
    return max(0.0, context.began_at - turn_at)


def _tried_hosts(
    task: TaskId, record: CrashRecord, context: _ViewContext
) -> frozenset[str]:
    """Return the hosts on which a task was not done, for whatever cause."""
    statistics = context.statistics
    doubted = statistics.start_doubts.doubted_hosts(task, clock.elapsed())
    crashed = {record.host} if record.host else set()
    return statistics.tried_hosts(task) | doubted | crashed


def _crashes(progress: JobProgress, task: TaskId) -> CrashRecord:
    """Return the crashes under a task."""
    state = progress.tasks.get(task_key(task))
    return (state.crashes if state is not None else None) or NO_CRASHES


def _failures(progress: JobProgress, task: TaskId) -> int:
    state = progress.tasks.get(task_key(task))
    return state.failures if state is not None else 0


def _returning_tasks(
    job: JobGraph,
    progress: JobProgress,
    occurrence: int,
    index: int,
    context: _ViewContext,
) -> tuple[TaskId, ...]:
    """Return the tasks of an urgent job that will wait once their runs have ended.

    A gang waits as a whole: until its last member has ended, none can be placed.
    """
    step = job.steps[index]
    if job.priority != URGENT_PRIORITY or not (step.gang or context.stopping):
        return ()
    placed, stopping, others = [], [], []
    for number in range(step.count):
        task = TaskId(job.job_id, occurrence, index, number)
        state = progress.tasks.get(f"{occurrence}.{index}.{number}")
        if state is not None and is_finished(step, state):
            continue
        if state is None or not state.placed:
            others.append(task)
        elif task in context.stopping:
            stopping.append(task)
        else:
            placed.append(task)
    if not step.gang:
        return tuple(stopping)
    is_ending = stopping or (placed and others)
    return (*placed, *stopping, *others) if is_ending else ()


def _build_unit(
    job: JobGraph,
    progress: JobProgress,
    placed: StepCounts,
    tasks: tuple[TaskId, ...],
    context: _ViewContext,
) -> SchedulingUnit:
    index = tasks[0].step
    queue = context.operations.queue(job.queue)
    service = queue.service if queue is not None else job.service
    occurrence = tasks[0].occurrence
    capacity = context.capacity.get(service, Resources())
    starts_at, deadline = objective(job, occurrence, capacity)
    failures = max(_failures(progress, task) for task in tasks)
    statistics = context.statistics
    now = clock.elapsed()
    tried_hosts: frozenset[str] = frozenset()
    paused_hosts: frozenset[str] = frozenset()
    suspected = False
    for task in tasks:
        record = _crashes(progress, task)
        suspected = suspected or record.suspected
        tried_hosts |= _tried_hosts(task, record, context)
        paused_hosts |= statistics.start_doubts.paused_hosts(task, now)
    return SchedulingUnit(
        account=job.account,
        priority=queue.priority if queue is not None else job.priority,
        deadline=deadline,
        chain_seconds=chain_seconds(job, index),
        accepted_at=starts_at,
        service=service,
        step=_spread(job.steps[index], _is_exempt(job, context)),
        tasks=tasks,
        avoided_hosts=tried_hosts | statistics.doubted_hosts(job.job_id),
        placed_per_host=placed.per_host,
        queue=job.queue,
        last_attempt=failures >= job.attempts - 1 and not job.steps[index].lasting,
        failed_before=failures > 0,
        failed_seconds=statistics.failed_seconds(job.job_id, now),
        guaranteed=_is_guaranteed(job, context),
        stretch=job.stretch,
        waves=count_waves(job.steps[index], capacity),
        running=placed.placed,
        charged_work=context.statistics.charged_work.get(tasks[0][:3], 0.0),
        tried_hosts=tried_hosts,
        paused_hosts=paused_hosts,
        suspected=suspected,
    )


def _spread(step: StepSpec, is_exempt: bool) -> StepSpec:
    """Return a step that puts no more tasks on a worker than its agent bears."""
    is_whole = step.gang or step.lasting
    if is_exempt or is_whole or step.count <= MAX_RUNS_PER_WORKER:
        return step
    limit = step.per_worker or MAX_RUNS_PER_WORKER
    return step._replace(per_worker=min(limit, MAX_RUNS_PER_WORKER))
