import pytest

from sequoiachute.protocol.workload import COMPLETE
from sequoiachute.state.job_records import JOB_TOPICS
from sequoiachute.state.ledger import RUNS
from standins.control_site import ControlSite
from tests.control_checks import accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")


def test_restored_zone_takes_work_although_the_history_is_lost():
    # Guards against a zone that stays closed since the newest records have a lower
    # highest offset than the ones read before.
    site = ControlSite(workers=2)
    site.workers[0].zone = "muc-2"
    site.store.publish("evacuate/muc-1", b"{}")
    site.store.publish("evacuate/muc-2", b"{}")
    site.run_for(1)
    for zone in ("muc-1", "muc-2"):
        site.store.publish(f"evacuate/{zone}", None)
    site.store.discard_history("op")
    site.run_for(1)
    job = accepted(site, 0.5, count=8)
    complete(site, [job], 6)
    assert len({start.worker_id for start in site.history.starts}) == 2


def test_newer_records_take_effect_after_a_snapshot():
    # Guards against records dropped as old after a snapshot of lower offsets.
    site = ControlSite(workers=1)
    site.store.publish("evacuate/muc-1", b"{}")
    site.run_for(1)
    site.store.publish("evacuate/muc-1", None)
    site.store.discard_history("op")
    site.run_for(1)
    site.store.publish("evacuate/muc-1", b"{}")
    site.run_for(0.2)
    operations = [entry.control.operations for entry in site.entries]
    assert all(known.closed_zones == {"muc-1"} for known in operations)


def test_jobs_dropped_in_a_lost_history_are_dropped_here_too():
    # Guards against an entry that keeps what a snapshot does not hold any more.
    site = ControlSite(workers=1)
    job = accepted(site, 0.5)
    complete(site, [job], 3)
    frozen = (site.placer() + 1) % 3
    site.entries[frozen].process.frozen = True
    site.run_for(1.0)
    site.store.put("jobs", [(f"job/{job}", None)])
    site.store.put(RUNS, [(job, None)])
    for topic in (*JOB_TOPICS, RUNS):
        site.store.discard_history(topic)
    site.run_for(1.0)
    site.entries[frozen].process.frozen = False
    site.run_for(5.0)
    ledger = site.entries[frozen].control.ledger
    assert ledger.job(job) is None
    assert not ledger.progress(job).state


def test_snapshot_keeps_what_is_stored_and_what_is_newer():
    # Guards against a snapshot that drops jobs accepted while it is read.
    site = ControlSite(workers=1)
    jobs = [accepted(site, 0.5, entry=number) for number in range(3)]
    for topic in (*JOB_TOPICS, RUNS):
        site.store.discard_history(topic)
    jobs += [accepted(site, 0.5, entry=number) for number in range(3)]
    complete(site, jobs, 6)
    assert {site.state(job, n) for job in jobs for n in range(3)} == {COMPLETE}
