"""The last attempt of a task is spent where runs are known to succeed."""

import eventlet
import pytest

from sequoiachute.coordination.scheduling import SchedulingView, decide
from sequoiachute.protocol.workload import COMPLETE
from standins.control_site import ControlSite
from tests.control_checks import accepted, complete
from tests.test_scheduling_policy import NOW, host, tasks_by_host, unit

pytestmark = pytest.mark.usefixtures("paused_clock")


def ends(site, job):
    """Return the worker and the outcome of each run of a job, in order."""
    of_job = [end for end in site.history.ends if end.task.startswith(job)]
    return [(end.worker_id, end.outcome) for end in of_job]


def test_last_attempt_takes_the_free_worker_that_has_succeeded():
    site = ControlSite(workers=4, gpus=1)
    complete(site, [accepted(site, 1.0, count=4)], 4)
    for worker in site.workers[:3]:
        worker.restart()
        worker.fails_runs = True
    sound = site.workers[3].lifetime.worker_id
    site.run_for(1)
    job = accepted(site, 2.0)
    site.run_for(7)
    assert ends(site, job)[-1] == (sound, "done"), ends(site, job)


def test_last_attempt_waits_for_a_worker_that_has_succeeded():
    site = ControlSite(workers=4, gpus=1)
    complete(site, [accepted(site, 1.0)], 4)
    sound = site.history.ends[-1].worker_id
    busy = accepted(site, 2.0)
    site.run_for(0.2)
    assert site.history.starts[-1].worker_id == sound
    for worker in site.workers:
        worker.fails_runs = worker.lifetime.worker_id != sound
    # Its objective is 7 s; the sound worker is free after 2 s and then needs 2 s.
    job = accepted(site, 2.0)
    site.run_for(7)
    assert site.state(busy) == COMPLETE
    assert ends(site, job)[-1] == (sound, "done"), ends(site, job)


def test_retry_avoids_a_worker_on_which_nothing_has_started_for_long():
    # As on adwoa-pads, scale-2, seed 81234: the task fails twice by its own fault, and
    # a worker fails what it starts, though not what it runs already. Only one attempt
    # is left for the worker's faults, so the second matters as much as the last.
    site = ControlSite(workers=3, gpus=1)
    other = accepted(site, 1.0)
    site.run_for(0.5)
    early = accepted(site, 6.0)
    site.run_for(4.5)
    recent = accepted(site, 0.5, count=2)
    complete(site, [other, early, recent], 4)
    unsound = site.workers[1]
    assert ends(site, early) == [(unsound.lifetime.worker_id, "done")]
    assert unsound.lifetime.worker_id not in dict(ends(site, recent))
    own_faults = [1, 2]

    def fail_starts(worker):
        start = worker.start

        def start_and_fail(lifetime, order, term, lease_ms):
            outcome = start(lifetime, order, term, lease_ms)
            if worker is unsound or (own_faults and own_faults.pop()):
                run = worker._runs[(order.task, order.run)]
                eventlet.spawn_after(0.1, worker._end, run, "failed")
            return outcome

        worker.start = start_and_fail

    for worker in site.workers:
        fail_starts(worker)
    job = accepted(site, 2.0)
    site.run_for(7)
    assert ends(site, job)[-1][1] == "done", ends(site, job)


@pytest.mark.parametrize("count", [4, 8])
def test_workers_that_fail_many_tasks_get_no_more_of_them(count):
    """As 2fd635ff06978537 of adwoa-pads: all attempts were spent in 0.4 s on two."""
    site = ControlSite(workers=4, gpus=4)
    for worker in site.workers[:2]:
        worker.fails_runs = True
    complete(site, [accepted(site, 2.0, count=8)], 6)
    job = accepted(site, 2.0, count=count)
    complete(site, [job], 12)


@pytest.mark.parametrize("last_attempt", [False, True])
@pytest.mark.parametrize("deadline_in", [12.0, 60.0])
def test_host_where_the_job_has_failed_is_the_last_choice(deadline_in, last_attempt):
    hosts = (host("a"), host("b"))
    failed_on_b = unit(
        deadline_in=deadline_in,
        avoided_hosts=frozenset("b"),
        last_attempt=last_attempt,
    )
    decision = decide(SchedulingView(NOW, hosts, (failed_on_b,)))
    assert tasks_by_host(decision) == {"a": 1}


@pytest.mark.parametrize("deadline_in", [12.0, 60.0])
def test_host_of_a_recent_failure_is_not_preferred(deadline_in):
    hosts = (host("a"), host("b", recent_failures=1))
    decision = decide(SchedulingView(NOW, hosts, (unit(deadline_in=deadline_in),)))
    assert tasks_by_host(decision) == {"a": 1}


@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize("others", [5, 10])
def test_gang_does_not_wait_for_proven_hosts_that_can_not_hold_it(priority, others):
    hosts = [host("proven", proof_age=1.0)]
    hosts += [host(f"unused-{index}") for index in range(others)]
    gang = unit(
        3,
        gpus=4,
        priority=priority,
        step={"gang": True},
        last_attempt=True,
        failed_before=True,
        failed_seconds=10.0,
    )
    assert len(decide(SchedulingView(NOW, tuple(hosts), (gang,))).placements) == 3


@pytest.mark.parametrize(
    ("failures", "fields"),
    [(2, {}), (1, {"last_attempt": True}), (1, {"last_attempt": True, "priority": 0})],
)
def test_one_host_without_doubt_does_not_close_the_others_to_a_gang(failures, fields):
    hosts = [host("sound")]
    for index in range(5):
        doubtful = host(f"{index}", recent_failures=failures, doubt_age=2.0)
        hosts.append(doubtful)
    gang = unit(3, gpus=4, step={"gang": True}, **fields)
    assert len(decide(SchedulingView(NOW, tuple(hosts), (gang,))).placements) == 3
