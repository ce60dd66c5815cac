import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.coordination.intake import (
    ACCEPTED,
    MAX_WAITING_SUBMISSIONS,
    REFUSED,
    REPLY_MARGIN_SECONDS,
    UNKNOWN,
)
from sequoiachute.platform.jobs import JobsApp
from sequoiachute.protocol.workload import COMPLETE
from sequoiachute.state.ledger import RUNS
from standins.control_site import URGENT, ControlSite, Entry
from tests.control_checks import (
    TAKEOVER_SECONDS,
    accepted,
    complete,
    cut_links,
    submission_environ,
)

pytestmark = pytest.mark.usefixtures("paused_clock")

CALLER_DELAY_SECONDS = 0.006  # there and back, between a caller and an entry
BUSY_ANSWER_SECONDS = 0.03  # until a busy store rejects a call
NOTICE_SECONDS = 0.5  # of the store's return, a fraction of a caller's 3 s


@pytest.mark.parametrize("seconds", [5.0, 5.05, 5.1, 5.15])
def test_submission_after_an_outage_is_not_refused_until_the_next_record(seconds):
    site = ControlSite()
    site.store.pauses_memberships = True
    site.store.down = True
    site.run_for(seconds)
    site.store.down = False
    site.run_for(NOTICE_SECONDS)
    assert all(entry.control.is_ready for entry in site.entries)
    complete(site, [accepted(site, 1.0, entry=entry) for entry in range(3)], 4)


def submit_during(site, outage, entry=0, seconds=0.4):
    """Submit with 1 s left and end the outage after ``seconds``."""
    submission = eventlet.spawn(site.submit, 1.0, entry=entry, wait=1.0)
    site.run_for(seconds)
    outage(False)
    return submission.wait()[1]


@pytest.mark.parametrize("seconds", [0.4, 0.6, 0.7])
@pytest.mark.parametrize("known", [False, True])
def test_last_try_of_a_caller_is_not_refused_before_the_store_returns(known, seconds):
    site = ControlSite()

    def outage(down):
        for entry in site.entries:
            entry.store.rejecting = down

    outage(True)
    site.run_for(5 if known else 0.05)
    outcome = submit_during(site, outage, (site.placer() + 1) % 3, seconds)
    assert outcome.kind == ACCEPTED, outcome
    site.run_for(TAKEOVER_SECONDS)
    assert len(site.history.starts) == 1


@pytest.mark.parametrize("seconds", [2.0, 2.1, 2.2, 2.3, 2.4])
def test_unanswered_submission_is_settled_soon_after_the_store_returns(seconds):
    site = ControlSite()
    site.store.down = True
    submission = eventlet.spawn(site.submit, 1.0, wait=3.0)
    site.run_for(seconds)
    site.store.down = False
    site.run_for(NOTICE_SECONDS)
    assert submission.dead
    assert submission.wait()[1].kind == ACCEPTED


@pytest.mark.parametrize("phase", [0.05 * n for n in range(20)])
def test_unanswered_submission_is_stored_within_a_tenth_of_a_second_of_the_return(
    phase,
):
    """As 957166186fb81a58 of adwoa-pads: 504 given 26 ms after the store's return."""
    site = ControlSite()
    for entry in site.entries:
        entry.store.silent_seconds = 1.0
    site.run_for(phase)
    site.store.down = True
    submission = eventlet.spawn(site.submit, 1.0, entry=1, wait=3.0)
    site.run_for(2.87)
    site.store.down = False
    site.run_for(0.1)
    assert submission.dead
    assert submission.wait()[1].kind == ACCEPTED


@pytest.mark.parametrize("phase", [0.2, 0.4, 0.7])
@pytest.mark.parametrize("peer", [1, 2])
def test_placer_learns_of_jobs_though_the_peer_that_it_read_through_loses_power(
    peer, phase
):
    """As 1bc56592c6b0dbbc of schaumwerk trouble-3, seed 90304: placed 2.3 s later."""
    site = ControlSite()
    placer = site.placer()
    set_busy(site, True)
    site.run_for(4.2)
    set_busy(site, False)
    site.run_for(phase)
    lost = site.entries[(placer + peer) % 3]
    site.network.frozen.add(lost.address)
    lost.process.frozen = True
    accepted(site, 1.0, entry=(placer + 3 - peer) % 3, queue=URGENT)
    site.run_for(1.0)
    assert site.placer() == placer
    assert len(site.history.starts) == 1


