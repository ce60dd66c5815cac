"""The scheduler's view of jobs and workers, from ledger, reports and evidence."""

from math import ceil
from typing import NamedTuple

from sequoiachute import clock
from sequoiachute.coordination.dispatch.advice import Advisory
from sequoiachute.coordination.dispatch.evidence import Evidence
from sequoiachute.coordination.dispatch.sessions import FRESH_SECONDS, Desk, Session
from sequoiachute.coordination.scheduling import Host, Running, Unit, View
from sequoiachute.coordination.scheduling.model import URGENT_PRIORITY
from sequoiachute.coordination.scheduling.space import may_run
from sequoiachute.protocol.workload import (
    JobGraph,
    JobProgress,
    Resources,
    StepSpec,
    TaskId,
    TaskState,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.operations import Operations

RESUME_SECONDS = 0.4  # a stop saves; the stop and the site's restore_ms are lost
WAVE_SHARE = 0.25  # of all room; a wider step's objective counts it in waves
UNKNOWN_ESTIMATE_SECONDS = 5.0  # for a task that declares none


class _Scene(NamedTuple):
    """What a view is built from; ``room`` is the capacity of each service."""

    ledger: Ledger
    operations: Operations
    evidence: Evidence
    sure: frozenset[str]
    room: dict[str, Resources]


def build_view(
    ledger: Ledger,
    desk: Desk,
    operations: Operations,
    evidence: Evidence,
    advisory: Advisory,
    wall: float,
) -> View:
    """Return the view at wall time ``wall`` in seconds."""
    hosts = []
    sure = guaranteed_accounts(ledger, operations)
    scene = _Scene(ledger, operations, evidence, sure, _room(desk))
    for session in desk.sessions.values():
        host = _host(session, scene)
        if host is not None:
            hosts.append(host)
    units: list[Unit] = []
    for job in ledger.live():
        progress = ledger.progress(job.job_id)
        if progress.state or ledger.is_cancelled(job.job_id):
            continue
        _add_units(job, progress, scene, wall, units)
    return View(wall, tuple(hosts), _advised(units, hosts, operations, advisory))


def _room(desk: Desk) -> dict[str, Resources]:
    """Return the capacity of the workers that are there, by service."""
    room: dict[str, Resources] = {}
    for session in desk.sessions.values():
        worker = session.worker
        if worker is not None and worker.life not in session.gone:
            known = room.get(worker.service, Resources())
            room[worker.service] = known.plus(worker.capacity)
    return room


def _advised(
    units: list[Unit],
    hosts: list[Host],
    operations: Operations,
    advisory: Advisory,
) -> tuple[Unit, ...]:
    """Return the units, those of advised queues with tickets."""
    quick = sorted(hosts, key=lambda host: host.speed, reverse=True)
    found = []
    for unit in units:
        queue = operations.queue(unit.queue)
        if queue is None or not queue.advised:
            found.append(unit)
            continue
        workers = tuple(host.life.worker_id for host in quick if may_run(unit, host))
        step = str(unit.tasks[0]).rpartition(".")[0]
        found.append(unit._replace(tickets=advisory.tickets(step, workers)))
    return tuple(found)


def guaranteed_accounts(ledger: Ledger, operations: Operations) -> frozenset[str]:
    """Return the accounts whose urgent jobs are all within their guarantee."""
    wanted: dict[str, int] = {}
    for job in ledger.live():
        if job.priority != URGENT_PRIORITY or ledger.is_cancelled(job.job_id):
            continue
        gpus = sum(step.count * step.need.gpus for step in job.steps)
        wanted[job.account] = wanted.get(job.account, 0) + gpus
    found = set()
    for name, gpus in wanted.items():
        account = operations.account(name)
        if account is not None and gpus <= account.guaranteed_gpus:
            found.add(name)
    return frozenset(found)


def _host(session: Session, scene: _Scene) -> Host | None:
    worker = session.worker
    if worker is None or worker.life in session.gone:
        return None
    running = []
    now = clock.elapsed()
    for task, state in scene.ledger.tasks_on_host(session.host).items():
        job = scene.ledger.job(task.job_id)
        if job is not None:
            running.append(_running(task, state, job, session, scene))
    session.closed = worker.zone in scene.operations.closed_zones
    is_open = (
        session.is_fenced
        and session.age() < FRESH_SECONDS
        and not worker.leaving
        and not session.closed
        and session.reserved_life != worker.life
    )
    return Host(
        name=session.host,
        life=worker.life,
        service=worker.service,
        zone=worker.zone,
        rack=worker.rack,
        labels=frozenset(worker.labels),
        capacity=worker.capacity,
        is_open=is_open,
        speed=scene.evidence.speed(worker.life, now),
        suspicion=scene.evidence.suspicion(worker.life, now),
        running=tuple(running),
        leaving_seconds=worker.leaving_seconds if worker.leaving else None,
    )


def _running(
    task: TaskId,
    state: TaskState,
    job: JobGraph,
    session: Session,
    scene: _Scene,
) -> Running:
    step = job.steps[task.step]
    estimate = step.estimate_seconds or UNKNOWN_ESTIMATE_SECONDS
    done = unsaved = 0.0
    left = estimate
    rate = None
    seen = scene.evidence.observed(task, state.run)
    if seen is not None:
        done = clock.elapsed() - seen.first.at
        rate = seen.rate()
        left = (100 - seen.percent) / (rate or 100 / estimate)
        unsaved = min(done, RESUME_SECONDS) if step.checkpoints else done
    room = scene.room.get(session.worker.service, Resources())
    begins, deadline = objective(job, task.occurrence, room)
    return Running(
        task=task,
        run=state.run,
        need=step.reserved,
        priority=job.priority,
        account=job.account,
        gang=step.gang,
        left_seconds=left,
        unsaved_seconds=unsaved,
        stopping=session.stops.get(task, 0) == state.run,
        lasting=step.lasting,
        guaranteed=_is_sure(job, scene),
        measured=rate is not None,
        moved=task in scene.evidence.moved,
        stalled=seen is not None and seen.is_stalled(estimate),
        percent=seen.percent if seen is not None else 0,
        step=step,
        service=session.worker.service,
        deadline=deadline,
        rest_seconds=chain_seconds(job, task.step) - estimate,
        accepted_at=begins,
    )


def _add_units(
    job: JobGraph,
    progress: JobProgress,
    scene: _Scene,
    wall: float,
    units: list[Unit],
) -> None:
    for occurrence in range(job.occurrence_count):
        due = job.due_at(occurrence)
        if due > wall:
            break
        for index, step in enumerate(job.steps):
            if not _is_ready(job, progress, occurrence, step):
                continue
            tasks = _waiting_tasks(job, progress, occurrence, index)
            if tasks:
                units.append(_unit(job, progress, index, tasks, scene))


def _is_sure(job: JobGraph, scene: _Scene) -> bool:
    return job.account in scene.sure and job.priority == URGENT_PRIORITY


def _is_ready(
    job: JobGraph, progress: JobProgress, occurrence: int, step: StepSpec
) -> bool:
    for earlier in step.after:
        for index in range(job.steps[earlier].count):
            state = progress.tasks.get(f"{occurrence}.{earlier}.{index}")
            if state is None or not state.done:
                return False
    return True


def _waiting_tasks(
    job: JobGraph, progress: JobProgress, occurrence: int, index: int
) -> tuple[TaskId, ...]:
    step = job.steps[index]
    waiting = []
    for number in range(step.count):
        state = progress.tasks.get(f"{occurrence}.{index}.{number}")
        if state is None:
            waiting.append(TaskId(job.job_id, occurrence, index, number))
            continue
        if state.placed and step.gang:
            return ()
        if state.done or state.placed:
            continue
        waiting.append(TaskId(job.job_id, occurrence, index, number))
    return tuple(waiting)


def _unit(
    job: JobGraph,
    progress: JobProgress,
    index: int,
    tasks: tuple[TaskId, ...],
    scene: _Scene,
) -> Unit:
    queue = scene.operations.queue(job.queue)
    service = queue.service if queue is not None else job.service
    occurrence = tasks[0].occurrence
    room = scene.room.get(service, Resources())
    begins, deadline = objective(job, occurrence, room)
    placed: dict[str, int] = {}
    failures = 0
    for key, state in progress.tasks.items():
        if key.startswith(f"{occurrence}.{index}."):
            failures = max(failures, state.failures)
            if state.host:
                placed[state.host] = placed.get(state.host, 0) + 1
    return Unit(
        account=job.account,
        priority=queue.priority if queue is not None else job.priority,
        deadline=deadline,
        chain_seconds=chain_seconds(job, index),
        accepted_at=begins,
        service=service,
        step=job.steps[index],
        tasks=tasks,
        avoid=scene.evidence.failed_on(job.job_id),
        placed_per_host=placed,
        queue=job.queue,
        last_attempt=failures >= job.attempts - 1,
        guaranteed=_is_sure(job, scene),
    )


def objective(job: JobGraph, occurrence: int, room: Resources) -> tuple[float, float]:
    """Return when an occurrence begins and its deadline, in wall time.

    A step that is wide for the ``room`` of all workers is granted the time of
    the waves in which it would run on a share of it.
    """
    begins = max(job.accepted_at, job.due_at(occurrence))
    whole = chain_seconds(job, 0, room)
    return begins, begins + job.stretch * whole + job.slo_seconds


def chain_seconds(job: JobGraph, first: int, room: Resources | None = None) -> float:
    """Return the declared time from the start of a step to the job's end.

    With ``first`` zero, of the longest chain of the whole job; with ``room``
    wide steps count as often as they have waves.
    """
    longest = [0.0] * len(job.steps)
    for index in reversed(range(len(job.steps))):
        step = job.steps[index]
        seconds = step.estimate_seconds or UNKNOWN_ESTIMATE_SECONDS
        longest[index] += seconds * (waves(step, room) if room else 1)
        for earlier in step.after:
            longest[earlier] = max(longest[earlier], longest[index])
    return max(longest) if first == 0 else longest[first]


def waves(step: StepSpec, room: Resources) -> int:
    """Return in how many waves a step runs that has a share of the room."""
    fitting = float("inf")
    for have, want in zip(room, step.reserved, strict=True):
        if want:
            fitting = min(fitting, WAVE_SHARE * have / want)
    return max(1, ceil(step.count / max(1.0, fitting)))
