"""Urgent jobs that were late on played days though a worker could have had them."""

import pytest

from sequoiachute.coordination.scheduling import SchedulingView, decide
from sequoiachute.protocol.workload import Resources, StepSpec
from standins.control_site import URGENT, ControlSite
from tests.control_checks import accepted, complete
from tests.test_scheduling_policy import (
    NOW,
    host,
    running,
    tasks_by_host,
    unit,
    urgent_run,
)


def wide_urgent_run(index):
    """Return one of nine tasks in waves, as c4968a16 of trouble-1, seed 91002."""
    step = StepSpec(9, Resources(1000, 1000, 8), 53.1)
    return running(
        "wide",
        index,
        gpus=8,
        priority=0,
        unsaved_seconds=2.0,
        remaining_seconds=30.0,
        measured=True,
        stretch=1.5,
        step=step,
        deadline=NOW + 235.0,
    )


def test_narrow_urgent_job_does_not_wait_for_wide_urgent_work_that_has_time():
    hosts = tuple(
        host(f"h{n}", 1.2, speed_error=0.24, running=[wide_urgent_run(n)])
        for n in range(4)
    )
    gang = unit(
        3,
        gpus=4,
        priority=0,
        chain_seconds=3.8,
        deadline_in=5.9,
        step={"estimate_seconds": 3.8, "gang": True, "same_rack": True},
    )
    stops = decide(SchedulingView(NOW, hosts, (gang,))).stops
    assert len(stops) == 2


def test_urgent_job_that_lost_power_starts_while_agents_report():
    """Late by its declared time, it may be in time by its work."""
    hosts = (host("a", 1.4, speed_error=0.24), host("b", 1.3, speed_error=0.24))
    gang = unit(
        6,
        gpus=2,
        priority=0,
        chain_seconds=7.2,
        accepted_at=NOW - 9.0,
        deadline_in=2.1,
        stretch=1.5,
        step={"estimate_seconds": 7.2, "gang": True, "same_rack": True},
    )
    view = SchedulingView(NOW, hosts, (gang,), is_gathering=True)
    assert sum(tasks_by_host(decide(view)).values()) == 6


def test_gang_that_lost_power_gets_the_rack_whose_agents_report_one_by_one():
    """Urgent work that had time took each host and was stopped for the gang at once."""
    gang = unit(
        3,
        gpus=4,
        job="gang",
        priority=0,
        deadline_in=1.0,
        accepted_at=NOW - 2.5,
        stretch=1.5,
        step={"gang": True, "same_rack": True},
    )
    loose = unit(6, gpus=8, job="loose", priority=0, deadline_in=30.0)
    view = SchedulingView(NOW, (host("a1"),), (loose, gang), is_gathering=True)
    assert not decide(view).placements
    view = view._replace(hosts=(host("a1"), host("b1", rack="r-2")))
    assert tasks_by_host(decide(view)) == {"b1": 1}
    view = view._replace(hosts=(host("a1"), host("b1", rack="r-2"), host("a2")))
    placed = {(p.host, p.task.job_id) for p in decide(view).placements}
    assert placed == {("a1", "gang"), ("a2", "gang"), ("b1", "loose")}


@pytest.mark.usefixtures("paused_clock")
@pytest.mark.parametrize("gang", [False, True])
def test_urgent_job_does_not_start_on_a_slow_worker_that_happens_to_report_first(gang):
    """As e33662ec36757d99 of trouble-3, seed 90606: a quick one came 0.08 s later."""
    site = ControlSite(workers=8)
    slow, *others = site.agents
    slow.worker.seconds_of = lambda payload: 2.4 * float(payload)
    complete(site, [accepted(site, 6.0, count=8, per_worker=1)], 20)
    for agent in others:
        agent.process.frozen = True
    placer = site.placer()
    site.kill_entry(placer)
    while site.placer() < 0 or not site.entries[site.placer()].control._agents.sessions:
        site.run_for(0.01)
    job = accepted(site, 3.0, count=2, entry=site.placer(), queue=URGENT, gang=gang)
    site.run_for(0.1)
    for agent in others:
        agent.process.frozen = False
    site.run_for(1.0)
    starts = [start for start in site.history.starts if start.task.startswith(job)]
    assert len(starts) == 2
    assert slow.worker.lifetime not in {start.lifetime for start in starts}


def test_gang_that_no_reported_host_suits_holds_nothing_while_agents_report():
    slow = host("slow", 0.3, speed_error=0.1)
    step = {"gang": True, "same_rack": True}
    gang = unit(2, gpus=8, job="gang", priority=0, deadline_in=8.0, step=step)
    loose = unit(gpus=8, job="loose", priority=0, deadline_in=90.0)
    view = SchedulingView(NOW, (slow,), (gang, loose), is_gathering=True)
    assert {p.task.job_id for p in decide(view).placements} == {"loose"}


def test_late_urgent_run_moves_before_lesser_work_takes_the_quick_host():
    """As 160a871d of trouble-3, seed 91003: 10.2.0.37 went to lesser work."""
    run = urgent_run(2.0, 2.1, remaining_seconds=7.0, percent=13)
    slow = host("slow", 0.55, speed_error=0.2, running=[run])
    quick = host("quick", 1.2, speed_error=0.2)
    alone = decide(SchedulingView(NOW, (slow, quick), ()))
    assert [stop.host for stop in alone.stops] == ["slow"]
    lesser = unit(gpus=8, job="lesser", priority=1)
    decision = decide(SchedulingView(NOW, (slow, quick), (lesser,)))
    assert [stop.host for stop in decision.stops] == ["slow"]


