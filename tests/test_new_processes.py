"""What processes know of what happened before they began."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.scheduling.model import MAX_IDLE_WAIT_SECONDS
from standins.control_site import ControlSite
from tests.control_checks import accepted
from tests.loss_checks import host_index

pytestmark = pytest.mark.usefixtures("paused_clock")


def replace_placer(site):
    """Kill the placer; return once another entry is the placer."""
    placer = site.placer()
    site.kill_entry(placer)
    while site.placer() in (-1, placer):
        site.run_for(0.05)


@pytest.mark.parametrize("waited", [0.5, 1.9])
def test_wait_for_a_preferred_rack_does_not_begin_anew_with_a_placer(waited):
    # The gang waited for 2 s more, however long it had waited before.
    site = ControlSite(workers=6)
    for index, worker in enumerate(site.workers):
        # The rack that could hold the gang is full.
        worker.rack = f"rack-{max(index, 1)}"
        worker.refuses_starts = index > 1
    site.run_for(2.0)
    accepted(site, 300.0, count=8)
    site.run_for(0.15)
    for worker in site.workers:
        worker.refuses_starts = False
    site.run_for(12.0)
    job, accepted_at = accepted(site, 500.0, 6, gang=True, same_rack=True), clock.now()
    site.run_for(waited)
    replace_placer(site)
    elected_at = clock.now()
    site.run_for(5.0)
    starts = [start.at for start in site.history.starts if start.task.startswith(job)]
    due_at = max(accepted_at + MAX_IDLE_WAIT_SECONDS, elected_at)
    assert due_at <= min(starts) <= due_at + 1.0


def test_nothing_starts_in_a_closed_zone_after_placer_and_agent_were_replaced():
    # The first orders of a new placer told the agent that its zone was open.
    site = ControlSite()
    for index, worker in enumerate(site.workers):
        worker.zone = f"zone-{index}"
    site.run_for(1.0)
    for worker in site.workers:
        worker.silent = True
    job = accepted(site, 50.0)
    site.run_for(0.2)
    index = host_index(site, job)
    site.kill_agent(index)
    site.store.publish(f"evacuate/zone-{index}", b"1")
    site.run_for(0.5)
    replace_placer(site)
    for worker in site.workers:
        worker.silent = False
    site.restart_agent(index)
    site.run_for(3.0)
    [start] = site.history.starts
    assert start.lifetime != site.workers[index].lifetime


@pytest.mark.parametrize("filling", [False, True])
def test_new_agent_process_ends_the_pause_of_a_filling_run(filling):
    # A run that the process before had paused stood still although nothing else ran.
    site = ControlSite(workers=1)
    job = accepted(site, 50.0, filling=filling)
    site.run_for(2.0)
    paces = site.workers[0].paces
    assert paces == {}
    key = (f"{job}.0.0.0", 1)
    paces[key] = 0
    site.kill_agent(0)
    site.restart_agent(0)
    site.run_for(2.0)
    assert paces == {key: 100 if filling else 0}


def test_proof_of_a_suspected_task_does_not_begin_anew_with_a_placer():
    site = ControlSite(workers=3)
    job = accepted(site, 200.0)
    site.run_for(10.0)
    for _ in range(2):
        # It worked for 10 s before each crash: 20 s prove it sound.
        [worker] = [worker for worker in site.workers if worker.running]
        worker.crash()
        site.run_for(10.0)
    second_began_at = site.history.starts[-1].at
    replace_placer(site)
    site.run_for(second_began_at + 2 * 10.0 + 2.0 - clock.now())
    progress = site.entries[site.placer()].control.ledger.progress(job)
    assert not progress.tasks["0.0.0"].crashes.suspected
