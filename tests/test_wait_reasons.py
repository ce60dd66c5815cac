"""What is said about work that waits beside free capacity."""

import pytest

from sequoiachute.coordination.dispatch.wait_log import (
    MAX_LINES,
    REPEAT_SECONDS,
    WaitLog,
)
from sequoiachute.coordination.scheduling import SchedulingDecision, SchedulingView
from sequoiachute.coordination.scheduling import waits as reasons
from sequoiachute.coordination.scheduling.model import TaskPlacement
from sequoiachute.coordination.scheduling.waits import MAX_WAITS, find_waits
from standins.control_site import ControlSite
from tests.control_checks import accepted
from tests.test_scheduling_policy import NOW, host, running, unit

WAITS = "work waits beside free capacity"
MORE_WAITS = "more work waits beside free capacity"
PLACED = "waiting work placed"
NOTHING = SchedulingDecision()


def view_of(hosts, units, **fields):
    return SchedulingView(NOW, tuple(hosts), tuple(units), **fields)


def waiting(*args, waiting_seconds=1.5, **fields):
    return unit(*args, waiting_seconds=waiting_seconds, **fields)


def reason_of(hosts, waiting_unit, **fields):
    waits = find_waits(view_of(hosts, [waiting_unit], **fields), NOTHING)
    assert (waits.units, waits.beside_capacity) == (1, len(waits.explained))
    return waits.explained[0].reason if waits.explained else None


def gang(count=3, **fields):
    step = {"gang": True, **fields.pop("step", {})}
    return waiting(count, gpus=4, step=step, **fields)


def test_work_that_waits_for_a_short_time_is_not_looked_at():
    units = [waiting(waiting_seconds=1.0), unit(job="other")]
    assert find_waits(view_of([host("a")], units), NOTHING) == reasons.Waits()


def test_work_without_room_is_only_counted():
    full = host("a", running=[running(gpus=8)])
    assert reason_of([full], waiting()) is None
    assert reason_of([host("a"), full._replace(name="b")], gang(3)) is None
    assert reason_of([host("a", leaving_seconds=5.0, is_open=False)], waiting()) is None


def test_placements_of_the_round_take_their_room():
    placed, other = waiting(job="placed", gpus=8), waiting(job="other", gpus=8)
    worker = host("a")
    decision = SchedulingDecision(
        (TaskPlacement(placed.tasks[0], worker.name, worker.lifetime),)
    )
    waits = find_waits(view_of([worker], [placed, other]), decision)
    assert (waits.units, waits.beside_capacity) == (1, 0)


def test_ending_runs():
    assert reason_of([host("a")], waiting(returning=True)) == reasons.RUNS_END


def test_agents_that_still_report():
    found = reason_of([host("a")], waiting(), is_gathering=True)
    assert found == reasons.AGENTS_REPORT


def test_closed_hosts():
    assert reason_of([host("a", is_open=False)], waiting()) == reasons.HOSTS_CLOSED
    hosts = [host("a"), host("b", is_open=False)]
    assert reason_of(hosts, gang(3)) == reasons.HOSTS_CLOSED
    assert reason_of(hosts, gang(2)) == reasons.HELD


def test_label():
    labelled = waiting(step={"label": "b"})
    assert reason_of([host("a")], labelled) == reasons.LABEL
    full = host("b", labels=frozenset("b"), running=[running(gpus=8)])
    assert reason_of([host("a"), full], labelled) is None


def test_refused_starts_are_a_reason():
    paused = waiting(paused_hosts=frozenset("a"))
    assert reason_of([host("a")], paused) == reasons.STARTS_REFUSED


def test_tickets():
    assert reason_of([host("a")], waiting(tickets={})) == reasons.NO_TICKET
    hosts = [host("a"), host("b")]
    assert reason_of(hosts, gang(3, tickets={"w-a": "t"})) == reasons.NO_TICKET


def test_wide_step_in_waves():
    wide = waiting(8, priority=0, waves=4, running=4, deadline_in=60.0)
    assert reason_of([host("a")], wide) == reasons.WAVES


