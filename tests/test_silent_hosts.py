"""Runs of silent hosts under several faults at a time."""

import pytest
from result import Err

from sequoiachute import clock
from sequoiachute.transport.store import AppendError
from standins.control_site import ControlSite
from tests.control_checks import accepted, complete, cut_links
from tests.loss_checks import (
    LEASE_LIFETIME_SECONDS,
    RESTART_SECONDS,
    host_index,
    lose_machine,
    start_index,
)
from tests.run_checks import assert_no_duplicate_runs
from tests.test_departures import leave, set_late, start_with_doubt

pytestmark = pytest.mark.usefixtures("paused_clock")


def cut_off_at_silence(site, placer, index):
    """Cut a placer off from all but one agent when its record of a silence arrives."""
    append, link = site.store.append, site.entries[placer].store
    address, host = site.entries[placer].address, site.agents[index].address

    def append_and_cut(topic, records, at, writer):
        outcome = append(topic, records, at, writer)
        if any(key.startswith("silent/") and value for key, value in records):
            site.store.append = append
            link.unresponsive = True
            cut_links(site, placer)
            others = {agent.address for agent in site.agents} - {host}
            site.network.cut.update((other, address) for other in others)
            return Err(AppendError("no answer", None))
        return outcome

    site.store.append = append_and_cut


@pytest.mark.parametrize("away_seconds", [2.0, 2.5, 4.0])
def test_no_lease_is_granted_while_the_record_of_a_silence_may_be_stored(away_seconds):
    # The record, whose answer was lost, was not known to the placer that wrote it.
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(3.0)
    index, placer = start_index(site), site.placer()
    cut_off_at_silence(site, placer, index)
    site.agents[index].process.frozen = True
    site.run_for(away_seconds)
    site.agents[index].process.frozen = False
    site.run_for(40.0)
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("down_seconds", [0.0, 3.0])
def test_departure_that_a_new_placer_hears_of_first_waits_for_recorded_late_starts(
    down_seconds,
):
    # The record was taken over after the departure, or not if it had been renewed.
    site, _, index, sent_at = start_with_doubt(11.0)
    worker = site.workers[index]
    site.kill_agent(index)
    site.run_for(2.2)
    assert site.store.newest("runs").get(f"silent/{site.agents[index].address}")
    placer = site.placer()
    site.kill_entry(placer)
    site.run_for(down_seconds)
    site.restart_agent(index)
    site.run_for(0.1)
    leave(site, index)
    site.run_for(sent_at + 11.0 - clock.now() - 0.1)
    worker.gone, worker.silent = False, True
    worker.leaving_seconds = None
    worker.restart(same_id=True)
    site.run_for(0.2)
    worker.silent = False
    site.run_for(20.0)
    assert any(start.late for start in site.history.starts)
    assert_no_duplicate_runs(site.history, crashes=True)


def test_run_that_an_earlier_process_has_started_proves_nothing_of_a_later_call():
    # The first call of the new process counted as the only one of the listed run.
    site = ControlSite(workers=2)
    site.run_for(30.0)  # a lease on this life's clock is the longest on the next one's
    set_late(site, 0.6)
    job = accepted(site, 500.0)
    site.run_for(0.3)
    set_late(site, 11.5)
    index = host_index(site, job)
    worker = site.workers[index]
    site.kill_agent(index)
    site.restart_agent(index)
    site.run_for(1.5)
    set_late(site, 0.0)
    site.kill_agent(index)
    worker.silent = True
    worker.restart(same_id=True)
    site.run_for(40.0)
    assert [start.late for start in site.history.starts if start.run == 1] == [True] * 2
    assert_no_duplicate_runs(site.history, crashes=True)


@pytest.mark.parametrize("lists_machines", [False, True])
def test_machine_down_proves_nothing_of_calls_that_an_agent_has_not_reported(
    lists_machines,
):
    # The run was listed by a process that did not know of the first call for it.
    site = ControlSite(workers=2, lists_machines=lists_machines)
    site.run_for(30.0)  # a lease on this life's clock is the longest on the next one's
    set_late(site, 11.5)
    job = accepted(site, 500.0)
    site.run_for(0.3)
    set_late(site, 0.0)
    index = host_index(site, job)
    worker = site.workers[index]
    site.kill_agent(index)
    site.restart_agent(index)
    site.run_for(4.7)
    site.lose_power(index)
    site.run_for(4.0)
    if site.machines is not None:
        site.machines.without_power.discard(index)
    worker.silent = True
    worker.restore_power(same_id=True)
    site.run_for(40.0)
    assert any(start.late for start in site.history.starts)
    assert_no_duplicate_runs(site.history, crashes=True)


@pytest.mark.parametrize("every_seconds", [2.0, 5.0])
def test_new_processes_of_an_agent_beside_a_lost_worker_begin_no_new_doubt(
    every_seconds,
):
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(13.0)
    index, lost_at = start_index(site), clock.now()
    site.workers[index].lose_power()
    while clock.now() < lost_at + 30.0 and len(site.history.starts) == 1:
        site.kill_agent(index)
        site.restart_agent(index)
        site.run_for(every_seconds)
    limit = LEASE_LIFETIME_SECONDS + RESTART_SECONDS
    assert site.history.starts[-1].at - lost_at <= limit
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("store_seconds", [8.0, 11.0, 12.0])
def test_outage_of_the_store_ends_no_run_of_a_host_that_was_silent_in_it(store_seconds):
    # A record that waited for the store kept the host without leases all the while.
    site = ControlSite()
    site.store.pauses_memberships = True
    job = accepted(site, 30.0)
    site.run_for(3.0)
    agent = site.agents[start_index(site)]
    site.store.down = True
    site.run_for(1.0)
    agent.process.frozen = True
    site.run_for(2.0)
    agent.process.frozen = False
    site.run_for(store_seconds - 3.0)
    site.store.down = False
    complete(site, [job], 40.0)
    assert len(site.history.starts) == 1


def test_silence_is_recorded_although_the_store_is_slow():
    # Rounds that wait for a slow store were taken for a pause of the placer's own.
    site = ControlSite()
    accepted(site, 500.0)
    site.run_for(3.0)
    index = start_index(site)
    site.store.delay = 0.6
    site.run_for(5.0)
    lose_machine(site, index)
    until = clock.now() + 6.0
    while clock.now() < until:
        site.submit(0.5, wait=1.0, entry=(site.placer() + 1) % 3)
        site.run_for(0.2)
    key = f"silent/{site.agents[index].address}"
    history = [record.key for record in site.store.history("runs") if record.value]
    assert key in history
