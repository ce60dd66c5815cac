"""Assertions on the run history of workers: no task runs twice."""


def assert_no_duplicate_runs(history, crashes=False):
    """Assert that runs of a task never overlap and that none follows completion.

    With ``crashes`` an end counts only if it was acknowledged: if a worker crashes
    before that, the end is lost and the task runs again.
    """
    tasks = {start.task for start in history.starts}
    for task in tasks:
        intervals = sorted(history.intervals(task))
        for earlier, later in zip(intervals, intervals[1:], strict=False):
            assert later[0] >= earlier[1], f"runs of {task} overlap: {intervals}"
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
