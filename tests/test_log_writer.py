import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.log import StreamFollower, StreamWriter, new_record_id
from sequoiachute.coordination.writer import MAX_QUEUED_RECORDS
from sequoiachute.protocol.records import encode_record
from standins.memory import MemoryLog

pytestmark = pytest.mark.usefixtures("paused_clock")

STREAM = "jobs"


class Reader:
    """A follower, a writer and what the follower applied."""

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


def cancelled(name):
    record_id = new_record_id()
    return {"kind": "job-cancelled", "record_id": record_id, "job_id": name}


def append_all(reader, names, timeout=3.0):
    tasks = [eventlet.spawn(reader.writer.append, cancelled(n), timeout) for n in names]
    return [task.wait() for task in tasks]


def test_burst_is_committed_in_few_appends():
    log = MemoryLog()
    outcomes = append_all(Reader(log), [str(n) for n in range(1000)])
    assert all(outcome.is_ok() for outcome in outcomes)
    assert log.appends <= 10


def test_appends_stay_within_the_rate():
    rate = AppendRateLimiter(per_second=50, burst=5)
    started_at = clock.now()
    for _ in range(105):
        rate.take()
    assert clock.now() - started_at == pytest.approx(2.0, abs=0.05)


def test_full_queue_refuses_at_once():
    log = MemoryLog()
    reader = Reader(log)
    reader.tasks[1].kill()
    names = [str(n) for n in range(MAX_QUEUED_RECORDS)]
    tasks = [eventlet.spawn(reader.writer.append, cancelled(n)) for n in names]
    clock.sleep(0.1)
    asked_at = clock.now()
    refusal = reader.writer.append(cancelled("one more")).unwrap_err()
    assert (refusal.maybe_applied, clock.now()) == (False, asked_at)
    assert not any(task.wait().unwrap_err().maybe_applied for task in tasks)


def test_outage_is_answered_at_once_with_when_to_come_back():
    log = MemoryLog()
    reader = Reader(log)
    log.down = True
    for _ in range(20):
        asked_at = clock.now()
        refusal = reader.writer.append(cancelled("refused")).unwrap_err()
        assert not refusal.maybe_applied
        assert refusal.retry_after > 0
        assert clock.now() - asked_at < 0.1
        clock.sleep(0.5)
    log.down = False
    clock.sleep(10)
    assert reader.writer.append(cancelled("after")).is_ok()
    assert reader.applied == ["after"]


def test_lost_reply_is_confirmed_by_reading_back():
    log = MemoryLog()
    reader = Reader(log)
    log.lose_replies = True
    assert reader.writer.append(cancelled("kept")).is_ok()
    assert reader.applied == ["kept"]


def test_append_that_lands_after_the_refusal_takes_no_effect():
    log = MemoryLog()
    readers = [Reader(log), Reader(log)]
    log.late_seconds = 30.0
    task = eventlet.spawn(readers[0].writer.append, cancelled("late"), 10.0)
    clock.sleep(0.5)
    log.late_seconds = 0.0
    refusal = task.wait().unwrap_err()
    assert not refusal.maybe_applied
    clock.sleep(60)
    assert [reader.applied for reader in readers] == [[], []]


def test_append_is_unknown_while_nothing_can_be_read():
    log = MemoryLog()
    reader = Reader(log)
    log.lose_replies = log.reads_fail = True
    assert reader.writer.append(cancelled("kept")).unwrap_err().maybe_applied
    log.lose_replies = log.reads_fail = False
    clock.sleep(20)
    assert reader.applied == ["kept"]


def test_record_not_sent_before_the_timeout_is_withdrawn():
    log = MemoryLog(delay=5.0)
    reader = Reader(log)
    eventlet.spawn(reader.writer.append, cancelled("first"))
    clock.sleep(1.0)
    assert not reader.writer.append(cancelled("second"), 1.0).unwrap_err().maybe_applied
    log.delay = 0.001
    clock.sleep(30)
    assert reader.applied == ["first"]


def test_unreadable_records_are_skipped_without_losing_the_rest():
    log = MemoryLog()
    reader = Reader(log)
    whole = encode_record(cancelled("whole"))
    newer = whole.replace(b'"format":1', b'"format":2')
    unknown = whole.replace(b"job-cancelled", b"job-praised")
    added = encode_record({**cancelled("added"), "field_of_tomorrow": 1})
    log.append(STREAM, [whole[:20], b"\xff", newer, unknown, whole, added])
    clock.sleep(1)
    assert reader.applied == ["whole", "added"]


def test_record_that_cannot_be_applied_does_not_stop_the_rest():
    log = MemoryLog()
    reader = Reader(log)
    reader.follower._apply = lambda position, record: 1 / 0
    log.append(STREAM, [encode_record(cancelled("broken"))])
    clock.sleep(1)
    reader.follower._apply = reader.apply
    log.append(STREAM, [encode_record(cancelled("next"))])
    clock.sleep(1)
    assert reader.applied == ["next"]
