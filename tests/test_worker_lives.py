"""Workers that start again under the id that they had."""

import eventlet
import pytest
from result import Err

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import Session
from sequoiachute.coordination.hosting.claims import Heartbeat
from sequoiachute.coordination.hosting.runs import (
    MAX_ANNOUNCEMENT_AGE_SECONDS,
    NOT_STOPPED,
    RunReconciler,
)
from sequoiachute.protocol.supervision import Report, RunOrder, WorkerInfo
from sequoiachute.protocol.workload import COMPLETE, Lifetime, Resources
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.worker import WorkerError
from standins.control_site import ControlSite
from standins.memory import MemoryProcess
from standins.task_worker import SHRINK_NOTICE_SECONDS, History, MemoryTaskWorker
from tests.control_checks import accepted, assert_room_kept, complete
from tests.run_checks import assert_no_duplicate_runs

pytestmark = pytest.mark.usefixtures("paused_clock")

CRASH_AFTER_SECONDS = 0.3  # while the start is still repeated


def crash_under_unanswered_starts(late_seconds, count, workers=2, **step):
    """Let starts go unanswered to a worker that begins a new life meanwhile.

    The starts to all workers are carried out ``late_seconds`` later.
    """
    site = ControlSite(workers=workers)
    for worker in site.workers:
        worker.late_seconds = late_seconds
    job = accepted(site, 20.0, count=count, **step)
    site.run_for(CRASH_AFTER_SECONDS)
    for worker in site.workers:
        worker.late_seconds = 0.0
        worker.restart(same_id=True)
    return site, job


@pytest.mark.parametrize("late_seconds", [0.6, 1.0, 2.0, 4.0, 6.0, 12.0])
@pytest.mark.parametrize(
    "step", [{"count": 1}, {"count": 4, "gang": True}, {"count": 6}]
)
def test_start_to_an_earlier_life_runs_beside_no_other_run(late_seconds, step):
    site, job = crash_under_unanswered_starts(late_seconds, **step)
    complete(site, [job], 50)


def test_restart_between_two_heartbeats_costs_few_looks():
    site = ControlSite(workers=1)
    site.workers[0].restart(same_id=True)
    site.run_for(0.4)
    polls = site.workers[0].poll_count
    site.workers[0].restart(same_id=True)
    site.run_for(2.0)
    assert site.workers[0].poll_count - polls <= 10


@pytest.mark.parametrize("late_seconds", [0.6, 2.0])
@pytest.mark.parametrize("disturb", ["placer", "agents"])
def test_start_to_an_earlier_life_runs_alone_though_others_restart(
    late_seconds, disturb
):
    site, job = crash_under_unanswered_starts(late_seconds, 6)
    if disturb == "placer":
        placer = site.placer()
        site.kill_entry(placer)
        site.run_for(0.5)
        site.restart_entry(placer)
    else:
        for index in range(len(site.agents)):
            site.kill_agent(index)
            site.restart_agent(index)
    complete(site, [job], 60)


def test_run_that_began_in_a_later_life_counts_against_its_room():
    site, job = crash_under_unanswered_starts(0.5, 4, workers=1)
    worker = site.workers[0]
    for _ in range(40):
        site.run_for(0.05)
        assert len(worker.status().runs) <= worker.capacity.gpus
    complete(site, [job], 60)


def test_acknowledgement_is_sent_only_while_its_ends_are_listed():
    site = ControlSite(workers=1)
    worker = site.workers[0]
    poll = worker.poll
    acks = []

    def record_and_poll(lifetime, term, lease_ms, ack, wait):
        listed = [end.number for end in worker.status().ends]
        acks.append((ack, listed))
        return poll(lifetime, term, lease_ms, ack, wait)

    worker.poll = record_and_poll
    complete(site, [accepted(site, 0.5, count=3)], 10)
    site.run_for(3)
    assert any(ack for ack, _ in acks)
    assert [(ack, listed) for ack, listed in acks if ack and ack not in listed] == []


def test_answer_of_an_earlier_life_that_comes_late_is_ignored():
    site = ControlSite(workers=1)
    worker, supervisor = site.workers[0], site.agents[0].supervisor
    poll = worker.poll

    def poll_slowly(*arguments):
        outcome = poll(*arguments)
        clock.sleep(2.0)
        return outcome

    worker.poll = poll_slowly
    late = eventlet.spawn(supervisor._poll_once)
    site.run_for(0.002)
    worker.poll = poll
    site.run_for(0.5)
    worker.restart(same_id=True)
    site.run_for(0.6)
    job = accepted(site, 3.0)
    late.wait()
    assert supervisor._status.lifetime == worker.lifetime
    complete(site, [job], 5)
    assert len(site.history.starts) == 1


