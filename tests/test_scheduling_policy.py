import pytest

from sequoiachute.coordination.scheduling import Host, Running, Unit, View, decide
from sequoiachute.protocol.workload import Lifetime, Resources, StepSpec, TaskId

NOW = 100.0
ROOM = Resources(32_000, 128_000, 8)


def host(name, speed=1.0, rack="r-1", running=(), **fields):
    values = {
        "name": name,
        "life": Lifetime(f"w-{name}", 1),
        "service": "render",
        "zone": "muc-1",
        "rack": rack,
        "labels": frozenset(("a", rack)),
        "capacity": ROOM,
        "is_open": True,
        "speed": speed,
        "suspicion": 0,
        "running": tuple(running),
    }
    return Host(**{**values, **fields})


def unit(count=1, gpus=1, job="job", priority=1, left=60.0, **fields):
    step_fields = {"estimate_seconds": 5.0}
    step_fields.update(fields.pop("step", {}))
    step = StepSpec(count, Resources(1000, 1000, gpus), **step_fields)
    values = {
        "account": "brocach",
        "priority": priority,
        "deadline": NOW + left,
        "chain_seconds": 5.0,
        "accepted_at": NOW,
        "service": "render",
        "step": step,
        "tasks": tuple(TaskId(job, 0, 0, index) for index in range(count)),
        "avoid": frozenset(),
        "placed_per_host": {},
    }
    return Unit(**{**values, **fields})


def running(job="old", index=0, gpus=1, priority=2, unsaved=1.0, **fields):
    values = {
        "task": TaskId(job, 0, 0, index),
        "run": 1,
        "need": Resources(1000, 1000, gpus),
        "priority": priority,
        "account": "other",
        "gang": False,
        "left_seconds": 10.0,
        "unsaved_seconds": unsaved,
        "stopping": False,
        "deadline": NOW + 60,
        "step": StepSpec(1, Resources(1000, 1000, gpus), 10.0),
        "service": "render",
    }
    return Running(**{**values, **fields})


def placed(decision):
    counts = {}
    for placement in decision.placements:
        counts[placement.host] = counts.get(placement.host, 0) + 1
    return counts


def test_gang_is_placed_whole_or_not_at_all():
    hosts = (host("a"), host("b"))
    gang = unit(3, gpus=8, step={"gang": True})
    assert not decide(View(NOW, hosts, (gang,))).placements
    gang = unit(2, gpus=8, step={"gang": True})
    assert placed(decide(View(NOW, hosts, (gang,)))) == {"a": 1, "b": 1}


def test_gang_of_one_rack_is_never_split():
    hosts = (host("a", rack="r-1"), host("b", rack="r-2"), host("c", rack="r-2"))
    gang = unit(2, gpus=8, step={"gang": True, "same_rack": True})
    assert placed(decide(View(NOW, hosts, (gang,)))) == {"b": 1, "c": 1}


def test_room_is_never_overcommitted():
    hosts = (host("a", running=[running(gpus=3)]), host("b"))
    decision = decide(View(NOW, hosts, (unit(30), unit(30, job="next"))))
    assert placed(decision) == {"a": 5, "b": 8}


def test_what_is_being_stopped_still_counts():
    stopping = running(gpus=8, stopping=True)
    hosts = (host("a", running=[stopping]),)
    decision = decide(View(NOW, hosts, (unit(priority=0),)))
    assert not decision.placements
    assert not decision.stops


@pytest.mark.parametrize(
    "closed",
    [
        {"is_open": False},
        {"service": "other"},
        {"suspicion": 2},
        {"capacity": Resources(32_000, 128_000, 0)},
    ],
)
def test_host_that_may_not_run_it_gets_nothing(closed):
    assert not decide(View(NOW, (host("a", **closed),), (unit(),))).placements


def test_label_spread_and_tickets_are_kept():
    hosts = (host("a"), host("b", labels=frozenset(("b",))), host("c"))
    labelled = unit(4, step={"label": "a", "per_worker": 1})
    assert placed(decide(View(NOW, hosts, (labelled,)))) == {"a": 1, "c": 1}
    advised = unit(2, tickets={"w-b": "t-1"})
    decision = decide(View(NOW, hosts, (advised,)))
    assert placed(decision) == {"b": 2}
    assert {placement.ticket for placement in decision.placements} == {"t-1"}
    assert not decide(View(NOW, hosts, (unit(tickets={}),))).placements


def test_tight_work_gets_the_quick_host_and_leaves_it_free_otherwise():
    hosts = (host("slow", 0.6), host("quick", 1.6))
    tight = unit(priority=0, left=4.0)
    assert placed(decide(View(NOW, hosts, (tight,)))) == {"quick": 1}
    assert placed(decide(View(NOW, hosts, (unit(),)))) == {"slow": 1}


def test_task_runs_near_its_data():
    hosts = (host("a", rack="r-1"), host("b", rack="r-2"))
    near = unit(left=8.0, step={"data_rack": "r-2"})
    assert placed(decide(View(NOW, hosts, (near,)))) == {"b": 1}


def test_urgent_work_stops_what_loses_least():
    cheap = running("cheap", gpus=8, unsaved=0.5)
    dear = running("dear", gpus=8, unsaved=4.0)
    hosts = (host("a", running=[dear]), host("b", running=[cheap]))
    decision = decide(View(NOW, hosts, (unit(gpus=8, priority=0),)))
    assert [stop.host for stop in decision.stops] == ["b"]
    assert not decision.placements


def test_urgent_work_throws_away_no_more_than_it_needs():
    dear = running(gpus=8, unsaved=60.0)
    hosts = (host("a", running=[dear]),)
    small = unit(gpus=1, priority=0)
    assert not decide(View(NOW, hosts, (small,))).stops
    guaranteed = small._replace(guaranteed=True)
    assert decide(View(NOW, hosts, (guaranteed,))).stops