def test_urgent_gang_waits_for_the_capacity_that_is_being_freed_for_it():
    """As d45b338b of trouble-1, seed 64012: its victim ended 0.1 s later.

    Declared too short, it is late by its declared time while the victim stops.
    """
    kept = running("kept", gpus=2, unsaved_seconds=5.0, preemptions=2)
    victim = running("victim", gpus=1, unsaved_seconds=0.5)
    hosts = (
        host("a1", 1.14, "r-1", [kept], speed_error=0.24),
        host("a2", 1.13, "r-1", [victim], speed_error=0.24),
        host("b1", 0.49, "r-2", speed_error=0.24),
        host("b2", 1.22, "r-2", [running("c", gpus=3)], speed_error=0.19),
    )
    gang = unit(
        3,
        gpus=4,
        priority=0,
        chain_seconds=1.25,
        deadline_in=2.1,
        stretch=1.5,
        step={"estimate_seconds": 1.25, "gang": True, "same_rack": True},
    )
    first = decide(SchedulingView(NOW, hosts, (gang,)))
    assert [stop.host for stop in first.stops] == ["a2"]
    assert not first.placements
    stopping = hosts[1]._replace(running=(victim._replace(stopping=True),))
    hosts = (hosts[0], stopping, *hosts[2:])
    second = decide(SchedulingView(NOW + 0.52, hosts, (gang,)))
    assert "b1" not in tasks_by_host(second)
    freed = (hosts[0], stopping._replace(running=()), *hosts[2:])
    third = decide(SchedulingView(NOW + 0.6, freed, (gang,)))
    assert tasks_by_host(third) == {"a1": 1, "a2": 2}


def test_urgent_gang_stops_saved_work_rather_than_start_on_a_newcomer():
    """As bc01c1a1 of trouble-2, seed 64015, late on the newcomer 10.1.0.23.

    Both members of 94865a59 on 10.1.0.20 save their work: 64 core-seconds are lost.
    """
    need = Resources(26_000, 74_992, 4)
    members = [
        running(
            "saved",
            n,
            need=need,
            gang=True,
            unsaved_seconds=0.55,
            remaining_seconds=30.0,
            measured=True,
            step=StepSpec(2, need, 12.3, gang=True, checkpoints=True),
        )
        for n in (0, 1)
    ]
    capacity = Resources(64_000, 262_144, 8)
    hosts = (
        host("known", 1.42, speed_error=0.2, running=members, capacity=capacity),
        host("newcomer", 1.0, speed_error=0.4, capacity=capacity),
    )
    step = StepSpec(3, Resources(7500, 30_992, 2), 1.693, gang=True, same_rack=True)
    gang = unit(3, priority=0, chain_seconds=1.693, deadline_in=2.77)
    gang = gang._replace(step=step)
    decision = decide(SchedulingView(NOW, hosts, (gang,)))
    assert [stop.host for stop in decision.stops] == ["known", "known"]
    assert not decision.placements


def test_guaranteed_work_stops_lesser_work_rather_than_urgent_work():
    """As ae030484 of trouble-1, seed 91001, which stopped c73bfd53 and made it late."""
    capacity = Resources(64_000, 262_144, 8)
    need = Resources(7500, 30_992, 8)
    urgent = urgent_run(1.25, -2.7, need=need, remaining_seconds=3.0, percent=40)
    urgent = urgent._replace(unsaved_seconds=2.0)
    need = Resources(26_000, 74_992, 8)
    lesser = running("lesser", need=need, unsaved_seconds=2.0, measured=True)
    hosts = (
        host("a", 1.34, speed_error=0.24, running=[urgent], capacity=capacity),
        host("b", 1.06, speed_error=0.24, running=[lesser], capacity=capacity),
    )
    guaranteed = unit(1, gpus=8, priority=0, chain_seconds=4.55, deadline_in=7.0)
    step = StepSpec(1, Resources(7500, 30_992, 8), 4.55)
    guaranteed = guaranteed._replace(step=step, guaranteed=True)
    decision = decide(SchedulingView(NOW, hosts, (guaranteed,)))
    assert [stop.host for stop in decision.stops] == ["b"]


def test_urgent_run_on_a_slow_worker_is_not_stopped_as_if_it_had_time():
    """As 59301a84 of trouble-2, seed 91002: 3.5 s of work, 5.9 s on its worker."""
    step = StepSpec(4, Resources(1000, 1000, 8), 5.97)
    run = running("wide", gpus=8, priority=0, unsaved_seconds=1.0, measured=True)
    run = run._replace(
        step=step,
        remaining_seconds=4.9,
        percent=17,
        stretch=1.5,
        accepted_at=NOW - 1.0,
        deadline=NOW + 17.2,
    )
    hosts = (host("slow", 0.6, speed_error=0.24, running=[run]),)
    tight = unit(gpus=8, priority=0, chain_seconds=3.8, deadline_in=5.9, stretch=1.5)
    tight = tight._replace(step=tight.step._replace(estimate_seconds=3.8))
    assert not decide(SchedulingView(NOW, hosts, (tight,))).stops
