"""Tasks that last run until their job is cancelled, however their runs end."""

from random import Random

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.crashes import MIN_PROOF_SECONDS
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    ACTIVE,
    CANCELLED,
    COMPLETE,
    JobGraph,
    JobProgress,
    StepSpec,
    TaskState,
    encode,
)
from sequoiachute.state.job_records import JOB_PREFIX, JOBS
from sequoiachute.state.ledger import RUNS, Ledger
from standins.control_site import TASK_NEED, URGENT, ControlSite
from tests.control_checks import TAKEOVER_SECONDS, IdleWatch, accepted
from tests.lasting_checks import (
    GANG,
    LONG_SECONDS,
    MAX_ABSENCE_SECONDS,
    OUTCOMES,
    RESTART_SECONDS,
    SERVICE,
    GangSite,
    end_at_once,
    end_runs,
    running,
    start_service,
    starts_of,
    tasks_of,
)
from tests.loss_checks import LONGEST_LEASE_SECONDS, host_index, lose_machine
from tests.run_checks import assert_no_overlapping_runs

pytestmark = pytest.mark.usefixtures("paused_clock")

SHORT_RUN_SECONDS = 0.75 * MIN_PROOF_SECONDS
CALM_SECONDS = LONGEST_LEASE_SECONDS + TAKEOVER_SECONDS  # after all faults


@pytest.mark.parametrize("step", [SERVICE, GANG])
@pytest.mark.parametrize("queue", [{}, {"queue": URGENT}])
@pytest.mark.parametrize("outcome", OUTCOMES)
def test_tasks_that_last_run_again_however_they_end(outcome, queue, step):
    # Guards against a service that is short of a task for good after an end as done.
    site = ControlSite()
    job = start_service(site, step, **queue)
    for _ in range(3):
        end_runs(site, tasks_of(job), outcome)
        site.run_for(RESTART_SECONDS)
        assert running(site, job) == tasks_of(job)
        assert site.state(job) == ACTIVE
    assert_no_overlapping_runs(site.history)


def test_one_of_the_tasks_that_last_runs_again_alone():
    # Guards against a restart of tasks that have not ended.
    site = ControlSite()
    job = start_service(site)
    first, *others = tasks_of(job)
    end_runs(site, [first], "done")
    site.run_for(RESTART_SECONDS)
    assert running(site, job) == tasks_of(job)
    assert len(starts_of(site, first)) == 2
    assert [len(starts_of(site, task)) for task in others] == [1, 1]


def test_task_that_lasts_in_a_later_step_runs_again():
    # Guards against later steps whose ends are settled in another way.
    site = ControlSite()
    steps = [StepSpec(1, TASK_NEED, 0.5)]
    steps.append(StepSpec(1, TASK_NEED, after=(0,), lasting=True))
    job, _ = site.submit_steps(0.5, steps)
    site.run_for(10.0)
    assert len(starts_of(site, f"{job}.0.0.0")) == 1
    assert len(starts_of(site, f"{job}.0.1.0")) >= 3


def test_step_after_one_that_lasts_starts_once_its_tasks_have_all_been_done():
    # Guards against a step that starts too early, or never, as its turn is recorded.
    site = ControlSite()
    steps = [StepSpec(2, TASK_NEED, lasting=True)]
    steps.append(StepSpec(1, TASK_NEED, after=(0,), lasting=True))
    job, _ = site.submit_steps(LONG_SECONDS, steps)
    site.run_for(2.0)
    first, second = tasks_of(job, 2)
    later = f"{job}.0.1.0"
    for _ in range(2):
        end_runs(site, [first], "done")
        site.run_for(RESTART_SECONDS)
        assert starts_of(site, later) == []
    end_runs(site, [second], "done")
    site.run_for(RESTART_SECONDS)
    assert running(site, job) == [first, second, later]
    end_runs(site, [first, later], "done")
    site.run_for(RESTART_SECONDS)
    assert running(site, job) == [first, second, later]


def end_old_runs(site, seconds, outcome):
    """End the runs that have lasted for ``seconds``."""
    for worker in site.workers:
        for task in worker.running:
            if clock.now() - starts_of(site, task)[-1].at >= seconds:
                worker.end_run(task, outcome)


def end_first(site, job):
    """Let the first task end as done; the members of a gang do so together."""
    step = site.jobs[job].steps[0]
    end_runs(site, tasks_of(job)[: step.count if step.gang else 1], "done")


def freeze_agent(site, job):
    """Freeze the agent of the first task's host for 3 s while the task ends."""
    process = site.agents[host_index(site, job)].process
    process.frozen = True
    end_first(site, job)
    site.run_for(3.0)
    process.frozen = False


