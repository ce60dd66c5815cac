"""Starts that come to nothing on one worker while others are idle."""

import pytest
from result import Err

from sequoiachute import clock
from sequoiachute.coordination.dispatch.advice import TicketCache
from sequoiachute.coordination.dispatch.start_doubts import (
    DOUBT_SECONDS,
    MAX_RETRY_SECONDS,
    StartDoubts,
)
from sequoiachute.protocol.workload import TaskId
from sequoiachute.transport.worker import UNHEALTHY, WorkerError
from standins.control_site import QUEUE, URGENT, ControlSite
from standins.machines import MemoryAdvisor
from standins.task_worker import CALL_TIMEOUT_SECONDS
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")

REASONS = ["room", "late", "ticket", "worker answered 400", UNHEALTHY]
TASK = TaskId("0" * 16, 0, 0, 0)


def refuse_starts(worker, reason):
    """Let a worker refuse every start; return the list of refused tasks."""
    refused = []

    def start(lifetime, order, term, lease_ms):
        refused.append(order.task)
        return Err(WorkerError(reason, False))

    worker.start = start
    return refused


@pytest.mark.parametrize("queue", [QUEUE, URGENT])
@pytest.mark.parametrize("reason", REASONS)
def test_task_refused_by_the_best_worker_starts_on_another(reason, queue):
    """As the reviewer of issue 34 saw: 200 refusals in 3 s, three workers idle."""
    site = ControlSite(workers=4, gpus=4)
    refused = refuse_starts(site.workers[0], reason)
    accepted(site, 2.0, queue=queue)
    site.run_for(1.0)
    assert len(site.history.starts) == 1
    assert len(refused) <= 1


@pytest.mark.parametrize("reason", REASONS)
def test_gang_refused_by_one_worker_starts_on_others(reason):
    site = ControlSite(workers=4, gpus=4)
    refuse_starts(site.workers[0], reason)
    job = accepted(site, 5.0, count=6, gang=True)
    site.run_for(2.5)
    running = {run.task for worker in site.workers for run in worker.status().runs}
    assert len(running) == 6
    complete(site, [job], 6)


def test_start_refused_after_a_lost_one_goes_to_another_worker():
    site = ControlSite(workers=4, gpus=4)
    asked = []

    def start(lifetime, order, term, lease_ms):
        asked.append(order.run)
        if len(asked) % 2:
            return Err(WorkerError("no answer", None))
        return Err(WorkerError("room", False))

    site.workers[0].start = start
    accepted(site, 2.0)
    site.run_for(2.0)
    assert len(site.history.starts) == 1
    assert asked == [1, 1]


def test_refusal_for_lack_of_room_does_not_close_the_worker_to_others():
    site = ControlSite(workers=1, gpus=4)
    worker = site.workers[0]
    start = worker.start
    large = []

    def start_if_small(lifetime, order, term, lease_ms):
        if order.task.partition(".")[0] in large:
            return Err(WorkerError("room", False))
        return start(lifetime, order, term, lease_ms)

    worker.start = start_if_small
    large.append("f" * 16)
    accepted(site, 2.0, job_id=large[0])
    site.run_for(1.0)
    for _ in range(3):
        accepted(site, 30.0)
        site.run_for(0.2)
    assert len(site.history.starts) == 3


def test_only_worker_is_tried_again_at_growing_intervals():
    site = ControlSite(workers=1)
    worker = site.workers[0]
    start = worker.start
    refused = refuse_starts(worker, "room")
    job = accepted(site, 1.0)
    site.run_for(3.0)
    assert 3 <= len(refused) <= 6
    site.run_for(20.0)
    assert 8 <= len(refused) <= 18
    worker.start = start
    complete(site, [job], MAX_RETRY_SECONDS + 1.5)


def test_doubt_of_a_start_ends():
    doubts = StartDoubts()
    doubts.record(TASK, "a", 100.0)
    assert doubts.doubted_hosts(TASK, 100.0 + DOUBT_SECONDS - 0.1) == {"a"}
    assert not doubts.paused_hosts(TASK, 100.3)
    assert not doubts.doubted_hosts(TASK, 100.0 + DOUBT_SECONDS)
    for second in range(40):
        doubts.record(TASK, "a", 100.0 + second)
    assert doubts.paused_hosts(TASK, 139.0 + MAX_RETRY_SECONDS - 0.1) == {"a"}
    assert not doubts.paused_hosts(TASK, 139.0 + MAX_RETRY_SECONDS)
    doubts.forget_ended_jobs(set())
    assert not doubts.doubted_hosts(TASK, 139.0)


def test_refused_ticket_makes_the_cache_ask_again():
    site = ControlSite(workers=1)
    advisor = MemoryAdvisor({"w-a"}, 60.0)
    cache = TicketCache(advisor, lambda: None)
    cache.tickets("step", ("w-a",))
    site.run_for(0.1)
    assert cache.tickets("step", ("w-a",)) == {"w-a": "step@w-a"}
    cache.drop("step", "an earlier ticket")
    assert len(cache.tickets("step", ("w-a",))) == 1
    cache.drop("step", "step@w-a")
    assert not cache.tickets("step", ("w-a",))
    site.run_for(0.1)
    assert len(advisor.asked) == 2


def ignore_starts(worker):
    """Let starts at a worker never be answered nor carried out; return their times."""
    tries = []

    def start(lifetime, order, term, lease_ms):
        tries.append(clock.now())
        clock.sleep(CALL_TIMEOUT_SECONDS)
        return Err(WorkerError("no answer", None))

    worker.start = start
    return tries


def running_tasks(site):
    return {run.task for worker in site.workers for run in worker.status().runs}


@pytest.mark.parametrize("queue", [QUEUE, URGENT])
def test_task_whose_start_is_never_answered_starts_on_another_worker(queue):
    """As the reviewer of issue 34 saw: 134 tries in 60 s, three workers idle."""
    site = ControlSite(workers=4, gpus=4)
    tries = ignore_starts(site.workers[0])
    job = accepted(site, 2.0, queue=queue)
    site.run_for(3.0)
    assert len(site.history.starts) == 1
    assert len(tries) <= 4
    complete(site, [job], 3)


def test_gang_of_which_some_starts_are_never_answered_starts_on_others():
    site = ControlSite(workers=4, gpus=4)
    ignore_starts(site.workers[0])
    job = accepted(site, 9.0, count=6, gang=True)
    site.run_for(3.0)
    assert len(running_tasks(site)) == 6
    complete(site, [job], 9)


def test_new_placer_withdraws_a_start_that_is_never_answered():
    site = ControlSite(workers=4, gpus=4)
    ignore_starts(site.workers[0])
    job = accepted(site, 2.0)
    site.run_for(0.5)
    placer = site.placer()
    site.kill_entry(placer)
    site.run_for(TAKEOVER_SECONDS + 3.0)
    assert len(site.history.starts) == 1
    complete(site, [job], 3)


@pytest.mark.parametrize("late", [2.0, 5.0, 8.0])
def test_late_starts_are_waited_for_where_no_worker_is_faster(late):
    site = ControlSite(workers=4, gpus=4)
    for worker in site.workers:
        worker.late_seconds = late
    jobs = [accepted(site, 4.0) for _ in range(8)]
    complete(site, jobs, 120)


def test_start_is_not_withdrawn_without_room_elsewhere():
    site = ControlSite(workers=2, gpus=1)
    accepted(site, 60.0)
    site.run_for(1.0)
    free = [worker for worker in site.workers if not worker.status().runs]
    tries = ignore_starts(free[0])
    accepted(site, 2.0)
    site.run_for(5.0)
    assert len(tries) > 8
