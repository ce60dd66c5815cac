import pytest

from sequoiachute.coordination.placement import (
    MemberPlacement,
    PlacementView,
    SharingPolicy,
)
from sequoiachute.coordination.placement.check import check_guarantees
from sequoiachute.coordination.placement.feasibility import SETTLE_SECONDS
from sequoiachute.coordination.placement.model import Placement
from sequoiachute.coordination.placement.runs import indices_of, pack_runs
from sequoiachute.state.run_times import RunTimes
from standins.fleet import FakeFleet, Rack, new_job

RACKS = [Rack("north", "n1", 2, 8), Rack("south", "s1", 2, 8, 2.0, "fast")]


def spec(tasks=1, accelerators=1, within="rack", run_seconds=60.0, **more):
    return {
        "tasks": tasks,
        "accelerators": accelerators,
        "within": within,
        "run_seconds": run_seconds,
        "payload": "",
        **more,
    }


def catalogue(**guarantees):
    accounts = {}
    for name in "abc":
        shapes = guarantees.get(name, [])
        accounts[name] = {"job_class": "batch", "guarantees": shapes}
    classes = {"batch": {"priority": 1}, "rush": {"priority": 1, "urgent": True}}
    return {"classes": classes, "accounts": accounts, "data_centres": {}}


class Bench:
    """One policy on a small fleet; decisions take effect at once."""

    def __init__(self, racks=RACKS, weight=0.5, guarantees=None):
        self.fleet = FakeFleet(racks)
        self.policy = SharingPolicy(weight)
        self.catalogue = catalogue(**(guarantees or {}))
        self.now = 1000.0
        self.queue = {}
        self.run_times = RunTimes()

    def submit(self, name, account="b", job_class="batch", **wanted):
        self.queue[name] = new_job(name, account, spec(**wanted), job_class, self.now)

    def decide(self):
        view = PlacementView(
            self.fleet.in_service(),
            tuple(self.queue.values()),
            tuple(self.fleet.running.values()),
            self.catalogue,
            self.now,
            out=self.fleet.out_of_service(),
            run_times=self.run_times,
        )
        return self.policy.decide(view)

    def round(self):
        decision = self.decide()
        for placement in decision.placements:
            for eviction in placement.evictions:
                job = self.fleet.end(eviction.job_id)
                self.queue[job.job_id] = job._replace(state="queued", workers=())
            job = self.queue.pop(placement.job_id)
            assert self.fleet.start(placement, job, self.now)
        return decision

    def settle(self):
        self.decide()
        self.now += SETTLE_SECONDS + 1


def test_runs_are_adjacent_and_leave_larger_blocks_whole():
    runs = pack_runs(8, 2, 0b1111_0011)
    assert [indices_of(run) for run in runs] == [(0, 1), (4, 5), (6, 7)]
    assert pack_runs(8, 4, 0b0011_1100) == ()


def test_guarantee_evicts_the_cheapest_borrowers_in_one_decision():
    shape = {"accelerators": 8, "within": "worker"}
    bench = Bench(guarantees={"a": [shape]})
    bench.submit("saved", accelerators=8, run_seconds=1e6, checkpointable=True)
    bench.round()
    for index in range(3):
        bench.submit(f"long{index}", accelerators=8, run_seconds=1e6)
    bench.round()
    bench.now += 500
    bench.submit("own", account="a", accelerators=8)
    (placement,) = bench.round().placements
    assert placement.guaranteed
    assert [eviction.job_id for eviction in placement.evictions] == ["saved"]


def test_unused_guarantee_moves_to_a_free_block_and_evicts_nobody():
    bench = Bench(guarantees={"a": [{"accelerators": 8, "within": "worker"}]})
    for index in range(4):
        bench.submit(f"b{index}", accelerators=8)
    bench.round()
    ((home,),) = bench.policy.bindings.blocks.values()
    away = [j for j in bench.fleet.running.values() if home not in j.workers]
    bench.fleet.end(away[0].job_id)
    bench.submit("own", account="a", accelerators=8)
    (placement,) = bench.round().placements
    assert placement.guaranteed
    assert not placement.evictions


def test_work_beyond_the_guarantee_is_a_borrower():
    bench = Bench(guarantees={"a": [{"accelerators": 4, "within": "worker"}]})
    bench.submit("covered", account="a", accelerators=4)
    bench.submit("beyond", account="a", accelerators=4)
    by_job = {p.job_id: p.guaranteed for p in bench.round().placements}
    assert by_job == {"covered": True, "beyond": False}


def test_urgent_work_evicts_borrowers_but_no_guaranteed_or_urgent_work():
    bench = Bench(
        RACKS[:1], guarantees={"a": [{"accelerators": 8, "within": "worker"}]}
    )
    bench.submit("own", account="a", accelerators=8)
    bench.submit("first", job_class="rush", accelerators=4)
    bench.submit("borrower", accelerators=4)
    bench.round()
    bench.submit("second", job_class="rush", accelerators=4)
    bench.submit("third", job_class="rush", accelerators=4)
    (placement,) = bench.round().placements
    assert [eviction.job_id for eviction in placement.evictions] == ["borrower"]
    assert not bench.round().placements