def kill_entries(site, job):
    """End the first task while all entries are killed, and start them again."""
    end_first(site, job)
    restart_entries(site)


def restart_entries(site):
    for index in range(3):
        site.kill_entry(index)
    site.run_for(0.3)
    for index in range(3):
        site.restart_entry(index)


def restart_agent(site, job):
    """Start the agent anew before it has reported the end of the first task."""
    index = host_index(site, job)
    site.kill_agent(index)
    end_first(site, job)
    site.restart_agent(index)


def back_up_end(site, job):
    """Let the end be recorded beside the progress, then lose the placer."""
    site.store.down_topics.add(RUNS)
    end_first(site, job)
    site.run_for(1.5)
    assert site.store.newest(JOBS).get(f"end/{job}.0.0.0")
    restart_entries(site)
    site.run_for(0.5)
    site.store.down_topics.clear()


def back_up_end_of_lost_worker(site, job):
    """Let the end be recorded beside the progress, then lose the worker for good."""
    index = host_index(site, job)
    back_up_end(site, job)
    lose_machine(site, index)


@pytest.mark.parametrize(
    "disturb",
    [
        freeze_agent,
        kill_entries,
        restart_agent,
        back_up_end,
        back_up_end_of_lost_worker,
    ],
)
@pytest.mark.parametrize("step", [SERVICE, GANG])
def test_end_of_a_task_that_lasts_starts_one_run_whichever_way_it_is_heard_of(
    disturb, step
):
    # Guards against ends that are settled twice, or as final, on another way.
    site = ControlSite()
    job = start_service(site, step)
    for _ in range(2):
        ended = len(starts_of(site, f"{job}.0.0.0"))
        disturb(site, job)
        until = clock.now() + 16.0
        while clock.now() < until and len(starts_of(site, f"{job}.0.0.0")) == ended:
            site.run_for(0.1)
        site.run_for(RESTART_SECONDS)
        assert len(starts_of(site, f"{job}.0.0.0")) == ended + 1
        assert running(site, job) == tasks_of(job)
        if disturb is back_up_end_of_lost_worker:
            break
    assert_no_overlapping_runs(site.history)


def test_tasks_that_last_and_were_recorded_as_done_run_after_an_upgrade():
    # Guards against a store of an earlier version, in which such ends were final.
    site = ControlSite()
    steps = (StepSpec(3, TASK_NEED, lasting=True),)
    job = JobGraph("a" * 16, "brocach", "proofs", "render", str(LONG_SECONDS), steps)
    over = TaskState(run=1, done=True)
    progress = JobProgress(tasks={f"0.0.{n}": over for n in range(3)}, begun=True)
    site.store.put(JOBS, [(JOB_PREFIX + job.job_id, encode(job))])
    site.store.put(RUNS, [(job.job_id, encode(progress))])
    site.run_for(RESTART_SECONDS)
    assert running(site, job.job_id) == tasks_of(job.job_id)
    restart_entries(site)
    site.run_for(RESTART_SECONDS)
    assert running(site, job.job_id) == tasks_of(job.job_id)
    assert site.state(job.job_id) == ACTIVE


@pytest.mark.parametrize("step", [SERVICE, GANG])
@pytest.mark.parametrize("wait", [0.0, 0.1, 4.0])
def test_nothing_of_a_cancelled_service_is_left_though_its_tasks_had_been_done(
    step, wait
):
    # Guards against runs that are not stopped since their tasks were done once.
    site = ControlSite()
    job = start_service(site, step)
    end_runs(site, tasks_of(job), "done")
    site.run_for(wait)
    site.cancel(job)
    site.run_for(3.0)
    assert running(site, job) == []
    assert site.state(job) == CANCELLED
    starts = len(site.history.starts)
    site.run_for(20.0)
    assert len(site.history.starts) == starts


@pytest.mark.parametrize("step", [SERVICE, GANG])
@pytest.mark.parametrize("outcome", OUTCOMES)
def test_service_whose_runs_end_at_once_is_started_again_for_ever(outcome, step):
    # Guards against a service that is given up, or shown as failed.
    site = ControlSite()
    job = end_at_once(site, outcome, step, 40.0)
    for task in tasks_of(job):
        assert clock.now() - starts_of(site, task)[-1].at <= MAX_ABSENCE_SECONDS
    assert site.state(job) == ACTIVE


