"""Runs of machines that are gone for good, and how long their loss is withheld."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.hosting.claims import Heartbeat
from sequoiachute.coordination.hosting.unanswered import UnansweredStarts
from sequoiachute.protocol.workload import ACTIVE
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS
from standins.control_site import ControlSite
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete, cut_links
from tests.loss_checks import (
    LEASE_LIFETIME_SECONDS,
    LONGEST_LEASE_SECONDS,
    RESTART_SECONDS,
    host_index,
    lose_machine,
    seconds_until_next_start,
    start_index,
)
from tests.run_checks import assert_no_duplicate_runs

pytestmark = pytest.mark.usefixtures("paused_clock")


@pytest.mark.parametrize("lost_seconds", [0.05, 0.3])
@pytest.mark.parametrize("worked_seconds", [1.0, 7.3, 13.0])
def test_lost_answer_to_a_start_does_not_delay_the_loss_of_its_machine(
    lost_seconds, worked_seconds
):
    # A run whose only call had lost its answer was given up after 33 s.
    site = ControlSite()
    for worker in site.workers:
        worker.lose_replies = True
    accepted(site, 500.0)
    site.run_for(lost_seconds)
    for worker in site.workers:
        worker.lose_replies = False
    site.run_for(worked_seconds)
    lose_machine(site, start_index(site))
    waited = seconds_until_next_start(site)
    assert waited <= LEASE_LIFETIME_SECONDS + RESTART_SECONDS
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("worked_seconds", [1.0, 7.3, 11.5])
def test_late_start_delays_a_loss_from_when_it_was_sent(worked_seconds):
    # The delay counted from the last report of the start, not from the call.
    site = ControlSite()
    for worker in site.workers:
        worker.late_seconds = 2.0
    accepted(site, 500.0)
    sent_at = clock.now()
    site.run_for(0.1)
    for worker in site.workers:
        worker.late_seconds = 0.0
    site.run_for(worked_seconds)
    lose_machine(site, start_index(site))
    waited = seconds_until_next_start(site)
    late = sent_at + MAX_CALL_DELAY_SECONDS + LONGEST_LEASE_SECONDS
    assert late - 0.5 <= clock.now() <= late + RESTART_SECONDS, waited
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("listed", [False, True])
def test_new_agent_process_does_not_end_the_doubt_of_the_one_before(listed):
    # The second report of a new process voided what the first process had reported.
    site = ControlSite(workers=2)
    site.run_for(30.0)  # a lease on this life's clock is the longest on the next one's
    for worker in site.workers:
        worker.late_seconds = 11.5
    job = accepted(site, 500.0)
    site.run_for(0.1)
    for worker in site.workers:
        worker.late_seconds = 0.0 if listed else 11.5
    site.run_for(0.9)
    index = host_index(site, job)
    worker, supervisor = site.workers[index], site.agents[index].supervisor
    supervisor.handle_heartbeat = lambda heartbeat: None
    for other in site.workers:
        other.late_seconds = 0.0
    site.kill_agent(index)
    site.restart_agent(index)
    site.run_for(1.0 if listed else 0.0)
    site.agents[index].supervisor.handle_heartbeat = lambda heartbeat: None
    worker.silent = True
    worker.restart(same_id=True)
    site.run_for(40.0)
    assert any(start.late for start in site.history.starts)
    assert_no_duplicate_runs(site.history, crashes=True)


def change_placer(site, down_seconds=0.5):
    """Kill the placer and start its process again."""
    placer = site.placer()
    site.kill_entry(placer)
    site.run_for(down_seconds)
    site.restart_entry(placer)


@pytest.mark.parametrize("seconds", [2.0, 3.0, 5.0, 8.0])
def test_new_placer_counts_the_silence_of_a_lost_machine_from_its_record(seconds):
    # A new placer began the wait for the leases of a host that never reports to it.
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(7.3)
    lost_at = clock.now()
    lose_machine(site, start_index(site))
    site.run_for(seconds)
    change_placer(site)
    seconds_until_next_start(site)
    earliest = max(seconds + TAKEOVER_SECONDS, LEASE_LIFETIME_SECONDS)
    assert clock.now() - lost_at <= earliest + RESTART_SECONDS
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("changes", [1, 2])
def test_new_placer_waits_for_a_late_start_that_an_earlier_one_was_told_of(changes):
    # Only the placer that an agent had told of a late start waited for it.
    site = ControlSite(workers=2)
    site.run_for(30.0)  # a lease on this life's clock is the longest on the next one's
    for worker in site.workers:
        worker.late_seconds = 11.5
    job = accepted(site, 500.0)
    sent_at = clock.now()
    site.run_for(0.1)
    for worker in site.workers:
        worker.late_seconds = 0.0
    site.run_for(4.9)
    index = host_index(site, job)
    worker = site.workers[index]
    site.kill_agent(index)
    worker.silent = True
    worker.restart(same_id=True)
    site.run_for(2.0)
    for _ in range(changes):
        change_placer(site)
        site.run_for(4.0)
    while clock.now() < sent_at + 60.0 and len(site.history.starts) < 3:
        site.run_for(0.05)
    assert [start.late for start in site.history.starts] == [False, True, False]
    late = sent_at + MAX_CALL_DELAY_SECONDS + LONGEST_LEASE_SECONDS
    assert clock.now() <= late + RESTART_SECONDS
    assert_no_duplicate_runs(site.history, crashes=True)


@pytest.mark.parametrize("seconds", [1.0, 2.5, 5.0, 8.0])
def test_host_that_is_heard_of_again_keeps_its_runs_whoever_is_placer(seconds):
    site = ControlSite()
    job = accepted(site, 30.0)
    site.run_for(1.0)
    index = start_index(site)
    site.agents[index].process.frozen = True
    site.run_for(2.0)
    change_placer(site)
    site.run_for(seconds - 2.0 if seconds > 2.0 else 0.0)
    site.agents[index].process.frozen = False
    complete(site, [job], 60.0)
    if seconds <= 5.0:
        assert len(site.history.starts) == 1


def test_no_lease_is_granted_while_later_placers_count_on_a_silence():
    # A placer that is deposed without knowing would grant a lease beside the record.
    site = ControlSite()
    job = accepted(site, 500.0)
    site.run_for(1.0)
    index, placer = start_index(site), site.placer()
    site.agents[index].process.frozen = True
    site.run_for(3.0)
    assert site.store.newest("runs").get(f"silent/{site.agents[index].address}")
    cut_links(site, placer)
    site.entries[placer].store.unresponsive = True
    site.agents[index].process.frozen = False
    site.run_for(30.0)
    assert_no_duplicate_runs(site.history)
    site.entries[placer].store.unresponsive = False
    site.network.cut.clear()
    site.run_for(5.0)
    assert site.state(job, site.placer()) == ACTIVE
    assert_no_duplicate_runs(site.history)


def test_record_of_a_lost_host_is_deleted_with_its_last_run():
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(1.0)
    lose_machine(site, start_index(site))
    seconds_until_next_start(site)
    site.run_for(1.0)
    kept = [key for key, record in site.store.newest("runs").items() if record.value]
    assert not [key for key in kept if key.startswith("silent/")]


def test_call_without_an_answer_is_known_though_the_life_changes_meanwhile():
    # The agent forgot a call that got no answer in the life that it was sent to.
    site = ControlSite(workers=1)
    worker, supervisor = site.workers[0], site.agents[0].supervisor
    worker.late_seconds = 8.0
    job = accepted(site, 500.0)
    site.run_for(0.1)
    worker.restart(same_id=True)
    supervisor.handle_heartbeat(Heartbeat(worker.info(), 10**6, worker.clock_ms))
    site.run_for(0.5)
    assert (f"{job}.0.0.0", 1) in supervisor._create_report(0.0).late_starts


@pytest.mark.parametrize("down_seconds", [0.1, 0.5, 1.0])
def test_entry_that_has_followed_the_store_takes_over_from_one_that_restarts(
    down_seconds,
):
    # The restarted process, which knew of no run since when it is placed, was elected.
    site = ControlSite()
    site.store.newest_first = True
    for _ in range(3):
        placer, killed_at = site.placer(), clock.now()
        change_placer(site, down_seconds)
        while site.placer() < 0:
            site.run_for(0.05)
        assert site.placer() != placer
        assert clock.now() - killed_at <= TAKEOVER_SECONDS - 1.0
        site.run_for(3.0)


@pytest.mark.parametrize("entries", [1, 3])
def test_restarted_entry_takes_over_if_no_other_does(entries):
    site = ControlSite(entries=entries)
    placer, killed_at = site.placer(), clock.now()
    for index in range(entries):
        site.kill_entry(index)
    site.run_for(0.3)
    site.restart_entry(placer)
    while site.placer() < 0:
        site.run_for(0.05)
    assert clock.now() - killed_at <= TAKEOVER_SECONDS


def test_call_that_was_on_its_way_when_the_run_was_listed_may_come_late():
    # It counted as the only call, which had started the run.
    starts, key = UnansweredStarts(), ("j.0.0.0", 1)
    starts.record_sent(key, clock.elapsed())
    starts.record_unanswered(key, clock.elapsed())
    clock.sleep(0.5)
    sent_at = clock.elapsed()
    starts.record_sent(key, sent_at)
    starts.record_listed({key})
    clock.sleep(0.4)
    starts.record_unanswered(key, sent_at)
    starts.record_listed({key})
    assert starts.ages() == {key: pytest.approx(0.4)}


def test_only_call_of_a_listed_run_is_no_late_start_whenever_it_was_listed():
    starts, key = UnansweredStarts(), ("j.0.0.0", 1)
    starts.record_sent(key, clock.elapsed())
    starts.record_listed({key})
    starts.record_unanswered(key, clock.elapsed())
    assert starts.ages() == {}
