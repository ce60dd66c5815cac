import pytest

from sequoiachute import clock
from sequoiachute.coordination.intake import ACCEPTED
from standins.control_site import ControlSite
from tests.control_checks import accepted, complete, cut_links

pytestmark = pytest.mark.usefixtures("paused_clock")

# One failed read, directly and relayed (0.8 s), and the next turns of probes. A load
# balancer that probes each second then misses twice within 3.3 s.
NOTICE_SECONDS = 1.3


def cut_off(site, index):
    """Cut an entry off from the store and from its peers, both ways."""
    cut_links(site, index)
    site.entries[index].store.rejecting = True


def seconds_until_unready(site, index):
    began = clock.now()
    while site.entries[index].control.is_ready and clock.now() < began + 5:
        site.run_for(0.05)
    return round(clock.now() - began, 2)


@pytest.mark.parametrize("phase", [0.0, 0.4, 0.8, 1.2, 1.6])
def test_entry_that_is_cut_off_turns_unready_while_no_job_comes(phase):
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    site.run_for(phase)
    cut_off(site, lone)
    assert seconds_until_unready(site, lone) <= NOTICE_SECONDS


def test_entry_whose_other_topic_shows_the_cut_does_not_wait_for_the_jobs_topics():
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    running = accepted(site, 1.0, entry=site.placer())
    site.run_for(0.5)  # the long polls of jobs have begun, at different times
    cut_off(site, lone)
    # The end of the run is recorded in the runs' topic 0.5 s after the cut.
    assert seconds_until_unready(site, lone) <= 0.5 + NOTICE_SECONDS
    complete(site, [running], 3)


TRIES = (1.01, 2.09, 2.88)  # of scale-1, seed 81237: seconds after the cut
BALANCER_PHASE = 0.17


@pytest.mark.parametrize("phase", [0.0, 0.4, 0.8, 1.2, 1.6])
def test_third_try_of_a_caller_is_not_sent_to_an_entry_that_is_cut_off(phase):
    """A load balancer probes each second; after two misses it sends callers elsewhere.

    The caller returns while the balancer sends it there; other entries are sound.
    """
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    other = (lone + 1) % 3
    site.run_for(phase)
    cut_off(site, lone)
    began = clock.now()
    probes = [(BALANCER_PHASE + n, False) for n in range(3)]
    moments = sorted([(at, True) for at in TRIES] + probes)
    misses, outcomes, job = 0, [], ""
    for at, is_try in moments:
        site.run_for(max(0.0, began + at - clock.now()))
        if not is_try:
            misses = 0 if site.entries[lone].control.is_ready else misses + 1
            continue
        entry = lone if misses < 2 else other
        left = began + TRIES[0] + 3.0 - clock.now()
        job, outcome = site.submit(1.0, entry=entry, wait=left, job_id=job)
        outcomes.append((entry == lone, outcome.kind))
    assert outcomes[-1] == (False, ACCEPTED), outcomes
    complete(site, [job], 5)


@pytest.mark.parametrize("phase", [0.0, 0.4, 0.8, 1.2, 1.6])
def test_entries_that_are_cut_off_together_turn_unready(phase):
    site = ControlSite(entries=4)
    first = (site.placer() + 1) % 4
    pair = (first, (first + 1) % 4)
    site.run_for(phase)
    addresses = {site.entries[index].address for index in pair}
    for inside in addresses:
        for entry in site.entries:
            if entry.address not in addresses:
                links = {(inside, entry.address), (entry.address, inside)}
                site.network.cut.update(links)
    for index in pair:
        site.entries[index].store.rejecting = True
    for index in pair:
        assert seconds_until_unready(site, index) <= NOTICE_SECONDS
    others = [site.entries[index] for index in range(4) if index not in pair]
    assert all(entry.control.is_ready for entry in others)