def set_busy(site, busy):
    """Let the store reject all calls; memberships of the group don't expire."""
    site.store.pauses_memberships = True
    site.store.down = busy
    for entry in site.entries:
        entry.store.silent_seconds = BUSY_ANSWER_SECONDS
        entry.store.rejecting = busy


@pytest.mark.parametrize("rejecting", [False, True])
def test_callers_that_wait_for_the_store_cause_few_calls(rejecting):
    site = ControlSite()
    for entry in site.entries:
        entry.store.silent_seconds = 1.0
        entry.store.rejecting = rejecting
    site.store.down = not rejecting
    site.run_for(5)
    before = site.store.group_reads
    for _ in range(MAX_WAITING_SUBMISSIONS):
        eventlet.spawn(site.submit, 1.0, wait=1.0)
    site.run_for(1.0)
    # A tenth of the 2,000 reads a second that are allowed, for ten entries.
    assert site.store.group_reads - before <= 20


def test_caller_learns_while_it_can_ask_another_entry_that_the_effect_is_unknown():
    site = ControlSite()
    entry = (site.placer() + 1) % 3
    site.entries[entry].store.unresponsive = True
    for other in {0, 1, 2} - {entry}:
        pair = (site.entries[entry].address, site.entries[other].address)
        site.network.cut.update((pair, pair[::-1]))
    began = clock.now()
    job, outcome = site.submit(1.0, entry=entry, wait=3.0)
    assert outcome.kind == UNKNOWN
    assert clock.now() <= began + 1.6
    assert accepted(site, 1.0, entry=(entry + 1) % 3, job_id=job)
    complete(site, [job], 5)


@pytest.mark.parametrize("delay", [0.5, 0.9])
def test_submission_waits_for_a_slow_store(delay):
    site = ControlSite()
    site.store.delay = delay
    began = clock.now()
    job = accepted(site, 1.0)
    assert clock.now() < began + delay + 0.1
    complete(site, [job], 12)


@pytest.mark.parametrize("delay", [0.5, 0.9, 1.5])
def test_placer_records_its_decisions_in_a_slow_store(delay):
    site = ControlSite()
    site.store.delay = delay
    jobs = []
    for count in (1, 2):
        jobs.append(accepted(site, 1.0))
        site.run_for(8 * delay)
        assert len(site.history.starts) == count
    site.store.delay = 0.004
    complete(site, jobs, 6)


def test_submission_is_stored_in_another_topic_while_one_is_down():
    site = ControlSite()
    site.store.down_topics = {"jobs"}
    for known in (False, True):
        began = clock.now()
        job = accepted(site, 1.0, entry=1)
        assert clock.now() < began + (0.1 if known else 0.5)
        site.run_for(3)
        assert site.state(job, 2) == COMPLETE
        assert all(entry.control.is_ready for entry in site.entries)
    site.store.down_topics = set()
    complete(site, [accepted(site, 1.0)], 3)


def test_entry_that_starts_while_a_topic_of_jobs_is_down_denies_no_job():
    site = ControlSite()
    job = accepted(site, 4.0)
    site.run_for(1)
    site.store.down_topics = {"jobs"}
    site.kill_entry(1)
    site.restart_entry(1)
    site.run_for(0.5)
    outcome = site.entries[1].control.intake.state(job, "brocach")[0]
    assert outcome.kind == REFUSED
    complete(site, [accepted(site, 1.0, entry=1)], 3)
    site.store.down_topics = set()
    complete(site, [job], 5)


def test_workers_that_run_unknown_jobs_get_no_more_work():
    site = ControlSite(workers=1)
    job = accepted(site, 30.0, count=4)
    site.run_for(1)
    site.store.down_topics = {"jobs"}
    for entry in range(3):
        site.kill_entry(entry)
        site.restart_entry(entry)
    site.run_for(1)
    later = accepted(site, 1.0)
    site.run_for(3)
    assert len(site.history.starts) == 4
    site.store.down_topics = set()
    complete(site, [job, later], 40)


