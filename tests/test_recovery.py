import pytest

from sequoiachute import clock
from sequoiachute.coordination.snapshot_writer import ITEMS_PER_PART, PARTS_PER_APPEND
from sequoiachute.coordination.snapshots import find_newest_snapshot
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import JOBS_STREAM, encode_record, snapshots_of
from standins.memory import MemoryLog
from tests.lognode import HOLD_SECONDS, LogNode, accepted, ended

pytestmark = pytest.mark.usefixtures("paused_clock")

RETENTION = 200.0


@pytest.fixture
def log():
    return MemoryLog(retention=RETENTION)


def fill(log, count, start=0):
    records = []
    for number in range(start, start + count):
        records.append(encode_record(accepted(f"job-{number}", f"key-{number}")))
    log.put(JOBS_STREAM, records)


def test_state_outlives_its_records(log):
    first = LogNode(log, RETENTION)
    fill(log, 250)
    clock.sleep(3 * RETENTION)
    assert log.read(JOBS_STREAM, 0, 0).first == 250
    second = LogNode(log, RETENTION)
    clock.sleep(1)
    assert second.jobs.snapshot() == first.jobs.snapshot()
    assert len(second.jobs.snapshot()) == 250


def test_start_goes_on_from_the_newest_snapshot(log):
    first = LogNode(log, RETENTION)
    fill(log, 250)
    clock.sleep(1)
    first.snapshot_writer.write()
    fill(log, 3, start=250)
    clock.sleep(1)
    second = LogNode(log, RETENTION)
    clock.sleep(1)
    assert second.restored == 1
    assert second.jobs.snapshot() == first.jobs.snapshot()


def test_snapshot_of_a_process_that_had_fallen_behind_hides_nothing(log):
    behind = LogNode(log, RETENTION)
    fill(log, 5)
    clock.sleep(1)
    behind.stop()
    fill(log, 5, start=5)
    behind.snapshot_writer.write()
    fresh = LogNode(log, RETENTION)
    clock.sleep(1)
    assert len(fresh.jobs.snapshot()) == 10


def test_half_written_snapshot_is_ignored(log):
    first = LogNode(log, RETENTION)
    fill(log, 10)
    clock.sleep(1)
    first.snapshot_writer.write()
    fill(log, 2 * ITEMS_PER_PART * PARTS_PER_APPEND, start=10)
    clock.sleep(1)
    append = log.append

    def fail_from_the_second(stream, records):
        if stream == snapshots_of(JOBS_STREAM):
            log.append = broken
        return append(stream, records)

    def broken(stream, records):
        raise LogUnavailableError("down")

    log.append = fail_from_the_second
    with pytest.raises(LogUnavailableError):
        first.snapshot_writer.write()
    log.append = append
    assert find_newest_snapshot(log, JOBS_STREAM).through == 10
    second = LogNode(log, RETENTION)
    clock.sleep(1)
    assert second.jobs.snapshot() == first.jobs.snapshot()


def test_unreadable_snapshot_falls_back_to_the_one_before(log):
    first = LogNode(log, RETENTION)
    fill(log, 3)
    clock.sleep(1)
    first.snapshot_writer.write()
    newer = {
        "kind": "snapshot-completed",
        "record_id": "x",
        "snapshot_id": "newer",
        "stream": JOBS_STREAM,
        "through": 99,
        "parts": 1,
        "items": 1,
        "voided": [],
    }
    log.put(snapshots_of(JOBS_STREAM), [b"{", encode_record(newer)])
    second = LogNode(log, RETENTION)
    clock.sleep(1)
    assert len(second.jobs.snapshot()) == 3


@pytest.mark.parametrize("pause", [10.0, 3 * RETENTION])
def test_process_frozen_for_long_leaves_no_hole(log, pause):
    frozen, running = LogNode(log, RETENTION), LogNode(log, RETENTION)
    fill(log, 5)
    clock.sleep(1)
    frozen.stop()
    fill(log, 5, start=5)
    clock.sleep(pause)
    assert frozen.follower.confirmation_age() > pause
    fill(log, 5, start=10)
    frozen.run()
    clock.sleep(2)
    assert frozen.jobs.snapshot() == running.jobs.snapshot()
    assert len(frozen.jobs.snapshot()) == 15


def test_gap_without_a_snapshot_is_not_confirmed_before_the_wait_is_over(log):
    node = LogNode(log, RETENTION)
    fill(log, 5)
    clock.sleep(1)
    node.stop()
    fill(log, 5, start=5)
    log.drop_before(JOBS_STREAM, 8)
    stopped_at = clock.now()
    node.run()
    clock.sleep(10)
    assert node.follower.confirmed_at < stopped_at
    clock.sleep(30)
    assert node.follower.confirmation_age() < 1
    assert len(node.jobs.snapshot()) == 7


def test_entries_share_the_work_of_snapshots(log):
    nodes = [LogNode(log, RETENTION) for _ in range(4)]
    fill(log, 5)
    clock.sleep(10 * RETENTION)
    written = log.read(snapshots_of(JOBS_STREAM), 0, 0).next / 2
    assert len(nodes) and 25 <= written <= 70


def test_ended_jobs_are_dropped_everywhere_at_the_same_record(log):
    nodes = [LogNode(log, RETENTION), LogNode(log, RETENTION)]
    fill(log, 2)
    log.put(JOBS_STREAM, [encode_record(ended("job-0"))])
    clock.sleep(HOLD_SECONDS / 2)
    nodes.append(LogNode(log, RETENTION))
    clock.sleep(HOLD_SECONDS)
    assert nodes[0].accept("again", "key-0").is_ok()
    clock.sleep(1)
    for node in nodes:
        assert node.jobs.get("job-0") is None
        assert node.jobs.by_key("brocach", "key-0").job_id == "again"


def test_voided_record_stays_void_through_a_snapshot(log):
    node = LogNode(log, RETENTION)
    late = accepted("late", "late")
    void = {"kind": "records-voided", "record_id": "v", "targets": [late["record_id"]]}
    log.put(JOBS_STREAM, [encode_record(void)])
    clock.sleep(1)
    node.snapshot_writer.write()
    fresh = LogNode(log, RETENTION)
    log.put(JOBS_STREAM, [encode_record(late)])
    clock.sleep(1)
    assert fresh.restored == 1
    assert fresh.jobs.get("late") is None


def test_new_process_waits_for_the_state_that_another_still_has(log):
    first = LogNode(log, RETENTION)
    fill(log, 5)
    clock.sleep(1)
    log.down = True
    clock.sleep(1.1 * RETENTION)
    second = LogNode(log, RETENTION)
    log.down = False
    clock.sleep(40)
    assert len(first.jobs.snapshot()) == 5
    assert second.jobs.snapshot() == first.jobs.snapshot()
    assert len(find_newest_snapshot(log, JOBS_STREAM).items) == 5
