"""Runs of machines that are gone for good, and how long their loss is withheld."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import (
    LEASE_EXPIRY_MARGIN_SECONDS,
    LEASE_SECONDS,
    MAX_CLOCK_DRIFT,
)
from sequoiachute.protocol.workload import TYPICAL_TIMES
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS
from standins.control_site import ControlSite
from tests.control_checks import accepted
from tests.run_checks import assert_no_duplicate_runs

pytestmark = pytest.mark.usefixtures("paused_clock")

# From the newest reading of the worker's clock until its leases have expired.
LEASE_LIFETIME_SECONDS = (
    LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_SECONDS
)
# From the time at which a late call is carried out.
LONGEST_LEASE_SECONDS = (
    TYPICAL_TIMES.max_lease * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_SECONDS
)
RESTART_SECONDS = 1.0  # a round, a record and a start


def start_index(site):
    """Return the index of the worker of the first start."""
    first = site.history.starts[0].worker_id
    return [worker.lifetime.worker_id for worker in site.workers].index(first)


def host_index(site, job):
    """Return the index of the agent on whose worker a job's first task is placed."""
    ledger = site.entries[site.placer()].control.ledger
    placed = ledger.progress(job).tasks["0.0.0"]
    return [agent.address for agent in site.agents].index(placed.host)


def lose_machine(site, index):
    """Lose a worker and its agent for good."""
    worker = site.workers[index]
    worker.silent, worker.down_seconds = True, 1e6
    worker.crash()
    site.kill_agent(index)


def seconds_until_next_start(site, limit=60.0):
    """Return after how many seconds the next run starts, at most ``limit``."""
    began, starts = clock.now(), len(site.history.starts)
    while clock.now() < began + limit and len(site.history.starts) == starts:
        site.run_for(0.05)
    return clock.now() - began


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
