"""Placement on a small simulated fleet: guarantees, fairness and fragmentation."""

import pytest

from sequoiachute.coordination.placement import (
    MemberPlacement,
    PlacementView,
    SharingPolicy,
)
from sequoiachute.coordination.placement.check import check_guarantees
from sequoiachute.coordination.placement.extents import indices_of, pack_extents
from sequoiachute.coordination.placement.feasibility import FLEET_STABLE_SECONDS
from sequoiachute.coordination.placement.model import Placement
from sequoiachute.state.run_times import RunTimes
from standins.fleet import FakeFleet, Rack, new_job

RACKS = [Rack("north", "n1", 2, 8), Rack("south", "s1", 2, 8, 2.0, "fast")]


def spec(tasks=1, accelerators=1, within="rack", run_seconds=60.0, **optional):
    return {
        "tasks": tasks,
        "accelerators": accelerators,
        "within": within,
        "run_seconds": run_seconds,
        "payload": "",
        **optional,
    }


def catalogue(**guarantees):
    accounts = {}
    for name in "abc":
        shapes = guarantees.get(name, [])
        accounts[name] = {"job_class": "batch", "guarantees": shapes}
    classes = {"batch": {"priority": 1}, "rush": {"priority": 1, "urgent": True}}
    return {"classes": classes, "accounts": accounts, "data_centres": {}}