def run_in_second_life():
    """Return a site whose worker runs a task in its second life under one id."""
    site = ControlSite(workers=1)
    site.workers[0].restart(same_id=True)
    site.run_for(1.0)
    job = accepted(site, 4.0)
    site.run_for(0.5)
    return site, job


def test_notice_of_departure_of_an_earlier_life_does_not_end_the_next():
    site, job = run_in_second_life()
    worker_id = site.workers[0].lifetime.worker_id
    site.agents[0].supervisor.handle_worker_leave(worker_id)
    complete(site, [job], 6)
    assert len(site.history.starts) == 1


def test_notice_of_departure_of_an_earlier_life_does_not_end_one_that_leaves():
    site, job = run_in_second_life()
    site.workers[0].leaving_seconds = 20.0
    site.run_for(1.0)
    worker_id = site.workers[0].lifetime.worker_id
    site.agents[0].supervisor.handle_worker_leave(worker_id)
    complete(site, [job], 6)
    assert len(site.history.starts) == 1


@pytest.mark.parametrize("count", [1, 4])
def test_runs_of_a_worker_that_has_left_start_elsewhere_at_once(count):
    site = ControlSite(workers=2)
    job = accepted(site, 20.0, count=count, gang=True)
    site.run_for(0.5)
    first = site.history.starts[0].worker_id
    index = [w.lifetime.worker_id for w in site.workers].index(first)
    site.workers[index].leaving_seconds = 20.0
    site.run_for(1.0)
    site.workers[index].gone = True
    site.agents[index].supervisor.handle_worker_leave(first)
    site.run_for(1.0)
    assert {start.worker_id for start in site.history.starts} > {first}
    complete(site, [job], 30)


@pytest.mark.parametrize("second_id", ["w", "other"])
def test_late_report_about_an_earlier_life_is_ignored(second_id):
    first, second = Lifetime("w", 1), Lifetime(second_id, 2)
    session = Session("host")
    session.apply_report(report(first, "old agent"), 1)
    session.apply_report(report(second, "new agent"), 1)
    assert not session.apply_report(report(first, "old agent"), 1)
    assert session.lifetime == second
    assert second not in session.ended_lifetimes


def report(lifetime, incarnation):
    info = WorkerInfo(lifetime, "render", "muc-1", "rack-1", (), Resources())
    return Report("host", incarnation, 1, info, None, 1, 1000)


def test_start_that_is_repeated_does_not_exceed_a_capacity_that_has_shrunk():
    site = ControlSite(workers=1)
    worker = site.workers[0]
    start = worker.start
    worker.start = lambda *order: Err(WorkerError("no answer", None))
    job = accepted(site, 3.0, count=4)
    site.run_for(0.5)
    worker.capacity = worker.capacity._replace(gpus=2)
    site.run_for(SHRINK_NOTICE_SECONDS + 0.5)
    worker.start = start
    site.run_for(2.0)
    assert len(worker.status().runs) == 2
    assert_room_kept(site)
    complete(site, [job], 20)


def test_nothing_starts_on_a_worker_that_has_not_described_itself_lately():
    site = ControlSite(workers=1)
    site.agents[0].supervisor.handle_heartbeat = lambda heartbeat: None
    site.run_for(MAX_ANNOUNCEMENT_AGE_SECONDS + 1.0)
    accepted(site, 3.0)
    site.run_for(2.0)
    assert site.history.starts == []


@pytest.mark.parametrize("restarts_agent", [False, True])
def test_run_is_not_lost_while_its_start_may_still_be_carried_out(restarts_agent):
    site = ControlSite(workers=2)
    for worker in site.workers:
        worker.late_seconds = 8.0
    job = accepted(site, 30.0)
    site.run_for(1.0)
    for worker in site.workers:
        worker.late_seconds = 0.0
    [index] = [
        number
        for number, agent in enumerate(site.agents)
        if agent.supervisor._reconciler.orders
    ]
    worker, supervisor = site.workers[index], site.agents[index].supervisor
    supervisor.handle_heartbeat = lambda heartbeat: None
    worker.silent = True
    worker.restart(same_id=True)
    if restarts_agent:
        site.kill_agent(index)
        site.restart_agent(index)
    site.run_for(25.0)
    assert [start.late for start in site.history.starts][:1] == [True]
    assert_no_duplicate_runs(site.history)
    worker.silent = False
    del supervisor.handle_heartbeat
    complete(site, [job], 60)


