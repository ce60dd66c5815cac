"""Runs of workers that have left, which may get another life under the same id."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import Session
from sequoiachute.protocol.supervision import Report, WorkerInfo
from sequoiachute.protocol.workload import Lifetime, Resources, TaskId
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS
from standins.control_site import ControlSite
from tests.control_checks import accepted
from tests.loss_checks import (
    RESTART_SECONDS,
)
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


def starts_elsewhere(site, index, since):
    """Return when tasks have started on other workers since a time, by task."""
    others = [w.lifetime for i, w in enumerate(site.workers) if i != index]
    found = {}
    for start in site.history.starts:
        if start.at >= since and start.lifetime in others:
            found[start.task] = start.at
    return found


def test_late_start_of_one_run_delays_no_other_run_of_a_worker_that_has_left():
    # All runs of the worker waited until the last late start could not come any more.
    site, job, index, sent_at = start_with_doubt(2.0)
    lost = set(site.workers[index].running)
    assert len(lost) > 1
    left_at = clock.now() + 1.0
    leave(site, index)
    site.run_for(RESTART_SECONDS)
    restarted = starts_elsewhere(site, index, left_at)
    assert restarted.keys() == lost - {f"{job}.0.0.0"}
    site.run_for(sent_at + MAX_CALL_DELAY_SECONDS - clock.now() - 0.1)
    assert f"{job}.0.0.0" not in starts_elsewhere(site, index, left_at)
    site.run_for(RESTART_SECONDS)
    assert f"{job}.0.0.0" in starts_elsewhere(site, index, left_at)
    assert_no_duplicate_runs(site.history, crashes=True)


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


def test_life_is_withheld_from_an_entry_that_gives_up_late_starts_with_it():
    site, _, index, sent_at = start_with_doubt(2.0)
    lifetime = site.workers[index].lifetime
    supervisor = site.agents[index].supervisor
    leave(site, index)
    site.run_for(0.5)
    report = supervisor._create_report(0.0)
    assert (report.departed_lifetime, report.ended_lifetime) == (lifetime, None)
    site.run_for(sent_at + MAX_CALL_DELAY_SECONDS - clock.now() + 0.5)
    assert supervisor._create_report(0.0).ended_lifetime == lifetime


def test_departure_reported_by_an_agent_of_an_earlier_version_is_known():
    session, lifetime = Session("host"), Lifetime("w", 1)
    info = WorkerInfo(lifetime, "render", "muc-1", "rack-1", (), Resources())
    session.apply_report(Report("host", "agent", 1, info, None, 1, 1000), 1)
    session.apply_report(Report("host", "agent", 2, None, lifetime, 1, 0), 1)
    assert session.left_lifetime == lifetime
    assert not session.may_start_late(TaskId("j", 0, 0, 0), 1)
