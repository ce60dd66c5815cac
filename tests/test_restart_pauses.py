"""Pauses before services whose runs end soon after they begin are started again."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.restart_pauses import MAX_PAUSE_SECONDS
from standins.control_site import ControlSite
from tests.lasting_checks import (
    GANG,
    MAX_ABSENCE_SECONDS,
    OUTCOMES,
    RESTART_SECONDS,
    SERVICE,
    end_at_once,
    end_runs,
    start_service,
    starts_of,
    tasks_of,
)

pytestmark = pytest.mark.usefixtures("paused_clock")


@pytest.mark.parametrize("step", [SERVICE, GANG])
@pytest.mark.parametrize("outcome", OUTCOMES[1:])
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


def test_service_that_has_worked_for_long_starts_again_without_a_pause():
    # Guards against pauses that an end long ago has left.
    site = ControlSite()
    job = start_service(site)
    first = tasks_of(job)[0]
    for _ in range(3):
        site.run_for(30.0)
        ended_at = clock.now()
        end_runs(site, [first], "done")
        site.run_for(RESTART_SECONDS)
        assert starts_of(site, first)[-1].at - ended_at <= 0.5
