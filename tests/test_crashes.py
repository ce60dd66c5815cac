"""Which tasks count as the cause of a crash, and where suspected ones run."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.crashes import (
    MAX_CRASHES,
    MAX_PROOF_SECONDS,
    MIN_OWN_CRASHES,
    MIN_PROOF_SECONDS,
    NO_CRASHES,
    LostRun,
    is_given_up,
    member_records,
    proof_seconds,
    proven_sound,
    records_after_crash,
)
from sequoiachute.coordination.hosting.runs import RunReconciler
from sequoiachute.coordination.scheduling import SchedulingView, decide
from sequoiachute.coordination.scheduling import waits as reasons
from sequoiachute.protocol.supervision import RunOrder
from sequoiachute.protocol.workload import (
    CrashRecord,
    JobProgress,
    Lifetime,
    Resources,
    TaskId,
    TaskState,
    decode_progress,
    encode,
)
from sequoiachute.state.metrics import Metrics
from standins.control_site import ControlSite
from standins.memory import MemoryProcess
from standins.task_worker import History, MemoryTaskWorker
from tests.control_checks import accepted
from tests.test_scheduling_policy import NOW, host, running, tasks_by_host, unit
from tests.test_wait_reasons import reason_of

FRESH, OLD = 0.1, 20.0  # seconds of work before a crash


def task(index):
    return TaskId("job", 0, 0, index)


def lost(index, worked_seconds, record=NO_CRASHES, run=1):
    return LostRun(task(index), run, worked_seconds, record)


def test_only_run_on_a_crashed_worker_is_its_sole_cause():
    [record] = records_after_crash([lost(0, FRESH)], "h").values()
    assert record == CrashRecord(1, 1, FRESH, True, 1, "h")


def test_runs_that_have_just_started_are_suspected_rather_than_old_ones():
    records = records_after_crash([lost(0, FRESH), lost(1, FRESH), lost(2, OLD)], "h")
    assert [records[task(i)].suspected for i in range(3)] == [True, True, False]
    assert [records[task(i)].sole for i in range(3)] == [0, 0, 0]
    records = records_after_crash([lost(0, FRESH), lost(1, OLD)], "h")
    assert [records[task(i)].sole for i in range(2)] == [1, 0]


def test_old_run_is_suspected_from_the_second_crash_in_a_row_on():
    [record] = records_after_crash([lost(0, OLD)], "h").values()
    assert not record.suspected
    [record] = records_after_crash([lost(0, OLD, record, run=2)], "h").values()
    assert record.suspected
    assert record.sole == 1


def test_members_of_a_gang_count_each_for_itself_and_once_per_run():
    records = records_after_crash([lost(0, FRESH), lost(1, FRESH)], "h")
    assert [(r.count, r.sole) for r in records.values()] == [(1, 0), (1, 0)]
    assert not records_after_crash([lost(0, FRESH, records[task(0)])], "other")


@pytest.mark.parametrize("sole", [0, 1])
@pytest.mark.parametrize("count", [0, 1, 2, 3])
def test_shared_count_of_an_earlier_version_gives_no_member_up_too_soon_or_too_late(
    count, sole
):
    # Guards against a member given up for others' crashes, or let off with its own.
    shared = CrashRecord(count, min(sole, count), FRESH, True, 5, "h")
    for record in member_records([shared, None, None]):
        own = 0
        while not is_given_up(record):
            own += 1
            [record] = records_after_crash(
                [lost(1, FRESH, record, 5 + own)], "h"
            ).values()
        assert own >= MIN_OWN_CRASHES
        assert count + own <= MAX_CRASHES + 1


def test_only_a_count_that_the_first_of_several_members_has_alone_is_shared():
    # Guards against crashes under one member that count for others.
    own = CrashRecord(3, 1, FRESH, True, 5, "h")
    assert member_records([own]) == (own,)
    assert member_records([own, NO_CRASHES]) == (own, NO_CRASHES)
    assert member_records([None, own, None]) == (NO_CRASHES, own, NO_CRASHES)


@pytest.mark.parametrize("others", [0, 1, 2])
@pytest.mark.parametrize("worked", [0.0, 1.0, OLD])
def test_task_is_given_up_at_most_two_starts_after_three_crashes(worked, others):
    """Whatever runs beside it, and if each crash comes a little later."""
    record, crashes = NO_CRASHES, 0
    while not is_given_up(record):
        crashes += 1
        runs = [lost(0, worked + 0.1 * crashes, record, run=crashes)]
        runs += [lost(1 + n, FRESH, run=1) for n in range(others)]
        record = records_after_crash(runs, "h")[task(0)]
    assert 3 <= crashes <= MAX_CRASHES


def test_proof_takes_twice_the_work_before_a_crash_within_bounds():
    assert proof_seconds(NO_CRASHES) == MIN_PROOF_SECONDS
    assert proof_seconds(CrashRecord(1, worked_seconds=OLD)) == 2 * OLD
    assert proof_seconds(CrashRecord(1, worked_seconds=500.0)) == MAX_PROOF_SECONDS
    proven = proven_sound(CrashRecord(3, 1, OLD, True, 7, "h"))
    assert proven == CrashRecord(worked_seconds=OLD, run=7)


def test_record_outlasts_the_store_and_is_missing_in_older_records():
    record = CrashRecord(2, 1, 0.5, True, 4, "h")
    progress = JobProgress("", {"0.0.0": TaskState(4, crashes=record)})
    assert decode_progress(encode(progress)) == progress
    older = encode(["", {"0.0.0": [1, "h", ["w", 1], False, 0, 0, ""]}, 0.0])
    assert decode_progress(older).tasks["0.0.0"].crashes is None


def placed_on(hosts, *units):
    return tasks_by_host(decide(SchedulingView(NOW, tuple(hosts), units)))


def suspect(job="suspect", **fields):
    return unit(job=job, suspected=True, **fields)


@pytest.mark.parametrize("priority", [0, 1])
def test_suspect_runs_alone(priority):
    hosts = [host("busy", running=[running()]), host("empty", speed=0.5)]
    assert placed_on(hosts, suspect(priority=priority)) == {"empty": 1}
    assert placed_on(hosts[:1], suspect(priority=priority)) == {}
    # Nothing else starts beside it in the same round, nor later.
    others = [unit(8, job=f"job-{number}") for number in range(2)]
    counts = placed_on(hosts, suspect(priority=0), *others)
    assert counts["empty"] == 1
    taken = host("taken", running=[running(suspected=True)], has_suspect=True)
    assert placed_on([taken], unit()) == {}
    assert placed_on([taken], suspect()) == {}


def test_suspect_that_has_waited_harms_as_little_as_possible():
    hosts = [
        host("urgent", running=[running(priority=0)]),
        host("much", running=[running(unsaved_seconds=9.0)]),
        host("little", running=[running(unsaved_seconds=2.0)]),
        host("taken", running=[running(suspected=True)], has_suspect=True),
    ]
    late = suspect(waiting_seconds=2.0)
    assert placed_on(hosts, late) == {"little": 1}
    assert placed_on(hosts[::3], late) == {"urgent": 1}
    assert placed_on(hosts[3:], late) == {}


def test_work_that_has_waited_goes_beside_a_suspect_if_there_is_no_other_host():
    taken = host("taken", running=[running(suspected=True)], has_suspect=True)
    late = unit(waiting_seconds=2.0)
    assert placed_on([taken], late) == {"taken": 1}
    assert placed_on([taken, host("free", speed=0.5)], late) == {"free": 1}


def test_nothing_is_stopped_for_a_suspect_and_no_suspect_for_urgent_work():
    full = host("full", running=[running(gpus=8)])
    late = suspect(priority=0, waiting_seconds=2.0, deadline_in=5.5)
    assert not decide(SchedulingView(NOW, (full,), (late,))).stops
    urgent = unit(priority=0, gpus=8, deadline_in=5.5)
    assert decide(SchedulingView(NOW, (full,), (urgent,))).stops
    run = running(gpus=8, suspected=True)
    taken = host("taken", running=[run], has_suspect=True)
    assert not decide(SchedulingView(NOW, (taken,), (urgent,))).stops


def test_reason_of_a_wait_names_the_crash():
    busy = host("busy", running=[running()])
    taken = host("taken", running=[running(suspected=True)], has_suspect=True)
    assert reason_of([busy], suspect(waiting_seconds=1.5)) == reasons.CRASHES
    assert reason_of([taken], unit(waiting_seconds=1.5)) == reasons.CRASHES


def crash_records(site):
    ledger = site.entries[site.placer()].control.ledger
    states = [
        state
        for job_id in site.jobs
        for state in ledger.progress(job_id).tasks.values()
    ]
    return [state.crashes for state in states if state.crashes is not None]


def site_with_runs():
    site = ControlSite(workers=1)
    accepted(site, 30.0, count=2)
    site.run_for(1)
    return site


@pytest.mark.usefixtures("paused_clock")
@pytest.mark.parametrize("same_id", [False, True])
@pytest.mark.parametrize("down_seconds", [0.3, 1.5, 4.0])
@pytest.mark.parametrize("delay", [0.0, 0.02, 0.05])
def test_crash_before_a_start_was_sent_does_not_count(delay, down_seconds, same_id):
    # Guards against jobs given up for crashes of workers on which they never began.
    site = ControlSite(workers=4)
    for worker in site.workers:
        worker.refuses_when_down = True
        worker.answer_seconds = 0.04
        worker.down_seconds = down_seconds
        worker.keeps_id = same_id
    for _ in range(8):
        for worker in site.workers:
            worker.crash()
        site.run_for(delay)
        accepted(site, 0.2, count=8)
        site.run_for(down_seconds + 4.0)
    assert len(site.history.starts) >= 64
    assert not any(end.outcome == "crashed" for end in site.history.ends)
    assert not crash_records(site)


@pytest.mark.usefixtures("paused_clock")
@pytest.mark.parametrize("outcome", ["failed", "stopped", "broken", "lapsed"])
@pytest.mark.parametrize("trouble", ["store", "network"])
def test_crash_after_the_end_of_a_run_does_not_count(trouble, outcome):
    # Guards against crashes that count under a run whose end was not recorded in time.
    site = site_with_runs()
    [worker] = site.workers
    if trouble == "store":
        site.store.down = True
    else:
        site.network.cut = {(site.agents[0].address, address) for address in site.seeds}
    [ended, _] = worker.running
    worker.end_run(ended, outcome)
    site.run_for(0.5)
    worker.restart()
    site.run_for(0.5)
    site.store.down = False
    site.network.cut = set()
    site.run_for(6)
    crashed = [end.task for end in site.history.ends if end.outcome == "crashed"]
    assert ended not in crashed
    assert [record.run for record in crash_records(site)] == [1]


@pytest.mark.usefixtures("paused_clock")
def test_crash_counts_while_the_agent_stays():
    site = site_with_runs()
    site.workers[0].restart()
    site.run_for(1)
    assert [record.count for record in crash_records(site)] == [1, 1]


@pytest.mark.usefixtures("paused_clock")
def test_crash_of_a_worker_that_is_back_after_its_leases_counts():
    site = site_with_runs()
    site.workers[0].down_seconds = 15.0
    site.workers[0].crash()
    site.run_for(17)
    assert [record.count for record in crash_records(site)] == [1, 1]


@pytest.mark.usefixtures("paused_clock")
def test_loss_of_power_is_no_crash():
    site = site_with_runs()
    site.kill_agent(0)
    site.workers[0].restart()
    site.restart_agent(0)
    site.run_for(1)
    assert not crash_records(site)


@pytest.mark.usefixtures("paused_clock")
def test_end_of_a_worker_that_leaves_is_no_crash():
    site = site_with_runs()
    site.workers[0].leaving_seconds = 5.0
    site.run_for(1)
    site.workers[0].leaving_seconds = None
    site.workers[0].restart()
    site.run_for(1)
    assert not crash_records(site)


@pytest.mark.usefixtures("paused_clock")
def test_end_that_a_worker_announces_at_the_last_moment_is_no_crash():
    site = site_with_runs()
    worker_id = site.workers[0].lifetime.worker_id
    site.agents[0].supervisor.handle_worker_leave(worker_id)
    site.workers[0].restart()
    site.run_for(1)
    assert not crash_records(site)


@pytest.mark.usefixtures("paused_clock")
def test_upkeep_is_no_crash():
    site = site_with_runs()
    [session] = site.entries[site.placer()].control._agents.sessions.values()
    session.upkeep_lifetime = session.lifetime
    site.workers[0].restart()
    site.run_for(1)
    assert not crash_records(site)


@pytest.mark.usefixtures("paused_clock")
def test_suspicion_ends_once_a_run_has_worked_for_long_enough():
    site = site_with_runs()
    site.workers[0].restart()
    site.run_for(2)
    assert any(record.suspected for record in crash_records(site))
    site.run_for(9)
    assert not any(record.count for record in crash_records(site))


@pytest.mark.usefixtures("paused_clock")
def test_run_that_was_never_asked_for_is_not_among_those_of_a_crash():
    worker = MemoryTaskWorker("w", Resources(gpus=4), History())
    process = MemoryProcess()
    runs = RunReconciler(worker.link(process), lambda: None, Metrics())
    runs.begin_lifetime(worker.lifetime)
    runs.set_capacity(worker.capacity, clock.elapsed())
    runs.set_orders((RunOrder("j.0.0.0", 1, "9"),))
    clock.sleep(0.5)
    assert runs.runs_of(worker.lifetime) == ()
    runs.lease_ms = worker.clock_ms + 5000
    clock.sleep(0.5)
    asked = runs.runs_of(worker.lifetime)
    runs.begin_lifetime(Lifetime("w", 2))
    assert asked == runs.runs_of(worker.lifetime) == (("j.0.0.0", 1),)


@pytest.mark.usefixtures("paused_clock")
def test_run_whose_start_reached_no_worker_is_not_among_those_of_a_crash():
    worker = MemoryTaskWorker("w", Resources(gpus=4), History())
    worker.gone = True
    runs = RunReconciler(worker.link(MemoryProcess()), lambda: None, Metrics())
    runs.begin_lifetime(worker.lifetime)
    runs.set_capacity(worker.capacity, clock.elapsed())
    runs.lease_ms = worker.clock_ms + 5000
    runs.set_orders((RunOrder("j.0.0.0", 1, "9"),))
    clock.sleep(0.5)
    assert runs.runs_of(worker.lifetime) == ()
