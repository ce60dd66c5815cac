"""Checks on what workers saw: no task runs twice."""


def assert_no_duplicate_runs(history, crashes=False):
    """No two runs of a task at once, and none after one that is done.

    With ``crashes`` an end counts only if it was acknowledged: what a worker has
    finished and nobody has heard of is lost with it, and done again.
    """
    tasks = {start.task for start in history.starts}
    for task in tasks:
        spans = sorted(history.spans(task))
        for earlier, later in zip(spans, spans[1:], strict=False):
            assert later[0] >= earlier[1], f"{task} ran twice at once: {spans}"
        done = []
        for end in history.ends:
            noted = (end.task, end.run, end.worker_id) in history.noted
            if end.task == task and end.outcome == "done" and (noted or not crashes):
                done.append(end.at)
        starts = [start.at for start in history.starts if start.task == task]
        assert len(done) <= 1, f"{task} was done twice"
        if done:
            assert max(starts) <= done[0], f"{task} started after it was done"


def assert_run_numbers_increase(history):
    """Run numbers of a task only rise."""
    numbers = {}
    for start in history.starts:
        assert start.run > numbers.get(start.task, 0), start
        numbers[start.task] = start.run