def test_no_rack_with_room():
    hosts = [host(name, rack=name) for name in "abc"]
    split = gang(3, step={"same_rack": True})
    waits = find_waits(view_of(hosts, [split]), NOTHING)
    assert waits.explained[0].reason == reasons.NO_RACK
    counts = waits.explained[0].counts
    assert (counts.hosts, counts.open, counts.suitable) == (3, 3, 3)
    assert (counts.fitting, counts.fitting_in_rack) == (6, 2)


def test_hosts_reserved_for_upkeep():
    hosts = [host("a", is_reserved=True), host("b")]
    waits = find_waits(view_of(hosts, [gang(3)]), NOTHING)
    assert waits.explained[0].reason == reasons.UPKEEP
    assert waits.explained[0].counts.reserved == 1
    assert reason_of(hosts, gang(2)) == reasons.HELD


def test_hosts_in_doubt():
    sound = host("a", running=[running(gpus=6)])
    doubtful = [
        host("b", recent_failures=1, doubt_age=4.0),
        host("c", recent_failures=1, doubt_age=3.0),
    ]
    last = waiting(gpus=4, last_attempt=True, failed_seconds=3.0)
    waits = find_waits(view_of([sound, *doubtful], [last]), NOTHING)
    wait = waits.explained[0]
    assert wait.reason == reasons.DOUBT
    assert (wait.counts.in_doubt, wait.counts.doubt_age) == (2, 3.0)
    assert (wait.last_attempt, wait.failed_seconds) == (True, 3.0)
    first = last._replace(last_attempt=False)
    assert reason_of([sound, *doubtful], first) == reasons.HELD


def test_doubt_closes_hosts_for_a_moment_only_where_there_are_no_others():
    fresh = host("a", recent_failures=2, doubt_age=1.0)
    assert reason_of([fresh], waiting()) == reasons.DOUBT
    assert reason_of([fresh._replace(doubt_age=2.0)], waiting()) == reasons.HELD


def test_proven_host():
    hosts = [host("a", proof_age=1.0), host("b")]
    last = gang(3, last_attempt=True, failed_before=True, failed_seconds=1.0)
    waits = find_waits(view_of(hosts, [last]), NOTHING)
    assert waits.explained[0].reason == reasons.PROOF
    assert waits.explained[0].counts.proven == 1
    assert reason_of(hosts, last._replace(tasks=last.tasks[:2])) == reasons.HELD


def test_work_held_for_other_work():
    assert reason_of([host("a")], waiting()) == reasons.HELD


def test_explained_waits_are_bounded():
    units = [waiting(job=f"job-{n}", waiting_seconds=2.0 + n) for n in range(60)]
    waits = find_waits(view_of([host("a")], units), NOTHING)
    assert (waits.units, waits.beside_capacity) == (60, 60)
    assert len(waits.explained) == MAX_WAITS
    assert waits.explained[0].job == "job-59"


def test_kinds_of_work_that_are_explained_are_bounded():
    hosts = [host(f"h-{number}") for number in range(1000)]
    units = [waiting(job=f"job-{n}", gpus=1 + n) for n in range(8)]
    waits = find_waits(view_of(hosts, units), NOTHING)
    assert waits.beside_capacity == 8
    assert len(waits.explained) == reasons.MAX_EXPLAINED_HOSTS // 1000


def test_line_is_repeated_when_its_reason_changes_or_after_a_while(lines):
    log = WaitLog()
    job = gang(3, last_attempt=True, failed_before=True, failed_seconds=1.0)
    unproven = view_of([host("a", proof_age=1.0), host("b")], [job])
    closed = view_of([host("a"), host("b", is_open=False)], [job])
    for tenth in range(100):
        log.record_round(closed if tenth > 80 else unproven, NOTHING, tenth / 10)
    assert [extra["reason"] for message, extra in lines] == [
        reasons.PROOF,
        reasons.PROOF,
        reasons.HOSTS_CLOSED,
    ]
    assert REPEAT_SECONDS == 5.0


def test_lines_of_one_second_are_bounded(lines):
    log = WaitLog()
    units = [waiting(job=f"job-{number}") for number in range(80)]
    for tenth in range(10):
        log.record_round(view_of([host("a")], units), NOTHING, tenth / 10)
    messages = [message for message, _ in lines]
    assert messages == [WAITS] * MAX_LINES + [MORE_WAITS]
    assert lines[-1][1]["units"] == 70


