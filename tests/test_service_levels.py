import pytest

from sequoiachute.state.service_levels import merge_counts, merge_fleet_use
from standins.site import Site, create_catalogue

pytestmark = pytest.mark.usefixtures("paused_clock")

ACCOUNT = {
    "owner": "Brocach",
    "job_class": "batch",
    "guarantees": [{"accelerators": 8, "within": "worker"}],
}
FLUSH_WAIT_SECONDS = 70.0  # two flush intervals and a margin


def started_site(**options):
    site = Site(**options)
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(10)
    return site


def counts_by_objective(entry):
    return {c["objective"]: c for c in merge_counts(entry.service_levels.periods)}


def test_every_entry_reports_the_same_counts_even_after_a_restart():
    site = started_site()
    site.submit("short", run_seconds=5)
    site.submit("long", run_seconds=65)
    site.run_for(65 + FLUSH_WAIT_SECONDS)
    for entry in [*site.entries, site.start_entry(0)]:
        site.run_for(1)
        completion = counts_by_objective(entry)["completion"]
        assert (completion["good"], completion["bad"]) == (1, 1)
        assert completion["causes"] == {"run-time": 1}


def test_covered_job_that_starts_in_time_counts_as_good():
    site = started_site()
    site.submit("job", accelerators=8, within="worker", run_seconds=5)
    site.run_for(FLUSH_WAIT_SECONDS)
    assert counts_by_objective(site.entries[0])["guarantee"]["good"] == 1


def test_wait_for_a_drained_data_centre_is_attributed_to_the_drain():
    site = started_site(workers=3)
    site.switch("dc-1", in_service=False)
    site.switch("dc-2", in_service=False)
    site.run_for(5)
    for index in range(2):
        site.submit(f"job-{index}", accelerators=8, within="worker", run_seconds=40)
    site.run_for(85 + FLUSH_WAIT_SECONDS)
    completion = counts_by_objective(site.entries[1])["completion"]
    assert (completion["good"], completion["bad"]) == (1, 1)
    assert completion["causes"] == {"drain": 1}
    work = {tuple(use["out"]): use for use in fleet_use(site)}
    assert work[("dc-1", "dc-2")]["work"]["dc-3"] == pytest.approx(640, rel=0.1)


def fleet_use(site):
    return merge_fleet_use(site.entries[0].service_levels.periods)


def test_service_levels_survive_a_log_outage():
    site = started_site()
    site.submit("job", run_seconds=5)
    site.run_for(12)
    assert site.entries[0].jobs.get("job").state == "finished"
    site.log.down = True
    site.run_for(120)
    site.log.down = False
    site.run_for(120)
    for objective in ("completion", "guarantee"):
        count = counts_by_objective(site.entries[0])[objective]
        assert (count["good"], count["bad"]) == (1, 0)


def test_counted_ends_are_dropped_on_every_entry():
    site = started_site()
    for index in range(5):
        site.submit(f"job-{index}", run_seconds=1)
    site.run_for(5 + FLUSH_WAIT_SECONDS)
    for entry in site.entries:
        assert counts_by_objective(entry)["completion"]["good"] == 5
        assert entry.recorder.uncounted_ends == 0
