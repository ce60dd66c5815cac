"""Workers that look idle because they do not work."""

import pytest

from standins.control_site import URGENT, ControlSite
from tests.control_checks import accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")


def test_worker_that_refuses_starts_does_not_get_every_job():
    site = ControlSite(workers=3, gpus=4)
    complete(site, [accepted(site, 0.5, count=12)], 4)
    for worker in site.workers:
        worker.refuses_starts = worker is site.workers[0]
    for _ in range(3):
        complete(site, [accepted(site, 0.5, queue=URGENT)], 1.5)
    assert site.workers[0].refused_starts <= 4


def test_nothing_is_placed_on_a_worker_that_no_longer_answers_its_agent():
    site = ControlSite(workers=3, gpus=4)
    silent = site.workers[0]
    silent.silent = True
    site.run_for(2.5)
    jobs = [accepted(site, 0.5, queue=URGENT) for _ in range(6)]
    complete(site, jobs, 2)
    started = {start.worker_id for start in site.history.starts}
    assert silent.lifetime.worker_id not in started


def test_silent_worker_gets_work_again_once_it_answers():
    site = ControlSite(workers=1, gpus=4)
    site.workers[0].silent = True
    site.run_for(4)
    site.workers[0].silent = False
    complete(site, [accepted(site, 0.5)], 4)