def test_ends_of_runs_survive_an_outage_of_the_placers_topic():
    site = ControlSite()
    job = accepted(site, 2.0, count=4)
    site.run_for(1)
    site.store.down_topics = {"runs"}
    site.run_for(2)
    assert [site.state(job, entry) for entry in range(3)] == [COMPLETE] * 3
    for entry in range(3):
        site.kill_entry(entry)
        site.restart_entry(entry)
    for worker in site.workers:
        worker.restart()
    site.store.down_topics = set()
    complete(site, [job, accepted(site, 1.0)], 8)
    assert len(site.history.starts) == 5


@pytest.mark.parametrize("known_seconds", [0.0, 5.0])
def test_entries_make_few_calls_while_the_store_is_down(known_seconds):
    site = ControlSite()
    site.store.down = True
    site.run_for(3)
    site.run_for(known_seconds)
    before = site.store.reads
    site.run_for(5)
    # 14 entries may make a tenth of the 2,000 reads a second that are allowed.
    assert (site.store.reads - before) / 5 / len(site.entries) < 200 / 14
    site.store.down = False
    site.run_for(0.3)
    assert all(entry.control.is_ready for entry in site.entries)


def test_submission_that_waits_in_vain_is_refused_in_time_and_never_runs():
    site = ControlSite()
    site.store.down = True
    site.run_for(5)
    began = clock.now()
    outcome = site.submit(1.0, wait=1.0)[1]
    assert (outcome.kind, outcome.retry_after) == (REFUSED, 1.0)
    assert clock.now() <= began + 1.0 - REPLY_MARGIN_SECONDS
    site.store.down = False
    site.run_for(8)
    assert not site.history.starts


def test_caller_that_has_time_to_come_back_is_refused_at_once_in_an_outage():
    site = ControlSite()
    site.store.down = True
    site.run_for(5)
    began = clock.now()
    assert site.submit(1.0, wait=1.5)[1].kind == REFUSED
    assert clock.now() == began


def test_entry_that_reaches_no_peer_does_not_hold_submissions():
    site = ControlSite()
    other = (site.placer() + 1) % 3
    address = site.entries[other].address
    for peer in {entry.address for entry in site.entries} - {address}:
        site.network.cut.update({(address, peer), (peer, address)})
    site.entries[other].store.rejecting = True
    site.run_for(5)
    began = clock.now()
    assert site.submit(1.0, entry=other, wait=1.0)[1].kind == REFUSED
    assert clock.now() == began


def test_refusal_says_for_how_long_the_store_has_answered_nobody(lines):
    """Else a caller whose whole time lies in an outage looks like one refused early."""
    site = ControlSite()
    for entry in site.entries:
        entry.store.rejecting = True
    site.run_for(5)
    site.submit(1.0, wait=1.0)
    fields = [fields for message, fields in lines if message == "job submitted"][-1]
    assert 5.0 < fields["unanswered"] < 6.0


def test_waiting_submissions_are_bounded():
    site = ControlSite()
    site.store.down = True
    site.run_for(5)
    for _ in range(MAX_WAITING_SUBMISSIONS):
        eventlet.spawn(site.submit, 1.0, wait=1.0)
    site.run_for(0.1)
    began = clock.now()
    assert site.submit(1.0, wait=1.0)[1].kind == REFUSED
    assert clock.now() == began


def post_job(site, entry):
    """Post a job over HTTP; return the status and whether Retry-After was sent."""
    started = []
    app = JobsApp(site.entries[entry].control)
    environ = submission_environ()
    app(environ, lambda status, headers: started.append((status, dict(headers))))
    status, headers = started[0]
    return int(status[:3]), "Retry-After" in headers


def test_request_to_an_entry_that_has_just_started_is_served():
    site = ControlSite()
    site.kill_entry(0)
    site.restart_entry(0)
    assert post_job(site, 0) == (200, False)


def test_request_to_an_entry_that_cannot_start_is_refused_soon():
    site = ControlSite()
    site.store.down = True
    site.kill_entry(0)
    site.restart_entry(0)
    began = clock.now()
    assert post_job(site, 0) == (503, True)
    assert clock.now() <= began + NOTICE_SECONDS


