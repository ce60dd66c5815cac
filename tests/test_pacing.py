from sequoiachute.coordination.hosting.pacing import Pacer, next_percent
from sequoiachute.protocol.supervision import RunOrder, RunReport

SERVING = RunOrder("s", 1, "", target_ms=100)
FILLING = RunOrder("f", 1, "", filling=True)
PLAIN = RunOrder("p", 1, "")
ORDERS = {(order.task, 1): order for order in (SERVING, FILLING, PLAIN)}


def look(latency):
    return (
        RunReport("s", 1, "", 100, latency),
        RunReport("f", 1, "", 10, 4000),
        RunReport("p", 1, "", 10, 4000),
    )


def test_filling_tasks_alone_give_way_and_come_back():
    pacer = Pacer()
    percents = []
    for latency in (50, 95, 95, 95, 95, 70, 40, 40):
        for task, run, percent in pacer.changes(look(latency), ORDERS):
            assert task == "f"
            pacer.note_told(task, run, percent)
            percents.append(percent)
    assert percents == [50, 25, 12, 0, 10, 20]


def test_pace_that_the_worker_did_not_take_is_told_again():
    pacer = Pacer()
    assert pacer.changes(look(95), ORDERS) == [("f", 1, 50)]
    assert pacer.changes(look(70), ORDERS) == [("f", 1, 50)]
    pacer.note_told("f", 1, 50)
    assert pacer.changes(look(70), ORDERS) == []


def test_new_filling_task_gets_the_pace_in_force():
    pacer = Pacer()
    pacer.changes(look(95)[:1], ORDERS)
    assert pacer.changes(look(70), ORDERS) == [("f", 1, 50)]


def test_filling_task_is_stopped_within_the_bound():
    percent, looks = 100, 0
    while percent:
        percent = next_percent(percent, 2.0)
        looks += 1
    assert looks * 0.5 < 4.0
