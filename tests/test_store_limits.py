"""Jobs whose records add up to more than one record or call of the store holds."""

import pytest
from result import Err

from sequoiachute import clock
from sequoiachute.coordination import intake
from sequoiachute.coordination.dispatch.placer import RETENTION_INTERVAL_SECONDS
from sequoiachute.coordination.dispatch.settlement import ProgressDraft
from sequoiachute.coordination.intake import ACCEPTED, REFUSED, TOO_LARGE
from sequoiachute.coordination.store.batches import in_batches
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    COMPLETE,
    JobGraph,
    JobProgress,
    Lifetime,
    Resources,
    StepSpec,
    TaskId,
    TaskState,
    encode,
)
from sequoiachute.state.ledger import RUNS, Ledger
from sequoiachute.state.progress import TASKS_PER_RECORD
from sequoiachute.transport.store import AppendError, StoreLimits, record_bytes
from standins.control_site import ControlSite
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")

SMALL_LIMITS = StoreLimits(record_bytes=8192, call_bytes=16384)
JOB = JobGraph("a" * 16, "a", "q", "s", "", (StepSpec(300, Resources()),))


def limited_site(**kwargs):
    site = ControlSite(gpus=64, **kwargs)
    site.store.limits = SMALL_LIMITS
    return site


def test_large_job_is_recorded_within_the_limits_of_the_store():
    # Guards against a job whose progress makes one record beyond record_bytes.
    site = limited_site()
    jobs = [accepted(site, 0.5, count=400), accepted(site, 0.5)]
    complete(site, jobs, 20)
    assert site.store.rejected_appends == 0


def test_large_jobs_placed_at_once_share_no_call_beyond_its_limit():
    # Guards against several jobs that together exceed call_bytes.
    site = limited_site(workers=8)
    jobs = [accepted(site, 0.5, count=60) for _ in range(8)]
    complete(site, jobs, 20)
    assert site.store.rejected_appends == 0


def test_scheduled_occurrences_do_not_add_up_in_one_record():
    # Guards against done occurrences that let a record grow.
    site = limited_site()
    job_id, _ = site.submit(0.1, count=20)
    job = site.jobs[job_id]._replace(job_id="b" * 16, occurrences=15)
    intake = site.entries[0].control.intake
    intake.submit(job, 1e9)
    complete(site, [job_id, job.job_id], 20)
    assert site.store.rejected_appends == 0


def test_new_placer_knows_every_task_of_a_large_job():
    # Guards against tasks that run twice after a change of the placer.
    site = limited_site()
    job = accepted(site, 6.0, count=200)
    site.run_for(1.0)
    site.store.discard_history(RUNS)
    site.kill_entry(site.placer())
    site.run_for(TAKEOVER_SECONDS)
    complete(site, [job], 20)
    assert len(site.history.starts) == 200


def test_rejected_record_holds_up_only_its_own_job():
    # Guards against a definite refusal that is repeated for ever.
    site = ControlSite()
    rejected = "f" * 16
    appends = []
    append = site.store.append

    def reject(topic, records, at, writer):
        if topic == RUNS and any(rejected in key for key, _ in records):
            appends.append(len(records))
            return Err(AppendError("size", False, rejected=True))
        return append(topic, records, at, writer)

    site.store.append = reject
    accepted(site, 1.0, job_id=rejected)
    jobs = [accepted(site, 1.0, count=2) for _ in range(4)]
    complete(site, jobs, 6)
    assert site.state(jobs[0]) == COMPLETE
    site.run_for(5.0)
    assert 1 <= len(appends) <= 8


def test_job_that_no_record_holds_is_refused_at_once():
    # Guards against a job that is neither stored nor refused until its deadline.
    site = limited_site()
    before = site.store.appends
    _, outcome = site.submit(1.0, label="x" * SMALL_LIMITS.record_bytes)
    assert outcome.kind == TOO_LARGE
    assert outcome.appends == 0
    assert site.store.appends == before


