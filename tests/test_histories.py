import pytest
from result import Err, Ok

from sequoiachute.errors import LogUnavailableError
from soak import histories
from soak.events import read_events
from soak.histories import TaskCrash, TaskRun, TaskStart

DENIED = Err(LogUnavailableError("down"))
UNKNOWN = Err(LogUnavailableError("timeout", maybe_applied=True))


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        (histories.denied_but_applied({"a": DENIED, "b": UNKNOWN}, {"a", "b"}), {"a"}),
        (histories.denied_but_applied({"a": DENIED}, set()), set()),
        (histories.confirmed_but_missing({"a": Ok(1), "b": UNKNOWN}, set()), {"a"}),
        (
            histories.lost_jobs({"a", "b", "c"}, {"a": "finished", "b": "queued"}),
            {"b", "c"},
        ),
        (histories.backward_steps([1, 2, 2, 1, 3]), [(2, 1)]),
        (histories.divergent_views([(1, "x"), (2, "y"), (1, "z")]), [(1, "z")]),
        (histories.divergent_views([(1, "x"), (2, "y"), (1, "x")]), []),
    ],
)
def test_checker_returns_exactly_the_violations(found, expected):
    assert found == expected


RUN = TaskRun(0, "j", 1, 0, (0, 1), 10.0, 20.0)
OTHER_WORKER = RUN._replace(worker=1)
NEXT_ATTEMPT = OTHER_WORKER._replace(attempt=2)


@pytest.mark.parametrize(
    "second",
    [
        NEXT_ATTEMPT._replace(began=19.9, ended=30.0),
        NEXT_ATTEMPT._replace(began=12.0, ended=13.0),
        NEXT_ATTEMPT._replace(member=1, began=19.9),
        OTHER_WORKER,
        RUN._replace(began=11.0),
    ],
)
def test_concurrent_runs_of_a_job_are_found(second):
    assert histories.concurrent_runs([RUN, second]) == [(RUN, second)]


@pytest.mark.parametrize(
    "second",
    [
        NEXT_ATTEMPT._replace(began=20.0, ended=30.0),
        OTHER_WORKER._replace(member=1),
        OTHER_WORKER._replace(job_id="k"),
    ],
)
def test_runs_in_turn_and_of_other_members_and_jobs_are_allowed(second):
    assert not histories.concurrent_runs([second, RUN])


@pytest.mark.parametrize(
    "second",
    [
        RUN._replace(job_id="k", accelerators=(1, 2)),
        RUN._replace(job_id="k", accelerators=(1,), began=19.9, ended=30.0),
        RUN._replace(worker=1, accelerators=(8,)),
        RUN._replace(worker=1, accelerators=(-1,)),
    ],
)
def test_accelerator_that_is_lacking_or_given_twice_is_found(second):
    assert histories.overcommitted_accelerators([RUN, second], 8) == [second]


@pytest.mark.parametrize(
    "second",
    [
        RUN._replace(job_id="k", accelerators=(2, 7)),
        RUN._replace(job_id="k", began=20.0, ended=30.0),
        RUN._replace(worker=1),
    ],
)
def test_accelerators_given_apart_or_in_turn_are_allowed(second):
    assert not histories.overcommitted_accelerators([second, RUN], 8)


def test_overlap_with_a_long_run_is_found_behind_a_short_one():
    short = NEXT_ATTEMPT._replace(job_id="k", began=11.0, ended=12.0)
    late = NEXT_ATTEMPT._replace(began=15.0)
    assert histories.concurrent_runs([RUN, short, late]) == [(RUN, late)]


def starts_at(*times):
    return [TaskStart("j", number, 0, at) for number, at in enumerate(times)]


CRASHES = [TaskCrash("j", 0, 1.0), TaskCrash("j", 0, 3.0), TaskCrash("j", 0, 5.0)]


def test_starts_over_the_crash_budget_are_found():
    starts = starts_at(0.0, 2.0, 4.0, 6.0, 7.0, 8.0, 9.0)
    excess = histories.starts_over_crash_budget(starts, CRASHES, 3, 3)
    assert excess == starts[-2:]


@pytest.mark.parametrize(
    ("times", "crashes"),
    [
        ((0.0, 2.0, 4.0, 6.0, 7.0), CRASHES),
        ((0.0, 2.0, 4.0, 6.0, 7.0, 8.0), CRASHES[:2]),
        ((6.0, 7.0, 8.0), [crash._replace(member=1) for crash in CRASHES]),
        ((6.0, 7.0, 8.0), [crash._replace(job_id="k") for crash in CRASHES]),
    ],
)
def test_starts_within_the_crash_budget_are_allowed(times, crashes):
    assert not histories.starts_over_crash_budget(starts_at(*times), crashes, 3, 3)


STARTED = {
    "what": "task",
    "task_id": "j.1.0",
    "accelerators": [0, 1],
    "at": 10.0,
    "finishes_at": 20.0,
    "lease_until": 15.0,
}
RENEWED = {"what": "renew", "task_id": "j.1.0", "lease_until": 30.0}


@pytest.mark.parametrize(
    ("events", "ended"),
    [
        ([], 15.0),
        ([RENEWED], 20.0),
        ([RENEWED, {"what": "stop", "task_id": "j.1.0", "at": 12.0}], 12.0),
        ([RENEWED, {"what": "down", "task_id": "", "at": 13.0}], 13.0),
        ([RENEWED, {"what": "down", "task_id": "", "at": 23.0}], 20.0),
        ([{"what": "down", "task_id": "", "at": 9.9}], 10.0),
    ],
)
def test_run_ends_by_finish_lease_stop_or_end_of_its_worker(events, ended):
    history = read_events(0, [STARTED, *events])
    assert history.runs == [RUN._replace(ended=ended)]
    assert history.starts == [TaskStart("j", 1, 0, 10.0)]
    assert not history.crashes


def test_both_runs_of_a_task_before_and_after_a_crash_are_read():
    crash = {"what": "down", "task_id": "j.1.0", "at": 11.0}
    history = read_events(0, [STARTED, crash, STARTED | {"at": 14.0}])
    assert [(run.began, run.ended) for run in history.runs] == [(10, 11), (14, 15)]
    assert history.crashes == [TaskCrash("j", 0, 11.0)]
    assert histories.duplicate_starts(history.starts) == [history.starts[1]]