def test_placement_of_work_that_was_logged_is_logged_once(lines):
    log = WaitLog()
    worker, job = host("a"), waiting(2, waiting_seconds=2.5)
    log.record_round(view_of([worker], [job]), NOTHING, 0.0)
    placement = TaskPlacement(job.tasks[1], worker.name, worker.lifetime)
    for _ in range(2):
        decision = SchedulingDecision((placement,))
        log.record_round(view_of([worker], [job]), decision, 0.5)
    assert [message for message, _ in lines] == [WAITS, PLACED]
    said = lines[-1][1]
    assert (said["job"], said["step"], said["waited"]) == ("job", 0, 2.5)
    assert said["reason"] == reasons.HELD


def test_work_that_has_ended_is_forgotten(lines):
    log = WaitLog()
    log.record_round(view_of([host("a")], [waiting()]), NOTHING, 0.0)
    log.record_round(view_of([host("a")], []), NOTHING, 1.0)
    assert log.waits == reasons.Waits()
    log.record_round(view_of([host("a")], [waiting()]), NOTHING, 2.0)
    assert len(lines) == 2


def gauges(site):
    found = []
    for entry in site.entries:
        samples = {s.name: s.value for s in entry.control.metrics.samples(0.0)}
        found.append(
            (samples["units_waiting"], samples["units_waiting_beside_capacity"])
        )
    return found


@pytest.mark.usefixtures("paused_clock")
def test_gang_that_waits_for_one_rack_is_seen_until_it_is_placed(lines):
    site = ControlSite(workers=6, gpus=8)
    for number, worker in enumerate(site.workers):
        worker.rack = f"rack-{number // 2 if number < 2 else number}"
    site.run_for(1)
    accepted(site, 60.0, count=8, gang=True)
    site.run_for(0.5)
    job = accepted(site, 2.0, count=12, gang=True, same_rack=True)
    site.run_for(1.9)
    leader = site.placer()
    expected = [(1, 1) if index == leader else (0, 0) for index in range(3)]
    assert gauges(site) == expected
    site.run_for(4)
    assert gauges(site) == [(0, 0)] * 3
    said = [(m, extra) for m, extra in lines if extra.get("job") == job]
    assert [m for m, _ in said if m in (WAITS, PLACED)] == [WAITS, PLACED]
    for message, extra in said:
        if message == WAITS:
            assert extra["reason"] == reasons.NO_RACK
            assert (extra["fitting"], extra["fitting_in_rack"]) == (40, 8)
    placed = [extra for message, extra in lines if message == "placed"]
    of_job = [extra for extra in placed if extra["task"].startswith(job)]
    assert {extra["racks"] for extra in of_job} == {2}


@pytest.mark.usefixtures("paused_clock")
def test_entry_that_leaves_counts_no_waits():
    site = ControlSite(workers=1, gpus=1)
    accepted(site, 9.0, count=2)
    site.run_for(2.5)
    leader = site.placer()
    assert gauges(site)[leader] == (1, 0)
    site.entries[leader].control.leave()
    assert gauges(site)[leader] == (0, 0)


@pytest.mark.usefixtures("paused_clock")
def test_lines_about_workers_tell_where_they_stand(lines):
    ControlSite(workers=1)
    announced = [extra for message, extra in lines if message == "worker announced"]
    assert announced[0]["zone"] == "muc-1"
    assert announced[0]["rack"] == "rack-1"
    assert announced[0]["labels"] == ("a", "rack-1")


@pytest.mark.usefixtures("paused_clock")
def test_refused_start_is_logged_with_its_host_and_reason(lines):
    site = ControlSite(workers=1)
    site.workers[0].refuses_starts = True
    accepted(site, 1.0)
    site.run_for(1)
    refused = [extra for message, extra in lines if message == "run never started"]
    assert refused[0]["host"] == site.agents[0].address
    settled = [e for message, e in lines if message == "start settled: it never ran"]
    assert settled[0]["life"] == site.workers[0].lifetime.worker_id
    assert settled[0]["reason"] == refused[0]["reason"]