@pytest.mark.parametrize("step", [{"count": 16}, {"count": 2, "gang": True}])
@pytest.mark.parametrize("outcome", ["done", "failed"])
def test_service_with_short_runs_is_whole_again_after_a_crash(outcome, step):
    # Guards against tasks kept apart for good, as no run of them lasts for a proof.
    site = GangSite(workers=2, gpus=8)
    count = step["count"]
    step = {**step, "lasting": True}
    jobs = [accepted(site, LONG_SECONDS, **step) for _ in range(16 // count)]
    site.run_for(1.0)
    for worker in site.workers:
        worker.crash()
    until = clock.now() + 40.0
    while clock.now() < until:
        site.run_for(0.1)
        end_old_runs(site, SHORT_RUN_SECONDS, outcome)
    for job in jobs:
        for task in tasks_of(job, count):
            assert clock.now() - starts_of(site, task)[-1].at <= MAX_ABSENCE_SECONDS


def test_occurrence_of_tasks_that_last_stays_open():
    # Guards against an occurrence that is passed over since its tasks were done once.
    step = StepSpec(1, TASK_NEED, lasting=True)
    job = JobGraph("a" * 16, "a", "q", "s", "", (step,), occurrences=2)
    ledger = Ledger()
    ledger.apply(JOBS, StoredRecord(0, JOB_PREFIX + job.job_id, encode(job)))
    done = JobProgress(tasks={"0.0.0": TaskState(run=1, done=True)})
    ledger.apply(RUNS, StoredRecord(0, job.job_id, encode(done)))
    assert ledger.first_open_occurrence(job) == 0


@pytest.mark.parametrize("gang", [False, True])
def test_task_that_does_not_last_never_starts_again_after_done(gang):
    # Guards against ends as done that are not final for other tasks.
    site = ControlSite()
    job = accepted(site, LONG_SECONDS, count=3, per_worker=1, gang=gang)
    site.run_for(2.0)
    end_runs(site, tasks_of(job), "done")
    site.run_for(1.0)
    assert site.state(job) == COMPLETE
    restart_entries(site)
    site.run_for(20.0)
    assert len(site.history.starts) == 3


FAULTS = (
    lambda site, rng: end_runs(site, some_running(site, rng), rng.choice(OUTCOMES)),
    lambda site, rng: rng.choice(site.workers).restart(rng.random() < 0.5),
    lambda site, rng: restart_agents(site, rng.sample(range(4), 2)),
    lambda site, rng: freeze(site, rng.choice(site.agents).process, rng),
    lambda site, rng: freeze(site, rng.choice(site.entries).process, rng),
    lambda site, rng: kill_and_restart(site, rng.randrange(3)),
    lambda site, rng: restart_entries(site),
    lambda site, rng: setattr(site.store, "down_topics", {rng.choice([RUNS, JOBS])}),
    lambda site, rng: setattr(site.store, "down_topics", set()),
    lambda site, rng: setattr(site.store, "lose_replies", rng.random() < 0.3),
)


def some_running(site, rng):
    tasks = sorted(task for worker in site.workers for task in worker.running)
    return rng.sample(tasks, min(len(tasks), rng.randint(1, 3)))


def freeze(site, process, rng):
    process.frozen = True
    site.run_for(rng.choice([1.0, 3.5]))
    process.frozen = False


def restart_agents(site, indices):
    for index in indices:
        site.kill_agent(index)
        site.restart_agent(index)


def kill_and_restart(site, index):
    site.kill_entry(index)
    site.run_for(0.3)
    site.restart_entry(index)


@pytest.mark.parametrize("seed", range(12))
def test_tasks_that_last_are_all_back_after_any_faults_and_never_twice(seed):
    # Guards against faults that together leave a service short, or run a task twice.
    rng = Random(seed)
    site = GangSite(gpus=8)
    jobs = [accepted(site, LONG_SECONDS, **step) for step in (SERVICE, GANG)]
    jobs.append(accepted(site, 3.0, count=4, lasting=True))
    for _ in range(12):
        rng.choice(FAULTS)(site, rng)
        site.run_for(rng.choice([0.1, 0.5, 2.0]))
    site.store.down_topics, site.store.lose_replies = set(), False
    site.run_for(CALM_SECONDS)
    watch = IdleWatch(site)
    watch.run_for(10.0)
    for job in jobs[:2]:
        assert running(site, job) == tasks_of(job)
    assert [site.state(job) for job in jobs] == [ACTIVE] * 3
    for job in jobs:
        site.cancel(job)
    site.run_for(3.0)
    assert [running(site, job) for job in jobs] == [[]] * 3
    assert_no_overlapping_runs(site.history)
