"""Loops of a process outlive an unexpected error, and it is shown."""

from itertools import pairwise

import eventlet
import pytest
from greenlet import GreenletExit

from sequoiachute import clock
from sequoiachute.coordination.loop import MAX_PAUSE_SECONDS, spawn_loop, spawn_task
from sequoiachute.coordination.store.follower import Follower
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.store import RecordPage, TopicSnapshot
from standins.control_site import ControlSite

pytestmark = pytest.mark.usefixtures("paused_clock")


def count_errors(metrics):
    samples = metrics.samples(clock.now())
    return {
        dict(sample.labels)["task"]: sample.value
        for sample in samples
        if sample.name == "unexpected_errors_total"
    }


@pytest.mark.parametrize("error", [ValueError, RecursionError, eventlet.Timeout])
def test_loop_goes_on_after_errors_with_bounded_pauses(error):
    metrics = Metrics()
    ran_at = []

    def fail():
        ran_at.append(clock.now())
        if len(ran_at) < 9:
            raise error

    spawn_loop("test", fail, metrics)
    clock.sleep(60.0)
    pauses = [later - earlier for earlier, later in pairwise(ran_at)]
    assert len(ran_at) == 9
    assert pauses[0] < pauses[1] < pauses[2]
    assert max(pauses) <= MAX_PAUSE_SECONDS + 0.01
    assert count_errors(metrics) == {"test": 8}


def test_loop_ends_with_its_process():
    metrics = Metrics()
    runs = []

    def end():
        runs.append(1)
        raise GreenletExit

    spawn_loop("test", end, metrics)
    clock.sleep(10.0)
    assert runs == [1]
    assert not count_errors(metrics)


def test_failure_of_a_task_is_counted():
    metrics = Metrics()
    spawn_task("test", [].pop, metrics=metrics)
    clock.sleep(1.0)
    assert count_errors(metrics) == {"test": 1}


class TopicStore:
    """A topic whose snapshot and pages hold one odd record each."""

    def snapshot(self, topic):
        return TopicSnapshot(tuple(StoredRecord(n, f"k{n}", b"") for n in range(3)), 3)

    def read(self, topic, offset, wait):
        if offset >= 6:
            clock.sleep(wait)
            return RecordPage((), offset)
        records = tuple(StoredRecord(n, f"k{n}", b"") for n in range(offset, 6))
        return RecordPage(records, 6)


def test_record_that_cannot_be_applied_hides_no_later_one():
    applied = []
    metrics = Metrics()

    def apply(record):
        if record.offset in (1, 4):
            raise RecursionError
        applied.append(record.offset)

    follower = Follower("t", TopicStore(), apply, metrics=metrics)
    thread = eventlet.spawn(follower.run)
    clock.sleep(5.0)
    assert not thread.dead
    thread.kill()
    assert applied == [0, 2, 3, 5]
    assert follower.next_offset == 6
    assert count_errors(metrics) == {"records of t": 2}


def test_snapshot_that_cannot_be_applied_is_followed_further():
    offsets = []

    def replace(records):
        raise TypeError

    store = TopicStore()
    follower = Follower("t", store, lambda r: offsets.append(r.offset), replace)
    thread = eventlet.spawn(follower.run)
    clock.sleep(5.0)
    thread.kill()
    assert offsets == [3, 4, 5]


class FailingOnce:
    """Wraps an object whose method ``name`` fails unexpectedly at first."""

    def __init__(self, wrapped, name, times=1):
        self._wrapped = wrapped
        self._name = name
        self.left = times

    def __getattr__(self, name):
        value = getattr(self._wrapped, name)
        if name != self._name or not self.left:
            return value

        def fail(*args, **kwargs):
            self.left -= 1
            raise RecursionError

        return fail


@pytest.mark.parametrize(
    ("attribute", "method"), [("_worker", "poll"), ("_caller", "call")]
)
def test_agent_works_on_after_an_unexpected_error(attribute, method):
    site = ControlSite(1, 1)
    supervisor = site.agents[0].supervisor
    failing = FailingOnce(getattr(supervisor, attribute), method, 3)
    setattr(supervisor, attribute, failing)
    site.run_for(4.0)
    assert failing.left == 0
    job_id, _ = site.submit(0.5)
    site.run_for(5.0)
    assert site.state(job_id) == "complete"
    assert sum(count_errors(supervisor.metrics).values()) == 3


@pytest.mark.parametrize("method", ["join", "members", "read"])
def test_entry_works_on_after_an_unexpected_error(method):
    site = ControlSite(1, 1)
    control = site.entries[0].control
    control.store._store = FailingOnce(control.store._store, method, 3)
    site.run_for(8.0)
    assert not control.store._store.left
    job_id, _ = site.submit(0.5)
    site.run_for(5.0)
    assert site.state(job_id) == "complete"
    assert sum(count_errors(control.metrics).values()) == 3


def test_entry_whose_placer_does_not_start_stands_for_election_again():
    site = ControlSite(1, 1)
    election = site.entries[0].control._election
    begun = []

    def start(term):
        begun.append(term)
        if len(begun) == 1:
            raise RecursionError
        site.entries[0].control._start_placer(term)

    election._on_elected = start
    site.entries[0].control._stop_leading()
    site.run_for(5.0)
    assert len(begun) == 2
    assert site.placer() == 0


def test_pings_and_probes_begin_again_after_an_unexpected_error():
    site = ControlSite(2, 0)
    store = site.entries[0].control.store
    peers = store._peers
    store._peers = lambda: [][1]
    site.store.down = True
    store.expect_return(clock.now() + 1.0)
    store._store = FailingOnce(store._store, "members", 1)
    site.run_for(3.0)
    store._peers = peers
    site.run_for(3.0)
    assert not (store._is_pinging or store._is_probing)
    errors = count_errors(site.entries[0].control.metrics)
    assert errors["pings of peers"] > 0
    assert errors["probe of the store"] == 1
