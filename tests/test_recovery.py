import pytest

from sequoiachute import clock
from sequoiachute.coordination.snapshot_writer import ITEMS_PER_PART, PARTS_PER_APPEND
from sequoiachute.coordination.snapshots import find_newest_snapshot
from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.records import JOBS_STREAM, encode_record, snapshots_of
from standins.memory import MemoryLog
from tests.lognode import ENDED_JOB_HOLD_SECONDS, LogNode, accepted_record, ended_record

pytestmark = pytest.mark.usefixtures("paused_clock")

RETENTION_SECONDS = 200.0


@pytest.fixture
def log():
    return MemoryLog(retention=RETENTION_SECONDS)


def accept_jobs(log, count, start=0):
    records = []
    for number in range(start, start + count):
        records.append(encode_record(accepted_record(f"job-{number}", f"key-{number}")))
    log.put(JOBS_STREAM, records)


def test_state_is_restored_after_its_records_expire(log):
    first = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 250)
    clock.sleep(3 * RETENTION_SECONDS)
    assert log.read(JOBS_STREAM, 0, 0).first == 250
    second = LogNode(log, RETENTION_SECONDS)
    clock.sleep(1)
    assert second.jobs.snapshot() == first.jobs.snapshot()
    assert len(second.jobs.snapshot()) == 250


def test_start_resumes_from_the_newest_snapshot(log):
    first = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 250)
    clock.sleep(1)
    first.snapshot_writer.write()
    accept_jobs(log, 3, start=250)
    clock.sleep(1)
    second = LogNode(log, RETENTION_SECONDS)
    clock.sleep(1)
    assert second.restore_count == 1
    assert second.jobs.snapshot() == first.jobs.snapshot()


def test_snapshot_by_a_lagging_process_hides_no_record(log):
    lagging = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 5)
    clock.sleep(1)
    lagging.stop()
    accept_jobs(log, 5, start=5)
    lagging.snapshot_writer.write()
    fresh = LogNode(log, RETENTION_SECONDS)
    clock.sleep(1)
    assert len(fresh.jobs.snapshot()) == 10


def test_incomplete_snapshot_is_ignored(log):
    first = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 10)
    clock.sleep(1)
    first.snapshot_writer.write()
    accept_jobs(log, 2 * ITEMS_PER_PART * PARTS_PER_APPEND, start=10)
    clock.sleep(1)
    append = log.append

    def append_then_fail(stream, records):
        if stream == snapshots_of(JOBS_STREAM):
            log.append = failing_append
        return append(stream, records)

    def failing_append(stream, records):
        raise LogUnavailableError("down")

    log.append = append_then_fail
    with pytest.raises(LogUnavailableError):
        first.snapshot_writer.write()
    log.append = append
    assert find_newest_snapshot(log, JOBS_STREAM).through == 10
    second = LogNode(log, RETENTION_SECONDS)
    clock.sleep(1)
    assert second.jobs.snapshot() == first.jobs.snapshot()


def test_unreadable_snapshot_falls_back_to_the_previous_one(log):
    first = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 3)
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
    second = LogNode(log, RETENTION_SECONDS)
    clock.sleep(1)
    assert len(second.jobs.snapshot()) == 3


@pytest.mark.parametrize("pause", [10.0, 3 * RETENTION_SECONDS])
def test_frozen_process_catches_up_without_gaps(log, pause):
    frozen, running = LogNode(log, RETENTION_SECONDS), LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 5)
    clock.sleep(1)
    frozen.stop()
    accept_jobs(log, 5, start=5)
    clock.sleep(pause)
    assert frozen.follower.confirmation_age() > pause
    accept_jobs(log, 5, start=10)
    frozen.run()
    clock.sleep(2)
    assert frozen.jobs.snapshot() == running.jobs.snapshot()
    assert len(frozen.jobs.snapshot()) == 15


def test_gap_without_a_snapshot_is_confirmed_only_after_the_wait(log):
    node = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 5)
    clock.sleep(1)
    node.stop()
    accept_jobs(log, 5, start=5)
    log.drop_before(JOBS_STREAM, 8)
    stopped_at = clock.now()
    node.run()
    clock.sleep(10)
    assert node.follower.confirmed_at < stopped_at
    clock.sleep(30)
    assert node.follower.confirmation_age() < 1
    assert len(node.jobs.snapshot()) == 7


def test_nodes_share_the_writing_of_snapshots(log):
    nodes = [LogNode(log, RETENTION_SECONDS) for _ in range(4)]
    accept_jobs(log, 5)
    clock.sleep(10 * RETENTION_SECONDS)
    written = log.read(snapshots_of(JOBS_STREAM), 0, 0).next / 2
    assert len(nodes) and 25 <= written <= 70


def test_ended_jobs_are_dropped_by_all_nodes_at_the_same_record(log):
    nodes = [LogNode(log, RETENTION_SECONDS), LogNode(log, RETENTION_SECONDS)]
    accept_jobs(log, 2)
    log.put(JOBS_STREAM, [encode_record(ended_record("job-0"))])
    clock.sleep(ENDED_JOB_HOLD_SECONDS / 2)
    nodes.append(LogNode(log, RETENTION_SECONDS))
    clock.sleep(ENDED_JOB_HOLD_SECONDS)
    assert nodes[0].accept("again", "key-0").is_ok()
    clock.sleep(1)
    for node in nodes:
        assert node.jobs.get("job-0") is None
        assert node.jobs.by_key("brocach", "key-0").job_id == "again"


def test_voided_record_stays_voided_after_a_snapshot(log):
    node = LogNode(log, RETENTION_SECONDS)
    late = accepted_record("late", "late")
    void = {"kind": "records-voided", "record_id": "v", "targets": [late["record_id"]]}
    log.put(JOBS_STREAM, [encode_record(void)])
    clock.sleep(1)
    node.snapshot_writer.write()
    fresh = LogNode(log, RETENTION_SECONDS)
    log.put(JOBS_STREAM, [encode_record(late)])
    clock.sleep(1)
    assert fresh.restore_count == 1
    assert fresh.jobs.get("late") is None


def test_new_process_waits_for_the_snapshot_of_a_running_one(log):
    first = LogNode(log, RETENTION_SECONDS)
    accept_jobs(log, 5)
    clock.sleep(1)
    log.down = True
    clock.sleep(1.1 * RETENTION_SECONDS)
    second = LogNode(log, RETENTION_SECONDS)
    log.down = False
    clock.sleep(40)
    assert len(first.jobs.snapshot()) == 5
    assert second.jobs.snapshot() == first.jobs.snapshot()
    assert len(find_newest_snapshot(log, JOBS_STREAM).items) == 5
