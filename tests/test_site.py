import pytest

from standins.site import Site, create_catalogue

pytestmark = pytest.mark.usefixtures("paused_clock")

ACCOUNT = {"owner": "Brocach", "job_class": "batch"}


def started_site(**options):
    site = Site(**options)
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(10)
    return site


def test_configuration_reaches_every_process_within_seconds():
    site = started_site(workers=6)
    site.switch("dc-2", in_service=False)
    site.run_for(2.5)
    for process in [*site.entries, *site.agents]:
        assert process.configuration.out_of_service == {"dc-2"}


def test_gang_finishes():
    site = started_site(workers=9)
    site.submit("job-1", tasks=2, accelerators=8, run_seconds=5)
    site.run_for(15)
    assert site.entries[0].jobs.get("job-1").state == "finished"


def test_one_entry_at_a_time_holds_the_placer_lease():
    site = started_site()
    for _ in range(100):
        assert sum(entry.placer.holds_lease for entry in site.entries) <= 1
        site.run_for(0.1)


def test_first_of_two_racing_catalogues_wins():
    site = started_site()
    base = site.entries[0].configuration.catalogue_offset
    site.publish(create_catalogue(first=ACCOUNT), base)
    site.publish(create_catalogue(second=ACCOUNT), base)
    site.run_for(3)
    for entry in site.entries:
        assert list(entry.configuration.catalogue["accounts"]) == ["first"]