def test_job_that_the_store_rejects_is_refused_at_once():
    # Guards against a definite refusal that is repeated until the deadline.
    site = ControlSite()
    for entry in site.entries:
        error = Err(AppendError("size", False, rejected=True))
        entry.store.append = lambda *_, error=error, **__: error
    _, outcome = site.submit(1.0)
    assert outcome.kind == TOO_LARGE
    assert outcome.appends <= 6


def test_dropping_ended_jobs_keeps_within_one_call():
    # Guards against the deletions of many records that together exceed a call.
    site = limited_site()
    jobs = [accepted(site, 0.2, count=150) for _ in range(3)]
    complete(site, jobs, 20)
    site.run_for(1000)
    ledger = site.entries[0].control.ledger
    assert not any(ledger.job(job) for job in jobs)
    assert not site.store.newest(RUNS).keys() & set(jobs)
    assert not [key for key in site.store.newest(RUNS) if key.startswith("tasks/")]
    assert site.store.rejected_appends == 0


def test_batches_hold_all_records_in_order_and_keep_groups_together():
    groups = [[(f"{g}/{n}", b"x" * 100) for n in range(1 + 7 * g)] for g in range(9)]
    limits = StoreLimits(1000, 3000)
    batches = list(in_batches(groups, limits))
    flat = [record for batch in batches for record in batch]
    assert flat == [record for group in groups for record in group]
    for batch in batches:
        assert sum(map(record_bytes, batch)) <= limits.call_bytes
    for group in groups:
        if sum(map(record_bytes, group)) <= limits.call_bytes:
            assert any(set(group) <= set(batch) for batch in batches)


def test_tasks_that_an_earlier_version_kept_in_the_head_stay_known():
    # Guards against tasks that are forgotten, and run again, after an update.
    ledger = Ledger()
    placed = TaskState(1, "h", Lifetime("w", 1))
    tasks = {f"0.0.{index}": placed for index in range(300)}
    ledger.apply("jobs", StoredRecord(0, f"job/{JOB.job_id}", encode(JOB)))
    ledger.apply(RUNS, StoredRecord(0, JOB.job_id, encode(JobProgress("", tasks))))
    draft = ProgressDraft(ledger)
    draft.set_task(TaskId(JOB.job_id, 0, 0, 299), placed._replace(done=True, host=""))
    draft.set_task(TaskId(JOB.job_id, 0, 0, 0), placed._replace(done=True, host=""))
    records = draft.records(JOB.job_id)
    assert len(records) == -(-300 // TASKS_PER_RECORD)
    for offset, (key, value) in enumerate(records, start=1):
        ledger.apply(RUNS, StoredRecord(offset, key, value))
    recorded = ledger.progress(JOB.job_id).tasks
    assert recorded.keys() == tasks.keys()
    assert sum(state.done for state in recorded.values()) == 2
    assert len(ledger.tasks_on_host("h")) == 298


def test_account_with_too_many_open_tasks_is_told_to_come_back(monkeypatch):
    # Guards against one client account whose jobs take up the memory of every entry.
    monkeypatch.setattr(intake, "MAX_OPEN_TASKS_PER_ACCOUNT", 100)
    site = limited_site()
    job = accepted(site, 2.0, count=100)
    job_id, outcome = site.submit(0.5)
    assert outcome.kind == REFUSED
    assert outcome.retry_after > 0
    assert outcome.appends == 0
    other = site.jobs[job_id]._replace(job_id="e" * 16, account="other")
    control = site.entries[0].control
    assert control.intake.submit(other, clock.now() + 3).kind == ACCEPTED
    complete(site, [job], 6)
    accepted(site, 0.5, job_id=job_id)


def test_ended_large_job_leaves_only_its_state():
    # Guards against the progress of ended jobs that adds up in every entry.
    site = limited_site()
    job = accepted(site, 0.5, count=300)
    complete(site, [job], 20)
    site.run_for(2 * RETENTION_INTERVAL_SECONDS)
    assert {site.state(job, number) for number in range(3)} == {COMPLETE}
    for entry in site.entries:
        assert len(entry.control.ledger.progress(job).tasks) <= TASKS_PER_RECORD
    site.kill_entry(site.placer())
    site.run_for(TAKEOVER_SECONDS)
    assert len(site.history.starts) == 300
