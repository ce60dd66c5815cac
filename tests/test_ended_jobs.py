"""Runs of jobs that have ended while their host was not heard of."""

from math import inf

import pytest

from sequoiachute.coordination.dispatch.views import guaranteed_accounts
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import RunOrder
from sequoiachute.protocol.workload import (
    CANCELLED,
    FAILED,
    JobGraph,
    JobProgress,
    Lifetime,
    Resources,
    StepSpec,
    TaskState,
    encode,
)
from sequoiachute.state.job_records import JOB_PREFIX, JOBS
from sequoiachute.state.ledger import RUNS, Ledger
from sequoiachute.state.operations import Operations
from standins.control_site import CATALOGUE, URGENT, ControlSite
from tests.control_checks import accepted
from tests.loss_checks import start_index

pytestmark = pytest.mark.usefixtures("paused_clock")

LASTING_SECONDS = 500.0
# From when its agent is back: two reports, a round, a stop and the record of its end.
STOP_SECONDS = 4.0
READ_DELAY_SECONDS = 0.1  # of the topic that is read last
GUARANTEED_GPUS = CATALOGUE.accounts[0].guaranteed_gpus


def end_job(site, job, state):
    """Let a job with a run on a frozen agent's worker get its final state."""
    frozen = start_index(site)
    agent = site.agents[frozen]
    agent.process.frozen = True
    site.run_for(0.5)
    if state == CANCELLED:
        site.cancel(job)
    else:
        for index, worker in enumerate(site.workers):
            worker.fails_runs = index != frozen
    site.run_for(1.5)
    for worker in site.workers:
        worker.fails_runs = False
    assert site.state(job) == state
    return agent


def kill_and_restart(site):
    for index in range(3):
        site.kill_entry(index)
    site.run_for(0.3)
    for index in range(3):
        site.restart_entry(index)


def roll_out(site):
    """Let all entries leave, and start them once all are gone."""
    for entry in site.entries:
        entry.control.leave()
    site.run_for(0.5)
    kill_and_restart(site)


def kill_twice(site):
    kill_and_restart(site)
    site.run_for(0.8)
    kill_and_restart(site)


def kill_with_agents(site):
    for index, agent in enumerate(site.agents):
        if not agent.process.frozen:
            site.kill_agent(index)
            site.restart_agent(index)
    kill_and_restart(site)


def restart_one_by_one(site):
    for index in range(3):
        site.entries[index].control.leave()
        site.run_for(0.3)
        site.kill_entry(index)
        site.restart_entry(index)
        site.run_for(0.5)


def urgent_job(gpus, job_id="a" * 16):
    step = StepSpec(1, Resources(1000, 1000, gpus))
    return JobGraph(job_id, "brocach", URGENT.name, URGENT.service, "1.0", (step,))


def start_again(site, index):
    """Carry out the first start late, in the present life of its worker."""
    worker = site.workers[index]
    placed = site.history.starts[0]
    order = RunOrder(placed.task, placed.run, str(LASTING_SECONDS))
    worker.start(worker.lifetime, order, 1, worker.clock_ms + 9000)


def runs_left(site):
    return [task for worker in site.workers for task in worker.running]


@pytest.mark.parametrize("read_last", [JOBS, RUNS])
@pytest.mark.parametrize("state", [CANCELLED, FAILED])
@pytest.mark.parametrize(
    "restart",
    [kill_and_restart, kill_twice, kill_with_agents, roll_out, restart_one_by_one],
)
def test_run_of_an_ended_job_is_stopped_although_every_entry_restarts(
    restart, state, read_last
):
    # Guards against a run that goes on for good since its job's record was read last.
    site = ControlSite()
    is_lasting = state == CANCELLED
    job = accepted(site, LASTING_SECONDS, count=2, per_worker=1, lasting=is_lasting)
    site.run_for(2.0)
    assert len(runs_left(site)) == 2
    agent = end_job(site, job, state)
    site.store.snapshot_seconds[read_last] = READ_DELAY_SECONDS
    restart(site)
    agent.process.frozen = False
    site.run_for(STOP_SECONDS)
    assert runs_left(site) == []
    for entry in site.entries:
        assert entry.control.ledger.runs_of_ended_jobs() == 0
        assert site.state(job) == state


@pytest.mark.parametrize("topics", [(JOBS, RUNS), (RUNS, JOBS)])
def test_ended_job_with_a_run_left_counts_for_no_account_and_no_queue(topics):
    # Guards against a guarantee that is lost to a job which has ended.
    ledger = Ledger()
    job = urgent_job(GUARANTEED_GPUS)
    placed = TaskState(run=1, host="10.0.1.0", lifetime=Lifetime("worker", 1))
    ended = JobProgress(FAILED, {"0.0.0": placed}, ended_at=1.0)
    records = {
        JOBS: StoredRecord(0, JOB_PREFIX + job.job_id, encode(job)),
        RUNS: StoredRecord(0, job.job_id, encode(ended)),
    }
    for topic in topics:
        ledger.apply(topic, records[topic])
    later = urgent_job(GUARANTEED_GPUS, "b" * 16)
    ledger.apply(JOBS, StoredRecord(1, JOB_PREFIX + later.job_id, encode(later)))
    operations = Operations()
    operations.publish(CATALOGUE)
    assert guaranteed_accounts(ledger, operations) == {job.account}
    assert ledger.open_tasks(job.account) == 1
    assert ledger.waiting_count(job.queue) == 1
    assert [open_job.job_id for open_job in ledger.live()] == [later.job_id]
    assert ledger.ended_with_runs() == [job.job_id]
    assert ledger.ended_before(inf) == []
    over = ended._replace(tasks={"0.0.0": placed._replace(host="")})
    ledger.apply(RUNS, StoredRecord(1, job.job_id, encode(over)))
    assert ledger.ended_with_runs() == []
    assert ledger.ended_before(inf) == [job.job_id]


@pytest.mark.parametrize("state", [CANCELLED, FAILED])
def test_run_of_an_ended_job_is_stopped_although_its_record_is_not_read(state):
    # Guards against a run that nobody stops since its job's record can't be read.
    site = ControlSite()
    is_lasting = state == CANCELLED
    job = accepted(site, LASTING_SECONDS, count=2, per_worker=1, lasting=is_lasting)
    site.run_for(2.0)
    agent = end_job(site, job, state)
    site.store.down_topics.add(JOBS)
    kill_and_restart(site)
    agent.process.frozen = False
    site.run_for(STOP_SECONDS)
    assert runs_left(site) == []


@pytest.mark.parametrize("starts_late", [False, True])
def test_run_of_an_ended_job_in_a_later_life_is_stopped(starts_late):
    # Guards against a run left since its host's session is new, or of a later life.
    site = ControlSite()
    job = accepted(site, LASTING_SECONDS, count=2, per_worker=1, lasting=True)
    site.run_for(2.0)
    index = start_index(site)
    agent = end_job(site, job, CANCELLED)
    worker = site.workers[index]
    worker.restart(same_id=True)
    if starts_late:
        start_again(site, index)
    site.store.snapshot_seconds[JOBS] = READ_DELAY_SECONDS
    kill_and_restart(site)
    site.run_for(1.0)
    agent.process.frozen = False
    site.run_for(STOP_SECONDS)
    late = [s for s in site.history.starts if s.lifetime == worker.lifetime]
    assert len(late) == starts_late
    assert runs_left(site) == []
    for entry in site.entries:
        assert entry.control.ledger.runs_of_ended_jobs() == 0
