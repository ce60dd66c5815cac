import pytest

from sequoiachute.protocol.workload import Lifetime
from standins.task_worker import EndRecord, History, StartRecord
from tests.run_checks import assert_no_duplicate_runs, assert_run_numbers_increase


def history_of(*records):
    history = History()
    for record in records:
        target = history.starts if isinstance(record, StartRecord) else history.ends
        target.append(record)
    return history


def start(at, run, worker="w-1"):
    return StartRecord(at, "t.0.0.0", run, Lifetime(worker, 1))


def end(at, run, outcome="done", worker="w-1"):
    return EndRecord(at, "t.0.0.0", run, outcome, Lifetime(worker, 1))


@pytest.mark.parametrize(
    "records",
    [
        (start(1, 1), start(2, 2, "w-2"), end(3, 1), end(4, 2, "stopped", "w-2")),
        (start(1, 1), start(2, 2, "w-2")),
        (start(1, 1), end(2, 1), start(3, 2), end(4, 2, "stopped")),
        (start(1, 1), end(2, 1), start(3, 2), end(4, 2)),
    ],
)
def test_duplicate_runs_are_detected(records):
    with pytest.raises(AssertionError):
        assert_no_duplicate_runs(history_of(*records))


def test_unacknowledged_end_may_be_repeated_after_a_crash():
    records = (start(1, 1), end(2, 1), start(3, 2, "w-2"), end(4, 2, worker="w-2"))
    history = history_of(*records)
    with pytest.raises(AssertionError):
        assert_no_duplicate_runs(history)
    assert_no_duplicate_runs(history, crashes=True)
    history.acknowledged.add(("t.0.0.0", 1, Lifetime("w-1", 1)))
    with pytest.raises(AssertionError):
        assert_no_duplicate_runs(history, crashes=True)


def test_consecutive_runs_pass():
    history = history_of(start(1, 1), end(2, 1, "stopped"), start(2, 2), end(3, 2))
    assert_no_duplicate_runs(history)
    assert_run_numbers_increase(history)


def test_reused_run_number_is_detected():
    with pytest.raises(AssertionError):
        assert_run_numbers_increase(
            history_of(start(1, 1), end(2, 1, "lapsed"), start(3, 1))
        )
