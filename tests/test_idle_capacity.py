"""Work does not wait beside idle workers."""

import pytest

from standins.control_site import ControlSite
from tests.control_checks import accepted

pytestmark = pytest.mark.usefixtures("paused_clock")

MAX_IDLE_START_SECONDS = 3.0  # where work fits twice over in a half idle service


def test_same_rack_gang_starts_though_no_rack_holds_it():
    site = ControlSite(workers=5, gpus=8)
    for number, worker in enumerate(site.workers):
        worker.rack = f"rack-{number}"
    site.run_for(1)
    gang = accepted(site, 2.0, count=12, gang=True, same_rack=True)
    site.run_for(MAX_IDLE_START_SECONDS)
    started = {start.task for start in site.history.starts}
    assert len(started) == 12, f"{len(started)} tasks of {gang} started"
