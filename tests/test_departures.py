"""Runs of workers that have left, which may get another life under the same id."""

import pytest

from sequoiachute import clock
from standins.control_site import ControlSite
from tests.control_checks import accepted
from tests.run_checks import assert_no_duplicate_runs

pytestmark = pytest.mark.usefixtures("paused_clock")

FILLED = {"count": 6, "seconds": 60.0}


def start_with_doubt(late_seconds):
    """Return a site whose runs have started, one of them after an unanswered call.

    Also returns the job of that run, the number of its worker and when the call was
    sent.
    """
    site = ControlSite(workers=2, gpus=8)
    accepted(site, **FILLED)
    site.run_for(0.5)
    set_late(site, late_seconds)
    job = accepted(site, 60.0)
    sent_at = clock.now()
    site.run_for(0.1)
    set_late(site, 0.0)
    site.run_for(0.8)
    started = [start for start in site.history.starts if start.task.startswith(job)]
    worker_ids = [worker.lifetime.worker_id for worker in site.workers]
    return site, job, worker_ids.index(started[0].worker_id), sent_at


def set_late(site, seconds):
    for worker in site.workers:
        worker.late_seconds = seconds


def leave(site, index):
    """Let a worker announce its end and go."""
    worker = site.workers[index]
    worker.leaving_seconds = 1.0
    site.run_for(1.0)
    worker.gone = True
    site.agents[index].supervisor.handle_worker_leave(worker.lifetime.worker_id)


@pytest.mark.parametrize("restarts_agent", [False, True])
@pytest.mark.parametrize("late_seconds", [4.0, 8.0, 11.0])
def test_late_start_in_the_life_after_a_departure_runs_alone(
    late_seconds, restarts_agent
):
    # The doubt of an agent's earlier process was dropped with the life that it left.
    site, _, index, sent_at = start_with_doubt(late_seconds)
    if restarts_agent:
        site.kill_agent(index)
        site.restart_agent(index)
        site.run_for(0.5)
    leave(site, index)
    worker = site.workers[index]
    site.run_for(sent_at + late_seconds - clock.now() - 0.1)
    worker.gone, worker.silent = False, True
    worker.leaving_seconds = None
    worker.restart(same_id=True)
    site.run_for(0.2)
    worker.silent = False
    site.run_for(20.0)
    assert any(start.late for start in site.history.starts)
    assert_no_duplicate_runs(site.history, crashes=True)