class PolicyHarness:
    """One policy on a small fleet; placements and evictions take effect at once."""

    def __init__(self, racks=RACKS, weight=0.5, guarantees=None):
        self.fleet = FakeFleet(racks)
        self.policy = SharingPolicy(weight)
        self.catalogue = catalogue(**(guarantees or {}))
        self.now = 1000.0
        self.queue = {}
        self.run_times = RunTimes()

    def submit(self, name, account="b", job_class="batch", **requirements):
        self.queue[name] = new_job(
            name, account, spec(**requirements), job_class, self.now
        )

    def decide(self):
        view = PlacementView(
            self.fleet.in_service(),
            tuple(self.queue.values()),
            tuple(self.fleet.running.values()),
            self.catalogue,
            self.now,
            unavailable=self.fleet.out_of_service(),
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

    def wait_until_stable(self):
        self.decide()
        self.now += FLEET_STABLE_SECONDS + 1


def test_extents_are_aligned_and_preserve_larger_blocks():
    extents = pack_extents(8, 2, 0b1111_0011)
    assert [indices_of(extent) for extent in extents] == [(0, 1), (4, 5), (6, 7)]
    assert pack_extents(8, 4, 0b0011_1100) == ()


def test_guaranteed_job_evicts_the_cheapest_borrower():
    shape = {"accelerators": 8, "within": "worker"}
    harness = PolicyHarness(guarantees={"a": [shape]})
    harness.submit("saved", accelerators=8, run_seconds=1e6, checkpointable=True)
    harness.round()
    for index in range(3):
        harness.submit(f"long{index}", accelerators=8, run_seconds=1e6)
    harness.round()
    harness.now += 500
    harness.submit("own", account="a", accelerators=8)
    (placement,) = harness.round().placements
    assert placement.guaranteed
    assert [eviction.job_id for eviction in placement.evictions] == ["saved"]


def test_idle_guarantee_is_rebound_to_a_free_block_without_evictions():
    harness = PolicyHarness(guarantees={"a": [{"accelerators": 8, "within": "worker"}]})
    for index in range(4):
        harness.submit(f"b{index}", accelerators=8)
    harness.round()
    ((bound_worker,),) = harness.policy.bindings.blocks.values()
    on_other_workers = [
        j for j in harness.fleet.running.values() if bound_worker not in j.workers
    ]
    harness.fleet.end(on_other_workers[0].job_id)
    harness.submit("own", account="a", accelerators=8)
    (placement,) = harness.round().placements
    assert placement.guaranteed
    assert not placement.evictions


def test_work_beyond_the_guarantee_is_a_borrower():
    harness = PolicyHarness(guarantees={"a": [{"accelerators": 4, "within": "worker"}]})
    harness.submit("covered", account="a", accelerators=4)
    harness.submit("beyond", account="a", accelerators=4)
    by_job = {p.job_id: p.guaranteed for p in harness.round().placements}
    assert by_job == {"covered": True, "beyond": False}


def test_urgent_work_evicts_borrowers_but_no_guaranteed_or_urgent_work():
    harness = PolicyHarness(
        RACKS[:1], guarantees={"a": [{"accelerators": 8, "within": "worker"}]}
    )
    harness.submit("own", account="a", accelerators=8)
    harness.submit("first", job_class="rush", accelerators=4)
    harness.submit("borrower", accelerators=4)
    harness.round()
    harness.submit("second", job_class="rush", accelerators=4)
    harness.submit("third", job_class="rush", accelerators=4)
    (placement,) = harness.round().placements
    assert [eviction.job_id for eviction in placement.evictions] == ["borrower"]
    assert not harness.round().placements


@pytest.mark.parametrize(
    ("guarantees", "short_accounts"),
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
def test_guarantee_check_names_the_accounts_that_do_not_fit(guarantees, short_accounts):
    check = check_guarantees(catalogue(**guarantees), FakeFleet(RACKS).in_service())
    assert [shortfall.account for shortfall in check.shortfalls] == short_accounts
    for account in short_accounts:
        assert f"{account} lacks " in check.reason


def test_lower_priority_guarantee_falls_short_while_a_data_centre_is_out():
    shape = {"accelerators": 16, "within": "rack"}
    harness = PolicyHarness(guarantees={"a": [shape], "b": [shape]})
    harness.catalogue["accounts"]["b"]["job_class"] = "rush"
    harness.catalogue["classes"]["rush"]["priority"] = 7
    assert harness.decide().shortfalls == ()
    harness.fleet.unavailable.add("north")
    assert [s.account for s in harness.decide().shortfalls] == ["a"]
    harness.fleet.unavailable.clear()
    assert harness.decide().shortfalls == ()


@pytest.mark.parametrize(
    ("requirements", "reason"),
    [
        ({"accelerators": 9}, "the largest worker has 8"),
        ({"tasks": 3, "accelerators": 8}, "no rack holds 3 tasks"),
        ({"speed_class": "new"}, "no worker is of speed class 'new'"),
    ],
)
def test_infeasible_job_is_refused_once_the_fleet_is_stable(requirements, reason):
    harness = PolicyHarness()
    harness.submit("never", **requirements)
    assert not harness.decide().unplaceable
    harness.wait_until_stable()
    (unplaceable,) = harness.decide().unplaceable
    assert reason in unplaceable.reason


def test_job_that_needs_an_unavailable_data_centre_waits():
    harness = PolicyHarness()
    harness.submit("waits", speed_class="fast")
    harness.fleet.unavailable.add("south")
    harness.wait_until_stable()
    decision = harness.decide()
    assert not decision.unplaceable
    assert [blocked.job_id for blocked in decision.blocked] == ["waits"]


def test_starved_gang_starts_while_small_jobs_keep_arriving():
    harness = PolicyHarness(RACKS[:1], weight=0.0)
    for index in range(16):
        harness.submit(f"s{index}", run_seconds=100.0 + index, checkpointable=False)
    harness.round()
    harness.submit("gang", tasks=2, accelerators=8)
    for second in range(200):
        harness.now += 10
        harness.submit(f"new{second}", run_seconds=1e4)
        for job in list(harness.fleet.running.values()):
            if harness.now - job.started_at >= job.spec["run_seconds"]:
                harness.fleet.end(job.job_id)
        harness.round()
        if "gang" in harness.fleet.running:
            return
    raise AssertionError("the gang has not started after 200 rounds of 10 s")


def test_accounts_share_unguaranteed_accelerators_by_weight():
    harness = PolicyHarness(RACKS[:1])
    harness.catalogue["accounts"]["a"]["weight"] = 3.0
    for index in range(16):
        harness.submit(f"b{index}", account="b")
        harness.submit(f"a{index}", account="a")
    for _ in range(4):
        harness.round()
    held = [job.account for job in harness.fleet.running.values()]
    assert len(held) == 16
    assert held.count("a") == 12


@pytest.mark.parametrize(("weight", "data_centre"), [(0.0, "south"), (1.0, "north")])
def test_fragmentation_weight_trades_speed_for_an_already_split_worker(
    weight, data_centre
):
    harness = PolicyHarness(weight=weight)
    job = new_job("seven", "b", spec(accelerators=4))
    harness.fleet.start(_single_member("seven", "w000", (0, 1, 2, 3)), job, harness.now)
    harness.submit("small", accelerators=4, checkpointable=True)
    (placement,) = harness.decide().placements
    (member,) = placement.members
    assert harness.fleet.workers[member.worker_id].data_centre == data_centre


def test_account_stays_below_its_limit():
    harness = PolicyHarness()
    harness.catalogue["accounts"]["b"]["limits"] = {"accelerators": 4}
    for index in range(6):
        harness.submit(f"j{index}")
    harness.submit("large", accelerators=8)
    harness.round()
    decision = harness.round()
    assert len(harness.fleet.running) == 4
    assert [blocked.job_id for blocked in decision.blocked] == ["large"]


def test_long_queue_of_misfits_does_not_block_a_job_that_fits():
    harness = PolicyHarness()
    for index in range(1500):
        harness.submit(f"big{index}", tasks=2 + index % 2, accelerators=8)
    harness.submit("small", account="c")
    for _ in range(3):
        harness.round()
    assert "small" in harness.fleet.running


def test_observed_run_times_correct_declared_ones():
    run_times = RunTimes()
    job = new_job("j", "a", spec(run_seconds=100.0))
    ended = job._replace(state="finished", started_at=0.0, ended_at=200.0)
    run_times.observe(ended, speed=2.0)
    assert run_times.ratio("a", "batch") == pytest.approx(4.0)
    assert run_times.ratio("b", "batch") == 1.0
    assert run_times.remaining(job, 1.0, 0.0) == pytest.approx(400.0)


def _single_member(job_id, worker_id, accelerators):
    return Placement(job_id, (MemberPlacement(worker_id, accelerators),), False)