@pytest.mark.parametrize("served", range(3))
def test_peer_that_the_store_refuses_does_not_hide_one_that_it_serves(served):
    site = ControlSite()
    refused = [index for index in range(3) if index != served]
    for index in refused:
        site.entries[index].store.rejecting = True
    site.run_for(5)
    jobs = [accepted(site, 0.5, entry=index) for index in refused]
    assert all(site.entries[index].control.is_ready for index in refused)
    complete(site, jobs, 4)


def test_peer_that_the_store_refuses_does_not_replace_a_direct_call():
    site = ControlSite()
    placer = site.placer()
    lone, *refused = sorted(range(3), key=lambda index: index == placer)
    site.entries[lone].store.rejecting = True
    site.run_for(0.5)
    site.entries[lone].store.rejecting = False
    for index in refused:
        site.entries[index].store.rejecting = True
    site.run_for(0.02)
    accepted(site, 0.5, entry=lone)


def test_submission_stored_by_a_peer_whose_reply_is_lost_is_not_refused():
    site = ControlSite()
    other = (site.placer() + 1) % 3
    address = site.entries[other].address
    for entry in site.entries:
        site.network.lose_replies.add((address, entry.address))
    site.entries[other].store.rejecting = True
    job, outcome = site.submit(1.0, entry=other)
    site.run_for(5)
    assert len(site.history.starts) == 1
    assert outcome.kind == UNKNOWN, outcome


def test_entry_that_is_gone_does_not_make_refused_submissions_unknown():
    site = ControlSite()
    gone = (site.placer() + 1) % 3
    site.entries[gone].process.frozen = True
    site.network.frozen.add(site.entries[gone].address)
    site.run_for(6)
    rest = [index for index in range(3) if index != gone]
    for index in rest:
        site.entries[index].store.rejecting = True
    for index in rest:
        outcome = site.submit(1.0, entry=index)[1]
        assert outcome.kind == REFUSED, outcome


def test_seeds_are_asked_while_no_member_of_the_group_answers():
    site = ControlSite()
    site.seeds = (*site.seeds, "10.0.0.8:7000")
    lone = (site.placer() + 1) % 3
    site.kill_entry(lone)
    site.restart_entry(lone)
    site.run_for(3)
    site.entries[lone].store.rejecting = True
    for index in {0, 1, 2} - {lone}:
        site.kill_entry(index)
    site.entries.append(Entry(site, 8))
    site.run_for(4)
    complete(site, [accepted(site, 0.5, entry=lone)], 6)


def cut_off(site, index):
    """Cut an entry off from the store and from its peers."""
    site.entries[index].store.unresponsive = True
    cut_links(site, index)


@pytest.mark.parametrize("phase", [0.0, 0.1, 0.2, 0.3, 0.9, 1.7])
def test_entry_that_is_cut_off_leaves_the_rotation_before_any_job_needs_the_store(
    phase,
):
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    site.run_for(phase)
    cut_off(site, lone)
    site.run_for(1.0)
    ready = [entry.control.is_ready for entry in site.entries]
    assert ready == [index != lone for index in range(3)]


@pytest.mark.parametrize("phase", [0.0, 0.1, 0.2, 0.3])
def test_entry_whose_calls_get_no_answer_leaves_the_rotation_before_they_end(phase):
    """As 32fbe54c423d2ee6: cut off at 25.2 s, known to its entry 1.7 s later."""
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    site.entries[lone].store.silent_seconds = 1.0
    site.run_for(phase)
    cut_off(site, lone)
    site.run_for(1.2)
    ready = [entry.control.is_ready for entry in site.entries]
    assert ready == [index != lone for index in range(3)]


@pytest.mark.parametrize("delay", [0.4, 0.6, 0.9])
def test_entries_of_a_slow_store_are_not_taken_for_cut_off(delay):
    site = ControlSite()
    site.store.delay = delay
    for _ in range(40):
        site.run_for(0.1)
        assert not any(entry.control.store.is_cut_off for entry in site.entries)