def test_lease_granted_by_a_call_to_an_earlier_life_is_waited_for():
    site = ControlSite(workers=3)
    job = accepted(site, 30.0, count=6)
    site.run_for(0.5)
    worker, agent = site.workers[0], site.agents[0]
    worker.restart(same_id=True)
    worker._extend_leases(10**9)
    agent.supervisor.handle_heartbeat(Heartbeat(worker.info(), 1000, worker.clock_ms))
    while not worker.status().runs:
        site.run_for(0.01)
    agent.supervisor.handle_heartbeat = lambda heartbeat: None
    worker.silent = True
    site.run_for(15.0)
    worker.silent = False
    del agent.supervisor.handle_heartbeat
    complete(site, [job], 90)


@pytest.mark.parametrize("delay", [0.004, 0.1])
@pytest.mark.parametrize("count", [1, 4])
@pytest.mark.parametrize("seconds", [0.1, 0.2, 0.3, 0.5])
@pytest.mark.parametrize("pause", [0.0, 0.2, 0.3, 0.4])
def test_end_of_a_run_in_a_later_life_is_recorded_before_it_is_acknowledged(
    pause, seconds, count, delay
):
    site = ControlSite(workers=1)
    site.store.delay = delay
    site.run_for(1.0 + pause)
    worker = site.workers[0]
    worker.late_seconds = 0.5
    job = accepted(site, seconds, count=count, gang=count > 1)
    site.run_for(0.2)
    worker.late_seconds = 0.0
    worker.restart(same_id=True)
    site.run_for(20)
    assert_no_duplicate_runs(site.history, crashes=True)
    assert site.state(job) == COMPLETE


def host_index(site, job):
    """Return the index of the agent on whose worker a job's first task is placed."""
    ledger = site.entries[site.placer()].control.ledger
    placed = ledger.progress(job).tasks["0.0.0"]
    return [agent.address for agent in site.agents].index(placed.host)


def place_with_late_start(late_seconds):
    site = ControlSite(workers=2)
    for worker in site.workers:
        worker.late_seconds = late_seconds
    job = accepted(site, 20.0)
    site.run_for(0.1)
    return site, job, host_index(site, job)


@pytest.mark.parametrize("late_seconds", [0.5, 3.0])
def test_late_start_in_a_life_whose_agent_is_frozen_runs_alone(late_seconds):
    site, _, index = place_with_late_start(late_seconds)
    for worker in site.workers:
        worker.late_seconds = 0.0
    site.workers[index].restart(same_id=True)
    site.agents[index].process.frozen = True
    site.run_for(16)
    assert_no_duplicate_runs(site.history, crashes=True)


def test_late_start_in_the_second_life_after_its_own_runs_alone():
    site, _, index = place_with_late_start(6.0)
    site.run_for(0.2)
    for worker in site.workers:
        worker.late_seconds = 0.0
    worker = site.workers[index]
    worker.restart(same_id=True)
    worker.refuses_starts = True
    site.run_for(5.65)
    worker.refuses_starts = False
    worker.restart(same_id=True)
    site.run_for(3)
    assert_no_duplicate_runs(site.history, crashes=True)


@pytest.mark.parametrize("late_seconds", [3.0, 6.0])
def test_late_start_in_a_life_that_follows_a_departure_runs_alone(late_seconds):
    site, _, index = place_with_late_start(late_seconds)
    worker = site.workers[index]
    worker.leaving_seconds = 1.0
    site.run_for(0.6)
    for other in site.workers:
        other.late_seconds = 0.0
    site.run_for(late_seconds - 0.9)
    worker.gone = True
    site.agents[index].supervisor.handle_worker_leave(worker.lifetime.worker_id)
    site.run_for(0.17)
    worker.gone = False
    worker.leaving_seconds = None
    worker.restart(same_id=True)
    site.run_for(3)
    assert_no_duplicate_runs(site.history, crashes=True)


def test_start_is_settled_if_a_run_that_was_not_ordered_does_not_end():
    worker = MemoryTaskWorker("w", Resources(gpus=4), History())
    runs = RunReconciler(worker.link(MemoryProcess()), lambda: None, Metrics())
    runs.begin_lifetime(worker.lifetime)
    runs.set_capacity(worker.capacity, clock.elapsed())
    runs.lease_ms = worker.clock_ms + 9000
    worker.start(worker.lifetime, RunOrder("i.0.0.0", 1, "9"), 1, runs.lease_ms)
    worker.stop = lambda *order: Err(WorkerError("no answer", None))
    runs.apply_status(worker.status(), clock.now())
    runs.set_orders((RunOrder("j.0.0.0", 1, "9"),))
    clock.sleep(1.0)
    assert not runs.settled
    clock.sleep(2.0)
    assert [start.reason for start in runs.settled.values()] == [NOT_STOPPED]
    assert worker.running == {"i.0.0.0"}