def test_guaranteed_work_reclaims_from_urgent_work_beyond_its_guarantee():
    borrower = running(gpus=8, priority=0, unsaved=3.0)
    hosts = (host("a", running=[borrower]),)
    urgent = unit(gpus=8, priority=0)
    assert not decide(View(NOW, hosts, (urgent,))).stops
    assert decide(View(NOW, hosts, (urgent._replace(guaranteed=True),))).stops
    kept = host("a", running=[borrower._replace(guaranteed=True)])
    sure = urgent._replace(guaranteed=True)
    assert not decide(View(NOW, (kept,), (sure,))).stops


def test_stopping_a_member_counts_the_whole_gang():
    members = [running("gang", i, gpus=8, unsaved=2.0, gang=True) for i in range(2)]
    single = running("single", gpus=8, unsaved=3.0)
    hosts = (
        host("a", running=[members[0]]),
        host("b", running=[members[1]]),
        host("c", running=[single]),
    )
    decision = decide(View(NOW, hosts, (unit(gpus=8, priority=0),)))
    assert [stop.task.job_id for stop in decision.stops] == ["single"]


def test_lasting_work_is_never_preempted():
    hosts = (host("a", running=[running(gpus=8, lasting=True)]),)
    sure = unit(gpus=8, priority=0, guaranteed=True)
    assert not decide(View(NOW, hosts, (sure,))).stops


def test_leaving_worker_is_emptied_of_what_would_be_lost():
    short, long = running("short", left_seconds=1.0), running("long", 1)
    leaving = host("a", running=[short, long], is_open=False, leaving_seconds=3.0)
    decision = decide(View(NOW, (leaving, host("b")), ()))
    assert [stop.task.job_id for stop in decision.stops] == ["long"]


def test_stalled_run_is_moved_once():
    stalled = running(left_seconds=900.0, stalled=True, measured=True)
    hosts = (host("a", running=[stalled]), host("b"))
    assert [stop.moves for stop in decide(View(NOW, hosts, ())).stops] == [True]
    moved = host("a", running=[stalled._replace(moved=True)])
    assert not decide(View(NOW, (moved, host("b")), ())).stops


def test_gang_that_waits_for_one_member_is_not_stalled():
    ready = running("g", 0, gang=True, percent=100, stalled=True, left_seconds=0.0)
    works = running("g", 1, gang=True, percent=40, left_seconds=900.0, measured=True)
    hosts = (host("a", running=[ready]), host("b", running=[works]), host("c"))
    assert not decide(View(NOW, hosts, ())).stops


def test_work_past_all_use_gives_way_but_is_done():
    late = unit(8, job="late", left=-300.0, accepted_at=NOW - 310)
    fresh = unit(8, job="fresh", priority=2)
    decision = decide(View(NOW, (host("a"),), (late, fresh)))
    assert {placement.task.job_id for placement in decision.placements} == {"fresh"}
    assert decide(View(NOW, (host("a"),), (late,))).placements


def test_urgent_work_takes_the_quickest_host_even_with_time_to_spare():
    hosts = (host("slow", 0.6), host("typical"), host("quick", 1.6))
    assert placed(decide(View(NOW, hosts, (unit(priority=0),)))) == {"quick": 1}


def test_searches_for_room_are_bounded_and_said_to_be_cut():
    hosts = [host(f"h-{n}", running=[running(f"o-{n}", gpus=8)]) for n in range(20)]
    units = [unit(gpus=8, job=f"j-{n}", priority=0) for n in range(20)]
    decision = decide(View(NOW, tuple(hosts), tuple(units)))
    assert 0 < len(decision.stops) < 20
    assert decision.is_cut


def test_urgent_work_past_its_use_stops_nothing():
    """It is served last: what it stopped would be placed again before it."""
    busy = host("a", running=[running(gpus=8, unsaved=0.0)])
    late = unit(1, gpus=8, priority=0, left=-30.0, accepted_at=NOW - 40.0)
    assert not decide(View(NOW, (busy,), (late,))).stops
    in_time = unit(1, gpus=8, priority=0, left=7.0)
    assert decide(View(NOW, (busy,), (in_time,))).stops


def test_urgent_tasks_take_what_is_in_time_while_the_rest_makes_room():
    """None of the room that is free meanwhile goes to other work."""
    quick = host("quick", speed=1.0)
    full = host("full", speed=1.0, running=[running(gpus=8, unsaved=0.0)])
    slow = host("slow", speed=0.2)
    urgent = unit(2, gpus=8, job="urgent", priority=0, left=7.0)
    other = unit(8, gpus=1, job="other", left=600.0)
    decision = decide(View(NOW, (quick, full, slow), (urgent, other)))
    assert {(p.task.job_id, p.host) for p in decision.placements} == {
        ("urgent", "quick"),
        ("other", "slow"),
    }
    assert [stop.host for stop in decision.stops] == ["full"]


def test_room_that_urgent_work_waits_for_is_left_free():
    busy = host("a", running=[running(gpus=7, priority=1, unsaved=60.0)])
    urgent = unit(1, gpus=8, job="urgent", priority=0, left=7.0)
    decision = decide(View(NOW, (busy,), (urgent, unit(1, job="other"))))
    assert not decision.stops
    assert not decision.placements


def test_run_that_ends_at_once_is_not_stopped():
    ending = running(gpus=8, unsaved=10.0, left_seconds=0.3, measured=True)
    urgent = unit(1, gpus=8, priority=0, left=7.0)
    decision = decide(View(NOW, (host("a", running=[ending]),), (urgent,)))
    assert not decision.stops
