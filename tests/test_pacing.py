import pytest

from sequoiachute import clock
from sequoiachute.coordination.hosting.pacing import Pacer, next_pace
from sequoiachute.coordination.hosting.supervisor import POLL_WAIT_SECONDS
from sequoiachute.protocol.supervision import RunOrder, RunReport
from standins.control_site import ControlSite
from tests.control_checks import accepted

SERVING = RunOrder("s", 1, "", target_ms=100)
FILLING = RunOrder("f", 1, "", filling=True)
PLAIN = RunOrder("p", 1, "")
ORDERS = {(order.task, 1): order for order in (SERVING, FILLING, PLAIN)}


def report_runs(latency):
    return (
        RunReport("s", 1, "", 100, latency),
        RunReport("f", 1, "", 10, 4000),
        RunReport("p", 1, "", 10, 4000),
    )


def test_only_filling_tasks_are_slowed_and_speed_up_again():
    pacer = Pacer()
    percents = []
    for latency in (50, 95, 95, 95, 95, 70, 40, 40):
        for task, run, percent in pacer.pending_changes(report_runs(latency), ORDERS):
            assert task == "f"
            pacer.acknowledge(task, run, percent)
            percents.append(percent)
    assert percents == [50, 25, 12, 0, 10, 20]


def test_unacknowledged_pace_is_sent_again():
    pacer = Pacer()
    assert pacer.pending_changes(report_runs(95), ORDERS) == [("f", 1, 50)]
    assert pacer.pending_changes(report_runs(70), ORDERS) == [("f", 1, 50)]
    pacer.acknowledge("f", 1, 50)
    assert pacer.pending_changes(report_runs(70), ORDERS) == []


def test_new_filling_task_gets_the_current_pace():
    pacer = Pacer()
    pacer.pending_changes(report_runs(95)[:1], ORDERS)
    assert pacer.pending_changes(report_runs(70), ORDERS) == [("f", 1, 50)]


def test_filling_task_is_paused_within_four_seconds():
    percent, reports = 100, 0
    while percent:
        percent = next_pace(percent, 2.0)
        reports += 1
    assert reports * 0.5 < 4.0


@pytest.mark.usefixtures("paused_clock")
def test_pace_that_is_set_late_does_not_outlast_a_later_one():
    # The run stayed at the pace of the late call for good.
    site = ControlSite(workers=1)
    job = accepted(site, 50.0, filling=True)
    site.run_for(1.0)
    worker, pacer = site.workers[0], site.agents[0].supervisor._pacer
    worker.late_seconds = 6.0
    pacer._percent = 0
    site.run_for(0.5)
    worker.late_seconds = 0.0
    key = (f"{job}.0.0.0", 1)
    site.run_for(5.0)
    assert worker.paces == {key: 100}
    site.run_for(3.0)
    assert worker.paces == {key: 100}
    # Once nothing can come late any more no further call is made.
    site.run_for(8.0)
    worker.paces.clear()
    site.run_for(2.0)
    assert worker.paces == {}


@pytest.mark.usefixtures("paused_clock")
@pytest.mark.parametrize("count", [4, 16])
def test_polls_do_not_wait_for_paces_without_an_answer(count):
    # Each such call held up the next poll, and with it the leases, for 0.4 s.
    site = ControlSite(workers=1, gpus=16)
    accepted(site, 50.0, count=count, filling=True)
    site.run_for(1.0)
    worker, polled_at = site.workers[0], []
    poll = worker.poll

    def record_and_poll(*arguments):
        polled_at.append(clock.now())
        return poll(*arguments)

    worker.poll = record_and_poll
    worker.late_seconds = 5.0
    site.agents[0].supervisor._pacer._percent = 0
    site.run_for(10.0)
    pauses = [b - a for a, b in zip(polled_at, polled_at[1:], strict=False)]
    assert max(pauses) < 2 * POLL_WAIT_SECONDS
