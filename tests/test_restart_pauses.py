"""Pauses before services whose runs end soon after they begin are started again."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.restart_pauses import (
    MAX_PAUSE_SECONDS,
    MIN_PAUSE_SECONDS,
    RestartPauses,
)
from sequoiachute.protocol.workload import TaskId
from standins.control_site import ControlSite
from tests.lasting_checks import (
    GANG,
    MAX_ABSENCE_SECONDS,
    OUTCOMES,
    SERVICE,
    end_at_once,
    end_runs,
    start_service,
    starts_of,
    tasks_of,
)
from tests.loss_checks import RESTART_SECONDS

pytestmark = pytest.mark.usefixtures("paused_clock")


@pytest.mark.parametrize("step", [SERVICE, GANG])
@pytest.mark.parametrize("outcome", OUTCOMES)
def test_service_whose_runs_end_at_once_is_started_with_pauses(outcome, step):
    # Guards against a service that is started as fast as it ends.
    site = ControlSite()
    job = end_at_once(site, outcome, step, 40.0)
    for task in tasks_of(job):
        began = [start.at for start in starts_of(site, task)]
        gaps = [later - at for at, later in zip(began, began[1:], strict=False)]
        assert len(gaps) > 6
        assert all(gap >= MAX_PAUSE_SECONDS for gap in gaps[6:]), gaps
        assert all(gap <= MAX_ABSENCE_SECONDS for gap in gaps), gaps


def test_service_that_has_worked_for_long_starts_again_soon():
    # Guards against pauses that an end long ago has left.
    site = ControlSite()
    job = start_service(site)
    first = tasks_of(job)[0]
    for _ in range(3):
        site.run_for(30.0)
        ended_at = clock.now()
        end_runs(site, [first], "done")
        site.run_for(MAX_PAUSE_SECONDS)
        assert starts_of(site, first)[-1].at - ended_at <= RESTART_SECONDS


def test_end_that_is_reported_again_begins_no_pause():
    # Guards against a task kept away for as long as its end is listed.
    pauses, task = RestartPauses(), TaskId("a" * 16, 0, 0, 0)
    assert pauses.record_end(task, 1, 0.0, 10.0) == MIN_PAUSE_SECONDS
    assert pauses.record_end(task, 1, 0.0, 10.1) == 0.0
    assert pauses.is_paused(task, 10.0 + 0.9 * MIN_PAUSE_SECONDS)
    assert not pauses.is_paused(task, 10.0 + MIN_PAUSE_SECONDS)


def test_pauses_of_ended_jobs_are_forgotten():
    # Guards against memory that grows with the jobs of the past.
    pauses, task = RestartPauses(), TaskId("a" * 16, 0, 0, 0)
    pauses.record_end(task, 1, 0.0, 10.0)
    pauses.forget_ended_jobs(set())
    assert not pauses.is_paused(task, 10.0)