def test_entry_that_the_store_rejects_stays_in_rotation_while_a_peer_answers():
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    site.entries[lone].store.rejecting = True
    for _ in range(20):
        site.run_for(0.1)
        assert site.entries[lone].control.is_ready
    complete(site, [accepted(site, 0.5, entry=lone)], 4)


def test_entry_that_was_cut_off_is_ready_soon_after_it_reaches_the_store():
    site = ControlSite()
    lone = (site.placer() + 1) % 3
    cut_off(site, lone)
    site.run_for(5.0)
    site.entries[lone].store.unresponsive = False
    site.run_for(NOTICE_SECONDS)
    assert site.entries[lone].control.is_ready
    complete(site, [accepted(site, 0.5, entry=lone)], 4)


@pytest.mark.parametrize("entry", range(3))
def test_store_that_was_slow_is_not_refused_for_its_past(entry):
    site = ControlSite()
    site.store.delay = 2.0
    site.submit(1.0, entry=entry, wait=6.0)
    site.store.delay = 0.004
    site.run_for(2.0)  # the last slow answers come
    site.run_for(1.3)
    for wait in (2.0, 0.3):
        began = clock.now()
        accepted(site, 0.5, entry=entry, wait=wait)
        assert clock.now() < began + 0.1


def test_entries_are_in_touch_while_only_the_store_is_silent():
    site = ControlSite()
    for entry in site.entries:
        entry.store.unresponsive = True
        entry.store.silent_seconds = 1.0
    for _ in range(30):
        site.run_for(0.1)
        assert not any(entry.control.store.is_isolated for entry in site.entries)


@pytest.mark.parametrize("phase", [0.0, 0.05, 0.1, 0.15, 0.2])
def test_last_try_asks_a_store_that_has_just_returned(phase):
    """As 27d94e3a of trouble-3, seed 91006: refused 0.11 s after the store's return."""
    site = ControlSite()
    for entry in site.entries:
        entry.store.rejecting = True
    site.run_for(5 + phase)
    submission = eventlet.spawn(site.submit, 1.0, entry=1, wait=0.645)
    site.run_for(0.525)
    for entry in site.entries:
        entry.store.rejecting = False
    site.run_for(0.12)
    assert submission.wait()[1].kind == ACCEPTED


@pytest.mark.parametrize("phase", [0.01 * n for n in range(8)])
@pytest.mark.parametrize("other_wait", [None, 0.9])
def test_last_try_is_stored_if_the_store_returns_shortly_before_its_time_ends(
    phase, other_wait
):
    """As 6572abb7a636ca27 of trouble-3, seed 90610: refused 17 ms before the return."""
    site = ControlSite()
    set_busy(site, True)
    site.run_for(5 + phase)
    if other_wait is not None:
        eventlet.spawn(site.submit, 1.0, entry=1, wait=other_wait)
    submission = eventlet.spawn(site.submit, 1.0, entry=1, wait=0.49)
    site.run_for(0.445)
    set_busy(site, False)
    site.run_for(0.045 - CALLER_DELAY_SECONDS)
    assert submission.dead
    assert submission.wait()[1].kind == ACCEPTED


def test_append_whose_answer_can_still_be_given_is_not_answered_as_unknown():
    """The store had the job, its caller was told 4 ms too early that nobody knows."""
    site = ControlSite()
    accepted(site, 1.0)
    site.store.delay = 0.015
    began = clock.now()
    assert site.submit(1.0, wait=0.023)[1].kind == ACCEPTED
    assert clock.now() <= began + 0.023 - CALLER_DELAY_SECONDS


@pytest.mark.parametrize("topics", [set(), {RUNS}])
@pytest.mark.parametrize("seconds", [2.0, 4.0, 4.5, 5.0, 8.0])
def test_placer_goes_on_soon_after_the_store_returns(seconds, topics):
    # It waited for the end of a call without an answer, for 3.2 s at most.
    site = ControlSite(workers=1, gpus=1)
    site.store.pauses_memberships = True
    accepted(site, 1.2)
    accepted(site, 5.0)
    site.run_for(0.7)
    site.store.down_topics = topics
    site.store.down = not topics
    site.run_for(seconds)
    site.store.down_topics = set()
    site.store.down = False
    site.run_for(NOTICE_SECONDS)
    assert len(site.history.starts) == 2