@pytest.mark.parametrize(
    ("guarantees", "lacking"),
    [
        ({"a": [{"accelerators": 16, "within": "rack"}] * 2}, []),
        ({"a": [{"accelerators": 16, "within": "rack"}] * 3}, ["a"]),
        (
            {
                "a": [{"accelerators": 8, "within": "worker", "speed_class": "fast"}],
                "b": [{"accelerators": 8, "within": "worker"}] * 2,
                "c": [{"accelerators": 4, "within": "worker", "speed_class": "fast"}]
                * 2,
            },
            [],
        ),
        ({"a": [{"accelerators": 9, "within": "worker"}]}, ["a"]),
        ({"a": [{"accelerators": 1, "within": "rack", "speed_class": "new"}]}, ["a"]),
    ],
)
def test_catalogue_is_met_at_once_or_the_accounts_that_lack_are_named(
    guarantees, lacking
):
    check = check_guarantees(catalogue(**guarantees), FakeFleet(RACKS).in_service())
    assert [shortfall.account for shortfall in check.shortfalls] == lacking
    for account in lacking:
        assert f"{account} lacks " in check.reason


def test_lower_priority_yields_while_a_data_centre_is_out_and_it_is_said():
    shape = {"accelerators": 16, "within": "rack"}
    bench = Bench(guarantees={"a": [shape], "b": [shape]})
    bench.catalogue["accounts"]["b"]["job_class"] = "rush"
    bench.catalogue["classes"]["rush"]["priority"] = 7
    assert bench.decide().shortfalls == ()
    bench.fleet.out.add("north")
    assert [s.account for s in bench.decide().shortfalls] == ["a"]
    bench.fleet.out.clear()
    assert bench.decide().shortfalls == ()


@pytest.mark.parametrize(
    ("wanted", "reason"),
    [
        ({"accelerators": 9}, "the largest worker has 8"),
        ({"tasks": 3, "accelerators": 8}, "no rack holds 3 tasks"),
        ({"speed_class": "new"}, "no worker is of speed class 'new'"),
    ],
)
def test_job_that_can_never_run_is_told_once_the_workers_are_known(wanted, reason):
    bench = Bench()
    bench.submit("never", **wanted)
    assert not bench.decide().unplaceable
    bench.settle()
    (unplaceable,) = bench.decide().unplaceable
    assert reason in unplaceable.reason


def test_job_that_needs_a_data_centre_which_is_out_waits():
    bench = Bench()
    bench.submit("waits", speed_class="fast")
    bench.fleet.out.add("south")
    bench.settle()
    decision = bench.decide()
    assert not decision.unplaceable
    assert [waiting.job_id for waiting in decision.waiting] == ["waits"]


def test_starved_gang_gets_its_place_while_small_jobs_keep_arriving():
    bench = Bench(RACKS[:1], weight=0.0)
    for index in range(16):
        bench.submit(f"s{index}", run_seconds=100.0 + index, checkpointable=False)
    bench.round()
    bench.submit("gang", tasks=2, accelerators=8)
    for second in range(200):
        bench.now += 10
        bench.submit(f"new{second}", run_seconds=1e4)
        for job in list(bench.fleet.running.values()):
            if bench.now - job.started_at >= job.spec["run_seconds"]:
                bench.fleet.end(job.job_id)
        bench.round()
        if "gang" in bench.fleet.running:
            return
    raise AssertionError("the gang starved")


def test_accounts_share_by_weight_what_nobody_is_guaranteed():
    bench = Bench(RACKS[:1])
    bench.catalogue["accounts"]["a"]["weight"] = 3.0
    for index in range(16):
        bench.submit(f"b{index}", account="b")
        bench.submit(f"a{index}", account="a")
    for _ in range(4):
        bench.round()
    held = [job.account for job in bench.fleet.running.values()]
    assert len(held) == 16
    assert held.count("a") == 12


@pytest.mark.parametrize(("weight", "data_centre"), [(0.0, "south"), (1.0, "north")])
def test_weight_chooses_speed_or_a_broken_block(weight, data_centre):
    bench = Bench(weight=weight)
    job = new_job("seven", "b", spec(accelerators=4))
    bench.fleet.start(_on("seven", "w000", (0, 1, 2, 3)), job, bench.now)
    bench.submit("small", accelerators=4, checkpointable=True)
    (placement,) = bench.decide().placements
    (member,) = placement.members
    assert bench.fleet.workers[member.worker_id].data_centre == data_centre


def test_account_stays_below_its_limit():
    bench = Bench()
    bench.catalogue["accounts"]["b"]["limits"] = {"accelerators": 4}
    for index in range(6):
        bench.submit(f"j{index}")
    bench.submit("large", accelerators=8)
    bench.round()
    decision = bench.round()
    assert len(bench.fleet.running) == 4
    assert [waiting.job_id for waiting in decision.waiting] == ["large"]


def test_long_queue_of_misfits_hides_no_job_that_fits():
    bench = Bench()
    for index in range(1500):
        bench.submit(f"big{index}", tasks=2 + index % 2, accelerators=8)
    bench.submit("small", account="c")
    for _ in range(3):
        bench.round()
    assert "small" in bench.fleet.running


def test_observed_run_times_correct_declared_ones():
    run_times = RunTimes()
    job = new_job("j", "a", spec(run_seconds=100.0))
    ended = job._replace(state="finished", started_at=0.0, ended_at=200.0)
    run_times.observe(ended, speed=2.0)
    assert run_times.ratio("a", "batch") == pytest.approx(4.0)
    assert run_times.ratio("b", "batch") == 1.0
    assert run_times.remaining(job, 1.0, 0.0) == pytest.approx(400.0)


def _on(job_id, worker_id, accelerators):
    return Placement(job_id, (MemberPlacement(worker_id, accelerators),), False)
