"""Assertions on the run history of workers: no task runs twice or crashes too much."""

MAX_CRASHES = 3  # of workers under one task
MAX_STARTS_AFTER_CRASHES = 2


def assert_no_overlapping_runs(history):
    """Assert that runs of a task never overlap."""
    for task in {start.task for start in history.starts}:
        intervals = sorted(history.intervals(task))
        for earlier, later in zip(intervals, intervals[1:], strict=False):
            assert later[0] >= earlier[1], f"runs of {task} overlap: {intervals}"


def assert_no_duplicate_runs(history, crashes=False):
    """Assert that runs of a task never overlap and that none follows completion.

    With ``crashes`` an end counts only if it was acknowledged: if a worker crashes
    before that, the end is lost and the task runs again.
    """
    assert_no_overlapping_runs(history)
    tasks = {start.task for start in history.starts}
    for task in tasks:
        completions = []
        for end in history.ends:
            acked = (end.task, end.run, end.lifetime) in history.acknowledged
            if end.task == task and end.outcome == "done" and (acked or not crashes):
                completions.append(end.at)
        starts = [start.at for start in history.starts if start.task == task]
        assert len(completions) <= 1, f"{task} completed twice, at {completions}"
        if completions:
            assert max(starts) <= completions[0], (
                f"{task} started after completing: {starts}"
            )


def assert_run_numbers_increase(history):
    """Assert that the run numbers of a task only increase."""
    numbers = {}
    for start in history.starts:
        assert start.run > numbers.get(start.task, 0), start
        numbers[start.task] = start.run


def assert_crash_budget(history, deadly_jobs):
    """Assert that a task starts twice at most once three workers have crashed under it.

    Parameters
    ----------
    history : History
    deadly_jobs : set of str
        Jobs, or single tasks, that crash the workers that start them.
    """
    crashes = {}
    for end in history.ends:
        names = (end.task, end.task.partition(".")[0])
        if end.outcome == "crashed" and not deadly_jobs.isdisjoint(names):
            crashes.setdefault(end.task, []).append(end.at)
    for task, times in crashes.items():
        if len(times) < MAX_CRASHES:
            continue
        third = sorted(times)[MAX_CRASHES - 1]
        starts = [s.at for s in history.starts if s.task == task and s.at > third]
        assert len(starts) <= MAX_STARTS_AFTER_CRASHES, (
            f"{task} started at {starts} after three crashes, the last at {third}"
        )
