"""A store that answers nobody is known before the calls to it have ended."""

import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.coordination.intake import ACCEPTED, REFUSED
from sequoiachute.state.job_records import JOB_TOPICS
from standins.control_site import ControlSite
from tests.control_checks import accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")

PHASES = [0.0, 0.05, 0.1, 0.15, 0.2, 0.25]
CALL_SECONDS = 1.0  # until a call without an answer ends
CALLER_SECONDS = 3.0
# An entry joins within 0.3 s, which is unanswered for 0.8 s then.
NOTICE_SECONDS = 1.15
DELAYS = [0.5, 1.0, 2.0]


def site_with_silence(phase=0.0):
    """Return a site whose calls to a store that is down end after a while."""
    site = ControlSite()
    for entry in site.entries:
        entry.store.silent_seconds = CALL_SECONDS
    site.run_for(phase)
    return site


def submit(site, entry, wait=CALLER_SECONDS):
    """Submit a job; return the outcome's kind and how long it took."""
    began = clock.now()
    outcome = site.submit(1.0, entry=entry, wait=wait)[1]
    return outcome, clock.now() - began


@pytest.mark.parametrize("entry", range(3))
@pytest.mark.parametrize("phase", PHASES)
def test_caller_of_a_silent_store_is_refused_at_once(phase, entry):
    """As 37845ac8ee65099d: sent 1.15 s into a silence, held for 3 s, «unknown»."""
    site = site_with_silence(phase)
    site.store.down = True
    site.run_for(NOTICE_SECONDS)
    outcome, took = submit(site, entry)
    assert (outcome.kind, outcome.appends) == (REFUSED, 0), outcome
    assert outcome.retry_after == 1.0
    assert took <= 0.1
    site.store.down = False
    site.run_for(8)
    assert not site.history.starts


@pytest.mark.parametrize("phase", PHASES)
def test_later_tries_are_refused_and_the_last_one_waits_for_the_return(phase):
    site = site_with_silence(phase)
    site.store.down = True
    site.run_for(NOTICE_SECONDS)
    assert submit(site, 1)[0].kind == REFUSED
    site.run_for(1.0)
    outcome, took = submit(site, 1, 2.0)
    assert outcome.kind == REFUSED
    assert took <= 0.1
    site.run_for(1.0)
    last = eventlet.spawn(site.submit, 1.0, entry=1, wait=0.9)
    site.run_for(0.4)
    assert not last.dead
    site.store.down = False
    site.run_for(0.3)
    assert last.wait()[1].kind == ACCEPTED


@pytest.mark.parametrize("phase", PHASES)
def test_last_try_soon_after_a_silence_began_is_served_on_the_return(phase):
    """No call has ended yet, so none has failed."""
    site = site_with_silence(phase)
    for entry in site.entries:
        entry.store.silent_seconds = 5.0
    site.store.down = True
    site.run_for(NOTICE_SECONDS)
    last = eventlet.spawn(site.submit, 1.0, entry=1, wait=0.9)
    site.run_for(0.4)
    site.store.down = False
    site.run_for(0.3)
    assert last.dead
    assert last.wait()[1].kind == ACCEPTED


@pytest.mark.parametrize("phase", PHASES)
def test_first_submission_after_the_return_is_accepted_at_once(phase):
    site = site_with_silence(phase)
    site.store.down = True
    site.run_for(NOTICE_SECONDS)
    assert submit(site, 1)[0].kind == REFUSED
    site.run_for(1.0)
    assert submit(site, 1, 0.5)[0].kind == REFUSED
    site.store.down = False
    site.run_for(0.35)  # a join
    outcome, took = submit(site, 1)
    assert outcome.kind == ACCEPTED
    assert took <= 0.1


@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("phase", PHASES)
def test_nobody_is_refused_by_a_store_that_is_slow(phase, delay):
    site = ControlSite()
    site.store.delay = delay
    site.run_for(2 * delay + phase)
    for _ in range(6):
        for entry in range(3):
            outcome = submit(site, entry)[0]
            assert outcome.kind == ACCEPTED, outcome
            site.run_for(0.37)


@pytest.mark.parametrize("fault", ["unresponsive", "rejecting"])
@pytest.mark.parametrize("phase", PHASES)
def test_entry_that_is_cut_off_from_the_store_serves_through_its_peers(phase, fault):
    site = site_with_silence(phase)
    lone = (site.placer() + 1) % 3
    setattr(site.entries[lone].store, fault, True)
    for _ in range(12):
        site.run_for(0.35)
        outcome = submit(site, lone)[0]
        assert outcome.kind == ACCEPTED, outcome


@pytest.mark.parametrize(
    "topics",
    [{"jobs"}, {"runs"}, set(JOB_TOPICS[1:]) | {"runs", "op"}],
    ids=["jobs", "runs", "all but one"],
)
@pytest.mark.parametrize("phase", PHASES)
def test_outage_of_topics_is_no_silence(phase, topics):
    site = site_with_silence(phase)
    site.store.down_topics = topics
    for _ in range(4):
        for entry in range(3):
            site.run_for(0.35)
            outcome = submit(site, entry)[0]
            assert outcome.kind == ACCEPTED, outcome


@pytest.mark.parametrize("phase", PHASES)
def test_process_that_was_frozen_does_not_take_its_store_for_silent(phase):
    site = site_with_silence(phase)
    other = (site.placer() + 1) % 3
    site.entries[other].process.frozen = True
    site.network.frozen.add(site.entries[other].address)
    site.run_for(5)
    site.entries[other].process.frozen = False
    site.network.frozen.clear()
    complete(site, [accepted(site, 1.0, entry=other)], 8)
