import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.follower import IDLE_POLL_SECONDS
from sequoiachute.coordination.log import StreamFollower, StreamWriter, new_record_id
from sequoiachute.coordination.writer import MAX_QUEUED_RECORDS
from sequoiachute.protocol.records import encode_record
from standins.memory import MemoryLog

pytestmark = pytest.mark.usefixtures("paused_clock")

STREAM = "jobs"


class StreamNode:
    """A follower and a writer of one stream; ``applied`` lists the jobs read."""

    def __init__(self, log):
        self.applied = []
        self.follower = StreamFollower(log, STREAM, self.apply)
        self.writer = StreamWriter(log, STREAM, self.follower)
        self.tasks = [
            eventlet.spawn(self.follower.run),
            eventlet.spawn(self.writer.run),
        ]

    def apply(self, position, record):
        self.applied.append(record["job_id"])


def cancellation(job_id):
    record_id = new_record_id()
    return {"kind": "job-cancelled", "record_id": record_id, "job_id": job_id}


def append_all(node, job_ids, timeout=3.0):
    tasks = [
        eventlet.spawn(node.writer.append, cancellation(job_id), timeout)
        for job_id in job_ids
    ]
    return [task.wait() for task in tasks]


def test_burst_is_committed_in_few_appends():
    log = MemoryLog()
    outcomes = append_all(StreamNode(log), [str(n) for n in range(1000)])
    assert all(outcome.is_ok() for outcome in outcomes)
    assert log.appends <= 10


def test_appends_stay_within_the_rate():
    rate_limiter = AppendRateLimiter(per_second=50, burst=5)
    started_at = clock.now()
    for _ in range(105):
        rate_limiter.take()
    assert clock.now() - started_at == pytest.approx(2.0, abs=0.05)


def test_full_queue_refuses_immediately():
    log = MemoryLog()
    node = StreamNode(log)
    node.tasks[1].kill()
    job_ids = [str(n) for n in range(MAX_QUEUED_RECORDS)]
    tasks = [eventlet.spawn(node.writer.append, cancellation(job)) for job in job_ids]
    clock.sleep(0.1)
    started_at = clock.now()
    refusal = node.writer.append(cancellation("one more")).unwrap_err()
    assert (refusal.maybe_applied, clock.now()) == (False, started_at)
    assert not any(task.wait().unwrap_err().maybe_applied for task in tasks)


def test_outage_refuses_immediately_with_retry_after():
    log = MemoryLog()
    node = StreamNode(log)
    log.down = True
    for _ in range(20):
        started_at = clock.now()
        refusal = node.writer.append(cancellation("refused")).unwrap_err()
        assert not refusal.maybe_applied
        assert refusal.retry_after > 0
        assert clock.now() - started_at < 0.1
        clock.sleep(0.5)
    log.down = False
    clock.sleep(10)
    assert node.writer.append(cancellation("after")).is_ok()
    assert node.applied == ["after"]


def test_lost_reply_is_confirmed_by_reading_back():
    log = MemoryLog()
    node = StreamNode(log)
    log.lose_replies = True
    assert node.writer.append(cancellation("kept")).is_ok()
    assert node.applied == ["kept"]


def test_append_delayed_past_its_refusal_takes_no_effect():
    log = MemoryLog()
    nodes = [StreamNode(log), StreamNode(log)]
    log.late_seconds = 30.0
    task = eventlet.spawn(nodes[0].writer.append, cancellation("late"), 10.0)
    clock.sleep(0.5)
    log.late_seconds = 0.0
    refusal = task.wait().unwrap_err()
    assert not refusal.maybe_applied
    clock.sleep(60)
    assert [node.applied for node in nodes] == [[], []]


def test_append_outcome_is_unknown_while_reads_fail():
    log = MemoryLog()
    node = StreamNode(log)
    log.lose_replies = log.reads_fail = True
    assert node.writer.append(cancellation("kept")).unwrap_err().maybe_applied
    log.lose_replies = log.reads_fail = False
    clock.sleep(20)
    assert node.applied == ["kept"]


def test_record_not_sent_before_the_timeout_is_withdrawn():
    log = MemoryLog(delay=5.0)
    node = StreamNode(log)
    eventlet.spawn(node.writer.append, cancellation("first"))
    clock.sleep(1.0)
    assert (
        not node.writer.append(cancellation("second"), 1.0).unwrap_err().maybe_applied
    )
    log.delay = 0.001
    clock.sleep(30)
    assert node.applied == ["first"]


def test_unreadable_records_are_skipped_without_losing_the_rest():
    log = MemoryLog()
    node = StreamNode(log)
    whole = encode_record(cancellation("whole"))
    newer = whole.replace(b'"format":1', b'"format":2')
    unknown = whole.replace(b"job-cancelled", b"job-praised")
    added = encode_record({**cancellation("added"), "added_field": 1})
    log.append(STREAM, [whole[:20], b"\xff", newer, unknown, whole, added])
    clock.sleep(1)
    assert node.applied == ["whole", "added"]


def test_return_of_the_log_is_confirmed_before_the_end_of_a_long_poll():
    log = MemoryLog()
    follower = StreamFollower(log, STREAM, print, poll_seconds=IDLE_POLL_SECONDS)
    eventlet.spawn(follower.run)
    clock.sleep(1)
    log.down = True
    clock.sleep(20)
    log.down = False
    clock.sleep(1.5)
    assert follower.confirmation_age() < 1.5


def test_record_that_cannot_be_applied_does_not_stop_the_rest():
    log = MemoryLog()
    node = StreamNode(log)
    node.follower._apply = lambda position, record: 1 / 0
    log.append(STREAM, [encode_record(cancellation("broken"))])
    clock.sleep(1)
    node.follower._apply = node.apply
    log.append(STREAM, [encode_record(cancellation("next"))])
    clock.sleep(1)
    assert node.applied == ["next"]
